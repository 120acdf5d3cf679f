#ifndef COORDINATION_SHIFTS_H
#define COORDINATION_SHIFTS_H

#include "coordination/fleet.h"
#include "coordination/version_shift.h"
#include "state/judge_feed.h"
#include "state/registry.h"

/*
 * The shifts of services to new versions, and the versions that a request may
 * go to. An operators' order starts a shift. A row in the store, written by the
 * host that holds the duty, records when the shift began and how it ended. The
 * row's times are of the store's steady clock, so that all hosts compute the
 * same share.
 *
 * The share is a growing part of the objects, and all requests for an object
 * shift together. So the cached data of an object is lost once at most.
 */

/* A new version without an order gets no requests for this time, because an
 * order for it may be about to arrive. */
#define SHIFTS_UNORDERED_MS 3000

/* A shift's row in the store. */
typedef struct {
	char *to;
	msec_t began; /* ms on the store's clock */
	msec_t duration_ms;
	shift_state_t state;
	/* Earlier versions that were rolled back, one a line; NULL: none. They
	 * get no requests while they run beside the next shift. */
	char *withdrawn;
} shift_row_t;

typedef struct shift shift_t;

typedef struct {
	GHashTable *by_service; /* service to shift_t */
	GHashTable *versions;	/* service to table of version to msec_t */
	/* Rows up to this version may be older copies: the store was restored.
	 * 0: it was not. */
	uint64_t copy_end;
} shifts_t;

/* Which versions a request may go to. */
typedef enum {
	SHIFT_COHORT_ANY, /* no shift: all versions in use */
	SHIFT_COHORT_NEW, /* the new version */
	SHIFT_COHORT_OLD, /* any version but the new one */
} shift_cohort_t;

/* A row that the holder of the duty has to write. */
typedef struct {
	const char *service;
	shift_row_t row;   /* its strings are owned by the shift */
	uint64_t expected; /* store version of the row read; 0: absent */
	judge_verdict_t verdict;
	judge_count_t seen;  /* requests at the new version */
	msec_t counted_from; /* store's clock; 0: not yet */
	gboolean rewrite;    /* the store had it and lost it */
} shift_write_t;

void shifts_init(shifts_t *s);
void shifts_finish(shifts_t *s);

/** shifts_order() - Apply an operators' order to shift a service. */
void shifts_order(
    shifts_t *s, const char *service, const char *to, msec_t duration_ms);

/** shifts_remove_order() - The order was removed from the store. */
void shifts_remove_order(shifts_t *s, const char *service);

/** shifts_apply_row() - Apply a shift's row; NULL if it was removed. */
void shifts_apply_row(
    shifts_t *s, const char *service, const shift_row_t *row, uint64_t row_ver);

/**
 * shifts_row_lost() - The store was restored without a shift's row.
 * @s: the shifts
 * @service: its service
 * @stored: version of the older row in its place; 0: none
 *
 * The row stays in force and is written again.
 */
void shifts_row_lost(shifts_t *s, const char *service, uint64_t stored);

/**
 * shifts_note_version() - Record that a server of a version exists.
 * @s: the shifts
 * @b: the server
 * @at_start: seen in this host's first read of the servers; needs no order
 * @now: time
 */
void shifts_note_version(
    shifts_t *s, const backend_t *b, gboolean at_start, msec_t now);

/**
 * shifts_cohort() - The versions that a request may go to.
 * @s: the shifts
 * @service: its service
 * @object: hash of its object
 * @store_now: the store's clock
 */
shift_cohort_t shifts_cohort(
    const shifts_t *s, const char *service, uint64_t object, msec_t store_now);

/** shifts_allows() - Whether a request of a cohort may go to a server. */
gboolean shifts_allows(
    const shifts_t *s, const backend_t *b, shift_cohort_t cohort, msec_t now);

/* How a request at a server ended, for the judgement. */
typedef struct {
	uint64_t route; /* hash of its name */
	gboolean failed;
	gboolean slow;
} shift_sample_t;

void shifts_sent(shifts_t *s, const backend_t *b);
void shifts_ended(
    shifts_t *s, const backend_t *b, const shift_sample_t *sample);

/** shifts_receive() - Process the totals of a domain's new summary. */
void shifts_receive(shifts_t *s, const fleet_domain_t *d);

/** shifts_report() - Add this host's totals to its status. */
void shifts_report(const shifts_t *s, fleet_status_t *status);

/**
 * shifts_tick() - Judge the shifts and collect the rows to write.
 * @s: the shifts
 * @r: the servers
 * @f: the hosts
 * @now: time
 * @store_now: the store's clock
 * @writes: shift_write_t are appended
 */
void shifts_tick(shifts_t *s, const registry_t *r, const fleet_t *f, msec_t now,
    msec_t store_now, GArray *writes);

#endif
