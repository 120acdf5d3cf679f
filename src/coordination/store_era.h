#ifndef COORDINATION_STORE_ERA_H
#define COORDINATION_STORE_ERA_H

#include <stdint.h>

#include <glib.h>

/*
 * Eras of the store. A store that was unavailable may return from a copy some
 * seconds old, in the next era. What was written since that copy is lost, and
 * version numbers are used again. So a version is kept as one number with its
 * era above the store's own number: versions of a newer era are higher,
 * wherever they are compared, kept or sent. In era 0 both numbers are the same.
 *
 * Load: a store that returns some times a year, for a fleet of hundreds of
 * hosts that each compare a few thousand rows.
 */

/* At the 1,200 writes a second that the store allows, the store's own number
 * fits for thousands of years. */
#define STORE_ERA_SHIFT 48
#define STORE_ERA_MAX UINT64_C(0xffff)

/**
 * store_era_compose() - Make a version from an era and the store's own number.
 *
 * Return: FALSE if one of them is out of range.
 */
static inline gboolean
store_era_compose(uint64_t era, uint64_t number, uint64_t *ver)
{
	*ver = era << STORE_ERA_SHIFT | number;
	return era <= STORE_ERA_MAX && number >> STORE_ERA_SHIFT == 0;
}

/** store_era_of() - Era of a version. */
static inline uint64_t
store_era_of(uint64_t ver)
{
	return ver >> STORE_ERA_SHIFT;
}

/** store_era_number() - The store's own number of a version. */
static inline uint64_t
store_era_number(uint64_t ver)
{
	return ver & ((UINT64_C(1) << STORE_ERA_SHIFT) - 1);
}

/* The era that a host knows. */
typedef struct {
	gboolean known; /* the store has answered */
	uint64_t era;
} store_era_t;

typedef enum {
	STORE_ERA_SAME,
	STORE_ERA_NEWER, /* the store was restored: list its tables again */
	STORE_ERA_OLDER, /* an answer from before that: ignore it */
} store_era_verdict_t;

/** store_era_seen() - Process the era of an answer of the store. */
store_era_verdict_t store_era_seen(store_era_t *e, uint64_t era);

/* A state that a row had before the one that is known. */
typedef struct {
	uint64_t ver;
	uint64_t content;
} era_row_state_t;

/* A few seconds of changes of a row. */
#define ERA_ROW_EARLIER 4

/* What is known of a row. */
typedef struct {
	uint64_t ver;
	uint64_t content;  /* hash; 0: the row is removed */
	uint64_t copy_ver; /* of an older state that the store has; 0: none */
	era_row_state_t earlier[ERA_ROW_EARLIER];
	guint next; /* index at which the next state is kept */
} era_row_t;

typedef enum {
	ERA_ROW_OLD,	 /* not newer than what is known */
	ERA_ROW_SAME,	 /* the same write, in a newer era */
	ERA_ROW_COPY,	 /* an older state that came back with a copy */
	ERA_ROW_CHANGED, /* takes the place of what is known */
} era_row_verdict_t;

/**
 * era_row_seen() - Process a row as the store has it.
 * @k: what is known of it; updated
 * @ver: its version
 * @content: hash of its value, not 0; 0: it is removed
 * @copy_end: version of the store at the first listing of this era: rows up to
 *	it may come from the copy
 */
era_row_verdict_t era_row_seen(
    era_row_t *k, uint64_t ver, uint64_t content, uint64_t copy_end);

/**
 * era_row_missing() - Process that a listing lacks a row.
 * @k: what is known of it; updated unless it is held
 * @ver: version of the listing
 * @hold: a row that was lost with the copy stays as it is known
 *
 * Return: whether the row is now removed and was not before.
 */
gboolean era_row_missing(era_row_t *k, uint64_t ver, gboolean hold);

/** era_row_is_lost() - Is a row that should exist missing or older in the
 * store?
 * @k: what is known of it
 * @era: the store's era
 */
gboolean era_row_is_lost(const era_row_t *k, uint64_t era);

#endif
