#ifndef FUZZ_WEIGHTED_OPS_H
#define FUZZ_WEIGHTED_OPS_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* Random pairs of event and argument with rare faults. */
typedef struct {
	const uint8_t *ops; /* events that make progress */
	gint32 nops;
	const uint8_t *faults;
	gint32 nfaults;
	gint32 one_in; /* on average one event in so many is a fault */
} weighted_ops_t;

static inline void
weighted_fill(const weighted_ops_t *w, GRand *rand, uint8_t *data, size_t len)
{
	size_t j;

	for (j = 0; j + 1 < len; j += 2) {
		data[j] = w->ops[g_rand_int_range(rand, 0, w->nops)];
		if (g_rand_int_range(rand, 0, w->one_in) == 0)
			data[j] =
			    w->faults[g_rand_int_range(rand, 0, w->nfaults)];
		data[j + 1] = (uint8_t)g_rand_int_range(rand, 0, 256);
	}
}

#endif
