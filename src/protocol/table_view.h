#ifndef PROTOCOL_TABLE_VIEW_H
#define PROTOCOL_TABLE_VIEW_H

#include "protocol/table_msg.h"

/*
 * What is known of a table, by versions of its rows: finds out what of a page
 * is news. Pages may be old, come twice, or come in any order: a row never
 * goes back to an older version, and a whole reading that is older than what
 * is known removes nothing that is newer than itself.
 */

typedef struct {
	GHashTable *known;   /* key to version and whether it was removed */
	GHashTable *listed;  /* keys of the reading under way, or NULL */
	uint64_t listed_ver; /* version of its first page */
	uint64_t newest;     /* of all rows taken in */
} table_view_t;

/** typedef table_take_t - Called for each row that is news; removed rows have
 * no value. */
typedef void (*table_take_t)(void *arg, const table_row_t *row);

void table_view_init(table_view_t *v);
void table_view_finish(table_view_t *v);

/** table_view_changes() - Take in changes, of each row the last. */
void table_view_changes(
    table_view_t *v, const table_page_t *page, table_take_t news, void *arg);

/** table_view_begin() - A reading of the whole table begins. */
void table_view_begin(table_view_t *v);

/**
 * table_view_page() - Take in a page of a reading.
 *
 * With the last page, rows that the reading lacks are told as removed.
 */
void table_view_page(
    table_view_t *v, const table_page_t *page, table_take_t news, void *arg);

#endif
