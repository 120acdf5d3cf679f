#include "coordination/orders_lag.h"
#include "fleet_alone.h"
#include "suite.h"

#define HOSTS 8

/* Steps of a case, in order of time. */
typedef struct {
	msec_t at;
	enum {
		KNOWN, /* the store's answer is complete up to @ver */
		HEARD, /* a peer has an order of @ver */
		FLEET, /* @ver hosts of HOSTS - 1 reach the store */
		STATE, /* expected: the state @ver */
	} what;
	uint64_t ver;
} step_t;

typedef struct {
	const char *name;
	step_t steps[12];
	guint n;
} case_t;

static const case_t rows[] = {
    {"no peer is ahead",
	{{0, FLEET, 7}, {0, KNOWN, 5}, {0, HEARD, 5}, {9000, STATE, 0}}, 4},
    {"a peer is ahead for a moment",
	{{0, FLEET, 7}, {0, KNOWN, 5}, {100, HEARD, 6},
	    {101, STATE, ORDERS_BEHIND}, {300, KNOWN, 6},
	    {301, STATE, ORDERS_CURRENT}},
	6},
    {"this host alone does not reach the store",
	{{0, KNOWN, 5}, {100, HEARD, 6}, {900, HEARD, 7}, {1200, FLEET, 7},
	    {1299, STATE, ORDERS_BEHIND}, {1301, STATE, ORDERS_OUTDATED},
	    {1400, KNOWN, 6}, {1401, STATE, ORDERS_OUTDATED}, {1500, KNOWN, 7},
	    {1501, STATE, ORDERS_CURRENT}},
	10},
    {"two of eight do not",
	{{0, KNOWN, 5}, {100, HEARD, 6}, {1400, FLEET, 6},
	    {1500, STATE, ORDERS_OUTDATED}},
	4},
    {"half of the hosts do not",
	{{0, KNOWN, 5}, {100, HEARD, 6}, {1400, FLEET, 4},
	    {1500, STATE, ORDERS_BEHIND}},
	4},
    {"none does",
	{{0, KNOWN, 5}, {100, HEARD, 6}, {4900, FLEET, 0},
	    {5000, STATE, ORDERS_BEHIND}},
	4},
    {"this host hears nobody any more",
	{{0, FLEET, 7}, {0, KNOWN, 5}, {100, HEARD, 6},
	    {9000, STATE, ORDERS_BEHIND}},
	4},
    {"an order was removed before this host started",
	{{0, FLEET, 7}, {0, KNOWN, 9}, {100, HEARD, 7},
	    {9000, STATE, ORDERS_CURRENT}},
	4},
    {"an old answer arrives late",
	{{0, KNOWN, 5}, {10, HEARD, 6}, {20, KNOWN, 4},
	    {30, STATE, ORDERS_BEHIND}, {40, KNOWN, 8}, {50, HEARD, 7},
	    {60, STATE, ORDERS_CURRENT}},
	7},
};

static void
set_fleet(fleet_t *f, guint reaching, msec_t now)
{
	static uint32_t seq;
	fleet_status_t status;
	char name[16];
	guint i;

	seq++;
	for (i = 1; i < HOSTS; i++) {
		fleet_row_t row = {.name = name,
		    .callers = "10.0.0.1:1",
		    .peer = "10.0.0.1:2",
		    .region = "north",
		    .domain = name,
		    .incarnation = 1,
		    .row_ver = 1};

		g_snprintf(name, sizeof(name), "host-%u", i);
		fleet_put(f, &row, now);
		fleet_status_init(&status);
		status.host = registry_hash(name);
		status.incarnation = 1;
		status.seq = seq;
		status.ready = TRUE;
		status.reaches_store = i <= reaching;
		deliver_alone(f, name, &status, now);
		fleet_status_finish(&status);
	}
}

static void
play(const case_t *c)
{
	orders_lag_t lag = {0};
	fleet_t fleet;
	guint i;

	fleet_init(&fleet, "host-0");
	for (i = 0; i < c->n; i++) {
		const step_t *s = &c->steps[i];
		/* Time 0 means never in the lag. */
		msec_t now = s->at + 1000;

		switch (s->what) {
		case KNOWN:
			orders_lag_known(&lag, s->ver);
			break;
		case HEARD:
			orders_lag_heard(&lag, s->ver, now);
			break;
		case FLEET:
			set_fleet(&fleet, (guint)s->ver, now);
			break;
		case STATE:
			ck_assert_msg(
			    orders_lag_state(&lag, &fleet, now) == s->ver,
			    "%s: step %u", c->name, i);
			break;
		}
	}
	fleet_finish(&fleet);
}

static void
test_state(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		play(&rows[i]);
}

static const suite_case_t cases[] = {
    {"a host that is behind refuses nothing by old orders", test_state},
};

int
main(void)
{
	return suite_run("orders_lag", cases, G_N_ELEMENTS(cases));
}
