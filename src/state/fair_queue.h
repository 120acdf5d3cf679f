#ifndef STATE_FAIR_QUEUE_H
#define STATE_FAIR_QUEUE_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"

/*
 * Requests that wait for a slot of a service, by workspace. Start-time fair
 * queueing: the workspace that has had the least for its weight comes first,
 * so a large one's extra takes only what the others leave. When the queue is
 * full, the workspace with the longest queue for its weight loses its newest.
 */

typedef uint16_t queue_row_id_t;
typedef uint64_t queue_handle_t;

#define QUEUE_NONE UINT64_MAX

typedef struct {
	gboolean used;
	uint32_t generation;
	uint64_t request;
	queue_row_id_t row;
	uint32_t prev, next; /* within its workspace */
	msec_t expires;
} queue_item_t;

typedef struct {
	char *workspace;
	uint64_t cost;	 /* of one request: the inverse of the weight */
	uint64_t finish; /* virtual time at which its last request ends */
	uint32_t first, last, len;
} queue_row_t;

typedef struct {
	uint32_t max_len;
	msec_t max_wait_ms;
	uint32_t len;
	uint64_t virtual_time; /* start of the request served last */
	GArray *items;	       /* queue_item_t */
	GArray *rows;	       /* queue_row_t */
} fair_queue_t;

/**
 * fair_queue_init() - Set up.
 * @q: the queue
 * @max_len: most requests in it
 * @max_wait_ms: longest wait, milliseconds
 */
void fair_queue_init(fair_queue_t *q, uint32_t max_len, msec_t max_wait_ms);
void fair_queue_finish(fair_queue_t *q);

/**
 * fair_queue_row() - Find or add a workspace.
 * @q: the queue
 * @workspace: its name
 * @weight: its part when room is short, for instance its rate; above 0
 */
queue_row_id_t fair_queue_row(
    fair_queue_t *q, const char *workspace, double weight);

/**
 * fair_queue_put() - Let a request wait.
 * @q: the queue
 * @row: its workspace
 * @request: what the caller knows it by
 * @deadline: when it is of no more use
 * @now: time
 * @dropped: set to a request that had to make room, else QUEUE_NONE; it may
 *	be @request itself
 *
 * Return: handle, or QUEUE_NONE if @request did not get a place.
 */
queue_handle_t fair_queue_put(fair_queue_t *q, queue_row_id_t row,
    uint64_t request, msec_t deadline, msec_t now, uint64_t *dropped);

/**
 * fair_queue_head() - Tell whose turn it is.
 * @q: the queue
 * @request: set to the request
 *
 * Return: handle for fair_queue_serve(), or QUEUE_NONE if the queue is empty.
 * Requests that have expired are to be taken out first.
 */
queue_handle_t fair_queue_head(const fair_queue_t *q, uint64_t *request);

/**
 * fair_queue_serve() - Take out a request that got a slot.
 * @q: the queue
 * @handle: from fair_queue_head()
 */
void fair_queue_serve(fair_queue_t *q, queue_handle_t handle);

/**
 * fair_queue_charge() - Count a request served without waiting.
 * @q: the queue
 * @row: its workspace
 */
void fair_queue_charge(fair_queue_t *q, queue_row_id_t row);

/**
 * fair_queue_cancel() - Take out a request that nobody waits for.
 * @q: the queue
 * @handle: its handle
 *
 * Return: FALSE if it is not in the queue any more.
 */
gboolean fair_queue_cancel(fair_queue_t *q, queue_handle_t handle);

/**
 * fair_queue_expired() - Take out one request that has waited too long.
 * @q: the queue
 * @now: time
 * @request: set to it
 *
 * Return: FALSE if there is none.
 */
gboolean fair_queue_expired(fair_queue_t *q, msec_t now, uint64_t *request);

#endif
