#ifndef HOST_ROOM_H
#define HOST_ROOM_H

#include "host/proxy.h"
#include "state/fair_queue.h"

/* Requests that wait for a slot of a service, fair between workspaces. */

/* Longest wait for a slot; a refusal then says that nothing has run. */
#define ROOM_WAIT_MS 1500

typedef struct {
	char *service;
	fair_queue_t queue;
} room_t;

void room_init(host_t *h);
void room_finish(host_t *h);

/**
 * room_busy() - Do other requests wait for the service already?
 * @pr: a request that does not wait
 */
gboolean room_busy(const proxy_request_t *pr);

/**
 * room_wait() - Let a request wait.
 * @pr: the carry; it, or another one, may be refused by this for want of room
 */
void room_wait(proxy_request_t *pr);

/**
 * room_forget() - A request does not wait any more.
 * @pr: the carry
 */
void room_forget(proxy_request_t *pr);

/**
 * room_served() - A request got its slot, whether or not it had waited.
 * @pr: the carry
 */
void room_served(proxy_request_t *pr);

/**
 * room_pump_later() - A slot may be free: serve those who wait, soon.
 * @h: the host
 */
void room_pump_later(host_t *h);

#endif
