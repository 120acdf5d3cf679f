#include "suite.h"
#include "transport/client_memory.h"

#define CONNS_MAX 4
#define LIMIT 100

/* A step: a connection holds bytes, and may have a whole request. Bytes of -1
 * end the table row. */
typedef struct {
	int conn;
	int bytes;
	gboolean whole;
} step_t;

#define STEPS_MAX 6
#define END \
	{ \
		0, -1, FALSE \
	}

/* GUARDS: a client with a whole request loses its connection, one that holds
 * little does before one that holds much, or memory stays counted after the end
 * of a connection. */
static const struct {
	const char *name;
	step_t steps[STEPS_MAX];
	size_t held;
	int victims[CONNS_MAX + 1]; /* in order, until none; then -1 */
} rows[] = {
    {"nothing", {END}, 0, {-1}},
    {"at the limit", {{0, 60, FALSE}, {1, 40, FALSE}, END}, 100, {-1}},
    {"one over the limit", {{0, 101, FALSE}, END}, 101, {0, -1}},
    {"most bytes first", {{0, 50, FALSE}, {1, 90, FALSE}, {2, 70, FALSE}, END},
	210, {1, 2, -1}},
    {"equal bytes: the older entry", {{1, 70, FALSE}, {0, 70, FALSE}, END}, 140,
	{1, -1}},
    {"a whole request is kept",
	{{0, 90, TRUE}, {1, 20, FALSE}, {2, 30, FALSE}, END}, 140, {2, 1, -1}},
    {"only whole requests", {{0, 90, TRUE}, {1, 90, TRUE}, END}, 180, {-1}},
    {"a request becomes whole", {{0, 150, FALSE}, {0, 150, TRUE}, END}, 150,
	{-1}},
    {"the next one is not", {{0, 150, TRUE}, {0, 160, FALSE}, END}, 160,
	{0, -1}},
    {"less after a request was answered", {{0, 150, TRUE}, {0, 10, FALSE}, END},
	10, {-1}},
    {"nothing any more", {{0, 150, FALSE}, {0, 0, FALSE}, {1, 90, FALSE}, END},
	90, {-1}},
    {"again after nothing",
	{{0, 50, FALSE}, {0, 0, FALSE}, {0, 120, FALSE}, END}, 120, {0, -1}},
};

static void
play(size_t k)
{
	client_memory_entry_t entries[CONNS_MAX] = {0}, *victim;
	const step_t *step = rows[k].steps;
	client_memory_t m;
	size_t i;

	client_memory_init(&m, LIMIT);
	for (; step->bytes >= 0; step++)
		client_memory_set(
		    &m, &entries[step->conn], (size_t)step->bytes, step->whole);
	ck_assert_msg(
	    m.held == rows[k].held, "%s: %zu held", rows[k].name, m.held);
	for (i = 0; rows[k].victims[i] >= 0; i++) {
		victim = client_memory_victim(&m);
		ck_assert_msg(victim == &entries[rows[k].victims[i]],
		    "%s: victim %zu", rows[k].name, i);
		client_memory_remove(&m, victim);
	}
	ck_assert_msg(client_memory_victim(&m) == NULL, "%s: a victim more",
	    rows[k].name);
	for (i = 0; i < CONNS_MAX; i++)
		client_memory_remove(&m, &entries[i]);
	ck_assert_msg(m.held == 0 && m.entries.length == 0, "%s: %zu stay",
	    rows[k].name, m.held);
}

static void
victims(void)
{
	size_t k;

	for (k = 0; k < G_N_ELEMENTS(rows); k++)
		play(k);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"victims", victims},
	};

	return suite_run("client memory", cases, G_N_ELEMENTS(cases));
}
