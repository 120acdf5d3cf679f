/*
 * Three hosts and one lease. The store may be down, lose answers or apply a
 * write late; messages are lost, duplicated and reordered; hosts are paused,
 * killed and restarted; their clocks differ in origin and rate. The oracle
 * knows only what a lease guarantees: there are never two valid holders, epochs
 * only grow, and no write under an old epoch is accepted.
 */
#include <string.h>

#include "byte_feed.h"
#include "coordination/lease.h"

#define HOSTS 3
#define MESSAGES 24
#define LATE_WRITES 8

/* The rule that a self-test breaks, to check that the oracle notices. */
typedef enum {
	RULES_KEPT,
	REVIVE_BY_PROMISE,
	TAKE_UNEXPIRED,
	TAKE_BEFORE_PROMISES_END,
	COUNT_FROM_RECEIPT,
	FENCE_UNCHECKED,
} broken_t;

typedef struct {
	lease_t lease;
	lease_action_t pending; /* store operation without an answer yet */
	gboolean paused, leaving;
	msec_t promised_at[HOSTS];     /* send time of last answered request */
	msec_t gave_promise_at[HOSTS]; /* time of last promise to each */
	uint64_t acked[HOSTS]; /* incarnation of each that this host knows */
	msec_t joined_at;      /* last acknowledgement received */
	unsigned acks;	       /* bit set of the hosts that acknowledged */
} host_t;

typedef struct {
	int from, to; /* requesting and promising host; from < 0: free */
	uint64_t incarnation;
	msec_t sent_at;	    /* on the requesting host's clock */
	gboolean is_answer; /* else a request */
} message_t;

typedef struct {
	int host;
	lease_action_t action;
	char holder[LEASE_HOST_MAX];
	uint64_t incarnation;
} write_t;

typedef struct {
	broken_t broken;
	msec_t now;
	lease_row_t row;
	uint64_t version;
	unsigned cut; /* bit set of the hosts cut off from the store */
	host_t hosts[HOSTS];
	message_t messages[MESSAGES];
	write_t late_writes[LATE_WRITES];
	int n_late_writes;
	gboolean slow; /* answers arrive one round late */
	uint64_t fenced_write_epoch;
	const char *violation;
} world_t;

static const lease_terms_t terms = {.lease_ms = 900,
    .promise_ms = 300,
    .margin_ms = 50,
    .renew_ms = 250,
    .poll_ms = 200,
    .retry_ms = 25};

static msec_t
local_time(const world_t *w, int i)
{
	return w->now + w->now * i / 100 + 1000 * i;
}

static void
host_start(world_t *w, int i)
{
	host_t *h = &w->hosts[i];
	uint64_t incarnation = h->lease.incarnation + 1;
	char name[8];
	int j;

	g_snprintf(name, sizeof(name), "h%d", i);
	memset(h, 0, sizeof(*h));
	lease_init(&h->lease, &terms, name, incarnation);
	for (j = 0; j < HOSTS; j++) {
		h->promised_at[j] = h->gave_promise_at[j] = LEASE_NEVER;
		h->acked[j] = w->hosts[j].lease.incarnation;
	}
	h->acks = 1U << i;
	h->joined_at = local_time(w, i);
}

static msec_t
promised_since(const world_t *w, int i)
{
	msec_t earliest = INT64_MAX;
	int j;

	for (j = 0; j < HOSTS; j++) {
		if (j != i && w->hosts[i].promised_at[j] < earliest)
			earliest = w->hosts[i].promised_at[j];
	}
	return earliest;
}

/* When this host's promises to the holder, to any incarnation, have expired. */
static msec_t
promises_end_at(const world_t *w, int i)
{
	const host_t *h = &w->hosts[i];
	int holder = h->lease.row.holder[1] - '0';

	if (!h->lease.known || holder < 0 || holder >= HOSTS ||
	    h->gave_promise_at[holder] == LEASE_NEVER ||
	    w->broken == TAKE_BEFORE_PROMISES_END)
		return LEASE_NEVER;
	return h->gave_promise_at[holder] + terms.promise_ms + terms.margin_ms;
}

/* Applies a write to the store; check and write are one transaction. */
static gboolean
store_write(world_t *w, const write_t *wr)
{
	const lease_action_t *a = &wr->action;

	if (w->broken != FENCE_UNCHECKED &&
	    a->check_fence != w->row.fence_version)
		return FALSE;
	if (a->check_renewal != LEASE_ANY_VERSION &&
	    a->check_renewal != w->row.renewal_version)
		return FALSE;
	if (a->epoch < w->row.epoch)
		w->violation = "a write of an old epoch was accepted";
	if (a->op != LEASE_RENEW) {
		w->row.fence_version = ++w->version;
		w->row.epoch = a->epoch;
		w->row.released = a->op == LEASE_RELEASE;
		g_strlcpy(w->row.holder, wr->holder, sizeof(w->row.holder));
		w->row.incarnation = wr->incarnation;
	}
	if (a->op != LEASE_RELEASE) {
		w->row.renewal_version = ++w->version;
		w->row.token = a->token;
	}
	return TRUE;
}

