#include <string.h>

#include "base/error.h"
#include "state/block_codec.h"
#include "suite.h"

/*
 * The oracle stores, for each of a few addresses, its site and the block that
 * it belongs to. It applies a change set to a copy, address by address.
 */

#define ORIGIN 0x0affff80u /* blocks lie on both sides of a /16 boundary */
#define SPACE 256
#define ROUNDS 4000
#define CHANGES_MAX 6
#define SEED 7

typedef struct {
	uint64_t version;
	uint8_t site[SPACE];
	uint32_t start[SPACE];
	uint8_t length[SPACE];
} oracle_t;

static void
oracle_init(oracle_t *o)
{
	memset(o, 0, sizeof(*o));
	memset(o->site, BLOCK_SITE_NONE, sizeof(o->site));
}

/* Return: how many addresses belong to exactly the block of the change */
static uint32_t
oracle_held(const oracle_t *o, const block_t *c)
{
	uint32_t i, held = 0, size = 1u << (32 - c->length);

	for (i = 0; i < size; i++) {
		uint32_t at = c->address - ORIGIN + i;

		held += o->site[at] != BLOCK_SITE_NONE &&
		    o->start[at] == c->address && o->length[at] == c->length;
	}
	return held;
}

static void
oracle_put(oracle_t *o, const block_t *c, uint8_t site)
{
	uint32_t i, size = 1u << (32 - c->length);

	for (i = 0; i < size; i++) {
		uint32_t at = c->address - ORIGIN + i;

		o->site[at] = site;
		o->start[at] = c->address;
		o->length[at] = c->length;
	}
}

static gboolean
oracle_empty(const oracle_t *o, const block_t *c)
{
	uint32_t i, size = 1u << (32 - c->length);

	for (i = 0; i < size; i++) {
		if (o->site[c->address - ORIGIN + i] != BLOCK_SITE_NONE)
			return FALSE;
	}
	return TRUE;
}

/* Removes all blocks that the changes name, then adds the new ones. */
static gboolean
oracle_apply(oracle_t *o, const block_t *changes, size_t n)
{
	oracle_t next = *o;
	size_t i;

	for (i = 0; i < n; i++) {
		if (oracle_held(o, &changes[i]) > 0)
			oracle_put(&next, &changes[i], BLOCK_SITE_NONE);
		else if (changes[i].site == BLOCK_SITE_NONE)
			return FALSE;
	}
	for (i = 0; i < n; i++) {
		if (changes[i].site == BLOCK_SITE_NONE)
			continue;
		if (!oracle_empty(&next, &changes[i]))
			return FALSE;
		oracle_put(&next, &changes[i], changes[i].site);
	}
	next.version++;
	*o = next;
	return TRUE;
}

/* Return: offset of the first address where map and oracle differ, or SPACE */
static uint32_t
difference(const block_map_t *m, const oracle_t *o)
{
	uint32_t i;

	for (i = 0; i < SPACE; i++) {
		if (block_map_find(m, ORIGIN + i) != o->site[i])
			return i;
	}
	return SPACE;
}

static int
by_prefix(const void *a, const void *b)
{
	const block_t *x = a, *y = b;

	if (x->address != y->address)
		return x->address < y->address ? -1 : 1;
	return (int)x->length - (int)y->length;
}

/* About half of the changes name a block that is in the map already. */
static block_t
random_change(GRand *rand, const oracle_t *o)
{
	uint32_t at = g_rand_int(rand) % SPACE;
	uint8_t length = (uint8_t)g_rand_int_range(rand, 27, 33);
	block_t c = {ORIGIN + at, length, (site_id_t)(at % 5)};

	c.address &= ~((1u << (32 - length)) - 1);
	if (o->site[at] != BLOCK_SITE_NONE && g_rand_boolean(rand)) {
		c.address = o->start[at];
		c.length = o->length[at];
	}
	if (g_rand_int_range(rand, 0, 3) == 0)
		c.site = BLOCK_SITE_NONE;
	return c;
}

static size_t
random_changes(GRand *rand, const oracle_t *o, block_t *changes)
{
	int i, n = g_rand_int_range(rand, 1, CHANGES_MAX + 1);
	size_t kept = 0;

	for (i = 0; i < n; i++)
		changes[i] = random_change(rand, o);
	qsort(changes, (size_t)n, sizeof(*changes), by_prefix);
	for (i = 0; i < n; i++) {
		if (kept == 0 ||
		    by_prefix(&changes[kept - 1], &changes[i]) != 0)
			changes[kept++] = changes[i];
	}
	return kept;
}

static void
check_round_trip(const block_map_t *m, const oracle_t *o)
{
	GByteArray *bytes = g_byte_array_new();
	block_map_t copy;

	block_map_init(&copy);
	block_snapshot_encode(m, bytes);
	ck_assert(block_snapshot_load(&copy, bytes->data, bytes->len, NULL));
	ck_assert_uint_eq(copy.version, m->version);
	ck_assert_uint_eq(copy.n, m->n);
	ck_assert_uint_eq(difference(&copy, o), SPACE);
	block_map_finish(&copy);
	g_byte_array_free(bytes, TRUE);
}

