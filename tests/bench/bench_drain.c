/*
 * Measures the decisions on the drain of a region in a simulation: the
 * receiving side serves moved traffic on caches that are cold at first, and its
 * load is measured with a delay, or at times not at all. The baselines move
 * everything at once, or one tenth every ten seconds.
 */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include <popt.h>

#include "coordination/move_admit.h"
#include "coordination/move_holder.h"

#define TICK_MS 100
#define RUN_MS (900 * MSEC_PER_SEC)
#define LAG_MS 1000
#define LAG_TICKS (LAG_MS / TICK_MS)
#define CONFIRM_MS 1000
#define SETTLE_MS 1000
#define COLD_FACTOR 2.5	  /* duration on cold caches, relative to warm ones */
#define WARM_UP_MS 20000. /* time constant with which caches warm up */
#define SLOTS 60

typedef enum {
	POLICY_CHOSEN,
	POLICY_TENTHS,
	POLICY_AT_ONCE,
	POLICIES,
} policy_t;

typedef struct {
	const char *name;
	double own;	   /* load of the receiving side, concurrent requests */
	double moved;	   /* load of the drained region, on warm caches */
	gboolean has_gaps; /* measurements stop for 30 s at random times */
	gboolean load_rises; /* the own load rises by half during the run */
} scenario_t;

static const scenario_t scenarios[] = {
    {"room enough", 20, 20, FALSE, FALSE},
    {"tight", 25, 22, FALSE, FALSE},
    {"tight, gaps", 25, 22, TRUE, FALSE},
    {"own load rises", 20, 20, FALSE, TRUE},
    {"no room", 30, 30, FALSE, FALSE},
};

typedef struct {
	const scenario_t *scenario;
	GRand *rand;
	msec_t now;
	move_holder_t holder;
	move_report_t report;
	msec_t confirm_at;
	share_t in_force;
	double cold_load; /* part of scenario->moved on cold caches, 0..1 */
	double busy[LAG_TICKS]; /* ring of loads, each measured LAG_MS later */
	msec_t measured_at, gap_until;
	double measured;
	double peak, over_s;
	msec_t ended_at;
} sim_t;

static double
own_load(const sim_t *w)
{
	double load = w->scenario->own;

	if (w->scenario->load_rises && w->now > 20 * MSEC_PER_SEC)
		load *= 1 + 0.5 * fmin(1, (double)(w->now - 20000) / 40000);
	return load;
}

static void
serve(sim_t *w)
{
	double share = (double)w->in_force / SHARE_ONE;
	double load, busy;

	w->cold_load *= exp(-TICK_MS / WARM_UP_MS);
	load = own_load(w) +
	    w->scenario->moved * (share + w->cold_load * (COLD_FACTOR - 1));
	busy = load * g_rand_double_range(w->rand, 0.95, 1.05);
	w->peak = fmax(w->peak, busy / SLOTS);
	w->over_s += busy > SLOTS ? (double)TICK_MS / MSEC_PER_SEC : 0;
	w->measured = w->busy[w->now / TICK_MS % LAG_TICKS];
	w->busy[w->now / TICK_MS % LAG_TICKS] = busy;
	if (w->scenario->has_gaps && w->now >= w->gap_until &&
	    g_rand_int_range(w->rand, 0, 600) == 0)
		w->gap_until = w->now + 30 * MSEC_PER_SEC;
	if (w->now >= w->gap_until && w->now >= LAG_MS)
		w->measured_at = w->now - LAG_MS;
}

static void
put_in_force(sim_t *w, share_t share)
{
	if (share > w->in_force)
		w->cold_load += (double)(share - w->in_force) / SHARE_ONE;
	w->in_force = share;
}

static void
tick_holder(sim_t *w)
{
	move_input_t in = {.now = w->now,
	    .wall_now = w->now,
	    .held = TRUE,
	    .epoch = 1,
	    .members_known = TRUE,
	    .reports = &w->report,
	    .n_reports = 1,
	    .settle_ms = SETTLE_MS,
	    .room = {.known = w->measured_at > 0,
		.measured_at = w->measured_at,
		.slots = SLOTS,
		.busy = (uint32_t)ceil(w->measured),
		.demand = (uint32_t)ceil(w->scenario->moved),
		.cold_percent = (uint32_t)(COLD_FACTOR * 100)}};
	move_action_t a;

	if (w->now >= w->confirm_at) {
		w->report.confirmed = w->holder.row.step;
		put_in_force(w, w->holder.row.share);
	}
	w->report.heard_at = w->now;
	a = move_holder_tick(&w->holder, &in);
	if (a.act != MOVE_ACT_COMMIT)
		return;
	move_holder_answered(
	    &w->holder, &a, MOVE_WON, w->holder.version + 1, w->now);
	w->confirm_at = w->now + CONFIRM_MS;
	if (a.row.state == MOVE_DONE)
		w->ended_at = w->now;
}

