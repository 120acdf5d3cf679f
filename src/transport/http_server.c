#include <sys/socket.h>

#include <errno.h>
#include <string.h>

#include <openssl/ssl.h>

#include "base/error.h"
#include "base/log.h"
#include "transport/http_conn.h"

/* A client sends its first request within this time after it has connected. */
#define FIRST_REQUEST_MS 1000
#define BACKLOG 1024 /* connections that wait to be accepted */

static const struct timeval sweep_period = {0, 100000};

/* Of all servers of the process. */
static guint64 accepts_failed;

/* Its first request may be on its way. */
static gboolean
is_fresh(const http_conn_t *conn)
{
	return !conn->has_served &&
	    clock_now() - conn->opened_at < FIRST_REQUEST_MS;
}

/* The output is checked too: a reply that has ended may not be sent yet. A
 * request that has arrived, at least in part, is read first. */
static gboolean
is_idle(const http_conn_t *conn)
{
	return conn->exchanges.length == 0 && conn->waiting == NULL &&
	    http_conn_unsent(conn) == 0 && !http_conn_is_receiving(conn) &&
	    !http_room_has_unread(conn);
}

static void
sweep_conn(http_conn_t *conn)
{
	if (conn->released) {
		if (linger_is_over(&conn->linger, clock_now()))
			http_conn_destroy(conn);
	} else if ((conn->place.kind == CONN_SPARE || conn->server->draining) &&
	    !conn->dead && is_idle(conn) && !is_fresh(conn)) {
		http_conn_release(conn);
	}
}

static void
sweep_conns(http_server_t *server)
{
	GList *all = g_hash_table_get_keys(server->conns), *at;

	/* None frees another one. */
	for (at = all; at != NULL; at = at->next)
		sweep_conn(at->data);
	g_list_free(all);
}

static void
sweep(evutil_socket_t fd, short what, void *arg)
{
	http_server_t *server = arg;

	(void)fd;
	(void)what;
	sweep_conns(server);
	http_unread_limit(server);
	if (server->listener != NULL && !server->accepts_paused)
		evconnlistener_enable(server->listener);
}

static void
relieve(evutil_socket_t fd, short what, void *arg)
{
	http_server_t *server = arg;

	/* Connections that clients have closed give way first. */
	sweep(fd, what, server);
	http_memory_relieve(server);
}

/* No descriptor is free: the connection waits in the listening socket, which
 * would be reported without end. The sweep enables it again. */
static void
on_accept_error(struct evconnlistener *listener, void *arg)
{
	int error = errno;

	(void)arg;
	accepts_failed++;
	evconnlistener_disable(listener);
	log_event(
	    LOG_WARN, "caller.not_accepted", "error", g_strerror(error), NULL);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *from, int len, void *arg)
{
	(void)listener;
	(void)len;
	http_conn_open(arg, fd, from);
}

static gboolean
listen_on(http_server_t *server, const char *address, GError **err)
{
	struct sockaddr_storage at = {0};
	int len = sizeof(at), on = 1;

	if (strrchr(address, ':') == NULL ||
	    evutil_parse_sockaddr_port(address, (struct sockaddr *)&at, &len) !=
		0) {
		error_set(
		    err, ERROR_INVALID, "listen", address, "expected IP:PORT");
		return FALSE;
	}
	server->listener = evconnlistener_new_bind(server->base, on_accept,
	    server,
	    LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_CLOSE_ON_FREE,
	    BACKLOG, (struct sockaddr *)&at, len);
	if (server->listener == NULL) {
		error_set(err, ERROR_UNAVAILABLE, "listen", address, "%s",
		    g_strerror(errno));
		return FALSE;
	}
	evconnlistener_set_error_cb(server->listener, on_accept_error);
	/* Accepted sockets inherit it. */
	(void)setsockopt(evconnlistener_get_fd(server->listener), SOL_SOCKET,
	    SO_KEEPALIVE, &on, sizeof(on));
	return TRUE;
}

