/*
 * Measures the decisions on rollouts in a simulation: ten hosts that follow the
 * row with a lag, one service on three routes whose load goes up and down, and
 * a new version that is good or fails in one of several ways. The baseline is a
 * rollout by a timer alone.
 */
#include <stdio.h>
#include <string.h>

#include <popt.h>

#include "coordination/move_admit.h"
#include "coordination/move_holder.h"
#include "coordination/move_host.h"
#include "state/judge_feed.h"

#define HOSTS 10
#define ROUTES 3
#define TICK_MS 100
#define WINDOW_MS (600 * MSEC_PER_SEC)
#define TAIL_MS (60 * MSEC_PER_SEC)
#define JUDGE_WINDOW_MS 1000
#define SYNC_MS 500
#define SETTLE_MS 1000
#define TAKE_OVER_MS (10 * MSEC_PER_SEC)
#define OUTAGE_MS (60 * MSEC_PER_SEC)
/*
 * Highest probability of finding a good version bad: at the holder, and at all
 * hosts together.
 */
#define ALPHA 0.005

typedef enum {
	POLICY_CHOSEN,
	POLICY_TIMER, /* 5, 25, 50, 100 % in the quarters of the time */
	POLICIES,
} policy_t;

typedef struct {
	const char *name;
	int from_percent; /* start, in percent of the time; 100: never */
	int route;	  /* -1: all */
	int band;	  /* lowest load band with the fault */
	double errors, slow;
} fault_t;

static const fault_t faults[] = {
    {"good", 100, -1, 0, 0, 0},
    {"bad at once", 0, -1, 0, 0.5, 0},
    {"slow at once", 0, -1, 0, 0, 0.5},
    {"bad from 30 %", 30, -1, 0, 0.5, 0},
    {"bad from 70 %", 70, -1, 0, 0.5, 0},
    {"bad from 90 %", 90, -1, 0, 0.5, 0},
    {"bad under load", 0, -1, 2, 0.5, 0},
    {"bad on a route", 0, 2, 0, 0.8, 0},
};

typedef struct {
	move_host_t moves;
	split_t split[ROUTES]; /* one per route, so each gets its share */
	msec_t next_sync;
	judge_sample_t counts[ROUTES][JUDGE_BANDS]; /* totals */
	judge_feed_t feed;
	judge_t judge; /* judges what this host counts itself */
	move_report_t report;
} host_t;

typedef struct {
	const fault_t *fault;
	int rate;	    /* requests per second */
	gboolean disturbed; /* holder killed twice, store down for a minute */
	GRand *rand;
	msec_t now;
	move_row_t row;
	uint64_t version, epoch;
	move_holder_t holder;
	msec_t holder_from; /* time from which there is a holder */
	msec_t kills[2], outage_at;
	judge_feed_t feed;
	judge_t judge;
	msec_t step_started_at;
	share_t judged_share;
	host_t hosts[HOSTS];
	share_t largest; /* on a host, from first_hurt_at on */
	long hurt;
	msec_t first_hurt_at; /* first request hurt by the fault */
	msec_t last_share_at; /* last time with a share above 0 */
	msec_t ended_at;
} sim_t;

typedef struct {
	int on_time, late, taken_back, unfinished;
	share_t largest;
	double hurt;
	msec_t longest; /* from first_hurt_at to last_share_at */
} total_t;

static int
load_band(msec_t now)
{
	return (int)(now / (40 * MSEC_PER_SEC) % JUDGE_BANDS);
}

static gboolean
fault_active(const sim_t *w, int route)
{
	const fault_t *f = w->fault;

	return f->from_percent < 100 &&
	    w->now >= WINDOW_MS / 100 * f->from_percent &&
	    load_band(w->now) >= f->band && (f->route < 0 || f->route == route);
}

static share_t
share_at(const host_t *h, msec_t now)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(move_weight_t));
	share_t share = 0;

	move_weights(&h->moves, "till", now, out);
	if (out->len > 0)
		share = g_array_index(out, move_weight_t, 0).share;
	g_array_free(out, TRUE);
	return share;
}

