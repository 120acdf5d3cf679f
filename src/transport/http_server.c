#include <sys/ioctl.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <event2/bufferevent.h>
#include <event2/bufferevent_ssl.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/listener.h>
#include <openssl/ssl.h>

#include "base/error.h"
#include "base/log.h"
#include "state/reply_memory.h"
#include "transport/body_memory.h"
#include "transport/client_memory.h"
#include "transport/hangup_watch.h"
#include "transport/http_check.h"
#include "transport/http_server.h"
#include "transport/linger.h"
#include "transport/request_framing.h"

#define IDLE_TIMEOUT_SEC 60
/* A caller sends its first request within this time after it has connected. */
#define FIRST_REQUEST_MS 1000
/* Connections over the limit that wait for their request to be refused. */
#define REFUSED_MAX_CONNECTIONS 100
/* Input behind a whole request at which reading stops; more than one read of
 * libevent (4 KB). */
#define BEHIND_MAX_BYTES 8192

static const struct timeval sweep_period = {0, 100000};

/* Of all servers of the process: evhttp holds the listener's argument. */
static guint64 accepts_failed;

#define ALLOWED_METHODS \
	(EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT | \
	    EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH)

/*
 * One connection of a caller. evhttp does not report a connection before its
 * first complete request. The server therefore creates the bufferevent itself
 * and holds a reference. Once evhttp has released the bufferevent, its
 * callbacks are NULL.
 */
typedef struct {
	http_server_t *server;
	struct bufferevent *bev;
	struct event *deadline;	    /* for receiving the complete request */
	body_usage_t body;	    /* memory of the current request */
	client_memory_entry_t head; /* memory of heads */
	reply_usage_t reply; /* memory of replies that are not sent yet */
	struct evhttp_connection *evcon; /* NULL before the first request */
	http_exchange_t *x;		 /* the request being answered */
	linger_t linger; /* once evhttp has released the connection */
	msec_t opened_at;
	request_framing_t framing;
	gboolean receiving;
	gboolean refused; /* over the limit on connections */
	gboolean shed;	  /* refused for its memory; further input is ignored */
	gboolean shut;	  /* no answer can be sent any more */
} conn_t;

struct http_exchange {
	conn_t *conn;
	struct evhttp_connection *evcon;
	struct evhttp_request *req;
	size_t head;	  /* memory of its head */
	gboolean watched; /* by the server's hangups */
	void (*gone)(void *arg);
	void *gone_arg;
	void (*drained)(void *arg);
	void *drained_arg;
	gboolean ended;
};

struct http_server {
	struct event_base *base;
	struct evhttp *http;
	struct evhttp_bound_socket *listener;
	http_server_conf_t conf;
	http_serve_t serve;
	http_refuse_t refuse;
	void *arg;
	GHashTable *conns; /* bufferevent to conn_t */
	struct event *sweeper;
	body_memory_t bodies;
	client_memory_t heads;
	const conn_t *reading; /* its input is being read */
	guint64 refused_heads;
	reply_memory_t replies;
	struct event *reliever; /* runs while replies hold too much */
	guint64 replies_given_up;
	hangup_watch_t hangups; /* of callers whose request is handled */
	unsigned int exchanges;
	unsigned int lingering; /* connections */
	unsigned int refused;	/* connections */
	gboolean draining;
	gboolean closing; /* each connection is closed after its next reply */
};

static void
start_receiving(conn_t *conn)
{
	msec_t ms = conn->server->conf.receive_ms;
	struct timeval tv = {ms / MSEC_PER_SEC, (ms % MSEC_PER_SEC) * 1000};

	conn->receiving = TRUE;
	event_add(conn->deadline, &tv);
}

/* What is left in the input belongs to the next request, whose time begins once
 * the reply is sent: see on_output(). */
static void
count_rest(conn_t *conn)
{
	size_t n = evbuffer_get_length(bufferevent_get_input(conn->bev));

	if (n == 0 || conn->shed)
		return;
	body_memory_take(&conn->server->bodies, &conn->body,
	    bufferevent_getfd(conn->bev), n);
}

static gboolean
is_answering(const conn_t *conn)
{
	return conn->x != NULL ||
	    evbuffer_get_length(bufferevent_get_output(conn->bev)) > 0;
}

