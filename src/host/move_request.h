#ifndef HOST_MOVE_REQUEST_H
#define HOST_MOVE_REQUEST_H

#include "coordination/move_admit.h"
#include "host/moves.h"

/* Translates an operator's request for a move into the names of the
 * configuration in force. */

/**
 * move_request_fill() - Fill in a move request from an operator's arguments.
 * @h: the host
 * @a: the operator's arguments
 * @q: zeroed except for its id; free it with move_request_finish()
 *
 * Return: why the request is refused, or NULL.
 */
const char *move_request_fill(
    const host_t *h, const operate_move_start_t *a, move_request_t *q);

/**
 * move_request_set_base() - Set the version that a rollout replaces.
 * @h: the host
 * @q: filled in
 *
 * This is the version that serves the largest share of the service at present.
 * Call this at each admission: while a request waits, another rollout may end.
 */
void move_request_set_base(const host_t *h, move_request_t *q);

/** move_request_finish() - Free all strings except the id. */
void move_request_finish(move_request_t *q);

#endif
