#include <stdlib.h>

#include "fuzz/limits_model.h"
#include "fuzz/weighted_ops.h"
#include "suite.h"

/* Runs the model on random inputs. Return: number of runs until a violation. */
static int
runs_until_violated(
    model_break_t broken, int runs, long *admitted, long *refused)
{
	static const uint8_t ops[] = {EV_TIME, EV_TIME, EV_REQUESTS,
	    EV_REQUESTS, EV_ASK, EV_ASK, EV_ASK, EV_DELIVER, EV_DELIVER,
	    EV_DELIVER, EV_DELIVER, EV_DOUBLE, EV_LOSE, EV_TAKE_LEASE,
	    EV_RENEW_LEASE, EV_FRESHEN, EV_ADOPT, EV_SETTLE, EV_CALM, EV_CALM};
	static const uint8_t faults[] = {EV_PAUSE, EV_PAUSE, EV_KILL, EV_JOIN,
	    EV_JOIN, EV_CONFIG, EV_CONFIG};
	static const weighted_ops_t events = {
	    ops, G_N_ELEMENTS(ops), faults, G_N_ELEMENTS(faults), 12};
	static model_t m;
	GRand *rand = g_rand_new_with_seed(1);
	uint8_t data[257];
	int i;

	for (i = 0; i < runs; i++) {
		data[0] = (uint8_t)i;
		weighted_fill(&events, rand, data + 1, sizeof(data) - 1);
		model_run(&m, broken, data, sizeof(data));
		*admitted += m.admitted;
		*refused += m.refused;
		if (m.violated)
			break;
	}
	g_rand_free(rand);
	return i;
}

/* Indices of the model's configurations. */
#define FAST 0 /* 100 per second, burst 20 */
#define FAST_MANY_SLOTS 1
#define STEADY 2 /* 50 per second, burst 60 */
#define STEADY_MANY_SLOTS 6
#define SLOW 4 /* 10 per second, burst 100 */
/* Argument of EV_REQUESTS for the maximum number of requests. */
#define MANY(proc) (252 + (proc))
/* Argument of EV_CALM for the longest period, without or with load. */
#define IDLE 15
#define BUSY (7 * 32 + 15)

static void
many_requests(model_t *m)
{
	int i;

	for (i = 0; i < 3 * NAMES; i++)
		model_event(m, EV_REQUESTS, MANY(i % NAMES));
}

/* Lets the buckets fill, then spreads loans with some requests. */
static void
fill(model_t *m)
{
	int i;

	for (i = 0; i < 40; i++)
		model_event(m, EV_CALM, IDLE);
	model_event(m, EV_CALM, 2 * 32 + 7);
}

/* One borrow request and its answer; @arg as for EV_ASK. */
static void
exchange(model_t *m, int arg)
{
	int before = m->n_messages;

	model_event(m, EV_ASK, arg);
	while (m->n_messages > before)
		model_event(m, EV_DELIVER, m->n_messages - 1);
}

static void
all_tokens_are_used_and_loans_expire(model_t *m)
{
	int i;

	/* Waiting requests take all tokens; no borrow request reports it. */
	many_requests(m);
	model_event(m, EV_TIME, 13);
	many_requests(m);
	for (i = 0; i < NAMES; i++)
		exchange(m, i);
	model_event(m, EV_TIME, 255);
	model_event(m, EV_TIME, 255);
	model_event(m, EV_TIME, 40);
	model_event(m, EV_CALM, BUSY);
}

static void
answer_is_delivered_many_times(model_t *m)
{
	int i;

	for (i = 0; i < 20; i++)
		model_event(m, EV_CALM, IDLE);
	model_event(m, EV_REQUESTS, MANY(0));
	model_event(m, EV_ASK, 0);
	model_event(m, EV_DELIVER, 0);
	for (i = 0; i < 20; i++) {
		model_event(m, EV_DOUBLE, 0);
		model_event(m, EV_REQUESTS, MANY(0));
	}
}

