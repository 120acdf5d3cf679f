/*
 * One move, three hosts, two candidates for the lease. Rows and reports are
 * lost, delayed, duplicated and reordered; hosts are paused, restarted and
 * removed; the store is cut off, loses answers and applies writes late; the
 * holder changes at any time; measurements are missing; a version turns bad.
 * The oracle checks the shares that hosts apply, and what is written and
 * reported.
 */
#include <string.h>

#include "byte_feed.h"
#include "coordination/move_admit.h"
#include "coordination/move_holder.h"
#include "coordination/move_host.h"

#define HOSTS 3
#define QUEUE 12
#define STEPS 512
#define SETTLE_MS 1000
#define COLD_PERCENT 150
/* Rounds of 600 ms; the longest deadline is 60 s. */
#define FAULT_FREE_ROUNDS_MAX 200
/* Rounds after the final state; nothing more may be written or reported. */
#define AFTER_ROUNDS 5

typedef enum {
	RULES_KEPT,
	STEP_UNAWAITED,
	MEASUREMENT_IGNORED,
	ROOM_IGNORED,
	STEP_LOWERED,
	STOP_FORGOTTEN,
	REPORTED_TWICE,
	CAP_PASSED,
	NEVER_CONFIRMED,
} broken_t;

typedef struct {
	uint32_t seq;
	move_report_t report;
} host_report_t;

typedef struct {
	move_host_t moves;
	gboolean paused, cut, live;
	gboolean synced; /* has read the store since it started */
	uint32_t seq, step, max_step;
	gboolean had_stopped;
} host_t;

typedef struct {
	gboolean stop_order; /* otherwise a report */
	int host;
	host_report_t report_msg;
	uint64_t epoch;
} message_t;

typedef struct {
	move_holder_t m;
	gboolean started;
	uint64_t epoch;
	move_action_t pending;
	host_report_t reports[HOSTS];
} candidate_t;

typedef struct {
	broken_t broken;
	msec_t now;
	move_row_t row;
	uint64_t version;
	uint64_t fence; /* epoch of the lease */
	host_t hosts[HOSTS];
	candidate_t candidates[2];
	int holder;
	message_t queue[QUEUE];
	int queued;
	move_action_t late_write;
	move_room_t room;
	judge_verdict_t verdict;
	gboolean cancelled;
	share_t shares[STEPS]; /* committed share of each step */
	gboolean any_proven;
	uint32_t back_step; /* first step that backs out; 0: none */
	int reports, finals;
	const char *violation;
} world_t;

static void
host_start(host_t *h)
{
	if (h->moves.moves != NULL)
		move_host_finish(&h->moves);
	move_host_init(&h->moves);
	h->synced = FALSE;
	h->had_stopped = FALSE;
	h->step = 0;
}

static share_t
share_applied(const world_t *w, const host_t *h)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(move_weight_t));
	share_t sum = 0;
	guint i;

	move_weights(&h->moves, "till", w->now, out);
	for (i = 0; i < out->len; i++)
		sum += g_array_index(out, move_weight_t, i).share;
	g_array_free(out, TRUE);
	return sum;
}

static void
store_write(world_t *w, const move_row_t *row)
{
	gboolean first_raise =
	    row->kind == MOVE_ROLLOUT && !row->proven && row->share <= row->cap;

	if (move_is_final(&w->row))
		w->violation = "written after the final state";
	if (row->share > w->row.share && !first_raise &&
	    row->share - w->row.share > row->step_cap)
		w->violation = "a step above its cap";
	if (row->share > w->row.share && row->state != MOVE_RUNNING)
		w->violation = "share raised while backing out";
	if (row->step != w->row.step + 1 || row->step >= STEPS)
		w->violation = "steps skipped";
	w->row = *row;
	w->version++;
	if (row->step < STEPS)
		w->shares[row->step] = row->share;
	w->any_proven |= row->proven;
	w->finals += move_is_final(row);
	if (row->state == MOVE_BACKING_OUT && w->back_step == 0)
		w->back_step = row->step;
}