static void
test_changes(void)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	size_t applied = 0, refused = 0;
	block_map_t m;
	oracle_t o;
	int round;

	block_map_init(&m);
	oracle_init(&o);
	for (round = 0; round < ROUNDS; round++) {
		GByteArray *bytes = g_byte_array_new();
		block_t changes[CHANGES_MAX];
		size_t n = random_changes(rand, &o, changes);
		gboolean fits = oracle_apply(&o, changes, n);

		block_changes_encode(m.version + 1, changes, n, bytes);
		ck_assert_int_eq(
		    block_changes_apply(&m, bytes->data, bytes->len, NULL),
		    fits);
		ck_assert_uint_eq(difference(&m, &o), SPACE);
		ck_assert_uint_eq(m.version, o.version);
		g_byte_array_free(bytes, TRUE);
		*(fits ? &applied : &refused) += 1;
		if (round % 50 == 0)
			check_round_trip(&m, &o);
	}
	ck_assert_uint_gt(applied, ROUNDS / 20);
	ck_assert_uint_gt(refused, ROUNDS / 20);
	ck_assert_uint_eq(block_map_find(&m, ORIGIN - 1), BLOCK_SITE_NONE);
	ck_assert_uint_eq(block_map_find(&m, UINT32_MAX), BLOCK_SITE_NONE);
	block_map_finish(&m);
	g_rand_free(rand);
}

/* The oracle must detect a block with a wrong site. */
static void
test_oracle_detects_wrong_site(void)
{
	const block_t blocks[] = {{ORIGIN, 30, 1}, {ORIGIN + 64, 28, 2}};
	block_map_t m;
	oracle_t o;

	block_map_init(&m);
	oracle_init(&o);
	ck_assert(oracle_apply(&o, blocks, 2));
	ck_assert(block_map_load(&m, 1, blocks, 2, NULL));
	ck_assert_uint_eq(difference(&m, &o), SPACE);
	m.sites[1] = 3;
	ck_assert_uint_eq(difference(&m, &o), 64);
	block_map_finish(&m);
}

static void
test_invalid_blocks(void)
{
	static const struct {
		const char *what;
		block_t blocks[2];
	} cases[] = {
	    {"out of order", {{512, 24, 1}, {256, 24, 1}}},
	    {"overlap", {{0, 16, 1}, {256, 24, 1}}},
	    {"host bits", {{0, 24, 1}, {257, 24, 1}}},
	    {"length", {{0, 24, 1}, {256, 33, 1}}},
	    {"no site", {{0, 24, 1}, {256, 24, BLOCK_SITE_NONE}}},
	    {"after the whole space", {{0, 0, 1}, {256, 24, 1}}},
	};
	const block_t good[] = {{0, 1, 4}, {0x80000000u, 1, 5}};
	block_map_t m;
	size_t i;

	block_map_init(&m);
	ck_assert(block_map_load(&m, 9, good, 2, NULL));
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		GError *err = NULL;

		ck_assert_msg(!block_map_load(&m, 10, cases[i].blocks, 2, &err),
		    "%s", cases[i].what);
		ck_assert_int_eq(err->code, ERROR_INVALID);
		g_error_free(err);
		ck_assert_uint_eq(m.version, 9);
		ck_assert_uint_eq(block_map_find(&m, 0x7fffffffu), 4);
		ck_assert_uint_eq(block_map_find(&m, UINT32_MAX), 5);
	}
	block_map_finish(&m);
}

static void
test_change_set_sequence(void)
{
	const block_t change = {256, 24, 1};
	block_map_t m;
	GError *err = NULL;

	block_map_init(&m);
	ck_assert(block_map_apply(&m, 1, &change, 1, NULL));
	ck_assert(!block_map_apply(&m, 1, &change, 1, &err));
	ck_assert_int_eq(err->code, ERROR_CONFLICT);
	g_clear_error(&err);
	ck_assert(!block_map_apply(&m, 3, &change, 1, &err));
	ck_assert_int_eq(err->code, ERROR_CONFLICT);
	g_clear_error(&err);
	ck_assert_uint_eq(m.version, 1);
	block_map_finish(&m);
}

/* Any altered or missing byte is refused, and the map stays unchanged. */
static void
test_damage(void)
{
	const block_t blocks[] = {{256, 24, 1}, {1u << 24, 8, 2}};
	GByteArray *bytes = g_byte_array_new();
	block_map_t m;
	guint i;

	block_map_init(&m);
	ck_assert(block_map_load(&m, 5, blocks, 2, NULL));
	block_snapshot_encode(&m, bytes);
	for (i = 0; i < bytes->len; i++) {
		bytes->data[i] ^= 1;
		ck_assert(
		    !block_snapshot_load(&m, bytes->data, bytes->len, NULL));
		bytes->data[i] ^= 1;
		ck_assert(!block_snapshot_load(&m, bytes->data, i, NULL));
		ck_assert(
		    !block_changes_apply(&m, bytes->data, bytes->len, NULL));
	}
	ck_assert_uint_eq(m.n, 2);
	ck_assert(block_snapshot_load(&m, bytes->data, bytes->len, NULL));
	block_map_finish(&m);
	g_byte_array_free(bytes, TRUE);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"change sets against the oracle", test_changes},
	    {"oracle detects a wrong site", test_oracle_detects_wrong_site},
	    {"load refuses invalid blocks", test_invalid_blocks},
	    {"change sets out of sequence", test_change_set_sequence},
	    {"damaged bytes are refused", test_damage},
	};

	return suite_run("block_map", cases, G_N_ELEMENTS(cases));
}
