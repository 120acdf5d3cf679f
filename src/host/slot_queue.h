#ifndef HOST_SLOT_QUEUE_H
#define HOST_SLOT_QUEUE_H

#include "host/proxy.h"
#include "state/fair_queue.h"

/* Queues of requests that wait for a slot of a service, fair between
 * workspaces. */

/* Longest wait for a slot. The refusal after it says that the request has not
 * run. */
#define SLOT_QUEUE_WAIT_MS 1500

typedef struct {
	char *service;
	fair_queue_t requests;
} slot_queue_t;

void slot_queue_init(host_t *h);
void slot_queue_finish(host_t *h);

/**
 * slot_queue_busy() - Whether other requests wait for the service.
 * @pr: a request that isn't queued
 */
gboolean slot_queue_busy(const proxy_request_t *pr);

/**
 * slot_queue_add() - Queue a request.
 * @pr: the proxied request; if the queue is full, it or another one is refused
 */
void slot_queue_add(proxy_request_t *pr);

/**
 * slot_queue_remove() - Remove a request from its queue.
 * @pr: the proxied request
 */
void slot_queue_remove(proxy_request_t *pr);

/**
 * slot_queue_served() - Record that a request got a slot, whether it was queued
 * or not.
 * @pr: the proxied request
 */
void slot_queue_served(proxy_request_t *pr);

/**
 * slot_queue_serve_later() - Serve queued requests from the event loop, as a
 * slot may be free.
 * @h: the host
 */
void slot_queue_serve_later(host_t *h);

#endif
