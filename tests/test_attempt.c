#include "coordination/attempt.h"
#include "suite.h"

#define N_OF(a) (sizeof(a) / sizeof((a)[0]))

/* How one try ends, and the action that must follow. */
typedef struct {
	const char *name;
	gboolean idempotent;
	attempt_event_kind_t event;
	int status;
	gboolean not_run;
	attempt_action_kind_t expected;
	ran_t ran;
	refuse_reason_t reason;
} end_row_t;

static attempt_action_t
step(attempt_t *a, attempt_event_kind_t kind, int status, gboolean not_run,
    msec_t now)
{
	attempt_event_t e = {
	    kind, a->request_id, a->number, {{status, not_run}}};

	return attempt_step(a, &e, now);
}

static void
try_is_repeated_only_when_safe(void)
{
	static const end_row_t rows[] = {
	    {"refused, once only", FALSE, ATTEMPT_REFUSED, 0, FALSE,
		ATTEMPT_PLACE, RAN_NO, 0},
	    {"shed with proof, once only", FALSE, ATTEMPT_ANSWERED, 503, TRUE,
		ATTEMPT_PLACE, RAN_NO, 0},
	    {"503 without proof, once only", FALSE, ATTEMPT_ANSWERED, 503,
		FALSE, ATTEMPT_REPLY, RAN_NO, 0},
	    {"503 without proof", TRUE, ATTEMPT_ANSWERED, 503, FALSE,
		ATTEMPT_PLACE, RAN_NO, 0},
	    {"200 that claims not to have run", FALSE, ATTEMPT_ANSWERED, 200,
		TRUE, ATTEMPT_REPLY, RAN_NO, 0},
	    {"500", TRUE, ATTEMPT_ANSWERED, 500, FALSE, ATTEMPT_REPLY, RAN_NO,
		0},
	    {"404", TRUE, ATTEMPT_ANSWERED, 404, FALSE, ATTEMPT_REPLY, RAN_NO,
		0},
	    {"broken, once only", FALSE, ATTEMPT_BROKEN, 0, FALSE,
		ATTEMPT_REFUSE, RAN_UNKNOWN, REFUSED_BROKEN},
	    {"broken", TRUE, ATTEMPT_BROKEN, 0, FALSE, ATTEMPT_PLACE, RAN_NO,
		0},
	    {"no memory for the answer", TRUE, ATTEMPT_NO_MEMORY, 0, FALSE,
		ATTEMPT_REFUSE, RAN_UNKNOWN, REFUSED_HOST_MEMORY},
	    {"no descriptor", TRUE, ATTEMPT_NO_FILE, 0, FALSE, ATTEMPT_REFUSE,
		RAN_NO, REFUSED_HOST_DESCRIPTORS},
	    {"timer that fired early", TRUE, ATTEMPT_TIMED_OUT, 0, FALSE,
		ATTEMPT_IGNORE, RAN_NO, 0},
	    {"hang-up", FALSE, ATTEMPT_CALLER_GONE, 0, FALSE, ATTEMPT_ABANDON,
		RAN_NO, 0},
	};
	retry_budget_t budget;
	attempt_action_t got;
	attempt_t a;
	size_t i;

	for (i = 0; i < N_OF(rows); i++) {
		retry_budget_init(&budget);
		got = attempt_init(
		    &a, 5, rows[i].idempotent, 1000, 9000, &budget, 0);
		ck_assert_int_eq(got.kind, ATTEMPT_PLACE);
		got = step(&a, ATTEMPT_PLACED, 0, FALSE, 10);
		ck_assert_int_eq(got.kind, ATTEMPT_SEND);
		ck_assert_int_eq(got.timeout_ms, 990);
		got = step(
		    &a, rows[i].event, rows[i].status, rows[i].not_run, 20);
		ck_assert_msg(got.kind == rows[i].expected &&
			got.ran == rows[i].ran && got.reason == rows[i].reason,
		    "%s: %d %d %d", rows[i].name, got.kind, got.ran,
		    got.reason);
		ck_assert_int_eq(
		    got.cancel, rows[i].event == ATTEMPT_CALLER_GONE);
	}
}

