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

/* Runs fingerprints together on an endpoint, which then dies. */
static void
die(poison_t *p, const char *endpoint, const int *fps, int n, msec_t now)
{
	poison_run_id_t ids[4];
	fingerprint_t f;
	int i;

	for (i = 0; i < n; i++) {
		f = fingerprint(fps[i]);
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

/* Two crashes, each with its requests in flight; then 1 is judged. */
static void
two_deaths_point_at_one(void)
{
	static const struct {
		const char *name;
		int first[4], n_first, second[4], n_second;
		const char *other;
		int answered; /* before the crashes; 0: none */
		msec_t between;
		poison_verdict_kind_t expected;
	} rows[] = {
	    {"one death", {1, 2}, 2, {0}, 0, "b", 0, 5000, POISON_RUN_ALONE},
	    {"alone in the second", {1, 2}, 2, {1}, 1, "b", 0, 5000,
		POISON_REFUSE},
	    {"same endpoint, again", {1, 2}, 2, {1}, 1, "a", 0, 5000,
		POISON_REFUSE},
	    {"one death seen twice", {1, 2}, 2, {1}, 1, "a", 0, 200,
		POISON_RUN_ALONE},
	    {"sent after the first death", {1, 2}, 2, {1}, 1, "a", 0, 2000,
		POISON_REFUSE},
	    {"both mixed, at once", {1, 2}, 2, {1, 3}, 2, "b", 0, 200,
		POISON_REFUSE},
	    {"both mixed, sent again later", {1, 2}, 2, {1, 3}, 2, "b", 0, 5000,
		POISON_RUN_ALONE},
	    {"two in common", {1, 2}, 2, {1, 2}, 2, "b", 0, 200,
		POISON_RUN_ALONE},
	    {"answered just before", {1, 2}, 2, {1, 3}, 2, "b", 1, 200,
		POISON_RUN_ALONE},
	    {"bystander", {2, 1}, 2, {2}, 1, "b", 0, 5000, POISON_RUN_ALONE},
	};
	static poison_t p;
	size_t i;

	for (i = 0; i < N_OF(rows); i++) {
		poison_init(&p, 1);
		if (rows[i].answered)
			run_ok(&p, rows[i].answered, "c", 500);
		die(&p, "a", rows[i].first, rows[i].n_first, 1000);
		if (rows[i].n_second)
			die(&p, rows[i].other, rows[i].second, rows[i].n_second,
			    1000 + rows[i].between);
		ck_assert_msg(check(&p, 1, 7000) == rows[i].expected, "%s: %d",
		    rows[i].name, check(&p, 1, 7000));
		poison_finish(&p);
	}
}

static void
refusal_ends_with_one_trial(void)
{
	static const int one[] = {1};
	static poison_t p;
	poison_run_id_t id;
	fingerprint_t f = fingerprint(1);

	poison_init(&p, 1);
	die(&p, "a", one, 1, 1000);
	die(&p, "b", one, 1, 5000);
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

/* Carries news from a to b, as old as given. */
static void
pass(poison_t *a, uint64_t from, poison_t *b, msec_t age, msec_t now)
{
	poison_event_t n;

	while (poison_next_event(a, &n)) {
		n.age_ms = age;
		n.run_age_ms += age;
		if (n.kind != POISON_EVENT_PROBE)
			poison_receive(b, from, &n, now);
	}
}

static void
peers_hear_of_deaths_and_claims(void)
{
	static const int one[] = {1};
	static poison_t a, b;
	fingerprint_t f = fingerprint(1);
	poison_run_id_t at_a, at_b;

	poison_init(&a, 1);
	poison_init(&b, 2);
	die(&a, "x", one, 1, 1000);
	pass(&a, 1, &b, 0, 1000);
	ck_assert_int_eq(check(&b, 1, 1001), POISON_RUN_ALONE);
	at_a = poison_begin(&a, &f, "y", 1100);
	at_b = poison_begin(&b, &f, "z", 1100);
	pass(&a, 1, &b, 10, 1110);
	pass(&b, 2, &a, 10, 1110);
	ck_assert(poison_endpoint_reserved(&b, "y", 1110));
	ck_assert(!poison_confirm(&b, at_b, 1300));
	ck_assert(poison_confirm(&a, at_a, 1300));
	ck_assert_int_eq(check(&b, 1, 1301), POISON_HOLD);
	poison_end(&a, at_a, POISON_BROKEN, 5000);
	poison_endpoint_seen(&a, "y", FALSE, 5000);
	pass(&a, 1, &b, 0, 5000);
	ck_assert_int_eq(check(&b, 1, 5500), POISON_REFUSE);
	poison_finish(&a);
	poison_finish(&b);
}

static void
broken_by_the_network_is_no_death(void)
{
	static poison_t p;
	fingerprint_t f = fingerprint(1);
	poison_event_t n;

	poison_init(&p, 1);
	poison_end(&p, poison_begin(&p, &f, "a", 0), POISON_BROKEN, 10);
	ck_assert(poison_next_event(&p, &n));
	ck_assert_int_eq(n.kind, POISON_EVENT_PROBE);
	ck_assert_int_eq(check(&p, 1, 11), POISON_HOLD);
	poison_endpoint_seen(&p, "a", TRUE, 12);
	ck_assert_int_eq(check(&p, 1, 13), POISON_RUN);
	poison_finish(&p);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"two deaths point at one", two_deaths_point_at_one},
	    {"refusal ends with one trial", refusal_ends_with_one_trial},
	    {"peers hear of deaths and claims",
		peers_hear_of_deaths_and_claims},
	    {"broken by the network is no death",
		broken_by_the_network_is_no_death},
	};

	return suite_run("poison", cases, N_OF(cases));
}
