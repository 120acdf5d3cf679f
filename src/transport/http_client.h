#ifndef TRANSPORT_HTTP_CLIENT_H
#define TRANSPORT_HTTP_CLIENT_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>

#include "base/clock.h"

/*
 * Outgoing HTTP over evhttp, with a pool of idle connections for each
 * address. A connection takes one request at a time and is used again only if
 * nothing was left unread behind the answer, so that an answer can't reach
 * the wrong request.
 */

typedef struct http_client http_client_t;
typedef struct http_call http_call_t;

/* What came of a call. */
typedef enum {
	HTTP_ANSWERED,	  /* whole answer received */
	HTTP_NOT_SENT,	  /* no byte of the request left this process */
	HTTP_BROKEN,	  /* sent at least in part, no whole answer */
	HTTP_OUT_OF_TIME, /* deadline passed after something was sent */
} http_outcome_t;

/* Callbacks of one call; on_done comes exactly once, unless cancelled. */
typedef struct {
	/* Status and headers are in; may be NULL. */
	void (*on_head)(void *arg, int status, const struct evkeyvalq *headers);
	/* A piece of the body; NULL: the body is held for on_done. */
	void (*on_piece)(void *arg, struct evbuffer *piece);
	/*
	 * @status, @headers and @body are those of the answer, body empty if
	 * on_piece took it; 0 and NULL unless the outcome is HTTP_ANSWERED.
	 */
	void (*on_done)(void *arg, http_outcome_t outcome, int status,
	    const struct evkeyvalq *headers, struct evbuffer *body);
	void *arg;
} http_handler_t;

typedef struct {
	const char *address; /* "IP:PORT" */
	enum evhttp_cmd_type method;
	const char *path;		 /* with query */
	const struct evkeyvalq *headers; /* copied; may be NULL */
	struct evbuffer *body;		 /* drained; may be NULL */
	msec_t timeout_ms;
	msec_t connect_ms; /* to make the connection; 0: no bound of its own */
	gboolean probe_idle; /* let the kernel find out a silent connection */
	gboolean fresh;	     /* on a new connection, not an idle one */
	size_t max_body;     /* of a held answer, bytes; 0: no bound */
} http_request_t;

/**
 * http_client_new() - Make a client on a loop.
 * @base: the loop
 * @max_idle: most idle connections kept for each address
 */
http_client_t *http_client_new(struct event_base *base, unsigned int max_idle);

/* Calls under way, of which the caller awaits on_done. */
unsigned int http_client_busy(const http_client_t *client);
void http_client_free(http_client_t *client);

/**
 * http_call() - Send a request.
 * @client: the client
 * @request: what to send; need not outlive the call
 * @handler: callbacks; copied
 *
 * Return: a handle that is good until on_done has returned, or NULL if the
 * address is no "IP:PORT" (no callback comes then).
 */
http_call_t *http_call(http_client_t *client, const http_request_t *request,
    const http_handler_t *handler);

/**
 * http_call_cancel() - Give up a call: closes its connection, no callback.
 * @call: the call
 */
void http_call_cancel(http_call_t *call);

/**
 * http_call_pause() - Stop or go on reading the answer.
 * @call: the call
 * @paused: whether to stop
 */
void http_call_pause(http_call_t *call, gboolean paused);

/**
 * http_call_rehandle() - Give a call's answer to somebody else.
 * @call: the call
 * @handler: callbacks from now on; copied. on_piece must be set if it was.
 */
void http_call_rehandle(http_call_t *call, const http_handler_t *handler);

/**
 * http_client_limit() - Bound the connections to an address.
 * @client: the client
 * @address: "IP:PORT"
 * @max: most at once; idle ones are closed to keep to it
 */
void http_client_limit(
    http_client_t *client, const char *address, unsigned int max);

/**
 * http_client_full() - Are as many calls under way as connections allowed?
 * @client: the client
 * @address: "IP:PORT"
 */
gboolean http_client_full(const http_client_t *client, const char *address);

#endif
