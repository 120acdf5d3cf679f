#include <sys/queue.h>
#include <sys/socket.h>

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>

#include "transport/http_check.h"
#include "transport/http_client.h"
#include "transport/http_framing.h"

/* Connections that were idle for longer are not reused. */
#define IDLE_MAX_MS 10000
/* TCP keep-alive for connections that may wait long for an answer: a dead
 * peer is detected within about three seconds. */
#define KEEPALIVE_IDLE_SEC 1
#define KEEPALIVE_INTERVAL_SEC 1
#define KEEPALIVE_PROBES 2

/* One address: its idle connections, newest last, and its open ones. */
typedef struct {
	char *address;
	char *ip;
	uint16_t port;
	GPtrArray *idle;   /* conn_t */
	unsigned int open; /* number of connections, idle ones included */
	unsigned int max;  /* limit of open */
} target_t;

typedef struct {
	http_client_t *client;
	target_t *target;
	struct evhttp_connection *evcon;
	http_call_t *call; /* NULL while idle */
	msec_t idle_since;
	GList idle_link; /* its data is NULL while not idle */
	gboolean wrote;	 /* bytes of the current request left the buffer */
	guint64 calls;	 /* requests that were sent on it */
	size_t held;	 /* bytes of the answer that are in memory */
} conn_t;

struct http_call {
	conn_t *conn;
	struct evhttp_request *req;
	http_handler_t handler;
	struct event *timer;
	struct event *connect_timer; /* NULL: no separate connect time-out */
	msec_t timeout_ms;
	msec_t input_at;   /* last part of the answer; 0: none */
	msec_t ends_at;	   /* time limit of an answer that arrives; 0: none */
	gboolean starting; /* http_call() is running */
	gboolean
	    in_head; /* on_head is running: evhttp still uses the request */
	gboolean
	    cancelled; /* cancelled within on_head; ends without a callback */
	gboolean timed_out;
	gboolean no_reuse; /* the connection is closed after this call */
	gboolean got_1xx;  /* a 1xx status was received: the call fails */
	http_framing_t framing;
	const char *fault; /* why the answer can't be used, or NULL */
	/* HTTP_NO_MEMORY or HTTP_NO_FILE if this process lacks a resource. */
	http_outcome_t lacks;
};

struct http_client {
	struct event_base *base;
	unsigned int max_idle;
	GHashTable *targets; /* address to target_t */
	unsigned int open;   /* connections, those in @to_free included */
	unsigned int max_open;
	GQueue idle;	    /* conn_t of all targets, oldest first */
	GPtrArray *to_free; /* conn_t, to be freed by the reaper */
	GPtrArray *busy;    /* conn_t with a call */
	size_t held;	    /* bytes of all answers that are in memory */
	size_t limit;	    /* of held */
	guint64 given_up;   /* answers that failed for their memory */
	struct event *reaper;
};

static void
set_held(conn_t *conn, size_t held)
{
	conn->client->held = conn->client->held - conn->held + held;
	conn->held = held;
}

static void
conn_free(conn_t *conn)
{
	conn->target->open--;
	conn->client->open--;
	/* evhttp would otherwise report the close that is requested here. */
	evhttp_connection_set_closecb(conn->evcon, NULL, NULL);
	evhttp_connection_free(conn->evcon);
	g_free(conn);
}

/* Frees a connection from the loop: evhttp may still use it in a callback. */
static void
conn_free_later(conn_t *conn)
{
	struct timeval now = {0, 0};

	conn->call = NULL;
	set_held(conn, 0);
	g_ptr_array_add(conn->client->to_free, conn);
	event_add(conn->client->reaper, &now);
}

static void
reap(evutil_socket_t fd, short what, void *arg)
{
	http_client_t *client = arg;
	guint i;

	(void)fd;
	(void)what;
	for (i = 0; i < client->to_free->len; i++)
		conn_free(g_ptr_array_index(client->to_free, i));
	g_ptr_array_set_size(client->to_free, 0);
}

