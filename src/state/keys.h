#ifndef STATE_KEYS_H
#define STATE_KEYS_H

#include <stdint.h>

#include <glib.h>

#include "state/digest.h"

/*
 * The callers' keys that this host knows, by digest. Entries are never removed,
 * and a withdrawn key stays withdrawn even if its issue arrives later. Merging
 * is therefore idempotent, and rows may arrive in any order, late or more than
 * once.
 *
 * Versions are those of the store. The table is complete up to a version if it
 * holds every row that the store committed at or below that version. A
 * withdrawal received from a peer before it is in the store is pending: the key
 * counts as withdrawn here, but the withdrawal has no version.
 */

typedef struct {
	digest_t digest;
	uint64_t version; /* version of the row in the store; 0: not stored */
	GQuark workspace; /* 0 until the issue is known */
	gboolean withdrawn : 1;
	gboolean pending : 1; /* withdrawal is not known to be stored */
} key_entry_t;

/* One row as received from the store or a peer. */
typedef struct {
	digest_t digest;
	const char *workspace; /* NULL: unknown to the sender */
	uint64_t version;      /* 0: a withdrawal that is not stored yet */
	gboolean withdrawn;
} key_row_t;

typedef struct {
	GHashTable *index;  /* set of key_entry_t by digest */
	GPtrArray *blocks;  /* arrays of key_entry_t, never moved */
	guint block_used;   /* entries in use in the last block */
	GArray *by_version; /* ascending; readers skip superseded records */
	GPtrArray *pending; /* key_entry_t with pending set */
	uint64_t complete;  /* see keys_complete() */
} keys_t;

void keys_init(keys_t *k);
void keys_finish(keys_t *k);

/**
 * keys_merge() - Merge one row into the table.
 * @k: the table
 * @row: the row
 *
 * Return: TRUE if the table changed.
 */
gboolean keys_merge(keys_t *k, const key_row_t *row);

/**
 * keys_merged_range() - Record that all rows of a range have been merged.
 * @k: the table
 * @since: version after which rows were requested
 * @upto: version up to which the answer was complete
 *
 * Ignored if @since is above the complete version, because rows between the
 * two may be missing.
 */
void keys_merged_range(keys_t *k, uint64_t since, uint64_t upto);

/**
 * keys_complete() - Get the version up to which no row is missing.
 * @k: the table
 *
 * Return: the version; 0 if the table has never been complete.
 */
uint64_t keys_complete(const keys_t *k);

/**
 * keys_find() - Look up a digest.
 * @k: the table
 * @digest: digest of the key
 *
 * Return: the entry, valid until keys_finish(), or NULL.
 */
const key_entry_t *keys_find(const keys_t *k, const digest_t *digest);

/**
 * keys_delta() - Collect rows for a peer.
 * @k: the table
 * @since: version up to which the peer is complete
 * @max: most stored rows to collect, not counting pending ones; exceeded to
 *	keep the rows of one version together
 * @rows: array of key_row_t, to which the rows are appended; their workspace
 *	names are never freed
 *
 * Return: version up to which the peer is complete once it has merged the
 * rows; less than keys_complete() if the peer has to request more.
 */
uint64_t keys_delta(const keys_t *k, uint64_t since, guint max, GArray *rows);

/**
 * keys_pending() - Get the withdrawals that may not be in the store yet.
 * @k: the table
 *
 * Return: array of const key_entry_t *, owned by the table; the next merge may
 * change it.
 */
const GPtrArray *keys_pending(const keys_t *k);

guint keys_count(const keys_t *k);

#endif
