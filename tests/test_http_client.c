#include <sys/queue.h>

#include <arpa/inet.h>
#include <signal.h>
#include <string.h>

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>

#include "suite.h"
#include "transport/http_client.h"

#define PORT 22003
#define ADDRESS "127.0.0.1:22003"
#define BOUND_MS 5000 /* limit of a wait for something that must happen */
#define LATE_MS 60
#define RESETS 2
#define SETTLE_MS 200
#define IDLE_MORE 100 /* connections over the bound */
#define IDLE_AT_ONCE 10
#define LARGE_BYTES (8 * 1024 * 1024)
/* What a server sends at a time, and what a client may take of an endless head:
 * the bytes between both sockets are not in its memory. */
#define ENDLESS_BLOCK_BYTES (256 * 1024)
#define ENDLESS_HEAD_BYTES (8 * 1024 * 1024)
#define ENDLESS_SLACK_BYTES (16 * 1024 * 1024)

static struct event_base *base;
static http_client_t *client;
static struct evconnlistener *listener;

/* What the server does on its first request; later ones get "second". */
static const struct script {
	const char *name, *answer;
	const char *unsolicited; /* sent LATE_MS later */
	int closes;		 /* FALSE, TRUE, or RESETS LATE_MS later */
	const char *expected;	 /* outcome and body of each of two calls */
	int requests;		 /* total that reaches the server */
} * script;

#define OK(length, body) \
	"HTTP/1.1 200 OK\r\nContent-Length: " length "\r\n\r\n" body
#define SECOND OK("6", "second")
#define BYTES_16 "0123456789abcdef"
#define BYTES_64 BYTES_16 BYTES_16 BYTES_16 BYTES_16
#define BYTES_256 BYTES_64 BYTES_64 BYTES_64 BYTES_64
/* MIXED: an answer with a spoiled byte is not passed on as a success. */
#define SPOILED "broken[] answered[second] "
#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

static const struct script scripts[] = {
    {"whole", OK("5", "first"), NULL, FALSE,
	"answered[first] answered[second] ", 2},
    {"second answer in one packet", OK("5", "first") OK("5", "wrong"), NULL,
	FALSE, "answered[first] answered[second] ", 2},
    {"bytes behind the answer", OK("5", "first") "junk", NULL, FALSE,
	"answered[first] answered[second] ", 2},
    {"unsolicited answer while idle", OK("5", "first"), OK("5", "wrong"), FALSE,
	"answered[first] answered[second] ", 2},
    {"short body", OK("9", "first"), NULL, TRUE, "broken[] answered[second] ",
	2},
    {"no last chunk", CHUNKED "5\r\nfirst\r\n", NULL, TRUE,
	"broken[] answered[second] ", 2},
    {"cut in a chunk", CHUNKED "9\r\nfirst", NULL, TRUE,
	"broken[] answered[second] ", 2},
    {"whole chunks", CHUNKED "5\r\nfirst\r\n0\r\n\r\n", NULL, FALSE,
	"answered[first] answered[second] ", 2},
    /* Without a length, truncation can't be detected: the body ends at EOF. */
    {"no length", "HTTP/1.1 200 OK\r\n\r\nfirst", NULL, TRUE,
	"answered[first] answered[second] ", 2},
    /* LOST: the body was taken for empty. */
    {"no length, connection kept",
	"HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\nfirst", NULL, TRUE,
	"answered[first] answered[second] ", 2},
    {"no length, connection kept, reset",
	"HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\nfirst", NULL, RESETS,
	"broken[] answered[second] ", 2},
    {"no length, reset", "HTTP/1.1 200 OK\r\n\r\nfirst", NULL, RESETS,
	"broken[] answered[second] ", 2},
    {"closed without an answer", "", NULL, TRUE, "broken[] answered[second] ",
	2},
    {"closed in the head", "HTTP/1.1 200 OK\r\nX-A", NULL, TRUE,
	"broken[] answered[second] ", 2},
    {"closed while idle", OK("5", "first"), "", TRUE,
	"answered[first] answered[second] ", 2},
    {"continue", "HTTP/1.1 100 Continue\r\n\r\n" OK("5", "first"), NULL, FALSE,
	"broken[] answered[second] ", 2},
    {"early hints", "HTTP/1.1 103 Early Hints\r\n\r\n" OK("5", "first"), NULL,
	FALSE, "broken[] answered[second] ", 2},
    {"not http", "\x16\x03\x01nonsense\r\n\r\n", NULL, TRUE,
	"broken[] answered[second] ", 2},
    {"contradictory lengths",
	"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nfirst", NULL, TRUE,
	"broken[] answered[second] ", 2},
    {"no answer", "", NULL, FALSE, "out-of-time[] answered[second] ", 2},
    {"unknown transfer coding",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: xhunked\r\n\r\n"
	"5\r\nfirst\r\n0\r\n\r\n",
	NULL, TRUE, SPOILED, 2},
    {"blank in a header name",
	"HTTP/1.1 200 OK\r\nX A: y\r\nContent-Length: 5\r\n\r\nfirst", NULL,
	FALSE, SPOILED, 2},
    {"second length",
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 9\r\n\r\n"
	"first",
	NULL, FALSE, SPOILED, 2},
    {"blank before the colon of a length",
	"HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nfirst", NULL, TRUE,
	SPOILED, 2},
    {"status of four digits",
	"HTTP/1.1 2000 OK\r\nContent-Length: 5\r\n\r\nfirst", NULL, FALSE,
	SPOILED, 2},
    {"status that is no number",
	"HTTP/1.1 20x OK\r\nContent-Length: 5\r\n\r\nfirst", NULL, FALSE,
	SPOILED, 2},
    {"chunk shorter than its size", CHUNKED "7\r\nfirst\r\n0\r\n\r\n", NULL,
	FALSE, SPOILED, 2},
    {"chunk longer than its size", CHUNKED "4\r\nfirst\r\n0\r\n\r\n", NULL,
	TRUE, SPOILED, 2},
    {"length in a trailer",
	CHUNKED "5\r\nfirst\r\n0\r\nContent-Length: 3\r\n\r\n", NULL, FALSE,
	SPOILED, 2},
};