/* Sets what the connection holds, and how much more of it is read. Bytes of a
 * body are counted by body_memory. */
static void
count_head(conn_t *conn)
{
	const request_framing_t *f = &conn->framing;
	gboolean whole = is_answering(conn) || request_framing_has_whole(f);
	gboolean in_body = f->state == REQUEST_FRAMING_BODY ||
	    f->state == REQUEST_FRAMING_CHUNKS;
	size_t bytes = client_memory_head_cost(f->head, f->fields);

	if (conn->shed || conn->shut) {
		client_memory_remove(&conn->server->heads, &conn->head);
		return;
	}
	if (conn->x != NULL)
		bytes += conn->x->head;
	if (whole || !in_body)
		bytes += evbuffer_get_length(bufferevent_get_input(conn->bev));
	client_memory_set(&conn->server->heads, &conn->head, bytes, whole);
	/* evhttp reads while it sends a reply, without a limit. */
	bufferevent_setwatermark(conn->bev, EV_READ, 0,
	    f->status != 0 ? 1
		: whole	   ? BEHIND_MAX_BYTES
			   : 0);
}

static void
exchange_free(http_exchange_t *x)
{
	x->conn->x = NULL;
	x->conn->server->exchanges--;
	body_memory_release(&x->conn->server->bodies, &x->conn->body);
	count_rest(x->conn);
	count_head(x->conn);
	evhttp_connection_set_closecb(x->evcon, NULL, NULL);
	if (x->watched)
		hangup_watch_remove(
		    &x->conn->server->hangups, bufferevent_getfd(x->conn->bev));
	g_free(x);
}

/* Replies are added to the output, and leave it as the caller reads. */
static void
on_output(
    struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *arg)
{
	const struct timeval now = {0, 0};
	conn_t *conn = arg;
	http_server_t *server = conn->server;
	const body_peer_t *peer = conn->body.peer;

	(void)buffer;
	if (info->n_deleted > 0)
		reply_memory_take(&server->replies, &conn->reply,
		    info->n_deleted, clock_now());
	/* The next request may have begun to arrive before. */
	if (!is_answering(conn) && !conn->receiving &&
	    evbuffer_get_length(bufferevent_get_input(conn->bev)) > 0)
		start_receiving(conn);
	if (!is_answering(conn))
		count_head(conn);
	if (info->n_added == 0)
		return;
	reply_memory_add(&server->replies, &conn->reply,
	    peer != NULL ? peer->address : "", info->n_added, clock_now());
	/* From the loop: evhttp still uses the connection. */
	if (reply_memory_is_over(&server->replies))
		event_add(server->reliever, &now);
}

static void
conn_free(void *p)
{
	conn_t *conn = p;

	reply_memory_detach(&conn->server->replies, &conn->reply);
	evbuffer_remove_cb(bufferevent_get_output(conn->bev), on_output, conn);
	body_memory_detach(&conn->server->bodies, &conn->body);
	client_memory_remove(&conn->server->heads, &conn->head);
	if (conn->linger.input != NULL)
		conn->server->lingering--;
	conn->server->refused -= conn->refused;
	linger_finish(&conn->linger);
	request_framing_finish(&conn->framing);
	event_free(conn->deadline);
	bufferevent_decref(conn->bev);
	g_free(conn);
}

/* The connection is closed before its reply has ended. */
static void
on_conn_close(struct evhttp_connection *evcon, void *arg)
{
	http_exchange_t *x = arg;

	(void)evcon;
	if (x->gone != NULL && !x->ended)
		x->gone(x->gone_arg);
	/* evhttp leaves a request whose reply has started to its user. */
	if (evhttp_request_get_connection(x->req) == NULL)
		evhttp_request_free(x->req);
	exchange_free(x);
}

/* Shuts the socket down; evhttp then reads EOF and frees the connection. */
static void
shut_down(conn_t *conn)
{
	conn->shut = TRUE;
	shutdown(bufferevent_getfd(conn->bev), SHUT_RDWR);
}

/* Has evhttp free the connection as at an EOF, while the socket stays open and
 * can linger. */
static void
release_from_evhttp(conn_t *conn)
{
	conn->shut = TRUE;
	shutdown(bufferevent_getfd(conn->bev), SHUT_WR);
	bufferevent_disable(conn->bev, EV_READ);
	bufferevent_trigger_event(conn->bev, BEV_EVENT_READING | BEV_EVENT_EOF,
	    BEV_TRIG_DEFER_CALLBACKS);
}

