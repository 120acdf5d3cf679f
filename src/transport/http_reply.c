#include <sys/queue.h>

#include <errno.h>
#include <string.h>
#include <time.h>

#include "base/log.h"
#include "transport/http_check.h"
#include "transport/http_conn.h"

#define STATUS_OK 200
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304
#define STATUS_REFUSALS 400
#define DATE_BYTES 64

/* Bytes up to which they are copied: libevent allocates 512 bytes or more for
 * each piece of a buffer, so many small replies would hold several times what
 * is counted for them. */
#define COPY_MAX_BYTES 4096

static void
move_bytes(struct evbuffer *to, struct evbuffer *from)
{
	size_t n = evbuffer_get_length(from);

	if (n > COPY_MAX_BYTES) {
		evbuffer_add_buffer(to, from);
		return;
	}
	evbuffer_add(to, evbuffer_pullup(from, -1), n);
	evbuffer_drain(from, n);
}

http_exchange_t *
http_exchange_new(http_conn_t *conn)
{
	http_exchange_t *x = g_new0(http_exchange_t, 1);

	x->conn = conn;
	return x;
}

static void
free_request(http_exchange_t *x)
{
	request_head_finish(&x->head);
	if (x->body != NULL)
		evbuffer_free(x->body);
	x->body = NULL;
	x->conn->request_bytes -= x->bytes;
	x->bytes = 0;
}

static void
drop_pending(http_exchange_t *x)
{
	size_t n;

	if (x->pending == NULL)
		return;
	n = evbuffer_get_length(x->pending);
	x->conn->pending_bytes -= n;
	if (n > 0)
		reply_memory_take(
		    &x->conn->server->replies, &x->conn->reply, n, clock_now());
	evbuffer_free(x->pending);
	x->pending = NULL;
}

void
http_exchange_free(http_exchange_t *x)
{
	drop_pending(x);
	free_request(x);
	g_free(x);
}

enum evhttp_cmd_type
http_exchange_method(const http_exchange_t *x)
{
	return x->head.method;
}

const char *
http_exchange_uri(const http_exchange_t *x)
{
	return x->head.uri;
}

const struct evhttp_uri *
http_exchange_target(const http_exchange_t *x)
{
	return x->head.target;
}

const struct evkeyvalq *
http_exchange_headers(const http_exchange_t *x)
{
	return &x->head.headers;
}

struct evbuffer *
http_exchange_body(const http_exchange_t *x)
{
	return x->body;
}

msec_t
http_exchange_arrived_at(const http_exchange_t *x)
{
	return x->arrived_at;
}

uint16_t
http_exchange_port(const http_exchange_t *x)
{
	return x->conn->port;
}

static void
log_not_watched(http_server_t *server, int error)
{
	long long left_out =
	    log_bound_take(&server->not_watched_log, clock_now());

	if (left_out >= 0)
		log_event(LOG_WARN, "caller.not_watched", "error",
		    g_strerror(error), "left_out", log_num(left_out), NULL);
}

void
http_exchange_watch(http_exchange_t *x, void (*gone)(void *arg), void *arg)
{
	http_conn_t *conn = x->conn;

	x->gone = gone;
	x->gone_arg = arg;
	if (conn->watched)
		return;
	/* The bufferevent sees neither a close nor a reset while the
	 * connection reads nothing. */
	conn->watched = hangup_watch_add(
	    &conn->server->hangups, bufferevent_getfd(conn->bev), conn);
	if (!conn->watched)
		log_not_watched(conn->server, errno);
}

static gboolean
has_turn(const http_exchange_t *x)
{
	return g_queue_peek_head(&x->conn->exchanges) == x;
}

static struct evbuffer *
output_of(http_exchange_t *x)
{
	if (has_turn(x) && x->pending == NULL)
		return bufferevent_get_output(x->conn->bev);
	if (x->pending == NULL)
		x->pending = evbuffer_new();
	return x->pending;
}

