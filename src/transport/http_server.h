#ifndef TRANSPORT_HTTP_SERVER_H
#define TRANSPORT_HTTP_SERVER_H

#include <stdint.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <openssl/types.h>

#include "base/clock.h"

/*
 * HTTP server with pipelining. Every request that reaches the handler has been
 * read strictly and has passed http_check_headers(). Replies are sent in the
 * order of the requests. This module enforces the limits on size, memory and
 * time. See docs/design/HTTP-SERVER.md.
 */

#define HTTP_SERVER_HEAD_FIELDS 128
#define HTTP_SERVER_REQUEST_MEMORY_BYTES (16 * 1024 * 1024)
#define HTTP_SERVER_UNREAD_MEMORY_BYTES (16 * 1024 * 1024)
#define HTTP_SERVER_SPARE_CONNECTIONS 100
#define HTTP_SERVER_HANDSHAKES 256

typedef struct http_server http_server_t;

/* One request and its reply. Freed when the reply ends or is aborted. */
typedef struct http_exchange http_exchange_t;

/*
 * Returns whether a request may run beside others of its connection. NULL, or
 * FALSE: it runs once all requests before it are answered, and those behind it
 * wait for its reply.
 */
typedef gboolean (*http_concurrent_t)(void *arg, const http_exchange_t *x);

typedef struct {
	const char *address;	      /* "IP:PORT" */
	size_t max_head_bytes;	      /* request line and headers */
	unsigned int max_head_fields; /* 0: HTTP_SERVER_HEAD_FIELDS */
	size_t max_body_bytes;	      /* of one request */
	/* Heads of all requests; 0: HTTP_SERVER_REQUEST_MEMORY_BYTES. See
	 * client_memory.h. */
	size_t request_memory_bytes;
	/* Bodies of all requests while they are received or answered. */
	size_t body_memory_bytes;
	/* Replies that wait for their callers to read; over it some are reset.
	 * See reply_memory.h. */
	size_t reply_memory_bytes;
	/* Bytes in the sockets of connections that read no further request;
	 * over it those with most are reset. 0:
	 * HTTP_SERVER_UNREAD_MEMORY_BYTES. */
	size_t unread_memory_bytes;
	/* Connections that wait or have requests. See conn_room.h. */
	unsigned int max_connections;
	/* Beside them: of connections over that limit, and of closed ones whose
	 * clients have not read the last reply; each. 0:
	 * HTTP_SERVER_SPARE_CONNECTIONS. */
	unsigned int spare_connections;
	/* Of these, in a TLS handshake; the oldest is closed for a new one. 0:
	 * HTTP_SERVER_HANDSHAKES */
	unsigned int max_handshakes;
	msec_t receive_ms; /* time limit for receiving one request */
	SSL_CTX *tls;	   /* NULL: plain HTTP; see http_server_set_tls() */
	http_concurrent_t concurrent;
	/* Of one connection: requests that run at one time, and the bytes of
	 * requests and replies at which it reads no further request. 0: the
	 * defaults below. */
	unsigned int pipeline_requests;
	size_t pipeline_bytes;
} http_server_conf_t;

#define HTTP_PIPELINE_REQUESTS 16
#define HTTP_PIPELINE_BYTES (32 * 1024)

/* Handles a request; must reply to it now or later. */
typedef void (*http_serve_t)(void *arg, http_exchange_t *x);

/* Returns the body of a refusal that this module sends by itself. */
typedef char *(*http_refuse_t)(const char *reason);

/**
 * http_server_new() - Create a server and listen.
 * @base: the event loop
 * @conf: copied
 * @serve: called for each request
 * @refuse: returns the body of a refusal; the server frees it with g_free()
 * @arg: argument of @serve and of @conf->concurrent
 * @err: set on failure
 *
 * Return: the server, or NULL if the address can't be bound.
 */
http_server_t *http_server_new(struct event_base *base,
    const http_server_conf_t *conf, http_serve_t serve, http_refuse_t refuse,
    void *arg, GError **err);
void http_server_free(http_server_t *server);

/**
 * http_server_set_tls() - Set the TLS context for new connections.
 * @server: the server
 * @tls: the context; a reference is taken. NULL: plain HTTP
 */
