#include <string.h>

#include "coordination/poison.h"
#include "suite.h"

#define N_OF(a) (sizeof(a) / sizeof((a)[0]))

static fingerprint_t
fingerprint(int n)
{
	fingerprint_t f;

	memset(&f, n, sizeof(f));
	return f;
}

static poison_verdict_kind_t
check(poison_t *p, int n, msec_t now)
{
	fingerprint_t f = fingerprint(n);

	return poison_check(p, &f, now).kind;
}

/* Runs requests together on an endpoint, which then crashes. */
static void
crash(poison_t *p, const char *endpoint, const int *requests, int n, msec_t now)
{
	poison_run_id_t ids[4];
	fingerprint_t f;
	int i;

	for (i = 0; i < n; i++) {
		f = fingerprint(requests[i]);
		ids[i] = poison_begin(p, &f, endpoint, now - 400);
	}
	for (i = 0; i < n; i++) {
		if (poison_confirm(p, ids[i], now - 100))
			poison_end(p, ids[i], POISON_BROKEN, now);
	}
	poison_endpoint_seen(p, endpoint, FALSE, now);
}

static void
run_ok(poison_t *p, int n, const char *endpoint, msec_t now)
{
	fingerprint_t f = fingerprint(n);

	poison_end(p, poison_begin(p, &f, endpoint, now), POISON_ANSWERED, now);
}

/* Two crashes, each with requests in flight; then request 1 is checked. */
static void
two_crashes_identify_a_request(void)
{
	static const struct {
		const char *name;
		int first[4], n_first, second[4], n_second;
		const char *second_endpoint;
		int answered; /* before the crashes; 0: none */
		msec_t between_ms;
		poison_verdict_kind_t expected;
	} rows[] = {
	    {"one crash", {1, 2}, 2, {0}, 0, "b", 0, 5000, POISON_RUN_ALONE},
	    {"alone in the second", {1, 2}, 2, {1}, 1, "b", 0, 5000,
		POISON_REFUSE},
	    {"same endpoint, again", {1, 2}, 2, {1}, 1, "a", 0, 5000,
		POISON_REFUSE},
	    {"one crash seen twice", {1, 2}, 2, {1}, 1, "a", 0, 200,
		POISON_RUN_ALONE},
	    {"sent after the first crash", {1, 2}, 2, {1}, 1, "a", 0, 2000,
		POISON_REFUSE},
	    {"both with other requests, at once", {1, 2}, 2, {1, 3}, 2, "b", 0,
		200, POISON_REFUSE},
	    {"both with other requests, sent again later", {1, 2}, 2, {1, 3}, 2,
		"b", 0, 5000, POISON_RUN_ALONE},
	    {"two requests in both", {1, 2}, 2, {1, 2}, 2, "b", 0, 200,
		POISON_RUN_ALONE},
	    {"answered just before", {1, 2}, 2, {1, 3}, 2, "b", 1, 200,
		POISON_RUN_ALONE},
	    {"in the first crash only", {2, 1}, 2, {2}, 1, "b", 0, 5000,
		POISON_RUN_ALONE},
	};
	static poison_t p;
	size_t i;

	for (i = 0; i < N_OF(rows); i++) {
		poison_init(&p, 1);
		if (rows[i].answered)
			run_ok(&p, rows[i].answered, "c", 500);
		crash(&p, "a", rows[i].first, rows[i].n_first, 1000);
		if (rows[i].n_second)
			crash(&p, rows[i].second_endpoint, rows[i].second,
			    rows[i].n_second, 1000 + rows[i].between_ms);
		ck_assert_msg(check(&p, 1, 7000) == rows[i].expected, "%s: %d",
		    rows[i].name, check(&p, 1, 7000));
		poison_finish(&p);
	}
}

