#ifndef TRANSPORT_HTTP_CONN_H
#define TRANSPORT_HTTP_CONN_H

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "base/log_bound.h"
#include "state/conn_room.h"
#include "state/conn_turns.h"
#include "state/reply_memory.h"
#include "transport/body_memory.h"
#include "transport/client_memory.h"
#include "transport/hangup_watch.h"
#include "transport/http_server.h"
#include "transport/linger.h"
#include "transport/request_reader.h"

/* Parts of the HTTP server that its own files share. */

/* Time for which a connection may be silent. */
#define IDLE_TIMEOUT_SEC 60

/*
 * One connection of a client. Callbacks of the event loop end in
 * http_conn_turn(), which reads, dispatches and closes. Functions that the
 * handler calls only change the state and call http_conn_wake(), so that no
 * connection is freed while its handler runs.
 */
typedef struct {
	http_server_t *server;
	struct bufferevent *bev;
	struct event *first_bytes; /* before the handshake of TLS; else NULL */
	struct event *turn;
	struct event *deadline; /* for the handshake, or the whole request */
	request_reader_t reader;
	GQueue exchanges;	    /* dispatched, in order of their requests */
	http_exchange_t *waiting;   /* a whole request that can't run yet */
	body_usage_t body;	    /* memory of requests */
	client_memory_entry_t head; /* memory of heads */
	size_t request_bytes;	    /* of the exchanges and of @waiting */
	reply_usage_t reply;  /* memory of replies that are not sent yet */
	size_t pending_bytes; /* of replies that wait for their turn */
	conn_entry_t place;   /* among the server's connections */
	turn_entry_t turns;   /* of its requests */
	linger_t linger;      /* once @released */
	msec_t opened_at;
	uint16_t port; /* the client's; it can't be asked for after a reset */
	msec_t unread_at; /* when what is in the input began to arrive */
	gboolean has_unread;
	gboolean in_handshake; /* of TLS */
	gboolean watched;      /* by the server's hangups */
	gboolean has_served;   /* a request */
	gboolean has_replied;
	gboolean last;	   /* no further request is read or dispatched */
	gboolean dead;	   /* to be destroyed at its turn */
	gboolean moving;   /* bytes from a pending reply to the output */
	gboolean released; /* only lingers */
} http_conn_t;

struct http_exchange {
	http_conn_t *conn;
	request_head_t head;
	struct evbuffer *body;
	size_t bytes; /* of the request */
	msec_t arrived_at;
	gboolean concurrent;
	struct evbuffer *pending; /* of the reply, until its turn */
	gboolean started, chunked, no_body;
	gboolean closes;  /* the connection, behind this reply */
	gboolean aborted; /* nothing of the reply is sent */
	gboolean ended;
	void (*gone)(void *arg);
	void *gone_arg;
	void (*drained)(void *arg);
	void *drained_arg;
};

struct http_server {
	struct event_base *base;
	struct evconnlistener *listener; /* NULL: drained */
	http_server_conf_t conf;
	http_serve_t serve;
	http_refuse_t refuse;
	void *arg;
	GHashTable *conns; /* set of http_conn_t */
	conn_room_t room;
	struct event *trimmer; /* runs while there is no room for spare ones */
	conn_turns_t turns;
	struct event *turns_run; /* pending while connections wait */
	struct event *sweeper;
	body_memory_t bodies;
	client_memory_t heads;
	guint64 refused_heads;
	size_t unread; /* see http_unread_limit() */
	log_bound_t refused_log, given_up_log, not_watched_log, unread_log;
	reply_memory_t replies;
	struct event *reliever; /* runs while replies hold too much */
	guint64 replies_given_up;
	hangup_watch_t hangups; /* of clients whose request is handled */
	unsigned int exchanges;
	unsigned int lingering;	 /* connections */
	gboolean accepts_paused; /* until a spare connection may be closed */
	gboolean draining;
	gboolean closing; /* each connection is closed after its next reply */
};

/** http_conn_open() - Serve an accepted connection. */
void http_conn_open(
    http_server_t *server, evutil_socket_t fd, const struct sockaddr *from);

/** http_conn_free() - Cancel its requests and close it; see conns. */
void http_conn_free(void *conn);

/** http_conn_destroy() - Remove from the server and free. */
void http_conn_destroy(http_conn_t *conn);