/* Ends a host's store operation; a byte chooses the outcome. */
static void
store_step(world_t *w, int i, uint8_t pick)
{
	host_t *h = &w->hosts[i];
	lease_action_t a = h->pending;
	write_t wr = {
	    .host = i, .action = a, .incarnation = h->lease.incarnation};
	gboolean won;

	if (a.op == LEASE_NONE)
		return;
	g_strlcpy(wr.holder, h->lease.self, sizeof(wr.holder));
	/* A read that gets no answer is repeated until it gets one. */
	if (a.op == LEASE_READ && (w->cut >> i & 1 || pick % 16 == 15))
		return;
	h->pending.op = LEASE_NONE;
	if (a.op == LEASE_READ) {
		lease_read(&h->lease, &w->row, local_time(w, i));
		return;
	}
	if (w->cut >> i & 1 || pick % 16 == 15) {
		if (pick & 16 && w->n_late_writes < LATE_WRITES)
			w->late_writes[w->n_late_writes++] = wr;
		lease_answered(
		    &h->lease, &a, LEASE_LOST, 0, 0, local_time(w, i));
		return;
	}
	won = store_write(w, &wr);
	if (pick % 16 == 14)
		lease_answered(
		    &h->lease, &a, LEASE_LOST, 0, 0, local_time(w, i));
	else
		lease_answered(&h->lease, &a, won ? LEASE_WON : LEASE_CONFLICT,
		    w->row.fence_version, w->row.renewal_version,
		    local_time(w, i));
}

static void
apply_late_write(world_t *w, uint8_t pick)
{
	int at;

	if (w->n_late_writes == 0)
		return;
	at = pick % w->n_late_writes;
	store_write(w, &w->late_writes[at]);
	w->late_writes[at] = w->late_writes[--w->n_late_writes];
}

/* A fenced write under the lease reaches the store. */
static void
fenced_write(world_t *w, int i)
{
	const lease_t *l = &w->hosts[i].lease;

	if (l->row.epoch == 0 || w->cut >> i & 1 ||
	    (w->broken != FENCE_UNCHECKED &&
		lease_fence(l) != w->row.fence_version))
		return;
	if (lease_epoch(l) < w->fenced_write_epoch)
		w->violation = "a fenced write of an old epoch was accepted";
	w->fenced_write_epoch = lease_epoch(l);
}

static void
send_requests(world_t *w, int i)
{
	int j, k = 0;

	for (j = 0; j < HOSTS; j++) {
		while (k < MESSAGES && w->messages[k].from >= 0)
			k++;
		if (j == i || k == MESSAGES)
			continue;
		w->messages[k] = (message_t){.from = i,
		    .to = j,
		    .incarnation = w->hosts[i].lease.incarnation,
		    .sent_at = local_time(w, i)};
	}
}

static void
answer_request(world_t *w, message_t *m)
{
	host_t *h = &w->hosts[m->to];
	const char *withheld_from = lease_withholds(&h->lease);

	if (m->incarnation < h->acked[m->from] ||
	    (withheld_from != NULL && withheld_from[1] - '0' == m->from)) {
		m->from = -1;
		return;
	}
	h->acked[m->from] = m->incarnation;
	h->gave_promise_at[m->from] = local_time(w, m->to);
	m->is_answer = TRUE;
}

static void
receive_answer(world_t *w, const message_t *m)
{
	host_t *h = &w->hosts[m->from];
	msec_t at = w->broken == COUNT_FROM_RECEIPT ? local_time(w, m->from)
						    : m->sent_at;

	if (m->incarnation != h->lease.incarnation)
		return;
	if (at > h->promised_at[m->to])
		h->promised_at[m->to] = at;
	if (!(h->acks & 1U << m->to)) {
		h->acks |= 1U << m->to;
		h->joined_at = local_time(w, m->from);
	}
}

static void
deliver(world_t *w, uint8_t pick)
{
	message_t *m = &w->messages[pick % MESSAGES];

	if (m->from < 0 || w->hosts[m->is_answer ? m->from : m->to].paused)
		return;
	if (!m->is_answer) {
		answer_request(w, m);
		return;
	}
	receive_answer(w, m);
	if (pick < 200) /* otherwise it is delivered again later */
		m->from = -1;
}

static void
answer_requests(world_t *w, int i)
{
	message_t *m;

	for (m = w->messages; m < w->messages + MESSAGES; m++) {
		if (m->from == i && !m->is_answer && !w->hosts[m->to].paused)
			answer_request(w, m);
	}
}

