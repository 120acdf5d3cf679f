#include <string.h>

#include "state/keys.h"

#define BLOCK_ENTRIES 128
/* Superseded records allowed before a compaction, besides one per key. */
#define SUPERSEDED_MAX 64

typedef struct {
	uint64_t version;
	key_entry_t *entry;
} version_record_t;

static guint
entry_hash(gconstpointer p)
{
	const key_entry_t *e = p;
	guint h;

	memcpy(&h, e->digest.bytes, sizeof(h));
	return h;
}

static gboolean
entry_equal(gconstpointer a, gconstpointer b)
{
	const key_entry_t *x = a, *y = b;

	return digest_equal(&x->digest, &y->digest);
}

void
keys_init(keys_t *k)
{
	memset(k, 0, sizeof(*k));
	k->index = g_hash_table_new(entry_hash, entry_equal);
	k->blocks = g_ptr_array_new_with_free_func(g_free);
	k->block_used = BLOCK_ENTRIES;
	k->by_version = g_array_new(FALSE, FALSE, sizeof(version_record_t));
	k->pending = g_ptr_array_new();
}

void
keys_finish(keys_t *k)
{
	g_hash_table_destroy(k->index);
	g_ptr_array_free(k->blocks, TRUE);
	g_array_free(k->by_version, TRUE);
	g_ptr_array_free(k->pending, TRUE);
	memset(k, 0, sizeof(*k));
}

static key_entry_t *
find(const keys_t *k, const digest_t *digest)
{
	key_entry_t probe;

	probe.digest = *digest;
	return g_hash_table_lookup(k->index, &probe);
}

static key_entry_t *
entry_add(keys_t *k, const digest_t *digest)
{
	key_entry_t *block, *e;

	if (k->block_used == BLOCK_ENTRIES) {
		block = g_new0(key_entry_t, BLOCK_ENTRIES);
		g_ptr_array_add(k->blocks, block);
		k->block_used = 0;
	}
	block = g_ptr_array_index(k->blocks, k->blocks->len - 1);
	e = &block[k->block_used++];
	e->digest = *digest;
	g_hash_table_add(k->index, e);
	return e;
}

static const version_record_t *
record_at(const keys_t *k, guint i)
{
	return &g_array_index(k->by_version, version_record_t, i);
}

/* Index of the first record with a version above the given version. */
static guint
record_after(const keys_t *k, uint64_t version)
{
	guint low = 0, high = k->by_version->len, mid;

	while (low < high) {
		mid = low + (high - low) / 2;
		if (record_at(k, mid)->version <= version)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static void
records_compact(keys_t *k)
{
	const version_record_t *r;
	guint i, kept = 0;

	for (i = 0; i < k->by_version->len; i++) {
		r = record_at(k, i);
		if (r->entry->version == r->version)
			g_array_index(k->by_version, version_record_t, kept++) =
			    *r;
	}
	g_array_set_size(k->by_version, kept);
}

static void
entry_set_version(keys_t *k, key_entry_t *e, uint64_t version)
{
	version_record_t r = {version, e};

	e->version = version;
	g_array_insert_val(k->by_version, record_after(k, version), r);
	if (k->by_version->len > 2 * keys_count(k) + SUPERSEDED_MAX)
		records_compact(k);
}

static void
entry_withdraw(keys_t *k, key_entry_t *e, gboolean stored)
{
	if (!e->withdrawn && !stored) {
		e->pending = TRUE;
		g_ptr_array_add(k->pending, e);
	}
	if (e->pending && stored) {
		e->pending = FALSE;
		g_ptr_array_remove_fast(k->pending, e);
	}
	e->withdrawn = TRUE;
}

gboolean
keys_merge(keys_t *k, const key_row_t *row)
{
	key_entry_t *e = find(k, &row->digest);
	key_entry_t before;

	if (e == NULL)
		e = entry_add(k, &row->digest);
	before = *e;
	if (e->workspace == 0 && row->workspace != NULL)
		e->workspace = g_quark_from_string(row->workspace);
	if (row->withdrawn)
		entry_withdraw(k, e, row->version != 0);
	if (row->version > e->version)
		entry_set_version(k, e, row->version);
	return before.version != e->version ||
	    before.workspace != e->workspace ||
	    before.withdrawn != e->withdrawn || before.pending != e->pending;
}

void
keys_merged_range(keys_t *k, uint64_t since, uint64_t upto)
{
	if (since <= k->complete && upto > k->complete)
		k->complete = upto;
}

uint64_t
keys_complete(const keys_t *k)
{
	return k->complete;
}

const key_entry_t *
keys_find(const keys_t *k, const digest_t *digest)
{
	return find(k, digest);
}

static void
row_append(GArray *rows, const key_entry_t *e, gboolean stored)
{
	key_row_t row = {0};

	row.digest = e->digest;
	row.workspace =
	    e->workspace == 0 ? NULL : g_quark_to_string(e->workspace);
	row.version = stored ? e->version : 0;
	row.withdrawn = stored ? e->withdrawn && !e->pending : TRUE;
	g_array_append_val(rows, row);
}

uint64_t
keys_delta(const keys_t *k, uint64_t since, guint max, GArray *rows)
{
	const version_record_t *r;
	uint64_t last = since;
	guint i, taken = 0;

	for (i = 0; i < k->pending->len; i++)
		row_append(rows, g_ptr_array_index(k->pending, i), FALSE);
	for (i = record_after(k, since); i < k->by_version->len; i++) {
		r = record_at(k, i);
		if (r->entry->version != r->version)
			continue;
		/* Rows of one commit share a version and stay together. */
		if (taken >= max && r->version > last)
			return MIN(last, k->complete);
		row_append(rows, r->entry, TRUE);
		last = r->version;
		taken++;
	}
	return k->complete;
}

const GPtrArray *
keys_pending(const keys_t *k)
{
	return k->pending;
}

guint
keys_count(const keys_t *k)
{
	return g_hash_table_size(k->index);
}
