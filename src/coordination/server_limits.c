#include "coordination/server_limits.h"

/* The platform's rule: in a window, a server gets at most the requests of its
 * limit with this overage, and some more. */
#define OVERAGE 0.5
#define SLACK 5
#define WINDOW_MS 4000
/* The rest covers requests that take longer to the server than others, and the
 * time in which hosts see each other differently. */
#define LENT_PART 0.6
/* Tokens that accrue in this time are held for a burst. */
#define HOLD_MS 1000
/* A server that names less still gets this many requests per second, whose
 * answers show whether the limit has changed. */
#define RATE_MIN 0.25
/* A limit is dropped if no token was requested for this time. */
#define FORGET_MS 30000
/* Part of the demand beyond the limit that is offloaded per tick, and part of
 * the objects that are reclaimed. */
#define OFFLOAD_GAIN 0.05
#define RECLAIM_STEP 0.01
/* Multiples of this host's part above which demand is offloaded, and below
 * which objects are reclaimed. Some demand beyond the part keeps all tokens in
 * use. */
#define OFFLOAD_ABOVE 1.3
#define RECLAIM_BELOW 1.1
#define OFFLOADED_MAX 0.95

typedef struct {
	server_limit_t limit;
	msec_t asked_at;
	double offloaded;
} named_t;

void
server_limits_init(server_limits_t *s, const fleet_t *fleet, const char *region)
{
	const rate_bounds_t bounds = {.overage = OVERAGE,
	    .slack = SLACK,
	    .window_ms = WINDOW_MS,
	    .lent_part = LENT_PART,
	    .hold_ms = HOLD_MS};

	rate_lender_init(&s->lender, &bounds, fleet, region);
	s->lender.all_regions = TRUE;
	s->named =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void
server_limits_finish(server_limits_t *s)
{
	g_hash_table_destroy(s->named);
	rate_lender_finish(&s->lender);
}

static rate_limit_t
lent_limit(const named_t *n)
{
	const rate_limit_t limit = {
	    n->limit.server, MAX(n->limit.rate, RATE_MIN), 0, n->limit.region};

	return limit;
}

static void
tick_offloaded(const server_limits_t *s, named_t *n)
{
	double demand = rate_lender_demand(&s->lender, n->limit.server);
	double part = rate_lender_part(&s->lender, n->limit.server);

	if (demand > OFFLOAD_ABOVE * part)
		n->offloaded +=
		    OFFLOAD_GAIN * (1 - n->offloaded) * (1 - part / demand);
	else if (demand < RECLAIM_BELOW * part)
		n->offloaded -= RECLAIM_STEP;
	n->offloaded = CLAMP(n->offloaded, 0, OFFLOADED_MAX);
}

void
server_limits_tick(server_limits_t *s, gboolean may_lend, msec_t now)
{
	GArray *limits = g_array_new(FALSE, FALSE, sizeof(rate_limit_t));
	GHashTableIter it;
	gpointer value;

	s->lender.ready = may_lend;
	g_hash_table_iter_init(&it, s->named);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		named_t *n = value;
		rate_limit_t limit = lent_limit(n);

		if (now - n->asked_at >= FORGET_MS) {
			rate_lender_forget(&s->lender, n->limit.server);
			g_hash_table_iter_remove(&it);
			continue;
		}
		g_array_append_val(limits, limit);
	}
	rate_lender_tick_limits(&s->lender,
	    (const rate_limit_t *)(gpointer)limits->data, limits->len, now);
	g_array_free(limits, TRUE);
	g_hash_table_iter_init(&it, s->named);
	while (g_hash_table_iter_next(&it, NULL, &value))
		tick_offloaded(s, value);
}

static named_t *
find_or_add(server_limits_t *s, const server_limit_t *limit, msec_t now)
{
	named_t *n = g_hash_table_lookup(s->named, &limit->server);
	rate_limit_t lent;

	if (n != NULL) {
		if (limit->at > n->limit.at)
			n->limit = *limit;
		return n;
	}
	n = g_new0(named_t, 1);
	n->limit = *limit;
	g_hash_table_insert(s->named, &n->limit.server, n);
	lent = lent_limit(n);
	rate_lender_tick_limits(&s->lender, &lent, 1, now);
	return n;
}

void
server_limits_take(server_limits_t *s, const server_limit_t *limit,
    server_limit_answer_t *answer, msec_t now)
{
	named_t *n = find_or_add(s, limit, now);

	n->asked_at = now;
	answer->wait_ms = 0;
	answer->granted =
	    rate_lender_take(&s->lender, limit->server, &answer->wait_ms, now);
	answer->offloaded = n->offloaded;
	answer->limit = n->limit;
}