/* To be called when a part of the reply has been added, with its bytes. */
static void
count_output(http_exchange_t *x, size_t bytes)
{
	if (x->pending == NULL)
		return;
	x->conn->pending_bytes += bytes;
	http_memory_hold_reply(x->conn, bytes);
}

static const char *
reason_of(int status)
{
	return status < STATUS_REFUSALS ? "OK" : "Refused";
}

/* The last reply in flight closes the connection of a server that stops; what
 * has been read behind it is dropped. */
static void
decide_close(http_exchange_t *x, const struct evkeyvalq *headers)
{
	http_conn_t *conn = x->conn;
	const http_server_t *server = conn->server;

	if (headers != NULL && http_connection_lists(headers, "close"))
		x->closes = TRUE;
	if ((server->draining || server->closing) &&
	    g_queue_peek_tail(&conn->exchanges) == x)
		x->closes = TRUE;
	conn->last |= x->closes;
}

static void
add_date(struct evbuffer *out)
{
	char text[DATE_BYTES];
	time_t now = time(NULL);
	struct tm at;

	gmtime_r(&now, &at);
	strftime(text, sizeof(text), "%a, %d %b %Y %H:%M:%S GMT", &at);
	evbuffer_add_printf(out, "Date: %s\r\n", text);
}

static void
add_fields(struct evbuffer *out, const struct evkeyvalq *headers)
{
	const struct evkeyval *h;

	TAILQ_FOREACH(h, headers, next)
	{
		if (g_ascii_strcasecmp(h->key, "Connection") == 0 ||
		    g_ascii_strcasecmp(h->key, "Transfer-Encoding") == 0)
			continue;
		evbuffer_add_printf(out, "%s: %s\r\n", h->key, h->value);
	}
}

/* @length: of the body; -1 if it is not known. */
static void
add_head(http_exchange_t *x, int status, const struct evkeyvalq *headers,
    gssize length)
{
	struct evkeyvalq none = TAILQ_HEAD_INITIALIZER(none);
	struct evbuffer *out = output_of(x);
	size_t before = evbuffer_get_length(out);
	gboolean has_length;

	if (headers == NULL)
		headers = &none;
	decide_close(x, headers);
	x->started = TRUE;
	x->no_body = x->head.method == EVHTTP_REQ_HEAD || status < STATUS_OK ||
	    status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED;
	has_length = evhttp_find_header(headers, "Content-Length") != NULL;
	evbuffer_add_printf(out, "HTTP/1.%d %d %s\r\n", x->head.minor, status,
	    reason_of(status));
	add_fields(out, headers);
	if (x->head.minor > 0 && evhttp_find_header(headers, "Date") == NULL)
		add_date(out);
	if (!has_length && length >= 0 && status >= STATUS_OK &&
	    status != STATUS_NO_CONTENT && status != STATUS_NOT_MODIFIED) {
		evbuffer_add_printf(
		    out, "Content-Length: %" G_GSSIZE_FORMAT "\r\n", length);
	} else if (!has_length && length < 0 && !x->no_body) {
		x->chunked = x->head.minor > 0;
		if (x->chunked)
			evbuffer_add_printf(
			    out, "Transfer-Encoding: chunked\r\n");
		/* The end of the connection is the end of the body. */
		x->closes |= !x->chunked;
		x->conn->last |= x->closes;
	}
	if (x->closes)
		evbuffer_add_printf(out, "Connection: close\r\n");
	else if (x->head.minor == 0)
		evbuffer_add_printf(out, "Connection: keep-alive\r\n");
	evbuffer_add(out, "\r\n", 2);
	count_output(x, evbuffer_get_length(out) - before);
}

/* The connection goes on at its turn. */
static void
end_exchange(http_exchange_t *x)
{
	x->ended = TRUE;
	x->gone = NULL;
	x->drained = NULL;
	x->conn->server->exchanges--;
	free_request(x);
	http_memory_count(x->conn);
	http_conn_wake(x->conn);
}

