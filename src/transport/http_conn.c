#include <sys/queue.h>
#include <sys/socket.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#include "base/log.h"
#include "transport/http_conn.h"

/* Smallest limit of the input; a head may need more. */
#define INPUT_MIN_BYTES 16384

static const char continue_text[] = "HTTP/1.1 100 Continue\r\n\r\n";

size_t
http_conn_unsent(const http_conn_t *conn)
{
	return evbuffer_get_length(bufferevent_get_output(conn->bev));
}

gboolean
http_conn_is_receiving(const http_conn_t *conn)
{
	return !conn->last && !conn->dead && !conn->released &&
	    conn->waiting == NULL &&
	    request_reader_has_begun(
		&conn->reader, bufferevent_get_input(conn->bev));
}

void
http_conn_wake(http_conn_t *conn)
{
	event_active(conn->turn, EV_TIMEOUT, 0);
}

/* What arrives from now on is left in the socket, or dropped by linger. */
static void
stop_reading(http_conn_t *conn)
{
	struct evbuffer *input = bufferevent_get_input(conn->bev);

	conn->last = TRUE;
	bufferevent_disable(conn->bev, EV_READ);
	evbuffer_drain(input, evbuffer_get_length(input));
	request_reader_drop(&conn->reader);
	http_memory_count(conn);
}

void
http_conn_refuse(http_conn_t *conn, int status, const char *reason)
{
	http_exchange_t *x = http_exchange_new(conn);
	struct evbuffer *body = evbuffer_new();
	char *text = conn->server->refuse(reason);
	struct evkeyvalq headers = TAILQ_HEAD_INITIALIZER(headers);

	/* A HEAD is answered without a body, also if it is refused. */
	x->head.method = conn->reader.head.method;
	x->head.minor = conn->reader.has_head || conn->reader.head.len > 0
	    ? conn->reader.head.minor
	    : 1;
	x->closes = TRUE;
	stop_reading(conn);
	conn->server->exchanges++;
	g_queue_push_tail(&conn->exchanges, x);
	evhttp_add_header(&headers, "Content-Type", "application/json");
	evbuffer_add(body, text, strlen(text));
	http_reply(x, status, &headers, body);
	evhttp_clear_headers(&headers);
	evbuffer_free(body);
	g_free(text);
}

/* Requests in flight, their replies, and what waits for the client to read. */
static size_t
pipeline_bytes(const http_conn_t *conn)
{
	return conn->request_bytes + conn->pending_bytes +
	    http_conn_unsent(conn);
}

static gboolean
is_pipeline_full(const http_conn_t *conn)
{
	const http_server_conf_t *conf = &conn->server->conf;

	return conn->exchanges.length >= conf->pipeline_requests ||
	    pipeline_bytes(conn) >= conf->pipeline_bytes;
}

static gboolean
is_closing(const http_conn_t *conn)
{
	return conn->server->draining || conn->server->closing;
}

static gboolean
may_read(const http_conn_t *conn)
{
	gboolean busy = conn->exchanges.length > 0;

	if (conn->last || conn->waiting != NULL)
		return FALSE;
	/* The last reply in flight says that the connection closes. */
	if (busy && is_closing(conn))
		return FALSE;
	return (!busy && http_conn_unsent(conn) == 0) ||
	    !is_pipeline_full(conn);
}

static gboolean
may_dispatch(const http_conn_t *conn)
{
	const http_exchange_t *first =
	    conn->exchanges.head != NULL ? conn->exchanges.head->data : NULL;

	if (first == NULL)
		return TRUE;
	return conn->waiting->concurrent && first->concurrent &&
	    !is_closing(conn) &&
	    conn->exchanges.length < conn->server->conf.pipeline_requests;
}

