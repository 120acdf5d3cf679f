#include "coordination/fleet.h"
#include "coordination/version_shift.h"
#include "state/registry.h"
#include "suite.h"

/*
 * EXPOSURE: a host that had just started took "no request seen" for permission
 * and completed the rollout of a bad version.
 */

#define DURATION_MS 16000
#define ALL DURATION_MS /* counted from the start on */

/* What a host has seen, and whether the share may grow. */
static const struct {
	const char *name;
	uint32_t requests, bad; /* at the new version */
	uint32_t old;		/* requests at the old one */
	guint running;
	gboolean had_requests;
	msec_t elapsed_ms, counted_ms;
	gboolean may_grow;
} growths[] = {
    {"unused, counted from the start", 0, 0, 0, 0, FALSE, 9700, 9700, TRUE},
    {"unused, the row took a while", 0, 0, 0, 0, FALSE, 9700, 8000, TRUE},
    {"unused, too early", 0, 0, 0, 0, FALSE, 9500, 9500, FALSE},
    {"just started", 0, 0, 0, 0, FALSE, 14200, 50, FALSE},
    {"started in the middle", 0, 0, 0, 0, FALSE, 14200, 7000, FALSE},
    {"the counts are lost", 0, 0, 0, 0, TRUE, 14200, 14200, FALSE},
    {"no answer yet", 0, 0, 0, 1, TRUE, 14200, 14200, FALSE},
    {"good answers", 8, 0, 500, 0, TRUE, 9700, 9700, TRUE},
    {"too few good answers", 7, 0, 500, 0, TRUE, 9700, 9700, FALSE},
    {"few good answers of a quiet service", 3, 0, 20, 0, TRUE, 9700, 9700,
	TRUE},
    /* 30 requests in a second are not a quiet service's. */
    {"few good answers, just started", 3, 0, 27, 0, TRUE, 9700, 1000, FALSE},
    {"bad answers", 20, 10, 500, 0, TRUE, 9700, 9700, FALSE},
};

static void
share_grows_only_by_evidence(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(growths); i++) {
		const shift_seen_t seen = {
		    .total.new_version = {growths[i].requests,
			{growths[i].bad, 0}},
		    .total.old_version = {growths[i].old, {0, 0}},
		    .new_running = growths[i].running,
		    .had_requests = growths[i].had_requests,
		    .counted_ms = growths[i].counted_ms,
		};

		ck_assert_msg(
		    version_shift_may_grow(&seen, growths[i].elapsed_ms,
			DURATION_MS) == growths[i].may_grow,
		    "%s", growths[i].name);
	}
}

static const struct {
	const char *name;
	gboolean informed, may_grow;
	judge_verdict_t verdict;
	int percent; /* of the duration */
	shift_decision_t expected;
} decisions[] = {
    {"good", TRUE, TRUE, JUDGE_UNDECIDED, 90, SHIFT_COMPLETE},
    {"too early", TRUE, TRUE, JUDGE_UNDECIDED, 80, SHIFT_CONTINUE},
    {"good, the others not heard", FALSE, TRUE, JUDGE_UNDECIDED, 90,
	SHIFT_CONTINUE},
    {"good, the others not heard, late", FALSE, TRUE, JUDGE_UNDECIDED, 99,
	SHIFT_CONTINUE},
    {"not seen to be good", TRUE, FALSE, JUDGE_UNDECIDED, 90, SHIFT_CONTINUE},
    {"not seen to be good, late", TRUE, FALSE, JUDGE_UNDECIDED, 97,
	SHIFT_ROLL_BACK},
    {"the same, the others not heard", FALSE, FALSE, JUDGE_UNDECIDED, 97,
	SHIFT_CONTINUE},
    {"bad", TRUE, FALSE, JUDGE_BAD, 10, SHIFT_ROLL_BACK},
    {"bad, the others not heard", FALSE, FALSE, JUDGE_BAD, 10, SHIFT_ROLL_BACK},
};

static void
shift_ends_only_if_informed(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(decisions); i++) {
		const shift_input_t in = {
		    .elapsed_ms = DURATION_MS / 100 * decisions[i].percent,
		    .duration_ms = DURATION_MS,
		    .verdict = decisions[i].verdict,
		    .informed = decisions[i].informed,
		    .may_grow = decisions[i].may_grow,
		    .new_slots = 4,
		    .old_slots = 4,
		};

		ck_assert_msg(
		    version_shift_decide(&in) == decisions[i].expected, "%s",
		    decisions[i].name);
	}
}

/* Steps of a host among two others, each in a domain of its own. */
static const struct {
	msec_t at;
	enum {
		SYNCED,
		TICK,
		HEARD_A,
		HEARD_B,
		EXPECT
	} what;
	gboolean informed; /* of EXPECT */
} steps[] = {
    {0, TICK, FALSE},
    {100, SYNCED, FALSE},
    {150, EXPECT, FALSE},
    {200, HEARD_A, FALSE},
    {210, EXPECT, FALSE},
    {300, HEARD_B, FALSE},
    {310, EXPECT, TRUE},
    {900, TICK, FALSE},
    {910, EXPECT, TRUE},
    /* A pause: what was heard before it is old. */
    {6000, TICK, FALSE},
    {6010, EXPECT, FALSE},
    {6100, HEARD_A, FALSE},
    {6900, TICK, FALSE},
    {7800, TICK, FALSE},
    {8700, TICK, FALSE},
    {8990, EXPECT, FALSE},
    /* B's domain had time to be heard. */
    {9000, EXPECT, TRUE},
    {9010, SYNCED, FALSE},
    {9020, EXPECT, TRUE},
};

static void
hear(fleet_t *f, const char *name, uint32_t seq, msec_t now)
{
	const fleet_ack_t ack = {0, 0};
	fleet_summary_t s;

	fleet_summary_init(&s);
	s.domain = registry_hash(name);
	s.sums.host = s.domain;
	s.sums.incarnation = 1;
	s.sums.seq = seq;
	ck_assert(fleet_receive(f, &s, &ack, now) != NULL);
	fleet_summary_finish(&s);
}

static void
silence_says_nothing_at_first(void)
{
	static const char *const names[] = {"a", "b"};
	fleet_t f;
	size_t i;

	fleet_init(&f, "self");
	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		const fleet_row_t row = {names[i], "1.1.1.1:1", "1.1.1.1:2",
		    "north", names[i], 1, i + 1, 0, 0};

		fleet_put(&f, &row, 0);
	}
	for (i = 0; i < G_N_ELEMENTS(steps); i++) {
		switch (steps[i].what) {
		case SYNCED:
			fleet_synced(&f, steps[i].at);
			break;
		case TICK:
			fleet_tick(&f, steps[i].at);
			break;
		case HEARD_A:
			hear(&f, "a", (uint32_t)i, steps[i].at);
			break;
		case HEARD_B:
			hear(&f, "b", (uint32_t)i, steps[i].at);
			break;
		case EXPECT:
			ck_assert_msg(fleet_is_informed(&f, steps[i].at) ==
				steps[i].informed,
			    "at %lld", (long long)steps[i].at);
			break;
		}
	}
	fleet_finish(&f);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"the share grows only by evidence", share_grows_only_by_evidence},
	    {"a shift ends only if the host is informed",
		shift_ends_only_if_informed},
	    {"silence says nothing at first", silence_says_nothing_at_first},
	};

	return suite_run("version shift", cases, G_N_ELEMENTS(cases));
}