/*
 * Sends a refusal directly on the socket and closes the connection: evhttp
 * can't answer before it has read the complete request. Over TLS, and in the
 * middle of a reply, the connection is closed without a refusal.
 */
static void
refuse_raw(conn_t *conn, int status, const char *reason)
{
	http_server_t *server = conn->server;
	char *body = server->refuse(reason);
	char *text = g_strdup_printf("HTTP/1.1 %d Refused\r\n"
				     "Content-Type: application/json\r\n"
				     "Content-Length: %zu\r\n"
				     "Connection: close\r\n\r\n%s",
	    status, strlen(body), body);

	/* It would be taken for the answer to the request before. */
	if (server->conf.tls == NULL && !is_answering(conn)) {
		(void)send(bufferevent_getfd(conn->bev), text, strlen(text),
		    MSG_NOSIGNAL | MSG_DONTWAIT);
		release_from_evhttp(conn);
	} else {
		shut_down(conn);
	}
	g_free(text);
	g_free(body);
}

static void
on_deadline(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	refuse_raw(arg, 408, "request-too-slow");
}

/* The request that holds most among those still received from an address. */
static conn_t *
largest_of(const http_server_t *server, const body_peer_t *peer)
{
	conn_t *conn, *largest = NULL;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, server->conns);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		conn = value;
		if (conn->body.peer == peer && conn->receiving && !conn->shed &&
		    (largest == NULL || conn->body.held > largest->body.held))
			largest = conn;
	}
	return largest;
}

static void
shed(conn_t *conn)
{
	conn->shed = TRUE;
	body_memory_release(&conn->server->bodies, &conn->body);
	refuse_raw(conn, 503, "body-memory-full");
}

static void
enforce_body_memory(conn_t *conn)
{
	const http_server_t *server = conn->server;
	conn_t *largest;

	while (
	    !conn->shed && body_memory_is_over(&server->bodies, &conn->body)) {
		largest = largest_of(server, conn->body.peer);
		shed(largest != NULL ? largest : conn);
	}
}

/*
 * Refuses an incomplete request and has evhttp free what it has read of it: at
 * once, as one turn of the loop reads from many connections. From within
 * evhttp's own reading of the connection this waits for the next turn, and what
 * was just read is not parsed.
 */
static void
refuse_head(conn_t *conn, int status, const char *reason)
{
	http_server_t *server = conn->server;
	gboolean is_reading = server->reading == conn;

	conn->shed = TRUE;
	server->refused_heads++;
	log_event(LOG_WARN, "caller.head_refused", "reason", reason, "bytes",
	    log_num((long long)conn->head.held), "all_bytes",
	    log_num((long long)server->heads.held), NULL);
	body_memory_release(&server->bodies, &conn->body);
	client_memory_remove(&server->heads, &conn->head);
	refuse_raw(conn, status, reason);
	evbuffer_drain(bufferevent_get_input(conn->bev), SIZE_MAX);
	if (!is_reading)
		bufferevent_trigger_event(
		    conn->bev, BEV_EVENT_READING | BEV_EVENT_EOF, 0);
}

/* Requests before it are answered first; sweep_conn() looks again. */
static void
refuse_fault(conn_t *conn)
{
	const request_framing_t *f = &conn->framing;

	if (f->status != 0 && !conn->shed && !conn->shut &&
	    !is_answering(conn) && !request_framing_has_whole(f))
		refuse_head(conn, f->status, f->fault);
}

static void
enforce_head_memory(http_server_t *server)
{
	client_memory_entry_t *victim;

	while ((victim = client_memory_victim(&server->heads)) != NULL)
		refuse_head(victim->owner, 503, "request-memory-full");
}

/* Reads the last @n bytes of the input. */
static void
read_framing(conn_t *conn, struct evbuffer *buffer, size_t n)
{
	struct evbuffer_iovec part;
	struct evbuffer_ptr at;
	size_t len;

	evbuffer_ptr_set(
	    buffer, &at, evbuffer_get_length(buffer) - n, EVBUFFER_PTR_SET);
	while (
	    n > 0 && evbuffer_peek(buffer, (ev_ssize_t)n, &at, &part, 1) > 0) {
		len = MIN(n, part.iov_len);
		request_framing_read(&conn->framing, part.iov_base, len);
		n -= len;
		if (n > 0)
			evbuffer_ptr_set(buffer, &at, len, EVBUFFER_PTR_ADD);
	}
}