static void
serve(sim_t *w)
{
	int band = load_band(w->now), route;
	double errors = 0.002 * (1 + band), slow = 0.03 + 0.05 * band;
	judge_count_t *c;
	host_t *h = &w->hosts[g_rand_int_range(w->rand, 0, HOSTS)];
	gboolean new_version, affected, failed, late;

	route = g_rand_int_range(w->rand, 0, 10) % ROUTES;
	split_set(&h->split[route], 1, share_at(h, w->now));
	new_version = split_pick(&h->split[route]) == 1;
	affected = new_version && fault_active(w, route);
	failed =
	    g_rand_double(w->rand) < errors + (affected ? w->fault->errors : 0);
	late = g_rand_double(w->rand) < slow + (affected ? w->fault->slow : 0);
	c = new_version ? &h->counts[route][band].new_version
			: &h->counts[route][band].old_version;
	c->requests++;
	c->bad[JUDGE_ERRORS] += failed;
	c->bad[JUDGE_SLOW] += late;
	if (!affected)
		return;
	if (w->first_hurt_at == 0)
		w->first_hurt_at = w->now;
	if ((w->fault->errors > 0 && failed) || (w->fault->slow > 0 && late))
		w->hurt++;
}

static gboolean
store_is_down(const sim_t *w)
{
	return w->disturbed && w->now >= w->outage_at &&
	    w->now < w->outage_at + OUTAGE_MS;
}

static void
sync_hosts(sim_t *w)
{
	host_t *h;
	int i;

	for (i = 0; i < HOSTS; i++) {
		h = &w->hosts[i];
		if (w->now < h->next_sync)
			continue;
		h->next_sync =
		    w->now + SYNC_MS + g_rand_int_range(w->rand, 0, SYNC_MS);
		if (!store_is_down(w))
			move_host_apply(&h->moves, &w->row);
		if (w->now >= w->holder_from)
			move_host_note_contact(&h->moves, w->now);
		h->report.confirmed = move_host_step(&h->moves, "m1");
		h->report.stopped = move_host_stopped(&h->moves, "m1");
		h->report.heard_at = w->now;
	}
}

static void
report_counts(judge_feed_t *f, const host_t *h, int i)
{
	char name[16];

	g_snprintf(name, sizeof(name), "h%d", i);
	judge_feed_report(
	    f, name, 1, (const judge_sample_t(*)[JUDGE_BANDS])h->counts);
}

static void
judge(sim_t *w)
{
	host_t *h;
	int i;

	for (i = 0; i < HOSTS; i++) {
		h = &w->hosts[i];
		report_counts(&h->feed, h, i);
		judge_feed_window(&h->feed, &h->judge);
		if (judge_verdict(&h->judge) == JUDGE_BAD)
			move_host_stop(&h->moves, "m1", MOVE_STOP_BY_HOST, 0);
		if (w->now >= w->holder_from)
			report_counts(&w->feed, h, i);
	}
	if (w->now >= w->holder_from)
		judge_feed_window(&w->feed, &w->judge);
}

static void
take_lease(sim_t *w)
{
	w->epoch++;
	move_holder_init(&w->holder, &w->row, w->version, w->now);
	judge_init(&w->judge, ROUTES, WINDOW_MS / JUDGE_WINDOW_MS, ALPHA);
	judge_feed_finish(&w->feed);
	judge_feed_init(&w->feed, ROUTES);
	w->judged_share = w->row.share;
	w->step_started_at = w->now;
}

static void
commit(sim_t *w, const move_action_t *a)
{
	if (store_is_down(w)) {
		move_holder_answered(&w->holder, a, MOVE_LOST, 0, w->now);
		return;
	}
	w->row = a->row;
	w->version++;
	move_holder_answered(&w->holder, a, MOVE_WON, w->version, w->now);
	if (w->row.share != w->judged_share) {
		judge_step(&w->judge);
		w->step_started_at = w->now;
	}
	w->judged_share = w->row.share;
	if (move_is_final(&w->row))
		w->ended_at = w->now;
}

static msec_t
sample_ms(const sim_t *w)
{
	if (w->judge.step_requests == 0)
		return 0;
	return (w->now - w->step_started_at) * JUDGE_MIN_STEP_REQUESTS /
	    w->judge.step_requests;
}

