#ifndef COORDINATION_COLD_RAMP_H
#define COORDINATION_COLD_RAMP_H

#include "state/registry.h"

/*
 * Limits the requests to a cold backend server, which crashes if it gets too
 * many. The bound holds for all hosts together in any second. Every host knows
 * the same hosts, so each computes by itself whether it may send and how many
 * requests. Hosts are ranked by a hash of their seed and the server's seed. The
 * first hosts in rank get an equal part each and send at even intervals.
 */

/* The bound, in requests per second, is rate * overage + slack. */
typedef struct {
	double overage; /* factor */
	double slack;	/* requests per second */
} cold_bound_t;

/**
 * cold_ramp_gap() - Minimum time between two requests of this host to a server.
 * @bound: the bound
 * @rate: requests per second that a cold server of the service can take
 * @rank: rank of this host for the server, from 0
 * @hosts: number of hosts
 *
 * Return: milliseconds; 0 if this host may not send to the server.
 */
msec_t cold_ramp_gap(
    const cold_bound_t *bound, double rate, guint rank, guint hosts);

/**
 * cold_ramp_rank() - The rank of this host among the hosts for a server.
 * @server: seed of the server
 * @self: seed of this host
 * @hosts: seeds of all hosts, including this one
 * @n: number of @hosts
 */
guint cold_ramp_rank(
    uint64_t server, uint64_t self, const uint64_t *hosts, guint n);

#endif
