#include "coordination/once.h"
#include "routing_fuzz.h"

/*
 * Two hosts, two Idempotency-Keys and a fake store. Writes may take effect
 * late, or lose their answer; the store may be down; hosts are killed while
 * their writes are in flight. Expired rows are removed, also while a host is
 * paused and has not read an answer. The oracle counts the runs of each key
 * between two removals of its row, and those of each request.
 */

#define HOSTS 2
#define KEYS 2
#define OPS_MAX 32
#define ROWS_KEPT_MS (24 * 3600 * MSEC_PER_SEC) /* as docs/CALLERS.md says */

typedef struct {
	gboolean open;
	gboolean answered; /* its host no longer waits for an answer */
	gboolean applied, condition_held; /* took effect before its answer */
	int host, key;
	uint32_t start; /* starts of the host before it */
	once_action_t action;
} op_t;

typedef struct {
	gboolean present;
	once_row_t row;
} stored_t;

typedef struct {
	once_t hosts[HOSTS];
	uint32_t starts[HOSTS];
	stored_t rows[KEYS];
	op_t ops[OPS_MAX];
	unsigned int runs[KEYS]; /* since its row was last removed */
	gboolean ever_ran[KEYS];
	gboolean running[HOSTS][KEYS];
	once_id_t run_ids[HOSTS][KEYS];
	gboolean ran_here[HOSTS][KEYS]; /* the host's current request ran */
	gboolean down;
	uint64_t token;
	msec_t now;
} world_t;

static fingerprint_t
digest(int n)
{
	fingerprint_t f;

	memset(&f, n + 1, sizeof(f));
	return f;
}

static void
carry_out(world_t *w, int host, int key, const once_action_t *a)
{
	once_action_t due = *a;
	int i;

	switch (a->kind) {
	case ONCE_RUN:
		w->running[host][key] = TRUE;
		w->run_ids[host][key] = a->id;
		return;
	case ONCE_REFUSE:
		ORACLE(a->ran != RAN_NO || !w->ran_here[host][key] ||
		    a->id == ONCE_NONE);
		ORACLE(a->ran != RAN_YES || w->ever_ran[key]);
		if (!once_release_due(&w->hosts[host], a->id))
			return;
		due.kind = ONCE_RELEASE;
		break;
	case ONCE_REPLAY:
		ORACLE(w->ever_ran[key]);
		return;
	case ONCE_NOTHING:
		return;
	case ONCE_CLAIM:
	case ONCE_READ_BACK:
	case ONCE_RECORD:
	case ONCE_RELEASE:
		break;
	}
	for (i = 0; i < OPS_MAX && w->ops[i].open; i++)
		;
	if (i < OPS_MAX)
		w->ops[i] = (op_t){.open = TRUE,
		    .host = host,
		    .key = key,
		    .start = w->starts[host],
		    .action = due};
}

/* Applies an operation to the store. Return: whether its condition held. */
static gboolean
apply(world_t *w, const op_t *op)
{
	stored_t *s = &w->rows[op->key];
	const once_row_t *row = &op->action.row;
	gboolean own = s->present && s->row.token == row->token;

	switch (op->action.kind) {
	case ONCE_CLAIM:
		if (s->present && !broken("absent"))
			return FALSE;
		*s = (stored_t){TRUE, *row};
		return TRUE;
	case ONCE_RECORD:
		if (own)
			s->row = *row;
		return TRUE;
	case ONCE_RELEASE:
		if (own)
			s->present = FALSE;
		return TRUE;
	default:
		return TRUE;
	}
}

static once_event_t
answer(world_t *w, const op_t *op, gboolean condition_held, gboolean lost)
{
	const stored_t *s = &w->rows[op->key];
	once_event_t e = {.kind = ONCE_WRITE_DONE};

	switch (op->action.kind) {
	case ONCE_CLAIM:
		e.kind = condition_held ? ONCE_CLAIM_DONE : ONCE_CLAIM_TAKEN;
		if (lost)
			e.kind = ONCE_CLAIM_UNKNOWN;
		break;
	case ONCE_READ_BACK:
		e.kind = s->present ? ONCE_READ_ROW : ONCE_READ_ABSENT;
		e.u.row = s->row;
		if (broken("token"))
			e.u.row.token = op->action.row.token;
		if (lost)
			e.kind = ONCE_READ_FAILED;
		break;
	default:
		if (lost)
			e.kind = ONCE_WRITE_FAILED;
	}
	return e;
}

static void
step(world_t *w, const op_t *op, const once_event_t *e)
{
	once_action_t a;

	if (op->start != w->starts[op->host])
		return;
	a = once_step(&w->hosts[op->host], op->action.id, e, w->now);
	carry_out(w, op->host, op->key, &a);
}

/* One of the open operations, or the first slot if none is open. */
static op_t *
pick_op(world_t *w, input_t *in)
{
	unsigned int i, n = 0, open[OPS_MAX] = {0};

	for (i = 0; i < OPS_MAX; i++) {
		if (w->ops[i].open)
			open[n++] = i;
	}
	return &w->ops[open[input_below(in, MAX(n, 1))]];
}

/* Ends an operation: in time, with its answer lost, or after its host has
 * given up waiting. */
