/*
 * Any bytes of callers, cut and delivered in pieces, to the real HTTP server
 * over loopback, with a handler that replies at once, later, in pieces, or not.
 * The oracle reads the same bytes by RFC 9112. The flags of an input
 * (byte_script.h) are the limits of the server and the first way to reply.
 */
#include <signal.h>
#include <string.h>

#include "byte_script.h"
#include "byte_sockets.h"
#include "http_request_oracle.h"
#include "transport/http_check.h"
#include "transport/http_server.h"

#define CALLERS_MAX 4
#define SERVED_MAX 64
#define HEAD_MAX_BYTES 2048
#define BODY_MAX_BYTES 4096
#define MEMORY_BYTES 6000
#define SMALL_MEMORY_BYTES 400
#define REPLY_BYTES (1 << 20)
#define SHORT_MS 2
#define LONG_MS 600000
#define FILLER_BYTES 1024

/* Of an input. */
enum {
	CONCURRENT = 8, /* requests of a connection run beside each other */
	FEW_CONNECTIONS = 16,
	SMALL_MEMORY = 32,
	SHORT_TIME = 64, /* to receive a request */
};

/* How the handler replies to a request. */
typedef enum {
	AT_ONCE,
	LATER,
	PIECES,
	PIECES_LATER,
	ABORT,
	ABORT_LATER,
	PIECES_ABORT,
	NEVER, /* before the end */
	WAYS,
} way_t;

/* A fault of the server that a self-test plays. */
typedef enum {
	RULES_KEPT,
	TAKES_TWO_LENGTHS,
	SERVES_TWICE,
	SWAPS_BODY,
	LOSES_REPLY,
} broken_t;

typedef struct {
	int fd; /* -1: closed */
	int port;
	GString *sent, *got;
	size_t at;	 /* in @sent: where the next request to serve begins */
	int served;	 /* requests */
	int replied;	 /* of those, whole replies */
	gboolean fin;	 /* or reset */
	gboolean closed; /* by the server */
	gboolean aborted, must_close;
	gboolean
	    pieces; /* a reply in pieces, which ends an HTTP/1.0 connection */
} caller_t;

typedef struct {
	struct world *world;
	http_exchange_t *x; /* NULL: ended */
	caller_t *caller;
	way_t way;
	int index;
	gboolean to_head;
} served_t;

typedef struct world {
	broken_t broken;
	http_server_t *server;
	caller_t callers[CALLERS_MAX];
	int ncallers;
	served_t served[SERVED_MAX];
	int nserved;
	way_t way;
	gboolean drained, short_time, concurrent;
	gboolean tight; /* requests may be refused for their memory */
	size_t sent;
	const char *bytes;
	size_t len, at;
	const char *violation;
} world_t;

static struct event_base *base;
static int port;
static char address[32];

static void
violate(world_t *w, const char *what)
{
	if (w->violation == NULL)
		w->violation = what;
}

static caller_t *
caller_of(world_t *w, http_exchange_t *x)
{
	uint16_t from = http_exchange_port(x);
	int i;

	for (i = 0; i < w->ncallers; i++) {
		if (w->callers[i].port == from)
			return &w->callers[i];
	}
	return NULL;
}

static void
check_request(world_t *w, caller_t *c, http_exchange_t *x)
{
	struct evbuffer *body = http_exchange_body(x);
	const char *method = http_method_name(http_exchange_method(x));
	oracle_request_t r;

	if (c->must_close)
		violate(w, "served behind the last request");
	oracle_request(c->sent->str + c->at, c->sent->len - c->at, &r);
	if (r.verdict != ORACLE_WHOLE)
		violate(w, "a broken request is served");
	else if (strcmp(method, r.method->str) != 0 ||
	    strcmp(http_exchange_uri(x), r.target->str) != 0)
		violate(w, "another request is served");
	else if (evbuffer_get_length(body) != r.body->len ||
	    (r.body->len > 0 &&
		memcmp(evbuffer_pullup(body, -1), r.body->str, r.body->len) !=
		    0))
		violate(w, "served with another body");
	if (r.body->len > BODY_MAX_BYTES)
		violate(w, "a body over its limit is kept");
	c->at += r.end;
	c->must_close |= !r.persistent;
	oracle_request_finish(&r);
}

static struct evbuffer *
tag(const served_t *s)
{
	struct evbuffer *body = evbuffer_new();

	evbuffer_add_printf(body, "<%d>", s->index);
	return body;
}