/* Answers that a server cuts at any byte, by closing its connection. */
static const struct {
	const char *name, *answer;
	size_t body_bytes; /* a body without a length may be cut unnoticed */
} cut_answers[] = {
    {"length",
	"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
	"Content-Length: 5\r\n\r\nfirst",
	0},
    {"length first",
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: y\r\n\r\nfirst", 0},
    {"chunks",
	"HTTP/1.1 200 OK\r\nX: y\r\nTransfer-Encoding: chunked\r\n\r\n"
	"5\r\nfirst\r\n0\r\n\r\n",
	0},
    {"no length", "HTTP/1.1 200 OK\r\nX: y\r\n\r\nfirst", 5},
    {"no body", "HTTP/1.1 204 No Content\r\nX: y\r\n\r\n", 0},
};

static int requests, connections, done;
static GString *result;
static GPtrArray *accepted;

static void
send_late(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	bufferevent_write(
	    arg, script->unsolicited, strlen(script->unsolicited));
	if (script->closes)
		shutdown(bufferevent_getfd(arg), SHUT_RDWR);
}

static void
reset_late(evutil_socket_t fd, short what, void *arg)
{
	const struct linger none = {.l_onoff = 1, .l_linger = 0};
	struct bufferevent *bev = arg;

	(void)fd;
	(void)what;
	setsockopt(
	    bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER, &none, sizeof(none));
	close(bufferevent_getfd(bev));
	bufferevent_setfd(bev, -1);
}

/* @arg: number of the connection; only the first one closes. */
static void
on_sent(struct bufferevent *bev, void *arg)
{
	if (script->closes == TRUE && script->unsolicited == NULL &&
	    requests == 1 && GPOINTER_TO_INT(arg) == 1)
		shutdown(bufferevent_getfd(bev), SHUT_RDWR);
}

static void
answer_first(struct bufferevent *bev)
{
	struct timeval late = {0, LATE_MS * 1000};

	bufferevent_write(bev, script->answer, strlen(script->answer));
	if (script->closes == RESETS)
		event_base_once(base, -1, EV_TIMEOUT, reset_late, bev, &late);
	if (script->unsolicited != NULL)
		event_base_once(base, -1, EV_TIMEOUT, send_late, bev, &late);
	else if (*script->answer == '\0')
		on_sent(bev, GINT_TO_POINTER(1));
}

static void
on_asked(struct bufferevent *bev, void *arg)
{
	struct evbuffer *in = bufferevent_get_input(bev);
	struct evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, NULL);

	(void)arg;
	if (end.pos < 0)
		return;
	evbuffer_drain(in, (size_t)end.pos + 4);
	requests++;
	if (requests == 1)
		answer_first(bev);
	else
		bufferevent_write(bev, SECOND, strlen(SECOND));
}

