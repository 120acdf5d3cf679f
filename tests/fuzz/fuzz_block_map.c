#include <sodium.h>

#include "routing_fuzz.h"
#include "state/block_codec.h"

/*
 * Applies change sets, valid or not, and loads snapshots that are valid,
 * damaged, or damaged with a matching hash. The oracle is a list of blocks with
 * a linear search. A refused change set or snapshot leaves the map unchanged;
 * an accepted one is applied completely.
 */

#define LIST_MAX 64
#define CHANGES_MAX 5
#define OPS_MAX 8
#define HASH_BYTES 32
#define HEADER_BYTES 17

typedef struct {
	block_t blocks[LIST_MAX];
	size_t n;
	uint64_t version;
} list_t;

static uint32_t
last_of(const block_t *b)
{
	return b->address + (uint32_t)((1ULL << (32 - b->length)) - 1);
}

static int
by_prefix(const void *a, const void *b)
{
	const block_t *x = a, *y = b;

	if (x->address != y->address)
		return x->address < y->address ? -1 : 1;
	return (int)x->length - (int)y->length;
}

static gboolean
well_formed(const block_t *b)
{
	return b->length <= 32 &&
	    (b->address & (uint32_t)((1ULL << (32 - b->length)) - 1)) == 0;
}

static gboolean
overlap(const block_t *a, const block_t *b)
{
	return a->address <= last_of(b) && b->address <= last_of(a);
}

/* Adds a block unless it overlaps another one. */
static gboolean
list_put(list_t *l, const block_t *b)
{
	size_t i;

	for (i = 0; i < l->n; i++) {
		if (overlap(&l->blocks[i], b))
			return FALSE;
	}
	l->blocks[l->n++] = *b;
	return TRUE;
}

static gboolean
list_remove(list_t *l, const block_t *b)
{
	size_t i;

	for (i = 0; i < l->n; i++) {
		if (by_prefix(&l->blocks[i], b) != 0)
			continue;
		l->blocks[i] = l->blocks[--l->n];
		return TRUE;
	}
	return FALSE;
}

static gboolean
list_apply(list_t *l, const block_t *changes, size_t n)
{
	list_t next = *l;
	size_t i;

	for (i = 0; i < n; i++) {
		if (!well_formed(&changes[i]) ||
		    (i > 0 && by_prefix(&changes[i - 1], &changes[i]) >= 0))
			return FALSE;
	}
	for (i = 0; i < n; i++) {
		if (!list_remove(&next, &changes[i]) &&
		    changes[i].site == BLOCK_SITE_NONE)
			return FALSE;
	}
	for (i = 0; i < n; i++) {
		if (changes[i].site != BLOCK_SITE_NONE &&
		    !list_put(&next, &changes[i]))
			return FALSE;
	}
	next.version++;
	*l = next;
	return TRUE;
}

static site_id_t
list_find(const list_t *l, uint32_t address)
{
	size_t i;

	for (i = 0; i < l->n; i++) {
		if (address >= l->blocks[i].address &&
		    address <= last_of(&l->blocks[i]))
			return l->blocks[i].site;
	}
	return BLOCK_SITE_NONE;
}

static void
check(const block_map_t *m, const list_t *l)
{
	uint32_t first, last;
	size_t i;

	ORACLE(m->n == l->n);
	ORACLE(m->version == l->version);
	ORACLE(block_map_find(m, 0) == list_find(l, 0));
	ORACLE(block_map_find(m, UINT32_MAX) == list_find(l, UINT32_MAX));
	for (i = 0; i < l->n; i++) {
		first = l->blocks[i].address;
		last = last_of(&l->blocks[i]);
		ORACLE(block_map_find(m, first) == l->blocks[i].site);
		ORACLE(block_map_find(m, last) == l->blocks[i].site);
		ORACLE(block_map_find(m, first + (last - first) / 2) ==
		    l->blocks[i].site);
		ORACLE(block_map_find(m, first - 1) == list_find(l, first - 1));
		ORACLE(block_map_find(m, last + 1) == list_find(l, last + 1));
	}
}

