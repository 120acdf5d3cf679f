#include <string.h>

#include "state/reply_memory.h"
#include "suite.h"

#define REPLIES_MAX 4
#define LIMIT 100
#define NOW 5000

/* A reply: whose it is, what it holds, when it began and was last taken from.
 * It is decided at NOW. */
typedef struct {
	const char *address;
	size_t bytes;
	msec_t began_at, taken_at;
} row_t;

static const struct {
	const char *name;
	row_t replies[REPLIES_MAX];
	int first, second; /* give way; -1: none */
} rows[] = {
    {"none", {{NULL, 0, 0, 0}}, -1, -1},
    {"one", {{"a", 120, 5000, 5000}}, 0, -1},
    {"within the limit", {{"a", 100, 0, 0}}, -1, -1},
    {"stalled before reading", {{"a", 60, 1000, 4990}, {"a", 60, 1000, 3000}},
	1, -1},
    {"stalled before larger and newer",
	{{"a", 90, 4990, 4995}, {"b", 20, 0, 4000}}, 1, -1},
    {"longest stalled first",
	{{"a", 70, 0, 3000}, {"a", 70, 0, 1000}, {"a", 70, 0, 2000}}, 1, 2},
    {"address that holds most",
	{{"a", 40, 4000, 4700}, {"b", 50, 4000, 4900}, {"b", 50, 4000, 4950}},
	1, -1},
    {"an address does not push out another",
	{{"b", 30, 4000, 4100}, {"a", 50, 4900, 4990}, {"a", 50, 4900, 4995}},
	1, -1},
    {"who reads slowly stays, new replies give way",
	{{"a", 50, 2000, 4300}, {"a", 40, 4990, 4992}, {"a", 40, 4990, 4991}},
	2, -1},
    {"all read: the one that took last stays",
	{{"a", 60, 2000, 4995}, {"a", 60, 2000, 4990}}, 1, -1},
};

static int
give_way(reply_memory_t *m)
{
	reply_usage_t *u;
	int i;

	if (!reply_memory_is_over(m))
		return -1;
	u = reply_memory_next(m, NOW);
	i = *(int *)u->owner;
	reply_memory_release(m, u);
	return i;
}

static void
play(size_t k)
{
	reply_usage_t usages[REPLIES_MAX] = {0};
	int numbers[REPLIES_MAX];
	reply_memory_t m;
	const row_t *row;
	size_t i, n;
	msec_t t;

	reply_memory_init(&m, LIMIT);
	for (n = 0; n < REPLIES_MAX && rows[k].replies[n].bytes > 0; n++) {
		row = &rows[k].replies[n];
		numbers[n] = (int)n;
		usages[n].owner = &numbers[n];
		reply_memory_add(&m, &usages[n], row->address, row->bytes + 1,
		    row->began_at);
	}
	for (t = 0; t <= NOW; t++) {
		for (i = 0; i < n; i++) {
			if (rows[k].replies[i].taken_at == t)
				reply_memory_take(&m, &usages[i], 1, t);
		}
	}
	ck_assert_msg(give_way(&m) == rows[k].first, "%s: first", rows[k].name);
	ck_assert_msg(
	    give_way(&m) == rows[k].second, "%s: second", rows[k].name);
	for (i = 0; i < n; i++)
		reply_memory_detach(&m, &usages[i]);
	ck_assert_uint_eq(m.held, 0);
	ck_assert_uint_eq(g_hash_table_size(m.peers), 0);
	reply_memory_finish(&m);
}

static void
the_right_reply_gives_way(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		play(i);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"the right reply gives way", the_right_reply_gives_way},
	};

	return suite_run("reply memory", cases, G_N_ELEMENTS(cases));
}
