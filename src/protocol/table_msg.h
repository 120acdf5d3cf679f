#ifndef PROTOCOL_TABLE_MSG_H
#define PROTOCOL_TABLE_MSG_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"

/* Rows of a transactional table store, as passed on by its client. */

typedef struct {
	char *key;
	char *value;  /* NUL-terminated, may contain NULs; NULL: removed */
	size_t len;   /* of the value, in bytes */
	uint64_t ver; /* of the transaction that wrote it */
} table_row_t;

typedef struct {
	GPtrArray *rows; /* table_row_t, in the order of the answer */
	uint64_t ver;	 /* newest version of the store */
	msec_t store_ms; /* the store's monotonic clock */
	gboolean more;	 /* more pages follow */
} table_page_t;

/** table_row_copy() - Copy a row; to be freed with table_row_free(). */
table_row_t *table_row_copy(const table_row_t *row);
void table_row_free(void *row);

void table_page_init(table_page_t *page);
void table_page_finish(table_page_t *page);
table_row_t *table_page_add(table_page_t *page);

/**
 * table_page_end() - Version up to which a page of changes holds all of them.
 *
 * If more changes follow, the page may end within a transaction.
 */
uint64_t table_page_end(const table_page_t *page);

/**
 * table_page_set_era() - Put the store's era into all versions of a page.
 *
 * Return: FALSE if a version or the era is out of range.
 */
gboolean table_page_set_era(table_page_t *page, uint64_t era);

/* A row to be written, optionally only if it is unchanged since it was read. */
typedef struct {
	const char *table;
	const char *key;
	const char *value; /* NULL: remove the row */
	gboolean checked;  /* write only at the expected version */
	uint64_t expected; /* version that the row must have; 0: absent */
} table_change_t;

#define TABLE_CHANGES_MAX 16

typedef struct {
	table_change_t changes[TABLE_CHANGES_MAX];
	guint n;
} table_write_t;

/** table_write_put() - Add a row to a transaction. */
void table_write_put(
    table_write_t *w, const char *table, const char *key, const char *value);

/** table_write_put_if() - The same, on condition of the row's version. */
void table_write_put_if(table_write_t *w, const char *table, const char *key,
    const char *value, uint64_t expected);

#endif
