#include <string.h>

#include "coordination/usage_duty.h"
#include "suite.h"

/*
 * The duty of reporting the usage. The checks guard against two hosts that call
 * the platform at the same time, a token that two hosts send, a lower token
 * after a higher one, and holders that act in the order A, B, A within a lease.
 */

#define LEASE 3000
#define SLACK 300
#define SELF 7
#define OTHER 8
#define START 20

static usage_duty_t
duty(uint64_t self, gboolean fenced)
{
	const usage_duty_conf_t conf = {self, START, LEASE, SLACK, fenced};
	usage_duty_t d;

	usage_duty_init(&d, &conf);
	return d;
}

/* ---- single transitions ---- */

typedef struct {
	const char *name;
	usage_duty_row_t row; /* seen first at 1000, read last at @now */
	msec_t now;
	gboolean eligible;
	guint rank;
	usage_duty_step_t step;
} take_row_t;

#define ROW_OF(host, start) \
	{ \
		host, start, 5, FALSE, 100 \
	}
#define END (1000 + LEASE + SLACK)

static const take_row_t take_rows[] = {
    {"no row, unknown whether one was lost", {0}, END - 1, TRUE, 0,
	USAGE_DUTY_WAIT},
    {"no row for a lease", {0}, END, TRUE, 0, USAGE_DUTY_TAKE},
    {"another's within its lease", ROW_OF(OTHER, 1), END - 1, TRUE, 0,
	USAGE_DUTY_WAIT},
    {"another's after it", ROW_OF(OTHER, 1), END, TRUE, 0, USAGE_DUTY_TAKE},
    {"the same, not eligible", ROW_OF(OTHER, 1), END, FALSE, 0,
	USAGE_DUTY_WAIT},
    {"the same, second in rank", ROW_OF(OTHER, 1), END, TRUE, 1,
	USAGE_DUTY_WAIT},
    {"second in rank, later", ROW_OF(OTHER, 1), END + USAGE_RANK_MS, TRUE, 1,
	USAGE_DUTY_TAKE},
    {"far in rank", ROW_OF(OTHER, 1), END * 9, TRUE, USAGE_RANK_MAX + 1,
	USAGE_DUTY_WAIT},
    {"an earlier start of this host", ROW_OF(SELF, START - 1), 1001, TRUE, 0,
	USAGE_DUTY_TAKE},
    {"a late write of this start", ROW_OF(SELF, START), 1001, TRUE, 0,
	USAGE_DUTY_TAKE},
    {"a later start of this host", ROW_OF(SELF, START + 1), 1001, TRUE, 0,
	USAGE_DUTY_WAIT},
};

static void
rows_are_taken(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(take_rows); i++) {
		const take_row_t *t = &take_rows[i];
		usage_duty_t d = duty(SELF, TRUE);

		ck_assert(usage_duty_next(&d, TRUE, 0, USAGE_DUTY_IDLE, 1000) ==
		    USAGE_DUTY_READ);
		usage_duty_reading(&d, 1000);
		usage_duty_saw(&d, &t->row, 1, 1000);
		usage_duty_reading(&d, t->now);
		usage_duty_saw(&d, &t->row, 1, t->now);
		ck_assert_msg(usage_duty_next(&d, t->eligible, t->rank,
				  USAGE_DUTY_IDLE, t->now) == t->step,
		    "%s", t->name);
	}
}

/* A holder since 10,000 whose row is known to be performed. */
static usage_duty_t
holder(gboolean fenced, gboolean was_quiet)
{
	usage_duty_row_t before = ROW_OF(OTHER, 1);
	usage_duty_offer_t offer = {.sent = 90};
	usage_duty_t d = duty(SELF, fenced);

	before.quiet = was_quiet;
	usage_duty_saw(&d, &before, 1, 1000);
	usage_duty_offer(&d, USAGE_DUTY_TAKE, &offer, 10000);
	usage_duty_written(&d, 2, 10050);
	return d;
}

static void
holder_calls_within_its_lease(void)
{
	static const struct {
		const char *name;
		gboolean fenced, was_quiet;
		msec_t now, ms;
	} rows[] = {
	    {"fenced, at once", TRUE, FALSE, 10050, 1000},
	    {"fenced, near the end", TRUE, FALSE, 12500, 400},
	    {"fenced, over", TRUE, FALSE, 12900, 0},
	    {"woken long after", TRUE, FALSE, 99000, 0},
	    {"not fenced, calls may be open", FALSE, FALSE, 10050, 0},
	    {"not fenced, just renewed", FALSE, FALSE, 12500, 0},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		usage_duty_t d = holder(rows[i].fenced, rows[i].was_quiet);

		ck_assert_msg(usage_duty_call_ms(&d, rows[i].now) == rows[i].ms,
		    "%s: %d", rows[i].name,
		    (int)usage_duty_call_ms(&d, rows[i].now));
		ck_assert_uint_eq(d.row.epoch, 6);
		ck_assert_int_eq(d.row.sent, 100);
	}
}

