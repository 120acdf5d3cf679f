#include <math.h>
#include <string.h>

#include "state/placing.h"

/* Shortest wait that is proposed to a refused caller. */
#define WAIT_MIN_MS 100
/* Assumed time of an answer until one has been measured. */
#define SERVICE_DEFAULT_MS 500
/* Servers whose answers take more than this part of the objective can't meet it
 * for any request: they are cold, and the order of requests does not matter. */
#define IN_TIME_PART 0.9

static uint64_t
mix(uint64_t h)
{
	h ^= h >> 31;
	h *= UINT64_C(0x7fb5d329728ea185);
	h ^= h >> 27;
	h *= UINT64_C(0x81dadef4bc2dd44d);
	return h ^ (h >> 33);
}

double
placing_score(const backend_t *server, uint64_t object)
{
	/* Weighted rendezvous hashing: shares are in proportion to slots. */
	double u = ((double)(mix(server->seed ^ mix(object)) >> 11) + 0.5) /
	    9007199254740992.0;

	return -(double)server->slots / log(u);
}

/* Number of values of a hash that hash_below() compares. */
#define HASH_RANGE 9007199254740992.0

static gboolean
hash_below(uint64_t hash, double part)
{
	return (double)(hash >> 11) < part * HASH_RANGE;
}

/* Where the object may run. */
typedef enum {
	SCOPE_ANY,   /* in several regions */
	SCOPE_LOCAL, /* the same, but it stays in this host's region */
	SCOPE_BOUND, /* in the only region that the candidates are in */
} scope_t;

static scope_t
scope_of(
    const placing_request_t *request, const placing_candidate_t *c, guint n)
{
	gboolean has_local = FALSE, one_region = TRUE;
	guint i;

	for (i = 0; i < n; i++) {
		has_local |= c[i].same_region;
		one_region &=
		    strcmp(c[i].server->region, c[0].server->region) == 0;
	}
	if (one_region)
		return SCOPE_BOUND;
	return has_local &&
		hash_below(mix(~request->object), request->local_part)
	    ? SCOPE_LOCAL
	    : SCOPE_ANY;
}

/* Whether the object is one of those that the server offloads. */
static gboolean
is_offloaded(const backend_t *server, uint64_t object, scope_t scope)
{
	double part = scope == SCOPE_ANY ? server->offloaded
					 : server->offloaded_in_region;

	return hash_below(mix(server->seed + mix(object ^ server->seed)),
	    MAX(part, server->limit_offloaded));
}

typedef struct {
	guint tier; /* the lowest goes first */
	double key; /* within a tier the highest goes first */
	placing_candidate_t candidate;
} ranked_t;

static int
compare_ranks(const void *a, const void *b)
{
	const ranked_t *x = a, *y = b;

	if (x->tier != y->tier)
		return x->tier < y->tier ? -1 : 1;
	return x->key < y->key ? 1 : x->key > y->key ? -1 : 0;
}

static double
load_per_slot(const placing_candidate_t *c)
{
	return c->load / c->server->slots;
}

/* Servers that offload the object go last; in both groups, those of the
 * object's region go first. */
static guint
tier_of(const placing_request_t *request, const placing_candidate_t *c,
    scope_t scope)
{
	return (is_offloaded(c->server, request->object, scope) ? 2 : 0) +
	    (scope == SCOPE_LOCAL && !c->same_region);
}

/* A server in another region counts as if it had one more request for each
 * slot. */
static double
load_key(const placing_request_t *request, const placing_candidate_t *c)
{
	return -load_per_slot(c) - (c->same_region ? 0 : 1) +
	    1e-9 * placing_score(c->server, request->object);
}

/* Sorts by the object's hash; without an object, by load. */
static void
rank(const placing_request_t *request, placing_candidate_t *c, guint n)
{
	ranked_t *order = g_newa(ranked_t, n);
	scope_t scope = scope_of(request, c, n);
	guint i;

	for (i = 0; i < n; i++) {
		order[i].candidate = c[i];
		order[i].tier =
		    request->by_object ? tier_of(request, &c[i], scope) : 0;
		order[i].key = request->by_object
		    ? placing_score(c[i].server, request->object)
		    : load_key(request, &c[i]);
	}
	qsort(order, n, sizeof(*order), compare_ranks);
	for (i = 0; i < n; i++)
		c[i] = order[i].candidate;
}

static gboolean
has_room(const placing_candidate_t *c, double depth, msec_t now)
{
	return !c->throttled && now >= c->server->full_until &&
	    c->load < depth * c->server->slots;
}

