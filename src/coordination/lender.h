#ifndef COORDINATION_LENDER_H
#define COORDINATION_LENDER_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"
#include "coordination/lease.h"
#include "coordination/roster.h"
#include "state/bucket.h"

/*
 * The lent part of one workspace's rate and burst. The holder of the
 * workspace's lease lends tokens to the hosts for a short time. A token that
 * is lent counts against the burst until it is reported as used or unused, or
 * expires, which counts as used. See docs/LIMITS.md.
 */

/* Life of a loan: from the borrower's send, and the lender's receipt. */
#define GRANT_TTL_MS 1000
/* Difference that two clocks may gather over GRANT_TTL_MS, and rounding. */
#define GRANT_DRIFT_MS 20
/*
 * How long a host leaves its slot's reserve to the lender: from the send of
 * its question, and for the lender from its own answer before that.
 */
#define PLEDGE_MS 1500
/* Share of the burst that is lent by demand; the rest awaits newcomers. */
#define LEND_PERMILLE 800
/* Tokens lent beyond what the demand would use in a loan's life. */
#define LEND_SPARE 2

/*
 * A borrower's question, one at a time: with a new sequence it has given up
 * all earlier ones and takes no answer to them. Counts are of whole tokens
 * since the borrower first spoke with this epoch's lender.
 */
typedef struct {
	host_id_t host;
	uint64_t incarnation;
	uint64_t sequence; /* grows over all epochs of an incarnation */
	uint64_t epoch;	   /* newest known to the borrower */
	uint64_t taken;	   /* granted, in answers that it received */
	uint64_t used;	   /* or expired */
	uint64_t returned;
	uint64_t demand; /* requests per second, admitted or not */
	uint64_t wanted; /* tokens that requests are waiting for */
	limit_t pledge;	 /* reserve left to the lender */
	msec_t echo;	 /* stamp of the newest answer of the epoch */
} borrow_request_t;

typedef struct {
	uint64_t sequence; /* of the question */
	uint64_t epoch;	   /* of the lender */
	uint64_t granted;
	uint64_t excess; /* to be returned with the next question */
	msec_t stamp;	 /* the lender's clock; echoed, not read */
} borrow_answer_t;

typedef enum {
	LEND_ANSWERED,
	LEND_STALE, /* doubled or overtaken: no answer is due */
	LEND_NOT_HOLDER,
} lend_verdict_t;

/* What one incarnation of a host holds. */
typedef struct {
	host_id_t host;
	uint64_t incarnation;
	uint64_t epoch; /* the borrower's, whose counts are in @used */
	uint64_t sequence;
	uint64_t lent;
	uint64_t used;
	uint64_t demand;
	msec_t expires_at;
	limit_t pledge;
	msec_t pledged_until;
} loan_t;

typedef struct {
	uint64_t epoch;	 /* 0: not the lender */
	uint64_t newest; /* under which we have lent; 0: never */
	lendable_t limit;
	bucket_t bucket;    /* base and pledges */
	GArray *loans;	    /* loan_t */
	uint64_t lent;	    /* sum over the loans */
	msec_t prior_until; /* loans of earlier lenders may last */
} lender_t;

void lender_init(lender_t *l);
void lender_finish(lender_t *l);

/**
 * lender_start() - The lease has been won.
 * @l: the lender
 * @epoch: fencing epoch of the lease; larger than any before
 * @limit: what may be lent of the workspace's limit
 * @now: a time at which the lease of the epoch before had ended, for instance
 *	that of learning that the lease is won
 *
 * Starts empty, and waits for the loans of forerunners to expire; under the
 * first epoch of all there are none, so that it starts full at once. A lease
 * that lapsed and was kept has its epoch again: its own loans are forerunners.
 */
void lender_start(lender_t *l, uint64_t epoch, lendable_t limit, msec_t now);

/**
 * lender_stop() - The lease is lost or given back.
 */
void lender_stop(lender_t *l);

/**
 * lender_configure() - Put a changed limit in force.
 *
 * Tokens beyond a lowered burst are called back, or expire.
 */
void lender_configure(lender_t *l, lendable_t limit, msec_t now);

/**
 * lender_borrow() - Answer a question.
 * @l: the lender
 * @request: the question, from an authenticated host
 * @valid_until: end of our lease; no answer from then on
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