/* All requests of a host are answered, and the answers arrive. */
static void
deliver_all(world_t *w, int i)
{
	int k;

	for (k = 0; k < 2 * MESSAGES; k++) {
		if (w->messages[k % MESSAGES].from == i)
			deliver(w, (uint8_t)(k % MESSAGES));
	}
}

/* Changes the lease as a fault in its module would. */
static void
break_rule(const world_t *w, lease_t *l, const lease_input_t *in)
{
	if (w->broken == REVIVE_BY_PROMISE && l->until != LEASE_NEVER &&
	    in->promised_since + terms.promise_ms > l->until)
		l->until = in->promised_since + terms.promise_ms;
	if (w->broken == TAKE_UNEXPIRED)
		l->seen_at = LEASE_NEVER;
}

static void
tick(world_t *w, int i)
{
	host_t *h = &w->hosts[i];
	lease_input_t in = {.now = local_time(w, i),
	    .promised_since = promised_since(w, i),
	    .promises_end_at = promises_end_at(w, i)};
	lease_action_t a;

	in.eligible = !h->leaving && h->acks == (1U << HOSTS) - 1 &&
	    in.now > h->joined_at + terms.promise_ms + terms.margin_ms;
	break_rule(w, &h->lease, &in);
	a = lease_tick(&h->lease, &in);
	if (a.op != LEASE_NONE)
		h->pending = a;
}

static void
check(world_t *w)
{
	int i, valid = 0;

	for (i = 0; i < HOSTS; i++)
		valid += lease_valid(&w->hosts[i].lease, local_time(w, i));
	if (valid > 1)
		w->violation = "two valid holders at the same time";
}

/* A round without faults, so that the input's bytes are left for faults. */
static void
ordinary_round(world_t *w)
{
	int i;

	for (i = 0; i < HOSTS; i++) {
		if (w->hosts[i].paused)
			continue;
		if (w->slow)
			deliver_all(w, i);
		send_requests(w, i);
		if (w->slow)
			answer_requests(w, i);
		else
			deliver_all(w, i);
		tick(w, i);
		store_step(w, i, 0);
	}
	w->now += 100;
}

static void
event(world_t *w, uint8_t op, uint8_t arg)
{
	int i = arg % HOSTS;
	host_t *h = &w->hosts[i];

	switch (op % 16) {
	case 0:
		if (arg < 64)
			w->cut = arg % 8;
		w->slow = arg % 32 >= 16;
		break;
	case 1:
		h->paused = arg % 2;
		break;
	case 2:
		if (arg > 220)
			host_start(w, i);
		break;
	case 3:
		h->leaving = arg > 200;
		break;
	case 4:
		apply_late_write(w, arg);
		break;
	case 5:
		fenced_write(w, i);
		break;
	case 6:
		w->now += arg;
		break;
	case 7:
	case 13:
		ordinary_round(w);
		break;
	case 8:
		send_requests(w, i);
		break;
	case 9:
		answer_requests(w, i);
		break;
	case 14:
		deliver(w, arg);
		break;
	case 10:
	case 11:
		deliver_all(w, i);
		break;
	case 12:
		w->messages[arg % MESSAGES].from = -1;
		break;
	default:
		if (h->paused)
			break;
		tick(w, i);
		if (op & 0x30)
			store_step(w, i, arg / HOSTS);
		break;
	}
}

static const char *
run(byte_feed_t *f, int broken)
{
	world_t *w = g_new0(world_t, 1);
	const char *violation;
	uint8_t op;
	int i;

	w->broken = (broken_t)broken;
	for (i = 0; i < MESSAGES; i++)
		w->messages[i].from = -1;
	for (i = 0; i < HOSTS; i++)
		host_start(w, i);
	for (i = 0; i < 10; i++)
		ordinary_round(w);
	while (!feed_done(f) && w->violation == NULL) {
		op = feed_next(f);
		event(w, op, feed_next(f));
		check(w);
	}
	violation = w->violation;
	g_free(w);
	return violation;
}

/* NOLINTNEXTLINE(readability-identifier-naming) */
int
LLVMFuzzerInitialize(int *argc, char ***argv)
{
	(void)argc;
	(void)argv;
	feed_self_test("revive by promise", REVIVE_BY_PROMISE, 20000, run);
	feed_self_test("take unexpired", TAKE_UNEXPIRED, 20000, run);
	feed_self_test(
	    "take before promises end", TAKE_BEFORE_PROMISES_END, 20000, run);
	feed_self_test("count from receipt", COUNT_FROM_RECEIPT, 20000, run);
	feed_self_test("fence unchecked", FENCE_UNCHECKED, 20000, run);
	return 0;
}

/* NOLINTNEXTLINE(readability-identifier-naming) */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	return feed_input("fuzz_lease", data, size, run);
}
