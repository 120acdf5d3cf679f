#ifndef COORDINATION_MOVE_ADMIT_H
#define COORDINATION_MOVE_ADMIT_H

#include "coordination/move.h"
#include "state/catalog.h"

/*
 * Which new moves are allowed. The host that takes an operator's request reads
 * the row moves/admit and scans move/; then it writes the new row in one
 * transaction that checks the version of moves/admit and writes that too. Of
 * two requests at once, one gets a conflict, reads again and is judged anew.
 */

typedef struct {
	const char *id; /* unique; made from the operator's token */
	move_kind_t kind;
	move_scope_t scope;
	const char *service; /* "*": all, for drains */
	const char *from, *to;
	share_t goal;	     /* for shifts; others move all */
	uint32_t within_sec; /* 0: the default of a rollout, none for others */
} move_request_t;

/**
 * move_admit() - Make the first row of a move, or refuse it.
 * @rows: move_row_t, all that are in the store
 * @request: what the operator wants
 * @caps: in force
 * @wall_now: time of day
 * @row: set on success, with step 1 and share 0
 * @err: ERROR_CONFLICT names the move that is in the way; ERROR_INVALID
 *
 * A request whose id is in the store already is the same request sent again:
 * the row is that one, and *again is set.
 */
gboolean move_admit(const GArray *rows, const move_request_t *request,
    const caps_t *caps, int64_t wall_now, move_row_t *row, gboolean *again,
    GError **err);

#endif
