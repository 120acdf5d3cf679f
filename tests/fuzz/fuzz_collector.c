#include <stddef.h>
#include <stdint.h>

#include "collector_world.h"

/*
 * Plays faults that the input selects in a fleet of three domains: kills,
 * restarts, pauses, cuts, lost and doubled datagrams, one after the other or at
 * once. The checks of the world are the oracle.
 */

#define HOSTS 18
#define DOMAINS 3
#define FAULTS_MAX 5
#define BYTES_PER_FAULT 3
#define FIRST_AT_MS 5000
#define CALM_END_MS 7000

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	world_fault_t faults[FAULTS_MAX] = {{0}};
	msec_t at = FIRST_AT_MS, until = FIRST_AT_MS;
	const char *wrong;
	world_t *w;
	guint n, i;

	if (size < 1 + BYTES_PER_FAULT)
		return 0;
	n = (guint)MIN((size - 1) / BYTES_PER_FAULT, FAULTS_MAX);
	for (i = 0; i < n; i++) {
		const uint8_t *b = data + 1 + i * BYTES_PER_FAULT;
		world_fault_t *f = &faults[i];

		f->kind = (world_fault_kind_t)(1 + b[0] % FAULT_LOSSY);
		f->first =
		    f->kind >= FAULT_KILL_DOMAIN ? b[1] % DOMAINS : b[1] % 4;
		f->count = 1 + (b[1] >> 4) % 3;
		f->at = at;
		f->for_ms = 100 * (1 + b[2] % 60);
		until = MAX(until, f->at + f->for_ms);
		at += 100 * (b[2] >> 3);
	}
	w = g_new(world_t, 1);
	world_init(w, HOSTS, DOMAINS, data[0]);
	wrong = world_play(w, faults, n, until + CALM_END_MS);
	if (wrong != NULL)
		g_error("%" G_GINT64_FORMAT " ms: %s", w->now, wrong);
	world_finish(w);
	g_free(w);
	return 0;
}
