#ifndef COORDINATION_OWN_ROW_H
#define COORDINATION_OWN_ROW_H

#include <stdint.h>

#include <glib.h>

/*
 * Decides when a host writes its own row in the hosts' table, and under which
 * condition. A write whose answer is lost may be performed seconds later, when
 * the host has stopped or started again. So each write names the version of the
 * row that it replaces, and a row that says something else than this start of
 * the host wrote is written again, unless a newer start wrote it.
 */

typedef struct {
	uint64_t incarnation; /* of this start */
	uint64_t expected;  /* version that the next write replaces; 0: none */
	uint64_t known_ver; /* of the newest row, or absence, that was seen */
	gboolean leaving;
} own_row_t;

/* The row as it was seen in the store. */
typedef struct {
	gboolean removed;
	gboolean left; /* it says that the host leaves */
	uint64_t incarnation;
	uint64_t ver;
} own_row_seen_t;

typedef enum {
	OWN_ROW_STANDS,	    /* it says what it has to, or is outdated */
	OWN_ROW_WRITE,	    /* it has to be written (again) */
	OWN_ROW_SUPERSEDED, /* a newer start of the host wrote it */
} own_row_verdict_t;

/**
 * own_row_written() - A write of the row was performed.
 * @o: the state
 * @ver: version of the store after it; the row's may be lower
 */
void own_row_written(own_row_t *o, uint64_t ver);

/**
 * own_row_seen() - Decide upon the row as the store has it.
 * @o: the state
 * @row: the row, in any order of versions
 */
own_row_verdict_t own_row_seen(own_row_t *o, const own_row_seen_t *row);

#endif
