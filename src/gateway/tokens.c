#include <string.h>

#include "base/log.h"
#include "gateway/tokens.h"

/* Time for a lender of the region to answer: many round trips within it. */
#define ANSWER_TIMEOUT_MS 80
/* The same for a lender in another region. */
#define ANSWER_TIMEOUT_FAR_MS 300
/* A lender that did not answer in time is skipped for this long. */
#define SILENT_SKIP_MS 1000
/* Retry-After if no lender answered and this host has no token. */
#define UNANSWERED_RETRY_MS 300
/* A token that arrives later is not used. This host was paused meanwhile, and
 * the window that the token was lent in may be over. */
#define TOKEN_VALID_MS 1000

/* What a token is for. */
typedef struct {
	server_limit_t limit; /* of a workspace: only its name */
	gboolean is_server;
	const char *region; /* of the lenders; belongs to whoever asks */
} token_use_t;

struct token_request {
	tokens_t *tokens;
	uint32_t id;
	token_use_t use;
	msec_t asked_at;
	guint rank;	 /* 0: the lender is asked, 1: its deputy */
	uint64_t lender; /* seed of the host that is asked */
	token_done_t done;
	void *arg;
	struct event *timer;
};

static void
request_free(void *p)
{
	token_request_t *request = p;

	event_free(request->timer);
	g_free(request);
}

void
tokens_init(tokens_t *t, view_t *view, struct event_base *base,
    datagram_t *socket, const peer_secret_t *secret)
{
	memset(t, 0, sizeof(*t));
	t->view = view;
	t->base = base;
	t->socket = socket;
	t->secret = secret;
	t->pending = g_hash_table_new_full(NULL, NULL, NULL, request_free);
	t->silent =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	t->exhausted =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
}

void
tokens_finish(tokens_t *t)
{
	g_hash_table_destroy(t->pending);
	g_hash_table_destroy(t->silent);
	g_hash_table_destroy(t->exhausted);
}

/* Return: time left until the deadline of a hash, or 0. A deadline that has
 * passed is dropped. */
static msec_t
time_left(GHashTable *deadlines, uint64_t hash, msec_t now)
{
	const msec_t *until = g_hash_table_lookup(deadlines, &hash);

	if (until == NULL)
		return 0;
	if (now < *until)
		return *until - now;
	g_hash_table_remove(deadlines, &hash);
	return 0;
}

static void
set_until(GHashTable *deadlines, uint64_t hash, msec_t at)
{
	uint64_t *key = g_new(uint64_t, 1);
	msec_t *until = g_new(msec_t, 1);

	*key = hash;
	*until = at;
	g_hash_table_replace(deadlines, key, until);
}

static void
finish_request(token_request_t *request, const server_limit_answer_t *answer)
{
	token_done_t done = request->done;
	void *arg = request->arg;

	g_hash_table_remove(
	    request->tokens->pending, GUINT_TO_POINTER(request->id));
	done(arg, answer);
}

/* Lends a token from this host's part. */
static void
lend(tokens_t *t, const token_use_t *use, server_limit_answer_t *answer)
{
	msec_t now = clock_now();

	*answer = (server_limit_answer_t){0};
	if (use->is_server)
		server_limits_take(
		    &t->view->server_limits, &use->limit, answer, now);
	else
		answer->granted = rate_lender_take(
		    &t->view->rates, use->limit.server, &answer->wait_ms, now);
}

/* Return: the next host to ask, or NULL if it is this host. */
static const fleet_host_t *
next_lender(const tokens_t *t, const token_use_t *use, guint *rank, msec_t now)
{
	const rate_lender_t *l =
	    use->is_server ? &t->view->server_limits.lender : &t->view->rates;
	const fleet_host_t *h;

	for (; *rank < RATE_LENDERS; (*rank)++) {
		h = rate_lender_of(
		    l, use->region, use->limit.server, *rank, now);
		if (h == NULL || time_left(t->silent, h->seed, now) == 0)
			return h;
	}
	return NULL;
}

static uint32_t
thousandths(double number)
{
	return (uint32_t)(number * MSEC_PER_SEC + 0.5);
}

static void
put_limit(token_msg_t *msg, const server_limit_t *limit, msec_t now)
{
	msg->is_server = TRUE;
	msg->name = limit->server;
	msg->rate = thousandths(limit->rate);
	msg->age_ms = (uint32_t)CLAMP(now - limit->at, 0, UINT32_MAX);
}

static server_limit_t
get_limit(const token_msg_t *msg, msec_t now)
{
	const server_limit_t limit = {msg->name,
	    (double)msg->rate / MSEC_PER_SEC, now - (msec_t)msg->age_ms, NULL};

	return limit;
}

static void
send_request(token_request_t *request, const fleet_host_t *h)
{
	tokens_t *t = request->tokens;
	gboolean is_far = strcmp(h->region, t->view->settings->region) != 0;
	const struct timeval wait = {0,
	    (is_far ? ANSWER_TIMEOUT_FAR_MS : ANSWER_TIMEOUT_MS) *
		MSEC_PER_SEC};
	uint8_t data[TOKEN_MSG_BYTES];
	token_msg_t msg = {
	    .kind = PEER_TOKEN_REQUEST,
	    .id = request->id,
	    .host = t->view->fleet.self,
	    .name = request->use.limit.server,
	};

	if (request->use.is_server)
		put_limit(&msg, &request->use.limit, clock_now());
	request->lender = h->seed;
	t->requests_sent++;
	datagram_send(
	    t->socket, h->peer, data, token_msg_encode(&msg, t->secret, data));
	event_add(request->timer, &wait);
}

