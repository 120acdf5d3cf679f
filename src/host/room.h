#ifndef HOST_ROOM_H
#define HOST_ROOM_H

#include "host/carry.h"
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
 * @c: a request that does not wait
 */
gboolean room_busy(const carry_t *c);

/**
 * room_wait() - Let a request wait.
 * @c: the carry; it, or another one, may be refused by this for want of room
 */
void room_wait(carry_t *c);

/**
 * room_forget() - A request does not wait any more.
 * @c: the carry
 */
void room_forget(carry_t *c);

/**
 * room_served() - A request got its slot, whether or not it had waited.
 * @c: the carry
 */
void room_served(carry_t *c);

/**
 * room_pump_later() - A slot may be free: serve those who wait, soon.
 * @h: the host
 */
void room_pump_later(host_t *h);

#endif