static void
tick_holder(sim_t *w)
{
	move_report_t reports[HOSTS];
	move_input_t in = {.now = w->now,
	    .wall_now = w->now,
	    .held = TRUE,
	    .epoch = w->epoch,
	    .members_known = TRUE,
	    .reports = reports,
	    .n_reports = HOSTS,
	    .room = {.known = TRUE,
		.measured_at = w->now - 500,
		.slots = 100,
		.demand = 60},
	    .verdict = judge_verdict(&w->judge),
	    .lacks_load = judge_lacks_load(&w->judge),
	    .sample_ms = sample_ms(w),
	    .settle_ms = SETTLE_MS};
	move_action_t a;
	int i;

	for (i = 0; i < HOSTS; i++)
		reports[i] = w->hosts[i].report;
	a = move_holder_tick(&w->holder, &in);
	switch (a.act) {
	case MOVE_ACT_COMMIT:
		commit(w, &a);
		break;
	case MOVE_ACT_READ:
		move_holder_read(&w->holder, store_is_down(w) ? NULL : &w->row,
		    w->version, w->now);
		break;
	case MOVE_ACT_STOP:
		for (i = 0; i < HOSTS; i++)
			move_host_stop(&w->hosts[i].moves, "m1",
			    MOVE_STOP_ORDERED, a.row.epoch);
		break;
	case MOVE_ACT_REPORT:
	case MOVE_ACT_NONE:
		break;
	}
}

/* The baseline: raises the share by time, without regard to results. */
static void
tick_timer(sim_t *w)
{
	static const share_t steps[] = {500, 2500, 5000, SHARE_ONE};
	size_t at = (size_t)(w->now * 4 / WINDOW_MS);

	at = at < G_N_ELEMENTS(steps) ? at : G_N_ELEMENTS(steps) - 1;
	if (store_is_down(w) || w->row.state == MOVE_DONE)
		return;
	if (w->row.share != steps[at]) {
		w->row.step++;
		w->row.share = steps[at];
		w->row.proven = TRUE;
	}
	if (steps[at] == SHARE_ONE && w->now >= WINDOW_MS - TICK_MS) {
		w->row.state = MOVE_DONE;
		w->ended_at = w->now;
	}
}

static void
apply_policy(sim_t *w, policy_t policy)
{
	int k;

	if (policy == POLICY_TIMER) {
		tick_timer(w);
		return;
	}
	for (k = 0; w->disturbed && k < 2; k++) {
		if (w->now == w->kills[k]) {
			w->holder_from = w->now + TAKE_OVER_MS;
			if (store_is_down(w))
				w->holder_from = w->outage_at + OUTAGE_MS;
		}
	}
	if (w->now == w->holder_from)
		take_lease(w);
	if (w->now % JUDGE_WINDOW_MS == 0)
		judge(w);
	if (w->now >= w->holder_from)
		tick_holder(w);
}

static void
record_shares(sim_t *w)
{
	share_t share, most = 0;
	int i;

	for (i = 0; i < HOSTS; i++) {
		share = share_at(&w->hosts[i], w->now);
		most = MAX(most, share);
	}
	if (w->first_hurt_at != 0)
		w->largest = MAX(w->largest, most);
	if (most > 0)
		w->last_share_at = w->now;
}

static void
sim_init(sim_t *w, const fault_t *fault, gboolean disturbed, uint32_t seed)
{
	static const move_request_t request = {
	    "m1", MOVE_ROLLOUT, MOVE_VERSION, "till", "1", "2", 0, 600};
	caps_t caps = {.shift_cap = 0.3, .rollout_cap = 0.05};
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(move_row_t));
	gboolean again;
	int i, r;

	memset(w, 0, sizeof(*w));
	w->fault = fault;
	w->disturbed = disturbed;
	w->rand = g_rand_new_with_seed(seed);
	move_admit(rows, &request, &caps, 0, &w->row, &again, NULL);
	g_array_free(rows, TRUE);
	w->version = 1;
	judge_feed_init(&w->feed, ROUTES);
	for (i = 0; i < 2; i++)
		w->kills[i] = g_rand_int_range(w->rand, 0, 5000) * TICK_MS;
	w->outage_at = g_rand_int_range(w->rand, 0, 5000) * TICK_MS;
	for (i = 0; i < HOSTS; i++) {
		move_host_init(&w->hosts[i].moves);
		judge_feed_init(&w->hosts[i].feed, ROUTES);
		judge_init(&w->hosts[i].judge, ROUTES,
		    WINDOW_MS / JUDGE_WINDOW_MS, ALPHA / HOSTS);
		for (r = 0; r < ROUTES; r++)
			split_init(&w->hosts[i].split[r]);
	}
}