static void
dispatch(http_conn_t *conn)
{
	http_exchange_t *x = conn->waiting;

	conn->waiting = NULL;
	conn->has_served = TRUE;
	/* Nothing behind the last request is read. */
	if (request_head_closes(&x->head)) {
		x->closes = TRUE;
		stop_reading(conn);
	}
	conn->server->exchanges++;
	g_queue_push_tail(&conn->exchanges, x);
	conn->server->serve(conn->server->arg, x);
}

static void
take_request(http_conn_t *conn)
{
	http_server_t *server = conn->server;
	http_exchange_t *x = http_exchange_new(conn);

	request_reader_take(&conn->reader, &x->head, &x->body);
	x->arrived_at = conn->unread_at;
	x->bytes = request_head_held(&x->head) + evbuffer_get_length(x->body);
	conn->request_bytes += x->bytes;
	x->concurrent = server->conf.concurrent != NULL &&
	    server->conf.concurrent(server->arg, x);
	conn->waiting = x;
	event_del(conn->deadline);
	conn_turns_note(&conn->turns);
}

/* Return: FALSE if there is no whole request. */
static gboolean
read_request(http_conn_t *conn)
{
	struct evbuffer *input = bufferevent_get_input(conn->bev);
	request_state_t state = request_reader_read(&conn->reader, input);

	if (state != REQUEST_FAULT && conn->reader.has_head &&
	    !http_room_admit(conn)) {
		http_conn_refuse(conn, 503, "too-many-connections");
		return FALSE;
	}
	switch (state) {
	case REQUEST_PART:
		conn->has_unread = FALSE;
		return FALSE;
	case REQUEST_FAULT:
		http_memory_note_refused(conn, conn->reader.wrong);
		http_conn_refuse(conn, conn->reader.status, conn->reader.wrong);
		return FALSE;
	case REQUEST_WHOLE:
		break;
	}
	take_request(conn);
	conn->has_unread = evbuffer_get_length(input) > 0;
	return TRUE;
}

/* The client waits for it; in front of another reply it would be taken for an
 * interim answer to that request. */
static void
send_continue(http_conn_t *conn)
{
	if (!conn->reader.wants_continue || conn->exchanges.length > 0 ||
	    conn->last)
		return;
	conn->reader.wants_continue = FALSE;
	bufferevent_write(conn->bev, continue_text, sizeof(continue_text) - 1);
}

/* The time for a request counts while nothing else keeps the connection busy:
 * the client may wait for replies, or send slowly because it reads slowly. */
static void
set_deadline(http_conn_t *conn)
{
	msec_t ms = conn->server->conf.receive_ms;
	struct timeval tv = {ms / MSEC_PER_SEC, (ms % MSEC_PER_SEC) * 1000};

	if (conn->in_handshake)
		return;
	if (!http_conn_is_receiving(conn) || conn->exchanges.length > 0)
		event_del(conn->deadline);
	else if (!event_pending(conn->deadline, EV_TIMEOUT, NULL) &&
	    http_conn_unsent(conn) == 0)
		event_add(conn->deadline, &tv);
}

void
http_conn_turn(http_conn_t *conn)
{
	while (!conn->dead) {
		http_replies_advance(conn);
		if (conn->last && conn->waiting != NULL) {
			http_exchange_free(conn->waiting);
			conn->waiting = NULL;
		}
		if (conn->waiting != NULL && may_dispatch(conn))
			dispatch(conn);
		else if (!may_read(conn) || !http_turns_may_read(conn) ||
		    !read_request(conn))
			break;
	}
	if (conn->dead) {
		http_conn_destroy(conn);
		return;
	}
	send_continue(conn);
	http_memory_count(conn);
	http_room_update(conn);
	set_deadline(conn);
	if (conn->last && conn->exchanges.length == 0 &&
	    http_conn_unsent(conn) == 0)
		http_conn_release(conn);
}

static void
on_turn(evutil_socket_t fd, short what, void *arg)
{
	http_conn_t *conn = arg;

	(void)fd;
	(void)what;
	if (!conn->released)
		http_conn_turn(conn);
}