static void
reply_end(served_t *s)
{
	struct evbuffer *body = tag(s);
	http_exchange_t *x = s->x;

	s->x = NULL;
	s->caller->replied++;
	if (s->way == PIECES || s->way == PIECES_LATER)
		http_reply_end(x);
	else
		http_reply(x, 200, NULL, body);
	evbuffer_free(body);
}

static void
reply_start(served_t *s)
{
	struct evbuffer *body = tag(s);

	s->caller->pieces = TRUE;
	http_reply_start(s->x, 200, NULL);
	http_reply_piece(s->x, body, NULL, NULL);
	evbuffer_free(body);
}

static void
reply_abort(served_t *s)
{
	http_exchange_t *x = s->x;

	s->caller->aborted = TRUE;
	http_reply_abort(x);
	s->x = NULL;
}

static void
on_gone(void *arg)
{
	served_t *s = arg;

	if (s->x == NULL)
		violate(s->world, "gone behind its end");
	/* The reply to a request before it may close the connection. */
	if (!s->caller->fin && !s->caller->closed && !s->world->drained &&
	    !s->world->short_time && !s->world->tight &&
	    !(s->world->concurrent &&
		(s->caller->aborted || s->caller->pieces)))
		violate(s->world, "gone, but the caller is there");
	s->x = NULL;
}

static void
finish_reply(served_t *s)
{
	if (s->x == NULL)
		return;
	if (s->way == ABORT_LATER || s->way == PIECES_ABORT)
		reply_abort(s);
	else
		reply_end(s);
}

static void
serve(void *arg, http_exchange_t *x)
{
	world_t *w = arg;
	served_t *s = &w->served[w->nserved];
	caller_t *c = caller_of(w, x);

	if (c == NULL || w->nserved == SERVED_MAX) {
		if (c == NULL)
			violate(w, "served for nobody");
		http_reply(x, 503, NULL, NULL);
		return;
	}
	c->served++;
	check_request(w, c, x);
	if (w->broken == SERVES_TWICE)
		check_request(w, c, x);
	*s = (served_t){w, x, c, w->way, w->nserved,
	    http_exchange_method(x) == EVHTTP_REQ_HEAD};
	w->nserved++;
	http_exchange_watch(x, on_gone, s);
	if (s->way == PIECES || s->way == PIECES_LATER ||
	    s->way == PIECES_ABORT)
		reply_start(s);
	if (s->way == AT_ONCE || s->way == PIECES)
		reply_end(s);
	else if (s->way == ABORT)
		reply_abort(s);
}

static gboolean
is_concurrent(void *arg, const http_exchange_t *x)
{
	(void)x;
	return ((const world_t *)arg)->concurrent;
}

static char *
refuse(const char *reason)
{
	return g_strdup_printf("refused: %s", reason);
}

static void
quiet(world_t *w)
{
	caller_t *c;
	int i;

	sockets_turns(base, SOCKETS_QUIET_TURNS);
	for (i = 0; i < w->ncallers; i++) {
		c = &w->callers[i];
		if (c->fd >= 0 && !c->closed)
			c->closed = !sockets_read(c->fd, c->got);
	}
}

static void
open_caller(world_t *w)
{
	caller_t *c = &w->callers[w->ncallers];
	struct sockaddr_in at = sockets_address(port);
	socklen_t len = sizeof(at);

	if (w->ncallers == CALLERS_MAX || w->drained)
		return;
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	/* libFuzzer's timer interrupts. */
	while (connect(c->fd, (struct sockaddr *)&at, sizeof(at)) != 0 &&
	    errno != EISCONN) {
		if (errno != EINTR && errno != EALREADY)
			g_error("connect: %s", g_strerror(errno));
	}
	sockets_no_delay(c->fd);
	getsockname(c->fd, (struct sockaddr *)&at, &len);
	c->port = ntohs(at.sin_port);
	c->sent = g_string_new(NULL);
	c->got = g_string_new(NULL);
	w->ncallers++;
	quiet(w);
}

/* A server that takes the second of two lengths is played. */
static void
hide_length(const world_t *w, GString *text)
{
	char *length = strstr(text->str, "Content-Length");

	if (w->broken == TAKES_TWO_LENGTHS && length != NULL)
		*length = 'X';
	if (w->broken == SWAPS_BODY && text->len > 0)
		text->str[text->len - 1] ^= 1;
}

