#ifndef COORDINATION_SHIFTS_H
#define COORDINATION_SHIFTS_H

#include "coordination/fleet.h"
#include "coordination/version_shift.h"
#include "state/judge_feed.h"
#include "state/registry.h"

/*
 * The moves of services to new versions, and which version a request may go
 * to. An order starts a move; a row in the store, written by the host that
 * holds the duty, says when it began and how it ended. The row's time is the
 * store's steady clock, so that all hosts work out the same share.
 *
 * An object is moved as a whole: a part of the objects that grows, so that
 * what a server keeps of an object is lost once at most.
 */

/* A version that nobody ordered is used after this time: an order for it may
 * be on its way. */
#define SHIFTS_UNORDERED_MS 3000

/* A move's row in the store. */
typedef struct {
	char *to;
	msec_t began; /* the store's clock, ms */
	msec_t duration_ms;
	shift_state_t state;
} shift_row_t;

typedef struct shift shift_t;

typedef struct {
	GHashTable *by_service; /* service to shift_t */
	GHashTable *versions;	/* service to table of version to msec_t */
} shifts_t;

/* Which versions a request may go to. */
typedef enum {
	SHIFT_LOT_ANY,	 /* no move: all that are in use */
	SHIFT_LOT_FRESH, /* the new version */
	SHIFT_LOT_OLD,	 /* any but the new version */
} shift_lot_t;

/* A row that the holder of the duty is to write. */
typedef struct {
	const char *service;
	shift_row_t row;   /* its text belongs to the move */
	uint64_t expected; /* version of the row as read; 0: absent */
	judge_verdict_t verdict;
} shift_write_t;

void shifts_init(shifts_t *s);
void shifts_finish(shifts_t *s);

/** shifts_order() - The operators want a service moved. */
void shifts_order(
    shifts_t *s, const char *service, const char *to, msec_t duration_ms);

/** shifts_unorder() - The order was removed. */
void shifts_unorder(shifts_t *s, const char *service);

/** shifts_take_row() - Take in a move's row; NULL if it was removed. */
void shifts_take_row(
    shifts_t *s, const char *service, const shift_row_t *row, uint64_t row_ver);

/** shifts_saw() - A server of a version is there. */
void shifts_saw(shifts_t *s, const backend_t *b, gboolean at_start, msec_t now);

/**
 * shifts_lot() - To which versions does a request go?
 * @s: the moves
 * @service: its service
 * @object: hash of its object
 * @store_now: the store's clock
 */
shift_lot_t shifts_lot(
    const shifts_t *s, const char *service, uint64_t object, msec_t store_now);

/** shifts_allows() - May a request of a lot go to a server? */
gboolean shifts_allows(
    const shifts_t *s, const backend_t *b, shift_lot_t lot, msec_t now);

/* How a request at a server ended, for the judgement. */
typedef struct {
	uint64_t route; /* hash of its name */
	gboolean failed;
	gboolean slow;
} shift_sample_t;

void shifts_sent(shifts_t *s, const backend_t *b);
void shifts_ended(
    shifts_t *s, const backend_t *b, const shift_sample_t *sample);

/** shifts_hear() - Take in another host's totals. */
void shifts_hear(shifts_t *s, const fleet_host_t *h);

/** shifts_tell() - This host's totals, for its news. */
void shifts_tell(const shifts_t *s, fleet_news_t *news);

/**
 * shifts_tick() - Judge, and say what is to be written.
 * @s: the moves
 * @r: the servers
 * @f: the hosts
 * @now: time
 * @store_now: the store's clock
 * @writes: shift_write_t are appended
 */
void shifts_tick(shifts_t *s, const registry_t *r, const fleet_t *f, msec_t now,
    msec_t store_now, GArray *writes);

#endif
