#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <popt.h>

#include "coordination/borrower.h"
#include "coordination/freshness.h"
#include "coordination/lookup.h"
#include "state/route_choice.h"
#include "state/keys.h"

/*
 * Measures the processor time of one decision, and the memory of one row, at
 * growing sizes of its table. docs/CAPACITY.md uses the slopes.
 */

#define ROUNDS 200000
#define ROUTE_ROUNDS 20000
#define LOOKUP_ROUNDS 5000
#define REGIONS 4
#define KEYS_VERSION 1

static int json;
static volatile uint64_t sink;

static double
now_nsec(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e9 + (double)ts.tv_nsec;
}

static size_t
held_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static void
print_row(const char *what, size_t rows, double nsec, double bytes)
{
	printf(json ? "{\"decision\":\"%s\",\"rows\":%zu,\"ns\":%.1f,"
		      "\"bytes_per_row\":%.0f}\n"
		    : "%-14s %7zu rows %9.1f ns %7.0f bytes a row\n",
	    what, rows, nsec, bytes);
}

static void
digest_number(size_t i, digest_t *d)
{
	digest_of(&i, sizeof(i), d);
}

static void
measure_keys(size_t n)
{
	size_t before = held_bytes(), i;
	freshness_t fresh;
	digest_t probes[256];
	double started;
	keys_t keys;

	keys_init(&keys);
	freshness_init(&fresh);
	for (i = 0; i < n; i++) {
		key_row_t row = {.workspace = "sera", .version = KEYS_VERSION};

		digest_number(i, &row.digest);
		keys_merge(&keys, &row);
	}
	keys_merged_range(&keys, 0, KEYS_VERSION);
	freshness_joined(&fresh, KEYS_VERSION);
	freshness_scanned(&fresh, &keys, 0);
	for (i = 0; i < G_N_ELEMENTS(probes); i++)
		digest_number(i * n / G_N_ELEMENTS(probes), &probes[i]);
	started = now_nsec();
	for (i = 0; i < ROUNDS; i++)
		sink += keys_check(
			    &keys, &fresh, &probes[i % G_N_ELEMENTS(probes)], 1)
			    .kind == KEY_OK;
	print_row("key check", n, (now_nsec() - started) / ROUNDS,
	    (double)(held_bytes() - before) / (double)n);
	keys_finish(&keys);
}

static void
measure_digest(void)
{
	static const char text[] =
	    "ggl_0123456789012345678901234567890123456789012";
	double started = now_nsec();
	digest_t d;
	int i;

	for (i = 0; i < ROUNDS; i++) {
		digest_of(text, sizeof(text) - 1, &d);
		sink += d.bytes[0];
	}
	print_row("key digest", 1, (now_nsec() - started) / ROUNDS, 0);
}

static void
add_regions(catalog_t *c)
{
	region_id_t i;

	for (i = 0; i < REGIONS; i++) {
		region_t r = {g_strdup_printf("r%u", i)};
		domain_t d = {g_strdup_printf("d%u", i), i};

		g_array_append_val(c->regions, r);
		g_array_append_val(c->domains, d);
	}
}

static void
add_endpoints(catalog_t *c, size_t n)
{
	service_t s = {.name = g_strdup("svc"), .version = g_strdup("v1")};
	size_t i;

	s.depends = g_array_new(FALSE, FALSE, sizeof(service_id_t));
	g_array_append_val(c->services, s);
	for (i = 0; i < n; i++) {
		endpoint_t e = {.name = g_strdup_printf("e%zu", i),
		    .domain = (domain_id_t)(i % REGIONS),
		    .address = g_strdup("127.0.0.1:1"),
		    .version = g_strdup("v1"),
		    .slots = 6,
		    .connections = 100};

		g_array_append_val(c->endpoints, e);
	}
}

static void
measure_route(size_t n)
{
	size_t before = held_bytes(), i, sent = 0;
	route_request_t req = {.service = 0};
	endpoint_stats_t stats;
	route_choice_t rc;
	catalog_t c;
	double started;

	catalog_init(&c);
	add_regions(&c);
	add_endpoints(&c, n);
	endpoint_stats_init(&stats);
	endpoint_stats_bind(&stats, &c, 0);
	route_choice_init(&rc, ROUTE_ASSIGNED_SLOTS, 1);
	route_choice_set_position(&rc, 0, 0, 1, 0, 1);
	started = now_nsec();
	for (i = 0; i < ROUTE_ROUNDS; i++) {
		route_result_t r = route_choose(&rc, &stats, &c, &req, 1);

		if (r.kind != ROUTE_SENT)
			continue;
		sent++;
		route_end(&rc, &stats, &r.ticket, OUTCOME_OK, 5, 0, 1);
	}
	print_row(sent > 0 ? "route" : "route (none)", n,
	    (now_nsec() - started) / ROUTE_ROUNDS,
	    (double)(held_bytes() - before) / (double)n);
	route_choice_finish(&rc);
	endpoint_stats_finish(&stats);
	catalog_finish(&c);
}

static void
measure_lookup(size_t n)
{
	lookup_host_t *hosts = g_new0(lookup_host_t, n);
	lookup_host_t *copy = g_new0(lookup_host_t, n);
	lookup_query_t q = {.affinity = "sera", .part = 0.1};
	catalog_t c;
	double started;
	size_t i;

	catalog_init(&c);
	add_regions(&c);
	q.catalog = &c;
	for (i = 0; i < n; i++) {
		hosts[i].name = g_strdup_printf("host-%zu", i);
		hosts[i].address = "127.0.0.1:1";
		hosts[i].domain = "d";
		hosts[i].region = (region_id_t)(i % REGIONS);
	}
	started = now_nsec();
	for (i = 0; i < LOOKUP_ROUNDS; i++) {
		lookup_order(&q, hosts, n);
		sink += hosts[0].weight;
	}
	print_row(
	    "look-up order", n, (now_nsec() - started) / LOOKUP_ROUNDS, 0);
	started = now_nsec();
	for (i = 0; i < LOOKUP_ROUNDS; i++) {
		memcpy(copy, hosts, n * sizeof(*hosts));
		sink += lookup_select(copy, n, (uint32_t)i);
	}
	print_row("look-up cut", n, (now_nsec() - started) / LOOKUP_ROUNDS, 0);
	g_free(copy);
	for (i = 0; i < n; i++)
		g_free((char *)hosts[i].name);
	g_free(hosts);
	catalog_finish(&c);
}

int
main(int argc, const char **argv)
{
	const struct poptOption options[] = {
	    {"json", 0, POPT_ARG_NONE, &json, 0, "one JSON object a line",
		NULL},
	    POPT_AUTOHELP POPT_TABLEEND};
	static const size_t keys[] = {1000, 10000, 100000};
	static const size_t endpoints[] = {14, 38, 100, 1000};
	static const size_t hosts[] = {10, 98, 880};
	poptContext ctx = poptGetContext(NULL, argc, argv, options, 0);
	size_t i;

	poptGetNextOpt(ctx);
	poptFreeContext(ctx);
	measure_digest();
	for (i = 0; i < G_N_ELEMENTS(keys); i++)
		measure_keys(keys[i]);
	for (i = 0; i < G_N_ELEMENTS(endpoints); i++)
		measure_route(endpoints[i]);
	for (i = 0; i < G_N_ELEMENTS(hosts); i++)
		measure_lookup(hosts[i]);
	return 0;
}