/** http_conn_turn() - Do what the state allows; may free the connection. */
void http_conn_turn(http_conn_t *conn);

/** http_conn_wake() - Have http_conn_turn() called by the loop. */
void http_conn_wake(http_conn_t *conn);

/** http_conn_on_hangup() - The client is gone; of the server's hangups. */
void http_conn_on_hangup(void *conn);

/** http_conn_attach() - Read and write by its bufferevent. */
void http_conn_attach(http_conn_t *conn);

/** http_conn_release() - Close the connection in order. */
void http_conn_release(http_conn_t *conn);

/** http_conn_reset() - Reset the connection; it is destroyed at its turn. */
void http_conn_reset(http_conn_t *conn);

/** http_conn_is_receiving() - Whether it has a part of a request. */
gboolean http_conn_is_receiving(const http_conn_t *conn);

/** http_conn_unsent() - Bytes of replies in its output. */
size_t http_conn_unsent(const http_conn_t *conn);

/**
 * http_conn_refuse() - Answer what can't be served, and close behind that.
 * @conn: the connection, without a waiting request
 * @status: HTTP status
 * @reason: for the server's refuse()
 *
 * The refusal is sent behind the replies to the requests before it.
 */
void http_conn_refuse(http_conn_t *conn, int status, const char *reason);

/* http_tls.c */
/**
 * http_tls_await() - Begin TLS once the client has sent something.
 * @conn: the connection; its bufferevent is plain and does not read until then
 */
void http_tls_await(http_conn_t *conn);

/** http_tls_forget() - Wait for the client no longer. */
void http_tls_forget(http_conn_t *conn);

/** http_tls_established() - The handshake has ended. */
void http_tls_established(http_conn_t *conn);

/* http_room.c */
/** http_room_open() - Account for a new connection. */
void http_room_open(http_conn_t *conn);

/** http_room_trim() - Close spare connections that are too many, and accept
 * others in their place; callback of the trimmer. */
void http_room_trim(evutil_socket_t fd, short what, void *server);

/** http_room_update() - Account for what a connection does now. */
void http_room_update(http_conn_t *conn);

/**
 * http_room_admit() - Give a connection whose head is complete a place.
 * @conn: the connection
 *
 * Another one may be closed for it.
 *
 * Return: FALSE if there is none; the request is to be refused.
 */
gboolean http_room_admit(http_conn_t *conn);

/** http_conn_is_input_full() - Whether it reads no more from its socket. */
gboolean http_conn_is_input_full(const http_conn_t *conn);

/** http_room_has_unread() - Whether the socket has bytes, or an end. */
gboolean http_room_has_unread(const http_conn_t *conn);

/* http_turns.c */
/**
 * http_turns_may_read() - Whether a connection may read its next request.
 * @conn: the connection; queued if it has sent more than its share
 */
gboolean http_turns_may_read(http_conn_t *conn);

/** http_turns_run() - Handle requests of queued connections; callback of
 * turns_run. */
void http_turns_run(evutil_socket_t fd, short what, void *server);

/* http_unread.c */
/** http_unread_limit() - Reset connections whose sockets hold too much. */
void http_unread_limit(http_server_t *server);

/* http_reply.c */
http_exchange_t *http_exchange_new(http_conn_t *conn);
void http_exchange_free(http_exchange_t *x);

/** http_replies_advance() - Send what has its turn; drop what is cancelled. */
void http_replies_advance(http_conn_t *conn);

/* http_memory.c */
/** http_memory_count() - Account for the bytes that a connection holds. */
void http_memory_count(http_conn_t *conn);

/** http_memory_enforce() - Refuse requests while they hold too much. */
void http_memory_enforce(http_conn_t *conn);

/** http_memory_note_refused() - Count and log a request that is refused for its
 * head or its framing. */
void http_memory_note_refused(http_conn_t *conn, const char *reason);

/** http_memory_on_output() - Account for replies; callback of the output. */
void http_memory_on_output(
    struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *conn);

/** http_memory_hold_reply() - Account for a reply that waits for its turn. */
void http_memory_hold_reply(http_conn_t *conn, size_t bytes);

/** http_memory_relieve() - Reset connections whose replies hold too much. */
void http_memory_relieve(http_server_t *server);

#endif
