#ifndef PROTOCOL_TABLE_VIEW_H
#define PROTOCOL_TABLE_VIEW_H

#include "coordination/store_era.h"
#include "protocol/table_msg.h"

/*
 * The known versions of a table's rows. Determines which rows of a page are
 * changes. Pages may be outdated, repeated or out of order: a row never returns
 * to an older version, and an outdated listing of the whole table removes no
 * row that is newer than the listing. In a new era of the store, rows are
 * compared by content: what a copy of the store brings back is no change.
 */

typedef struct {
	GHashTable *known;   /* from key to era_row_t */
	GHashTable *listed;  /* keys seen in the listing under way, or NULL */
	uint64_t listed_ver; /* table version of its first page; 0: none yet */
	uint64_t newest;     /* highest version of all rows */
	uint64_t copy_end;   /* version of this era's first listing */
	/* Rows that a copy of the store lacks stay as they are known, until
	 * they are written or removed. */
	gboolean holds_lost;
} table_view_t;

/** typedef table_change_fn_t - Called for each changed row; removed rows have
 * no value. */
typedef void (*table_change_fn_t)(void *arg, const table_row_t *row);

void table_view_init(table_view_t *v);
void table_view_finish(table_view_t *v);

/** table_view_changes() - Apply changes; of each row, only the last one. */
void table_view_changes(table_view_t *v, const table_page_t *page,
    table_change_fn_t on_change, void *arg);

/** table_view_begin() - Start a listing of the whole table. */
void table_view_begin(table_view_t *v);

/**
 * table_view_page() - Apply a page of a listing.
 *
 * After the last page, rows that the listing lacks are reported as removed.
 */
void table_view_page(table_view_t *v, const table_page_t *page,
    table_change_fn_t on_change, void *arg);

/** table_view_is_stored() - Does the store hold a row as it is known? */
gboolean table_view_is_stored(const table_view_t *v, const char *key);

/**
 * typedef table_lost_fn_t - Called for each row that the store lost.
 * @key: its key
 * @stored: version of the older row in its place; 0: none
 */
typedef void (*table_lost_fn_t)(void *arg, const char *key, uint64_t stored);

/** table_view_lost() - Find rows that the store's copy lacks or has older. */
void table_view_lost(const table_view_t *v, table_lost_fn_t on_lost, void *arg);

#endif
