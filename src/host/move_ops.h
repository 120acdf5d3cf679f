#ifndef HOST_MOVE_OPS_H
#define HOST_MOVE_OPS_H

#include "coordination/move_admit.h"
#include "host/moves.h"

/* Operators' requests to start a move or to take one back. */

/* Most attempts to admit a move while others are started at the same time. */
#define MOVE_ADMIT_TRIES 5
/* Longest wait for the first scan of the store; shorter than an operator waits
 * for an acceptance. */
#define MOVE_FIRST_SCAN_MS (10 * MSEC_PER_SEC)

typedef enum {
	MOVE_OP_WRITING,
	MOVE_OP_WAITING,  /* for a scan that shows what was written */
	MOVE_OP_ACCEPTED, /* the row is in the store */
	MOVE_OP_CONFLICT, /* another move conflicts with it */
	MOVE_OP_REFUSED,  /* had no effect */
} move_op_state_t;

/* One operation writes one row; a start also writes the row of admissions. */
typedef struct {
	host_t *host;
	gboolean cancel;
	move_request_t request; /* of a start; its strings are owned */
	char *id;		/* of the move */
	move_op_state_t state;
	char *why;		  /* of a refusal, or NULL */
	gboolean may_take_effect; /* or a write may have done so */
	guint tries;
	msec_t requested_at; /* when the operator requested it */
	msec_t ended_at; /* of the last write, or since when a scan is due */
	gboolean waiting, forgotten;
} move_op_t;

/**
 * move_ops_start() - Start a move.
 * @h: the host
 * @a: the operator's request
 * @id: of the move, made from the operator's token
 *
 * Return: the operation; end it with move_ops_free().
 */
move_op_t *move_ops_start(
    host_t *h, const operate_move_start_t *a, const char *id);

/**
 * move_ops_cancel() - Take a move back.
 * @h: the host
 * @id: of the move
 */
move_op_t *move_ops_cancel(host_t *h, const char *id);
void move_ops_free(move_op_t *op);

/**
 * move_ops_tick() - Continue once a scan has shown what was written.
 * @op: the operation
 */
void move_ops_tick(move_op_t *op);

/**
 * move_ops_describe() - Describe the progress of an operation.
 * @op: the operation
 * @r: filled in; its text is to be freed with g_free()
 */
void move_ops_describe(const move_op_t *op, operate_result_t *r);

#endif
