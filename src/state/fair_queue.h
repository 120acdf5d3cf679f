#ifndef STATE_FAIR_QUEUE_H
#define STATE_FAIR_QUEUE_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"

/*
 * Requests that wait for a slot of a service, by workspace, in start-time fair
 * queueing: the workspace that has been served least in proportion to its
 * weight is served first. A workspace that asks for more than its share gets
 * only what the others leave. When the queue is full, the workspace whose
 * queue is longest in proportion to its weight loses its newest request.
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
	uint64_t cost;	 /* virtual time of one request: 1 / weight */
	uint64_t finish; /* virtual time at which its last request ends */
	uint32_t first, last, len;
} queue_row_t;

typedef struct {
	uint32_t max_len;
	msec_t max_wait_ms;
	uint32_t len;
	uint64_t virtual_time; /* virtual start of the request served last */
	GArray *items;	       /* queue_item_t */
	GArray *rows;	       /* queue_row_t */
} fair_queue_t;

/**
 * fair_queue_init() - Set up.
 * @q: the queue
 * @max_len: most requests that wait
 * @max_wait_ms: longest wait, milliseconds
 */
void fair_queue_init(fair_queue_t *q, uint32_t max_len, msec_t max_wait_ms);
void fair_queue_finish(fair_queue_t *q);

/**
 * fair_queue_row() - Find or add a workspace and set its weight.
 * @q: the queue
 * @workspace: its name
 * @weight: its share when slots are scarce, for instance its rate; above 0
 */
queue_row_id_t fair_queue_row(
    fair_queue_t *q, const char *workspace, double weight);

/**
 * fair_queue_put() - Add a request.
 * @q: the queue
 * @row: its workspace
 * @request: the caller's id of the request
 * @deadline: time after which an answer is of no use
 * @now: time
 * @dropped: set to the request that was dropped because the queue was full,
 *	which may be @request itself; else QUEUE_NONE
 *
 * Return: handle, or QUEUE_NONE if @request was not queued.
 */
queue_handle_t fair_queue_put(fair_queue_t *q, queue_row_id_t row,
    uint64_t request, msec_t deadline, msec_t now, uint64_t *dropped);

/**
 * fair_queue_head() - Get the request to be served next.
 * @q: the queue
 * @request: set to the request
 *
 * The caller first removes expired requests with fair_queue_expired().
 *
 * Return: handle for fair_queue_serve(), or QUEUE_NONE if the queue is empty.
 */
queue_handle_t fair_queue_head(const fair_queue_t *q, uint64_t *request);

/**
 * fair_queue_serve() - Remove a request that gets a slot, and charge it.
 * @q: the queue
 * @handle: from fair_queue_head()
 */
void fair_queue_serve(fair_queue_t *q, queue_handle_t handle);

/**
 * fair_queue_charge() - Charge a workspace for a request served at once.
 * @q: the queue
 * @row: the workspace
 */
void fair_queue_charge(fair_queue_t *q, queue_row_id_t row);

/**
 * fair_queue_cancel() - Remove a request whose caller has given up.
 * @q: the queue
 * @handle: its handle
 *
 * Return: FALSE if it is no longer in the queue.
 */
gboolean fair_queue_cancel(fair_queue_t *q, queue_handle_t handle);

/**
 * fair_queue_expired() - Remove one request that has waited too long.
 * @q: the queue
 * @now: time
 * @request: set to the removed request
 *
 * Return: FALSE if there is none.
 */
gboolean fair_queue_expired(fair_queue_t *q, msec_t now, uint64_t *request);

#endif
