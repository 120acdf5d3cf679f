#include "coordination/store_away.h"
#include "state/registry.h"
#include "suite.h"

/*
 * Guards against a host that, when it is back from a partition, goes on to use
 * servers that left meanwhile (review/10), and against one that drops all
 * servers when the store is back.
 */

#define STEP_MS 100
#define HOSTS 4

typedef struct {
	const char *name;
	guint hosts;	/* other hosts */
	guint heard;	/* of them, from 5 s to 9 s */
	guint reaching; /* of those heard */
	gboolean lapse; /* entries that are missing at 9 s may have lapsed */
} case_t;

static const case_t table[] = {
    {"alone, the store is away", 0, 0, 0, TRUE},
    {"the store is away", 4, 4, 0, TRUE},
    {"this host is cut off from the store", 4, 4, 4, FALSE},
    {"most hosts are cut off from the store", 4, 4, 1, FALSE},
    {"this host is cut off from all", 4, 0, 0, FALSE},
    {"this region is cut off from all", 4, 1, 0, FALSE},
    {"a host has died, the store is away", 4, 3, 0, TRUE},
};

static void
fill(fleet_t *f, const case_t *c)
{
	static char names[HOSTS][8];
	guint i;

	fleet_init(f, "self");
	for (i = 0; i < c->hosts; i++) {
		const fleet_row_t row = {names[i], "1.1.1.1:1", "1.1.1.1:2",
		    "north", "n1", 1, i + 1, 0, 0};

		g_snprintf(names[i], sizeof(names[i]), "h%u", i);
		fleet_put(f, &row, 0);
	}
}

static void
play(const case_t *c)
{
	store_away_t a = {0};
	fleet_t f;
	msec_t now;
	guint i;

	fill(&f, c);
	for (now = STEP_MS; now <= 9000; now += STEP_MS) {
		gboolean cut = now >= 5000 && now < 9000;

		for (i = 0; i < c->hosts; i++) {
			fleet_host_t *h = g_ptr_array_index(f.hosts, i);

			if (cut && i >= c->heard)
				continue;
			h->heard_at = now;
			h->reaches_store = !cut || i < c->reaching;
		}
		store_away_tick(&a, &f, !cut, now);
	}
	ck_assert_msg((store_away_lapse_until(&a) > 9000) == c->lapse,
	    "%s: until %d", c->name, (int)store_away_lapse_until(&a));
	fleet_finish(&f);
}

static void
test_table(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(table); i++)
		play(&table[i]);
}

static const suite_case_t cases[] = {
    {"entries that may have lapsed", test_table},
};

int
main(void)
{
	return suite_run("store_away", cases, G_N_ELEMENTS(cases));
}