static void
on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *from,
    int len, void *arg)
{
	struct bufferevent *bev =
	    bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);

	(void)l;
	(void)from;
	(void)len;
	(void)arg;
	connections++;
	bufferevent_setcb(
	    bev, on_asked, on_sent, NULL, GINT_TO_POINTER(connections));
	bufferevent_enable(bev, EV_READ | EV_WRITE);
	g_ptr_array_add(accepted, bev);
}

static void
start(const struct script *s)
{
	struct sockaddr_in at = {
	    .sin_family = AF_INET,
	    .sin_port = htons(PORT),
	};

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	script = s;
	requests = connections = done = 0;
	result = g_string_new(NULL);
	accepted =
	    g_ptr_array_new_with_free_func((GDestroyNotify)bufferevent_free);
	base = event_base_new();
	client = http_client_new(base, 4);
	listener = evconnlistener_new_bind(base, on_accept, NULL,
	    LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, 16,
	    (struct sockaddr *)&at, sizeof(at));
	ck_assert(listener != NULL);
}

static void
finish(void)
{
	http_client_free(client);
	g_ptr_array_free(accepted, TRUE);
	evconnlistener_free(listener);
	event_base_free(base);
	g_string_free(result, TRUE);
}

static void
run_loop(msec_t ms)
{
	struct timeval tv = {ms / 1000, (ms % 1000) * 1000};

	event_base_loopexit(base, &tv);
	event_base_dispatch(base);
}

static void
wait_done(int n)
{
	int i;

	for (i = 0; i < BOUND_MS / 20 && done < n; i++)
		run_loop(20);
	ck_assert_int_eq(done, n);
}

static void
on_done(void *arg, http_outcome_t outcome, int status,
    const struct evkeyvalq *headers, struct evbuffer *body)
{
	static const char *const names[] = {"answered", "not-sent", "broken",
	    "out-of-time", "no-memory", "no-file"};

	(void)arg;
	(void)status;
	(void)headers;
	g_string_append_printf(result, "%s[", names[outcome]);
	if (body != NULL && evbuffer_get_length(body) > 0)
		g_string_append_len(result,
		    (const char *)evbuffer_pullup(body, -1),
		    (gssize)evbuffer_get_length(body));
	g_string_append(result, "] ");
	done++;
}

static http_call_t *
ask(const char *address, msec_t timeout_ms, const http_handler_t *handler)
{
	http_request_t request = {
	    .address = address,
	    .method = EVHTTP_REQ_GET,
	    .path = "/",
	    .timeout_ms = timeout_ms,
	};

	return http_call(client, &request, handler);
}

static void
answers_match_their_requests(void)
{
	static const http_handler_t handler = {.on_done = on_done};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(scripts); i++) {
		start(&scripts[i]);
		ask(ADDRESS, 1000, &handler);
		wait_done(1);
		run_loop(SETTLE_MS);
		ask(ADDRESS, 1000, &handler);
		wait_done(2);
		run_loop(SETTLE_MS);
		ck_assert_msg(strcmp(result->str, script->expected) == 0,
		    "%s: got %s", script->name, result->str);
		ck_assert_msg(requests == script->requests, "%s: %d requests",
		    script->name, requests);
		ck_assert_msg(done == 2, "%s: %d done", script->name, done);
		finish();
	}
}

/*
 * Sends the next request from within on_done, when a stray second answer is
 * still in the input buffer.
 */
static void
ask_again(void *arg, http_outcome_t outcome, int status,
    const struct evkeyvalq *headers, struct evbuffer *body)
{
	static const http_handler_t handler = {.on_done = on_done};

	on_done(arg, outcome, status, headers, body);
	ask(ADDRESS, 1000, &handler);
}

static void
stray_answer_is_not_given_to_next_request(void)
{
	static const http_handler_t handler = {.on_done = ask_again};

	start(&scripts[1]);
	ask(ADDRESS, 1000, &handler);
	wait_done(2);
	ck_assert_str_eq(result->str, "answered[first] answered[second] ");
	finish();
}

