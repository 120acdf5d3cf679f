#ifndef COORDINATION_LOOKUP_H
#define COORDINATION_LOOKUP_H

#include <stdint.h>

#include <glib.h>

#include "state/catalog.h"

/*
 * Which entry hosts a caller is told to use, and in which order. Callers of
 * one workspace are kept on few hosts, so that what the workspace may still
 * send lies where its requests arrive.
 */

/* Weights of all hosts of a look-up add up to this. */
#define LOOKUP_WEIGHT_SUM 1000

/* Hosts that an answer names, and how many of these have a weight. */
#define LOOKUP_NAMED_MAX 8
#define LOOKUP_WEIGHED_MAX 6

typedef struct {
	const char *name;
	const char *address; /* for callers, "IP:PORT" */
	const char *domain;  /* its failure domain */
	region_id_t region;
	uint32_t one_way_ms; /* set by lookup_order() */
	uint32_t rank;	     /* the same */
	uint32_t weight;     /* the same; 0: only if all others fail */
} lookup_host_t;

/* Part of a service's callers that a region is to take. */
typedef struct {
	region_id_t region;
	double share; /* 0..1 */
} region_share_t;

typedef struct {
	const catalog_t *catalog;
	region_id_t from;	      /* of the caller */
	const char *affinity;	      /* workspace, or service where unknown */
	double part;		      /* of all load that it sends, 0..1 */
	const region_share_t *shares; /* in force for the service */
	size_t nshares;		      /* 0: all to the nearest region */
} lookup_query_t;

/**
 * lookup_order() - Order hosts and give them weights.
 * @q: the question
 * @hosts: live hosts that are not leaving; ordered in place, best first
 * @n: how many
 *
 * Near regions come first. Within a region a few hosts, picked by rendezvous
 * hashing, share the weight: enough for @part of the load, and two at least.
 */
void lookup_order(const lookup_query_t *q, lookup_host_t *hosts, size_t n);

/**
 * lookup_cut() - Leave the hosts that one answer names.
 * @hosts: ordered and weighed; those left come first, in the same order
 * @n: how many
 * @salt: random, so that many answers together name all hosts with a weight,
 *	each in proportion to it
 *
 * Each region keeps its weight. Where there is one, a host of another failure
 * domain than the first's and a host of another region are among those left.
 *
 * Return: how many are left; LOOKUP_NAMED_MAX, or two more than the regions
 * that have a weight, at most.
 */
size_t lookup_cut(lookup_host_t *hosts, size_t n, uint32_t salt);

#endif
