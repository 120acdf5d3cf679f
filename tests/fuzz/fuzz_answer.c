/*
 * Any bytes as the answer of a backend server, cut and delivered in pieces, to
 * the real HTTP client over loopback. The oracle reads the same bytes by
 * RFC 9112. The flags of an input (byte_script.h) are those of the first call.
 */
#include <signal.h>
#include <string.h>

#include "byte_feed.h"
#include "byte_script.h"
#include "byte_sockets.h"
#include "http_oracle.h"
#include "transport/http_client.h"

#define CALLS_MAX 8
#define SHORT_MS 1
#define LONG_MS 600000
#define MAX_BODY_BYTES 8192
#define FILLER_BYTES 4096
#define HEAD_MAX_BYTES 65536

/* Of a call. */
enum {
	TO_HEAD = 1,
	IN_PIECES = 2,
	CANCEL_IN_HEAD = 4,
	ONE_USE = 8, /* the connection must not be used again */
	ASK_IN_DONE = 16,
	SHORT_TIME = 32,
	LEAVE_OPEN = 64, /* of the first: the server never closes */
};

/* A fault of the client that a self-test plays. */
typedef enum {
	RULES_KEPT,
	TAKES_TWO_LENGTHS,
	KEEPS_CLOSED,
	LOSES_A_BYTE,
	ENDS_TWICE,
	NEVER_ENDS,
	DENIES_SENDING,
} broken_t;

typedef struct {
	int fd; /* -1: closed */
	GString *asked, *sent;
	size_t read_to; /* bytes of @asked that were understood */
	size_t start;	/* in @sent: where the answer to the last call begins */
	int call;	/* the last call on it; -1: none */
	gboolean fin, reset;
	gboolean gone;	 /* the client has closed */
	gboolean unread; /* sent bytes may not have been read yet */
} peer_t;

typedef struct {
	struct world *world;
	http_call_t *call; /* NULL: ended */
	peer_t *peer;	   /* NULL: not seen by the server */
	unsigned int flags;
	int index, ends;
	gboolean cancelled, paused;
	gboolean may_fail; /* for a reason besides the bytes */
	int head_status;
	GString *pieces;
	gboolean may_reuse; /* the connection, after this call */
} ask_t;

typedef struct world {
	broken_t broken;
	http_client_t *client;
	GPtrArray *peers; /* peer_t */
	ask_t asks[CALLS_MAX];
	int nasks;
	const char *bytes;
	size_t len, at;
	const char *violation;
} world_t;

static struct event_base *base;
static int listener, port;
static char address[32];

static void
peer_free(void *p)
{
	peer_t *peer = p;

	if (peer->fd >= 0)
		sockets_reset(peer->fd);
	g_string_free(peer->asked, TRUE);
	g_string_free(peer->sent, TRUE);
	g_free(peer);
}

static void
violate(world_t *w, const char *what)
{
	if (w->violation == NULL)
		w->violation = what;
}

static void
read_answer(const ask_t *a, oracle_answer_t *answer)
{
	const peer_t *p = a->peer;

	oracle_answer(p->sent->str + p->start, p->sent->len - p->start,
	    (a->flags & TO_HEAD) != 0, p->fin && !p->reset, answer);
}

static void
check_body(ask_t *a, const oracle_answer_t *answer, struct evbuffer *body)
{
	GString *got = a->pieces;
	size_t n = evbuffer_get_length(body), had = got->len;

	if ((a->flags & IN_PIECES) && n > 0)
		violate(a->world, "a body in pieces is kept too");
	g_string_set_size(got, had + n);
	evbuffer_copyout(body, got->str + had, n);
	if (a->world->broken == LOSES_A_BYTE && got->len > 0)
		g_string_truncate(got, got->len - 1);
	if (!g_string_equal(got, answer->body))
		violate(a->world, "the body is not the answer's");
	if (!(a->flags & IN_PIECES) && got->len > MAX_BODY_BYTES)
		violate(a->world, "a body over its limit is kept");
}

