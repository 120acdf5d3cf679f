#ifndef COORDINATION_LOOKUP_H
#define COORDINATION_LOOKUP_H

#include <stdint.h>

#include <glib.h>

#include "state/catalog.h"

/*
 * Which entry hosts a look-up answer names for a caller, and in which order.
 * Callers of one workspace are directed to few hosts, so that the workspace's
 * remaining rate-limit tokens are on the hosts where its requests arrive.
 */

/* The weights of all hosts of a look-up add up to this, except for rounding. */
#define LOOKUP_WEIGHT_SUM 1000

/* Number of hosts that an answer names, and how many of them have a weight. */
#define LOOKUP_NAMED_MAX 8
#define LOOKUP_WEIGHED_MAX 6

typedef struct {
	const char *name;
	const char *address; /* for callers, "IP:PORT" */
	const char *domain;  /* its failure domain */
	region_id_t region;
	uint32_t one_way_ms; /* set by lookup_order() */
	uint32_t rank;	     /* set by lookup_order() */
	uint32_t weight;     /* set by lookup_order(); 0: only a fallback */
} lookup_host_t;

/* Fraction of a service's callers that a region takes. */
typedef struct {
	region_id_t region;
	double share; /* 0..1 */
} region_share_t;

typedef struct {
	const catalog_t *catalog;
	region_id_t from;	      /* the caller's region */
	const char *affinity;	      /* workspace, or service if unknown */
	double part;		      /* fraction of all load it sends, 0..1 */
	const region_share_t *shares; /* in force for the service */
	size_t nshares;		      /* 0: all to the nearest region */
} lookup_query_t;

/**
 * lookup_order() - Order hosts and give them weights.
 * @q: the query
 * @hosts: live hosts that are not leaving; sorted in place, best first
 * @n: number of hosts
 *
 * Nearer regions come first. Within a region the weight is divided among a few
 * hosts, chosen by rendezvous hashing. There are as many of these hosts as
 * the query's part of the load needs, but at least two.
 */
void lookup_order(const lookup_query_t *q, lookup_host_t *hosts, size_t n);

/**
 * lookup_select() - Select the hosts that one answer names.
 * @hosts: sorted and weighted; the selected hosts are moved to the front, in
 *	the same order
 * @n: number of hosts
 * @salt: random, so that many answers together name all hosts with a weight,
 *	each in proportion to its weight
 *
 * The weights of a region's selected hosts add up to the weight of all its
 * hosts before. If such hosts exist, the selection has a host of another
 * failure domain than the first host's and a host of another region.
 *
 * Return: the number of selected hosts: at most LOOKUP_NAMED_MAX, or two more
 * than the number of regions with a weight, whichever is larger.
 */
size_t lookup_select(lookup_host_t *hosts, size_t n, uint32_t salt);

#endif