static void
refused_connection_is_reported_as_not_sent(void)
{
	static const http_handler_t handler = {.on_done = on_done};

	start(&scripts[0]);
	ask("127.0.0.1:22004", 1000, &handler);
	wait_done(1);
	ck_assert_str_eq(result->str, "not-sent[] ");
	ck_assert(ask("nowhere", 1000, &handler) == NULL);
	finish();
}

/* FAULT: closed idle connections stayed in the list of all idle ones. */
static void
closed_idle_connections_are_forgotten(void)
{
	static const http_handler_t handler = {.on_done = on_done};
	int i;

	start(&scripts[0]);
	for (i = 1; i <= 4; i++) {
		ask(ADDRESS, 1000, &handler);
		wait_done(i);
		http_client_close_idle(client, ADDRESS);
		ck_assert_int_eq(connections, i);
	}
	finish();
}

static size_t received;
static http_call_t *large;

static void
on_piece(void *arg, struct evbuffer *piece)
{
	gboolean first = received == 0;

	(void)arg;
	received += evbuffer_get_length(piece);
	evbuffer_drain(piece, evbuffer_get_length(piece));
	if (first)
		http_call_pause(large, TRUE);
}

static void
paused_call_receives_no_more(void)
{
	static const http_handler_t handler = {
	    .on_done = on_done,
	    .on_piece = on_piece,
	};
	static struct script s;
	size_t paused_at;
	GString *answer = g_string_new(NULL);
	char *body = g_strnfill(LARGE_BYTES, 'x');

	g_string_printf(answer,
	    "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", LARGE_BYTES,
	    body);
	s.answer = answer->str;
	start(&s);
	received = 0;
	large = ask(ADDRESS, 10000, &handler);
	run_loop(SETTLE_MS);
	paused_at = received;
	run_loop(SETTLE_MS);
	ck_assert_uint_gt(paused_at, 0);
	ck_assert_uint_lt(paused_at, LARGE_BYTES / 8);
	ck_assert_uint_eq(received, paused_at);
	http_call_pause(large, FALSE);
	wait_done(1);
	ck_assert_uint_eq(received, LARGE_BYTES);
	finish();
	g_string_free(answer, TRUE);
	g_free(body);
}

/* FAULT: idle connections to many servers took up the host's descriptors. */
static void
idle_connections_are_bounded(void)
{
	static const struct script s = {
	    .answer = OK("5", "first"),
	    .requests = HTTP_IDLE_MAX + IDLE_MORE,
	};
	const http_handler_t handler = {.on_done = on_done};
	http_request_t request = {
	    .address = ADDRESS,
	    .method = EVHTTP_REQ_GET,
	    .path = "/",
	    .timeout_ms = BOUND_MS,
	    .new_connection = TRUE,
	};
	int i;

	start(&s);
	http_client_free(client);
	client = http_client_new(base, HTTP_IDLE_MAX + IDLE_MORE);
	for (i = 1; i <= HTTP_IDLE_MAX + IDLE_MORE; i++) {
		http_call(client, &request, &handler);
		if (i % IDLE_AT_ONCE == 0)
			wait_done(i);
	}
	run_loop(SETTLE_MS);
	ck_assert_uint_eq(http_client_connections(client), HTTP_IDLE_MAX);
	finish();
}

/*
 * LOST: a server sends without end, and the bytes are kept until the process is
 * out of memory. Each answer starts with @start and goes on with @more; the
 * client closes before it has taken @max_bytes.
 */
