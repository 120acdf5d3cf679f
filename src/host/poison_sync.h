#ifndef HOST_POISON_SYNC_H
#define HOST_POISON_SYNC_H

#include "host/proxy.h"

/* Exchanges with the other hosts what the poison module knows of requests that
 * crash backend servers. */

/**
 * poison_sync_fingerprint() - Digest that is equal for equal requests.
 * @pr: the request
 * @f: set
 */
void poison_sync_fingerprint(const proxy_request_t *pr, fingerprint_t *f);

/**
 * poison_sync_flush() - Send queued events to peers and run requested probes.
 * @h: the host
 */
void poison_sync_flush(host_t *h);

/**
 * poison_sync_peer_id() - Id of a host, the same on all hosts.
 * @name: its name
 *
 * Return: never 0.
 */
uint64_t poison_sync_peer_id(const char *name);

/* Answers a peer's SUSPECT call. */
void poison_sync_serve(host_t *h, rpc_call_id_t call, const char *caller,
    const suspect_args_t *args);

#endif
