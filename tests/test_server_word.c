#include "state/registry.h"
#include "suite.h"

/* Steps of a case, in order of time. */
typedef struct {
	msec_t at;
	enum {
		LEAVES,	   /* it says that it leaves */
		PAUSES,	   /* it asks for a pause of @n ms */
		ANSWERS,   /* it answers a request */
		ROW,	   /* its entry arrives; @n: its start */
		DRAINS,	   /* the same, draining */
		GONE,	   /* its entry is removed */
		IN_FLIGHT, /* @n requests are in flight from now on */
		MAY,	   /* expected: a request may be sent: @n */
		COLD,	   /* expected: it counts as cold: @n */
	} what;
	msec_t n;
} step_t;

typedef struct {
	const char *name;
	guint n;
	step_t steps[12];
} case_t;

static const case_t rows[] = {
    {"leaves without a word in the store", 4,
	{{0, ROW, 1}, {10, MAY, TRUE}, {20, LEAVES, 0}, {21, MAY, FALSE}}},
    {"the row says that it serves, and renews", 4,
	{{0, ROW, 1}, {20, LEAVES, 0}, {500, ROW, 1}, {501, MAY, FALSE}}},
    {"it stops saying so", 4,
	{{0, ROW, 1}, {20, LEAVES, 0}, {500, ANSWERS, 0}, {501, MAY, FALSE}}},
    {"the store says so, it does not", 4,
	{{0, ROW, 1}, {20, DRAINS, 1}, {500, ANSWERS, 0}, {501, MAY, FALSE}}},
    {"a new start", 4,
	{{0, ROW, 1}, {20, LEAVES, 0}, {500, ROW, 2}, {501, MAY, TRUE}}},
    {"its entry lapses and comes back", 5,
	{{0, ROW, 1}, {20, LEAVES, 0}, {500, GONE, 0}, {900, ROW, 1},
	    {901, MAY, FALSE}}},
    {"another start after the entry is gone", 5,
	{{0, ROW, 1}, {20, LEAVES, 0}, {500, GONE, 0}, {900, ROW, 2},
	    {901, MAY, TRUE}}},
    {"a pause", 6,
	{{0, ROW, 1}, {20, PAUSES, 2000}, {21, MAY, FALSE}, {2019, MAY, FALSE},
	    {2021, MAY, TRUE}, {2022, COLD, TRUE}}},
    {"one at a time after a pause", 8,
	{{0, ROW, 1}, {20, PAUSES, 2000}, {2021, IN_FLIGHT, 1},
	    {2022, MAY, FALSE}, {2100, ANSWERS, 0}, {2101, MAY, TRUE},
	    {2101, IN_FLIGHT, 3}, {2102, MAY, TRUE}}},
    {"a shorter pause does not end a longer one", 4,
	{{0, ROW, 1}, {20, PAUSES, 3000}, {30, PAUSES, 100},
	    {1000, MAY, FALSE}}},
    {"answers to earlier requests do not end it", 4,
	{{0, ROW, 1}, {20, PAUSES, 3000}, {30, ANSWERS, 0},
	    {1000, MAY, FALSE}}},
    {"a new start ends a pause", 4,
	{{0, ROW, 1}, {20, PAUSES, 3000}, {500, ROW, 2}, {501, MAY, TRUE}}},
    {"a pause outlasts a lapse of the entry", 6,
	{{0, ROW, 1}, {20, PAUSES, 3000}, {500, GONE, 0}, {900, ROW, 1},
	    {901, MAY, FALSE}, {3100, MAY, TRUE}}},
    {"a pause as long as is allowed", 4,
	{{0, ROW, 1}, {20, PAUSES, 2 * SERVER_PAUSE_MAX_MS},
	    {SERVER_PAUSE_MAX_MS, MAY, FALSE},
	    {SERVER_PAUSE_MAX_MS + 30, MAY, TRUE}}},
};

static void
put(registry_t *r, const step_t *s, uint64_t ver)
{
	const registry_row_t row = {.id = "i-1",
	    .service = "clips",
	    .address = "10.0.0.1:80",
	    .domain = "n1",
	    .version = "v1",
	    .slots = 3,
	    .born = s->n,
	    .draining = s->what == DRAINS,
	    .row_ver = ver};

	registry_put(r, &row, s->at);
}

static void
play(const case_t *c)
{
	GHashTable *regions = g_hash_table_new(g_str_hash, g_str_equal);
	registry_t r;
	guint i;

	registry_init(&r, regions);
	for (i = 0; i < c->n; i++) {
		const step_t *s = &c->steps[i];
		backend_t *b = g_hash_table_lookup(r.servers, "i-1");

		switch (s->what) {
		case LEAVES:
			(void)server_word_leave(&b->word);
			break;
		case PAUSES:
			(void)backend_pause(b, s->n, s->at);
			break;
		case ANSWERS:
			server_word_answered(&b->word, s->at);
			b->own = 0;
			break;
		case ROW:
		case DRAINS:
			put(&r, s, i + 1);
			break;
		case GONE:
			registry_remove(&r, "i-1", i + 1, 0, s->at);
			break;
		case IN_FLIGHT:
			b->own = (guint)s->n;
			break;
		case MAY:
			ck_assert_msg(
			    backend_usable(b, s->at) == (gboolean)s->n,
			    "%s: step %u", c->name, i);
			break;
		case COLD:
			ck_assert_msg(
			    backend_is_cold(b, s->at) == (gboolean)s->n,
			    "%s: step %u", c->name, i);
			break;
		}
	}
	registry_finish(&r);
	g_hash_table_destroy(regions);
}

static void
test_words(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		play(&rows[i]);
}

/* Words of servers that are gone take bounded memory, and not for ever. */
static void
test_kept_words(void)
{
	GHashTable *regions = g_hash_table_new(g_str_hash, g_str_equal);
	registry_t r;
	char id[16];
	guint i;

	registry_init(&r, regions);
	for (i = 0; i < 3000; i++) {
		const registry_row_t row = {.id = id,
		    .service = "clips",
		    .address = "10.0.0.1:80",
		    .domain = "n1",
		    .version = "v1",
		    .row_ver = 2 * i + 1};

		g_snprintf(id, sizeof(id), "i-%u", i);
		registry_put(&r, &row, i);
		server_word_leave(
		    &((backend_t *)g_hash_table_lookup(r.servers, id))->word);
		registry_remove(&r, id, 2 * i + 2, 0, i);
	}
	ck_assert_uint_le(r.words->len, 1024);
	registry_expire(&r, 600000);
	ck_assert_uint_eq(r.words->len, 0);
	registry_finish(&r);
	g_hash_table_destroy(regions);
}

static const suite_case_t cases[] = {
    {"a server's own word", test_words},
    {"words of servers that are gone", test_kept_words},
};

int
main(void)
{
	return suite_run("server_word", cases, G_N_ELEMENTS(cases));
}