/* The old lender makes its last loans at the end of its lease. */
static void
lender_changes(model_t *m)
{
	int i;

	for (i = 0; i < 20; i++) {
		model_event(m, EV_TIME, 49);
		exchange(m, 1);
		exchange(m, 2);
	}
	model_event(m, EV_TIME, 20);
	model_event(m, EV_TAKE_LEASE, 1);
	for (i = 0; i < 24; i++) {
		model_event(m, EV_TIME, 17);
		exchange(m, i % NAMES);
	}
	many_requests(m);
	for (i = 0; i < 2 * NAMES; i++) {
		model_event(m, EV_TIME, 13);
		exchange(m, i % NAMES);
	}
}

static void
answer_is_late(model_t *m)
{
	int i;

	/* There is demand, but no request waits when the answer arrives. */
	for (i = 0; i < 3; i++)
		model_event(m, EV_REQUESTS, MANY(1));
	model_event(m, EV_TIME, 130);
	model_event(m, EV_REQUESTS, 1);
	model_event(m, EV_ASK, 1);
	model_event(m, EV_DELIVER, 0);
	model_event(m, EV_TIME, 195);
	exchange(m, 0);
	model_event(m, EV_DOUBLE, 0);
	model_event(m, EV_TIME, 255);
	model_event(m, EV_DELIVER, 0);
	model_event(m, EV_TIME, 200);
	model_event(m, EV_REQUESTS, MANY(0));
	exchange(m, 0);
	many_requests(m);
}

/* Hosts still ask the lender whose lease has ended. */
static void
lease_ends_unnoticed(model_t *m)
{
	int i;

	for (i = 0; i < 120; i++) {
		model_event(m, EV_TIME, 20);
		model_event(m, EV_TAKE_LEASE, 1);
		model_event(m, EV_FRESHEN, i % NAMES);
		model_event(m, EV_REQUESTS, MANY(i % NAMES));
		exchange(m, 1);
		exchange(m, 192);
		exchange(m, 192 + 2);
	}
}

/* No host takes over: the lender keeps its epoch, its loans stay valid. */
static void
lease_lapses_and_is_kept(model_t *m)
{
	int i;

	for (i = 0; m->now < m->lease_end; i++) {
		model_event(m, EV_TIME, 5);
		model_event(m, EV_FRESHEN, i % NAMES);
		model_event(m, EV_REQUESTS, MANY(i % NAMES));
		exchange(m, i % NAMES);
	}
	model_event(m, EV_RENEW_LEASE, m->holder);
	model_event(m, EV_TIME, 13);
	many_requests(m);
	for (i = 0; i < NAMES; i++)
		exchange(m, i);
}

/* A host is replaced while its old process still runs. */
static void
two_processes_hold_a_slot(model_t *m)
{
	int i;

	model_event(m, EV_JOIN, 0);
	for (i = 0; i < 60 && !m->violated; i++) {
		model_event(m, EV_CALM, BUSY);
		model_event(m, EV_REQUESTS, 252);
	}
}

/* A delegation reaches the lender only when its host has the reserve back. */
static void
delegation_is_late(model_t *m)
{
	int i;

	model_event(m, EV_TIME, 255);
	model_event(m, EV_ASK, 2);
	for (i = 0; i < 65; i++) {
		model_event(m, EV_TIME, 30);
		model_event(m, EV_RENEW_LEASE, 0);
		model_event(m, EV_FRESHEN, i % NAMES);
		exchange(m, i % 2);
		if (i == 44)
			model_event(m, EV_DELIVER, 0);
	}
	many_requests(m);
	exchange(m, 0);
	exchange(m, 1);
	many_requests(m);
}

static void
burst_follows_idle_period(model_t *m)
{
	int i;

	for (i = 0; i < 20; i++)
		model_event(m, EV_CALM, IDLE);
	for (i = 0; i < NAMES; i++)
		exchange(m, i);
	model_event(m, EV_TIME, 250);
	many_requests(m);
	for (i = 0; i < NAMES; i++)
		exchange(m, i);
	many_requests(m);
}

/* The number of slots is lowered; one paused host doesn't know it yet. */
static void
one_host_keeps_old_configuration(model_t *m)
{
	int i;

	model_event(m, EV_CALM, IDLE);
	model_event(m, EV_PAUSE, 2);
	model_event(m, EV_CONFIG, STEADY_MANY_SLOTS);
	for (i = 0; i < 4; i++)
		model_event(m, EV_CALM, IDLE);
	model_event(m, EV_PAUSE, 2);
	many_requests(m);
	model_event(m, EV_CALM, BUSY);
	many_requests(m);
}

