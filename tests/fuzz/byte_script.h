#ifndef FUZZ_BYTE_SCRIPT_H
#define FUZZ_BYTE_SCRIPT_H

#include <string.h>

#include "byte_feed.h"

/* An input that is sent as bytes: a byte of flags, the number of steps, the
 * steps, and the bytes. */

#define SCRIPT_STEPS_MAX 64
#define SCRIPT_HEAD_BYTES 2
/* Inputs in so many of which one starts anew from a text. */
#define SCRIPT_ANEW_ONE_IN 6

typedef struct {
	unsigned int flags, nsteps;
	const uint8_t *steps;
	const char *bytes;
	size_t len;
} script_t;

/* The names are libFuzzer's. */
/* NOLINTBEGIN(readability-identifier-naming) */
size_t LLVMFuzzerMutate(uint8_t *data, size_t size, size_t max_size);
size_t LLVMFuzzerCustomMutator(
    uint8_t *data, size_t size, size_t max_size, unsigned int seed);
/* NOLINTEND(readability-identifier-naming) */

static inline void
script_read(const byte_feed_t *f, script_t *s)
{
	size_t left =
	    f->len > SCRIPT_HEAD_BYTES ? f->len - SCRIPT_HEAD_BYTES : 0;

	s->flags = f->len > 0 ? f->data[0] : 0;
	s->nsteps = f->len > 1 ? f->data[1] % SCRIPT_STEPS_MAX : 0;
	s->nsteps = (unsigned int)MIN(s->nsteps, left);
	s->steps = f->data + f->len - left;
	s->bytes = (const char *)s->steps + s->nsteps;
	s->len = left - s->nsteps;
}

/* Writes random steps and one or two of the texts. Return: the size. */
static inline size_t
script_anew(uint8_t *data, size_t max_size, GRand *rand,
    const char *const *texts, size_t ntexts)
{
	size_t size = SCRIPT_HEAD_BYTES, len, i, n;
	const char *text;

	if (max_size < SCRIPT_HEAD_BYTES + SCRIPT_STEPS_MAX)
		return 0;
	data[0] = (uint8_t)g_rand_int_range(rand, 0, 256);
	data[1] = (uint8_t)g_rand_int_range(rand, 0, 16);
	for (i = 0; i < data[1]; i++)
		data[size++] = (uint8_t)g_rand_int_range(rand, 0, 256);
	n = (size_t)g_rand_int_range(rand, 1, 3);
	for (i = 0; i < n; i++) {
		text = texts[g_rand_int_range(rand, 0, (gint32)ntexts)];
		len = MIN(strlen(text), max_size - size);
		memcpy(data + size, text, len);
		size += len;
	}
	return size;
}

static inline size_t
script_mutate(uint8_t *data, size_t size, size_t max_size, unsigned int seed,
    const char *const *texts, size_t ntexts)
{
	GRand *rand = g_rand_new_with_seed(seed);
	size_t anew = 0;
	gboolean as_is = FALSE;

	if (g_rand_int_range(rand, 0, SCRIPT_ANEW_ONE_IN) == 0) {
		anew = script_anew(data, max_size, rand, texts, ntexts);
		as_is = g_rand_int_range(rand, 0, 4) == 0;
	}
	g_rand_free(rand);
	if (anew > 0 && as_is)
		return anew;
	return LLVMFuzzerMutate(data, anew > 0 ? anew : size, max_size);
}

#endif
