#ifndef COORDINATION_LEASE_H
#define COORDINATION_LEASE_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"

/*
 * A lease on one duty, kept in two rows of the store: the fence row (holder,
 * epoch), whose version moves only when the lease is taken or released, and
 * the renewal row, whose version moves with every renewal. A write made under
 * the lease checks the version of the fence row, so one of an earlier epoch
 * is never accepted.
 *
 * No clocks are compared between hosts. A holder counts from when it sent the
 * write or question that keeps it valid; a taker from when it received what
 * it waits for.
 */

#define LEASE_HOST_MAX 64
#define LEASE_SENT_MAX 4
#define LEASE_NEVER (INT64_MIN / 2)
#define LEASE_ANY_VERSION UINT64_MAX
/* Epoch of the first take of all; fence rows are never deleted. */
#define LEASE_FIRST_EPOCH 1

typedef struct {
	msec_t lease_ms;  /* validity of a write, from when it was sent */
	msec_t vouch_ms;  /* validity of a vouch, from when it was asked for */
	msec_t margin_ms; /* allowance for clocks that run at other rates */
	msec_t renew_ms;  /* between renewals */
	msec_t poll_ms;	  /* between reads of another's lease */
	msec_t retry_ms;  /* before a failed operation is tried again */
} lease_terms_t;

/* Terms for a store that answers within a second. */
extern const lease_terms_t lease_default_terms;

/* Both rows, as read from the store. Version 0: the row is absent. */
typedef struct {
	uint64_t fence_version;
	uint64_t renewal_version;
	char holder[LEASE_HOST_MAX];
	uint64_t incarnation;
	uint64_t epoch;
	gboolean released;
	uint64_t token; /* of the last write to the renewal row */
} lease_row_t;

typedef enum {
	LEASE_NONE,
	LEASE_READ,    /* read both rows */
	LEASE_TAKE,    /* check both versions, write both rows */
	LEASE_RENEW,   /* check the fence version, write the renewal row */
	LEASE_RELEASE, /* check the fence version, write released to it */
} lease_op_t;

/* What to do next; a version of 0 checks that the row is absent. */
typedef struct {
	lease_op_t op;
	uint64_t check_fence;
	uint64_t check_renewal; /* LEASE_ANY_VERSION: not checked */
	uint64_t epoch;		/* to write */
	uint64_t token;		/* to write */
} lease_action_t;

typedef enum {
	LEASE_WON,	/* the write took effect */
	LEASE_CONFLICT, /* a check failed; nothing was written */
	LEASE_LOST,	/* no answer: it may have taken effect, or still may */
} lease_result_t;

typedef struct {
	msec_t now;
	gboolean eligible;    /* may hold: acknowledged by the whole roster */
	msec_t vouched_since; /* earliest send time over all roster hosts of
				 their latest answered vouch; LEASE_NEVER */
	msec_t clear_at; /* when this host's vouches to the holder run out */
} lease_input_t;

typedef struct {
	uint64_t token;
	msec_t sent_at;
} lease_sent_t;

typedef struct {
	lease_terms_t terms;
	char self[LEASE_HOST_MAX];
	uint64_t incarnation;
	lease_row_t row; /* latest known */
	gboolean known;
	msec_t seen_at;	  /* when this version of the rows was first seen */
	msec_t proved_at; /* when the last answered read was sent */
	msec_t until;	  /* end of validity; LEASE_NEVER: not held */
	gboolean withholding;
	gboolean releasing; /* a release was sent and may still take effect */
	gboolean stale;	    /* the rows must be read before the next write */
	lease_op_t busy;
	msec_t sent_at; /* of the operation that is under way */
	msec_t tried_at[LEASE_RELEASE + 1];
	uint64_t last_token;
	lease_sent_t sent[LEASE_SENT_MAX];
} lease_t;

/**
 * lease_init() - Start without the lease and without knowledge of it.
 * @l: memory of the caller; holds nothing to be freed
 * @terms: its times; equal on all hosts
 * @self: this host's id, shorter than LEASE_HOST_MAX
 * @incarnation: of this process; never used before by this host
 */
void lease_init(lease_t *l, const lease_terms_t *terms, const char *self,
    uint64_t incarnation);

/**
 * lease_tick() - Decide the next operation on the store.
 * @l: the lease
 * @in: time and what the roster says
 *
 * At most one operation is under way: after an action other than LEASE_NONE
 * the caller owes lease_read() or lease_answered(). A read that gets no answer
 * is repeated until it gets one.
 */
lease_action_t lease_tick(lease_t *l, const lease_input_t *in);

/**
 * lease_read() - Take in the rows that LEASE_READ asked for.
 * @l: the lease
 * @row: as read
 * @now: time of receipt
 */
void lease_read(lease_t *l, const lease_row_t *row, msec_t now);

/**
 * lease_answered() - Take in the outcome of a write.
 * @l: the lease
 * @action: the action that asked for it
 * @result: how it ended
 * @fence: version of the fence row after a write that was won
 * @renewal: version of the renewal row after a write that was won
 * @now: time of receipt
 */
void lease_answered(lease_t *l, const lease_action_t *action,
    lease_result_t result, uint64_t fence, uint64_t renewal, msec_t now);

/**
 * lease_valid() - Whether the duty may be done at this moment.
 * @l: the lease
 * @now: read from the clock at the moment of use
 */
gboolean lease_valid(const lease_t *l, msec_t now);

/** lease_epoch() - Epoch of the lease as last known. */
uint64_t lease_epoch(const lease_t *l);

/** lease_fence() - Version of the fence row that a write must check. */
uint64_t lease_fence(const lease_t *l);

/**
 * lease_withholds() - To whom this host must not vouch.
 * @l: the lease
 *
 * Return: the holder whose lease is about to be taken over, or NULL.
 */
const char *lease_withholds(const lease_t *l);

#endif