static void
send_text(caller_t *c, world_t *w, const char *bytes, size_t n)
{
	GString *text;

	if (c->fd < 0 || c->fin || n == 0)
		return;
	text = g_string_new_len(bytes, (gssize)n);
	hide_length(w, text);
	g_string_append_len(c->sent, bytes, (gssize)n);
	w->sent += n;
	w->tight |= w->sent > MEMORY_BYTES / 2;
	(void)send(c->fd, text->str, n, MSG_NOSIGNAL | MSG_DONTWAIT);
	g_string_free(text, TRUE);
}

static void
send_next(world_t *w, size_t n)
{
	n = MIN(n, w->len - w->at);
	send_text(&w->callers[w->ncallers - 1], w, w->bytes + w->at, n);
	w->at += n;
}

static void
end_input(caller_t *c, gboolean reset)
{
	if (c->fd < 0)
		return;
	c->fin = TRUE;
	if (!reset) {
		shutdown(c->fd, SHUT_WR);
		return;
	}
	sockets_reset(c->fd);
	c->fd = -1;
}

static void
drain(world_t *w)
{
	w->drained = TRUE;
	http_server_drain(w->server);
}

static void
control(world_t *w, unsigned int arg)
{
	caller_t *c = &w->callers[w->ncallers - 1];
	char text[FILLER_BYTES];

	switch (arg % 8) {
	case 0:
	case 1:
		end_input(c, arg % 8 == 1);
		break;
	case 2:
		drain(w);
		break;
	case 3:
		http_server_close_after_reply(w->server);
		break;
	case 4:
		open_caller(w);
		break;
	case 5:
		memset(text, 'a', sizeof(text));
		send_text(c, w, text, sizeof(text));
		break;
	case 6:
		if (w->short_time)
			g_usleep(SHORT_MS * 1000);
		break;
	default:
		quiet(w);
		break;
	}
}

static void
step(world_t *w, uint8_t op)
{
	unsigned int arg = op >> 3, i;

	switch (op & 7) {
	case 0:
		send_next(w, arg + 1);
		quiet(w);
		break;
	case 1:
		send_next(w, arg * 16 + 1);
		break;
	case 2:
		for (i = 0; i <= arg; i++) {
			send_next(w, 1);
			quiet(w);
		}
		break;
	case 3:
		control(w, arg);
		break;
	case 4:
		if (w->nserved > 0)
			finish_reply(&w->served[arg % (unsigned)w->nserved]);
		break;
	case 5:
		w->way = (way_t)(arg % WAYS);
		break;
	case 6:
		for (i = 0; i < (unsigned)w->nserved; i++)
			finish_reply(&w->served[i]);
		break;
	default:
		quiet(w);
		break;
	}
}

/* Reads a reply; what a refusal answers is not known. */
static void
read_reply(const world_t *w, const caller_t *c, const char *at, int *i,
    oracle_answer_t *a)
{
	size_t n = (size_t)(c->got->str + c->got->len - at);
	gboolean to_head = FALSE;

	oracle_answer(at, n, FALSE, c->closed, a);
	if (a->status == 200) {
		while (*i < w->nserved && w->served[*i].caller != c)
			++*i;
		to_head = *i < w->nserved && w->served[*i].to_head;
	} else if (a->status >= 400) {
		to_head = a->verdict != ORACLE_WHOLE;
	}
	if (!to_head)
		return;
	g_string_free(a->body, TRUE);
	oracle_answer(at, n, TRUE, c->closed, a);
}

/* evhttp words the refusals of what it can't read or does not take, and names
 * the version of the request in them. */
static gboolean
is_own_refusal(const char *reply)
{
	const char *status = strchr(reply, ' ');

	return status != NULL && !g_str_has_prefix(reply, "HTTP/1.1 ") &&
	    !g_str_has_prefix(reply, "HTTP/1.0 ") &&
	    (status[1] == '4' || status[1] == '5');
}

/* The replies that a caller got must be those to its requests, in order.
 * Return: whether it got all. */
static gboolean
check_replies(world_t *w, const caller_t *c)
{
	static const char interim[] = " 100 Continue\r\n\r\n";
	const char *at = c->got->str, *status;
	char text[16];
	oracle_answer_t a;
	int whole = 0, i = 0;

	while (at < c->got->str + c->got->len) {
		/* In the version of the request. */
		status = strchr(at, ' ');
		if (status != NULL && g_str_has_prefix(status, interim)) {
			at = status + strlen(interim);
			continue;
		}
		read_reply(w, c, at, &i, &a);
		g_snprintf(text, sizeof(text), "<%d>", i);
		if (a.verdict == ORACLE_BROKEN && !is_own_refusal(at))
			violate(w, "a broken reply");
		if (a.status == 200 && a.verdict == ORACLE_WHOLE) {
			if (strcmp(a.body->str,
				w->served[i].to_head ? "" : text) != 0)
				violate(w, "the reply to another request");
			whole++;
			i++;
		}
		g_string_free(a.body, TRUE);
		if (a.verdict != ORACLE_WHOLE)
			break;
		at += a.end;
	}
	whole -= w->broken == LOSES_REPLY;
	return whole >= c->replied || c->fin || c->aborted ||
	    (c->closed && (w->tight || w->short_time));
}

