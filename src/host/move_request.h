#ifndef HOST_MOVE_REQUEST_H
#define HOST_MOVE_REQUEST_H

#include "coordination/move_admit.h"
#include "host/moves.h"

/* What an operator asks for, in the terms of the configuration in force. */

/**
 * move_request_fill() - Read an operator's words.
 * @h: the host
 * @a: what the operator asks for
 * @q: zeroed but for its id; end it with move_request_finish()
 *
 * Return: why it can't be asked for, or NULL.
 */
const char *move_request_fill(
    const host_t *h, const operate_move_start_t *a, move_request_t *q);

/**
 * move_request_set_base() - Name the version that a rollout replaces.
 * @h: the host
 * @q: filled in
 *
 * It is the one that serves most now, so it is asked for at each admission:
 * while a request waits, another rollout may have ended.
 */
void move_request_set_base(const host_t *h, move_request_t *q);

/** move_request_finish() - Free the strings, but for the id. */
void move_request_finish(move_request_t *q);

#endif