static void
check_answered(ask_t *a, int status, struct evbuffer *body)
{
	oracle_answer_t answer;

	if (a->peer == NULL) {
		violate(a->world, "answered without a request");
		return;
	}
	read_answer(a, &answer);
	if (answer.verdict != ORACLE_WHOLE)
		violate(a->world, "a broken answer is used");
	else if (status != answer.status ||
	    (a->head_status != 0 && a->head_status != status))
		violate(a->world, "the status is not the answer's");
	else
		check_body(a, &answer, body);
	a->may_reuse = answer.persistent && !(a->flags & ONE_USE);
	a->peer->start += answer.end;
	g_string_free(answer.body, TRUE);
}

/* An answer fails only if it is broken, closed, too large or out of time. */
static void
check_failed(ask_t *a, http_outcome_t outcome)
{
	oracle_answer_t answer;
	const peer_t *p = a->peer;
	gboolean large;

	if (outcome == HTTP_NOT_SENT && p != NULL)
		violate(a->world, "sent, but reported as not sent");
	if (outcome == HTTP_TIMED_OUT && !(a->flags & SHORT_TIME))
		violate(a->world, "out of time too early");
	if (p == NULL || a->may_fail || p->reset || (a->flags & SHORT_TIME))
		return;
	read_answer(a, &answer);
	large = answer.body->len > MAX_BODY_BYTES ||
	    answer.length > MAX_BODY_BYTES ||
	    p->sent->len - p->start > HEAD_MAX_BYTES / 2;
	if (answer.verdict == ORACLE_WHOLE && !large)
		violate(a->world, "a whole answer is not used");
	if (answer.verdict == ORACLE_PART && !p->fin && !large)
		violate(a->world, "a valid answer is not waited for");
	g_string_free(answer.body, TRUE);
}

static void ask(world_t *w, unsigned int flags);

/* Uses the call as the gateway's relay does. */
static void
on_done(void *arg, http_outcome_t outcome, int status,
    const struct evkeyvalq *headers, struct evbuffer *body)
{
	ask_t *a = arg;
	const char *fault = http_call_fault(a->call);

	if (a->world->broken == NEVER_ENDS)
		return;
	a->ends += a->world->broken == ENDS_TWICE ? 2 : 1;
	if (a->cancelled)
		violate(a->world, "a cancelled call ends");
	if ((outcome == HTTP_ANSWERED) !=
	    (headers != NULL && body != NULL && status != 0))
		violate(a->world, "an outcome without its answer");
	if (outcome == HTTP_ANSWERED && fault != NULL)
		violate(a->world, "answered with a fault");
	if (http_call_input_at(a->call) == 0 && outcome == HTTP_ANSWERED)
		violate(a->world, "answered without input");
	(void)http_call_is_first(a->call);
	if (a->flags & ONE_USE)
		http_call_prevent_reuse(a->call);
	if (a->world->broken == DENIES_SENDING && outcome == HTTP_BROKEN)
		outcome = HTTP_NOT_SENT;
	if (outcome == HTTP_ANSWERED)
		check_answered(a, status, body);
	else
		check_failed(a, outcome);
	a->call = NULL;
	if (a->flags & ASK_IN_DONE)
		ask(a->world, a->flags & ~(unsigned int)ASK_IN_DONE);
}

static void
on_head(void *arg, int status, const struct evkeyvalq *headers)
{
	ask_t *a = arg;

	(void)headers;
	if (a->head_status != 0)
		violate(a->world, "two heads");
	a->head_status = status;
	if (!(a->flags & CANCEL_IN_HEAD))
		return;
	http_call_cancel(a->call);
	a->cancelled = TRUE;
	a->call = NULL;
}

static void
on_piece(void *arg, struct evbuffer *piece)
{
	ask_t *a = arg;
	size_t n = evbuffer_get_length(piece), had = a->pieces->len;

	if (a->cancelled || a->ends > 0)
		violate(a->world, "a piece behind the end");
	g_string_set_size(a->pieces, had + n);
	evbuffer_remove(piece, a->pieces->str + had, n);
}