/* A whole request is served or refused, if nobody hinders it. */
static gboolean
is_waiting(const world_t *w, const caller_t *c)
{
	oracle_request_t r;

	if (c->fin || c->closed || c->must_close || w->drained ||
	    w->nserved == SERVED_MAX)
		return FALSE;
	oracle_request(c->sent->str + c->at, c->sent->len - c->at, &r);
	oracle_request_finish(&r);
	return r.verdict == ORACLE_WHOLE;
}

static void
end_replies(world_t *w)
{
	int i;

	quiet(w);
	for (i = 0; i < w->nserved; i++)
		finish_reply(&w->served[i]);
}

/* Waits for what must happen. Return: what did not, or NULL. */
static const char *
wait_for_replies(world_t *w)
{
	const char *missing = NULL;
	int i, k, bound = w->broken == RULES_KEPT ? SOCKETS_BOUND_TURNS : 10;

	for (k = 0; k < bound && w->violation == NULL; k++) {
		end_replies(w);
		missing = NULL;
		for (i = 0; i < w->ncallers; i++) {
			if (!check_replies(w, &w->callers[i]))
				missing = "a reply is lost";
			else if (is_waiting(w, &w->callers[i]))
				missing = "a whole request is not answered";
		}
		if (missing == NULL)
			break;
		if (k > 8)
			g_usleep(SOCKETS_TURN_USEC);
	}
	return missing;
}

static void
finish_callers(world_t *w)
{
	const char *missing;
	int i;

	send_next(w, w->len);
	for (i = 0; i < 4; i++)
		end_replies(w);
	missing = wait_for_replies(w);
	if (missing != NULL)
		violate(w, missing);
	drain(w);
	for (i = 0; i < w->ncallers; i++)
		end_input(&w->callers[i], TRUE);
}

static void
check_left(world_t *w)
{
	int i;

	for (i = 0; i < SOCKETS_BOUND_TURNS; i++) {
		sockets_turns(base, 2);
		http_server_drain(w->server);
		if (http_server_connections(w->server) == 0)
			break;
		if (i > 4)
			g_usleep(SOCKETS_TURN_USEC);
	}
	if (http_server_connections(w->server) != 0)
		violate(w, "a connection is left");
	if (http_server_exchanges(w->server) != 0)
		violate(w, "an exchange is left");
	if (http_server_bodies(w->server) != 0)
		violate(w, "memory is left");
}

/* Each run listens anew; another process may have taken the port. */
static void
start_server(world_t *w, const http_server_conf_t *conf)
{
	int i;

	for (i = SOCKETS_FIRST_PORT; i <= SOCKETS_LAST_PORT; i++) {
		w->server = http_server_new(base, conf, serve, refuse, w, NULL);
		if (w->server != NULL)
			return;
		port = port < SOCKETS_LAST_PORT ? port + 1 : SOCKETS_FIRST_PORT;
		g_snprintf(address, sizeof(address), "127.0.0.1:%d", port);
	}
	g_error("no free port");
}

static const char *
run(byte_feed_t *f, int broken)
{
	static world_t w;
	script_t script;
	http_server_conf_t conf = {
	    .address = address,
	    .max_head_bytes = HEAD_MAX_BYTES,
	    .max_body_bytes = BODY_MAX_BYTES,
	    .concurrent = is_concurrent,
	};
	unsigned int i;

	memset(&w, 0, sizeof(w));
	script_read(f, &script);
	w.broken = (broken_t)broken;
	w.bytes = script.bytes;
	w.len = script.len;
	w.way = (way_t)(script.flags % WAYS);
	/* Time-outs take time: fewer than other flags. */
	w.short_time = (script.flags & SHORT_TIME) && (script.flags & 128);
	w.concurrent = (script.flags & CONCURRENT) != 0;
	w.tight = (script.flags & SMALL_MEMORY) != 0;
	conf.receive_ms = w.short_time ? SHORT_MS : LONG_MS;
	conf.max_connections = script.flags & FEW_CONNECTIONS ? 1 : CALLERS_MAX;
	conf.body_memory_bytes =
	    script.flags & SMALL_MEMORY ? SMALL_MEMORY_BYTES : MEMORY_BYTES;
	/* A refusal waits for the replies before it, so that some memory for
	 * replies is needed. */
	conf.reply_memory_bytes = w.tight ? 0 : REPLY_BYTES;
	start_server(&w, &conf);
	open_caller(&w);
	for (i = 0; i < script.nsteps; i++)
		step(&w, script.steps[i]);
	finish_callers(&w);
	check_left(&w);
	http_server_free(w.server);
	for (i = 0; i < (unsigned)w.ncallers; i++) {
		g_string_free(w.callers[i].sent, TRUE);
		g_string_free(w.callers[i].got, TRUE);
	}
	return w.violation;
}

