#include <string.h>

#include "coordination/rate_lender.h"
#include "state/registry.h"

/* Fraction of the region's part that the deputy lends beside the lender. All
 * other hosts together lend the same, for requests that neither answered. */
#define DEPUTY_PART 0.1
/* Demands are reported in tenths of a request per second. */
#define DEMAND_UNIT 10
/* Bounds of the wait that is returned for a caller over its rate. */
#define WAIT_MIN_MS 100
#define WAIT_MAX_MS 2000
/* A host that has just started gets the tokens of this time in its buckets.
 * They are fewer than those that accrued while it was down, or else fit into
 * what is left of the tolerance. */
#define START_TOKENS_MS 400
/* Time after the first manifest in which reports of the other hosts arrive, so
 * that this host knows its part. */
#define START_PHASE_MS 2000
#define REGIONS_MAX 16
/* A host whose ticks are further apart was paused. */
#define PAUSED_MS 1500
/* A window of the bounds is counted in this many slices, plus one. */
#define SLICES 25

/* Tokens lent in the last window. */
typedef struct {
	uint32_t lent[SLICES + 1]; /* by slice, in a ring */
	int64_t slice;		   /* number of the newest */
} window_t;

/* A workspace on this host. */
typedef struct {
	uint64_t hash; /* of its name */
	bucket_t bucket;
	rate_demand_t demand;
	window_t lent;
	double part;	   /* of the region, smoothed over a window */
	double window_max; /* tokens that may be lent in a window */
	double lent_rate;  /* tokens per second of this host's part */
	msec_t made_at;
	msec_t ticked_at;
	double start_part; /* largest part for which start tokens were added */
} limit_entry_t;