static void
ask(world_t *w, unsigned int flags)
{
	ask_t *a = &w->asks[w->nasks];
	char path[8];
	const http_handler_t handler = {
	    .on_head = on_head,
	    .on_piece = flags & IN_PIECES ? on_piece : NULL,
	    .on_done = on_done,
	    .arg = a,
	};
	const http_request_t request = {
	    .address = address,
	    .method = flags & TO_HEAD ? EVHTTP_REQ_HEAD : EVHTTP_REQ_GET,
	    .path = path,
	    .timeout_ms = flags & SHORT_TIME ? SHORT_MS : LONG_MS,
	    .max_body = flags & IN_PIECES ? 0 : MAX_BODY_BYTES,
	};

	if (w->nasks == CALLS_MAX)
		return;
	a->world = w;
	a->flags = flags;
	a->index = w->nasks++;
	a->pieces = g_string_new(NULL);
	g_snprintf(path, sizeof(path), "/%d", a->index);
	a->call = http_call(w->client, &request, &handler);
	g_assert(a->call != NULL);
}

/* A request begins on a connection: may the client have used it? */
static void
check_use(world_t *w, const peer_t *p)
{
	const ask_t *last = p->call >= 0 ? &w->asks[p->call] : NULL;

	if (last == NULL)
		return;
	if (last->ends != 1 || last->cancelled)
		violate(w, "a second request on a busy connection");
	else if (!last->may_reuse)
		violate(w, "a connection is used again that must close");
	else if (!p->unread && p->start != p->sent->len)
		violate(w, "a connection with unread bytes is used again");
}

static void
take_requests(world_t *w, peer_t *p)
{
	const char *head, *end;
	int index;

	for (;;) {
		head = p->asked->str + p->read_to;
		end = strstr(head, "\r\n\r\n");
		if (end == NULL)
			return;
		head = strchr(head, '/');
		index = head[1] - '0';
		g_assert(index >= 0 && index < w->nasks);
		p->read_to = (size_t)(end - p->asked->str) + 4;
		check_use(w, p);
		p->call = index;
		if (w->asks[index].peer != NULL)
			violate(w, "a request is sent twice");
		w->asks[index].peer = p;
		w->asks[index].may_fail |= p->unread || p->fin;
		p->start = p->sent->len;
	}
}