#define HOST "Host: h\r\n"
#define NEXT "GET /next HTTP/1.1\r\n" HOST "\r\n"
#define POST "POST /a HTTP/1.1\r\n" HOST
#define CHUNKED POST "Transfer-Encoding: chunked\r\n\r\n"

static const char *const requests[] = {
    "GET /a HTTP/1.1\r\n" HOST "\r\n",
    "GET /a HTTP/1.1\r\n" HOST "Connection: close\r\n\r\n" NEXT,
    "GET /a HTTP/1.0\r\n\r\n" NEXT,
    "HEAD /a?b=c HTTP/1.1\r\n" HOST "\r\n" NEXT,
    POST "Content-Length: 5\r\n\r\nfirst" NEXT,
    "DELETE /a HTTP/1.1\r\n" HOST "Content-Length: 2\r\n\r\nab" NEXT,
    "OPTIONS * HTTP/1.1\r\n" HOST "\r\n",
    "PUT http://h/a HTTP/1.1\r\n" HOST
    "Expect: 100-continue\r\nContent-Length: 3\r\n\r\nabc" NEXT,
    CHUNKED "5\r\nfirst\r\n0\r\n\r\n" NEXT,
    CHUNKED "3\r\nabc\r\n00a\r\n0123456789\r\n0\r\nX-A: b\r\n\r\n" NEXT,
    "GET /a HTTP/1.1\r\n" HOST "X-A: b\r\n c\r\n\r\n" NEXT,
    "TRACE /a HTTP/1.1\r\n" HOST "\r\n" NEXT,
    NEXT NEXT NEXT,
};

/* Aborts unless the broken rule, and only it, is noticed. */
static void
self_test(const char *name, broken_t broken, const char *request)
{
	GString *data = g_string_new_len("\0\0", 2);
	const char *caught, *wrong;

	g_string_append(data, request);
	caught = run(
	    &(byte_feed_t){(const uint8_t *)data->str, data->len, 0}, broken);
	wrong = run(&(byte_feed_t){(const uint8_t *)data->str, data->len, 0},
	    RULES_KEPT);
	g_string_free(data, TRUE);
	if (wrong == NULL && caught != NULL)
		return;
	fprintf(stderr, "self-test %s: %s\n", name,
	    wrong != NULL ? wrong : "broken rule not caught");
	abort();
}

/* NOLINTNEXTLINE(readability-identifier-naming) */
int
LLVMFuzzerInitialize(int *argc, char ***argv)
{
	(void)argc;
	(void)argv;
	/* As in the program. */
	signal(SIGPIPE, SIG_IGN);
	base = event_base_new();
	port = SOCKETS_FIRST_PORT + getpid() % 100;
	g_snprintf(address, sizeof(address), "127.0.0.1:%d", port);
	self_test("two lengths", TAKES_TWO_LENGTHS,
	    POST "Content-Length: 9\r\nContent-Length: 5\r\n\r\nfirst");
	self_test("served twice", SERVES_TWICE, requests[0]);
	self_test(
	    "another body", SWAPS_BODY, POST "Content-Length: 5\r\n\r\nfirst");
	self_test("a lost reply", LOSES_REPLY, requests[0]);
	return 0;
}

/* Now and then starts again with a text that is near a valid one. */
/* NOLINTNEXTLINE(readability-identifier-naming) */
size_t
LLVMFuzzerCustomMutator(
    uint8_t *data, size_t size, size_t max_size, unsigned int seed)
{
	return script_mutate(
	    data, size, max_size, seed, requests, G_N_ELEMENTS(requests));
}

/* NOLINTNEXTLINE(readability-identifier-naming) */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	return feed_input("fuzz_caller", data, size, run);
}