static void
do_op(world_t *w, input_t *in)
{
	op_t *slot = pick_op(w, in), op = *slot;
	unsigned int choice = input_below(in, 8);
	once_event_t e;
	gboolean condition_held;

	if (!op.open)
		return;
	if (op.answered) {
		slot->open = FALSE;
		apply(w, &op);
		return;
	}
	if (!op.applied && w->down && op.action.kind == ONCE_CLAIM &&
	    choice & 1) {
		slot->open = FALSE;
		e.kind = ONCE_CLAIM_FAILED;
		step(w, &op, &e);
		return;
	}
	if (!op.applied && (w->down || choice == 0)) { /* still in flight */
		slot->answered = TRUE;
		e = answer(w, &op, FALSE, TRUE);
		step(w, &op, &e);
		return;
	}
	slot->open = FALSE;
	e = answer(w, &op, FALSE, FALSE);
	condition_held = op.applied ? op.condition_held : apply(w, &op);
	if (op.action.kind != ONCE_READ_BACK)
		e = answer(w, &op, condition_held, choice == 1);
	step(w, &op, &e);
}

static void
do_begin(world_t *w, int host, int key)
{
	fingerprint_t k = digest(key), request = digest(10 + key);
	once_action_t a;

	a = once_begin(&w->hosts[host], &k, &request, ++w->token, w->now);
	if (a.kind == ONCE_CLAIM)
		w->ran_here[host][key] = FALSE;
	carry_out(w, host, key, &a);
}

/* Counts a run of a key: at most one until its row is removed. */
static void
count_run(world_t *w, int key)
{
	ORACLE(++w->runs[key] <= 1);
	w->ever_ran[key] = TRUE;
}

static void
do_run(world_t *w, int host, int key, unsigned int choice)
{
	once_event_t e = {.kind = ONCE_RUN_ENDED};
	once_action_t a;

	if (!w->running[host][key])
		return;
	w->running[host][key] = FALSE;
	e.u.ended.status = 200;
	e.u.ended.ran = choice % 3;
	if (choice % 3 == RAN_YES ||
	    (choice % 3 == RAN_UNKNOWN && choice & 8) || broken("release")) {
		count_run(w, key);
		w->ran_here[host][key] = TRUE;
	}
	a = once_step(&w->hosts[host], w->run_ids[host][key], &e, w->now);
	carry_out(w, host, key, &a);
}

static void
do_kill(world_t *w, int host, unsigned int choice)
{
	int k;

	for (k = 0; k < KEYS; k++) {
		/* A request that it had sent may still run. */
		if (w->running[host][k] && choice & 8)
			count_run(w, k);
		w->running[host][k] = FALSE;
		w->ran_here[host][k] = FALSE;
	}
	once_finish(&w->hosts[host]);
	once_init(&w->hosts[host]);
	w->starts[host]++;
}

/*
 * Moves the time on until all rows have expired. By then all operations in
 * flight have taken effect, and running requests have met their deadlines.
 */
static void
do_sweep(world_t *w)
{
	int i, k;

	for (i = 0; i < HOSTS; i++) {
		for (k = 0; k < KEYS; k++) {
			if (w->running[i][k])
				return;
		}
	}
	for (i = 0; i < OPS_MAX; i++) {
		if (!w->ops[i].open || w->ops[i].applied)
			continue;
		w->ops[i].condition_held = apply(w, &w->ops[i]);
		w->ops[i].applied = TRUE;
		w->ops[i].open = !w->ops[i].answered;
	}
	for (k = 0; k < KEYS; k++) {
		w->rows[k].present = FALSE;
		w->runs[k] = 0;
	}
	w->now += ROWS_KEPT_MS;
}

static void
do_give_up(world_t *w, int host, int key)
{
	once_event_t e = {.kind = ONCE_GIVEN_UP};
	fingerprint_t k = digest(key);
	const once_entry_t *entry;
	once_action_t a;
	once_id_t id;

	for (id = 0; id < w->hosts[host].entries->len; id++) {
		entry = once_entry(&w->hosts[host], id);
		if (!entry->used || memcmp(&entry->key, &k, sizeof(k)) != 0)
			continue;
		a = once_step(&w->hosts[host], id, &e, w->now);
		carry_out(w, host, key, &a);
	}
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	input_t in = {data, size, 0};
	int i, host, key;
	uint8_t event;
	world_t w;

	memset(&w, 0, sizeof(w));
	for (i = 0; i < HOSTS; i++)
		once_init(&w.hosts[i]);
	while (input_left(&in)) {
		event = input_byte(&in);
		host = (event >> 3) % HOSTS;
		key = (event >> 4) % KEYS;
		switch (event % 8) {
		case 0:
		case 1:
			do_begin(&w, host, key);
			break;
		case 2:
		case 3:
		case 4:
			do_op(&w, &in);
			break;
		case 5:
			do_run(&w, host, key, input_byte(&in));
			break;
		case 6:
			if (event & 128)
				do_kill(&w, host, event >> 3);
			else
				do_give_up(&w, host, key);
			break;
		default:
			if ((event >> 3) % 4 == 3)
				do_sweep(&w);
			w.down = (event >> 3) & 1;
			w.now += (msec_t)(event >> 4) * 100000;
		}
	}
	for (i = 0; i < HOSTS; i++)
		once_finish(&w.hosts[i]);
	return 0;
}
