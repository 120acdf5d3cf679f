#include "coordination/orders_lag.h"
#include "suite.h"

/* Steps of a case, in order of time. */
typedef struct {
	msec_t at;
	enum {
		KNOWN,	/* the store's answer is complete up to @ver */
		HEARD,	/* a peer has an order of @ver */
		BEHIND, /* expected: @ver */
	} what;
	uint64_t ver;
} step_t;

typedef struct {
	const char *name;
	guint n;
	step_t steps[8];
} case_t;

static const case_t rows[] = {
    {"no peer is ahead", 3, {{0, KNOWN, 5}, {0, HEARD, 5}, {9000, BEHIND, 0}}},
    {"a peer is ahead for a moment", 5,
	{{0, KNOWN, 5}, {100, HEARD, 6}, {101, BEHIND, 1}, {300, KNOWN, 6},
	    {301, BEHIND, 0}}},
    {"the store does not reach this host", 7,
	{{0, KNOWN, 5}, {100, HEARD, 6}, {900, HEARD, 7}, {5000, BEHIND, 1},
	    {5100, KNOWN, 6}, {5101, BEHIND, 1}, {5200, KNOWN, 7}}},
    {"this host hears nobody any more", 3,
	{{0, KNOWN, 5}, {100, HEARD, 6}, {9000, BEHIND, 1}}},
    {"an order was removed before this host started", 3,
	{{0, KNOWN, 9}, {100, HEARD, 7}, {9000, BEHIND, 0}}},
    {"an old answer arrives late", 7,
	{{0, KNOWN, 5}, {10, HEARD, 6}, {20, KNOWN, 4}, {30, BEHIND, 1},
	    {40, KNOWN, 8}, {50, HEARD, 7}, {60, BEHIND, 0}}},
};

static void
play(const case_t *c)
{
	orders_lag_t lag = {0};
	guint i;

	for (i = 0; i < c->n; i++) {
		const step_t *s = &c->steps[i];

		switch (s->what) {
		case KNOWN:
			orders_lag_known(&lag, s->ver);
			break;
		case HEARD:
			/* Time 0 means never. */
			orders_lag_heard(&lag, s->ver, s->at + 1000);
			break;
		case BEHIND:
			ck_assert_msg(
			    orders_lag_is_behind(&lag) == (gboolean)s->ver,
			    "%s: step %u", c->name, i);
			break;
		}
	}
	ck_assert_msg(
	    orders_lag_is_behind(&lag) == (orders_lag_ms(&lag, 99999) > 0),
	    "%s", c->name);
}

static void
test_behind(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		play(&rows[i]);
}

static const suite_case_t cases[] = {
    {"a host knows that it is behind", test_behind},
};

int
main(void)
{
	return suite_run("orders_lag", cases, G_N_ELEMENTS(cases));
}
