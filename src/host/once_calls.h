#ifndef HOST_ONCE_CALLS_H
#define HOST_ONCE_CALLS_H

#include "host/proxy.h"

/* Idempotency keys: their rows in the store, and the answers that are kept for
 * replays. */

/* Bounds in bytes of one kept body, and of all kept bodies together. */
#define ONCE_KEPT_BODY_MAX (64 * 1024)
#define ONCE_KEPT_ALL_MAX (16 * 1024 * 1024)

void once_calls_init(host_t *h);
void once_calls_finish(host_t *h);

/**
 * once_calls_wanted() - Whether a request must be recorded.
 * @pr: the proxied request
 */
gboolean once_calls_wanted(const proxy_request_t *pr);

/**
 * once_calls_begin() - Claim the request's idempotency key.
 * @pr: the proxied request, which this may free
 *
 * Leads to proxy_start_tries(), a replay or a refusal, at once or later.
 */
void once_calls_begin(proxy_request_t *pr);

/* Record the head, then each piece of an answer that may be kept. */
void once_calls_head(
    proxy_request_t *pr, int status, const struct evkeyvalq *headers);
void once_calls_piece(proxy_request_t *pr, struct evbuffer *piece);

/**
 * once_calls_ended() - Record the end of a request.
 * @pr: the proxied request; ignored if it has no key or has ended before
 * @ran: whether the request ran
 */
void once_calls_ended(proxy_request_t *pr, ran_t ran);

#endif
