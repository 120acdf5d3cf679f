#include <stdlib.h>
#include <string.h>

#include "coordination/lookup.h"
#include "suite.h"

#define N_OF(a) (sizeof(a) / sizeof((a)[0]))
#define HOSTS_MAX 40
#define ROUNDS 1000

/*
 * Reads hosts from words "RDn=w": region R (a, b, ...), failure domain D (u, v,
 * ...), number n of hosts, and weight w of each. Host i has rank i, and the
 * names are u to z in turn.
 */
static size_t
read_hosts(const char *text, lookup_host_t *hosts)
{
	static const char *const names[] = {"u", "v", "w", "x", "y", "z"};
	char **words = g_strsplit(text, " ", -1);
	size_t n = 0, i, k;

	for (i = 0; words[i] != NULL; i++) {
		for (k = 0; k < strtoul(words[i] + 2, NULL, 10); k++, n++) {
			hosts[n] =
			    (lookup_host_t){.name = names[n % N_OF(names)],
				.domain = names[words[i][1] - 'u'],
				.region = (region_id_t)(words[i][0] - 'a'),
				.rank = (uint32_t)n,
				.weight = (uint32_t)strtoul(
				    strchr(words[i], '=') + 1, NULL, 10)};
		}
	}
	g_strfreev(words);
	return n;
}

typedef struct {
	uint32_t weights[3]; /* by region */
	size_t weighed;
	gboolean two_domains, two_regions, ordered;
} summary_t;

static summary_t
summarise(const lookup_host_t *hosts, size_t n)
{
	summary_t s = {.ordered = TRUE};
	size_t i;

	for (i = 0; i < n; i++) {
		s.weights[hosts[i].region] += hosts[i].weight;
		s.weighed += hosts[i].weight > 0;
		s.two_domains |= strcmp(hosts[i].domain, hosts[0].domain) != 0;
		s.two_regions |= hosts[i].region != hosts[0].region;
		s.ordered &= i == 0 || hosts[i - 1].rank < hosts[i].rank;
	}
	return s;
}

/* In each word: region, domain, number of hosts = weight of each. */
static const struct {
	const char *hosts;
	size_t left, weighed;
	uint32_t a, b; /* weights of the first two regions */
	gboolean two_domains, two_regions;
} rows[] = {
    {"au3=333", 3, 3, 999, 0, FALSE, FALSE},
    {"au4=250 bv4=0", 8, 4, 1000, 0, TRUE, TRUE},
    {"au2=500 au20=0 av1=0 bw3=0", 8, 2, 1000, 0, TRUE, TRUE},
    {"au20=50 av1=0", 8, 6, 1000, 0, TRUE, FALSE},
    {"au20=50 bv1=0", 8, 6, 1000, 0, TRUE, TRUE},
    {"au20=50", 8, 6, 1000, 0, FALSE, FALSE},
    {"au9=100 bv10=10", 8, 6, 900, 100, TRUE, TRUE},
    {"au10=1 bv9=110 cw2=0", 8, 6, 10, 990, TRUE, TRUE},
    {"au19=0 bv2=500", 8, 2, 0, 1000, TRUE, TRUE},
    {"au12=0", 8, 0, 0, 0, FALSE, FALSE},
};

static void
answer_names_few_hosts(void)
{
	lookup_host_t hosts[HOSTS_MAX];
	summary_t s;
	uint32_t salt;
	size_t i, n;

	for (i = 0; i < N_OF(rows); i++) {
		for (salt = 0; salt < ROUNDS; salt += 37) {
			n = read_hosts(rows[i].hosts, hosts);
			n = lookup_select(hosts, n, salt);
			s = summarise(hosts, n);
			ck_assert_msg(n == rows[i].left &&
				s.weighed == rows[i].weighed &&
				s.weights[0] == rows[i].a &&
				s.weights[1] == rows[i].b &&
				s.two_domains == rows[i].two_domains &&
				s.two_regions == rows[i].two_regions &&
				s.ordered,
			    "%s: %zu left, %zu weighed, %u and %u, salt %u",
			    rows[i].hosts, n, s.weighed, s.weights[0],
			    s.weights[1], salt);
		}
	}
}

/* Averaged over many answers, each host is named with its weight. */
static void
average_of_answers_keeps_weights(void)
{
	lookup_host_t hosts[HOSTS_MAX];
	uint64_t sums[HOSTS_MAX] = {0};
	uint32_t salt;
	size_t i, n, all;

	for (salt = 0; salt < ROUNDS; salt++) {
		all = read_hosts("au9=60 av1=10 aw9=50 bx3=0", hosts);
		n = lookup_select(hosts, all, salt);
		for (i = 0; i < n; i++)
			sums[hosts[i].rank] += hosts[i].weight;
	}
	read_hosts("au9=60 av1=10 aw9=50 bx3=0", hosts);
	for (i = 0; i < all; i++)
		ck_assert_msg(
		    llabs((long long)sums[i] -
			(long long)hosts[i].weight * ROUNDS) <= ROUNDS,
		    "host %zu: %llu", i, (unsigned long long)sums[i]);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"answer names few hosts", answer_names_few_hosts},
	    {"average of answers keeps weights",
		average_of_answers_keeps_weights},
	};

	return suite_run("lookup", cases, N_OF(cases));
}