static void
keep_idle(conn_t *conn)
{
	conn->idle_since = clock_now();
	conn->idle_link.data = conn;
	g_ptr_array_add(conn->target->idle, conn);
	g_queue_push_tail_link(&conn->client->idle, &conn->idle_link);
}

/* Return: FALSE if it was not idle. */
static gboolean
take_idle(conn_t *conn)
{
	if (conn->idle_link.data == NULL)
		return FALSE;
	g_ptr_array_remove(conn->target->idle, conn);
	g_queue_unlink(&conn->client->idle, &conn->idle_link);
	conn->idle_link.data = NULL;
	return TRUE;
}

/* Closes those that are not reused any more, or are too many. */
static void
close_old_idle(http_client_t *client)
{
	msec_t now = clock_now();
	conn_t *conn;

	while ((conn = g_queue_peek_head(&client->idle)) != NULL &&
	    (client->idle.length > HTTP_IDLE_MAX ||
		now - conn->idle_since >= IDLE_MAX_MS)) {
		take_idle(conn);
		conn_free_later(conn);
	}
}

static void
target_free(void *p)
{
	target_t *target = p;
	guint i;

	for (i = 0; i < target->idle->len; i++)
		conn_free(g_ptr_array_index(target->idle, i));
	g_ptr_array_free(target->idle, TRUE);
	g_free(target->address);
	g_free(target->ip);
	g_free(target);
}

http_client_t *
http_client_new(struct event_base *base, unsigned int max_idle)
{
	http_client_t *client = g_new0(http_client_t, 1);

	client->base = base;
	client->max_idle = max_idle;
	client->limit = HTTP_ANSWER_MEMORY_BYTES;
	client->max_open = G_MAXUINT;
	client->targets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, target_free);
	client->to_free = g_ptr_array_new();
	client->busy = g_ptr_array_new();
	client->reaper = evtimer_new(base, reap, client);
	return client;
}

static void
call_free(http_call_t *call)
{
	if (call->timer != NULL)
		event_free(call->timer);
	if (call->connect_timer != NULL)
		event_free(call->connect_timer);
	http_framing_finish(&call->framing);
	g_free(call);
}

void
http_client_free(http_client_t *client)
{
	guint i;

	for (i = client->busy->len; i > 0; i--) {
		conn_t *conn = g_ptr_array_index(client->busy, i - 1);

		http_call_cancel(conn->call);
	}
	reap(-1, 0, client);
	event_free(client->reaper);
	g_hash_table_destroy(client->targets);
	g_ptr_array_free(client->to_free, TRUE);
	g_ptr_array_free(client->busy, TRUE);
	g_free(client);
}

unsigned int
http_client_busy(const http_client_t *client)
{
	return client->busy->len;
}

unsigned int
http_client_connections(const http_client_t *client)
{
	return client->open;
}

void
http_client_limit_memory(http_client_t *client, size_t bytes)
{
	client->limit = bytes;
}

void
http_client_limit_open(http_client_t *client, unsigned int max)
{
	client->max_open = max;
}

size_t
http_client_held(const http_client_t *client)
{
	return client->held;
}

guint64
http_client_given_up(const http_client_t *client)
{
	return client->given_up;
}

static target_t *
target_get(http_client_t *client, const char *address)
{
	target_t *target = g_hash_table_lookup(client->targets, address);
	const char *colon;
	long port;

	if (target != NULL)
		return target;
	colon = strrchr(address, ':');
	if (colon == NULL)
		return NULL;
	port = strtol(colon + 1, NULL, 10);
	if (port <= 0 || port > 65535)
		return NULL;
	target = g_new0(target_t, 1);
	target->address = g_strdup(address);
	target->ip = g_strndup(address, (gsize)(colon - address));
	target->port = (uint16_t)port;
	target->idle = g_ptr_array_new();
	target->max = G_MAXUINT;
	g_hash_table_insert(client->targets, target->address, target);
	return target;
}

static void
on_output(
    struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *arg)
{
	conn_t *conn = arg;

	(void)buffer;
	if (info->n_deleted > 0)
		conn->wrote = TRUE;
}

