#ifndef FUZZ_RULE_SEARCH_H
#define FUZZ_RULE_SEARCH_H

#include <stdio.h>

/*
 * The self-test of an oracle, for a world that defines rules_t, world_run()
 * and OPS. With a rule broken, some random input must show a violation. With
 * the rules kept, that input and the next ones must show none.
 */

enum {
	INPUTS = 20000,
	INPUT_BYTES = 2 * OPS
};

typedef struct {
	rules_t rules;
	int from; /* first input to try; known to show a violation */
} broken_rule_t;

/* The first random input with a violation, or -1. */
static int
first_violation(rules_t rules, int from, int inputs, const char **what)
{
	GRand *rand = g_rand_new();
	uint8_t data[INPUT_BYTES];
	size_t k;
	int i;

	for (i = from; i < from + inputs; i++) {
		g_rand_set_seed(rand, (guint32)i);
		for (k = 0; k < sizeof(data); k++)
			data[k] = (uint8_t)g_rand_int(rand);
		*what = world_run(data, sizeof(data), rules);
		if (*what != NULL)
			break;
	}
	g_rand_free(rand);
	return i < from + inputs ? i : -1;
}

static void
check_broken_rules(const broken_rule_t *rows, size_t n)
{
	const char *what;
	size_t i;
	int at;

	for (i = 0; i < n; i++) {
		at =
		    first_violation(rows[i].rules, rows[i].from, INPUTS, &what);
		ck_assert_msg(
		    at >= 0, "broken rule %d is not noticed", rows[i].rules);
		printf("rule %d: input %d: %s\n", rows[i].rules, at, what);
		at = first_violation(RULES_KEPT, at, 100, &what);
		ck_assert_msg(at < 0, "input %d: %s", at, what);
	}
}

#endif
