#ifndef COORDINATION_LENDER_H
#define COORDINATION_LENDER_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"
#include "coordination/lease.h"
#include "coordination/roster.h"
#include "state/bucket.h"

/*
 * The part of one workspace's rate and burst that is lent to hosts. The holder
 * of the workspace's lease is the lender; it lends tokens to the hosts for a
 * short time. A lent token counts against the burst until the borrower reports
 * it as used or unused, or until it expires. An expired token counts as used.
 * See docs/LIMITS.md.
 */

/*
 * Lifetime of a loan. The borrower counts it from the time at which it sent
 * its request, the lender from the time at which it received the request.
 */
#define GRANT_TTL_MS 1000
/* Allowance for clock drift over GRANT_TTL_MS and for rounding. */
#define GRANT_DRIFT_MS 20
/*
 * How long a host delegates its slot's reserve to the lender. The host counts
 * from the time at which it sent its request, the lender from its previous
 * answer to this host.
 */
#define DELEGATION_MS 1500
/*
 * Share of the burst that is divided by demand. The rest is kept for hosts that
 * have no demand yet.
 */
#define LEND_PERMILLE 800
/* Tokens lent beyond what the demand would use in a loan's lifetime. */
#define LOAN_SPARE_TOKENS 2

/*
 * A borrower's request. A borrower has one request under way at a time: when it
 * sends a new sequence number, it ignores answers to all earlier ones. Counts
 * are whole tokens since the borrower's first request to this epoch's lender.
 */
typedef struct {
	host_id_t host;
	uint64_t incarnation;
	uint64_t sequence; /* grows across all epochs of an incarnation */
	uint64_t epoch;	   /* newest known to the borrower */
	uint64_t taken;	   /* granted in answers that were received */
	uint64_t used;	   /* or expired */
	uint64_t returned;
	uint64_t demand;   /* 0.001 requests/s, admitted or not */
	uint64_t wanted;   /* tokens that requests are waiting for */
	limit_t delegated; /* reserve delegated to the lender */
	msec_t echo;	   /* stamp of the newest answer in this epoch */
} borrow_request_t;

typedef struct {
	uint64_t sequence; /* of the request */
	uint64_t epoch;	   /* of the lender */
	uint64_t granted;
	uint64_t excess; /* to be returned with the next request */
	msec_t stamp;	 /* lender's clock; the borrower only echoes it */
} borrow_answer_t;

typedef enum {
	LEND_ANSWERED,
	LEND_STALE, /* duplicate or superseded request: not answered */
	LEND_NOT_HOLDER,
} lend_verdict_t;

/* Tokens and delegated reserve of one incarnation of a host. */
typedef struct {
	host_id_t host;
	uint64_t incarnation;
	uint64_t epoch; /* named in the first request; @used counts in it */
	uint64_t sequence;
	uint64_t lent;
	uint64_t used;
	uint64_t demand;
	msec_t expires_at;
	limit_t delegated;
	msec_t delegated_until;
} loan_t;

typedef struct {
	uint64_t epoch;	       /* 0: not the lender */
	uint64_t newest_epoch; /* highest epoch under which we lent; 0: never */
	lendable_t limit;
	bucket_t bucket;    /* base limit plus delegated reserves */
	GArray *loans;	    /* loan_t */
	uint64_t lent;	    /* sum over all loans */
	msec_t prior_until; /* end of earlier lenders' loans */
} lender_t;

void lender_init(lender_t *l);
void lender_finish(lender_t *l);

/**
 * lender_start() - Start lending after the lease was won.
 * @l: the lender
 * @epoch: fencing epoch of the lease; larger than any before
 * @limit: part of the workspace's limit that may be lent
 * @now: a time at which the lease of the previous epoch had ended, for
 *	instance the time at which this host learnt that it won the lease
 *
 * The bucket starts empty and fills once the loans of earlier lenders have
 * expired. In the very first epoch there are no such loans, so the bucket
 * starts full. If this host's lease lapsed and was then renewed, the epoch is
 * the same, and the loans from before the lapse count as loans of an earlier
 * lender.
 */
void lender_start(lender_t *l, uint64_t epoch, lendable_t limit, msec_t now);

/**
 * lender_stop() - Stop lending: the lease is lost or released.
 */
void lender_stop(lender_t *l);

/**
 * lender_configure() - Apply a changed limit.
 *
 * Lent tokens beyond a lowered burst are reclaimed from borrowers or expire.
 */
void lender_configure(lender_t *l, lendable_t limit, msec_t now);

/**
 * lender_borrow() - Answer a borrower's request.
 * @l: the lender
 * @request: the request, from an authenticated host
 * @valid_until: end of our lease; requests from then on are not answered
 * @now: time of receipt
 * @answer: set if the verdict is LEND_ANSWERED
 */
lend_verdict_t lender_borrow(lender_t *l, const borrow_request_t *request,
    msec_t valid_until, msec_t now, borrow_answer_t *answer);

/**
 * lender_level() - Tokens that can be lent now.
 */
utoken_t lender_level(lender_t *l, msec_t now);

#endif