static void
on_input(
    struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *arg)
{
	conn_t *conn = arg;
	http_server_t *server = conn->server;

	if (info->n_added == 0 || conn->shed)
		return;
	read_framing(conn, buffer, info->n_added);
	body_memory_take(&server->bodies, &conn->body,
	    bufferevent_getfd(conn->bev), info->n_added);
	/* evhttp reads on after the answer: see on_output(). */
	if (!is_answering(conn) && !conn->receiving)
		start_receiving(conn);
	if (conn->refused)
		refuse_raw(conn, 503, "too-many-connections");
	else
		enforce_body_memory(conn);
	server->reading = conn;
	refuse_fault(conn);
	count_head(conn);
	enforce_head_memory(server);
	server->reading = NULL;
}

static gboolean
is_released_by_evhttp(const conn_t *conn)
{
	bufferevent_data_cb on_read, on_write;
	bufferevent_event_cb on_event;

	bufferevent_getcb(conn->bev, &on_read, &on_write, &on_event, NULL);
	return on_read == NULL && on_write == NULL && on_event == NULL;
}

/* The output is checked too: a reply that has ended may not be sent yet. */
static gboolean
is_idle(const conn_t *conn)
{
	return !is_answering(conn) && !conn->receiving;
}

/* A request that has arrived, at least in part, is read first. */
static gboolean
has_unread(const conn_t *conn)
{
	int bytes = 0;

	return ioctl(bufferevent_getfd(conn->bev), FIONREAD, &bytes) == 0 &&
	    bytes > 0;
}

/* Whether a connection that evhttp has released may be closed. */
static gboolean
may_close(conn_t *conn)
{
	http_server_t *server = conn->server;
	msec_t now = clock_now();

	if (conn->linger.input == NULL) {
		if (server->lingering >= LINGER_MAX_CONNECTIONS)
			return TRUE;
		server->lingering++;
		evbuffer_drain(bufferevent_get_input(conn->bev), SIZE_MAX);
		linger_begin(&conn->linger, server->base,
		    bufferevent_getfd(conn->bev), now);
	}
	return linger_is_over(&conn->linger, now);
}

/* Its first request may be on its way. */
static gboolean
is_fresh(const conn_t *conn)
{
	return conn->evcon == NULL &&
	    conn->server->refused <= REFUSED_MAX_CONNECTIONS &&
	    clock_now() - conn->opened_at < FIRST_REQUEST_MS;
}

static gboolean
sweep_conn(gpointer key, gpointer value, gpointer arg)
{
	http_server_t *server = arg;
	conn_t *conn = value;

	(void)key;
	if (is_released_by_evhttp(conn))
		return conn->x == NULL && may_close(conn);
	if (conn->shut)
		return FALSE;
	refuse_fault(conn);
	if (is_idle(conn) && !has_unread(conn) && !is_fresh(conn) &&
	    (conn->refused || server->draining))
		shut_down(conn);
	return FALSE;
}

static void
sweep(evutil_socket_t fd, short what, void *arg)
{
	http_server_t *server = arg;

	(void)fd;
	(void)what;
	g_hash_table_foreach_remove(server->conns, sweep_conn, server);
	if (!server->draining)
		evconnlistener_enable(
		    evhttp_bound_socket_get_listener(server->listener));
}

/*
 * Connecting to AF_UNSPEC resets the connection. An orderly close could pass as
 * the end of the body. The reset can't be left to close(): evhttp shuts the
 * connection down in an orderly way before that.
 */
static void
reset(conn_t *conn)
{
	struct sockaddr none = {.sa_family = AF_UNSPEC};

	(void)connect(bufferevent_getfd(conn->bev), &none, sizeof(none));
	if (conn->evcon != NULL)
		evhttp_connection_free(conn->evcon);
}