static void
run(policy_t policy, const fault_t *fault, gboolean disturbed, int rate,
    uint32_t seed, total_t *t)
{
	int i, due = 0;
	sim_t w;

	sim_init(&w, fault, disturbed, seed);
	w.rate = rate;
	for (; w.now < WINDOW_MS + TAIL_MS; w.now += TICK_MS) {
		due += w.rate * TICK_MS;
		for (; due >= MSEC_PER_SEC; due -= MSEC_PER_SEC)
			serve(&w);
		sync_hosts(&w);
		apply_policy(&w, policy);
		record_shares(&w);
	}
	switch (w.row.state) {
	case MOVE_DONE:
		t->on_time += w.ended_at <= WINDOW_MS;
		t->late += w.ended_at > WINDOW_MS;
		break;
	case MOVE_TAKEN_BACK:
		t->taken_back++;
		break;
	case MOVE_RUNNING:
	case MOVE_BACKING_OUT:
		t->unfinished++;
		break;
	}
	t->largest = MAX(t->largest, w.largest);
	t->hurt += (double)w.hurt;
	if (w.first_hurt_at != 0)
		t->longest = MAX(t->longest, w.last_share_at - w.first_hurt_at);
	for (i = 0; i < HOSTS; i++) {
		move_host_finish(&w.hosts[i].moves);
		judge_feed_finish(&w.hosts[i].feed);
	}
	judge_feed_finish(&w.feed);
	g_rand_free(w.rand);
}

static void
print(policy_t policy, const fault_t *fault, gboolean disturbed, int seeds,
    const total_t *t, gboolean json)
{
	const char *name = policy == POLICY_CHOSEN ? "chosen" : "timer";
	const char *conditions = disturbed ? "faults" : "calm";

	printf(json ? "{\"policy\":\"%s\",\"faults\":\"%s\","
		      "\"version\":\"%s\",\"seeds\":\"1..%d\","
		      "\"on_time\":%d,\"late\":%d,\"taken_back\":%d,"
		      "\"unfinished\":%d,\"largest_share_percent\":%.1f,"
		      "\"hurt_mean\":%.1f,\"longest_s\":%.1f}\n"
		    : "%-7s %-7s %-15s %5d %8d %5d %6d %6d %8.1f %9.1f %8.1f\n",
	    name, conditions, fault->name, seeds, t->on_time, t->late,
	    t->taken_back, t->unfinished, 100.0 * t->largest / SHARE_ONE,
	    t->hurt / seeds, (double)t->longest / MSEC_PER_SEC);
	fflush(stdout);
}

int
main(int argc, const char **argv)
{
	int json = 0, seeds = 20, rate = 100, rc;
	struct poptOption options[] = {{"json", 0, POPT_ARG_NONE, &json, 0,
					   "one JSON object a line", NULL},
	    {"seeds", 0, POPT_ARG_INT, &seeds, 0, "runs of each row", "N"},
	    {"rate", 0, POPT_ARG_INT, &rate, 0, "requests a second", "N"},
	    POPT_AUTOHELP POPT_TABLEEND};
	poptContext ctx = poptGetContext(NULL, argc, argv, options, 0);
	int policy, disturbed, seed;
	total_t t;
	size_t f;

	rc = poptGetNextOpt(ctx);
	poptFreeContext(ctx);
	if (rc < -1 || seeds < 1 || rate < 1)
		return 2;
	if (!json)
		printf("%-7s %-7s %-15s %5s %8s %5s %6s %6s %8s %9s %8s\n",
		    "policy", "weather", "version", "seeds", "on-time", "late",
		    "back", "open", "share-%", "hurt", "longest-s");
	for (f = 0; f < G_N_ELEMENTS(faults); f++) {
		for (policy = 0; policy < POLICIES; policy++) {
			for (disturbed = 0; disturbed < 2; disturbed++) {
				memset(&t, 0, sizeof(t));
				for (seed = 1; seed <= seeds; seed++)
					run((policy_t)policy, &faults[f],
					    disturbed, rate, (uint32_t)seed,
					    &t);
				print((policy_t)policy, &faults[f], disturbed,
				    seeds, &t, json);
			}
		}
	}
	return 0;
}
