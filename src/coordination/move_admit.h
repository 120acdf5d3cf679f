#ifndef COORDINATION_MOVE_ADMIT_H
#define COORDINATION_MOVE_ADMIT_H

#include "coordination/move.h"
#include "state/catalog.h"

/*
 * Checks whether a new move is allowed. The host that receives an operator's
 * request reads the row moves/admit and scans move/. Then it writes the new row
 * in one transaction that checks the version of moves/admit and writes that
 * row, too. If two requests are made at once, one gets a conflict; its host
 * reads the rows again and repeats the check.
 */

typedef struct {
	const char *id; /* unique; derived from the operator's token */
	move_kind_t kind;
	move_scope_t scope;
	const char *service; /* "*": all, for drains */
	const char *from, *to;
	share_t goal;	     /* for shifts; the others move all traffic */
	uint32_t within_sec; /* deadline; 0: a rollout's default, else none */
} move_request_t;

/**
 * move_admit() - Make the first row of a move, or refuse the request.
 * @rows: move_row_t, all that are in the store
 * @request: the operator's request
 * @caps: the caps in force
 * @wall_now: time of day
 * @row: set on success, with step 1 and share 0
 * @existing: set to TRUE if the id is in the store already
 * @err: ERROR_CONFLICT, which names the conflicting move, or ERROR_INVALID
 *
 * A request whose id is in the store already is a repeat of the same request.
 * Then @row is set to the stored row.
 */
gboolean move_admit(const GArray *rows, const move_request_t *request,
    const caps_t *caps, int64_t wall_now, move_row_t *row, gboolean *existing,
    GError **err);

#endif