/* A successor that sees the flag does not wait for open calls, so there must
 * not be any. */
static void
quiet_holder_does_not_call(void)
{
	const usage_duty_offer_t idle = {.sent = 100, .load = USAGE_DUTY_IDLE};
	const usage_duty_offer_t busy = {
	    .sent = 100, .load = USAGE_DUTY_PENDING};
	usage_duty_t d = holder(FALSE, TRUE);

	ck_assert_int_eq(usage_duty_call_ms(&d, 10060), 0);
	ck_assert(usage_duty_next(&d, TRUE, 0, USAGE_DUTY_PENDING, 10060) ==
	    USAGE_DUTY_RENEW);
	usage_duty_offer(&d, USAGE_DUTY_RENEW, &busy, 10060);
	ck_assert_int_eq(usage_duty_call_ms(&d, 10070), 0);
	usage_duty_written(&d, 3, 10080);
	ck_assert_int_eq(usage_duty_call_ms(&d, 10080), 1000);
	usage_duty_offer(&d, USAGE_DUTY_RENEW, &idle, 10090);
	ck_assert_int_eq(usage_duty_call_ms(&d, 10095), 0);
	/* It may be performed later. */
	usage_duty_failed(&d);
	ck_assert_int_eq(usage_duty_call_ms(&d, 10100), 0);
	ck_assert(usage_duty_next(&d, TRUE, 0, USAGE_DUTY_PENDING, 10100) ==
	    USAGE_DUTY_RENEW);
	usage_duty_offer(&d, USAGE_DUTY_RENEW, &busy, 10100);
	usage_duty_written(&d, 4, 10110);
	ck_assert_int_eq(usage_duty_call_ms(&d, 10110), 1000);
}

/* A host that dies soon after it took the duty must not hide the open calls of
 * the one before it from its successor. */
static void
settling_holder_is_not_quiet(void)
{
	const usage_duty_offer_t idle = {.sent = 100, .load = USAGE_DUTY_IDLE};
	usage_duty_t d = holder(FALSE, FALSE);

	ck_assert(!usage_duty_offer(&d, USAGE_DUTY_RENEW, &idle, d.act_from - 1)
		       ->quiet);
	usage_duty_written(&d, 3, d.act_from);
	ck_assert(
	    usage_duty_offer(&d, USAGE_DUTY_RENEW, &idle, d.act_from)->quiet);
}

static void
holder_is_lost(void)
{
	static const struct {
		const char *name;
		usage_duty_row_t row;
		gboolean lost;
	} rows[] = {
	    {"its own, the version was not known", {SELF, START, 6, FALSE, 100},
		FALSE},
	    {"another's", {OTHER, 1, 7, FALSE, 100}, TRUE},
	    {"a store that came back from a copy", {SELF, START, 4, FALSE, 80},
		TRUE},
	    {"a later start", {SELF, START + 1, 7, FALSE, 100}, TRUE},
	    {"no row", {0}, TRUE},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		const usage_duty_offer_t busy = {
		    .sent = 100, .load = USAGE_DUTY_PENDING};
		usage_duty_t d = holder(TRUE, FALSE);

		usage_duty_offer(&d, USAGE_DUTY_RENEW, &busy, 11500);
		ck_assert_msg(
		    usage_duty_saw(&d, &rows[i].row, 9, 11600) == rows[i].lost,
		    "%s", rows[i].name);
		/* The lease counts from the last write that succeeded. */
		ck_assert_int_eq(usage_duty_call_ms(&d, 12950), 0);
		ck_assert_uint_ge(d.floor, 6);
	}
}

static void
refusal_ends_the_epoch(void)
{
	const usage_duty_offer_t offer = {.epoch_hint = 3};
	usage_duty_t d = holder(TRUE, FALSE);

	usage_duty_refused(&d, 10100);
	ck_assert_int_eq(usage_duty_call_ms(&d, 10100), 0);
	ck_assert(usage_duty_next(&d, TRUE, 0, USAGE_DUTY_PENDING,
		      10100 + LEASE - 1) == USAGE_DUTY_WAIT);
	ck_assert_uint_gt(
	    usage_duty_offer(&d, USAGE_DUTY_TAKE, &offer, 14000)->epoch, 7);
}

/* ---- random runs: hosts, one row, late and lost messages ---- */

#define HOSTS_N 3
#define WRITES_N 12
#define STEP_MS 50
#define STEPS 2400 /* two minutes */
#define RUNS 400
#define EPOCHS_N 512
/* Longer than any lease, so that a write may outlive its sender's. */
#define WRITE_LATE_MAX_MS 6000

