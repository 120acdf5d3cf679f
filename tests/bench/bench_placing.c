#include <stdio.h>

#include <popt.h>

#include "placing_model.h"

/*
 * Measures what callers get from a service with a capacity of 133 warm requests
 * a second, by the policy that chooses the server and by load: the worth, the
 * part answered in time, and a bar for each policy. The limit is what a single
 * queue with full knowledge achieves.
 */

#define BAR_CHARS 40

static int first_seed = 1, seeds = 3;

static const struct poptOption options[] = {
    {"seed", 0, POPT_ARG_INT, &first_seed, 0, "first seed", "N"},
    {"seeds", 0, POPT_ARG_INT, &seeds, 0, "how many", "N"},
    POPT_AUTOHELP POPT_TABLEEND,
};

static const struct {
	const char *name;
	model_policy_t policy;
} policies[] = {
    {"random", MODEL_RANDOM},
    {"least busy", MODEL_LEAST_LOADED},
    {"hash", MODEL_HASH},
    {"chosen, late unknown", MODEL_NO_OBJECTIVE},
    {"chosen", MODEL_PLACING},
};

static void
print_row(
    const char *name, double worth, double within_objective, double refused)
{
	int i;

	printf("%-22s %6.3f %7.3f %8.3f  ", name, worth, within_objective,
	    refused);
	for (i = 0; i < (int)(worth * BAR_CHARS + 0.5); i++)
		putchar('#');
	putchar('\n');
}

static void
run_policy(size_t way, double rate)
{
	model_setup_t setup = {
	    .rate = rate, .policy = policies[way].policy, .offloads = TRUE};
	model_result_t sum = {0, 0, 0, 0}, r;
	int i;

	for (i = 0; i < seeds; i++) {
		setup.seed = (guint32)(first_seed + i);
		placing_model_run(&setup, &r);
		sum.requests += r.requests;
		sum.within_objective += r.within_objective;
		sum.late += r.late;
		sum.refused += r.refused;
	}
	print_row(policies[way].name, placing_model_value(&sum),
	    (double)sum.within_objective / sum.requests,
	    (double)sum.refused / sum.requests);
}

int
main(int argc, char **argv)
{
	static const double rates[] = {30, 60, 90, 120, 180, 250, 400};
	poptContext ctx =
	    poptGetContext(NULL, argc, (const char **)argv, options, 0);
	size_t i, way;

	if (poptGetNextOpt(ctx) < -1 || seeds < 1) {
		poptPrintUsage(ctx, stderr, 0);
		return 2;
	}
	poptFreeContext(ctx);
	for (i = 0; i < G_N_ELEMENTS(rates); i++) {
		printf("%g callers a second\n%-22s %6s %7s %8s\n", rates[i], "",
		    "worth", "in aim", "refused");
		for (way = 0; way < G_N_ELEMENTS(policies); way++)
			run_policy(way, rates[i]);
		print_row("limit", placing_model_limit(rates[i]),
		    placing_model_limit(rates[i]),
		    1 - placing_model_limit(rates[i]));
	}
	return 0;
}