/* The caller gets a reset: a part of a reply can't pass as the whole. */
static void
give_up_reply(conn_t *conn)
{
	http_server_t *server = conn->server;
	const reply_usage_t *u = &conn->reply;

	server->replies_given_up++;
	log_event(LOG_WARN, "caller.reply_given_up", "address",
	    u->peer->address, "bytes", log_num((long long)u->held), "waited_ms",
	    log_num(clock_now() - u->began_at), "untaken_ms",
	    log_num(clock_now() - u->taken_at), "reads", log_num(u->reads),
	    NULL);
	reply_memory_release(&server->replies, &conn->reply);
	if (!is_released_by_evhttp(conn))
		reset(conn);
	if (conn->x == NULL && is_released_by_evhttp(conn))
		g_hash_table_remove(server->conns, conn->bev);
}

static void
relieve(evutil_socket_t fd, short what, void *arg)
{
	http_server_t *server = arg;
	reply_usage_t *u;

	/* Connections that callers have closed give way first. */
	sweep(fd, what, server);
	while (reply_memory_is_over(&server->replies)) {
		u = reply_memory_next(&server->replies, clock_now());
		if (u == NULL)
			return;
		give_up_reply(u->owner);
	}
}

/* Connections that were refused, or that evhttp has released, don't count. */
static gboolean
has_too_many(const http_server_t *server)
{
	GHashTableIter it;
	gpointer value;
	unsigned int n = 0;

	if (g_hash_table_size(server->conns) < server->conf.max_connections)
		return FALSE;
	g_hash_table_iter_init(&it, server->conns);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const conn_t *conn = value;

		n += !conn->refused && !is_released_by_evhttp(conn);
	}
	return n >= server->conf.max_connections;
}

static struct bufferevent *
new_bufferevent(struct event_base *base, void *arg)
{
	http_server_t *server = arg;
	conn_t *conn = g_new0(conn_t, 1);

	if (server->conf.tls == NULL)
		conn->bev =
		    bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
	else
		conn->bev = bufferevent_openssl_socket_new(base, -1,
		    SSL_new(server->conf.tls), BUFFEREVENT_SSL_ACCEPTING,
		    BEV_OPT_CLOSE_ON_FREE);
	bufferevent_incref(conn->bev);
	request_framing_init(&conn->framing, server->conf.max_head_bytes,
	    server->conf.max_head_fields);
	conn->server = server;
	conn->deadline = evtimer_new(base, on_deadline, conn);
	conn->opened_at = clock_now();
	conn->refused = has_too_many(server);
	server->refused += conn->refused;
	evbuffer_add_cb(bufferevent_get_input(conn->bev), on_input, conn);
	evbuffer_add_cb(bufferevent_get_output(conn->bev), on_output, conn);
	conn->reply.owner = conn;
	conn->head.owner = conn;
	g_hash_table_insert(server->conns, conn->bev, conn);
	return conn->bev;
}

static void
on_hangup(void *arg)
{
	http_exchange_t *x = arg;

	evhttp_connection_free(x->evcon);
}

static void
refuse_headers(http_exchange_t *x, int status, const char *wrong)
{
	struct evbuffer *body = evbuffer_new();
	char *text = x->conn->server->refuse(wrong);

	/* The boundaries of later requests on this connection are unknown. */
	evhttp_add_header(x->req->output_headers, "Connection", "close");
	evbuffer_add(body, text, strlen(text));
	http_reply(x, status, NULL, body);
	evbuffer_free(body);
	g_free(text);
}

/* Return: NULL, or what is wrong with a request as evhttp has read it. */
static const char *
check_request(struct evhttp_request *req)
{
	const char *wrong = http_check_headers(req->input_headers);

	if (req->major != 1) {
		wrong = "unknown version of HTTP";
		/* evhttp replies in the version of the request. */
		req->major = 1;
		req->minor = 1;
	}
	req->minor = MIN(req->minor, 1);
	if (wrong == NULL && req->minor == 0 &&
	    evhttp_find_header(req->input_headers, "Transfer-Encoding") != NULL)
		wrong = "Transfer-Encoding in HTTP/1.0";
	if (wrong == NULL)
		wrong = http_check_target(evhttp_request_get_uri(req));
	if (wrong == NULL)
		wrong = http_check_body(
		    evhttp_request_get_command(req), req->input_headers);
	return wrong;
}

static size_t
head_cost(const struct evhttp_request *req)
{
	const struct evkeyval *h;
	size_t bytes = strlen(evhttp_request_get_uri(req)), n = 0;

	TAILQ_FOREACH(h, req->input_headers, next)
	{
		bytes += strlen(h->key) + strlen(h->value);
		n++;
	}
	return client_memory_head_cost(bytes, n);
}