static msec_t
wait_for(const placing_candidate_t *c, double depth, msec_t now)
{
	const backend_t *b = c->server;
	double service = b->service_ms > 0 ? b->service_ms : SERVICE_DEFAULT_MS;
	double over = c->load - depth * b->slots + 1;
	msec_t wait = (msec_t)(MAX(over, 1) * service / b->slots);

	wait = MAX(wait, MAX(b->full_until, b->limited_until) - now);
	return MAX(wait, WAIT_MIN_MS);
}

double
placing_load(const placing_candidate_t *candidates, guint n, double *slots)
{
	double load = 0, all = 0;
	guint i;

	for (i = 0; i < n; i++) {
		load += candidates[i].load;
		all += candidates[i].server->slots;
	}
	*slots = all / n;
	return load / all;
}

static gboolean
is_overloaded(const placing_request_t *request, const placing_candidate_t *c,
    guint n, double load)
{
	double sum = 0;
	guint i, known = 0;

	for (i = 0; i < n; i++) {
		sum += c[i].server->service_ms;
		known += c[i].server->service_ms > 0;
	}
	return known > 0 && load >= PLACING_OVERLOAD_LOAD &&
	    sum <= IN_TIME_PART * (double)request->objective_ms * known;
}

static double
depth_of(const placing_request_t *request, gboolean overloaded)
{
	if (!overloaded)
		return PLACING_DEPTH;
	return request->late ? PLACING_LATE_DEPTH : PLACING_OVERLOAD_DEPTH;
}

/* Most requests for each slot at a server. */
typedef struct {
	double first; /* the first in rank, or any if there is no object */
	double spill; /* the others */
} depths_t;

/* Servers that are considered, by their region. */
typedef enum {
	REGION_ANY,
	REGION_OWN,
	REGION_OTHER,
} region_filter_t;

/* Return: the first in rank that has room, or NULL. */
static placing_candidate_t *
first_with_room(const placing_request_t *request, placing_candidate_t *c,
    guint n, region_filter_t regions, const depths_t *depths, msec_t now)
{
	gboolean first = TRUE;
	double depth;
	guint i;

	for (i = 0; i < n; i++) {
		if ((regions == REGION_OWN && !c[i].same_region) ||
		    (regions == REGION_OTHER && c[i].same_region))
			continue;
		/* A throttled server is cold. It is skipped, and the next one
		 * counts as the first in rank. */
		if (c[i].throttled)
			continue;
		depth = first || !request->by_object ? depths->first
						     : depths->spill;
		if (has_room(&c[i], depth, now))
			return &c[i];
		first = FALSE;
	}
	return NULL;
}

/* Return: the first that is not throttled, if there is one. */
static placing_candidate_t *
first_in_rank(placing_candidate_t *c, guint n)
{
	guint i = 0;

	while (i < n && c[i].throttled)
		i++;
	return &c[i < n ? i : 0];
}

placing_t
placing_choose(const placing_request_t *request,
    placing_candidate_t *candidates, guint n, msec_t now)
{
	placing_t p = {.verdict = PLACING_NONE};
	placing_candidate_t *c = NULL;
	depths_t depths;
	double load, slots, most;

	if (n == 0)
		return p;
	load = placing_load(candidates, n, &slots);
	p.overloaded = is_overloaded(request, candidates, n, load);
	depths.first = depth_of(request, p.overloaded);
	depths.spill = load < PLACING_SPILL_LOAD ? PLACING_SPILL_DEPTH : 0;
	most = depths.first;
	if (request->depth_max > 0) {
		depths.first = MIN(depths.first, request->depth_max);
		depths.spill = MIN(depths.spill, request->depth_max);
	}
	p.depth = depths.first;
	p.bounded = depths.first < most;
	rank(request, candidates, n);
	/* A request whose server is only closed to its class would run cold at
	 * another one and take three times the work that it yields. */
	if (p.bounded && has_room(first_in_rank(candidates, n), most, now))
		depths.spill = 0;
	if (request->prefer_region)
		c = first_with_room(
		    request, candidates, n, REGION_OWN, &depths, now);
	if (c == NULL)
		c = first_with_room(request, candidates, n,
		    request->prefer_region ? REGION_OTHER : REGION_ANY, &depths,
		    now);
	if (c == NULL) {
		p.verdict = PLACING_FULL;
		p.room_ms = wait_for(
		    &candidates[0], p.bounded ? p.depth : PLACING_DEPTH, now);
		p.wait_ms = p.room_ms;
		c = first_in_rank(candidates, n);
		p.first = c->server;
		p.yields = p.bounded && has_room(c, most, now);
		return p;
	}
	p.verdict = PLACING_SEND;
	p.server = c->server;
	return p;
}
