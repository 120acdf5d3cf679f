#include <sys/queue.h>

#include <string.h>

#include "host/refusal.h"

static const struct {
	int status;
	const char *reason;
} kinds[REFUSAL_KINDS] = {
    [REFUSAL_BAD_REQUEST] = {400, "bad-request"},
    [REFUSAL_UNKNOWN_SERVICE] = {404, "unknown-service"},
    [REFUSAL_NO_ROUTE] = {404, "no-route"},
    [REFUSAL_KEY_MISSING] = {401, "key-missing"},
    [REFUSAL_KEY_UNKNOWN] = {401, "key-unknown"},
    [REFUSAL_KEY_WITHDRAWN] = {401, "key-withdrawn"},
    [REFUSAL_KEY_IN_REQUEST] = {400, "key-in-request"},
    [REFUSAL_NOT_FRESH] = {503, "keys-not-fresh"},
    [REFUSAL_NOT_READY] = {503, "not-ready"},
    [REFUSAL_LEAVING] = {503, "leaving"},
    [REFUSAL_OVER_RATE] = {429, "over-rate"},
    [REFUSAL_NO_ROOM] = {503, "no-room"},
    [REFUSAL_NO_SERVER] = {503, "no-server"},
    [REFUSAL_DEADLINE] = {504, "deadline"},
    [REFUSAL_HARMFUL] = {403, "harmful-request"},
    [REFUSAL_ONCE_RUNNING] = {409, "idempotency-key-running"},
    [REFUSAL_ONCE_DONE] = {409, "idempotency-key-done"},
    [REFUSAL_ONCE_SENT] = {409, "idempotency-key-sent"},
    [REFUSAL_ONCE_REUSED] = {422, "idempotency-key-reused"},
    [REFUSAL_ONCE_UNAVAILABLE] = {503, "idempotency-record-away"},
    [REFUSAL_BROKEN] = {502, "server-broke-off"},
    [REFUSAL_HOST_MEMORY] = {502, "host-memory"},
    [REFUSAL_HOST_DESCRIPTORS] = {503, "host-descriptors"},
    [REFUSAL_TIMEOUT] = {504, "server-timeout"},
};

static const char *
run_name(run_state_t run)
{
	switch (run) {
	case RUN_NOT:
		return "not-run";
	case RUN_UNKNOWN:
		return "unknown";
	case RUN_DONE:
		return "run";
	}
	return "unknown";
}

const char *
refusal_reason(refusal_t refusal)
{
	return kinds[refusal].reason;
}

char *
refusal_body(const char *reason, run_state_t run)
{
	return g_strdup_printf(
	    "{\"reason\":\"%s\",\"ran\":\"%s\"}\n", reason, run_name(run));
}

void
refusal_send(
    http_exchange_t *x, refusal_t refusal, run_state_t run, msec_t retry_ms)
{
	struct evbuffer *body = evbuffer_new();
	const char *reason = kinds[refusal].reason;
	char *text = refusal_body(reason, run);
	struct evkeyvalq headers;
	char after[24];

	TAILQ_INIT(&headers);
	evhttp_add_header(&headers, "Content-Type", "application/json");
	evhttp_add_header(&headers, "Greengageloom-Reason", reason);
	evhttp_add_header(&headers, "Greengageloom-Ran", run_name(run));
	if (retry_ms > 0) {
		g_snprintf(after, sizeof(after), "%lld",
		    (long long)((retry_ms + MSEC_PER_SEC - 1) / MSEC_PER_SEC));
		evhttp_add_header(&headers, "Retry-After", after);
	}
	evbuffer_add(body, text, strlen(text));
	http_reply(x, kinds[refusal].status, &headers, body);
	evhttp_clear_headers(&headers);
	evbuffer_free(body);
	g_free(text);
}