static void
oracle_detects_each_broken_rule(void)
{
	static const struct {
		model_break_t rule;
		int config;
		void (*run)(model_t *m);
	} rows[] = {
	    {BREAK_EXPIRED, SLOW, all_tokens_are_used_and_loans_expire},
	    {BREAK_TWICE, SLOW, answer_is_delivered_many_times},
	    {BREAK_WAIT, FAST, lender_changes},
	    {BREAK_RECEIPT, FAST_MANY_SLOTS, answer_is_late},
	    {BREAK_LEASE, FAST, lease_ends_unnoticed},
	    {BREAK_FRESH, STEADY, two_processes_hold_a_slot},
	    {BREAK_SETTLED, STEADY, one_host_keeps_old_configuration},
	    {BREAK_ECHO, STEADY, delegation_is_late},
	    {BREAK_DELEGATED, STEADY, burst_follows_idle_period},
	    {BREAK_FULL, FAST_MANY_SLOTS, lease_lapses_and_is_kept},
	};
	static model_t m;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		model_init(&m, BREAK_NONE, rows[i].config);
		fill(&m);
		rows[i].run(&m);
		model_finish(&m);
		ck_assert_msg(!m.violated, "row %zu kept", i);
		model_init(&m, rows[i].rule, rows[i].config);
		fill(&m);
		rows[i].run(&m);
		model_finish(&m);
		ck_assert_msg(m.violated, "row %zu broken", i);
	}
}

static void
random_runs_admit_and_keep_limit(void)
{
	long admitted = 0, refused = 0;

	ck_assert_int_eq(
	    runs_until_violated(BREAK_NONE, 300, &admitted, &refused), 300);
	ck_assert_int_gt(admitted, 10000);
	ck_assert_int_gt(refused, 1000);
}

static void
buckets_fill_and_empty(void)
{
	static const struct {
		double rate, burst;
		utoken_t reserved;
		msec_t elapsed;
		utoken_t level;
		msec_t ready_at; /* for one token */
	} rows[] = {
	    {10, 5, 0, 0, 0, 100},
	    {10, 5, 0, 99, 990000, 100},
	    {10, 5, 0, 100, UTOKEN, 100},
	    {10, 5, 0, 100000, 5 * UTOKEN, 100000},
	    {10, 5, 4 * UTOKEN, 100000, UTOKEN, 100000},
	    {10, 5, 6 * UTOKEN, 100000, 0, 100100},
	    {0, 5, 0, 100000, 0, INT64_MAX},
	    {10, 0.5, 0, 100000, UTOKEN / 2, INT64_MAX},
	    {-1, -1, 0, 100, 0, INT64_MAX},
	    {1e30, 1e30, 0, INT64_MAX / 2, 1000000000 * UTOKEN, INT64_MAX / 2},
	    {10, 5, 0, -1000, 0, 100},
	};
	bucket_t b;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		bucket_init(&b, limit_make(rows[i].rate, rows[i].burst), 0);
		bucket_refill(&b, rows[i].reserved, rows[i].elapsed);
		ck_assert_msg(b.level == rows[i].level, "row %zu", i);
		ck_assert_msg(bucket_ready_at(&b, UTOKEN) == rows[i].ready_at,
		    "row %zu ready", i);
	}
}

static void
parts_never_exceed_whole_limit(void)
{
	static const struct {
		double rate, burst;
		unsigned slots;
		utoken_t floor, lent; /* of the burst */
	} rows[] = {
	    {100, 50, 10, UTOKEN, 40 * UTOKEN},
	    {100, 40, 10, 0, 40 * UTOKEN},
	    {100, 50, 0, 0, 50 * UTOKEN},
	    {7, 50.5, 3, 3366666, 40400002},
	};
	const shares_t shares = {200, 0};
	limit_t whole, part, lent;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		whole = limit_make(rows[i].rate, rows[i].burst);
		part = limit_slot(whole, 200, rows[i].slots);
		lent = limit_lendable(whole, shares, rows[i].slots, TRUE).base;
		ck_assert_int_eq(part.burst, rows[i].floor);
		ck_assert_int_eq(lent.burst, rows[i].lent);
		ck_assert_int_eq(
		    part.rate * rows[i].slots + lent.rate, whole.rate);
		lent = limit_lendable(whole, shares, rows[i].slots, FALSE).base;
		ck_assert_int_le(lent.burst, whole.burst * 8 / 10);
	}
}