static void
on_timeout(evutil_socket_t fd, short what, void *arg)
{
	token_request_t *request = arg;
	tokens_t *t = request->tokens;
	msec_t now = clock_now();
	server_limit_answer_t answer;
	const fleet_host_t *h;

	(void)fd;
	(void)what;
	set_until(t->silent, request->lender, now + SILENT_SKIP_MS);
	t->unanswered++;
	request->rank++;
	h = next_lender(t, &request->use, &request->rank, now);
	if (h != NULL) {
		send_request(request, h);
		return;
	}
	lend(t, &request->use, &answer);
	if (!answer.granted)
		answer.wait_ms = UNANSWERED_RETRY_MS;
	finish_request(request, &answer);
}

static token_request_t *
take(tokens_t *t, const token_use_t *use, token_done_t done, void *arg)
{
	msec_t now = clock_now();
	server_limit_answer_t answer = {0};
	const fleet_host_t *h;
	token_request_t *request;
	guint rank = 0;

	answer.wait_ms = time_left(t->exhausted, use->limit.server, now);
	if (answer.wait_ms > 0) {
		done(arg, &answer);
		return NULL;
	}
	h = next_lender(t, use, &rank, now);
	if (h == NULL) {
		lend(t, use, &answer);
		done(arg, &answer);
		return NULL;
	}
	request = g_new0(token_request_t, 1);
	request->tokens = t;
	request->id = ++t->last_id;
	request->use = *use;
	request->asked_at = now;
	request->rank = rank;
	request->done = done;
	request->arg = arg;
	request->timer = evtimer_new(t->base, on_timeout, request);
	g_hash_table_insert(t->pending, GUINT_TO_POINTER(request->id), request);
	send_request(request, h);
	return request;
}

token_request_t *
tokens_take(tokens_t *t, uint64_t workspace, token_done_t done, void *arg)
{
	const token_use_t use = {
	    .limit = {.server = workspace},
	    .region = t->view->settings->region,
	};

	return take(t, &use, done, arg);
}

token_request_t *
tokens_take_of_server(tokens_t *t, const server_limit_t *limit,
    const char *region, token_done_t done, void *arg)
{
	token_use_t use = {*limit, TRUE, region};

	use.limit.region = g_intern_string(region);
	return take(t, &use, done, arg);
}

void
tokens_cancel(token_request_t *request)
{
	g_hash_table_remove(
	    request->tokens->pending, GUINT_TO_POINTER(request->id));
}

/* Region of the server that named a limit; "" if the server is unknown. */
static const char *
region_of(const view_t *v, uint64_t limit)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, v->registry.servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const backend_t *b = value;

		if (backend_limit_id(b) == limit)
			return g_intern_string(b->region);
	}
	return "";
}

static void
answer_request(tokens_t *t, const token_msg_t *msg)
{
	const fleet_host_t *h = fleet_find(&t->view->fleet, msg->host);
	uint8_t data[TOKEN_MSG_BYTES];
	token_msg_t reply = *msg;
	msec_t now = clock_now();
	token_use_t use = {get_limit(msg, now), msg->is_server != 0, ""};
	server_limit_answer_t answer;

	if (h == NULL)
		return;
	if (use.is_server)
		use.limit.region = region_of(t->view, msg->name);
	lend(t, &use, &answer);
	reply.kind = PEER_TOKEN_ANSWER;
	reply.granted = answer.granted;
	reply.wait_ms = (uint32_t)answer.wait_ms;
	if (msg->is_server) {
		put_limit(&reply, &answer.limit, now);
		reply.offloaded = thousandths(answer.offloaded);
	}
	datagram_send(t->socket, h->peer, data,
	    token_msg_encode(&reply, t->secret, data));
}

void
tokens_receive(tokens_t *t, const token_msg_t *msg)
{
	token_request_t *request;
	msec_t now = clock_now();
	server_limit_answer_t answer;

	if (msg->kind == PEER_TOKEN_REQUEST) {
		answer_request(t, msg);
		return;
	}
	request = g_hash_table_lookup(t->pending, GUINT_TO_POINTER(msg->id));
	if (request == NULL || msg->host != t->view->fleet.self ||
	    msg->name != request->use.limit.server ||
	    (msg->is_server != 0) != request->use.is_server ||
	    now - request->asked_at > TOKEN_VALID_MS)
		return;
	if (msg->granted == 0)
		set_until(t->exhausted, msg->name, now + msg->wait_ms);
	answer = (server_limit_answer_t){
	    .granted = msg->granted != 0,
	    .wait_ms = msg->wait_ms,
	    .offloaded = (double)msg->offloaded / MSEC_PER_SEC,
	    .limit = get_limit(msg, now),
	};
	finish_request(request, &answer);
}
