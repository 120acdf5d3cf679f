#include <string.h>

#include "coordination/once.h"
#include "suite.h"

#define N_OF(a) (sizeof(a) / sizeof((a)[0]))
#define TOKEN 7

static fingerprint_t
digest(int n)
{
	fingerprint_t f;

	memset(&f, n, sizeof(f));
	return f;
}

static once_action_t
begin(once_t *o, int key, int request, msec_t now)
{
	fingerprint_t k = digest(key), r = digest(request);

	return once_begin(o, &k, &r, TOKEN, now);
}

static once_action_t
step(once_t *o, once_id_t id, once_event_kind_t kind)
{
	once_event_t e = {.kind = kind};

	return once_step(o, id, &e, 0);
}

static once_action_t
read_row(once_t *o, once_id_t id, uint64_t token, int request,
    once_row_state_t state)
{
	once_event_t e = {.kind = ONCE_READ_ROW};

	e.u.row.token = token;
	e.u.row.request = digest(request);
	e.u.row.state = state;
	e.u.row.status = 201;
	return once_step(o, id, &e, 0);
}

static once_action_t
ended(once_t *o, once_id_t id, ran_t ran)
{
	once_event_t e = {.kind = ONCE_RUN_ENDED};

	e.u.ended.ran = ran;
	e.u.ended.status = 201;
	return once_step(o, id, &e, 0);
}

/* The action that follows from a claim's answer and the row read after it. */
static void
claim_results_follow_the_store(void)
{
	static const struct {
		const char *name;
		once_event_kind_t claim, read; /* read: 0 for none */
		uint64_t token;
		int request;
		once_row_state_t state;
		once_action_kind_t expected;
		once_reason_t reason;
		ran_t ran;
	} rows[] = {
	    {"won", ONCE_CLAIM_DONE, 0, 0, 0, 0, ONCE_RUN, 0, 0},
	    {"store down", ONCE_CLAIM_FAILED, 0, 0, 0, 0, ONCE_REFUSE,
		ONCE_STORE_DOWN, RAN_NO},
	    {"answer lost, won", ONCE_CLAIM_UNKNOWN, ONCE_READ_ROW, TOKEN, 2,
		ONCE_ROW_RUNNING, ONCE_RUN, 0, 0},
	    {"answer lost, row absent", ONCE_CLAIM_UNKNOWN, ONCE_READ_ABSENT, 0,
		0, 0, ONCE_CLAIM, 0, 0},
	    {"answer lost, store down", ONCE_CLAIM_UNKNOWN, ONCE_READ_FAILED, 0,
		0, 0, ONCE_REFUSE, ONCE_STORE_DOWN, RAN_NO},
	    {"another host runs it", ONCE_CLAIM_TAKEN, ONCE_READ_ROW, 9, 2,
		ONCE_ROW_RUNNING, ONCE_REFUSE, ONCE_ALREADY_RUNNING,
		RAN_UNKNOWN},
	    {"another host ran it", ONCE_CLAIM_TAKEN, ONCE_READ_ROW, 9, 2,
		ONCE_ROW_RAN, ONCE_REFUSE, ONCE_ALREADY_RAN, RAN_YES},
	    {"another host sent it", ONCE_CLAIM_TAKEN, ONCE_READ_ROW, 9, 2,
		ONCE_ROW_UNKNOWN, ONCE_REFUSE, ONCE_ALREADY_SENT, RAN_UNKNOWN},
	    {"key of another request", ONCE_CLAIM_TAKEN, ONCE_READ_ROW, 9, 3,
		ONCE_ROW_RAN, ONCE_REFUSE, ONCE_KEY_REUSED, RAN_NO},
	};
	once_action_t a;
	once_id_t id;
	once_t o;
	size_t i;

	for (i = 0; i < N_OF(rows); i++) {
		once_init(&o);
		id = begin(&o, 1, 2, 0).id;
		a = step(&o, id, rows[i].claim);
		if (rows[i].read == ONCE_READ_ROW)
			a = read_row(&o, id, rows[i].token, rows[i].request,
			    rows[i].state);
		else if (rows[i].read)
			a = step(&o, id, rows[i].read);
		ck_assert_msg(a.kind == rows[i].expected &&
			a.reason == rows[i].reason && a.ran == rows[i].ran,
		    "%s: %d %s %d", rows[i].name, a.kind,
		    once_reason_name(a.reason), a.ran);
		once_finish(&o);
	}
}