static void
apply_policy(sim_t *w, policy_t policy)
{
	msec_t tenths = w->now / (10 * MSEC_PER_SEC);

	switch (policy) {
	case POLICY_CHOSEN:
		tick_holder(w);
		return;
	case POLICY_TENTHS:
		put_in_force(w, (share_t)(MIN(tenths, 10) * SHARE_ONE / 10));
		break;
	case POLICY_AT_ONCE:
	case POLICIES:
		put_in_force(w, tenths > 0 ? SHARE_ONE : 0);
		break;
	}
	if (w->in_force == SHARE_ONE && w->ended_at == 0)
		w->ended_at = w->now;
}

static void
sim_init(sim_t *w, const scenario_t *scenario, uint32_t seed)
{
	static const move_request_t request = {
	    "m1", MOVE_DRAIN, MOVE_REGION, "*", "a", NULL, 0, 0};
	caps_t caps = {.shift_cap = 0.3};
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(move_row_t));
	move_row_t row;
	gboolean again;

	memset(w, 0, sizeof(*w));
	w->scenario = scenario;
	w->rand = g_rand_new_with_seed(seed);
	move_admit(rows, &request, &caps, 0, &row, &again, NULL);
	move_holder_init(&w->holder, &row, 1, 0);
	g_array_free(rows, TRUE);
}

typedef struct {
	int drained;
	double peak, over_s, time_s;
} total_t;

static void
run(policy_t policy, const scenario_t *scenario, uint32_t seed, total_t *t)
{
	sim_t w;

	sim_init(&w, scenario, seed);
	for (; w.now < RUN_MS; w.now += TICK_MS) {
		serve(&w);
		apply_policy(&w, policy);
	}
	t->drained += w.ended_at > 0;
	t->peak = fmax(t->peak, w.peak);
	t->over_s += w.over_s;
	t->time_s += (double)w.ended_at / MSEC_PER_SEC;
	g_rand_free(w.rand);
}

int
main(int argc, const char **argv)
{
	static const char *const names[] = {"chosen", "tenths", "at once"};
	int json = 0, seeds = 20, rc, policy, seed;
	struct poptOption options[] = {{"json", 0, POPT_ARG_NONE, &json, 0,
					   "one JSON object a line", NULL},
	    {"seeds", 0, POPT_ARG_INT, &seeds, 0, "runs of each row", "N"},
	    POPT_AUTOHELP POPT_TABLEEND};
	poptContext ctx = poptGetContext(NULL, argc, argv, options, 0);
	total_t t;
	size_t i;

	rc = poptGetNextOpt(ctx);
	poptFreeContext(ctx);
	if (rc < -1 || seeds < 1)
		return 2;
	if (!json)
		printf("%-8s %-15s %5s %7s %7s %10s %8s\n", "policy", "scene",
		    "seeds", "drained", "peak-%", "overload-s", "time-s");
	for (i = 0; i < G_N_ELEMENTS(scenarios); i++) {
		for (policy = 0; policy < POLICIES; policy++) {
			memset(&t, 0, sizeof(t));
			for (seed = 1; seed <= seeds; seed++)
				run((policy_t)policy, &scenarios[i],
				    (uint32_t)seed, &t);
			printf(json ? "{\"policy\":\"%s\",\"scene\":\"%s\","
				      "\"seeds\":\"1..%d\",\"drained\":%d,"
				      "\"peak_percent\":%.1f,"
				      "\"overload_s\":%.1f,\"time_s\":%.1f}\n"
				    : "%-8s %-15s %5d %7d %7.1f %10.1f %8.1f\n",
			    names[policy], scenarios[i].name, seeds, t.drained,
			    100 * t.peak, t.over_s / seeds,
			    t.drained > 0 ? t.time_s / t.drained : 0);
		}
	}
	return 0;
}