typedef struct {
	usage_duty_row_t row;
	uint64_t expected;
	guint host, generation;
	msec_t performed_at, answered_at;
	gboolean open, done, is_read, won;
	usage_duty_row_t seen; /* the row in the answer */
	uint64_t seen_ver;
} message_t;

typedef struct {
	usage_duty_t duty;
	guint generation; /* starts; answers of an earlier one are lost */
	msec_t asleep_until;
	gboolean pending;
} model_host_t;

typedef struct {
	GRand *rand;
	gboolean fenced;
	usage_duty_row_t row;
	uint64_t ver;
	model_host_t hosts[HOSTS_N];
	message_t messages[WRITES_N];
	/* Calls as they are executed. */
	uint64_t epoch; /* highest */
	int last_host;	/* that acted; -1: none */
	msec_t last_at[HOSTS_N];
	msec_t left_at[HOSTS_N]; /* another host acted after it */
	guint takes, calls;
	guint sent_by[EPOCHS_N]; /* host that called with a token, from 1 */
	/* Calls that are executed late. */
	struct {
		uint64_t epoch;
		msec_t at;
		guint host;
	} late[WRITES_N];
	guint nlate;
} model_t;

static gboolean
chance(model_t *m, int percent)
{
	return g_rand_int_range(m->rand, 0, 100) < percent;
}

static void
start_host(model_t *m, guint i, msec_t now)
{
	model_host_t *h = &m->hosts[i];
	guint k;

	h->duty = duty(i + 1, m->fenced);
	h->duty.conf.start = (uint64_t)now + 1;
	h->generation++;
	h->asleep_until = 0;
	/* Its calls end with the process. */
	for (k = 0; k < m->nlate; k++) {
		if (m->late[k].host == i)
			m->late[k].at = MIN(
			    m->late[k].at, now + USAGE_CALL_SETTLE_MS - 100);
	}
}

static void
send_message(model_t *m, guint host, const usage_duty_row_t *row, msec_t now)
{
	message_t *msg = NULL;
	msec_t way = g_rand_int_range(m->rand, 1, 400);
	guint i;

	for (i = 0; i < WRITES_N && msg == NULL; i++) {
		if (!m->messages[i].open)
			msg = &m->messages[i];
	}
	if (msg == NULL) /* lost */
		return;
	*msg = (message_t){.open = TRUE,
	    .is_read = row == NULL,
	    .host = host,
	    .generation = m->hosts[host].generation,
	    .expected = m->hosts[host].duty.ver};
	if (row != NULL)
		msg->row = *row;
	if (chance(m, 8))
		way = g_rand_int_range(m->rand, 400, WRITE_LATE_MAX_MS);
	msg->performed_at = now + way;
	msg->answered_at = chance(m, 8) ? G_MAXINT64 : now + way + 1 + way / 2;
}

static void
perform(model_t *m, message_t *msg)
{
	if (!msg->is_read && msg->expected == m->ver) {
		m->row = msg->row;
		m->ver++;
		msg->won = TRUE;
	}
	msg->done = TRUE;
	msg->seen = m->row;
	msg->seen_ver = m->ver;
}

static void
answer(model_t *m, message_t *msg, msec_t now)
{
	model_host_t *h = &m->hosts[msg->host];

	if (msg->generation != h->generation || !h->duty.busy ||
	    h->duty.writing == msg->is_read)
		return;
	m->takes += msg->won && h->duty.taking;
	if (msg->won)
		usage_duty_written(&h->duty, msg->seen_ver, now);
	else
		usage_duty_saw(&h->duty, &msg->seen, msg->seen_ver, now);
}

static void
run_messages(model_t *m, msec_t now)
{
	guint i;

	for (i = 0; i < WRITES_N; i++) {
		message_t *msg = &m->messages[i];
		model_host_t *h = &m->hosts[msg->host];

		if (!msg->open)
			continue;
		if (!msg->done && now >= msg->performed_at)
			perform(m, msg);
		if (msg->done && now >= msg->answered_at &&
		    now >= h->asleep_until && h->duty.busy &&
		    now - MAX(h->duty.write_at, h->duty.read_at) <= 1000) {
			answer(m, msg, now);
			msg->open = FALSE;
		} else if (msg->done && now - msg->performed_at > 3000) {
			msg->open = FALSE;
		}
	}
}

static void
execute(model_t *m, uint64_t epoch)
{
	if (!m->fenced)
		ck_assert_msg(epoch >= m->epoch,
		    "token %" G_GUINT64_FORMAT " after %" G_GUINT64_FORMAT,
		    epoch, m->epoch);
	m->epoch = MAX(m->epoch, epoch);
}