http_server_t *
http_server_new(struct event_base *base, const http_server_conf_t *conf,
    http_serve_t serve, http_refuse_t refuse, void *arg, GError **err)
{
	http_server_t *server = g_new0(http_server_t, 1);

	server->base = base;
	server->conf = *conf;
	server->conf.tls = NULL;
	if (conf->pipeline_requests == 0)
		server->conf.pipeline_requests = HTTP_PIPELINE_REQUESTS;
	if (conf->pipeline_bytes == 0)
		server->conf.pipeline_bytes = HTTP_PIPELINE_BYTES;
	server->serve = serve;
	server->refuse = refuse;
	server->arg = arg;
	server->conns = g_hash_table_new_full(NULL, NULL, http_conn_free, NULL);
	if (conf->spare_connections == 0)
		server->conf.spare_connections = HTTP_SERVER_SPARE_CONNECTIONS;
	conn_room_init(&server->room, conf->max_connections,
	    server->conf.spare_connections,
	    conf->max_handshakes > 0 ? conf->max_handshakes
				     : HTTP_SERVER_HANDSHAKES);
	server->trimmer = event_new(base, -1, 0, http_room_trim, server);
	conn_turns_init(&server->turns);
	server->turns_run = evtimer_new(base, http_turns_run, server);
	if (conf->max_head_fields == 0)
		server->conf.max_head_fields = HTTP_SERVER_HEAD_FIELDS;
	body_memory_init(&server->bodies, conf->body_memory_bytes);
	client_memory_init(&server->heads,
	    conf->request_memory_bytes > 0 ? conf->request_memory_bytes
					   : HTTP_SERVER_REQUEST_MEMORY_BYTES);
	if (conf->unread_memory_bytes == 0)
		server->conf.unread_memory_bytes =
		    HTTP_SERVER_UNREAD_MEMORY_BYTES;
	reply_memory_init(&server->replies, conf->reply_memory_bytes);
	server->reliever = evtimer_new(base, relieve, server);
	server->sweeper = event_new(base, -1, EV_PERSIST, sweep, server);
	event_add(server->sweeper, &sweep_period);
	if (conf->tls != NULL)
		http_server_set_tls(server, conf->tls);
	if (hangup_watch_init(
		&server->hangups, base, http_conn_on_hangup, err) &&
	    listen_on(server, conf->address, err))
		return server;
	http_server_free(server);
	return NULL;
}

void
http_server_free(http_server_t *server)
{
	if (server->listener != NULL)
		evconnlistener_free(server->listener);
	g_hash_table_destroy(server->conns);
	hangup_watch_finish(&server->hangups);
	event_free(server->sweeper);
	event_free(server->reliever);
	event_free(server->trimmer);
	event_free(server->turns_run);
	body_memory_finish(&server->bodies);
	reply_memory_finish(&server->replies);
	http_server_set_tls(server, NULL);
	g_free(server);
}

void
http_server_set_tls(http_server_t *server, SSL_CTX *tls)
{
	if (tls != NULL)
		SSL_CTX_up_ref(tls);
	if (server->conf.tls != NULL)
		SSL_CTX_free(server->conf.tls);
	server->conf.tls = tls;
}

/* Clients of connections that wait to be accepted may have sent requests. */
static void
accept_waiting(http_server_t *server)
{
	evutil_socket_t listener = evconnlistener_get_fd(server->listener);
	struct sockaddr_storage from;
	socklen_t len;
	int i, fd;

	for (i = 0; i < BACKLOG; i++) {
		len = sizeof(from);
		fd = accept4(listener, (struct sockaddr *)&from, &len,
		    SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0)
			return;
		http_conn_open(server, fd, (struct sockaddr *)&from);
	}
}

void
http_server_drain(http_server_t *server)
{
	if (server->listener != NULL) {
		accept_waiting(server);
		evconnlistener_free(server->listener);
	}
	server->listener = NULL;
	server->draining = TRUE;
	sweep_conns(server);
}

void
http_server_close_after_reply(http_server_t *server)
{
	server->closing = TRUE;
}

unsigned int
http_server_connections(const http_server_t *server)
{
	return g_hash_table_size(server->conns);
}

unsigned int
http_server_exchanges(const http_server_t *server)
{
	return server->exchanges;
}

guint64
http_server_accepts_failed(void)
{
	return accepts_failed;
}

size_t
http_server_bodies(const http_server_t *server)
{
	return server->bodies.held;
}

size_t
http_server_unsent(const http_server_t *server)
{
	return server->replies.held;
}

size_t
http_server_unread(const http_server_t *server)
{
	return server->unread;
}

size_t
http_server_heads(const http_server_t *server)
{
	return server->heads.held;
}

guint64
http_server_refused_heads(const http_server_t *server)
{
	return server->refused_heads;
}

guint64
http_server_given_up(const http_server_t *server)
{
	return server->replies_given_up;
}