/* A block on either side of the edges of a /16, a half or the whole space. */
static block_t
make_block(input_t *in, const list_t *l)
{
	static const uint32_t edges[] = {0, 0x0affff80, 0x7fffff80, 0xffffff00};
	uint8_t kind = input_byte(in);
	block_t b = {edges[kind % 4] + input_byte(in), 0, input_byte(in)};
	const block_t *held;

	if (kind & 64 && l->n > 0) {
		held = &l->blocks[b.address % l->n];
		b.address = held->address;
		b.length = held->length;
	} else {
		b.length = kind & 32 ? (uint8_t)(24 + input_below(in, 9))
				     : (uint8_t)input_below(in, 34);
	}
	if (kind & 16)
		b.site = BLOCK_SITE_NONE;
	if (kind != 255 && b.length <= 32)
		b.address &= (uint32_t) ~((1ULL << (32 - b.length)) - 1);
	return b;
}

static void
do_changes(block_map_t *m, list_t *l, input_t *in)
{
	uint8_t choice = input_byte(in);
	size_t i, n = 1 + choice % CHANGES_MAX;
	uint64_t version = l->version + 1 + (choice == 255);
	block_t changes[CHANGES_MAX];
	gboolean expected;

	if (l->n + n > LIST_MAX)
		return;
	for (i = 0; i < n; i++)
		changes[i] = make_block(in, l);
	if (choice < 250)
		qsort(changes, n, sizeof(*changes), by_prefix);
	expected = version == l->version + 1 && list_apply(l, changes, n);
	ORACLE(block_map_apply(m, version, changes, n, NULL) == expected);
	check(m, l);
}

static void
update_hash(GByteArray *bytes)
{
	guint len = bytes->len - HASH_BYTES;

	crypto_generichash(
	    bytes->data + len, HASH_BYTES, bytes->data, len, NULL, 0);
}

/* The map's blocks as a list; they must be sorted and must not overlap. */
static void
list_of(const block_map_t *m, list_t *l)
{
	size_t i;

	ORACLE(m->n <= LIST_MAX);
	l->n = 0;
	l->version = m->version;
	for (i = 0; i < m->n; i++) {
		l->blocks[i] = block_map_get(m, i);
		ORACLE(well_formed(&l->blocks[i]));
		ORACLE(l->blocks[i].site != BLOCK_SITE_NONE);
		ORACLE(i == 0 ||
		    last_of(&l->blocks[i - 1]) < l->blocks[i].address);
		l->n++;
	}
}

/* The number of blocks in a snapshot's header. */
static size_t
header_count(const GByteArray *bytes)
{
	const uint8_t *at = bytes->data + HEADER_BYTES - 4;

	return (size_t)at[0] << 24 | at[1] << 16 | at[2] << 8 | at[3];
}

static void
do_snapshot(block_map_t *m, list_t *l, input_t *in)
{
	GByteArray *bytes = g_byte_array_new(), *valid = g_byte_array_new();
	unsigned int damages = input_below(in, 4);
	gboolean hash_matches = input_byte(in) & 1, damaged, loaded;

	block_snapshot_encode(m, valid);
	g_byte_array_append(bytes, valid->data, valid->len);
	for (; damages > 0; damages--)
		bytes->data[input_below(in, bytes->len)] ^= input_byte(in);
	if (input_below(in, 4) == 3)
		g_byte_array_set_size(bytes, input_below(in, bytes->len));
	damaged = bytes->len != valid->len ||
	    memcmp(bytes->data, valid->data, valid->len) != 0;
	if (hash_matches && bytes->len > HEADER_BYTES + HASH_BYTES)
		update_hash(bytes);
	loaded = block_snapshot_load(m, bytes->data, bytes->len, NULL);
	ORACLE(loaded ? !damaged || hash_matches : damaged);
	if (loaded && broken("half"))
		m->n /= 2;
	if (loaded && damaged) {
		ORACLE(m->n == header_count(bytes));
		list_of(m, l);
	}
	check(m, l);
	g_byte_array_free(bytes, TRUE);
	g_byte_array_free(valid, TRUE);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	input_t in = {data, size, 0};
	list_t l = {.n = 0};
	block_map_t m;
	int ops;

	block_map_init(&m);
	for (ops = 0; ops < OPS_MAX && input_left(&in); ops++) {
		if (input_below(&in, 3) < 2)
			do_changes(&m, &l, &in);
		else
			do_snapshot(&m, &l, &in);
	}
	block_map_finish(&m);
	return 0;
}