void
http_reply(http_exchange_t *x, int status, const struct evkeyvalq *headers,
    struct evbuffer *body)
{
	size_t len = body != NULL ? evbuffer_get_length(body) : 0;
	gboolean to_head = x->head.method == EVHTTP_REQ_HEAD;

	add_head(
	    x, status, headers, to_head && body == NULL ? -1 : (gssize)len);
	if (len > 0 && !x->no_body) {
		move_bytes(output_of(x), body);
		count_output(x, len);
	} else if (body != NULL) {
		evbuffer_drain(body, len);
	}
	end_exchange(x);
}

void
http_reply_start(
    http_exchange_t *x, int status, const struct evkeyvalq *headers)
{
	add_head(x, status, headers, -1);
}

size_t
http_reply_piece(http_exchange_t *x, struct evbuffer *piece,
    void (*drained)(void *arg), void *arg)
{
	struct evbuffer *out = output_of(x);
	size_t before = evbuffer_get_length(out);
	size_t len = evbuffer_get_length(piece);

	x->drained = drained;
	x->drained_arg = arg;
	if (len == 0 || x->no_body) {
		evbuffer_drain(piece, len);
		return before;
	}
	if (x->chunked)
		evbuffer_add_printf(out, "%zx\r\n", len);
	move_bytes(out, piece);
	if (x->chunked)
		evbuffer_add(out, "\r\n", 2);
	len = evbuffer_get_length(out);
	count_output(x, len - before);
	return len;
}

void
http_reply_end(http_exchange_t *x)
{
	static const char end[] = "0\r\n\r\n";

	if (x->chunked) {
		evbuffer_add(output_of(x), end, sizeof(end) - 1);
		count_output(x, sizeof(end) - 1);
	}
	end_exchange(x);
}

/* What waits for its turn is dropped; the connection then ends in order behind
 * the replies before it. */
void
http_reply_abort(http_exchange_t *x)
{
	http_conn_t *conn = x->conn;
	gboolean sent = x->started && x->pending == NULL;

	drop_pending(x);
	x->aborted = x->closes = TRUE;
	conn->last = TRUE;
	if (has_turn(x) && (sent || !conn->has_replied))
		http_conn_reset(conn);
	end_exchange(x);
}

/* Cancels the exchanges behind @x. */
static void
cancel_behind(http_conn_t *conn, http_exchange_t *x)
{
	http_exchange_t *last;

	while ((last = g_queue_peek_tail(&conn->exchanges)) != x) {
		g_queue_pop_tail(&conn->exchanges);
		if (!last->ended) {
			conn->server->exchanges--;
			if (last->gone != NULL)
				last->gone(last->gone_arg);
		}
		http_exchange_free(last);
	}
}

/* Nothing is sent behind a reply that closes the connection. */
static void
cancel_unanswerable(http_conn_t *conn)
{
	GList *at;

	if (!conn->last)
		return;
	for (at = conn->exchanges.head; at != NULL; at = at->next) {
		http_exchange_t *x = at->data;

		if (x->closes && (x->started || x->aborted)) {
			cancel_behind(conn, x);
			return;
		}
	}
}

static void
send_pending(http_exchange_t *x)
{
	http_conn_t *conn = x->conn;

	if (x->pending == NULL)
		return;
	conn->pending_bytes -= evbuffer_get_length(x->pending);
	conn->moving = TRUE;
	move_bytes(bufferevent_get_output(conn->bev), x->pending);
	conn->moving = FALSE;
	evbuffer_free(x->pending);
	x->pending = NULL;
}

void
http_replies_advance(http_conn_t *conn)
{
	http_exchange_t *x;

	cancel_unanswerable(conn);
	while ((x = g_queue_peek_head(&conn->exchanges)) != NULL) {
		send_pending(x);
		if (!x->ended)
			return;
		conn->has_replied |= !x->aborted;
		g_queue_pop_head(&conn->exchanges);
		http_exchange_free(x);
	}
	if (conn->watched && !conn->dead)
		hangup_watch_remove(
		    &conn->server->hangups, bufferevent_getfd(conn->bev));
	conn->watched = conn->watched && conn->dead;
}