static void
on_request(struct evhttp_request *req, void *arg)
{
	http_server_t *server = arg;
	http_exchange_t *x = g_new0(http_exchange_t, 1);
	const char *wrong = check_request(req), *framing;

	x->req = req;
	x->evcon = evhttp_request_get_connection(req);
	x->conn = g_hash_table_lookup(
	    server->conns, evhttp_connection_get_bufferevent(x->evcon));
	x->conn->evcon = x->evcon;
	framing = request_framing_take(&x->conn->framing);
	if (wrong == NULL)
		wrong = framing;
	x->conn->receiving = FALSE;
	x->conn->x = x;
	x->head = head_cost(req);
	count_head(x->conn);
	event_del(x->conn->deadline);
	evhttp_connection_set_closecb(x->evcon, on_conn_close, x);
	server->exchanges++;
	/* evhttp still reads what had arrived. */
	if (x->conn->shut)
		http_reply(x, 503, NULL, NULL);
	else if (wrong != NULL)
		refuse_headers(x, 400, wrong);
	else if (client_memory_is_over(&server->heads))
		refuse_headers(x, 503, "request-memory-full");
	else if ((evhttp_request_get_command(req) & ALLOWED_METHODS) == 0)
		refuse_headers(x, 501, "the method is not supported");
	else
		server->serve(server->arg, x);
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

static gboolean
listen_on(http_server_t *server, const char *address, GError **err)
{
	const char *colon = strrchr(address, ':');
	char *ip;

	if (colon == NULL) {
		error_set(
		    err, ERROR_INVALID, "listen", address, "expected IP:PORT");
		return FALSE;
	}
	ip = g_strndup(address, (gsize)(colon - address));
	server->listener = evhttp_bind_socket_with_handle(
	    server->http, ip, (uint16_t)strtoul(colon + 1, NULL, 10));
	g_free(ip);
	if (server->listener != NULL) {
		evconnlistener_set_error_cb(
		    evhttp_bound_socket_get_listener(server->listener),
		    on_accept_error);
		return TRUE;
	}
	error_set(
	    err, ERROR_UNAVAILABLE, "listen", address, "%s", g_strerror(errno));
	return FALSE;
}

http_server_t *
http_server_new(struct event_base *base, const http_server_conf_t *conf,
    http_serve_t serve, http_refuse_t refuse, void *arg, GError **err)
{
	http_server_t *server = g_new0(http_server_t, 1);

	server->base = base;
	server->conf = *conf;
	server->conf.tls = NULL;
	server->serve = serve;
	server->refuse = refuse;
	server->arg = arg;
	server->conns = g_hash_table_new_full(NULL, NULL, NULL, conn_free);
	if (conf->max_head_fields == 0)
		server->conf.max_head_fields = HTTP_SERVER_HEAD_FIELDS;
	body_memory_init(&server->bodies, conf->body_memory_bytes);
	client_memory_init(&server->heads,
	    conf->request_memory_bytes > 0 ? conf->request_memory_bytes
					   : HTTP_SERVER_REQUEST_MEMORY_BYTES);
	reply_memory_init(&server->replies, conf->reply_memory_bytes);
	server->reliever = evtimer_new(base, relieve, server);
	server->sweeper = event_new(base, -1, EV_PERSIST, sweep, server);
	event_add(server->sweeper, &sweep_period);
	server->http = evhttp_new(base);
	/* Those that are not allowed are refused by on_request(), so that each
	 * request of a connection passes there. */
	evhttp_set_allowed_methods(server->http, UINT16_MAX);
	evhttp_set_max_headers_size(
	    server->http, (ev_ssize_t)conf->max_head_bytes);
	evhttp_set_max_body_size(
	    server->http, (ev_ssize_t)conf->max_body_bytes);
	evhttp_set_timeout(server->http, IDLE_TIMEOUT_SEC);
	evhttp_set_gencb(server->http, on_request, server);
	evhttp_set_bevcb(server->http, new_bufferevent, server);
	if (conf->tls != NULL)
		http_server_set_tls(server, conf->tls);
	if (hangup_watch_init(&server->hangups, base, on_hangup, err) &&
	    listen_on(server, conf->address, err))
		return server;
	http_server_free(server);
	return NULL;
}

void
http_server_free(http_server_t *server)
{
	evhttp_free(server->http);
	hangup_watch_finish(&server->hangups);
	event_free(server->sweeper);
	g_hash_table_destroy(server->conns);
	event_free(server->reliever);
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

void
http_server_drain(http_server_t *server)
{
	if (!server->draining)
		evhttp_del_accept_socket(server->http, server->listener);
	server->draining = TRUE;
	sweep(-1, 0, server);
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

struct evhttp_request *
http_exchange_request(const http_exchange_t *x)
{
	return x->req;
}

const struct evkeyvalq *
http_exchange_headers(const http_exchange_t *x)
{
	return x->req->input_headers;
}

struct evbuffer *
http_exchange_body(const http_exchange_t *x)
{
	return x->req->input_buffer;
}

void
http_exchange_watch(http_exchange_t *x, void (*gone)(void *arg), void *arg)
{
	x->gone = gone;
	x->gone_arg = arg;
	if (x->watched)
		return;
	/* evhttp does not detect a disconnect while a request is handled. */
	x->watched = hangup_watch_add(
	    &x->conn->server->hangups, bufferevent_getfd(x->conn->bev), x);
	if (!x->watched)
		log_event(LOG_WARN, "caller.not_watched", "error",
		    g_strerror(errno), NULL);
}

static void
add_headers(http_exchange_t *x, const struct evkeyvalq *headers)
{
	const struct evkeyval *h;

	if (headers != NULL) {
		TAILQ_FOREACH(h, headers, next)
		evhttp_add_header(x->req->output_headers, h->key, h->value);
	}
	/* evhttp sees only a plain "close" in the first Connection header. */
	if (x->conn->server->draining || x->conn->server->closing ||
	    http_connection_lists(x->req->input_headers, "close"))
		evhttp_add_header(
		    x->req->output_headers, "Connection", "close");
}

static const char *
reason_of(int status)
{
	return status < 400 ? "OK" : "Refused";
}

/* Ends the exchange: evhttp owns the request, the caller is not watched. */
static struct evhttp_request *
detach(http_exchange_t *x)
{
	struct evhttp_request *req = x->req;

	x->ended = TRUE;
	exchange_free(x);
	return req;
}

/* evhttp would send the body of an answer to a HEAD, too. */
static void
name_length(http_exchange_t *x, size_t length)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%zu", length);
	if (evhttp_find_header(x->req->output_headers, "Content-Length") ==
	    NULL)
		evhttp_add_header(
		    x->req->output_headers, "Content-Length", text);
}

void
http_reply(http_exchange_t *x, int status, const struct evkeyvalq *headers,
    struct evbuffer *body)
{
	add_headers(x, headers);
	if (evhttp_request_get_command(x->req) == EVHTTP_REQ_HEAD &&
	    body != NULL) {
		name_length(x, evbuffer_get_length(body));
		body = NULL;
	}
	evhttp_send_reply(detach(x), status, reason_of(status), body);
}

void
http_reply_start(
    http_exchange_t *x, int status, const struct evkeyvalq *headers)
{
	add_headers(x, headers);
	evhttp_send_reply_start(x->req, status, reason_of(status));
}

static void
on_drained(struct evhttp_connection *evcon, void *arg)
{
	http_server_t *server = arg;
	conn_t *conn = g_hash_table_lookup(
	    server->conns, evhttp_connection_get_bufferevent(evcon));

	if (conn != NULL && conn->x != NULL && conn->x->drained != NULL)
		conn->x->drained(conn->x->drained_arg);
}

size_t
http_reply_piece(http_exchange_t *x, struct evbuffer *piece,
    void (*drained)(void *arg), void *arg)
{
	struct bufferevent *bev = x->conn->bev;

	x->drained = drained;
	x->drained_arg = arg;
	evhttp_send_reply_chunk_with_cb(
	    x->req, piece, on_drained, x->conn->server);
	return evbuffer_get_length(bufferevent_get_output(bev));
}

void
http_reply_end(http_exchange_t *x)
{
	evhttp_send_reply_end(detach(x));
}

void
http_reply_abort(http_exchange_t *x)
{
	x->ended = TRUE;
	reset(x->conn);
}