/* Borrow requests to one lender in order, and what each is granted. */
static void
borrow_requests_are_answered_once(void)
{
	static const struct {
		msec_t at;
		host_id_t host;
		uint64_t sequence, epoch, taken, used, returned, wanted;
		lend_verdict_t verdict;
		uint64_t granted, excess;
		utoken_t level; /* whole tokens after it */
	} rows[] = {
	    /* Waits until earlier lenders' loans expire, then fills. */
	    {1019, 1, 1, 0, 0, 0, 0, 5, LEND_ANSWERED, 0, 0, 0},
	    {1120, 1, 2, 0, 0, 0, 0, 5, LEND_ANSWERED, 5, 0, 5},
	    /* Duplicate; out of order. */
	    {1120, 1, 2, 0, 0, 0, 0, 5, LEND_STALE, 0, 0, 5},
	    {1120, 1, 1, 0, 0, 0, 0, 5, LEND_STALE, 0, 0, 5},
	    /* The answer was lost: its grant is available again. */
	    {1120, 1, 3, 1, 0, 0, 0, 7, LEND_ANSWERED, 7, 0, 3},
	    /* Used is consumed, returned is available, the rest stays lent. */
	    {1120, 1, 4, 1, 7, 3, 2, 2, LEND_ANSWERED, 0, 0, 5},
	    {1120, 1, 5, 1, 7, 3, 2, 0, LEND_ANSWERED, 0, 2, 5},
	    /*
	     * An expired loan counts as used, whatever the host reports.
	     * The bucket refills that part only from then on.
	     */
	    {2140, 3, 1, 1, 0, 0, 0, 0, LEND_ANSWERED, 0, 0, 8},
	    {2160, 1, 6, 1, 7, 3, 2, 0, LEND_ANSWERED, 0, 0, 10},
	    {2160, 1, 7, 1, 7, 5, 2, 1, LEND_ANSWERED, 1, 0, 9},
	    /* Another host gets at most the level. */
	    {2160, 2, 1, 1, 0, 0, 0, 20, LEND_ANSWERED, 9, 0, 0},
	    /* A lower share: the excess is called back if others need it. */
	    {2160, 1, 8, 1, 8, 5, 2, 0, LEND_ANSWERED, 0, 1, 0},
	    /* The host knows a newer lender; the lease has ended. */
	    {2160, 2, 2, 2, 0, 0, 0, 20, LEND_NOT_HOLDER, 0, 0, 0},
	    {5000, 2, 2, 1, 0, 0, 0, 20, LEND_NOT_HOLDER, 0, 0, 10},
	};
	const lendable_t limit = {limit_make(100, 10), {0, 0}};
	borrow_request_t request;
	borrow_answer_t answer;
	lender_t l;
	size_t i;

	lender_init(&l);
	/* The lease lapsed and the same host kept it. */
	lender_start(&l, 1, limit, -5000);
	lender_start(&l, 1, limit, 0);
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		memset(&answer, 0, sizeof(answer));
		request = (borrow_request_t){.host = rows[i].host,
		    .incarnation = 1,
		    .sequence = rows[i].sequence,
		    .epoch = rows[i].epoch,
		    .taken = rows[i].taken,
		    .used = rows[i].used,
		    .returned = rows[i].returned,
		    .wanted = rows[i].wanted};
		ck_assert_msg(lender_borrow(&l, &request, 5000, rows[i].at,
				  &answer) == rows[i].verdict,
		    "row %zu verdict", i);
		ck_assert_msg(answer.granted == rows[i].granted &&
			answer.excess == rows[i].excess,
		    "row %zu: %d granted, %d excess", i, (int)answer.granted,
		    (int)answer.excess);
		ck_assert_msg(
		    lender_level(&l, rows[i].at) / UTOKEN == rows[i].level,
		    "row %zu level %d", i,
		    (int)(lender_level(&l, rows[i].at) / UTOKEN));
	}
	lender_finish(&l);
}

