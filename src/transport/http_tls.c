#include <sys/socket.h>

#include <event2/bufferevent_ssl.h>
#include <openssl/ssl.h>

#include "transport/http_conn.h"

/*
 * TLS of the connections of clients. The state of a handshake takes some tens
 * of KB, so it is made when the client has sent something.
 */

#define HANDSHAKE_TIMEOUT_SEC 10

/* Between attempts to begin one while there are as many as allowed. */
#define HANDSHAKE_RETRY_MS 10

static gboolean
has_ended(evutil_socket_t fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* Replaces the plain bufferevent, and leaves the socket open. */
static gboolean
begin_tls(http_conn_t *conn, evutil_socket_t fd)
{
	http_server_t *server = conn->server;
	struct bufferevent *bev = bufferevent_openssl_socket_new(server->base,
	    fd, SSL_new(server->conf.tls), BUFFEREVENT_SSL_ACCEPTING,
	    BEV_OPT_CLOSE_ON_FREE);

	if (bev == NULL)
		return FALSE;
	bufferevent_setfd(conn->bev, -1);
	bufferevent_free(conn->bev);
	conn->bev = bev;
	return TRUE;
}

static void wait_for_turn(http_conn_t *conn);

static void
begin_handshake(http_conn_t *conn)
{
	static const struct timeval handshake = {HANDSHAKE_TIMEOUT_SEC, 0};
	const conn_room_t *room = &conn->server->room;
	evutil_socket_t fd = bufferevent_getfd(conn->bev);

	http_tls_forget(conn);
	if (has_ended(fd)) {
		http_conn_destroy(conn);
		return;
	}
	if (conn->place.kind != CONN_SPARE &&
	    !conn_room_may_handshake(room, clock_now())) {
		wait_for_turn(conn);
		return;
	}
	if (!begin_tls(conn, fd)) {
		http_conn_destroy(conn);
		return;
	}
	conn->in_handshake = TRUE;
	event_add(conn->deadline, &handshake);
	http_conn_attach(conn);
	http_room_update(conn);
}

static void
on_turn(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	begin_handshake(arg);
}

static void
wait_for_turn(http_conn_t *conn)
{
	static const struct timeval soon = {0, HANDSHAKE_RETRY_MS * 1000};

	conn->first_bytes = evtimer_new(conn->server->base, on_turn, conn);
	event_add(conn->first_bytes, &soon);
}

static void
on_first(evutil_socket_t fd, short what, void *arg)
{
	http_conn_t *conn = arg;

	(void)fd;
	if (what & EV_READ)
		begin_handshake(conn);
	else
		http_conn_destroy(conn);
}

void
http_tls_await(http_conn_t *conn)
{
	static const struct timeval idle = {IDLE_TIMEOUT_SEC, 0};

	conn->first_bytes = event_new(conn->server->base,
	    bufferevent_getfd(conn->bev), EV_READ, on_first, conn);
	event_add(conn->first_bytes, &idle);
}

void
http_tls_forget(http_conn_t *conn)
{
	if (conn->first_bytes != NULL)
		event_free(conn->first_bytes);
	conn->first_bytes = NULL;
}

void
http_tls_established(http_conn_t *conn)
{
	conn->in_handshake = FALSE;
	event_del(conn->deadline);
	http_room_update(conn);
}
