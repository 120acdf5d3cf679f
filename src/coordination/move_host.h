#ifndef COORDINATION_MOVE_HOST_H
#define COORDINATION_MOVE_HOST_H

#include "coordination/move.h"

/*
 * The moves in force at one host. Steps never decrease. A version that was
 * stopped or taken back under an id gets no traffic under this id again.
 */

/*
 * Maximum age of the last contact, direct or relayed, with a holder that judges
 * an unproven version. Without a later contact the version gets no traffic.
 */
#define MOVE_CONTACT_MAX_AGE_MS (3 * MSEC_PER_SEC)

/* Maximum number of moves kept; stops of further unknown ids are ignored. */
#define MOVE_LOCAL_MAX 1024

/* Who stops a new version. */
typedef enum {
	MOVE_STOP_BY_HOST, /* a host judged it worse than the old version */
	MOVE_STOP_ORDERED, /* the holder of the lease */
} move_stop_t;

typedef struct {
	move_row_t row; /* highest step seen; step 0: only the id is known */
	gboolean stopped;
} move_local_t;

typedef struct {
	GArray *moves;	   /* move_local_t, by time of creation */
	msec_t contact_at; /* see move_host_note_contact() */
} move_host_t;

/* Sends `share` of the traffic of `from` to `to` instead. */
typedef struct {
	move_scope_t scope;
	const char *id, *from, *to; /* valid until the next move_host_apply() */
	share_t share;
} move_weight_t;

void move_host_init(move_host_t *h);
void move_host_finish(move_host_t *h);

/**
 * move_host_apply() - Put a row in force, unless a later step is in force.
 * @h: the host's moves
 * @row: from the store or from a peer
 *
 * Return: TRUE if it changed anything.
 */
gboolean move_host_apply(move_host_t *h, const move_row_t *row);

/**
 * move_host_stop() - Send no more traffic to the new version of a rollout.
 * @h: the host's moves
 * @id: id of the move, which need not be known yet
 * @by: who stops it
 * @epoch: for MOVE_STOP_ORDERED: of the lease under which it was ordered; an
 *	order older than the row in force has no effect
 *
 * MOVE_STOP_BY_HOST has no effect once the last step is in force here: by
 * confirming that step the host allows the holder to end the move as done. A
 * row with state done ends a stop.
 */
void move_host_stop(
    move_host_t *h, const char *id, move_stop_t by, uint64_t epoch);

/**
 * move_host_forget() - Process the removal of a move's row from the store.
 * @h: the host's moves
 * @id: id of the move; the move is kept here unless it was taken back
 */
void move_host_forget(move_host_t *h, const char *id);

/** move_host_stopped() - Whether the move was stopped here. */
gboolean move_host_stopped(const move_host_t *h, const char *id);

/** move_host_step() - Step in force, for its confirmation; 0: unknown move. */
uint32_t move_host_step(const move_host_t *h, const char *id);

/**
 * move_host_note_contact() - Record the last contact with the holder.
 * @h: the host's moves
 * @basis: when the request that the lease's holder answered was sent; for a
 *	contact relayed by a peer, when that peer was asked, less the age of the
 *	peer's own basis. The holder's own basis is the current time.
 *
 * An answer of the store does not count: it does not show that a holder judges
 * the version.
 */
void move_host_note_contact(move_host_t *h, msec_t basis);

/**
 * move_weights() - The changes that the moves make to a service's traffic.
 * @h: the host's moves
 * @service: its name
 * @now: current time, read just before the call
 * @out: move_weight_t are appended; they apply in this order
 */
void move_weights(
    const move_host_t *h, const char *service, msec_t now, GArray *out);

#endif