static void
only_the_first_lender_starts_full(void)
{
	static const struct {
		uint64_t epoch;
		utoken_t level; /* whole tokens at once */
	} rows[] = {{1, 10}, {1, 0}, {2, 0}};
	const lendable_t limit = {limit_make(100, 10), {0, 0}};
	lender_t first, other;
	size_t i;

	lender_init(&first);
	lender_init(&other);
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		lender_start(&first, rows[i].epoch, limit, 5000);
		ck_assert_msg(
		    lender_level(&first, 5000) / UTOKEN == rows[i].level,
		    "row %zu", i);
		ck_assert_int_eq(lender_level(&first, 5000 + GRANT_TTL_MS),
		    rows[i].level * UTOKEN);
	}
	lender_start(&other, 2, limit, 5000);
	ck_assert_int_eq(lender_level(&other, 5000), 0);
	lender_finish(&first);
	lender_finish(&other);
}

static void
first_borrower_leaves_tokens_for_others(void)
{
	static const struct {
		double burst;
		host_id_t hosts;
	} rows[] = {{40, 9}, {20, 10}, {10, 3}};
	borrow_request_t request;
	borrow_answer_t answer;
	lender_t l;
	host_id_t host;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		const lendable_t limit = {
		    limit_make(rows[i].burst, rows[i].burst), {0, 0}};

		lender_init(&l);
		lender_start(&l, 1, limit, 0);
		for (host = 1; host <= rows[i].hosts; host++) {
			request = (borrow_request_t){.host = host,
			    .incarnation = 1,
			    .sequence = 1,
			    .demand = MSEC_PER_SEC / 2,
			    .wanted = 1};
			lender_borrow(&l, &request, INT64_MAX, 5000, &answer);
			ck_assert_msg(answer.granted > 0, "row %zu host %d", i,
			    (int)host);
		}
		lender_finish(&l);
	}
}

static void
first_requests_wait_for_a_lender(void)
{
	const borrower_config_t config = {limit_make(100, 20), 3, SLOT_NONE};
	borrow_answer_t answer = {2, 1, 1, 0, 5};
	borrow_request_t request;
	borrower_t b;
	msec_t now;

	borrower_init(&b, 1, 1, borrower_shares(), 0);
	borrower_configure(&b, &config, 0);
	ck_assert_int_eq(
	    borrower_admit(&b, 0, FALSE, TRUE, 0).kind, ADMIT_WAIT);
	/* Borrow requests while there is no lender yet. */
	for (now = 0; now < START_WAIT_MS; now += BORROW_TIMEOUT_MS)
		ck_assert(borrower_ask(&b, TRUE, now, &request));
	now = START_WAIT_MS - 1;
	ck_assert_int_eq(
	    borrower_admit(&b, 0, TRUE, TRUE, now).kind, ADMIT_WAIT);
	/* A lender is known: it is asked at once. */
	borrower_epoch(&b, 1, now);
	ck_assert(borrower_ask(&b, TRUE, now, &request));
	ck_assert_int_eq(request.wanted, 1);
	answer.sequence = request.sequence;
	ck_assert(borrower_answered(&b, &answer, now));
	ck_assert_int_eq(borrower_admit(&b, 0, TRUE, TRUE, now).kind, ADMIT);
	ck_assert_int_eq(
	    borrower_admit(&b, now, FALSE, TRUE, now).kind, ADMIT_WAIT);
	/* No wait beyond WAIT_MAX_MS. */
	ck_assert_int_eq(
	    borrower_admit(&b, now, TRUE, TRUE, now + WAIT_MAX_MS).kind,
	    ADMIT_REFUSE);
}

