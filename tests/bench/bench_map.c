#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <popt.h>

#include "state/block_codec.h"

/*
 * Measures the map of client blocks to sites at growing sizes: memory, look-up
 * with and without the table of upper halves, snapshot, loading and changes.
 * All sizes are built in this process, one after the other.
 */

#define SITES 94
#define FIND_COUNT 2000000
#define CHANGE_ROUNDS 20

static const int percents[] = {10, 50, 100};

static int total = 4700000, seed = 1, json;
static volatile unsigned int sink;

static double
now_usec(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

/*
 * Makes blocks of /23 and /24 with gaps. Their mean distance is such that they
 * spread over the whole IPv4 address space.
 */
static block_t *
make_blocks(GRand *rand, size_t n)
{
	block_t *blocks = g_new(block_t, n);
	double step = 4294967296.0 / (double)n;
	double at = 0;
	uint64_t end = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		uint8_t length = g_rand_int_range(rand, 0, 8) == 0 ? 23 : 24;
		uint64_t size = UINT64_C(1) << (32 - length);
		uint64_t address = MAX(end, (uint64_t)at);

		address = (address + size - 1) & ~(size - 1);
		blocks[i].address = (uint32_t)address;
		blocks[i].length = length;
		blocks[i].site = (site_id_t)g_rand_int_range(rand, 0, SITES);
		end = address + size;
		at += step;
	}
	return blocks;
}

static double
find_nsec(const block_map_t *m, const uint32_t *probes)
{
	double before = now_usec();
	unsigned int sum = 0;
	size_t i;

	for (i = 0; i < FIND_COUNT; i++)
		sum += block_map_find(m, probes[i]);
	sink = sum;
	return (now_usec() - before) * 1e3 / FIND_COUNT;
}

/* The baseline: one binary search over all blocks. */
static double
binary_search_nsec(const block_map_t *m, const uint32_t *probes)
{
	double before = now_usec();
	unsigned int sum = 0;
	size_t i;

	for (i = 0; i < FIND_COUNT; i++) {
		size_t lo = 0, hi = m->n;

		while (lo < hi) {
			size_t mid = lo + (hi - lo) / 2;

			if (m->addresses[mid] <= probes[i])
				lo = mid + 1;
			else
				hi = mid;
		}
		sum += lo > 0 ? m->sites[lo - 1] : 0;
	}
	sink = sum;
	return (now_usec() - before) * 1e3 / FIND_COUNT;
}

static double
site_change_usec(block_map_t *m)
{
	double before = now_usec();
	int i;

	for (i = 0; i < CHANGE_ROUNDS; i++) {
		block_t c = block_map_get(m, m->n / 2 + (size_t)i);

		c.site = (site_id_t)((c.site + 1) % SITES);
		block_map_apply(m, m->version + 1, &c, 1, NULL);
	}
	return (now_usec() - before) / CHANGE_ROUNDS;
}

static double
block_change_usec(block_map_t *m)
{
	block_t c = block_map_get(m, m->n / 2);
	site_id_t site = c.site;
	double before = now_usec();
	int i;

	for (i = 0; i < CHANGE_ROUNDS; i++) {
		c.site = i % 2 == 0 ? BLOCK_SITE_NONE : site;
		block_map_apply(m, m->version + 1, &c, 1, NULL);
	}
	return (now_usec() - before) / CHANGE_ROUNDS;
}

static void
measure(int percent)
{
	size_t n = (size_t)total / 100 * (size_t)percent;
	GRand *rand = g_rand_new_with_seed((guint32)seed);
	uint32_t *probes = g_new(uint32_t, FIND_COUNT);
	GByteArray *snapshot = g_byte_array_new();
	block_t *blocks = make_blocks(rand, n);
	double build, load, encode, find, binary_search, site, change;
	size_t i, held = mallinfo2().uordblks + mallinfo2().hblkhd;
	block_map_t m;

	for (i = 0; i < FIND_COUNT; i++)
		probes[i] = g_rand_int(rand);
	block_map_init(&m);
	build = now_usec();
	if (!block_map_load(&m, 1, blocks, n, NULL))
		g_error("bench_map: blocks are not sorted");
	build = now_usec() - build;
	held = mallinfo2().uordblks + mallinfo2().hblkhd - held;
	find = find_nsec(&m, probes);
	binary_search = binary_search_nsec(&m, probes);
	encode = now_usec();
	block_snapshot_encode(&m, snapshot);
	encode = now_usec() - encode;
	load = now_usec();
	if (!block_snapshot_load(&m, snapshot->data, snapshot->len, NULL))
		g_error("bench_map: the snapshot does not load");
	load = now_usec() - load;
	site = site_change_usec(&m);
	change = block_change_usec(&m);
	printf(json ? "{\"blocks\":%zu,\"memory_bytes\":%zu,\"build_ms\":%.1f,"
		      "\"find_ns\":%.1f,\"plain_ns\":%.1f,"
		      "\"snapshot_bytes\":%u,\"encode_ms\":%.1f,"
		      "\"load_ms\":%.1f,\"site_us\":%.2f,\"change_ms\":%.2f}\n"
		    : "%8zu %12zu %8.1f %7.1f %8.1f %14u %9.1f %7.1f %7.2f "
		      "%9.2f\n",
	    n, held, build / 1e3, find, binary_search, snapshot->len,
	    encode / 1e3, load / 1e3, site, change / 1e3);
	block_map_finish(&m);
	g_byte_array_free(snapshot, TRUE);
	g_free(blocks);
	g_free(probes);
	g_rand_free(rand);
}

int
main(int argc, const char **argv)
{
	const struct poptOption options[] = {
	    {"json", 0, POPT_ARG_NONE, &json, 0, "one JSON object a line",
		NULL},
	    {"blocks", 0, POPT_ARG_INT, &total, 0, "blocks at 100 %", "N"},
	    {"seed", 0, POPT_ARG_INT, &seed, 0, "of the blocks", "N"},
	    POPT_AUTOHELP POPT_TABLEEND};
	poptContext ctx = poptGetContext(NULL, argc, argv, options, 0);
	size_t i;

	poptGetNextOpt(ctx);
	poptFreeContext(ctx);
	if (!json)
		printf("seed %d\n  blocks memory_bytes build_ms find_ns "
		       "plain_ns snapshot_bytes encode_ms load_ms site_us "
		       "change_ms\n",
		    seed);
	for (i = 0; i < G_N_ELEMENTS(percents); i++)
		measure(percents[i]);
	return 0;
}
