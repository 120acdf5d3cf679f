#ifndef COORDINATION_LEASE_H
#define COORDINATION_LEASE_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"

/*
 * A lease on one duty. It consists of two rows in the store. The version of the
 * fence row (holder, epoch) changes only when the lease is taken or released.
 * The version of the renewal row changes with every renewal. A write under the
 * lease checks the version of the fence row, so the store never accepts a write
 * of an earlier epoch.
 *
 * Clocks of different hosts are never compared. A holder counts its validity
 * from the time at which it sent the write or the request for a promise that
 * extends it. A host that wants to take the lease over counts from the time at
 * which it received what it waits to expire: the rows, or the holder's request
 * for a promise.
 */

#define LEASE_HOST_MAX 64
#define LEASE_SENT_MAX 4
#define LEASE_NEVER (INT64_MIN / 2)
#define LEASE_ANY_VERSION UINT64_MAX
/* Epoch under which a lease is first taken; fence rows are never deleted. */
#define LEASE_FIRST_EPOCH 1

typedef struct {
	msec_t lease_ms;   /* validity of a write, from its sending */
	msec_t promise_ms; /* validity of a promise, from its request */
	msec_t margin_ms; /* allowance for clocks that run at different rates */
	msec_t renew_ms;  /* interval of renewals */
	msec_t poll_ms;	  /* interval of reads while another host holds it */
	msec_t retry_ms;  /* pause before a failed operation is retried */
} lease_terms_t;

/* Terms for a store that answers within a second. */
extern const lease_terms_t lease_default_terms;

/* Both rows, as read from the store. Version 0: the row does not exist. */
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
	LEASE_RELEASE, /* check the fence version, mark the row as released */
} lease_op_t;

/* The next action. A version of 0 checks that the row does not exist. */
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
	LEASE_LOST,	/* no answer: may have taken effect, or may still */
} lease_result_t;

typedef struct {
	msec_t now;
	gboolean eligible; /* may hold: acknowledged by the whole roster */
	/* See roster_promised_since(). LEASE_NEVER if a promise is missing. */
	msec_t promised_since;
	/* When this host's promises to the holder expire. */
	msec_t promises_end_at;
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
	msec_t seen_at;	      /* when this version of the rows was first seen */
	msec_t read_sent_at;  /* when the latest read that succeeded was sent */
	msec_t until;	      /* end of validity; LEASE_NEVER: not held */
	gboolean withholding; /* see lease_withholds() */
	gboolean releasing;   /* a release was sent and may still take effect */
	gboolean stale;	      /* the rows must be read before the next write */
	lease_op_t busy;
	msec_t sent_at; /* of the operation under way */
	msec_t tried_at[LEASE_RELEASE + 1];
	uint64_t last_token;
	lease_sent_t sent[LEASE_SENT_MAX];
} lease_t;

/**
 * lease_init() - Start without the lease and with unknown rows.
 * @l: memory of the caller; holds nothing to be freed
 * @terms: its times; must be equal on all hosts
 * @self: this host's id, shorter than LEASE_HOST_MAX
 * @incarnation: of this process; never used by this host before
 */
void lease_init(lease_t *l, const lease_terms_t *terms, const char *self,
    uint64_t incarnation);

/**
 * lease_tick() - Decide the next operation on the store.
 * @l: the lease
 * @in: time and state of the roster
 *
 * At most one operation is under way: after an action other than LEASE_NONE
 * the caller must call lease_read() or lease_answered(). The caller repeats a
 * read that gets no answer until it gets one.
 */
lease_action_t lease_tick(lease_t *l, const lease_input_t *in);

/**
 * lease_read() - Process the answer to LEASE_READ.
 * @l: the lease
 * @row: both rows
 * @now: time of receipt
 */
void lease_read(lease_t *l, const lease_row_t *row, msec_t now);

/**
 * lease_answered() - Process the outcome of a write.
 * @l: the lease
 * @action: the action that asked for it
 * @result: the outcome
 * @fence: after LEASE_WON, the version of the fence row
 * @renewal: after LEASE_WON, the version of the renewal row
 * @now: time of receipt
 */
void lease_answered(lease_t *l, const lease_action_t *action,
    lease_result_t result, uint64_t fence, uint64_t renewal, msec_t now);

/**
 * lease_valid() - Whether this host may perform the duty now.
 * @l: the lease
 * @now: time, read immediately before the use
 */
gboolean lease_valid(const lease_t *l, msec_t now);

/** lease_epoch() - Latest known epoch of the lease. */
uint64_t lease_epoch(const lease_t *l);

/** lease_fence() - Version of the fence row that a write must check. */
uint64_t lease_fence(const lease_t *l);

/**
 * lease_withholds() - Host to which this host must give no promise.
 * @l: the lease
 *
 * Return: the holder whose lease this host is about to take over, or NULL.
 */
const char *lease_withholds(const lease_t *l);

#endif
