/*
 * Bytes choose shares and numbers of requests. The oracle adds up the shares at
 * all picks: no capped choice is ever picked more often than its sum allows, or
 * falls behind it by as much as the number of capped choices.
 */
#include <string.h>

#include "byte_feed.h"
#include "state/split.h"

typedef enum {
	RULES_KEPT,
	PICK_BY_COIN,
	PICK_EARLY,
} broken_t;

static unsigned int
pick(split_t *s, int broken, byte_feed_t *f)
{
	if (broken == PICK_BY_COIN)
		return feed_next(f) * SHARE_ONE / 256U < s->share[1] ? 1 : 0;
	if (broken == PICK_EARLY && s->credit[1] == 0 && s->share[1] > 0) {
		s->credit[1] += s->share[1] - SHARE_ONE;
		return 1;
	}
	return split_pick(s);
}

static const char *
run(byte_feed_t *f, int broken)
{
	int64_t due[SPLIT_CHOICES_MAX] = {0};
	unsigned int n = 1 + feed_next(f) % (SPLIT_CHOICES_MAX - 1), i, k;
	share_t left, share;
	split_t s;

	split_init(&s);
	while (!feed_done(f)) {
		left = SHARE_ONE;
		for (i = 1; i <= n; i++) {
			share = feed_next(f) * left / 255;
			/* A share of zero also clears what is due. */
			if (share == 0)
				due[i] = 0;
			split_set(&s, i, share);
			left -= share;
		}
		for (k = feed_next(f); k > 0; k--) {
			for (i = 1; i <= n; i++)
				due[i] += s.share[i];
			due[pick(&s, broken, f)] -= SHARE_ONE;
			for (i = 1; i <= n; i++) {
				if (due[i] < 0)
					return "over its share";
				if (due[i] >= (int64_t)n * SHARE_ONE)
					return "too far behind its share";
			}
		}
	}
	return NULL;
}

/* NOLINTNEXTLINE(readability-identifier-naming) */
int
LLVMFuzzerInitialize(int *argc, char ***argv)
{
	(void)argc;
	(void)argv;
	feed_self_test("coin", PICK_BY_COIN, 100, run);
	feed_self_test("early", PICK_EARLY, 100, run);
	return 0;
}

/* NOLINTNEXTLINE(readability-identifier-naming) */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	return feed_input("fuzz_split", data, size, run);
}
