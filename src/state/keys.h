#ifndef STATE_KEYS_H
#define STATE_KEYS_H

#include <stdint.h>

#include <glib.h>

#include "state/digest.h"

/*
 * The callers' keys that this host knows, by digest. Rows are only added, and
 * a withdrawal wins over an issue for ever, so merging is idempotent and rows
 * may arrive in any order, late or doubled.
 *
 * Versions are the store's. The table is complete up to a version when it
 * holds every row that the store committed at or below it. A withdrawal told
 * by a peer before it is in the store is pending: withdrawn here, with no
 * version of its own.
 */

typedef struct {
	digest_t digest;
	uint64_t version; /* of the row in the store; 0: not seen there */
	GQuark workspace; /* 0 until the issue is known */
	gboolean withdrawn : 1;
	gboolean pending : 1; /* withdrawn, and not known to be stored */
} key_entry_t;

/* One row as it comes from the store or a peer. */
typedef struct {
	digest_t digest;
	const char *workspace; /* NULL: not known to the sender */
	uint64_t version;      /* 0: a withdrawal that is not stored yet */
	gboolean withdrawn;
} key_row_t;

typedef struct {
	GHashTable *index;  /* set of key_entry_t by digest */
	GPtrArray *blocks;  /* arrays of key_entry_t, never moved */
	guint block_used;   /* entries used in the last block */
	GArray *by_version; /* ascending, superseded records skipped */
	GPtrArray *pending; /* key_entry_t, those with pending set */
	uint64_t complete;
} keys_t;

void keys_init(keys_t *k);
void keys_finish(keys_t *k);

/**
 * keys_merge() - Take in one row.
 * @k: the table
 * @row: the row
 *
 * Return: TRUE if the table changed.
 */
gboolean keys_merge(keys_t *k, const key_row_t *row);

/**
 * keys_merged_range() - Note that all rows of a range have been merged.
 * @k: the table
 * @since: version after which the rows were asked for
 * @upto: version up to which the answer was whole
 *
 * Ignored where rows between the present complete version and @since may be
 * missing.
 */
void keys_merged_range(keys_t *k, uint64_t since, uint64_t upto);

/**
 * keys_complete() - Version up to which nothing is missing.
 * @k: the table
 *
 * Return: the version; 0 for a table that was never complete.
 */
uint64_t keys_complete(const keys_t *k);

/**
 * keys_find() - Look up a digest.
 * @k: the table
 * @digest: digest of the key
 *
 * Return: the entry, good until keys_finish(), or NULL.
 */
const key_entry_t *keys_find(const keys_t *k, const digest_t *digest);

/**
 * keys_delta() - Collect rows for a peer.
 * @k: the table
 * @since: version up to which the peer is complete
 * @max: most stored rows to collect; pending ones come in addition
 * @rows: key_row_t are appended; their workspace names are never freed
 *
 * Return: version up to which the peer is complete once it has merged these;
 * less than keys_complete() if more are to be asked for.
 */
uint64_t keys_delta(const keys_t *k, uint64_t since, guint max, GArray *rows);

/**
 * keys_pending() - Withdrawals that the store may not hold.
 * @k: the table
 *
 * Return: array of const key_entry_t *, owned by the table and changed by the
 * next merge.
 */
const GPtrArray *keys_pending(const keys_t *k);

guint keys_count(const keys_t *k);

#endif
