#ifndef HOST_REQUEST_H
#define HOST_REQUEST_H

#include "host/refusal.h"
#include "state/catalog.h"
#include "state/digest.h"

/*
 * A caller's request for /call/SERVICE/PATH, without the headers that are meant
 * for this host.
 */

#define REQUEST_CALL_PREFIX "/call/"
#define REQUEST_DEADLINE_HEADER "Greengageloom-Timeout-Ms"
#define REQUEST_ID_HEADER "X-Request-Id"

typedef struct {
	enum evhttp_cmd_type method;
	const char *method_name;
	char *service;
	char *target;		  /* path within the service, with its query */
	char *path;		  /* the same without the query */
	struct evkeyvalq headers; /* those that may be forwarded */
	struct evbuffer *body;
	digest_t body_digest;
	gboolean has_key;
	digest_t key;
	char *idempotency_key; /* NULL: none */
	msec_t timeout_ms;     /* requested by the caller; 0: not given */
} request_t;

/**
 * request_init() - Read a request.
 * @r: memory of the caller; free it with request_finish() on success
 * @x: the exchange; its body moves into @r
 * @why: set on failure
 */
gboolean request_init(request_t *r, http_exchange_t *x, refusal_t *why);
void request_finish(request_t *r);

#endif
