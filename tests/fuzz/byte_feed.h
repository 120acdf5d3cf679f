#ifndef FUZZ_BYTE_FEED_H
#define FUZZ_BYTE_FEED_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

/* The names are libFuzzer's. */
/* NOLINTBEGIN(readability-identifier-naming) */
int LLVMFuzzerInitialize(int *argc, char ***argv);
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);
/* NOLINTEND(readability-identifier-naming) */

/* The fuzzer's bytes, read as a sequence of choices; zeros after the end. */
typedef struct {
	const uint8_t *data;
	size_t len, at;
} byte_feed_t;

static inline uint8_t
feed_next(byte_feed_t *f)
{
	return f->at < f->len ? f->data[f->at++] : 0;
}

static inline gboolean
feed_done(const byte_feed_t *f)
{
	return f->at >= f->len;
}

/*
 * Checks a model's oracle with seeded random inputs. Each input runs twice:
 * with one rule of the model broken, and with all rules kept. Aborts unless the
 * oracle finds a violation under the broken rule, and none with the rules kept.
 * run() returns the violation, or NULL.
 */
static inline void
feed_self_test(const char *name, int broken, int runs,
    const char *(*run)(byte_feed_t *f, int broken))
{
	GRand *rand = g_rand_new_with_seed(1);
	uint8_t data[512];
	const char *caught = NULL, *wrong = NULL;
	int i;
	size_t j;

	for (i = 0; i < runs && caught == NULL && wrong == NULL; i++) {
		for (j = 0; j < sizeof(data); j++)
			data[j] = (uint8_t)g_rand_int_range(rand, 0, 256);
		caught = run(&(byte_feed_t){data, sizeof(data), 0}, broken);
		wrong = run(&(byte_feed_t){data, sizeof(data), 0}, 0);
	}
	g_rand_free(rand);
	if (wrong != NULL || caught == NULL) {
		fprintf(stderr, "self-test %s: %s\n", name,
		    wrong != NULL ? wrong : "broken rule not caught");
		abort();
	}
}

/*
 * Runs one input of libFuzzer with all rules kept; aborts if the oracle finds
 * a violation.
 */
static inline int
feed_input(const char *target, const uint8_t *data, size_t size,
    const char *(*run)(byte_feed_t *f, int broken))
{
	byte_feed_t f = {data, size, 0};
	const char *violation = run(&f, 0);

	if (violation != NULL) {
		fprintf(stderr, "%s: %s\n", target, violation);
		abort();
	}
	return 0;
}

#endif
