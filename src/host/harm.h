#ifndef HOST_HARM_H
#define HOST_HARM_H

#include "host/carry.h"

/* The request that crashes backend servers: what is told of it, and to whom. */

/**
 * harm_fingerprint() - Digest by which a request is known again.
 * @c: the carry
 * @f: set
 */
void harm_fingerprint(const carry_t *c, fingerprint_t *f);

/**
 * harm_spread() - Tell the other hosts what is new, and look at endpoints.
 * @h: the host
 */
void harm_spread(host_t *h);

/**
 * harm_peer_id() - The number by which all hosts know a host here.
 * @name: its name
 *
 * Return: never 0.
 */
uint64_t harm_peer_id(const char *name);

/* Takes what a peer tells. */
void harm_serve(host_t *h, rpc_call_id_t call, const char *caller,
    const suspect_args_t *args);

#endif
