#include "coordination/cold_ramp.h"
#include "suite.h"

#define SERVERS 20
#define END_MS 5000

/* All hosts send to a cold server as often as the ramp allows. */
static void
test_bound(void)
{
	static const struct {
		guint hosts;
		double rate, overage, slack;
	} rows[] = {
	    {1, 2.5, 1.5, 5},
	    {8, 2.5, 1.5, 5},
	    {10, 6.9, 1.5, 5},
	    {30, 3.8, 1.5, 8},
	    {88, 3.8, 1.5, 8},
	    {300, 2.5, 1.5, 8},
	    {8, 0.5, 1, 0},
	};
	uint64_t seeds[300];
	size_t i;
	guint h, s;
	msec_t t;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		const cold_bound_t bound = {rows[i].overage, rows[i].slack};
		double most = rows[i].rate * rows[i].overage + rows[i].slack;

		for (h = 0; h < rows[i].hosts; h++)
			seeds[h] = registry_hash((char[]){'h',
			    (char)('0' + h / 26), (char)('a' + h % 26), '\0'});
		for (s = 0; s < SERVERS; s++) {
			uint32_t sent[END_MS] = {0}, window = 0, worst = 0;

			for (h = 0; h < rows[i].hosts; h++) {
				msec_t gap = cold_ramp_gap(&bound, rows[i].rate,
				    cold_ramp_rank(s * 7919, seeds[h], seeds,
					rows[i].hosts),
				    rows[i].hosts);

				for (t = h * 37 % 1000; gap > 0 && t < END_MS;
				     t += gap)
					sent[t]++;
			}
			for (t = 0; t < END_MS; t++) {
				window += sent[t];
				if (t >= 1000)
					window -= sent[t - 1000];
				worst = MAX(worst, window);
			}
			ck_assert_msg(worst <= most, "%u hosts: %u of %.1f",
			    rows[i].hosts, worst, most);
			if (most >= 1)
				ck_assert_msg(
				    worst > 0, "%u hosts: none", rows[i].hosts);
		}
	}
}

static const suite_case_t cases[] = {
    {"requests of any second stay within the bound", test_bound},
};

int
main(void)
{
	return suite_run("cold_ramp", cases, G_N_ELEMENTS(cases));
}