static void
refusal_accounts_for_earlier_tries(void)
{
	retry_budget_t budget;
	attempt_action_t got;
	attempt_t a;

	retry_budget_init(&budget);
	attempt_init(&a, 5, TRUE, 1000, 9000, &budget, 0);
	step(&a, ATTEMPT_PLACED, 0, FALSE, 1);
	step(&a, ATTEMPT_BROKEN, 0, FALSE, 2);
	got = step(&a, ATTEMPT_NO_SERVER, 0, FALSE, 3);
	ck_assert_int_eq(got.kind, ATTEMPT_REFUSE);
	ck_assert_int_eq(got.ran, RAN_UNKNOWN);
	ck_assert_str_eq(refuse_reason_name(got.reason), "no-server");
	ck_assert_str_eq(ran_name(got.ran), "unknown");
}

static void
deadline_ends_waiting_and_running(void)
{
	retry_budget_t budget;
	attempt_action_t got;
	attempt_t a;

	retry_budget_init(&budget);
	attempt_init(&a, 5, TRUE, 100, 50, &budget, 0);
	got = step(&a, ATTEMPT_NO_ROOM, 0, FALSE, 10);
	ck_assert_int_eq(got.kind, ATTEMPT_WAIT);
	ck_assert_int_eq(got.timeout_ms, 40);
	got = step(&a, ATTEMPT_TIMED_OUT, 0, FALSE, 50);
	ck_assert_int_eq(got.ran, RAN_NO);
	ck_assert(!got.cancel);
	attempt_init(&a, 6, TRUE, 100, 500, &budget, 0);
	step(&a, ATTEMPT_PLACED, 0, FALSE, 99);
	got = step(&a, ATTEMPT_TIMED_OUT, 0, FALSE, 100);
	ck_assert_int_eq(got.ran, RAN_UNKNOWN);
	ck_assert(got.cancel);
	got = attempt_init(&a, 7, TRUE, 100, 500, &budget, 100);
	ck_assert_int_eq(got.kind, ATTEMPT_REFUSE);
	ck_assert_int_eq(got.ran, RAN_NO);
}

static void
retries_are_a_bounded_fraction(void)
{
	int i, first = 1000, retries = 0;
	retry_budget_t budget;

	retry_budget_init(&budget);
	for (i = 0; i < first; i++) {
		retry_budget_add_request(&budget);
		while (retry_budget_take(&budget))
			retries++;
	}
	ck_assert_int_le(retries, RETRY_RESERVE + first * RETRY_PERCENT / 100);
	ck_assert_int_ge(retries, first * RETRY_PERCENT / 100);
}

/* Poison is recognised before the first try, or only after it. */
static void
poison_request_is_refused(void)
{
	retry_budget_t budget;
	attempt_action_t got;
	attempt_t a;

	retry_budget_init(&budget);
	attempt_init(&a, 5, TRUE, 1000, 9000, &budget, 0);
	got = step(&a, ATTEMPT_IS_POISON, 0, FALSE, 1);
	ck_assert_int_eq(got.kind, ATTEMPT_REFUSE);
	ck_assert_int_eq(got.ran, RAN_NO);
	ck_assert_str_eq(refuse_reason_name(got.reason), "crashes-servers");
	attempt_init(&a, 6, TRUE, 1000, 9000, &budget, 0);
	step(&a, ATTEMPT_PLACED, 0, FALSE, 1);
	step(&a, ATTEMPT_BROKEN, 0, FALSE, 2);
	got = step(&a, ATTEMPT_IS_POISON, 0, FALSE, 3);
	ck_assert_int_eq(got.ran, RAN_UNKNOWN);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"try is repeated only when safe", try_is_repeated_only_when_safe},
	    {"refusal accounts for earlier tries",
		refusal_accounts_for_earlier_tries},
	    {"deadline ends waiting and running",
		deadline_ends_waiting_and_running},
	    {"retries are a bounded fraction", retries_are_a_bounded_fraction},
	    {"poison request is refused", poison_request_is_refused},
	};

	return suite_run("attempt", cases, N_OF(cases));
}
