#include "state/block_map.h"

#include <string.h>

#include "base/error.h"

#define INDEX_SHIFT 16
#define INDEX_SIZE ((1u << 16) + 1)
#define ADDRESS_BITS 32

/* Last address of a prefix. */
static uint32_t
block_last(uint32_t address, uint8_t length)
{
	uint64_t size = UINT64_C(1) << (ADDRESS_BITS - length);

	return (uint32_t)(address + size - 1);
}

static gboolean
block_valid(const block_t *b)
{
	uint64_t size;

	if (b->length > ADDRESS_BITS)
		return FALSE;
	size = UINT64_C(1) << (ADDRESS_BITS - b->length);
	return (b->address & (size - 1)) == 0;
}

static void
tables_alloc(block_map_t *m, size_t room)
{
	m->addresses = g_new(uint32_t, room);
	m->lengths = g_new(uint8_t, room);
	m->sites = g_new(site_id_t, room);
	m->index = g_new0(uint32_t, INDEX_SIZE);
	m->n = 0;
}

void
block_map_init(block_map_t *m)
{
	m->version = 0;
	tables_alloc(m, 1);
}

void
block_map_finish(block_map_t *m)
{
	g_free(m->addresses);
	g_free(m->lengths);
	g_free(m->sites);
	g_free(m->index);
	memset(m, 0, sizeof(*m));
}

static void
index_build(block_map_t *m)
{
	size_t at = 0;
	uint32_t half;

	for (half = 0; half < INDEX_SIZE; half++) {
		while (at < m->n && m->addresses[at] >> INDEX_SHIFT < half)
			at++;
		m->index[half] = (uint32_t)at;
	}
}

/* Whether a block that begins at this address may follow the last block. */
static gboolean
may_append(const block_map_t *m, uint32_t address)
{
	if (m->n == 0)
		return TRUE;
	return address >
	    block_last(m->addresses[m->n - 1], m->lengths[m->n - 1]);
}

static gboolean
append(block_map_t *m, const block_t *b)
{
	if (!may_append(m, b->address))
		return FALSE;
	m->addresses[m->n] = b->address;
	m->lengths[m->n] = b->length;
	m->sites[m->n] = b->site;
	m->n++;
	return TRUE;
}

/* Appends the blocks at .. to - 1 of another map. */
static gboolean
append_run(block_map_t *m, const block_map_t *from, size_t at, size_t to)
{
	size_t len = to - at;

	if (len == 0)
		return TRUE;
	if (!may_append(m, from->addresses[at]))
		return FALSE;
	memcpy(m->addresses + m->n, from->addresses + at,
	    len * sizeof(*m->addresses));
	memcpy(m->lengths + m->n, from->lengths + at, len);
	memcpy(m->sites + m->n, from->sites + at, len);
	m->n += len;
	return TRUE;
}

static void
replace(block_map_t *m, block_map_t *by, uint64_t version)
{
	block_map_finish(m);
	*m = *by;
	m->version = version;
	index_build(m);
}

static gboolean
refuse(GError **err, const char *step, const char *why, size_t i)
{
	error_set(err, ERROR_INVALID, step, "-", "%s: entry %zu", why, i);
	return FALSE;
}

gboolean
block_map_load(block_map_t *m, uint64_t version, const block_t *blocks,
    size_t n, GError **err)
{
	block_map_t next;
	size_t i;

	if (n > BLOCKS_MAX)
		return refuse(err, "blocks.load", "too many blocks", n);
	tables_alloc(&next, n + 1);
	for (i = 0; i < n; i++) {
		if (block_valid(&blocks[i]) &&
		    blocks[i].site != BLOCK_SITE_NONE &&
		    append(&next, &blocks[i]))
			continue;
		block_map_finish(&next);
		return refuse(err, "blocks.load",
		    "block malformed, out of order or overlapping", i);
	}
	replace(m, &next, version);
	return TRUE;
}

