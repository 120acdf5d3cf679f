#ifndef TRANSPORT_HTTP_CLIENT_H
#define TRANSPORT_HTTP_CLIENT_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>

#include "base/clock.h"

/*
 * HTTP client over evhttp, with a pool of idle connections for each address.
 * A connection carries one request at a time. It is reused only if no unread
 * bytes follow the answer, so that an answer can't be matched with the wrong
 * request. An answer that breaks the protocol (http_framing.h) ends the call as
 * HTTP_BROKEN.
 */

/* Memory of the answers of a client that are not yet passed on, unless another
 * limit is set. Over it, the calls whose answers hold most fail. */
#define HTTP_ANSWER_MEMORY_BYTES (64 * 1024 * 1024)

/* Idle connections to all addresses together; the oldest are closed. */
#define HTTP_IDLE_MAX 400

typedef struct http_client http_client_t;
typedef struct http_call http_call_t;

/* Outcome of a call. */
typedef enum {
	HTTP_ANSWERED,	/* complete answer received */
	HTTP_NOT_SENT,	/* no byte of the request left this process */
	HTTP_BROKEN,	/* sent at least in part, no complete answer */
	HTTP_TIMED_OUT, /* deadline passed after something was sent */
	/* This process lacks a resource; says nothing of the peer. */
	HTTP_NO_MEMORY, /* sent; answers hold too much memory together */
	HTTP_NO_FILE,	/* not sent; no connection or descriptor is left */
} http_outcome_t;

/* Callbacks of one call; on_done runs exactly once, unless cancelled. */
typedef struct {
	/* A head has been received, possibly an interim one (1xx); must not
	 * end the call; may be NULL. */
	void (*on_any_head)(
	    void *arg, int status, const struct evkeyvalq *headers);
	/* Status and headers have been received; may be NULL. */
	void (*on_head)(void *arg, int status, const struct evkeyvalq *headers);
	/* Takes a piece of the body; NULL: the body is kept for on_done. */
	void (*on_piece)(void *arg, struct evbuffer *piece);
	/*
	 * @status, @headers and @body are those of the answer; @body is empty
	 * if on_piece took it. Unless the outcome is HTTP_ANSWERED, they are 0
	 * and NULL.
	 */
	void (*on_done)(void *arg, http_outcome_t outcome, int status,
	    const struct evkeyvalq *headers, struct evbuffer *body);
	void *arg;
} http_handler_t;

typedef struct {
	const char *address; /* "IP:PORT" */
	enum evhttp_cmd_type method;
	const char *path; /* with the query */
	/* Copied; may be NULL; without Content-Length and Transfer-Encoding. */
	const struct evkeyvalq *headers;
	struct evbuffer *body; /* drained; may be NULL */
	msec_t timeout_ms;
	/* timeout_ms starts again with each part of the answer that arrives,
	 * until this time since the start; 0: it does not */
	msec_t total_ms;
	msec_t connect_ms;	 /* to connect; 0: only timeout_ms applies */
	gboolean tcp_keepalive;	 /* TCP keep-alive finds dead connections */
	gboolean new_connection; /* use a new connection, not an idle one */
	size_t max_body; /* of an answer kept for on_done, bytes; 0: no limit */
} http_request_t;

/**
 * http_client_new() - Create a client.
 * @base: the event loop
 * @max_idle: limit of idle connections kept for each address
 */
http_client_t *http_client_new(struct event_base *base, unsigned int max_idle);

/* Number of calls for which on_done has not run yet. */
unsigned int http_client_busy(const http_client_t *client);

/* Number of open connections, idle ones included. */
unsigned int http_client_connections(const http_client_t *client);

/**
 * http_client_limit_memory() - Limit the memory of answers.
 * @client: the client
 * @bytes: of all answers together that are not yet passed on
 */
void http_client_limit_memory(http_client_t *client, size_t bytes);

/**
 * http_client_limit_open() - Limit the connections to all addresses together.
 * @client: the client
 * @max: most open connections; idle ones are closed to stay within it. A call
 *	for which there is none ends as HTTP_NO_FILE
 */
void http_client_limit_open(http_client_t *client, unsigned int max);

/* Bytes of answers in memory; answers that failed as there was too little. */
size_t http_client_held(const http_client_t *client);
guint64 http_client_given_up(const http_client_t *client);
void http_client_free(http_client_t *client);

/**
 * http_call() - Send a request.
 * @client: the client
 * @request: what to send; need not outlive the call
 * @handler: callbacks; copied
 *
 * Return: a handle that is valid until on_done has returned, or NULL if the
 * address is not "IP:PORT"; no callback runs then.
 */
http_call_t *http_call(http_client_t *client, const http_request_t *request,
    const http_handler_t *handler);

/**
 * http_call_cancel() - Close a call's connection; no callback runs.
 * @call: the call
 */
void http_call_cancel(http_call_t *call);

/**
 * http_call_fault() - Why the answer can't be used.
 * @call: the call; may be in on_done
 *
 * Return: a static text; NULL if the answer is valid as far as it has come and
 * there is memory for it.
 */
const char *http_call_fault(const http_call_t *call);

/** http_call_input_at() - When a part of the answer last came; 0: never. */
msec_t http_call_input_at(const http_call_t *call);

/** http_call_is_first() - Is this the first request on its connection? */
gboolean http_call_is_first(const http_call_t *call);

/** http_call_prevent_reuse() - Close the connection after this call. */
void http_call_prevent_reuse(http_call_t *call);

/**
 * http_call_pause() - Pause or resume reading the answer.
 * @call: the call
 * @paused: TRUE to pause
 */
void http_call_pause(http_call_t *call, gboolean paused);

/**
 * http_call_set_handler() - Replace the callbacks of a call.
 * @call: the call
 * @handler: callbacks from now on; copied. on_piece must be set if it was set
 *	before.
 */
void http_call_set_handler(http_call_t *call, const http_handler_t *handler);

/**
 * http_client_close_idle() - Close the idle connections to an address.
 * @client: the client
 * @address: "IP:PORT"
 */
void http_client_close_idle(http_client_t *client, const char *address);

/**
 * http_client_limit() - Limit the connections to an address.
 * @client: the client
 * @address: "IP:PORT"
 * @max: most open connections; idle ones are closed to stay within it
 */
void http_client_limit(
    http_client_t *client, const char *address, unsigned int max);

/**
 * http_client_full() - Whether every allowed connection has a call in progress.
 * @client: the client
 * @address: "IP:PORT"
 */
gboolean http_client_full(const http_client_t *client, const char *address);

#endif