static gboolean
store_commit(world_t *w, const move_action_t *a)
{
	if (a->row.epoch != w->fence || a->check_version != w->version)
		return FALSE;
	store_write(w, &a->row);
	return TRUE;
}

static void
note_step(world_t *w, host_t *h)
{
	uint32_t step = move_host_step(&h->moves, "m1");

	if (step < h->step)
		w->violation = "a step was lowered";
	h->step = step;
	if (step > h->max_step)
		h->max_step = step;
}

/* Conditions that must hold when the holder decides to write. */
static void
check_decision(world_t *w, const move_row_t *from, const move_row_t *to)
{
	uint64_t usable = (uint64_t)w->room.slots * MOVE_FILL_PERCENT / 100;
	uint64_t added = to->share - from->share;
	gboolean raised = to->share > from->share;
	host_t *h;
	int i;

	for (i = 0; i < HOSTS; i++) {
		h = &w->hosts[i];
		note_step(w, h);
		if (!h->live)
			continue;
		if ((raised || move_is_final(to)) && h->max_step < from->step)
			w->violation =
			    "a live host had not confirmed the last step";
		if (to->state == MOVE_DONE && h->synced && h->step > 0 &&
		    share_applied(w, h) != to->goal)
			w->violation =
			    "done, but a host does not apply the goal";
		if (to->state == MOVE_TAKEN_BACK && share_applied(w, h) != 0)
			w->violation =
			    "taken back, but a host still applies a share";
	}
	if (!raised)
		return;
	if (!w->room.known || w->now - w->room.measured_at > 5000)
		w->violation = "a step without a measurement";
	if (added * w->room.demand * COLD_PERCENT / 100 / SHARE_ONE >
	    (usable > w->room.busy ? usable - w->room.busy : 0))
		w->violation = "a step without enough free slots";
}

static void
check_hosts(world_t *w)
{
	share_t share;
	host_t *h;
	int i;

	for (i = 0; i < HOSTS; i++) {
		h = &w->hosts[i];
		share = share_applied(w, h);
		note_step(w, h);
		if (h->step < STEPS && share != 0 &&
		    share != w->shares[h->step])
			w->violation =
			    "a share other than that of the host's step";
		if (share > w->row.goal ||
		    (!w->any_proven && share > w->row.cap))
			w->violation = "a share above the cap";
		if (w->row.kind == MOVE_ROLLOUT && share > 0 &&
		    w->back_step != 0 && h->step >= w->back_step)
			w->violation = "a share after backing out";
		if (h->had_stopped && share > 0 && w->row.state != MOVE_DONE)
			w->violation = "a share after a stop";
		h->had_stopped |= w->row.kind == MOVE_ROLLOUT &&
		    move_host_stopped(&h->moves, "m1");
	}
	if (w->reports > 1 || w->finals > 1 || w->reports > w->finals)
		w->violation = "ended or reported more than once, or reported "
			       "before the end";
}

static void
apply(world_t *w, host_t *h, const move_row_t *row)
{
	move_local_t *l;

	if (w->broken == STEP_LOWERED && h->moves.moves->len > 0) {
		l = &g_array_index(h->moves.moves, move_local_t, 0);
		l->row = *row;
		return;
	}
	move_host_apply(&h->moves, row);
	if (w->broken == STOP_FORGOTTEN && h->moves.moves->len > 0)
		g_array_index(h->moves.moves, move_local_t, 0).stopped = FALSE;
}

static void
sync_store(world_t *w, int i)
{
	host_t *h = &w->hosts[i];

	if (h->cut || h->paused)
		return;
	apply(w, h, &w->row);
	move_host_note_contact(&h->moves, w->now);
	h->synced = TRUE;
}

static void
sync_peer(world_t *w, int to, int from)
{
	const host_t *p = &w->hosts[from];

	if (to == from || !w->hosts[to].synced || w->hosts[to].paused ||
	    p->moves.moves->len == 0)
		return;
	apply(w, &w->hosts[to],
	    &g_array_index(p->moves.moves, move_local_t, 0).row);
	if (move_host_stopped(&p->moves, "m1"))
		move_host_stop(&w->hosts[to].moves, "m1", MOVE_STOP_BY_HOST, 0);
}