/* Reads the last @n bytes of a buffer. Return: what is wrong, or NULL. */
static const char *
check_framing(http_framing_t *framing, struct evbuffer *buffer, size_t n)
{
	struct evbuffer_iovec part;
	struct evbuffer_ptr at;
	const char *fault = NULL;
	size_t len;

	if (http_framing_skip(framing, n))
		return NULL;
	evbuffer_ptr_set(
	    buffer, &at, evbuffer_get_length(buffer) - n, EVBUFFER_PTR_SET);
	while (n > 0 && fault == NULL &&
	    evbuffer_peek(buffer, (ev_ssize_t)n, &at, &part, 1) > 0) {
		len = MIN(n, part.iov_len);
		fault = http_framing_take(framing, part.iov_base, len);
		n -= len;
		if (n > 0)
			evbuffer_ptr_set(buffer, &at, len, EVBUFFER_PTR_ADD);
	}
	return fault;
}

/* Ends a call from the loop: evhttp may wait for more of an answer. */
static void
fail_later(http_call_t *call, const char *fault)
{
	struct timeval now = {0, 0};

	call->fault = fault;
	event_add(call->timer, &now);
}

static size_t
held_bytes(const conn_t *conn, const struct evbuffer *input)
{
	const http_call_t *call = conn->call;
	size_t n = evbuffer_get_length(input);

	if (call->req != NULL && call->handler.on_piece == NULL)
		n += evbuffer_get_length(
		    evhttp_request_get_input_buffer(call->req));
	return n;
}

/* Fails the calls whose answers hold most until the others have room. */
static void
enforce_memory(http_client_t *client)
{
	conn_t *conn, *largest;
	guint i;

	while (client->held > client->limit) {
		largest = NULL;
		for (i = 0; i < client->busy->len; i++) {
			conn = g_ptr_array_index(client->busy, i);
			if (largest == NULL || conn->held > largest->held)
				largest = conn;
		}
		if (largest == NULL || largest->held == 0)
			return;
		set_held(largest, 0);
		client->given_up++;
		largest->call->lacks = HTTP_NO_MEMORY;
		fail_later(
		    largest->call, "answers hold too much memory together");
	}
}

/* A part of an answer has arrived. */
static void
on_input(
    struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *arg)
{
	conn_t *conn = arg;
	http_call_t *call = conn->call;
	const char *fault;
	msec_t left;
	struct timeval tv;

	if (info->n_added == 0 || call == NULL || call->fault != NULL)
		return;
	call->input_at = clock_now();
	fault = check_framing(&call->framing, buffer, info->n_added);
	if (fault != NULL) {
		fail_later(call, fault);
		return;
	}
	set_held(conn, held_bytes(conn, buffer));
	enforce_memory(conn->client);
	if (call->ends_at == 0 || call->fault != NULL)
		return;
	left = CLAMP(call->ends_at - call->input_at, 0, call->timeout_ms);
	tv.tv_sec = (time_t)(left / MSEC_PER_SEC);
	tv.tv_usec = (suseconds_t)(left % MSEC_PER_SEC) * 1000;
	event_add(call->timer, &tv);
}

/* The peer closed an idle connection, or evhttp closed a busy one. */
static void
on_close(struct evhttp_connection *evcon, void *arg)
{
	conn_t *conn = arg;

	(void)evcon;
	if (take_idle(conn))
		conn_free_later(conn);
}

static conn_t *
conn_new(http_client_t *client, target_t *target)
{
	conn_t *conn = g_new0(conn_t, 1);
	struct bufferevent *bev;

	conn->client = client;
	conn->target = target;
	conn->evcon = evhttp_connection_base_new(
	    client->base, NULL, target->ip, target->port);
	evhttp_connection_set_max_headers_size(
	    conn->evcon, HTTP_FRAMING_HEAD_MAX_BYTES);
	evhttp_connection_set_closecb(conn->evcon, on_close, conn);
	bev = evhttp_connection_get_bufferevent(conn->evcon);
	evbuffer_add_cb(bufferevent_get_output(bev), on_output, conn);
	evbuffer_add_cb(bufferevent_get_input(bev), on_input, conn);
	target->open++;
	client->open++;
	return conn;
}