static const struct {
	const char *name, *start, *more;
	size_t max_bytes;
	guint calls; /* at once */
} endless[] = {
    {"no line at all", "", "x", ENDLESS_HEAD_BYTES, 1},
    {"a header", "HTTP/1.1 200 OK\r\nX: ", "x", ENDLESS_HEAD_BYTES, 1},
    {"headers", "HTTP/1.1 200 OK\r\n", "X-Filler: y\r\n", ENDLESS_HEAD_BYTES,
	1},
    {"a chunk size", CHUNKED, "0", ENDLESS_HEAD_BYTES, 1},
    {"blank chunk sizes", CHUNKED, "\r\n", ENDLESS_HEAD_BYTES, 1},
    {"behind a chunk", CHUNKED "5\r\nfirst", "y", ENDLESS_HEAD_BYTES, 1},
    {"a trailer", CHUNKED "0\r\nX: ", "y", ENDLESS_HEAD_BYTES, 1},
    {"trailers", CHUNKED "0\r\n", "X-Filler: y\r\n", ENDLESS_HEAD_BYTES, 1},
    {"a body until close", "HTTP/1.1 200 OK\r\n\r\n", "first",
	HTTP_ANSWER_MEMORY_BYTES + ENDLESS_SLACK_BYTES, 1},
    {"chunks", CHUNKED, "100\r\n" BYTES_256 "\r\n",
	HTTP_ANSWER_MEMORY_BYTES + ENDLESS_SLACK_BYTES, 1},
    {"one chunk", CHUNKED "fffffffffff\r\n", "y",
	HTTP_ANSWER_MEMORY_BYTES + ENDLESS_SLACK_BYTES, 1},
    {"several bodies until close", "HTTP/1.1 200 OK\r\n\r\n", "first",
	HTTP_ANSWER_MEMORY_BYTES + ENDLESS_SLACK_BYTES, 8},
};

static struct {
	const char *start;
	char *block;
	size_t len, taken, max_taken; /* bytes that the client has taken */
} flood;

static void
flood_on(struct bufferevent *bev, void *arg)
{
	(void)arg;
	flood.taken += flood.len;
	if (flood.taken <= flood.max_taken)
		bufferevent_write(bev, flood.block, flood.len);
}

static void
flood_asked(struct bufferevent *bev, void *arg)
{
	(void)arg;
	evbuffer_drain(bufferevent_get_input(bev),
	    evbuffer_get_length(bufferevent_get_input(bev)));
	bufferevent_setcb(bev, NULL, flood_on, NULL, NULL);
	bufferevent_write(bev, flood.start, strlen(flood.start));
	bufferevent_write(bev, flood.block, flood.len);
}

static void
on_flood_accept(struct evconnlistener *l, evutil_socket_t fd,
    struct sockaddr *from, int len, void *arg)
{
	on_accept(l, fd, from, len, arg);
	bufferevent_setcb(g_ptr_array_index(accepted, accepted->len - 1),
	    flood_asked, NULL, NULL, NULL);
}

static char *
repeat(const char *text, size_t len)
{
	GString *s = g_string_sized_new(len);

	while (s->len + strlen(text) <= len)
		g_string_append(s, text);
	return g_string_free(s, FALSE);
}

static void
answers_without_end_are_cut(void)
{
	static const http_handler_t handler = {.on_done = on_done};
	size_t i, k;

	for (i = 0; i < G_N_ELEMENTS(endless); i++) {
		start(&scripts[0]);
		evconnlistener_set_cb(listener, on_flood_accept, NULL);
		flood.start = endless[i].start;
		flood.block = repeat(endless[i].more, ENDLESS_BLOCK_BYTES);
		flood.len = strlen(flood.block);
		flood.taken = 0;
		/* A client that takes more waits for an answer in vain. */
		flood.max_taken = 2 * endless[i].max_bytes * endless[i].calls;
		for (k = 0; k < endless[i].calls; k++)
			ask(ADDRESS, 20000, &handler);
		for (k = 0; k < BOUND_MS / 20 && done < (int)endless[i].calls;
		     k++)
			run_loop(20);
		ck_assert_msg(done == (int)endless[i].calls,
		    "%s: took %zu bytes without an end", endless[i].name,
		    flood.taken);
		ck_assert_msg(strstr(result->str, "answered") == NULL &&
			strstr(result->str, "out-of-time") == NULL,
		    "%s: %s", endless[i].name, result->str);
		ck_assert_msg(
		    flood.taken <= endless[i].max_bytes * endless[i].calls,
		    "%s: took %zu bytes", endless[i].name, flood.taken);
		g_free(flood.block);
		finish();
	}
}

/* UNASKED: the body of a request went on without its length, so that the server
 * took it for another request. */