static void
send(world_t *w, const message_t *m)
{
	if (w->queued < QUEUE)
		w->queue[w->queued++] = *m;
}

static void
deliver(world_t *w, int at, gboolean again)
{
	message_t m;
	host_report_t *report_msg;

	if (w->queued == 0)
		return;
	at %= w->queued;
	m = w->queue[at];
	if (!again)
		w->queue[at] = w->queue[--w->queued];
	if (m.stop_order) {
		if (!w->hosts[m.host].paused)
			move_host_stop(&w->hosts[m.host].moves, "m1",
			    MOVE_STOP_ORDERED, m.epoch);
		return;
	}
	report_msg = &w->candidates[w->holder].reports[m.host];
	if (m.report_msg.seq <= report_msg->seq)
		return;
	*report_msg = m.report_msg;
	report_msg->report.heard_at = w->now;
}

static void
report(world_t *w, int i)
{
	host_t *h = &w->hosts[i];
	message_t m = {.host = i};

	if (h->paused)
		return;
	m.report_msg.seq = ++h->seq;
	m.report_msg.report.confirmed = move_host_step(&h->moves, "m1");
	m.report_msg.report.stopped = move_host_stopped(&h->moves, "m1");
	send(w, &m);
}

static void
change_holder(world_t *w)
{
	candidate_t *c;

	if (w->hosts[1 - w->holder].cut)
		return;
	w->holder = 1 - w->holder;
	c = &w->candidates[w->holder];
	memset(c, 0, sizeof(*c));
	c->epoch = ++w->fence;
	c->started = TRUE;
	move_holder_init(&c->m, &w->row, w->version, w->now);
}

/* Inputs of the holder, as it knows them or as a broken rule changes them. */
static move_input_t
inputs(const world_t *w, const candidate_t *c, move_report_t *reports)
{
	move_input_t in = {.now = w->now,
	    .wall_now = w->now,
	    .held = TRUE,
	    .epoch = c->epoch,
	    .members_known = TRUE,
	    .reports = reports,
	    .room = w->room,
	    .verdict = w->verdict,
	    .cancelled = w->cancelled,
	    .settle_ms = SETTLE_MS};
	int i;

	for (i = 0; i < HOSTS; i++) {
		if (!w->hosts[i].live)
			continue;
		reports[in.n_reports] = c->reports[i].report;
		if (w->broken == STEP_UNAWAITED) {
			reports[in.n_reports].confirmed = c->m.row.step;
			reports[in.n_reports].heard_at = w->now;
		}
		if (w->broken == NEVER_CONFIRMED)
			reports[in.n_reports].confirmed = 0;
		in.n_reports++;
	}
	if (w->broken == MEASUREMENT_IGNORED) {
		in.room.known = TRUE;
		in.room.measured_at = w->now;
	}
	if (w->broken == ROOM_IGNORED)
		in.room.busy = 0;
	return in;
}

static void
break_rule(const world_t *w, candidate_t *c)
{
	if (w->broken == REPORTED_TWICE && move_is_final(&c->m.row))
		c->m.report_due = TRUE;
	if (w->broken == CAP_PASSED)
		c->m.row.cap = SHARE_ONE;
}

static void
tick(world_t *w)
{
	candidate_t *c = &w->candidates[w->holder];
	move_report_t reports[HOSTS];
	move_input_t in;
	move_action_t a;
	int i;

	if (!c->started || w->hosts[w->holder].paused)
		return;
	break_rule(w, c);
	in = inputs(w, c, reports);
	a = move_holder_tick(&c->m, &in);
	switch (a.act) {
	case MOVE_ACT_COMMIT:
		check_decision(w, &c->m.row, &a.row);
		c->pending = a;
		break;
	case MOVE_ACT_READ:
		c->pending = a;
		break;
	case MOVE_ACT_STOP:
		for (i = 0; i < HOSTS; i++)
			send(w,
			    &(message_t){.stop_order = TRUE,
				.host = i,
				.epoch = a.row.epoch});
		break;
	case MOVE_ACT_REPORT:
		w->reports++;
		if (w->row.state != a.row.state || !move_is_final(&a.row))
			w->violation = "reported a state that is not written";
		break;
	case MOVE_ACT_NONE:
		break;
	}
}

