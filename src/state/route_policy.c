#include <string.h>

#include "state/route_policy.h"

#define LOAD_SCALE 1000 /* cost of an endpoint with all slots in use */
/* In units of LOAD_SCALE: decides between endpoints of almost equal load. */
#define OTHER_DOMAIN_COST 50

void
route_policy_init(route_policy_t *p, route_policy_kind_t kind, uint64_t seed)
{
	memset(p, 0, sizeof(*p));
	p->kind = kind;
	p->random = seed ? seed : 1;
	if (kind == ROUTE_ASSIGNED_SLOTS)
		p->u.assigned_slots.reserve = 1;
}

/* xorshift64*: a small generator whose state is a single word. */
static uint32_t
random_below(route_policy_t *p, uint32_t n)
{
	p->random ^= p->random >> 12;
	p->random ^= p->random << 25;
	p->random ^= p->random >> 27;
	return (uint32_t)((p->random * 0x2545f4914f6cdd1dULL) >> 33) % n;
}

static uint32_t
cost(const route_candidate_t *c)
{
	uint32_t used = (uint32_t)c->own + c->others;

	return used * LOAD_SCALE / MAX(c->slots, 1) +
	    (c->same_domain ? 0 : OTHER_DOMAIN_COST);
}

static int
pick_round_robin(uint32_t *next, const route_candidate_t *rows, unsigned int n)
{
	unsigned int i, k;

	for (i = 0; i < n; i++) {
		k = (*next + i) % n;
		if (rows[k].own >= rows[k].slots)
			continue;
		*next = k + 1;
		return (int)k;
	}
	return -1;
}

static int
pick_least_load(uint32_t *next, const route_candidate_t *rows, unsigned int n)
{
	unsigned int i, k;
	int best = -1;

	for (i = 0; i < n; i++) {
		k = (*next + i) % n;
		if (rows[k].own >= rows[k].slots)
			continue;
		if (best < 0 || rows[k].load < rows[best].load)
			best = (int)k;
	}
	if (best >= 0)
		*next = (uint32_t)best + 1;
	return best;
}

static gboolean
has_room(const route_candidate_t *c, uint16_t reserve)
{
	return c->own < c->slots && c->room > reserve;
}

/* Returns the index of the k-th candidate that has a free slot. */
static int
nth_with_room(
    const route_candidate_t *rows, unsigned int n, uint16_t reserve, uint32_t k)
{
	unsigned int i;

	for (i = 0; i < n; i++) {
		if (!has_room(&rows[i], reserve))
			continue;
		if (k == 0)
			return (int)i;
		k--;
	}
	return -1;
}

static int
pick_two_choices(route_policy_t *p, const route_candidate_t *rows,
    unsigned int n, uint16_t reserve)
{
	uint32_t first, second, open = 0;
	unsigned int i;
	int a, b;

	for (i = 0; i < n; i++)
		open += has_room(&rows[i], reserve);
	if (open == 0)
		return -1;
	first = random_below(p, open);
	a = nth_with_room(rows, n, reserve, first);
	if (open == 1)
		return a;
	second = random_below(p, open - 1);
	b = nth_with_room(rows, n, reserve, second + (second >= first));
	return cost(&rows[b]) < cost(&rows[a]) ? b : a;
}

/* Assigned slots are used without regard to the estimated load of peers. */
static int
pick_assigned(const route_candidate_t *rows, unsigned int n)
{
	int best = -1, spare, most = 0;
	unsigned int i;

	for (i = 0; i < n; i++) {
		if (rows[i].shed || rows[i].own >= rows[i].slots)
			continue;
		spare = (int)rows[i].assigned - rows[i].own;
		if (spare <= 0 || spare < most)
			continue;
		if (best >= 0 && spare == most &&
		    cost(&rows[i]) >= cost(&rows[best]))
			continue;
		best = (int)i;
		most = spare;
	}
	return best;
}

static int
pick_freed(const route_candidate_t *rows, unsigned int n)
{
	unsigned int i;

	for (i = 0; i < n; i++) {
		if (rows[i].freed && rows[i].own < rows[i].slots)
			return (int)i;
	}
	return -1;
}

/*
 * Counts from peers are old, and their slots may have become free since. An
 * endpoint that has not shed a request recently is worth one try. The time for
 * which a shed answer counts bounds how often such a try fails.
 */
static int
pick_unshed(route_policy_t *p, const route_candidate_t *rows, unsigned int n)
{
	uint32_t first, open = 0;
	unsigned int i;

	for (i = 0; i < n; i++)
		open += !rows[i].shed && rows[i].own < rows[i].slots;
	if (open == 0)
		return -1;
	first = random_below(p, open);
	for (i = 0; i < n; i++) {
		if (rows[i].shed || rows[i].own >= rows[i].slots)
			continue;
		if (first-- == 0)
			break;
	}
	return (int)i;
}

int
route_policy_pick(
    route_policy_t *p, const route_candidate_t *rows, unsigned int n)
{
	int k;

	switch (p->kind) {
	case ROUTE_ROUND_ROBIN:
		return pick_round_robin(&p->u.round_robin.next, rows, n);
	case ROUTE_LEAST_LOAD:
		return pick_least_load(&p->u.least_load.next, rows, n);
	case ROUTE_TWO_CHOICES:
		return pick_two_choices(p, rows, n, 0);
	case ROUTE_ASSIGNED_SLOTS:
		k = pick_freed(rows, n);
		if (k < 0)
			k = pick_assigned(rows, n);
		if (k >= 0)
			return k;
		k = pick_two_choices(p, rows, n, p->u.assigned_slots.reserve);
		return k >= 0 ? k : pick_unshed(p, rows, n);
	}
	return -1;
}