static void
on_deadline(evutil_socket_t fd, short what, void *arg)
{
	http_conn_t *conn = arg;

	(void)fd;
	(void)what;
	if (conn->in_handshake) {
		http_conn_destroy(conn);
		return;
	}
	if (http_conn_is_receiving(conn))
		http_conn_refuse(conn, 408, "request-too-slow");
	http_conn_turn(conn);
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	http_conn_t *conn = arg;

	(void)bev;
	if (!conn->has_unread)
		conn->unread_at = clock_now();
	conn->has_unread = TRUE;
	http_memory_count(conn);
	http_memory_enforce(conn);
	http_conn_turn(conn);
}

static void
on_write(struct bufferevent *bev, void *arg)
{
	http_conn_t *conn = arg;
	http_exchange_t *x = g_queue_peek_head(&conn->exchanges);
	void (*drained)(void *arg);

	(void)bev;
	if (x != NULL && x->drained != NULL) {
		drained = x->drained;
		x->drained = NULL;
		drained(x->drained_arg);
	}
	http_conn_turn(conn);
}

/* The client reads its replies to the end, if no request is cut by that. */
static void
on_end_of_input(http_conn_t *conn)
{
	if (conn->exchanges.length > 0 || conn->waiting != NULL ||
	    http_conn_unsent(conn) == 0) {
		http_conn_destroy(conn);
		return;
	}
	stop_reading(conn);
	http_conn_turn(conn);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	http_conn_t *conn = arg;

	if (what & BEV_EVENT_CONNECTED) {
		http_tls_established(conn);
		return;
	}
	if ((what & BEV_EVENT_TIMEOUT) && (what & BEV_EVENT_READING) &&
	    (conn->exchanges.length > 0 || http_conn_unsent(conn) > 0)) {
		bufferevent_enable(bev, EV_READ);
		return;
	}
	if (what & BEV_EVENT_EOF)
		on_end_of_input(conn);
	else
		http_conn_destroy(conn);
}

/* A reply that has just ended is sent before the connection ends. */
void
http_conn_on_hangup(void *arg)
{
	http_conn_t *conn = arg;

	if (!conn->dead)
		http_replies_advance(conn);
	on_end_of_input(conn);
}

static uint16_t
port_of(const struct sockaddr *from)
{
	struct sockaddr_in6 v6;
	struct sockaddr_in v4;

	switch (from->sa_family) {
	case AF_INET:
		memcpy(&v4, from, sizeof(v4));
		return ntohs(v4.sin_port);
	case AF_INET6:
		memcpy(&v6, from, sizeof(v6));
		return ntohs(v6.sin6_port);
	default:
		return 0;
	}
}

/* Whole heads and parts of bodies are taken out at once. */
static size_t
input_limit(const http_conn_t *conn)
{
	return MAX(conn->server->conf.max_head_bytes + 1, INPUT_MIN_BYTES);
}

gboolean
http_conn_is_input_full(const http_conn_t *conn)
{
	return evbuffer_get_length(bufferevent_get_input(conn->bev)) >=
	    input_limit(conn);
}

void
http_conn_attach(http_conn_t *conn)
{
	static const struct timeval idle = {IDLE_TIMEOUT_SEC, 0};
	struct bufferevent *bev = conn->bev;

	evbuffer_add_cb(
	    bufferevent_get_output(bev), http_memory_on_output, conn);
	bufferevent_setcb(bev, on_read, on_write, on_event, conn);
	bufferevent_setwatermark(bev, EV_READ, 0, input_limit(conn));
	bufferevent_set_timeouts(bev, &idle, &idle);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
}