static void
serve(world_t *w)
{
	peer_t *p;
	guint i;
	int fd;

	while ((fd = accept4(
		    listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		p = g_new0(peer_t, 1);
		p->fd = fd;
		sockets_no_delay(fd);
		p->call = -1;
		p->asked = g_string_new(NULL);
		p->sent = g_string_new(NULL);
		g_ptr_array_add(w->peers, p);
	}
	for (i = 0; i < w->peers->len; i++) {
		p = g_ptr_array_index(w->peers, i);
		if (p->fd < 0 || p->gone)
			continue;
		p->gone = !sockets_read(p->fd, p->asked);
		take_requests(w, p);
	}
}

static void
quiet(world_t *w)
{
	guint i;
	int k;

	for (k = 0; k < 2; k++) {
		sockets_turns(base, SOCKETS_QUIET_TURNS / 2);
		serve(w);
	}
	for (i = 0; i < w->peers->len; i++)
		((peer_t *)g_ptr_array_index(w->peers, i))->unread = FALSE;
}

/* The connection of the newest request that the server has. */
static peer_t *
current(const world_t *w)
{
	int i;

	for (i = w->nasks - 1; i >= 0; i--) {
		if (w->asks[i].peer != NULL)
			return w->asks[i].peer;
	}
	return NULL;
}

/* Spoils the name of a header, so that a client that ignores it is played. */
static void
hide_header(const world_t *w, GString *text)
{
	char *length = strstr(text->str, "Content-Length");
	char *connection = strstr(text->str, "Connection");

	if (w->broken == TAKES_TWO_LENGTHS && length != NULL &&
	    strstr(length + 1, "Content-Length") != NULL)
		*length = 'X';
	if (w->broken == KEEPS_CLOSED && connection != NULL)
		*connection = 'X';
}

static void
send_text(world_t *w, peer_t *p, const char *bytes, size_t n)
{
	GString *text;

	if (p == NULL || p->fd < 0 || p->fin)
		return;
	text = g_string_new_len(bytes, (gssize)n);
	hide_header(w, text);
	/* The bytes count as sent if the client has closed, too. */
	(void)send(p->fd, text->str, n, MSG_NOSIGNAL | MSG_DONTWAIT);
	g_string_append_len(p->sent, bytes, (gssize)n);
	g_string_free(text, TRUE);
	p->unread = TRUE;
}

static void
send_next(world_t *w, size_t n)
{
	peer_t *p = current(w);

	n = MIN(n, w->len - w->at);
	if (p == NULL || n == 0)
		return;
	send_text(w, p, w->bytes + w->at, n);
	w->at += n;
	/* An idle connection is left with nothing unread. */
	if (w->asks[p->call].call == NULL)
		quiet(w);
}

static void
end_input(world_t *w, peer_t *p, gboolean reset)
{
	if (p == NULL || p->fd < 0 || p->fin)
		return;
	p->fin = TRUE;
	if (reset) {
		p->reset = TRUE;
		sockets_reset(p->fd);
		p->fd = -1;
	} else {
		shutdown(p->fd, SHUT_WR);
	}
	quiet(w);
}

static void
send_filler(world_t *w)
{
	char text[FILLER_BYTES];

	memset(text, 'a', sizeof(text));
	send_text(w, current(w), text, sizeof(text));
	quiet(w);
}

static void
set_paused(ask_t *a, gboolean paused)
{
	/* A self-test keeps calls that have ended. */
	if (a->call == NULL || a->world->broken == NEVER_ENDS)
		return;
	a->paused = paused;
	http_call_pause(a->call, paused);
}

static void
control(world_t *w, ask_t *a, unsigned int arg)
{
	switch (arg % 8) {
	case 0:
		end_input(w, current(w), FALSE);
		break;
	case 1:
		end_input(w, current(w), TRUE);
		break;
	case 2:
		send_filler(w);
		break;
	case 3:
		if (a->call == NULL)
			break;
		http_call_cancel(a->call);
		a->cancelled = TRUE;
		a->call = NULL;
		break;
	case 4:
		if (a->call != NULL)
			http_call_prevent_reuse(a->call);
		a->flags |= a->call != NULL ? ONE_USE : 0;
		break;
	case 5:
	case 6:
		set_paused(a, arg % 8 == 5);
		break;
	default:
		if (a->flags & SHORT_TIME)
			g_usleep(1000);
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
		control(w, &w->asks[w->nasks - 1], arg);
		break;
	case 4:
		control(w, &w->asks[arg / 8 % (unsigned)w->nasks], arg);
		break;
	case 5:
		quiet(w);
		ask(w, arg);
		quiet(w);
		break;
	case 6:
		quiet(w);
		ask(w, arg | SHORT_TIME);
		break;
	default:
		quiet(w);
		break;
	}
}

/* Whether the bytes that were sent end the call. */
static gboolean
must_end(const ask_t *a)
{
	oracle_answer_t answer;

	if (a->call == NULL || a->peer == NULL)
		return FALSE;
	if (a->peer->fin || a->flags & SHORT_TIME)
		return TRUE;
	read_answer(a, &answer);
	g_string_free(answer.body, TRUE);
	return answer.verdict != ORACLE_PART;
}

static gboolean
any_must_end(const world_t *w)
{
	int i;

	for (i = 0; i < w->nasks; i++) {
		if (must_end(&w->asks[i]))
			return TRUE;
	}
	return FALSE;
}

static void
wait_for_ends(world_t *w)
{
	int i, bound = w->broken == NEVER_ENDS ? 10 : SOCKETS_BOUND_TURNS;

	for (i = 0; i < bound && any_must_end(w); i++) {
		quiet(w);
		if (i > 2)
			g_usleep(SOCKETS_TURN_USEC);
	}
	if (any_must_end(w))
		violate(w, "a call does not end");
}

static void
finish_calls(world_t *w, gboolean closes)
{
	unsigned int busy = 0;
	guint k;
	int i;

	for (i = 0; i < w->nasks; i++)
		set_paused(&w->asks[i], FALSE);
	quiet(w);
	send_next(w, w->len);
	quiet(w);
	wait_for_ends(w);
	for (k = 0; closes && k < w->peers->len; k++)
		end_input(w, g_ptr_array_index(w->peers, k), FALSE);
	wait_for_ends(w);
	for (i = 0; i < w->nasks; i++) {
		busy += w->asks[i].call != NULL;
		if (w->asks[i].ends > 1)
			violate(w, "a call ends twice");
	}
	if (http_client_busy(w->client) != busy)
		violate(w, "calls are lost or kept");
}

static const char *
run(byte_feed_t *f, int broken)
{
	world_t w = {.broken = (broken_t)broken};
	script_t script;
	unsigned int flags, i;

	script_read(f, &script);
	flags = script.flags;
	w.bytes = script.bytes;
	w.len = script.len;
	w.client = http_client_new(base, 4);
	w.peers = g_ptr_array_new_with_free_func(peer_free);
	/* Time-outs take time: fewer than other flags. */
	ask(&w, flags & (flags & 128 ? 63 : 31));
	quiet(&w);
	for (i = 0; i < script.nsteps; i++)
		step(&w, script.steps[i]);
	finish_calls(&w, !(flags & LEAVE_OPEN));
	g_ptr_array_free(w.peers, TRUE);
	http_client_free(w.client);
	sockets_turns(base, 1);
	for (i = 0; i < (unsigned)w.nasks; i++)
		g_string_free(w.asks[i].pieces, TRUE);
	return w.violation;
}

#define OK "HTTP/1.1 200 OK\r\n"
#define CHUNKED OK "Transfer-Encoding: chunked\r\n\r\n"

static const char *const answers[] = {
    OK "Content-Length: 5\r\n\r\nfirst",
    OK "Content-Length: 5\r\n\r\nfirst" OK "Content-Length: 4\r\n\r\nnext",
    OK "X-A: b\r\nContent-Length: 5\r\nConnection: close\r\n\r\nfirst",
    OK "Content-Length: 5\r\nConnection: x, close\r\n\r\nfirst",
    CHUNKED "5\r\nfirst\r\n0\r\n\r\n",
    CHUNKED "5\r\nfirst\r\n4\r\nnext\r\n0\r\nX-A: b\r\n\r\n",
    CHUNKED "00a\r\n0123456789\r\n000\r\n\r\n" OK "Content-Length: 0\r\n\r\n",
    OK "\r\nuntil the end",
    "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nfirst",
    "HTTP/1.1 204 No Content\r\n\r\n",
    "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
    "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\nRetry-After: 1\r\n\r\nno",
    "HTTP/1.1 100 Continue\r\n\r\n" OK "Content-Length: 2\r\n\r\nok",
    OK "Content-Length: 9000\r\n\r\n",
};

#define TWO_LENGTHS \
	"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nContent-Length: " \
	"5\r\n\r\nfirst"
#define WHOLE "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"

/* Aborts unless the broken rule, and only it, is noticed. */
static void
self_test(const char *name, broken_t broken, const char *answer)
{
	/* Send all, ask again. */
	static const char steps[] = {0, 3, '\371', 7, 5};
	GString *data = g_string_new_len(steps, sizeof(steps));
	const char *caught, *wrong;

	g_string_append(data, answer);
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
	listener = sockets_listen(&port);
	g_snprintf(address, sizeof(address), "127.0.0.1:%d", port);
	self_test("two lengths", TAKES_TWO_LENGTHS, TWO_LENGTHS);
	self_test("keeps a closed connection", KEEPS_CLOSED,
	    OK "Connection: close\r\nContent-Length: 5\r\n\r\nfirst");
	self_test("a lost byte", LOSES_A_BYTE, WHOLE);
	self_test("ends twice", ENDS_TWICE, WHOLE);
	self_test("never ends", NEVER_ENDS, WHOLE);
	self_test("denies sending", DENIES_SENDING, "nonsense\r\n\r\n");
	return 0;
}

/* Now and then starts again with a text that is near a valid one. */
/* NOLINTNEXTLINE(readability-identifier-naming) */
size_t
LLVMFuzzerCustomMutator(
    uint8_t *data, size_t size, size_t max_size, unsigned int seed)
{
	return script_mutate(
	    data, size, max_size, seed, answers, G_N_ELEMENTS(answers));
}

/* NOLINTNEXTLINE(readability-identifier-naming) */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	return feed_input("fuzz_answer", data, size, run);
}
