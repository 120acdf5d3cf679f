#include <string.h>

#include "state/split.h"

void
split_init(split_t *s)
{
	memset(s, 0, sizeof(*s));
}

void
split_set(split_t *s, unsigned int choice, share_t share)
{
	s->share[choice] = share;
	if (share == 0)
		s->credit[choice] = 0;
}

unsigned int
split_pick(split_t *s)
{
	unsigned int i, best = SPLIT_BASE;

	for (i = 1; i < SPLIT_CHOICES_MAX; i++) {
		s->credit[i] += s->share[i];
		if (s->credit[i] >= SHARE_ONE &&
		    (best == SPLIT_BASE || s->credit[i] > s->credit[best]))
			best = i;
	}
	if (best != SPLIT_BASE)
		s->credit[best] -= SHARE_ONE;
	return best;
}