void
rate_lender_init(rate_lender_t *l, const rate_bounds_t *bounds,
    const fleet_t *fleet, const char *region)
{
	l->bounds = *bounds;
	l->fleet = fleet;
	l->region = region;
	l->ready = FALSE;
	l->starting = FALSE;
	l->first_manifest_at = 0;
	l->limits =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void
rate_lender_finish(rate_lender_t *l)
{
	g_hash_table_destroy(l->limits);
}

static limit_entry_t *
entry_of(rate_lender_t *l, uint64_t workspace, msec_t now)
{
	limit_entry_t *e = g_hash_table_lookup(l->limits, &workspace);

	if (e != NULL)
		return e;
	e = g_new0(limit_entry_t, 1);
	e->hash = workspace;
	e->made_at = now;
	bucket_init(&e->bucket, limit_make(0, 0), now);
	g_hash_table_insert(l->limits, &e->hash, e);
	return e;
}

static msec_t
slice_ms(const rate_lender_t *l)
{
	return MAX(l->bounds.window_ms / SLICES, 1);
}

/* Drops slices that have left the window. Returns the sum of the others. */
static uint32_t
lent_sum(window_t *w, int64_t slice)
{
	uint32_t sum = 0;
	int i;

	if (slice - w->slice > SLICES)
		w->slice = slice - SLICES - 1;
	while (w->slice < slice)
		w->lent[++w->slice % (SLICES + 1)] = 0;
	for (i = 0; i <= SLICES; i++)
		sum += w->lent[i];
	return sum;
}

/*
 * Tokens that may have been lent before this host started and are still in the
 * window. All tokens of that time count as lent, except for START_TOKENS_MS, in
 * which the host is taken to have been down. A lender for all regions may have
 * taken over from one that lent until then.
 */
static double
lent_before(const rate_lender_t *l, const limit_entry_t *e, msec_t now)
{
	msec_t down_ms = l->all_regions ? 0 : START_TOKENS_MS;
	double gone =
	    (double)(now - e->made_at + down_ms) / (double)l->bounds.window_ms;

	return e->window_max * MAX(1 - gone, 0);
}

/* Whether the window allows one more token; always, if there is no window. */
static gboolean
window_allows(const rate_lender_t *l, limit_entry_t *e, msec_t now)
{
	return l->bounds.window_ms <= 0 ||
	    lent_sum(&e->lent, now / slice_ms(l)) + lent_before(l, e, now) +
		1 <=
	    e->window_max;
}

gboolean
rate_lender_take(
    rate_lender_t *l, uint64_t workspace, msec_t *wait_ms, msec_t now)
{
	limit_entry_t *e = entry_of(l, workspace, now);
	msec_t at;

	e->demand.requests++;
	bucket_refill(&e->bucket, 0, now);
	if (!window_allows(l, e, now)) {
		*wait_ms = CLAMP(slice_ms(l), WAIT_MIN_MS, WAIT_MAX_MS);
		return FALSE;
	}
	if (bucket_take(&e->bucket, UTOKEN)) {
		e->lent.lent[e->lent.slice % (SLICES + 1)]++;
		return TRUE;
	}
	at = bucket_ready_at(&e->bucket, UTOKEN);
	*wait_ms = at == INT64_MAX ? WAIT_MAX_MS : at - now;
	*wait_ms = CLAMP(*wait_ms, WAIT_MIN_MS, WAIT_MAX_MS);
	return FALSE;
}

static uint64_t
score(uint64_t workspace, uint64_t host)
{
	uint64_t h = workspace ^ (host * UINT64_C(0xff51afd7ed558ccd));

	h ^= h >> 29;
	h *= UINT64_C(0xc4ceb9fe1a85ec53);
	return h ^ (h >> 32);
}

/* While hosts start together, none has been heard yet; all then choose among
 * the hosts that have rows. */
static gboolean
may_lend(const fleet_host_t *h, msec_t now)
{
	if (h->heard_at == 0)
		return now - h->known_at < FLEET_SILENT_MS;
	return fleet_is_live(h, now) && h->ready && !h->leaving;
}

/* Whether hosts of any region lend in place of those of a region. */
static gboolean
any_may_lend(const rate_lender_t *l, const char *region, msec_t now)
{
	guint i;

	if (!l->all_regions || (l->ready && strcmp(region, l->region) == 0))
		return FALSE;
	for (i = 0; i < l->fleet->hosts->len; i++) {
		const fleet_host_t *h = g_ptr_array_index(l->fleet->hosts, i);

		if (strcmp(h->region, region) == 0 && may_lend(h, now))
			return FALSE;
	}
	return TRUE;
}

const fleet_host_t *
rate_lender_of(const rate_lender_t *l, const char *region, uint64_t name,
    guint rank, msec_t now)
{
	const fleet_host_t *first = NULL, *second = NULL;
	gboolean any = any_may_lend(l, region, now);
	gboolean self = l->ready && (any || strcmp(region, l->region) == 0);
	uint64_t own = self ? score(name, l->fleet->self) : 0;
	uint64_t best = own, next = 0, s;
	guint i;

	for (i = 0; i < l->fleet->hosts->len; i++) {
		const fleet_host_t *h = g_ptr_array_index(l->fleet->hosts, i);

		if ((!any && strcmp(h->region, region) != 0) ||
		    !may_lend(h, now))
			continue;
		s = score(name, h->seed);
		if (s > best) {
			next = best;
			second = first;
			best = s;
			first = h;
		} else if (s > next) {
			next = s;
			second = h;
		}
	}
	return rank == 0 ? first : second;
}

/* The regions as all workspaces see them; region 0 is this host's. */
typedef struct {
	const char *names[REGIONS_MAX];
	rate_region_t regions[REGIONS_MAX];
	guint n;
} regions_t;

static rate_region_t *
region_of(regions_t *all, const char *name)
{
	guint i;

	for (i = 0; i < all->n; i++) {
		if (strcmp(all->names[i], name) == 0)
			return &all->regions[i];
	}
	if (all->n == REGIONS_MAX)
		return &all->regions[all->n - 1];
	all->names[all->n] = name;
	all->regions[all->n] = (rate_region_t){0};
	return &all->regions[all->n++];
}

static void
count_hosts(const rate_lender_t *l, regions_t *all, msec_t now)
{
	rate_region_t *r;
	guint i;

	all->n = 0;
	r = region_of(all, l->region);
	r->hosts = 1;
	r->live = 1;
	for (i = 0; i < l->fleet->hosts->len; i++) {
		const fleet_host_t *h = g_ptr_array_index(l->fleet->hosts, i);

		r = region_of(all, l->all_regions ? l->region : h->region);
		r->hosts++;
		r->live += fleet_is_live(h, now);
	}
}

static void
sum_demands(
    const rate_lender_t *l, const limit_entry_t *e, regions_t *all, msec_t now)
{
	guint i;

	for (i = 0; i < all->n; i++)
		all->regions[i].demand = 0;
	for (i = 0; i < l->fleet->domains->len; i++) {
		const fleet_domain_t *d =
		    g_ptr_array_index(l->fleet->domains, i);

		if (fleet_is_fresh(d, now))
			region_of(all, d->region)->demand +=
			    (double)fleet_amount(
				d->summary.sums.demands, e->hash) /
			    DEMAND_UNIT;
	}
}

/* Return: number of other hosts that come before this one as lenders, at most
 * RATE_LENDERS. */
static guint
lender_rank(const rate_lender_t *l, const rate_limit_t *limit, msec_t now)
{
	const char *region = limit->region != NULL ? limit->region : l->region;
	gboolean any = any_may_lend(l, region, now);
	uint64_t own = l->ready ? score(limit->name, l->fleet->self) : 0;
	guint i, rank = 0;

	if (!any && strcmp(region, l->region) != 0)
		return RATE_LENDERS;
	for (i = 0; i < l->fleet->hosts->len && rank < RATE_LENDERS; i++) {
		const fleet_host_t *h = g_ptr_array_index(l->fleet->hosts, i);

		rank += (any || strcmp(h->region, region) == 0) &&
		    may_lend(h, now) && score(limit->name, h->seed) > own;
	}
	return rank;
}

static double
part_of(const rate_lender_t *l, const limit_entry_t *e,
    const rate_limit_t *limit, regions_t *all, msec_t now)
{
	double part;

	sum_demands(l, e, all, now);
	all->regions[0].demand += rate_demand_known(&e->demand);
	part = rate_share_of(
	    &all->regions[0], limit->rate, all->regions + 1, all->n - 1);
	switch (lender_rank(l, limit, now)) {
	case 0:
		return part;
	case 1:
		return part * DEPUTY_PART;
	default:
		return part * DEPUTY_PART / all->regions[0].hosts;
	}
}

/*
 * Adds tokens for the first requests after a start; when the part grows, only
 * those of the growth.
 */
static void
add_start_tokens(limit_entry_t *e, double rate, double part, msec_t now)
{
	limit_t more;

	if (now - e->made_at > START_PHASE_MS || part <= e->start_part)
		return;
	more = limit_make(rate * (part - e->start_part), 0);
	e->bucket.level = MIN(e->bucket.level + more.rate * START_TOKENS_MS,
	    e->bucket.limit.burst);
	e->start_part = part;
}

/*
 * Tokens of a window: rate, burst and a fraction of the tolerance beyond them.
 * Spread over the window they come to more than the rate. The workspace may use
 * all of them, at whatever pace it sends.
 */
static double
window_tokens(const rate_lender_t *l, const rate_limit_t *w)
{
	const rate_bounds_t *b = &l->bounds;
	double window = (double)b->window_ms / MSEC_PER_SEC;

	return (w->rate * window + w->burst) * (1 + b->lent_part * b->overage) +
	    b->lent_part * b->slack;
}

/* Refill rate of a workspace's bucket, in tokens per second. */
static double
token_rate(const rate_lender_t *l, const rate_limit_t *w)
{
	const rate_bounds_t *b = &l->bounds;

	if (b->window_ms <= 0)
		return w->rate * (1 + b->lent_part * b->overage);
	return window_tokens(l, w) * MSEC_PER_SEC / (double)b->window_ms;
}

/*
 * When another region's part falls, the tokens that it has lent stay in the
 * window. A part that rises therefore raises the window's maximum only as fast
 * as those tokens leave the window.
 */
static void
smooth_part(const rate_lender_t *l, limit_entry_t *e, double part, msec_t now)
{
	msec_t window = MAX(l->bounds.window_ms, 1);
	double step = e->ticked_at == 0
	    ? 1
	    : MIN((double)(now - e->ticked_at) / (double)window, 1);

	e->part += step * (part - e->part);
	e->ticked_at = now;
}

/* Most tokens that this host's part holds. */
static double
part_burst(const rate_lender_t *l, const limit_entry_t *e, double burst)
{
	double held = e->lent_rate * (double)l->bounds.hold_ms / MSEC_PER_SEC;

	return l->bounds.hold_ms > 0 ? MAX(burst, MAX(held, 1)) : burst;
}

static void
tick_limit(
    rate_lender_t *l, const rate_limit_t *limit, regions_t *regions, msec_t now)
{
	limit_entry_t *e = entry_of(l, limit->name, now);
	double part;

	/* While this host was paused, another may have lent. */
	if (l->all_regions && e->ticked_at != 0 &&
	    now - e->ticked_at > PAUSED_MS)
		e->made_at = now;
	rate_demand_tick(&e->demand, now);
	part = part_of(l, e, limit, regions, now);
	smooth_part(l, e, part, now);
	e->window_max = window_tokens(l, limit) * e->part;
	e->lent_rate = token_rate(l, limit) * part;
	bucket_set_limit(&e->bucket,
	    limit_make(e->lent_rate, part_burst(l, e, limit->burst * part)),
	    now);
	if (l->starting)
		add_start_tokens(e, limit->rate, part, now);
}

void
rate_lender_tick_limits(
    rate_lender_t *l, const rate_limit_t *limits, guint n, msec_t now)
{
	regions_t regions;
	guint i;

	/* Until the hosts are known, all of the rate would seem this host's. */
	if (l->fleet->synced_at == 0)
		return;
	count_hosts(l, &regions, now);
	for (i = 0; i < n; i++)
		tick_limit(l, &limits[i], &regions, now);
}

void
rate_lender_tick(rate_lender_t *l, const manifest_t *m, msec_t now)
{
	rate_limit_t *limits;
	guint i, n = 0;

	if (m != NULL && l->first_manifest_at == 0)
		l->first_manifest_at = now;
	l->starting = now - l->first_manifest_at <= START_PHASE_MS;
	if (m == NULL)
		return;
	limits = g_new(rate_limit_t, m->workspaces->len);
	for (i = 0; i < m->workspaces->len; i++) {
		const manifest_workspace_t *w =
		    g_ptr_array_index(m->workspaces, i);

		if (w->rate > 0)
			limits[n++] = (rate_limit_t){
			    registry_hash(w->name), w->rate, w->burst, NULL};
	}
	rate_lender_tick_limits(l, limits, n, now);
	g_free(limits);
}

void
rate_lender_forget(rate_lender_t *l, uint64_t name)
{
	g_hash_table_remove(l->limits, &name);
}

double
rate_lender_demand(const rate_lender_t *l, uint64_t name)
{
	const limit_entry_t *e = g_hash_table_lookup(l->limits, &name);

	return e != NULL ? e->demand.demand : 0;
}

double
rate_lender_part(const rate_lender_t *l, uint64_t name)
{
	const limit_entry_t *e = g_hash_table_lookup(l->limits, &name);

	return e != NULL ? e->lent_rate : 0;
}

void
rate_lender_demands(rate_lender_t *l, GArray *amounts, msec_t now)
{
	GHashTableIter it;
	fleet_amount_t a;
	gpointer value;
	double demand;

	g_hash_table_iter_init(&it, l->limits);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		limit_entry_t *e = value;

		/* CLAMP evaluates its argument several times. */
		demand = rate_demand_report(&e->demand, now) * DEMAND_UNIT;
		a.name = fleet_name(e->hash);
		a.amount = (uint32_t)CLAMP(demand, 0, FLEET_AMOUNT_MAX);
		if (a.amount > 0 && amounts->len < FLEET_AMOUNTS_MAX)
			g_array_append_val(amounts, a);
	}
}
