#ifndef COORDINATION_COLD_RAMP_H
#define COORDINATION_COLD_RAMP_H

#include "state/registry.h"

/*
 * Requests to a cold backend server, which bears few and crashes of more. The
 * bound holds for all hosts together in any second. Every host sees the same
 * hosts, so each works out by itself whether it is one of those that may
 * send, and how many: hosts are ranked by a hash with the server's id, and
 * the first ones get a part each, at even distances.
 */

typedef struct {
	double overage; /* requests in a second: rate * overage + slack */
	double slack;
} cold_bound_t;

/**
 * cold_ramp_gap() - Least time between two requests of this host to a server.
 * @bound: the bound
 * @rate: requests a second that a cold server of the service bears
 * @rank: of this host for the server, from 0
 * @hosts: hosts there are
 *
 * Return: milliseconds; 0 if this host may send it none.
 */
msec_t cold_ramp_gap(
    const cold_bound_t *bound, double rate, guint rank, guint hosts);

/**
 * cold_ramp_rank() - The place of a host among those that may send.
 * @server: seed of the server
 * @self: seed of this host
 * @hosts: seeds of all hosts, this one among them
 * @n: how many
 */
guint cold_ramp_rank(
    uint64_t server, uint64_t self, const uint64_t *hosts, guint n);

#endif
