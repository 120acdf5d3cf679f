#ifndef PROTOCOL_TABLE_QUEUE_H
#define PROTOCOL_TABLE_QUEUE_H

#include "protocol/table_update.h"

/*
 * Changes of a table that the reading host sends to its peers. An update leads
 * from a version of the table to a later one, so it has to hold the rows of all
 * pages of a listing, not only those of the last one. Sent changes are sent
 * again for a while: a datagram may have been lost, and a host that has just
 * listed the table may know a somewhat older version than this one.
 */

typedef struct {
	GPtrArray *rows; /* table_row_t, in the order of their arrival */
	GArray *batches; /* of the rows that were sent, the oldest first */
	guint unsent;	 /* index of the first row that was never sent */
} table_queue_t;

void table_queue_init(table_queue_t *q);
void table_queue_finish(table_queue_t *q);

/** table_queue_add() - Add a changed row; copied. */
void table_queue_add(table_queue_t *q, const table_row_t *row);

/** table_queue_clear() - Drop all rows. */
void table_queue_clear(table_queue_t *q);

/**
 * table_queue_expire() - Drop rows that were sent for the last time.
 * @q: the queue
 * @now: time
 *
 * Many rows are sent only once. Rows that were never sent are kept.
 */
void table_queue_expire(table_queue_t *q, msec_t now);

/**
 * table_queue_update() - Make an update of all rows; they count as sent.
 * @q: the queue
 * @from: version of the table before the rows that were never sent
 * @to: version of the table after them
 * @now: time
 * @update: its @from, @to and @rows are set; the last state of each row, in the
 *	order that an update needs. They belong to the queue; the array is to be
 *	freed.
 */
void table_queue_update(table_queue_t *q, uint64_t from, uint64_t to,
    msec_t now, table_update_t *update);

#endif
