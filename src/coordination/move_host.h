#ifndef COORDINATION_MOVE_HOST_H
#define COORDINATION_MOVE_HOST_H

#include "coordination/move.h"

/*
 * The moves as one host has them in force. Steps only go up; a version that
 * was stopped or taken back under an id gets nothing under it again.
 */

/*
 * Longest that an unproven version is served without word, direct or relayed,
 * of a holder that judges it.
 */
#define MOVE_FRESH_MS (3 * MSEC_PER_SEC)

/* Most moves that are remembered; further unknown ids are not stopped. */
#define MOVE_LOCAL_MAX 1024

/* Who wants a new version stopped. */
typedef enum {
	MOVE_STOP_SEEN,	   /* this host or another: it is worse than its peer */
	MOVE_STOP_ORDERED, /* the holder of the lease */
} move_stop_t;

typedef struct {
	move_row_t row; /* highest step seen; step 0: only its id is known */
	gboolean stopped;
} move_local_t;

typedef struct {
	GArray *moves; /* move_local_t, in the order of creation */
	msec_t word_at;
} move_host_t;

/* `share` of what goes to `from` goes to `to` instead. */
typedef struct {
	move_scope_t scope;
	const char *id, *from, *to; /* good until the next apply */
	share_t share;
} move_weight_t;

void move_host_init(move_host_t *h);
void move_host_finish(move_host_t *h);

/**
 * move_host_apply() - Put a row in force, unless a later step is.
 * @h: the host's moves
 * @row: from the store or from a peer
 *
 * Return: TRUE if it changed anything.
 */
gboolean move_host_apply(move_host_t *h, const move_row_t *row);

/**
 * move_host_stop() - Give nothing more to the new version of a rollout.
 * @h: the host's moves
 * @id: of the move, which need not be known yet
 * @by: who wants it
 * @epoch: of the lease under which it was ordered; an order older than the row
 *	in force has no effect. Unused for what is merely seen.
 *
 * What is merely seen has no effect once the last step is in force here:
 * by confirming that step the host lets the holder call the move done. A row
 * that says done ends a stop.
 */
void move_host_stop(
    move_host_t *h, const char *id, move_stop_t by, uint64_t epoch);

/**
 * move_host_forget() - The row of a move has been removed from the store.
 * @h: the host's moves
 * @id: of the move; it is kept unless it was taken back
 */
void move_host_forget(move_host_t *h, const char *id);

/** move_host_stopped() - Whether the move was stopped here. */
gboolean move_host_stopped(const move_host_t *h, const char *id);

/** move_host_step() - Step in force, to be confirmed; 0: unknown move. */
uint32_t move_host_step(const move_host_t *h, const char *id);

/**
 * move_host_word() - Note how recent the word of the holder is.
 * @h: the host's moves
 * @basis: when the answered question to the holder of the lease was sent; for
 *	its word relayed by a peer, when that peer was asked, less the age of
 *	the peer's own basis. The holder's own basis is the present moment.
 *
 * Word of the store does not count: it does not tell that anybody judges.
 */
void move_host_word(move_host_t *h, msec_t basis);

/**
 * move_weights() - What the moves do to the traffic of a service.
 * @h: the host's moves
 * @service: its name
 * @now: read at the moment of use
 * @out: move_weight_t are appended, to be applied one after the other
 */
void move_weights(
    const move_host_t *h, const char *service, msec_t now, GArray *out);

#endif
