#include <string.h>

#include "coordination/fanout.h"
#include "protocol/table_queue.h"
#include "suite.h"

/*
 * A reader lists a table in pages and sends the changes in datagrams, by way of
 * a collector. Guards against a host that takes over a version without all rows
 * up to it, which is how hosts missed that servers leave (review/6, review/8).
 */

#define FROM 10
#define VALUE_BYTES 180
#define DATAGRAMS_MAX 64
#define TABLE 1

static const peer_secret_t secret = {{1, 2, 3}};

typedef struct {
	const char *name;
	guint pages, page_rows;
	guint step;	/* versions are in steps of it along the keys, modulo */
	guint modulo;	/* number of different versions */
	gboolean order; /* datagrams arrive in order */
	guint lost; /* index of the datagram that is lost, plus 1; 0: none */
} case_t;

static const case_t table[] = {
    {"two pages", 2, 50, 1, 100, TRUE, 0},
    {"versions in another order than keys", 1, 96, 7, 97, TRUE, 0},
    {"the same, one lost", 1, 96, 7, 97, TRUE, 2},
    {"the same, in reverse order", 1, 96, 7, 97, FALSE, 0},
    {"two rows of a version", 1, 96, 7, 48, TRUE, 0},
    {"many rows of a version", 2, 60, 1, 2, TRUE, 0},
    {"all rows of a version", 1, 90, 1, 1, TRUE, 0},
    {"the first lost", 3, 40, 11, 120, TRUE, 1},
};

typedef struct {
	uint8_t data[PEER_MSG_MAX_BYTES];
	size_t len;
} datagram_t;

static uint64_t
ver_of(const case_t *c, guint i)
{
	return FROM + 1 + (uint64_t)i * c->step % c->modulo;
}

static guint
send_all(const case_t *c, datagram_t *out)
{
	table_update_t update = {.table = TABLE};
	table_queue_t q;
	guint i, n = 0, next = 0;

	table_queue_init(&q);
	/* Changes before the listing, which are sent again for a while. */
	table_queue_update(&q, FROM - 1, FROM, 0, &update);
	g_ptr_array_free(update.rows, TRUE);
	for (i = 0; i < c->pages * c->page_rows; i++) {
		g_autofree char *key = g_strdup_printf("s-%03u", i);
		g_autofree char *value = g_strnfill(VALUE_BYTES, 'x');
		const table_row_t row = {key, value, VALUE_BYTES, ver_of(c, i)};

		/* The next page has arrived. */
		if (i % c->page_rows == 0)
			table_queue_expire(&q, 1000 * i);
		table_queue_add(&q, &row);
	}
	table_queue_update(&q, FROM, FROM + c->modulo, 0, &update);
	do {
		ck_assert_uint_lt(n, DATAGRAMS_MAX);
		next = table_update_encode(
		    &update, next, &secret, out[n].data, &out[n].len);
		n++;
	} while (next < update.rows->len);
	g_ptr_array_free(update.rows, TRUE);
	table_queue_finish(&q);
	return n;
}

/* The version that a host claims, and whether it has all rows up to it. */
static void
check_claim(const case_t *c, GHashTable *held, uint64_t known)
{
	guint i;

	for (i = 0; i < c->pages * c->page_rows; i++) {
		g_autofree char *key = g_strdup_printf("s-%03u", i);

		ck_assert_msg(
		    ver_of(c, i) > known || g_hash_table_contains(held, key),
		    "%s: claims %u without %s", c->name, (guint)known, key);
	}
}

static void
play(const case_t *c)
{
	static datagram_t sent[DATAGRAMS_MAX];
	GHashTable *held =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	guint n = send_all(c, sent), k, i, r;
	uint64_t known = FROM;
	fanout_t f;

	fanout_init(&f, 1000, 0);
	for (k = 0; k < n; k++) {
		const datagram_t *d = &sent[c->order ? k : n - 1 - k];
		table_update_t update;
		table_page_t page;

		ck_assert(table_update_decode(
		    d->data, d->len, &secret, &update, &page));
		i = c->order ? k : n - 1 - k;
		if (i + 1 != c->lost &&
		    fanout_is_due(&f, TABLE, update.from, update.to, 0) &&
		    update.from <= known) {
			for (r = 0; r < page.rows->len; r++) {
				const table_row_t *row =
				    g_ptr_array_index(page.rows, r);

				g_hash_table_add(held, g_strdup(row->key));
			}
			known = MAX(known, update.to);
		}
		check_claim(c, held, known);
		table_page_finish(&page);
	}
	if (c->order && c->lost == 0 && c->modulo > 2)
		ck_assert_msg(known == FROM + c->modulo, "%s: ends at %u of %u",
		    c->name, (guint)known, FROM + c->modulo);
	g_hash_table_destroy(held);
}

static void
test_claims(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(table); i++)
		play(&table[i]);
}

/* A page of changes that ends early leads only to the last whole version. */
static void
test_page_end(void)
{
	static const struct {
		uint64_t vers[3];
		guint n;
		gboolean more;
		uint64_t end;
	} pages[] = {
	    {{3, 5, 6}, 3, FALSE, 20},
	    {{3, 5, 6}, 3, TRUE, 5},
	    {{6, 6, 6}, 3, TRUE, 6},
	    {{0}, 0, TRUE, 20},
	};
	size_t i;
	guint k;

	for (i = 0; i < G_N_ELEMENTS(pages); i++) {
		table_page_t page;

		table_page_init(&page);
		page.ver = 20;
		page.more = pages[i].more;
		for (k = 0; k < pages[i].n; k++)
			table_page_add(&page)->ver = pages[i].vers[k];
		ck_assert_uint_eq(table_page_end(&page), pages[i].end);
		table_page_finish(&page);
	}
}

static const suite_case_t cases[] = {
    {"no version without its rows", test_claims},
    {"end of a page of changes", test_page_end},
};

int
main(void)
{
	return suite_run("table_queue", cases, G_N_ELEMENTS(cases));
}
