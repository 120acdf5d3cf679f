#include <math.h>

#include "coordination/cold_ramp.h"

/* One second, plus the time by which network delay may bring two requests
 * closer together. */
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
	uint64_t own_score = score(server, self), other_score;
	guint i, rank = 0;

	for (i = 0; i < n; i++) {
		other_score = score(server, hosts[i]);
		if (other_score > own_score ||
		    (other_score == own_score && hosts[i] > self))
			rank++;
	}
	return rank;
}

msec_t
cold_ramp_gap(const cold_bound_t *bound, double rate, guint rank, guint hosts)
{
	double total = floor(rate * bound->overage + bound->slack);
	guint per_host;

	if (total < 1 || (double)rank >= total)
		return 0;
	per_host = hosts == 0 ? 1 : (guint)(total / hosts);
	return WINDOW_MS / MAX(per_host, 1);
}