static unsigned int
count_open(const http_client_t *client)
{
	return client->open - client->to_free->len;
}

static void
close_idle(conn_t *conn)
{
	take_idle(conn);
	conn_free_later(conn);
}

static conn_t *
conn_acquire(http_client_t *client, target_t *target, gboolean new_connection)
{
	msec_t now = clock_now();
	conn_t *conn;

	while (!new_connection && target->idle->len > 0) {
		conn = g_ptr_array_index(target->idle, target->idle->len - 1);
		take_idle(conn);
		if (now - conn->idle_since < IDLE_MAX_MS)
			return conn;
		conn_free_later(conn);
	}
	if (target->idle->len > 0 && target->open >= target->max)
		close_idle(g_ptr_array_index(target->idle, 0));
	if (client->idle.length > 0 && count_open(client) >= client->max_open)
		close_idle(g_queue_peek_head(&client->idle));
	return conn_new(client, target);
}

/* Keeps a connection for the next call, if it has no unread bytes. */
static void
conn_release(conn_t *conn)
{
	struct bufferevent *bev =
	    evhttp_connection_get_bufferevent(conn->evcon);
	target_t *target = conn->target;

	conn->call = NULL;
	set_held(conn, 0);
	if (target->idle->len >= conn->client->max_idle ||
	    target->open > target->max ||
	    evbuffer_get_length(bufferevent_get_input(bev)) > 0) {
		conn_free_later(conn);
		return;
	}
	keep_idle(conn);
	close_old_idle(conn->client);
}

static gboolean
wants_close(const http_call_t *call, struct evhttp_request *req)
{
	return call->framing.state == HTTP_FRAMING_UNTIL_CLOSE ||
	    req->major < 1 || (req->major == 1 && req->minor < 1) ||
	    http_connection_lists(req->input_headers, "close");
}

static http_outcome_t
outcome_of(const http_call_t *call, gboolean answered)
{
	if (call->lacks != HTTP_ANSWERED)
		return call->lacks;
	if (answered && !call->got_1xx && call->fault == NULL &&
	    http_framing_may_end(&call->framing))
		return HTTP_ANSWERED;
	if (!call->conn->wrote)
		return HTTP_NOT_SENT;
	return call->timed_out ? HTTP_TIMED_OUT : HTTP_BROKEN;
}

static void
on_request_done(struct evhttp_request *req, void *arg)
{
	http_call_t *call = arg;
	conn_t *conn = call->conn;
	gboolean answered = req != NULL && req->response_code != 0;
	http_outcome_t outcome;

	if (call->starting) {
		/* The caller has no handle yet; a timer reports the failure. */
		call->req = NULL;
		return;
	}
	g_ptr_array_remove_fast(conn->client->busy, conn);
	if (call->cancelled) {
		conn_free_later(conn);
		call_free(call);
		return;
	}
	if (answered && req->response_code < 200)
		call->got_1xx = TRUE;
	outcome = outcome_of(call, answered);
	if (outcome == HTTP_ANSWERED) {
		call->handler.on_done(call->handler.arg, outcome,
		    req->response_code, req->input_headers, req->input_buffer);
		if (wants_close(call, req) || call->no_reuse)
			conn_free_later(conn);
		else
			conn_release(conn);
	} else {
		call->handler.on_done(
		    call->handler.arg, outcome, 0, NULL, NULL);
		conn_free_later(conn);
	}
	call_free(call);
}

/* Without a length, evhttp reads up to the close only if the answer has no
 * Connection header or a plain "close"; else it takes the body for empty. */
static void
read_until_close(const http_call_t *call, struct evhttp_request *req)
{
	if (call->framing.state != HTTP_FRAMING_UNTIL_CLOSE)
		return;
	while (evhttp_remove_header(req->input_headers, "Connection") == 0)
		;
}