static void
requests_wait_for_one_exchange(void)
{
	borrow_request_t request;
	borrow_answer_t answer = {1, 1, 1, 0, 5};
	borrower_t b;
	admit_t v;

	borrower_init(&b, 1, 1, borrower_shares(), 0);
	ck_assert(!borrower_ask(&b, TRUE, 0, &request));
	v = borrower_admit(&b, 0, FALSE, FALSE, 0);
	ck_assert_int_eq(v.kind, ADMIT_STALE);
	v = borrower_admit(&b, 0, FALSE, TRUE, 0);
	ck_assert_int_eq(v.kind, ADMIT_WAIT);
	ck_assert_int_eq(v.until, WAIT_MAX_MS);
	v = borrower_admit(&b, 0, FALSE, TRUE, 0);
	ck_assert_int_eq(v.kind, ADMIT_WAIT);
	ck_assert(borrower_ask(&b, TRUE, 0, &request));
	ck_assert_int_eq(request.wanted, 2);
	ck_assert(!borrower_ask(&b, TRUE, 10, &request));
	ck_assert(borrower_answered(&b, &answer, 20));
	/* A new request doesn't overtake; one of the two waiting is served. */
	v = borrower_admit(&b, 20, FALSE, TRUE, 20);
	ck_assert_int_eq(v.kind, ADMIT_WAIT);
	v = borrower_admit(&b, 0, TRUE, TRUE, 20);
	ck_assert_int_eq(v.kind, ADMIT);
	v = borrower_admit(&b, 0, TRUE, TRUE, WAIT_MAX_MS);
	ck_assert_int_eq(v.kind, ADMIT_REFUSE);
	/* A duplicate answer grants nothing. */
	ck_assert(!borrower_answered(&b, &answer, 300));
	ck_assert_int_eq(borrower_tokens(&b, 300), 0);
}

static void
requests_do_not_wait_for_lost_lender(void)
{
	borrow_request_t request;
	borrower_t b;
	admit_t v;
	msec_t now = 0;
	int i;

	borrower_init(&b, 1, 1, borrower_shares(), 0);
	for (i = 0; i <= BORROW_LOST_MAX; i++) {
		v = borrower_admit(&b, now, FALSE, TRUE, now);
		ck_assert_int_eq(v.kind, ADMIT_WAIT);
		ck_assert(borrower_ask(&b, TRUE, now, &request));
		now += BORROW_TIMEOUT_MS;
		v = borrower_admit(
		    &b, now - BORROW_TIMEOUT_MS, TRUE, TRUE, now);
		ck_assert_int_eq(v.kind, ADMIT_REFUSE);
	}
	v = borrower_admit(&b, now, FALSE, TRUE, now);
	ck_assert_int_eq(v.kind, ADMIT_REFUSE);
	ck_assert_int_eq(v.until, now + MSEC_PER_SEC);
}

static void
floor_grows_late_and_shrinks_at_once(void)
{
	const shares_t shares = {200, 0};
	borrower_config_t wide = {limit_make(100, 100), 10, 3},
			  narrow = {limit_make(100, 100), 20, 3},
			  none = {limit_make(100, 100), 10, SLOT_NONE};
	borrower_t b;

	borrower_init(&b, 1, 1, shares, 0);
	borrower_configure(&b, &wide, 0);
	ck_assert_int_eq(borrower_tokens(&b, 10000), 0);
	borrower_settled(&b, 10000);
	borrower_admit(&b, 11019, FALSE, FALSE, 11019);
	ck_assert_int_eq(borrower_tokens(&b, 20000), 0);
	borrower_admit(&b, 20000, FALSE, FALSE, 20000);
	ck_assert_int_eq(borrower_tokens(&b, 20000), 0);
	ck_assert_int_eq(borrower_tokens(&b, 30000), 2);
	borrower_configure(&b, &narrow, 30000);
	ck_assert_int_eq(borrower_tokens(&b, 40000), 1);
	borrower_configure(&b, &wide, 40000);
	ck_assert_int_eq(borrower_tokens(&b, 50000), 1);
	borrower_configure(&b, &none, 50000);
	ck_assert_int_eq(borrower_tokens(&b, 60000), 0);
}

