#ifndef COORDINATION_BORROWER_H
#define COORDINATION_BORROWER_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"
#include "coordination/lender.h"
#include "state/bucket.h"

/*
 * A host's side of one workspace's rate and burst: tokens borrowed from the
 * workspace's lender and, if it holds a slot, two buckets of its own: a floor,
 * and a reserve that is pledged to the lender while that one is in reach. See
 * docs/LIMITS.md.
 */

/* Shares of rate and burst that belong to the slots. */
#define FLOOR_PERMILLE 200
#define RESERVE_PERMILLE 600
/* Period of questions to the lender while requests come. */
#define BORROW_PERIOD_MS 100
/* The same while none come, for the sake of the pledge. */
#define PLEDGE_PERIOD_MS 500
/* Without an answer for this long, a question is given up. */
#define BORROW_TIMEOUT_MS 400
/* After that many in a row, requests don't wait for the lender. */
#define BORROW_LOST_MAX 2
/* Bounds of the time that a request waits for tokens. */
#define WAIT_MIN_MS 25
#define WAIT_MAX_MS 250
/*
 * For this long after a host's first configuration, requests wait for tokens:
 * a lender must be found, and the slots' parts get to it.
 */
#define START_WAIT_MS 3000
/* Requests that may wait at once. */
#define WAITING_MAX 64
/* Step by which the record of demand fades. */
#define DEMAND_STEP_MS 100

/* No slot: the host has no bucket of its own. */
#define SLOT_NONE UINT16_MAX

/* A workspace's limit under one configuration. */
typedef struct {
	limit_t limit;
	uint16_t slots;
	uint16_t slot; /* of this host, or SLOT_NONE */
} borrower_config_t;

/* The slots' part of the limit under the configurations settled so far. */
typedef struct {
	limit_t limit;
	uint16_t parts; /* into which it is split */
	uint16_t slots; /* that may be used */
} slots_t;

typedef enum {
	ADMIT,
	ADMIT_WAIT,   /* ask again at @until, or when tokens come */
	ADMIT_REFUSE, /* over the limit; @until is worth a retry */
	ADMIT_STALE,  /* this host may admit nothing at present */
} admit_kind_t;

typedef struct {
	admit_kind_t kind;
	msec_t until;
} admit_t;

/* Tokens borrowed from the lender of one epoch. */
typedef struct {
	uint64_t epoch;
	uint64_t tokens;
	msec_t expires_at;
	uint64_t taken, used, returned; /* totals of the epoch */
	msec_t stamp;			/* of the newest answer; 0: none */
} holding_t;

typedef struct {
	host_id_t host;
	uint64_t incarnation;
	shares_t shares;
	borrower_config_t config; /* in force here */
	slots_t settled;
	msec_t settle_at;   /* when @config counts as settled */
	msec_t start_until; /* until then requests wait for tokens */
	bucket_t floor;
	bucket_t reserve;
	msec_t reserve_from; /* it may have been pledged until then */
	holding_t holding;
	holding_t prior; /* of the epoch before, until it expires */
	uint64_t sequence;
	gboolean asking; /* @sequence awaits its answer */
	msec_t asked_at;
	unsigned lost;	   /* questions in a row without an answer */
	msec_t round_trip; /* of late exchanges, smoothed */
	uint64_t demand;   /* thousandths of requests per second */
	msec_t demand_at;
	uint32_t waiting;    /* requests told to wait and not yet decided */
	gboolean unreported; /* tokens used or to return since the question */
} borrower_t;

/* The shares that all hosts use. */
shares_t borrower_shares(void);

/**
 * borrower_init() - Start with nothing.
 * @b: memory of the caller
 * @host: this host
 * @incarnation: its incarnation
 * @shares: shares of the slots, borrower_shares() but for measurements
 * @now: present time
 */
void borrower_init(borrower_t *b, host_id_t host, uint64_t incarnation,
    shares_t shares, msec_t now);

/**
 * borrower_configure() - Put a configuration or a changed slot in force.
 *
 * What shrinks counts at once; what grows waits for borrower_settled(). A
 * slot is given only after its last holder has surely stopped.
 */
void borrower_configure(
    borrower_t *b, const borrower_config_t *config, msec_t now);

/**
 * borrower_settled() - The configuration is in force on every host.
 *
 * Counts once all that was lent under an earlier one has expired.
 */
void borrower_settled(borrower_t *b, msec_t now);

/**
 * borrower_epoch() - Another host told of a newer lender.
 */
void borrower_epoch(borrower_t *b, uint64_t epoch, msec_t now);

/**
 * borrower_admit() - Decide on a request.
 * @b: the borrower
 * @arrived_at: when the request came; @now at its first try
 * @again: it was told to wait before
 * @fresh: this host may use its tokens (state of keys and vouches)
 * @now: present time, read at this moment
 *
 * Waiting requests are tried again in the order in which they came.
 */
admit_t borrower_admit(borrower_t *b, msec_t arrived_at, gboolean again,
    gboolean fresh, msec_t now);

/**
 * borrower_cancel() - A waiting request is not tried again.
 */
void borrower_cancel(borrower_t *b);

/**
 * borrower_ask() - Is a question to the lender due?
 * @b: the borrower
 * @fresh: as for borrower_admit(); without it no reserve is pledged
 * @now: present time, read at this moment
 * @request: set if so, to be sent at once
 */
gboolean borrower_ask(
    borrower_t *b, gboolean fresh, msec_t now, borrow_request_t *request);

/**
 * borrower_answered() - Take in the lender's answer.
 *
 * Return: whether tokens came, so that waiting requests are tried again.
 */
gboolean borrower_answered(
    borrower_t *b, const borrow_answer_t *answer, msec_t now);

/**
 * borrower_tokens() - Whole tokens at hand, for the dump.
 */
uint64_t borrower_tokens(borrower_t *b, msec_t now);

#endif
