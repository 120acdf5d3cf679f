#ifndef COORDINATION_BORROWER_H
#define COORDINATION_BORROWER_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"
#include "coordination/lender.h"
#include "state/bucket.h"

/*
 * A host's side of one workspace's rate limit. The host borrows tokens from the
 * workspace's lender. If it holds a slot, it also has two buckets of its own: a
 * floor, and a reserve that it delegates to the lender while the lender is
 * reachable. See docs/LIMITS.md.
 */

/* Shares of the rate and the burst that belong to the slots. */
#define FLOOR_PERMILLE 200
#define RESERVE_PERMILLE 600
/* Period of requests to the lender while callers' requests arrive. */
#define BORROW_PERIOD_MS 100
/* The same while none arrive; renews the delegation of the reserve. */
#define DELEGATION_PERIOD_MS 500
/* A request to the lender without an answer is given up after this time. */
#define BORROW_TIMEOUT_MS 400
/* After this many in a row, callers' requests don't wait for the lender. */
#define BORROW_LOST_MAX 2
/* Bounds of the time for which a caller's request waits for tokens. */
#define WAIT_MIN_MS 25
#define WAIT_MAX_MS 250
/*
 * For this long after a host's first configuration, callers' requests wait for
 * tokens. In this time a lender is found and the hosts delegate their slots'
 * reserves to it.
 */
#define START_WAIT_MS 3000
/* Callers' requests that may wait at the same time. */
#define WAITING_MAX 64
/* Interval at which the measured demand decays. */
#define DEMAND_STEP_MS 100

/* No slot: the host has no bucket of its own. */
#define SLOT_NONE UINT16_MAX

/* A workspace's limit in one configuration. */
typedef struct {
	limit_t limit;
	uint16_t slots;
	uint16_t slot; /* of this host, or SLOT_NONE */
} borrower_config_t;

/* The slots' part of the limit under the configurations settled so far. */
typedef struct {
	limit_t limit;
	uint16_t parts; /* number of parts that the limit is split into */
	uint16_t slots; /* number of slots that may be used */
} slots_t;

typedef enum {
	ADMIT,
	ADMIT_WAIT,   /* try again at @until, or when tokens arrive */
	ADMIT_REFUSE, /* over the limit; the caller may retry at @until */
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
	uint64_t taken, used, returned; /* totals in this epoch */
	msec_t stamp;			/* of the newest answer; 0: none */
} holding_t;

typedef struct {
	host_id_t host;
	uint64_t incarnation;
	shares_t shares;
	borrower_config_t config; /* in force on this host */
	slots_t settled;
	msec_t settle_at;   /* when @config counts as settled */
	msec_t start_until; /* end of START_WAIT_MS */
	bucket_t floor;
	bucket_t reserve;
	msec_t reserve_from; /* until then it may be delegated */
	holding_t holding;
	holding_t prior; /* of the previous epoch, until it expires */
	uint64_t sequence;
	gboolean asking; /* request @sequence has no answer yet */
	msec_t asked_at;
	unsigned lost;	   /* requests in a row without an answer */
	msec_t round_trip; /* of recent exchanges, smoothed */
	uint64_t demand;   /* thousandths of requests per second */
	msec_t demand_at;
	uint32_t waiting;    /* callers' requests told to wait */
	gboolean unreported; /* tokens used or returned since @asked_at */
} borrower_t;

/* Shares of the slots that all hosts use. */
shares_t borrower_shares(void);

/**
 * borrower_init() - Start without tokens and without a limit.
 * @b: memory of the caller
 * @host: this host
 * @incarnation: its incarnation
 * @shares: shares of the slots: borrower_shares(), except in measurements
 * @now: present time
 */
void borrower_init(borrower_t *b, host_id_t host, uint64_t incarnation,
    shares_t shares, msec_t now);

/**
 * borrower_configure() - Apply a configuration or a changed slot.
 *
 * A lowered limit counts at once; a raised one only after borrower_settled(). A
 * slot must be given to this host only when its last holder has surely stopped.
 */
void borrower_configure(
    borrower_t *b, const borrower_config_t *config, msec_t now);

/**
 * borrower_settled() - Record that the configuration is in force everywhere.
 *
 * Takes effect when all loans under earlier configurations have expired.
 */
void borrower_settled(borrower_t *b, msec_t now);

/**
 * borrower_epoch() - Switch to a newer lender that was learnt elsewhere.
 */
void borrower_epoch(borrower_t *b, uint64_t epoch, msec_t now);

/**
 * borrower_admit() - Decide on a caller's request.
 * @b: the borrower
 * @arrived_at: when the request arrived; equals @now at its first try
 * @again: the request was told to wait before
 * @fresh: this host may use its tokens (state of keys and promises)
 * @now: present time, read at this moment
 *
 * Waiting requests must be tried again in the order of their arrival.
 */
admit_t borrower_admit(borrower_t *b, msec_t arrived_at, gboolean again,
    gboolean fresh, msec_t now);

/**
 * borrower_cancel() - Forget a waiting request that is not tried again.
 */
void borrower_cancel(borrower_t *b);

/**
 * borrower_ask() - Build a request to the lender if one is due.
 * @b: the borrower
 * @fresh: as for borrower_admit(); without it no reserve is delegated
 * @now: present time, read at this moment
 * @request: set if one is due; to be sent at once
 *
 * Return: whether one is due.
 */
gboolean borrower_ask(
    borrower_t *b, gboolean fresh, msec_t now, borrow_request_t *request);

/**
 * borrower_answered() - Process the lender's answer.
 *
 * Return: whether there are tokens, so that waiting requests can be tried
 * again.
 */
gboolean borrower_answered(
    borrower_t *b, const borrow_answer_t *answer, msec_t now);

/**
 * borrower_tokens() - Whole tokens that this host holds, for the state dump.
 */
uint64_t borrower_tokens(borrower_t *b, msec_t now);

#endif
