#ifndef TRANSPORT_HTTP_SERVER_H
#define TRANSPORT_HTTP_SERVER_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <openssl/types.h>

#include "base/clock.h"

/*
 * Incoming HTTP over evhttp. Every request that reaches the handler has
 * passed http_check_headers(); bounds on size, memory and time are kept here.
 */

typedef struct http_server http_server_t;

/* One request and its reply. Freed when the reply has ended or aborted. */
typedef struct http_exchange http_exchange_t;

typedef struct {
	const char *address;	  /* "IP:PORT" */
	size_t max_head_bytes;	  /* of request line and headers */
	size_t max_body_bytes;	  /* of one request */
	size_t body_memory_bytes; /* of the bodies of all requests held */
	unsigned int max_connections;
	msec_t receive_ms; /* time for a caller to send one request */
	SSL_CTX *tls;	   /* NULL: plain; see http_server_set_tls() */
} http_server_conf_t;

/* Takes a request; must reply to it now or later. */
typedef void (*http_serve_t)(void *arg, http_exchange_t *x);

/* Makes the body of a refusal that this module itself sends. */
typedef char *(*http_refuse_t)(const char *reason);

/**
 * http_server_new() - Listen.
 * @base: the loop
 * @conf: copied
 * @serve: called for each request
 * @refuse: makes the body of refusals, freed with g_free()
 * @arg: for @serve
 * @err: set on failure
 *
 * Return: the server, or NULL if the address can't be bound.
 */
http_server_t *http_server_new(struct event_base *base,
    const http_server_conf_t *conf, http_serve_t serve, http_refuse_t refuse,
    void *arg, GError **err);
void http_server_free(http_server_t *server);

/**
 * http_server_set_tls() - Use another certificate for new connections.
 * @server: the server
 * @tls: the context; a reference is taken
 */
void http_server_set_tls(http_server_t *server, SSL_CTX *tls);

/**
 * http_server_drain() - Stop listening; close each connection once idle.
 * @server: the server
 */
void http_server_drain(http_server_t *server);

/**
 * http_server_close_after_reply() - Close each connection with its next reply.
 * @server: the server; goes on listening
 */
void http_server_close_after_reply(http_server_t *server);

/* Connections that are open, and requests taken but not yet answered. */
unsigned int http_server_connections(const http_server_t *server);
unsigned int http_server_exchanges(const http_server_t *server);

struct evhttp_request *http_exchange_request(const http_exchange_t *x);
const struct evkeyvalq *http_exchange_headers(const http_exchange_t *x);
struct evbuffer *http_exchange_body(const http_exchange_t *x);

/**
 * http_exchange_watch() - Ask to be told when the caller hangs up.
 * @x: the exchange
 * @gone: called once at most; @x is freed after it has returned
 * @arg: its argument
 */
void http_exchange_watch(
    http_exchange_t *x, void (*gone)(void *arg), void *arg);

/**
 * http_reply() - Send a whole reply and end the exchange.
 * @x: the exchange
 * @status: HTTP status
 * @headers: copied; may be NULL
 * @body: drained; may be NULL
 */
void http_reply(http_exchange_t *x, int status, const struct evkeyvalq *headers,
    struct evbuffer *body);

/**
 * http_reply_start() - Begin a reply whose body comes in pieces.
 * @x: the exchange
 * @status: HTTP status
 * @headers: copied; a Content-Length among them is kept to by the caller
 */
void http_reply_start(
    http_exchange_t *x, int status, const struct evkeyvalq *headers);

/**
 * http_reply_piece() - Send a piece of the body.
 * @x: the exchange
 * @piece: drained
 * @drained: called when all pieces so far have left; may be NULL
 * @arg: its argument
 *
 * Return: bytes that wait to be sent.
 */
size_t http_reply_piece(http_exchange_t *x, struct evbuffer *piece,
    void (*drained)(void *arg), void *arg);

/* Ends a reply that was started; it must be whole. */
void http_reply_end(http_exchange_t *x);

/* Breaks the connection, so that a part of a reply can't pass for a whole. */
void http_reply_abort(http_exchange_t *x);

#endif
