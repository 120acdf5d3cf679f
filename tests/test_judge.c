#include <string.h>

#include "state/judge_feed.h"
#include "suite.h"

#define ROUTES 4
#define ALPHA 0.01
#define SEEDS 400
#define WINDOWS 600

/* A fault of the new version: from which window, on which route and load. */
typedef struct {
	const char *name;
	int from_window;
	int route; /* -1: all */
	int band;  /* lowest load band with the fault */
	double errors, slow;
	int within; /* maximum number of windows until it is found */
} fault_t;

static uint32_t
binomial(GRand *rand, uint32_t n, double p)
{
	uint32_t i, k = 0;

	for (i = 0; i < n; i++)
		k += g_rand_double(rand) < p;
	return k;
}

static judge_count_t
serve(GRand *rand, uint32_t requests, double errors, double slow)
{
	judge_count_t c = {.requests = requests};

	c.bad[JUDGE_ERRORS] = binomial(rand, requests, errors);
	c.bad[JUDGE_SLOW] = binomial(rand, requests, slow);
	return c;
}

/*
 * A window of about 100 requests, 1 in 20 of them to the new version; the
 * load goes through its bands, and both versions get worse with it.
 */
static void
window(GRand *rand, judge_sample_t (*samples)[JUDGE_BANDS], int w,
    const fault_t *f)
{
	double errors, slow;
	int band = w / 20 % JUDGE_BANDS, r;
	gboolean hit;

	memset(samples, 0, sizeof(samples[0]) * ROUTES);
	for (r = 0; r < ROUTES; r++) {
		errors = 0.002 * (1 + band);
		slow = 0.03 + 0.05 * band;
		samples[r][band].old_version = serve(rand, 24, errors, slow);
		hit = f != NULL && w >= f->from_window && band >= f->band &&
		    (f->route < 0 || f->route == r);
		if (hit) {
			errors += f->errors;
			slow += f->slow;
		}
		samples[r][band].new_version =
		    serve(rand, 1 + (r == w % ROUTES), errors, slow);
	}
}

/* Return: window in which the new version was found bad, or WINDOWS */
static int
judge_run(uint32_t seed, const fault_t *f, judge_t *j)
{
	judge_sample_t samples[ROUTES][JUDGE_BANDS];
	GRand *rand = g_rand_new_with_seed(seed);
	int w;

	judge_init(j, ROUTES, WINDOWS, ALPHA);
	for (w = 0; w < WINDOWS && !j->bad; w++) {
		window(rand, samples, w, f);
		judge_window(j, (const judge_sample_t(*)[JUDGE_BANDS])samples);
	}
	g_rand_free(rand);
	return j->bad ? w : WINDOWS;
}

/* At most ALPHA of good versions are found bad; 10 of 400 is 3 sigma above. */
static void
good_versions_are_accepted(void)
{
	int seed, bad = 0, good = 0;
	judge_t j;

	for (seed = 1; seed <= SEEDS; seed++) {
		bad += judge_run((uint32_t)seed, NULL, &j) < WINDOWS;
		good += judge_verdict(&j) == JUDGE_GOOD;
	}
	ck_assert_int_le(bad, 10);
	ck_assert_int_ge(good, SEEDS * 9 / 10);
}

static void
bad_versions_are_found(void)
{
	static const fault_t faults[] = {
	    {"at once, fails", 0, -1, 0, 0.5, 0, 20},
	    {"at once, slow", 0, -1, 0, 0, 0.5, 40},
	    {"later", 300, -1, 0, 0.5, 0, 20},
	    {"under load only", 0, -1, 2, 0.5, 0, 70},
	    {"one route", 0, 2, 0, 0.8, 0, 40},
	    {"one route, slow", 0, 2, 0, 0, 0.8, 120},
	};
	judge_t j;
	size_t i;
	int seed, at;

	for (i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		for (seed = 1; seed <= 40; seed++) {
			at = judge_run((uint32_t)seed, &faults[i], &j);
			ck_assert_msg(
			    at <= faults[i].from_window + faults[i].within,
			    "%s: seed %d found in window %d", faults[i].name,
			    seed, at);
			ck_assert_msg(at > faults[i].from_window,
			    "%s: seed %d blamed before", faults[i].name, seed);
		}
	}
}

/* With few samples or an unseen route or load, the test stays undecided. */
static void
missing_samples_leave_it_undecided(void)
{
	judge_sample_t samples[ROUTES][JUDGE_BANDS];
	judge_t j;
	int w, r;

	judge_init(&j, ROUTES, WINDOWS, ALPHA);
	for (w = 0; w < 200; w++) {
		memset(samples, 0, sizeof(samples));
		for (r = 0; r < ROUTES; r++) {
			samples[r][0].old_version.requests = 20;
			samples[r][2].old_version.requests = 20;
			samples[r][0].new_version.requests = 2;
		}
		judge_window(&j, (const judge_sample_t(*)[JUDGE_BANDS])samples);
	}
	ck_assert_int_eq(judge_verdict(&j), JUDGE_UNDECIDED);
	ck_assert(judge_lacks_load(&j));
	judge_init(&j, ROUTES, WINDOWS, ALPHA);
	for (w = 0; w < 200; w++) {
		for (r = 0; r < ROUTES; r++) {
			samples[r][2].old_version.requests = 0;
			samples[r][0].new_version.requests = r == 1 ? 0 : 2;
		}
		judge_window(&j, (const judge_sample_t(*)[JUDGE_BANDS])samples);
	}
	ck_assert_int_eq(judge_verdict(&j), JUDGE_UNDECIDED);
	ck_assert(!judge_lacks_load(&j));
}

/* Reports are lost, duplicated, out of order, or from a restarted host. */
static void
feed_counts_each_request_once(void)
{
	static const struct {
		const char *host;
		uint64_t incarnation;
		uint32_t requests; /* total of that process */
		uint32_t counted;  /* sum over all reports so far */
	} rows[] = {
	    {"a", 1, 10, 10},
	    {"a", 1, 10, 10},
	    {"a", 1, 25, 25},
	    {"a", 1, 20, 25},
	    {"b", 7, 5, 30},
	    {"a", 2, 3, 33},
	    {"a", 1, 40, 33},
	    {"a", 2, 4, 34},
	};
	judge_sample_t total[ROUTES][JUDGE_BANDS] = {0};
	judge_feed_t f;
	judge_t j;
	size_t i;

	judge_init(&j, ROUTES, WINDOWS, ALPHA);
	judge_feed_init(&f, ROUTES);
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		total[1][2].new_version.requests = rows[i].requests;
		judge_feed_report(&f, rows[i].host, rows[i].incarnation,
		    (const judge_sample_t(*)[JUDGE_BANDS])total);
		judge_feed_window(&f, &j);
		ck_assert_uint_eq(j.step_requests, rows[i].counted);
		ck_assert_uint_eq(j.band_new[2], rows[i].counted);
	}
	judge_feed_finish(&f);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"good versions are accepted", good_versions_are_accepted},
	    {"bad versions are found", bad_versions_are_found},
	    {"missing samples leave it undecided",
		missing_samples_leave_it_undecided},
	    {"feed counts each request once", feed_counts_each_request_once},
	};

	return suite_run("judge", cases, sizeof(cases) / sizeof(cases[0]));
}
