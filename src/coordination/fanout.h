#ifndef COORDINATION_FANOUT_H
#define COORDINATION_FANOUT_H

#include "state/bucket.h"

/*
 * Decides what of a table's changes a host sends to other hosts. Rows cost
 * their size for each receiver, on a link that requests, answers and this
 * host's own calls need too, so they get a fraction of the link. What does not
 * fit is replaced by a notice that there are changes: the receivers read them
 * from the store, over their own links.
 *
 * Load: a fleet of hundreds of hosts that starts, or a store that has dropped
 * its history: hundreds of rows at once, read by several hosts, that reach each
 * collector several times.
 */

/* Number of tables. */
#define FANOUT_TABLES_MAX 4

/* Versions of a table between which all changes were passed on. */
typedef struct {
	uint64_t from, to;
	msec_t at; /* when an update of the table was last passed on */
} fanout_passed_t;

typedef struct {
	bucket_t bytes;
	fanout_passed_t passed[FANOUT_TABLES_MAX];
} fanout_t;

typedef enum {
	FANOUT_ROWS,	/* send the rows */
	FANOUT_NOTICE,	/* send only the version */
	FANOUT_NOTHING, /* later updates show the receivers what they missed */
} fanout_verdict_t;

/**
 * fanout_init() - Set up.
 * @f: the state
 * @link_mbps: bandwidth of this host's link
 * @now: time
 */
void fanout_init(fanout_t *f, double link_mbps, msec_t now);

/**
 * fanout_is_due() - Whether an update is to be passed on at all.
 * @f: the state
 * @table: number of the table
 * @from: version of the table from which the update leads
 * @to: version of the table to which it leads
 * @now: time
 *
 * Datagrams may arrive in any order. One that is behind a gap is passed on, and
 * so is the one that closes the gap.
 *
 * Return: FALSE if rows or a notice between these versions were passed on. An
 * update up to the newest version is passed on again after a while.
 */
gboolean fanout_is_due(
    fanout_t *f, uint32_t table, uint64_t from, uint64_t to, msec_t now);

/**
 * fanout_choose() - Decide about a datagram, and count what it takes.
 * @f: the state
 * @rows_bytes: size with its rows
 * @notice_bytes: size without them
 * @receivers: number of hosts that it is for
 * @now: time
 */
fanout_verdict_t fanout_choose(fanout_t *f, size_t rows_bytes,
    size_t notice_bytes, guint receivers, msec_t now);

#endif