void
http_conn_open(
    http_server_t *server, evutil_socket_t fd, const struct sockaddr *from)
{
	struct bufferevent *bev =
	    bufferevent_socket_new(server->base, fd, BEV_OPT_CLOSE_ON_FREE);
	http_conn_t *conn;
	int on = 1;

	if (bev == NULL) {
		evutil_closesocket(fd);
		return;
	}
	/* A small reply behind another one would wait for the client's
	 * delayed acknowledgement. */
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	conn = g_new0(http_conn_t, 1);
	conn->server = server;
	conn->bev = bev;
	conn->turn = event_new(server->base, -1, 0, on_turn, conn);
	conn->deadline = evtimer_new(server->base, on_deadline, conn);
	request_reader_init(&conn->reader, server->conf.max_head_bytes,
	    server->conf.max_head_fields, server->conf.max_body_bytes);
	g_queue_init(&conn->exchanges);
	conn->opened_at = clock_now();
	conn->port = port_of(from);
	conn->reply.owner = conn;
	conn->head.owner = conn;
	conn->place.owner = conn;
	conn->turns.owner = conn;
	g_hash_table_add(server->conns, conn);
	if (server->conf.tls != NULL)
		http_tls_await(conn);
	else
		http_conn_attach(conn);
	http_room_open(conn);
}

/* Cancels what the handler has not answered. */
static void
free_exchanges(http_conn_t *conn)
{
	http_exchange_t *x;

	while ((x = g_queue_pop_head(&conn->exchanges)) != NULL) {
		if (!x->ended) {
			conn->server->exchanges--;
			if (x->gone != NULL)
				x->gone(x->gone_arg);
		}
		http_exchange_free(x);
	}
	if (conn->waiting != NULL)
		http_exchange_free(conn->waiting);
	conn->waiting = NULL;
}

void
http_conn_free(void *arg)
{
	http_conn_t *conn = arg;
	http_server_t *server = conn->server;

	conn->dead = TRUE;
	if (conn->watched)
		hangup_watch_remove(
		    &server->hangups, bufferevent_getfd(conn->bev));
	free_exchanges(conn);
	http_tls_forget(conn);
	reply_memory_detach(&server->replies, &conn->reply);
	evbuffer_remove_cb(
	    bufferevent_get_output(conn->bev), http_memory_on_output, conn);
	body_memory_detach(&server->bodies, &conn->body);
	client_memory_remove(&server->heads, &conn->head);
	if (conn->linger.input != NULL)
		server->lingering--;
	conn_room_remove(&server->room, &conn->place);
	conn_turns_remove(&server->turns, &conn->turns);
	linger_finish(&conn->linger);
	request_reader_finish(&conn->reader);
	event_free(conn->turn);
	event_free(conn->deadline);
	bufferevent_free(conn->bev);
	g_free(conn);
}

void
http_conn_destroy(http_conn_t *conn)
{
	g_hash_table_remove(conn->server->conns, conn);
}

void
http_conn_release(http_conn_t *conn)
{
	http_server_t *server = conn->server;

	if (server->lingering >= server->conf.spare_connections) {
		http_conn_destroy(conn);
		return;
	}
	stop_reading(conn);
	http_tls_forget(conn);
	conn_room_remove(&server->room, &conn->place);
	conn_turns_remove(&server->turns, &conn->turns);
	conn->released = TRUE;
	event_del(conn->deadline);
	bufferevent_setcb(conn->bev, NULL, NULL, NULL, NULL);
	bufferevent_disable(conn->bev, EV_READ | EV_WRITE);
	server->lingering++;
	linger_begin(&conn->linger, server->base, bufferevent_getfd(conn->bev),
	    clock_now());
}

/*
 * Connecting to AF_UNSPEC resets the connection. An orderly close could pass as
 * the end of the body.
 */
void
http_conn_reset(http_conn_t *conn)
{
	struct sockaddr none = {.sa_family = AF_UNSPEC};

	(void)connect(bufferevent_getfd(conn->bev), &none, sizeof(none));
	conn->dead = TRUE;
	http_conn_wake(conn);
}
