#ifndef HOST_ONCE_CALLS_H
#define HOST_ONCE_CALLS_H

#include "host/carry.h"

/* Idempotency keys: their rows in the store, and answers kept for a replay. */

/* Longest body that is kept, and most that is kept of all together. */
#define ONCE_KEPT_BODY_MAX (64 * 1024)
#define ONCE_KEPT_ALL_MAX (16 * 1024 * 1024)

void once_calls_init(host_t *h);
void once_calls_finish(host_t *h);

/**
 * once_calls_wanted() - Is this request to be recorded?
 * @c: the carry
 */
gboolean once_calls_wanted(const carry_t *c);

/**
 * once_calls_begin() - Claim the request's idempotency key.
 * @c: the carry, which may be freed by this
 *
 * Ends in carry_run(), a replay or a refusal, now or later.
 */
void once_calls_begin(carry_t *c);

/* The head, then each piece of an answer that may be kept. */
void once_calls_head(carry_t *c, int status, const struct evkeyvalq *headers);
void once_calls_piece(carry_t *c, struct evbuffer *piece);

/**
 * once_calls_ended() - The request has come to its end.
 * @c: the carry; nothing happens if it has no key or has ended before
 * @ran: whether it ran
 */
void once_calls_ended(carry_t *c, ran_t ran);

#endif