static void
refusal_ends_with_one_trial_run(void)
{
	static const int one[] = {1};
	static poison_t p;
	poison_run_id_t id;
	fingerprint_t f = fingerprint(1);

	poison_init(&p, 1);
	crash(&p, "a", one, 1, 1000);
	crash(&p, "b", one, 1, 5000);
	ck_assert_int_eq(check(&p, 1, 5001), POISON_HOLD);
	ck_assert_int_eq(check(&p, 1, 6000), POISON_REFUSE);
	ck_assert_int_eq(check(&p, 1, 65999), POISON_REFUSE);
	ck_assert_int_eq(check(&p, 1, 66000), POISON_RUN_ALONE);
	id = poison_begin(&p, &f, "c", 66000);
	ck_assert_int_eq(check(&p, 1, 66001), POISON_REFUSE);
	ck_assert(poison_confirm(&p, id, 66000 + POISON_CLAIM_WAIT_MS));
	poison_end(&p, id, POISON_BROKEN, 67000);
	poison_endpoint_seen(&p, "c", FALSE, 67000);
	ck_assert_int_eq(check(&p, 1, 67000 + 119999), POISON_REFUSE);
	ck_assert_int_eq(check(&p, 1, 67000 + 120000), POISON_RUN_ALONE);
	run_ok(&p, 1, "c", 200000);
	ck_assert_int_eq(check(&p, 1, 200001), POISON_RUN);
	poison_finish(&p);
}

/* Delivers the events of a to b, with the given age. */
static void
deliver_events(poison_t *a, uint64_t from, poison_t *b, msec_t age, msec_t now)
{
	poison_event_t event;

	while (poison_next_event(a, &event)) {
		event.age_ms = age;
		event.run_age_ms += age;
		if (event.kind != POISON_EVENT_PROBE)
			poison_receive(b, from, &event, now);
	}
}

static void
peers_receive_crashes_and_claims(void)
{
	static const int one[] = {1};
	static poison_t a, b;
	fingerprint_t f = fingerprint(1);
	poison_run_id_t at_a, at_b;

	poison_init(&a, 1);
	poison_init(&b, 2);
	crash(&a, "x", one, 1, 1000);
	deliver_events(&a, 1, &b, 0, 1000);
	ck_assert_int_eq(check(&b, 1, 1001), POISON_RUN_ALONE);
	at_a = poison_begin(&a, &f, "y", 1100);
	at_b = poison_begin(&b, &f, "z", 1100);
	deliver_events(&a, 1, &b, 10, 1110);
	deliver_events(&b, 2, &a, 10, 1110);
	ck_assert(poison_endpoint_reserved(&b, "y", 1110));
	ck_assert(!poison_confirm(&b, at_b, 1300));
	ck_assert(poison_confirm(&a, at_a, 1300));
	ck_assert_int_eq(check(&b, 1, 1301), POISON_HOLD);
	poison_end(&a, at_a, POISON_BROKEN, 5000);
	poison_endpoint_seen(&a, "y", FALSE, 5000);
	deliver_events(&a, 1, &b, 0, 5000);
	ck_assert_int_eq(check(&b, 1, 5500), POISON_REFUSE);
	poison_finish(&a);
	poison_finish(&b);
}

static void
connection_broken_by_network_is_no_crash(void)
{
	static poison_t p;
	fingerprint_t f = fingerprint(1);
	poison_event_t event;

	poison_init(&p, 1);
	poison_end(&p, poison_begin(&p, &f, "a", 0), POISON_BROKEN, 10);
	ck_assert(poison_next_event(&p, &event));
	ck_assert_int_eq(event.kind, POISON_EVENT_PROBE);
	ck_assert_int_eq(check(&p, 1, 11), POISON_HOLD);
	poison_endpoint_seen(&p, "a", TRUE, 12);
	ck_assert_int_eq(check(&p, 1, 13), POISON_RUN);
	poison_finish(&p);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"two crashes identify a request", two_crashes_identify_a_request},
	    {"a refusal ends with one trial run",
		refusal_ends_with_one_trial_run},
	    {"peers receive crashes and claims",
		peers_receive_crashes_and_claims},
	    {"a connection broken by the network is no crash",
		connection_broken_by_network_is_no_crash},
	};

	return suite_run("poison", cases, N_OF(cases));
}
