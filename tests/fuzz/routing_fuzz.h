#ifndef TESTS_FUZZ_ROUTING_FUZZ_H
#define TESTS_FUZZ_ROUTING_FUZZ_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The name is libFuzzer's. */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* A fuzz input, read as a sequence of small numbers; zeros after its end. */
typedef struct {
	const uint8_t *data;
	size_t len, at;
} input_t;

static inline uint8_t
input_byte(input_t *in)
{
	return in->at < in->len ? in->data[in->at++] : 0;
}

static inline unsigned int
input_below(input_t *in, unsigned int n)
{
	return input_byte(in) % n;
}

static inline int
input_left(const input_t *in)
{
	return in->at < in->len;
}

/*
 * Whether FUZZ_BREAK names this rule. The harness then breaks the rule in its
 * calls of the module under test, and the oracle has to notice.
 */
static inline int
broken(const char *rule)
{
	static const char *name;
	static int read;

	if (!read) {
		name = getenv("FUZZ_BREAK");
		read = 1;
	}
	return name && strcmp(name, rule) == 0;
}

#define ORACLE(promise) \
	do { \
		if (!(promise)) { \
			fprintf(stderr, "oracle: %s\n", #promise); \
			abort(); \
		} \
	} while (0)

#endif