/* A host whose slot holds the whole limit as its reserve, and its lender. */
static void
reserve_init(borrower_t *b, lender_t *l)
{
	const limit_t whole = limit_make(100, 100);
	const shares_t shares = {0, 1000};
	const borrower_config_t config = {whole, 1, 0};

	borrower_init(b, 1, 1, shares, 0);
	borrower_configure(b, &config, 0);
	borrower_settled(b, 0);
	lender_init(l);
	lender_start(l, 1, limit_lendable(whole, shares, 1, TRUE), 0);
	ck_assert_int_eq(borrower_tokens(b, 10000), 0);
}

static void
reserve_is_delegated_to_reachable_lender(void)
{
	borrow_request_t request;
	borrow_answer_t answer;
	borrower_t b;
	lender_t l;
	msec_t at = 20000;

	reserve_init(&b, &l);
	/* No delegation before the first answer of the lender. */
	ck_assert(borrower_ask(&b, TRUE, at, &request));
	ck_assert_int_eq(request.delegated.burst, 0);
	ck_assert_int_eq(borrower_tokens(&b, at), 100);
	lender_borrow(&l, &request, INT64_MAX, at, &answer);
	borrower_answered(&b, &answer, at);
	/* No delegation by a host that may not use its slot. */
	at += DELEGATION_PERIOD_MS;
	ck_assert(borrower_ask(&b, FALSE, at, &request));
	ck_assert_int_eq(request.delegated.burst, 0);
	lender_borrow(&l, &request, INT64_MAX, at, &answer);
	borrower_answered(&b, &answer, at);
	at += DELEGATION_PERIOD_MS;
	ck_assert(borrower_ask(&b, TRUE, at, &request));
	ck_assert_int_eq(request.delegated.burst, 100 * UTOKEN);
	ck_assert_int_eq(borrower_tokens(&b, at), 0);
	lender_finish(&l);
}

static void
delegation_ends_before_host_uses_reserve(void)
{
	const msec_t delegation_limit_ms =
	    DELEGATION_MS + GRANT_TTL_MS + 2 * GRANT_DRIFT_MS;
	const msec_t first = 20000, at = first + DELEGATION_PERIOD_MS;
	borrow_request_t request;
	borrow_answer_t answer;
	borrower_t b;
	lender_t l;

	reserve_init(&b, &l);
	borrower_ask(&b, TRUE, first, &request);
	lender_borrow(&l, &request, INT64_MAX, first, &answer);
	borrower_answered(&b, &answer, first);
	borrower_ask(&b, TRUE, at, &request);
	/* Late: it counts for DELEGATION_MS from the previous answer. */
	lender_borrow(&l, &request, INT64_MAX, at + 100, &answer);
	ck_assert_int_eq(lender_level(&l, at + 600) / UTOKEN, 50);
	ck_assert_int_eq(lender_level(&l, first + DELEGATION_MS), 0);
	ck_assert_int_eq(l.bucket.limit.burst, 0);
	/* The host gets it back, empty, when all loans from it have expired. */
	ck_assert_int_eq(borrower_tokens(&b, at + delegation_limit_ms + 9), 0);
	ck_assert_int_eq(borrower_tokens(&b, at + delegation_limit_ms + 10), 1);
	lender_finish(&l);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"buckets fill and empty", buckets_fill_and_empty},
	    {"parts never exceed whole limit", parts_never_exceed_whole_limit},
	    {"borrow requests are answered once",
		borrow_requests_are_answered_once},
	    {"only the first lender starts full",
		only_the_first_lender_starts_full},
	    {"first borrower leaves tokens for others",
		first_borrower_leaves_tokens_for_others},
	    {"first requests wait for a lender",
		first_requests_wait_for_a_lender},
	    {"requests wait for one exchange", requests_wait_for_one_exchange},
	    {"requests do not wait for lost lender",
		requests_do_not_wait_for_lost_lender},
	    {"floor grows late and shrinks at once",
		floor_grows_late_and_shrinks_at_once},
	    {"reserve is delegated to reachable lender",
		reserve_is_delegated_to_reachable_lender},
	    {"delegation ends before host uses reserve",
		delegation_ends_before_host_uses_reserve},
	    {"oracle detects each broken rule",
		oracle_detects_each_broken_rule},
	    {"random runs admit and keep limit",
		random_runs_admit_and_keep_limit},
	};

	return suite_run("limits", cases, G_N_ELEMENTS(cases));
}