static int
on_header(struct evhttp_request *req, void *arg)
{
	http_call_t *call = arg;

	if (call->fault != NULL)
		return -1;
	if (call->handler.on_any_head != NULL)
		call->handler.on_any_head(
		    call->handler.arg, req->response_code, req->input_headers);
	if (req->response_code < 200) {
		call->got_1xx = TRUE;
		return -1;
	}
	read_until_close(call, req);
	if (call->handler.on_head == NULL)
		return 0;
	call->in_head = TRUE;
	call->handler.on_head(
	    call->handler.arg, req->response_code, req->input_headers);
	call->in_head = FALSE;
	return call->cancelled ? -1 : 0;
}

static void
on_chunk(struct evhttp_request *req, void *arg)
{
	http_call_t *call = arg;

	if (call->fault == NULL)
		call->handler.on_piece(call->handler.arg, req->input_buffer);
}

/* Closes a call's connection; evhttp runs no callback of it after this. */
static void
end_exchange(http_call_t *call)
{
	conn_t *conn = call->conn;

	g_ptr_array_remove_fast(conn->client->busy, conn);
	if (call->req != NULL)
		evhttp_cancel_request(call->req);
	conn_free_later(conn);
}

/* The time is over, or the answer can't be used. on_done may still use the
 * call. */
static void
on_timeout(evutil_socket_t fd, short what, void *arg)
{
	http_call_t *call = arg;
	http_outcome_t outcome;

	(void)fd;
	(void)what;
	call->timed_out = call->fault == NULL;
	outcome = outcome_of(call, FALSE);
	end_exchange(call);
	call->handler.on_done(call->handler.arg, outcome, 0, NULL, NULL);
	call_free(call);
}

static void
copy_headers(struct evkeyvalq *to, const struct evkeyvalq *from)
{
	const struct evkeyval *h;

	if (from == NULL)
		return;
	TAILQ_FOREACH(h, from, next)
	evhttp_add_header(to, h->key, h->value);
}

/* evhttp adds the length for some methods only, but sends the body of each. */
static void
add_body(struct evhttp_request *req, struct evbuffer *body)
{
	char length[24];

	if (evbuffer_get_length(body) == 0)
		return;
	g_snprintf(length, sizeof(length), "%zu", evbuffer_get_length(body));
	evhttp_add_header(req->output_headers, "Content-Length", length);
	evbuffer_add_buffer(req->output_buffer, body);
}

static void
fill_request(struct evhttp_request *req, const http_request_t *request)
{
	copy_headers(req->output_headers, request->headers);
	if (evhttp_find_header(req->output_headers, "Host") == NULL)
		evhttp_add_header(
		    req->output_headers, "Host", request->address);
	if (request->body != NULL)
		add_body(req, request->body);
}

static void
on_connect_timeout(evutil_socket_t fd, short what, void *arg)
{
	http_call_t *call = arg;

	if (!call->conn->wrote)
		on_timeout(fd, what, arg);
}

static struct event *
arm_timer(
    http_client_t *client, http_call_t *call, event_callback_fn fn, msec_t ms)
{
	struct timeval tv = {
	    .tv_sec = (time_t)(ms / MSEC_PER_SEC),
	    .tv_usec = (suseconds_t)(ms % MSEC_PER_SEC) * 1000,
	};
	struct event *timer = evtimer_new(client->base, fn, call);

	event_add(timer, &tv);
	return timer;
}

static void
enable_keepalive(conn_t *conn)
{
	evutil_socket_t fd =
	    bufferevent_getfd(evhttp_connection_get_bufferevent(conn->evcon));
	const struct {
		int level, option, value;
	} options[] = {
	    {SOL_SOCKET, SO_KEEPALIVE, 1},
	    {IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_SEC},
	    {IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SEC},
	    {IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES},
	};
	size_t i;

	/* On failure, only the call's time limit ends a dead connection. */
	for (i = 0; fd >= 0 && i < sizeof(options) / sizeof(options[0]); i++)
		(void)setsockopt(fd, options[i].level, options[i].option,
		    &options[i].value, sizeof(options[i].value));
}