static void
store_step(world_t *w, uint8_t pick)
{
	candidate_t *c = &w->candidates[w->holder];
	gboolean down = w->hosts[w->holder].cut;
	move_action_t a = c->pending;
	move_result_t result;

	c->pending.act = MOVE_ACT_NONE;
	if (a.act == MOVE_ACT_READ) {
		move_holder_read(&c->m,
		    down || pick % 16 == 15 ? NULL : &w->row, w->version,
		    w->now);
		return;
	}
	if (a.act != MOVE_ACT_COMMIT)
		return;
	if (down || pick % 16 == 15) {
		if (pick & 16)
			w->late_write = a;
		move_holder_answered(&c->m, &a, MOVE_LOST, 0, w->now);
		return;
	}
	result = store_commit(w, &a) ? MOVE_WON : MOVE_CONFLICT;
	if (pick % 16 == 14)
		result = MOVE_LOST;
	move_holder_answered(&c->m, &a, result, w->version, w->now);
}

static void
measure(world_t *w, uint8_t arg)
{
	w->room.known = arg % 8 != 0;
	w->room.measured_at = w->now;
	w->room.slots = 60;
	w->room.busy = arg % 8 == 1 ? 45 : 10;
	w->room.demand = 40;
	w->room.cold_percent = COLD_PERCENT;
}

static void
ordinary_round(world_t *w)
{
	int i;

	for (i = 0; i < HOSTS; i++) {
		sync_store(w, i);
		report(w, i);
	}
	while (w->queued > 0)
		deliver(w, 0, FALSE);
	if (w->room.known)
		w->room.measured_at = w->now;
	tick(w);
	store_step(w, 0);
	w->now += 600;
}

static void
event(world_t *w, uint8_t op, uint8_t arg)
{
	host_t *h = &w->hosts[arg % HOSTS];

	switch (op % 32) {
	case 0:
		h->cut = arg >= 160;
		break;
	case 1:
		h->paused = arg >= 160;
		break;
	case 2:
		if (arg >= 200)
			host_start(h);
		break;
	case 3:
		h->live = arg < 200;
		break;
	case 4:
		if (arg >= 128)
			change_holder(w);
		break;
	case 5:
		if (w->late_write.act == MOVE_ACT_COMMIT)
			store_commit(w, &w->late_write);
		w->late_write.act = MOVE_ACT_NONE;
		break;
	case 6:
		if (w->verdict != JUDGE_BAD)
			w->verdict = arg < 8 ? JUDGE_BAD
			    : arg < 180	     ? JUDGE_GOOD
					     : JUDGE_UNDECIDED;
		break;
	case 7:
		if (arg < 8)
			move_host_stop(&h->moves, "m1", MOVE_STOP_BY_HOST, 0);
		break;
	case 8:
		w->cancelled |= arg < 24;
		break;
	case 9:
		measure(w, arg);
		break;
	case 10:
		w->now += 20 * arg;
		break;
	case 11:
		sync_store(w, arg % HOSTS);
		break;
	case 12:
		sync_peer(w, arg % HOSTS, arg / HOSTS % HOSTS);
		break;
	case 13:
		report(w, arg % HOSTS);
		break;
	case 14:
		deliver(w, arg, arg >= 200);
		break;
	case 15:
		tick(w);
		break;
	case 16:
		store_step(w, arg);
		break;
	default:
		ordinary_round(w);
		break;
	}
}

static void
start(world_t *w, uint8_t pick)
{
	static const move_request_t requests[] = {
	    {"m1", MOVE_SHIFT, MOVE_REGION, "till", "a", "b", 2500, 30},
	    {"m1", MOVE_DRAIN, MOVE_DOMAIN, "*", "a", NULL, 0, 40},
	    {"m1", MOVE_ROLLOUT, MOVE_VERSION, "till", "1", "2", 0, 60},
	};
	caps_t caps = {.shift_cap = 0.3, .rollout_cap = 0.05};
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(move_row_t));
	gboolean again;
	int i;

	if (!move_admit(rows, &requests[pick % 4 == 3 ? 2 : pick % 4], &caps, 0,
		&w->row, &again, NULL))
		abort();
	g_array_free(rows, TRUE);
	w->version = 1;
	measure(w, 2);
	w->verdict = JUDGE_GOOD;
	for (i = 0; i < HOSTS; i++) {
		host_start(&w->hosts[i]);
		w->hosts[i].live = TRUE;
	}
	change_holder(w);
}

