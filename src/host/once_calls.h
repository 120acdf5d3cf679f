#ifndef HOST_ONCE_CALLS_H
#define HOST_ONCE_CALLS_H

#include "host/proxy.h"

/* Idempotency keys: their rows in the store, and answers kept for a replay. */

/* Longest body that is kept, and most that is kept of all together. */
#define ONCE_KEPT_BODY_MAX (64 * 1024)
#define ONCE_KEPT_ALL_MAX (16 * 1024 * 1024)

void once_calls_init(host_t *h);
void once_calls_finish(host_t *h);

/**
 * once_calls_wanted() - Is this request to be recorded?
 * @pr: the carry
 */
gboolean once_calls_wanted(const proxy_request_t *pr);

/**
 * once_calls_begin() - Claim the request's idempotency key.
 * @pr: the carry, which may be freed by this
 *
 * Ends in proxy_start_tries(), a replay or a refusal, now or later.
 */
void once_calls_begin(proxy_request_t *pr);

/* The head, then each piece of an answer that may be kept. */
void once_calls_head(
    proxy_request_t *pr, int status, const struct evkeyvalq *headers);
void once_calls_piece(proxy_request_t *pr, struct evbuffer *piece);

/**
 * once_calls_ended() - The request has come to its end.
 * @pr: the carry; nothing happens if it has no key or has ended before
 * @ran: whether it ran
 */
void once_calls_ended(proxy_request_t *pr, ran_t ran);

#endif
