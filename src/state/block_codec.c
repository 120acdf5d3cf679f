#include "state/block_codec.h"

#include <string.h>

#include <sodium.h>

#include "base/error.h"

#define MAGIC "ggb1"
#define MAGIC_SIZE 4
#define HEADER_SIZE (MAGIC_SIZE + 1 + 8 + 4)
#define HASH_SIZE crypto_generichash_BYTES
#define BLOCK_SIZE_MIN 3 /* least bytes of a block: length, site, distance */
#define ADDRESS_BITS 32
#define VARINT_BITS 7
#define VARINT_MORE 0x80

typedef struct {
	const uint8_t *at, *end;
} reader_t;

static void
put_int(GByteArray *out, uint64_t value, int bytes)
{
	while (bytes-- > 0) {
		uint8_t byte = (uint8_t)(value >> (8 * bytes));

		g_byte_array_append(out, &byte, 1);
	}
}

static uint64_t
get_int(reader_t *r, int bytes)
{
	uint64_t value = 0;

	while (bytes-- > 0)
		value = value << 8 | *r->at++;
	return value;
}

static void
put_block(GByteArray *out, uint32_t previous, const block_t *b)
{
	int shift = ADDRESS_BITS - b->length;
	uint64_t distance =
	    ((uint64_t)b->address >> shift) - ((uint64_t)previous >> shift);
	uint8_t bytes[8] = {b->length, b->site};
	guint n = 2;

	while (distance >= VARINT_MORE) {
		bytes[n++] = (uint8_t)(distance | VARINT_MORE);
		distance >>= VARINT_BITS;
	}
	bytes[n++] = (uint8_t)distance;
	g_byte_array_append(out, bytes, n);
}

static gboolean
get_distance(reader_t *r, uint64_t *distance)
{
	int shift;

	*distance = 0;
	for (shift = 0; shift <= ADDRESS_BITS && r->at < r->end;
	     shift += VARINT_BITS) {
		uint8_t byte = *r->at++;

		*distance |= (uint64_t)(byte & ~VARINT_MORE) << shift;
		if ((byte & VARINT_MORE) == 0)
			return TRUE;
	}
	return FALSE;
}

static gboolean
get_block(reader_t *r, uint32_t previous, block_t *b)
{
	uint64_t distance, address;
	int shift;

	if (r->end - r->at < BLOCK_SIZE_MIN)
		return FALSE;
	b->length = *r->at++;
	b->site = *r->at++;
	if (b->length > ADDRESS_BITS || !get_distance(r, &distance))
		return FALSE;
	shift = ADDRESS_BITS - b->length;
	address = (((uint64_t)previous >> shift) + distance) << shift;
	if (address > UINT32_MAX)
		return FALSE;
	b->address = (uint32_t)address;
	return TRUE;
}

static void
put_header(GByteArray *out, block_kind_t kind, uint64_t version, size_t n)
{
	g_byte_array_append(out, (const guint8 *)MAGIC, MAGIC_SIZE);
	put_int(out, kind, 1);
	put_int(out, version, 8);
	put_int(out, n, 4);
}

static void
put_hash(GByteArray *out, guint from)
{
	uint8_t hash[HASH_SIZE];

	crypto_generichash(
	    hash, sizeof(hash), out->data + from, out->len - from, NULL, 0);
	g_byte_array_append(out, hash, sizeof(hash));
}

void
block_snapshot_encode(const block_map_t *m, GByteArray *out)
{
	guint from = out->len;
	uint32_t previous = 0;
	size_t i;

	put_header(out, BLOCK_SNAPSHOT, m->version, m->n);
	for (i = 0; i < m->n; i++) {
		block_t b = block_map_get(m, i);

		put_block(out, previous, &b);
		previous = b.address;
	}
	put_hash(out, from);
}

void
block_changes_encode(
    uint64_t version, const block_t *changes, size_t n, GByteArray *out)
{
	guint from = out->len;
	uint32_t previous = 0;
	size_t i;

	put_header(out, BLOCK_CHANGES, version, n);
	for (i = 0; i < n; i++) {
		put_block(out, previous, &changes[i]);
		previous = changes[i].address;
	}
	put_hash(out, from);
}

static gboolean
hash_is_valid(const uint8_t *data, size_t len)
{
	uint8_t hash[HASH_SIZE];

	crypto_generichash(hash, sizeof(hash), data, len - HASH_SIZE, NULL, 0);
	return memcmp(hash, data + len - HASH_SIZE, HASH_SIZE) == 0;
}

/* Return: the blocks, to be freed with g_free(); NULL on error. */
static block_t *
decode(block_kind_t kind, const uint8_t *data, size_t len, uint64_t *version,
    size_t *n)
{
	reader_t r = {data, data};
	uint32_t previous = 0;
	block_t *blocks;
	size_t i;

	if (len < HEADER_SIZE + HASH_SIZE ||
	    memcmp(data, MAGIC, MAGIC_SIZE) != 0 ||
	    data[MAGIC_SIZE] != (uint8_t)kind || !hash_is_valid(data, len))
		return NULL;
	r.at += MAGIC_SIZE + 1;
	r.end = data + len - HASH_SIZE;
	*version = get_int(&r, 8);
	*n = get_int(&r, 4);
	if (*n > (size_t)(r.end - r.at) / BLOCK_SIZE_MIN)
		return NULL;
	blocks = g_new(block_t, *n + 1);
	for (i = 0; i < *n; i++) {
		if (!get_block(&r, previous, &blocks[i]))
			break;
		previous = blocks[i].address;
	}
	if (i == *n && r.at == r.end)
		return blocks;
	g_free(blocks);
	return NULL;
}

gboolean
block_snapshot_load(
    block_map_t *m, const uint8_t *data, size_t len, GError **err)
{
	uint64_t version;
	gboolean loaded;
	block_t *blocks;
	size_t n;

	blocks = decode(BLOCK_SNAPSHOT, data, len, &version, &n);
	if (blocks == NULL) {
		error_set(err, ERROR_INVALID, "blocks.snapshot", "-",
		    "damaged, or not a snapshot: %zu bytes", len);
		return FALSE;
	}
	loaded = block_map_load(m, version, blocks, n, err);
	g_free(blocks);
	return loaded;
}

gboolean
block_changes_apply(
    block_map_t *m, const uint8_t *data, size_t len, GError **err)
{
	uint64_t version;
	gboolean applied;
	block_t *blocks;
	size_t n;

	blocks = decode(BLOCK_CHANGES, data, len, &version, &n);
	if (blocks == NULL) {
		error_set(err, ERROR_INVALID, "blocks.changes", "-",
		    "damaged, or not a change set: %zu bytes", len);
		return FALSE;
	}
	applied = block_map_apply(m, version, blocks, n, err);
	g_free(blocks);
	return applied;
}