/* The first block from @lo to @hi - 1 that begins at this address or later. */
static size_t
lower_bound(const block_map_t *m, size_t lo, size_t hi, uint32_t address)
{
	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (m->addresses[mid] < address)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

static size_t
find_start(const block_map_t *m, uint32_t address)
{
	uint32_t half = address >> INDEX_SHIFT;

	return lower_bound(m, m->index[half], m->index[half + 1], address);
}

static gboolean
is_at(const block_map_t *m, size_t at, const block_t *b)
{
	return at < m->n && m->addresses[at] == b->address &&
	    m->lengths[at] == b->length;
}

/* Checks that all changes are well formed and in order. */
static gboolean
changes_valid(const block_t *changes, size_t n, GError **err)
{
	size_t i;

	for (i = 0; i < n; i++) {
		const block_t *c = &changes[i], *previous = c - 1;

		if (!block_valid(c))
			return refuse(
			    err, "blocks.apply", "malformed prefix", i);
		if (i > 0 &&
		    (previous->address > c->address ||
			(previous->address == c->address &&
			    previous->length >= c->length)))
			return refuse(err, "blocks.apply", "out of order", i);
	}
	return TRUE;
}

/* Whether every change sets the site of an existing block. */
static gboolean
sites_only(const block_map_t *m, const block_t *changes, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (changes[i].site == BLOCK_SITE_NONE ||
		    !is_at(m, find_start(m, changes[i].address), &changes[i]))
			return FALSE;
	}
	return TRUE;
}

static void
set_sites(block_map_t *m, const block_t *changes, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		m->sites[find_start(m, changes[i].address)] = changes[i].site;
}

/* Copies the map and applies the changes to the copy. */
static gboolean
merge(const block_map_t *m, block_map_t *next, const block_t *changes, size_t n,
    GError **err)
{
	size_t i, at = 0;

	for (i = 0; i < n; i++) {
		const block_t *c = &changes[i];
		size_t to = lower_bound(m, at, m->n, c->address);
		gboolean known;

		if (!append_run(next, m, at, to))
			return refuse(err, "blocks.apply", "overlap", i);
		known = is_at(m, to, c);
		at = known ? to + 1 : to;
		if (c->site == BLOCK_SITE_NONE) {
			if (!known)
				return refuse(
				    err, "blocks.apply", "no such block", i);
		} else if (!append(next, c))
			return refuse(err, "blocks.apply", "overlap", i);
	}
	if (!append_run(next, m, at, m->n))
		return refuse(err, "blocks.apply", "overlap", n);
	if (next->n > BLOCKS_MAX)
		return refuse(err, "blocks.apply", "too many blocks", n);
	return TRUE;
}

gboolean
block_map_apply(block_map_t *m, uint64_t version, const block_t *changes,
    size_t n, GError **err)
{
	block_map_t next;

	if (version != m->version + 1) {
		error_set(err, ERROR_CONFLICT, "blocks.apply", "-",
		    "change set %" G_GUINT64_FORMAT
		    " does not follow version %" G_GUINT64_FORMAT,
		    version, m->version);
		return FALSE;
	}
	if (n > BLOCKS_MAX)
		return refuse(err, "blocks.apply", "too many changes", n);
	if (!changes_valid(changes, n, err))
		return FALSE;
	if (sites_only(m, changes, n)) {
		set_sites(m, changes, n);
		m->version = version;
		return TRUE;
	}
	tables_alloc(&next, m->n + n + 1);
	if (!merge(m, &next, changes, n, err)) {
		block_map_finish(&next);
		return FALSE;
	}
	replace(m, &next, version);
	return TRUE;
}

site_id_t
block_map_find(const block_map_t *m, uint32_t address)
{
	size_t at = find_start(m, address);

	if (at < m->n && m->addresses[at] == address)
		return m->sites[at];
	if (at == 0)
		return BLOCK_SITE_NONE;
	at--;
	if (address > block_last(m->addresses[at], m->lengths[at]))
		return BLOCK_SITE_NONE;
	return m->sites[at];
}

block_t
block_map_get(const block_map_t *m, size_t i)
{
	block_t b = {m->addresses[i], m->lengths[i], m->sites[i]};

	return b;
}