/* Clears all faults; the move must then reach a final state. */
static void
finish_without_faults(world_t *w)
{
	int i, after = 0;

	w->late_write.act = MOVE_ACT_NONE;
	measure(w, 2);
	if (w->verdict == JUDGE_UNDECIDED)
		w->verdict = JUDGE_GOOD;
	for (i = 0; i < HOSTS; i++) {
		w->hosts[i].cut = w->hosts[i].paused = FALSE;
		w->hosts[i].live = TRUE;
	}
	for (i = 0; i < FAULT_FREE_ROUNDS_MAX && after < AFTER_ROUNDS &&
	     w->violation == NULL;
	     i++) {
		ordinary_round(w);
		check_hosts(w);
		after += move_is_final(&w->row);
	}
	if (w->violation == NULL && !move_is_final(&w->row))
		w->violation = "no final state after the faults were cleared";
}

/* Moves that reached each final state, to check that the runs cover them. */
static int finished[MOVE_ROLLOUT + 1][MOVE_TAKEN_BACK + 1];

static const char *
run(byte_feed_t *f, int broken)
{
	world_t *w = g_new0(world_t, 1);
	const char *violation;
	uint8_t op;
	int i;

	w->broken = (broken_t)broken;
	start(w, feed_next(f));
	while (!feed_done(f) && w->violation == NULL) {
		op = feed_next(f);
		event(w, op, feed_next(f));
		check_hosts(w);
	}
	finish_without_faults(w);
	violation = w->violation;
	if (broken == RULES_KEPT)
		finished[w->row.kind][w->row.state]++;
	for (i = 0; i < HOSTS; i++)
		move_host_finish(&w->hosts[i].moves);
	g_free(w);
	return violation;
}

static void
run_random(int runs)
{
	GRand *rand = g_rand_new_with_seed(2);
	uint8_t data[512];
	size_t i;

	while (runs-- > 0) {
		for (i = 0; i < sizeof(data); i++)
			data[i] = (uint8_t)g_rand_int_range(rand, 0, 256);
		run(&(byte_feed_t){data, sizeof(data), 0}, RULES_KEPT);
	}
	g_rand_free(rand);
}

/* NOLINTNEXTLINE(readability-identifier-naming) */
int
LLVMFuzzerInitialize(int *argc, char ***argv)
{
	int kind;

	(void)argc;
	(void)argv;
	feed_self_test("step unawaited", STEP_UNAWAITED, 2000, run);
	feed_self_test("measurement ignored", MEASUREMENT_IGNORED, 2000, run);
	feed_self_test("room ignored", ROOM_IGNORED, 2000, run);
	feed_self_test("step lowered", STEP_LOWERED, 2000, run);
	feed_self_test("stop forgotten", STOP_FORGOTTEN, 2000, run);
	feed_self_test("reported twice", REPORTED_TWICE, 2000, run);
	feed_self_test("cap passed", CAP_PASSED, 2000, run);
	feed_self_test("never confirmed", NEVER_CONFIRMED, 2000, run);
	run_random(500);
	for (kind = MOVE_SHIFT; kind <= MOVE_ROLLOUT; kind++) {
		if (finished[kind][MOVE_DONE] == 0 ||
		    finished[kind][MOVE_TAKEN_BACK] == 0) {
			fprintf(stderr,
			    "self-test: %s: %d done, %d taken back\n",
			    move_kind_name((move_kind_t)kind),
			    finished[kind][MOVE_DONE],
			    finished[kind][MOVE_TAKEN_BACK]);
			abort();
		}
	}
	return 0;
}

/* NOLINTNEXTLINE(readability-identifier-naming) */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	return feed_input("fuzz_moves", data, size, run);
}