/* Why evhttp could not connect: it does not keep the error of socket(). */
static gboolean
has_no_file(void)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd >= 0)
		close(fd);
	return fd < 0 && (errno == EMFILE || errno == ENFILE);
}

http_call_t *
http_call(http_client_t *client, const http_request_t *request,
    const http_handler_t *handler)
{
	target_t *target = target_get(client, request->address);
	http_call_t *call;
	conn_t *conn;

	if (target == NULL)
		return NULL;
	conn = conn_acquire(client, target, request->new_connection);
	call = g_new0(http_call_t, 1);
	http_framing_init(&call->framing, request->method == EVHTTP_REQ_HEAD);
	call->conn = conn;
	call->handler = *handler;
	call->timeout_ms = request->timeout_ms;
	call->ends_at =
	    request->total_ms > 0 ? clock_now() + request->total_ms : 0;
	conn->call = call;
	conn->calls++;
	conn->wrote = FALSE;
	evhttp_connection_set_max_body_size(conn->evcon,
	    request->max_body > 0 ? (ev_ssize_t)request->max_body : -1);
	g_ptr_array_add(client->busy, conn);
	call->req = evhttp_request_new(on_request_done, call);
	evhttp_request_set_header_cb(call->req, on_header);
	if (handler->on_piece != NULL)
		evhttp_request_set_chunked_cb(call->req, on_chunk);
	fill_request(call->req, request);
	call->starting = TRUE;
	if (count_open(client) > client->max_open) {
		evhttp_request_free(call->req);
		call->req = NULL;
		call->lacks = HTTP_NO_FILE;
	} else if (evhttp_make_request(conn->evcon, call->req, request->method,
		       request->path) != 0) {
		call->req = NULL;
	}
	call->starting = FALSE;
	if (call->req == NULL && has_no_file())
		call->lacks = HTTP_NO_FILE;
	call->timer = arm_timer(client, call, on_timeout,
	    call->req != NULL ? request->timeout_ms : 0);
	if (call->req != NULL && request->connect_ms > 0)
		call->connect_timer = arm_timer(
		    client, call, on_connect_timeout, request->connect_ms);
	if (call->req != NULL && request->tcp_keepalive)
		enable_keepalive(conn);
	return call;
}

void
http_call_cancel(http_call_t *call)
{
	if (call->in_head) {
		call->cancelled = TRUE;
		return;
	}
	end_exchange(call);
	call_free(call);
}

const char *
http_call_fault(const http_call_t *call)
{
	return call->fault;
}

msec_t
http_call_input_at(const http_call_t *call)
{
	return call->input_at;
}

gboolean
http_call_is_first(const http_call_t *call)
{
	return call->conn->calls == 1;
}

void
http_call_prevent_reuse(http_call_t *call)
{
	call->no_reuse = TRUE;
}

void
http_call_pause(http_call_t *call, gboolean paused)
{
	struct bufferevent *bev =
	    evhttp_connection_get_bufferevent(call->conn->evcon);

	if (paused)
		bufferevent_disable(bev, EV_READ);
	else
		bufferevent_enable(bev, EV_READ);
}

void
http_call_set_handler(http_call_t *call, const http_handler_t *handler)
{
	call->handler = *handler;
}

void
http_client_close_idle(http_client_t *client, const char *address)
{
	target_t *target = g_hash_table_lookup(client->targets, address);
	conn_t *conn;

	while (target != NULL && target->idle->len > 0) {
		conn = g_ptr_array_index(target->idle, 0);
		take_idle(conn);
		conn_free_later(conn);
	}
}

void
http_client_limit(http_client_t *client, const char *address, unsigned int max)
{
	target_t *target = target_get(client, address);

	if (target != NULL)
		target->max = MAX(max, 1);
}

gboolean
http_client_full(const http_client_t *client, const char *address)
{
	const target_t *target = g_hash_table_lookup(client->targets, address);

	return target != NULL &&
	    target->open - target->idle->len >= target->max;
}