static void
call(model_t *m, guint i, msec_t now)
{
	model_host_t *h = &m->hosts[i];
	uint64_t epoch = h->duty.row.epoch;
	guint k;

	ck_assert_uint_lt(epoch, EPOCHS_N);
	ck_assert_msg(m->sent_by[epoch] == 0 || m->sent_by[epoch] == i + 1,
	    "two hosts send one token");
	m->sent_by[epoch] = i + 1;
	for (k = 0; k < HOSTS_N; k++)
		ck_assert_msg(
		    k == i || usage_duty_call_ms(&m->hosts[k].duty, now) == 0,
		    "two hosts may call");
	if (m->last_host >= 0 && m->last_host != (int)i) {
		m->left_at[m->last_host] = m->last_at[m->last_host];
		ck_assert_msg(
		    m->left_at[i] == 0 || now - m->left_at[i] >= LEASE,
		    "A, B, A within a lease");
	}
	m->last_host = (int)i;
	m->last_at[i] = now;
	m->calls++;
	/* A call without a response is executed later. */
	if (chance(m, 15) && m->nlate < WRITES_N) {
		m->late[m->nlate].epoch = epoch;
		m->late[m->nlate].host = i;
		m->late[m->nlate++].at = now +
		    g_rand_int_range(
			m->rand, 0, USAGE_CALL_MS + USAGE_CALL_SETTLE_MS);
		return;
	}
	execute(m, epoch);
	h->pending = FALSE;
}

static gboolean
has_late(const model_t *m, uint64_t epoch)
{
	guint i;

	for (i = 0; i < m->nlate; i++) {
		if (m->late[i].epoch == epoch)
			return TRUE;
	}
	return FALSE;
}

static void
run_host(model_t *m, guint i, msec_t now)
{
	model_host_t *h = &m->hosts[i];
	usage_duty_t *d = &h->duty;
	const usage_duty_offer_t offer = {.sent = 1,
	    .load = h->pending		    ? USAGE_DUTY_PENDING
		: has_late(m, d->row.epoch) ? USAGE_DUTY_OPEN
					    : USAGE_DUTY_IDLE};
	usage_duty_step_t step;

	if (now < h->asleep_until)
		return;
	if (d->busy && now - MAX(d->write_at, d->read_at) > 1000)
		usage_duty_failed(d);
	if (h->pending && usage_duty_call_ms(d, now) > 0)
		call(m, i, now);
	step = usage_duty_next(d, TRUE, i, offer.load, now);
	if (step == USAGE_DUTY_READ) {
		usage_duty_reading(d, now);
		send_message(m, i, NULL, now);
	} else if (step != USAGE_DUTY_WAIT) {
		send_message(m, i, usage_duty_offer(d, step, &offer, now), now);
	}
}

static void
disturb(model_t *m, msec_t now)
{
	guint i = (guint)g_rand_int_range(m->rand, 0, HOSTS_N);
	model_host_t *h = &m->hosts[i];

	if (g_rand_int_range(m->rand, 0, 100) == 0) {
		if (chance(m, 50))
			start_host(m, i, now);
		else
			h->asleep_until =
			    now + g_rand_int_range(m->rand, 500, 3 * LEASE);
	}
	if (chance(m, 4))
		h->pending = TRUE;
}

static void
run_model(model_t *m)
{
	msec_t now = 1000;
	guint i, k;

	for (i = 0; i < HOSTS_N; i++)
		start_host(m, i, now);
	for (k = 0; k < STEPS; k++, now += STEP_MS) {
		disturb(m, now);
		for (i = m->nlate; i > 0; i--) {
			if (now < m->late[i - 1].at)
				continue;
			execute(m, m->late[i - 1].epoch);
			m->late[i - 1] = m->late[--m->nlate];
		}
		run_messages(m, now);
		for (i = 0; i < HOSTS_N; i++)
			run_host(m, i, now);
	}
}

static void
random_runs_keep_the_order(void)
{
	guint seed, takes = 0, calls = 0;

	for (seed = 0; seed < RUNS; seed++) {
		model_t m = {.rand = g_rand_new_with_seed(seed),
		    .fenced = seed % 2 == 0,
		    .last_host = -1};

		run_model(&m);
		takes += m.takes;
		calls += m.calls;
		g_rand_free(m.rand);
	}
	/* The runs would show nothing if the duty never changed hands. */
	ck_assert_uint_gt(takes, 2 * RUNS);
	ck_assert_uint_gt(calls, 20 * RUNS);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"rows are taken", rows_are_taken},
	    {"a holder calls within its lease", holder_calls_within_its_lease},
	    {"a quiet holder does not call", quiet_holder_does_not_call},
	    {"a settling holder is not quiet", settling_holder_is_not_quiet},
	    {"a holder is lost", holder_is_lost},
	    {"a refusal ends the epoch", refusal_ends_the_epoch},
	    {"random runs keep the order", random_runs_keep_the_order},
	};

	return suite_run("usage_duty", cases, G_N_ELEMENTS(cases));
}
