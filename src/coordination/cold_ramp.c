#include <math.h>

#include "coordination/cold_ramp.h"

/* A second and what two requests may draw nearer to each other on the way. */
#define WINDOW_MS 1100

static uint64_t
score(uint64_t server, uint64_t host)
{
	uint64_t h = server ^ (host * UINT64_C(0x9e3779b97f4a7c15));

	h ^= h >> 32;
	h *= UINT64_C(0xd6e8feb86659fd93);
	return h ^ (h >> 32);
}

guint
cold_ramp_rank(uint64_t server, uint64_t self, const uint64_t *hosts, guint n)
{
	uint64_t own = score(server, self), other;
	guint i, rank = 0;

	for (i = 0; i < n; i++) {
		other = score(server, hosts[i]);
		if (other > own || (other == own && hosts[i] > self))
			rank++;
	}
	return rank;
}

msec_t
cold_ramp_gap(const cold_bound_t *bound, double rate, guint rank, guint hosts)
{
	double most = floor(rate * bound->overage + bound->slack);
	guint each;

	if (most < 1 || (double)rank >= most)
		return 0;
	each = hosts == 0 ? 1 : (guint)(most / hosts);
	return WINDOW_MS / MAX(each, 1);
}