static void
request_sent_again_to_the_same_host(void)
{
	once_action_t a;
	once_id_t id;
	once_t o;

	once_init(&o);
	id = begin(&o, 1, 2, 0).id;
	ck_assert_int_eq(begin(&o, 1, 2, 1).reason, ONCE_ALREADY_RUNNING);
	ck_assert_int_eq(begin(&o, 1, 3, 1).reason, ONCE_KEY_REUSED);
	step(&o, id, ONCE_CLAIM_DONE);
	a = ended(&o, id, RAN_YES);
	ck_assert_int_eq(a.kind, ONCE_RECORD);
	ck_assert_int_eq(a.row.state, ONCE_ROW_RAN);
	ck_assert_int_eq(begin(&o, 1, 2, 2).kind, ONCE_REPLAY);
	a = step(&o, id, ONCE_WRITE_FAILED);
	ck_assert_int_eq(a.kind, ONCE_RECORD);
	ck_assert_int_eq(a.after_ms, ONCE_WRITE_RETRY_MS);
	step(&o, id, ONCE_WRITE_DONE);
	ck_assert_int_eq(begin(&o, 1, 2, ONCE_RETAIN_MS).kind, ONCE_REPLAY);
	ck_assert_int_eq(begin(&o, 1, 2, ONCE_RETAIN_MS + 1).kind, ONCE_CLAIM);
	once_finish(&o);
}

static void
key_of_request_that_did_not_run_is_released(void)
{
	once_action_t a;
	once_id_t id;
	once_t o;

	once_init(&o);
	id = begin(&o, 1, 2, 0).id;
	step(&o, id, ONCE_CLAIM_DONE);
	ck_assert_int_eq(ended(&o, id, RAN_NO).kind, ONCE_RELEASE);
	a = begin(&o, 1, 2, 1);
	ck_assert_int_eq(a.reason, ONCE_BUSY);
	ck_assert_int_eq(a.ran, RAN_NO);
	step(&o, id, ONCE_WRITE_DONE);
	id = begin(&o, 1, 2, 2).id;
	/* Given up while its claim is under way: the request never runs. */
	step(&o, id, ONCE_GIVEN_UP);
	ck_assert_int_eq(step(&o, id, ONCE_CLAIM_DONE).kind, ONCE_RELEASE);
	once_finish(&o);
}

/*
 * After ONCE_CLAIM_MS the claimed row may be gone, and another copy of the
 * request may have run.
 */
static void
claim_confirmed_too_late_does_not_run(void)
{
	once_event_t e = {.kind = ONCE_CLAIM_DONE};
	once_action_t a;
	once_id_t id;
	once_t o;

	once_init(&o);
	id = begin(&o, 1, 2, 0).id;
	ck_assert_int_eq(once_step(&o, id, &e, ONCE_CLAIM_MS).kind, ONCE_RUN);
	id = begin(&o, 2, 2, 0).id;
	a = once_step(&o, id, &e, ONCE_CLAIM_MS + 1);
	ck_assert_int_eq(a.kind, ONCE_REFUSE);
	ck_assert_int_eq(a.ran, RAN_NO);
	ck_assert(once_release_due(&o, id));
	once_finish(&o);
}

static void
recorded_answers_are_evicted_for_new_keys(void)
{
	once_action_t a;
	once_t o;
	int i;

	once_init(&o);
	for (i = 0; i < ONCE_ENTRIES_MAX; i++) {
		fingerprint_t k = {{i & 255, i >> 8}}, r = digest(1);

		a = once_begin(&o, &k, &r, i, i);
		step(&o, a.id, ONCE_CLAIM_DONE);
	}
	ck_assert_int_eq(begin(&o, 77, 1, 5000).reason, ONCE_BUSY);
	ended(&o, a.id, RAN_YES);
	step(&o, a.id, ONCE_WRITE_DONE);
	ck_assert_int_eq(begin(&o, 77, 1, 5000).kind, ONCE_CLAIM);
	once_finish(&o);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"claim results follow the store", claim_results_follow_the_store},
	    {"request sent again to the same host",
		request_sent_again_to_the_same_host},
	    {"the key of a request that did not run is released",
		key_of_request_that_did_not_run_is_released},
	    {"a claim confirmed too late does not run",
		claim_confirmed_too_late_does_not_run},
	    {"recorded answers are evicted for new keys",
		recorded_answers_are_evicted_for_new_keys},
	};

	return suite_run("once", cases, N_OF(cases));
}