void http_server_set_tls(http_server_t *server, SSL_CTX *tls);

/**
 * http_server_drain() - Stop listening and close each connection once idle.
 * @server: the server
 *
 * A connection with requests in flight reads no further ones; its last reply
 * says that it closes.
 */
void http_server_drain(http_server_t *server);

/**
 * http_server_close_after_reply() - Close each connection with its next reply.
 * @server: the server, which continues to listen
 */
void http_server_close_after_reply(http_server_t *server);

/* Number of open connections, and of requests not yet answered. */
unsigned int http_server_connections(const http_server_t *server);
unsigned int http_server_exchanges(const http_server_t *server);

/** http_server_accepts_failed() - Times that this process had no descriptor for
 * a connection. */
guint64 http_server_accepts_failed(void);

/** http_server_bodies() - Bytes of requests that are received or answered. */
size_t http_server_bodies(const http_server_t *server);

/** http_server_unsent() - Bytes of replies that wait for their callers. */
size_t http_server_unsent(const http_server_t *server);

/** http_server_unread() - Bytes in the sockets of connections that read no
 * further request, as of the last look at them. */
size_t http_server_unread(const http_server_t *server);

/** http_server_heads() - Bytes of heads and of requests behind others. */
size_t http_server_heads(const http_server_t *server);

/** http_server_refused_heads() - Connections closed for their requests' heads:
 * over a limit, or for the memory of all. */
guint64 http_server_refused_heads(const http_server_t *server);

/** http_server_given_up() - Replies that were reset for their memory. */
guint64 http_server_given_up(const http_server_t *server);

/* Of the request; valid until its reply ends. The URI is as it was sent. */
enum evhttp_cmd_type http_exchange_method(const http_exchange_t *x);
const char *http_exchange_uri(const http_exchange_t *x);
const struct evhttp_uri *http_exchange_target(const http_exchange_t *x);
const struct evkeyvalq *http_exchange_headers(const http_exchange_t *x);
struct evbuffer *http_exchange_body(const http_exchange_t *x);

/** http_exchange_arrived_at() - When the request was received. */
msec_t http_exchange_arrived_at(const http_exchange_t *x);

/** http_exchange_port() - The client's port; 0 if it is unknown. */
uint16_t http_exchange_port(const http_exchange_t *x);

/**
 * http_exchange_watch() - Set a callback for when the caller disconnects.
 * @x: the exchange
 * @gone: called at most once; @x is freed after it has returned
 * @arg: argument of @gone
 */
void http_exchange_watch(
    http_exchange_t *x, void (*gone)(void *arg), void *arg);

/**
 * http_reply() - Send a complete reply and end the exchange.
 * @x: the exchange
 * @status: HTTP status
 * @headers: copied; may be NULL
 * @body: drained; may be NULL; of an answer to a HEAD only its length is sent
 */
void http_reply(http_exchange_t *x, int status, const struct evkeyvalq *headers,
    struct evbuffer *body);

/**
 * http_reply_start() - Start a reply whose body is sent in pieces.
 * @x: the exchange
 * @status: HTTP status
 * @headers: copied; if they contain Content-Length, the caller must send a
 *	body of that length
 */
void http_reply_start(
    http_exchange_t *x, int status, const struct evkeyvalq *headers);

/**
 * http_reply_piece() - Send a piece of the body.
 * @x: the exchange
 * @piece: drained
 * @drained: called when all pieces so far have been sent; may be NULL
 * @arg: argument of @drained
 *
 * Return: number of bytes that wait to be sent.
 */
size_t http_reply_piece(http_exchange_t *x, struct evbuffer *piece,
    void (*drained)(void *arg), void *arg);

/* Ends a reply that was started; its body must be complete. */
void http_reply_end(http_exchange_t *x);

/**
 * http_reply_abort() - End the exchange without a whole reply.
 * @x: the exchange
 *
 * Resets the connection, so that an incomplete reply can't pass as complete.
 * If nothing of the reply was sent, but replies before it were or still wait,
 * the connection closes in order behind those, because a reset could destroy
 * them. The requests behind it are cancelled.
 */
void http_reply_abort(http_exchange_t *x);

#endif