static const struct {
	const char *name;
	enum evhttp_cmd_type method;
	const char *body;
} framed[] = {
    {"GET", EVHTTP_REQ_GET, ""},
    {"GET", EVHTTP_REQ_GET, "abc"},
    {"GET", EVHTTP_REQ_GET, "POST /b HTTP/1.1\r\n\r\n"},
    {"HEAD", EVHTTP_REQ_HEAD, ""},
    {"DELETE", EVHTTP_REQ_DELETE, ""},
    {"DELETE", EVHTTP_REQ_DELETE, "abc"},
    {"OPTIONS", EVHTTP_REQ_OPTIONS, ""},
    {"OPTIONS", EVHTTP_REQ_OPTIONS, "abc"},
    {"POST", EVHTTP_REQ_POST, ""},
    {"POST", EVHTTP_REQ_POST, "abc"},
    {"PUT", EVHTTP_REQ_PUT, "abc"},
    {"PATCH", EVHTTP_REQ_PATCH, "abc"},
};

static GString *asked;

static void
keep_asked(struct bufferevent *bev, void *arg)
{
	struct evbuffer *in = bufferevent_get_input(bev);
	size_t len = evbuffer_get_length(in);

	(void)arg;
	g_string_append_len(
	    asked, (const char *)evbuffer_pullup(in, -1), (gssize)len);
	evbuffer_drain(in, len);
}

static void
on_keeping_accept(struct evconnlistener *l, evutil_socket_t fd,
    struct sockaddr *from, int len, void *arg)
{
	on_accept(l, fd, from, len, arg);
	bufferevent_setcb(g_ptr_array_index(accepted, accepted->len - 1),
	    keep_asked, NULL, NULL, NULL);
}

static void
requests_are_framed(void)
{
	static const http_handler_t handler = {.on_done = on_done};
	http_request_t request = {
	    .address = ADDRESS,
	    .path = "/a",
	    .timeout_ms = SETTLE_MS,
	};
	const char *end, *length;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(framed); i++) {
		size_t len = strlen(framed[i].body);

		start(&scripts[0]);
		evconnlistener_set_cb(listener, on_keeping_accept, NULL);
		asked = g_string_new(NULL);
		request.method = framed[i].method;
		request.body = evbuffer_new();
		evbuffer_add(request.body, framed[i].body, len);
		http_call(client, &request, &handler);
		wait_done(1);
		end = strstr(asked->str, "\r\n\r\n");
		length = strstr(asked->str, "\r\nContent-Length: ");
		ck_assert(end != NULL);
		ck_assert_msg(g_str_has_prefix(asked->str, framed[i].name),
		    "%s", asked->str);
		ck_assert_str_eq(end + 4, framed[i].body);
		ck_assert_msg(length == NULL ? len == 0
					     : length < end &&
			    strtoul(length + 18, NULL, 10) == len &&
			    strstr(length + 1, "\r\nContent-Length: ") == NULL,
		    "%s", asked->str);
		evbuffer_free(request.body);
		g_string_free(asked, TRUE);
		finish();
	}
}

/* No part of a head, and no part of a body with an end, counts as
 * whole. */
static void
cut_answers_are_not_whole(void)
{
	static const http_handler_t handler = {.on_done = on_done};
	size_t i, len;

	for (i = 0; i < G_N_ELEMENTS(cut_answers); i++) {
		const char *answer = cut_answers[i].answer;
		size_t end = strlen(answer) - cut_answers[i].body_bytes;

		for (len = 1; len < end; len++) {
			char *part = g_strndup(answer, len);
			const struct script s = {
			    "cut", part, NULL, TRUE, NULL, 1};

			start(&s);
			ask(ADDRESS, 1000, &handler);
			wait_done(1);
			ck_assert_msg(strcmp(result->str, "broken[] ") == 0,
			    "%s, %zu bytes: %s", cut_answers[i].name, len,
			    result->str);
			finish();
			g_free(part);
		}
	}
}

int
main(void)
{

	static const suite_case_t cases[] = {
	    {"answers match their requests", answers_match_their_requests},
	    {"stray answer is not given to next request",
		stray_answer_is_not_given_to_next_request},
	    {"refused connection is reported as not sent",
		refused_connection_is_reported_as_not_sent},
	    {"closed idle connections are forgotten",
		closed_idle_connections_are_forgotten},
	    {"paused call receives no more", paused_call_receives_no_more},
	    {"idle connections are bounded", idle_connections_are_bounded},
	    {"answers that are cut are not whole", cut_answers_are_not_whole},
	    {"answers without end are cut", answers_without_end_are_cut},
	    {"requests are framed", requests_are_framed},
	};

	signal(SIGPIPE, SIG_IGN);
	return suite_run(
	    "http client", cases, sizeof(cases) / sizeof(cases[0]));
}
