#include <sys/queue.h>

#include <string.h>

#include "base/log.h"
#include "coordination/attempt.h"
#include "gateway/relay.h"
#include "platform/wire_http.h"

/* A caller that does not say how long it waits is given this. */
#define BUDGET_DEFAULT_MS 30000
/* To make a connection: several times the longest round trip. */
#define CONNECT_MS 700
/* Largest answer that is held. */
#define ANSWER_MAX_BYTES (16 * 1024 * 1024)
/* After which a caller may find a host that knows its configuration. */
#define NOT_READY_RETRY_MS 500
/* And a service that has no server to be used. */
#define NO_SERVER_RETRY_MS 1000

#define STATUS_OVER_RATE 429
#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
#define STATUS_GATEWAY_TIMEOUT 504
#define STATUS_SERVER_ERROR 500

typedef struct {
	relays_t *all;
	http_exchange_t *x;
	wire_request_t asked; /* texts belong to the exchange */
	char *id;	      /* for the log, also when the exchange has gone */
	admission_t admission;
	dispatch_job_t job;
	attempt_t attempt;
	gboolean idempotent;
	msec_t began_at;
	msec_t wait_ms;		/* when a refused caller may find room */
	attempt_action_t first; /* to be done once there is a token */
	struct event *timer;
	token_ask_t *token; /* being asked for, or NULL */

	/* The try under way. */
	http_call_t *call;
	backend_t *server;
	msec_t sent_at;

	/* The answer to be passed on; valid while its callback runs. */
	int status;
	const struct evkeyvalq *answer_headers;
	struct evbuffer *answer_body;
	const char *spoilt; /* why it can't be */
} relay_t;

static void act(relay_t *c, attempt_action_t action);

/* ---- end of a request ---- */

static void
relay_free(relay_t *c)
{
	g_ptr_array_remove_fast(c->all->under_way, c);
	if (c->timer != NULL)
		event_free(c->timer);
	if (c->token != NULL)
		tokens_cancel(c->token);
	dispatch_job_clear(&c->job);
	admission_clear(&c->admission);
	g_free(c->id);
	g_free(c);
}

static void
log_end(const relay_t *c, int status, const char *outcome, const char *reason)
{
	const view_t *v = c->all->view;
	const admission_t *a = &c->admission;
	msec_t now = clock_now();
	const backend_t *last =
	    c->job.ntried > 0 ? c->job.tried[c->job.ntried - 1] : NULL;

	log_event(LOG_INFO, "request.end", "id", c->id, "outcome", outcome,
	    "status", log_num(status), "reason", reason, "route",
	    a->route != NULL ? a->route->name : NULL, "workspace",
	    a->workspace != NULL ? a->workspace->name : NULL, "service",
	    a->service != NULL ? a->service->name : NULL, "server",
	    last != NULL ? last->id : NULL, "tries", log_num(c->job.ntried),
	    "took_ms", log_num(now - c->began_at), "retry_ms",
	    log_num(c->wait_ms), "config",
	    a->manifest != NULL ? log_num((long long)a->manifest->version)
				: NULL,
	    "servers_age_ms", log_num(now - v->servers_at), NULL);
}

static void
reply_own(relay_t *c, int status, msec_t retry_ms, const char *reason)
{
	struct evkeyvalq headers = TAILQ_HEAD_INITIALIZER(headers);
	struct evbuffer *body = evbuffer_new();

	wire_refusal(&headers, c->asked.id, retry_ms);
	evbuffer_add_printf(body, "%s\n", reason);
	http_reply(c->x, status, &headers, body);
	evhttp_clear_headers(&headers);
	evbuffer_free(body);
}

/* An answer of our own: a refusal if the request surely did not run. */
static void
end_own(relay_t *c, int status, msec_t retry_ms, const char *reason)
{
	gboolean refused = status == STATUS_UNAVAILABLE || status < 500;

	c->wait_ms = retry_ms;
	metrics_count(
	    c->all->metrics, refused ? c->all->refused : c->all->failed, 1);
	log_end(c, status, refused ? "refused" : "failed", reason);
	reply_own(c, status, retry_ms, reason);
	relay_free(c);
}

static void
end_answer(relay_t *c)
{
	struct evkeyvalq headers = TAILQ_HEAD_INITIALIZER(headers);
	msec_t took = clock_now() - c->began_at;
	int status = c->status;

	/* An answer that speaks of not having run must not be taken for a
	 * promise: the server's program has seen the request. */
	if (status == STATUS_UNAVAILABLE || status == 429 || status == 408 ||
	    status == 421) {
		end_own(c, STATUS_BAD_GATEWAY, 0, "server-unavailable");
		return;
	}
	metrics_count(c->all->metrics, c->all->answered, 1);
	metrics_observe(c->all->metrics, c->all->request_ms, took);
	log_end(c, status, "answered", NULL);
	wire_answer_forward(&headers, c->answer_headers);
	http_reply(c->x, status, &headers, c->answer_body);
	evhttp_clear_headers(&headers);
	relay_free(c);
}

static void
end_refused(relay_t *c, const attempt_action_t *action)
{
	const char *reason = refuse_reason_name(action->reason);

	if (action->ran != RAN_NO) {
		end_own(c,
		    action->reason == REFUSED_DEADLINE ? STATUS_GATEWAY_TIMEOUT
						       : STATUS_BAD_GATEWAY,
		    0, reason);
		return;
	}
	metrics_count(c->all->metrics, c->all->no_room, 1);
	end_own(c, STATUS_UNAVAILABLE,
	    c->wait_ms > 0 ? c->wait_ms : NO_SERVER_RETRY_MS, reason);
}

/* ---- tries ---- */

static void
end_try(relay_t *c, dispatch_end_t end)
{
	msec_t now = clock_now();
	const dispatch_result_t result = {
	    .end = end,
	    .failed = c->status >= STATUS_SERVER_ERROR,
	    .took_ms = now - c->sent_at,
	};

	if (c->server == NULL)
		return;
	log_event(LOG_DEBUG, "request.try", "id", c->id, "server",
	    c->server->id, "end", log_num(end), "status", log_num(c->status),
	    "took_ms", log_num(result.took_ms), NULL);
	if (end == DISPATCH_ANSWERED)
		metrics_observe(
		    c->all->metrics, c->all->server_ms, result.took_ms);
	dispatch_ended(
	    &c->all->view->dispatch, &c->job, c->server, &result, now);
	c->server = NULL;
	c->call = NULL;
}

static void
step(relay_t *c, const attempt_event_t *e)
{
	act(c, attempt_step(&c->attempt, e, clock_now()));
}

static attempt_event_t
event_of(const relay_t *c, attempt_event_kind_t kind)
{
	attempt_event_t e = {
	    .kind = kind,
	    .request_id = c->attempt.request_id,
	    .number = c->attempt.number,
	};

	return e;
}

/* What is wrong with an answer, or NULL: it must be whole, the server's own,
 * and of this request. */
static const char *
find_fault(const relay_t *c, int status, const wire_answer_t *a)
{
	if (a->id == NULL || g_strcmp0(a->id, c->asked.id) != 0)
		return "answer of another request";
	if (a->encoded)
		return "encoded answer";
	if (!a->is_signed && !a->not_run && status < 400)
		return "unsigned answer";
	return NULL;
}

static void
take_answer(relay_t *c, int status, const struct evkeyvalq *headers,
    struct evbuffer *body)
{
	attempt_event_t e = event_of(c, ATTEMPT_ANSWERED);
	backend_t *server = c->server;
	wire_answer_t a;

	wire_answer_read(status, headers, &a);
	if (a.tells_load && !a.other)
		backend_report(server, a.running + a.waiting, clock_now());
	c->spoilt = a.not_run ? NULL : find_fault(c, status, &a);
	c->status = status;
	c->answer_headers = headers;
	c->answer_body = body;
	if (c->spoilt != NULL) {
		log_event(LOG_WARN, "request.spoilt", "id", c->id, "server",
		    server->id, "why", c->spoilt, NULL);
		end_try(c, DISPATCH_BROKEN);
		e.kind = ATTEMPT_BROKEN;
		step(c, &e);
		return;
	}
	e.u.answer.not_run = a.not_run;
	e.u.answer.status = a.not_run ? STATUS_UNAVAILABLE : status;
	/* A failure of a request that may run again is worth another try. */
	if (!a.not_run && c->idempotent && status >= STATUS_SERVER_ERROR)
		e.u.answer.status = STATUS_BAD_GATEWAY;
	end_try(c,
	    a.other	    ? DISPATCH_OTHER
		: a.not_run ? DISPATCH_FULL
			    : DISPATCH_ANSWERED);
	step(c, &e);
}

static void
on_done(void *arg, http_outcome_t outcome, int status,
    const struct evkeyvalq *headers, struct evbuffer *body)
{
	relay_t *c = arg;
	attempt_event_t e;

	c->call = NULL;
	c->status = 0;
	switch (outcome) {
	case HTTP_ANSWERED:
		take_answer(c, status, headers, body);
		return;
	case HTTP_NOT_SENT:
		end_try(c, DISPATCH_UNREACHABLE);
		e = event_of(c, ATTEMPT_REFUSED);
		break;
	case HTTP_OUT_OF_TIME:
		end_try(c, DISPATCH_TIMED_OUT);
		e = event_of(c, ATTEMPT_BROKEN);
		break;
	case HTTP_BROKEN:
	default:
		end_try(c, DISPATCH_BROKEN);
		e = event_of(c, ATTEMPT_BROKEN);
		break;
	}
	step(c, &e);
}

static void
cancel_try(relay_t *c, dispatch_end_t end)
{
	if (c->call != NULL)
		http_call_cancel(c->call);
	end_try(c, end);
}

static void
send_try(relay_t *c, backend_t *server, msec_t left_ms)
{
	relays_t *all = c->all;
	struct evhttp_request *req = http_exchange_request(c->x);
	struct evkeyvalq headers = TAILQ_HEAD_INITIALIZER(headers);
	struct evbuffer *body = evbuffer_new();
	const admission_t *a = &c->admission;
	const wire_forward_t forward = {
	    .left_ms = left_ms,
	    .server = server->id,
	    .workspace = a->workspace != NULL ? a->workspace->name : NULL,
	};
	const http_request_t request = {
	    .address = server->address,
	    .method = evhttp_request_get_command(req),
	    .path = evhttp_request_get_uri(req),
	    .headers = &headers,
	    .body = body,
	    /* Our own timer ends the request; this one is for the rest. */
	    .timeout_ms = left_ms + MSEC_PER_SEC,
	    .connect_ms = CONNECT_MS,
	    /* An idle connection that closes would leave it open whether a
	     * request has run. */
	    .fresh = !c->idempotent,
	    .max_body = ANSWER_MAX_BYTES,
	};
	const http_handler_t handler = {.on_done = on_done, .arg = c};

	evbuffer_add_buffer_reference(body, http_exchange_body(c->x));
	wire_request_forward(&headers, http_exchange_headers(c->x), &forward);
	dispatch_sent(&all->view->dispatch, &c->job, server, c->sent_at);
	c->call = http_call(all->http, &request, &handler);
	evhttp_clear_headers(&headers);
	evbuffer_free(body);
	metrics_count(all->metrics, all->tries, 1);
	if (c->job.ntried > 1)
		metrics_count(all->metrics, all->again, 1);
}

static void
place(relay_t *c)
{
	view_t *v = c->all->view;
	msec_t now = clock_now();
	placing_t p =
	    dispatch_place(&v->dispatch, &c->job, now, view_store_now(v, now));
	attempt_event_t e;

	if (p.verdict == PLACING_SEND) {
		c->server = p.server;
		c->sent_at = now;
		e = event_of(c, ATTEMPT_PLACED);
	} else {
		c->wait_ms = p.wait_ms;
		e = event_of(c, ATTEMPT_NO_SERVER);
	}
	step(c, &e);
}

static void
act(relay_t *c, attempt_action_t action)
{
	if (action.cancel)
		cancel_try(c,
		    action.kind == ATTEMPT_FORGET ? DISPATCH_LEFT
						  : DISPATCH_TIMED_OUT);
	switch (action.kind) {
	case ATTEMPT_DROP:
	case ATTEMPT_WAIT:
		break;
	case ATTEMPT_PLACE:
		place(c);
		break;
	case ATTEMPT_SEND:
		if (c->server != NULL)
			send_try(c, c->server, action.timeout_ms);
		break;
	case ATTEMPT_REPLY:
		end_answer(c);
		break;
	case ATTEMPT_REFUSE:
		end_refused(c, &action);
		break;
	case ATTEMPT_FORGET:
		relay_free(c);
		break;
	}
}

/* ---- begin of a request ---- */

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	relay_t *c = arg;
	const attempt_event_t e = event_of(c, ATTEMPT_TIMED_OUT);
	struct timeval soon = {0, 1000};

	(void)fd;
	(void)what;
	/* Timers may be a moment early by the clock that decides. */
	if (clock_now() < c->attempt.deadline)
		event_add(c->timer, &soon);
	else
		step(c, &e);
}

static void
on_gone(void *arg)
{
	relay_t *c = arg;
	const attempt_event_t e = event_of(c, ATTEMPT_CALLER_GONE);

	c->x = NULL;
	metrics_count(c->all->metrics, c->all->gone, 1);
	log_end(c, 0, "caller-gone", NULL);
	step(c, &e);
}

static void
refuse_admission(relay_t *c)
{
	static const struct {
		int status;
		const char *reason;
	} refusals[] = {
	    [ADMISSION_OK] = {200, "ok"},
	    [ADMISSION_NO_MANIFEST] = {503, "not-ready"},
	    [ADMISSION_NO_ROUTE] = {404, "no-route"},
	    [ADMISSION_NO_KEY] = {401, "no-key"},
	    [ADMISSION_TOO_LARGE] = {413, "too-large"},
	};
	admission_verdict_t verdict = c->admission.verdict;

	end_own(c, refusals[verdict].status,
	    verdict == ADMISSION_NO_MANIFEST ? NOT_READY_RETRY_MS : 0,
	    refusals[verdict].reason);
}

static void
start_timer(relay_t *c)
{
	msec_t ms = MAX(c->attempt.deadline - c->began_at, 0);
	struct timeval tv = {ms / MSEC_PER_SEC, (ms % MSEC_PER_SEC) * 1000};

	c->timer = evtimer_new(c->all->base, on_timer, c);
	event_add(c->timer, &tv);
}

static void
start_job(relay_t *c)
{
	const admission_t *a = &c->admission;
	const char *object = c->asked.object;

	c->job.admission = a;
	c->job.by_object = a->route->by_object && object != NULL;
	c->job.object = registry_hash(object != NULL ? object : c->id);
	c->job.body_bytes = evbuffer_get_length(http_exchange_body(c->x));
}

static void
on_token(void *arg, gboolean granted, msec_t wait_ms)
{
	relay_t *c = arg;

	c->token = NULL;
	if (granted) {
		act(c, c->first);
		return;
	}
	metrics_count(c->all->metrics, c->all->over_rate, 1);
	end_own(c, STATUS_OVER_RATE, wait_ms, "over-rate");
}

/* Nothing is asked for a request that no server could take anyway. */
static gboolean
has_room(relay_t *c)
{
	view_t *v = c->all->view;
	msec_t now = clock_now();
	placing_t p =
	    dispatch_place(&v->dispatch, &c->job, now, view_store_now(v, now));

	return p.verdict == PLACING_SEND;
}

static void
take_token(relay_t *c)
{
	const manifest_workspace_t *w = c->admission.workspace;
	token_ask_t *token;

	if (w == NULL || w->rate <= 0 || !has_room(c)) {
		act(c, c->first);
		return;
	}
	/* The answer may come at once, and the request be over by then. */
	token =
	    tokens_take(c->all->tokens, registry_hash(w->name), on_token, c);
	if (token != NULL)
		c->token = token;
}

static void
start_attempt(relay_t *c)
{
	const admission_t *a = &c->admission;
	msec_t budget =
	    c->asked.budget_ms > 0 ? c->asked.budget_ms : BUDGET_DEFAULT_MS;
	msec_t timeout =
	    a->route->timeout_ms > 0 ? a->route->timeout_ms : budget;

	c->idempotent = a->route->kind == MANIFEST_IDEMPOTENT;
	start_job(c);
	c->first = attempt_init(&c->attempt, c->all->number, c->idempotent,
	    c->began_at + budget, timeout,
	    dispatch_budget(&c->all->view->dispatch, a->service->name),
	    c->began_at);
	attempt_limit(
	    &c->attempt, MIN(a->route->max_tries, DISPATCH_TRIES_MAX));
	http_exchange_watch(c->x, on_gone, c);
	start_timer(c);
	take_token(c);
}

static char *
path_of(struct evhttp_request *req)
{
	const char *uri = evhttp_request_get_uri(req);

	return g_strndup(uri, strcspn(uri, "?"));
}

void
relay_begin(relays_t *all, http_exchange_t *x)
{
	relay_t *c = g_new0(relay_t, 1);
	const struct evkeyvalq *headers = http_exchange_headers(x);
	char *path = path_of(http_exchange_request(x));
	admission_request_t request;

	c->all = all;
	c->x = x;
	c->began_at = clock_now();
	all->number++;
	g_ptr_array_add(all->under_way, c);
	metrics_count(all->metrics, all->requests, 1);
	wire_request_read(headers, &c->asked);
	c->id = g_strdup(c->asked.id != NULL ? c->asked.id : "-");
	request = (admission_request_t){
	    .host = evhttp_find_header(headers, "Host"),
	    .path = path,
	    .key = c->asked.key,
	    .body_bytes = evbuffer_get_length(http_exchange_body(x)),
	};
	if (c->asked.repeated) {
		end_own(c, 400, 0, "a header is repeated");
	} else {
		c->admission =
		    admission_decide(&all->view->admission, &request);
		if (c->admission.verdict == ADMISSION_OK)
			start_attempt(c);
		else
			refuse_admission(c);
	}
	g_free(path);
}

char *
relay_refusal_body(const char *reason)
{
	return g_strdup_printf("%s\n", reason);
}

void
relays_init(relays_t *c, view_t *view, http_client_t *http, tokens_t *tokens,
    struct event_base *base, metrics_t *m)
{
	memset(c, 0, sizeof(*c));
	c->view = view;
	c->http = http;
	c->tokens = tokens;
	c->base = base;
	c->metrics = m;
	c->under_way = g_ptr_array_new();
	c->requests =
	    metrics_add(m, METRIC_COUNTER, "requests_total", "requests taken");
	c->answered = metrics_add(m, METRIC_COUNTER, "requests_answered_total",
	    "requests answered by a backend server");
	c->refused = metrics_add(m, METRIC_COUNTER, "requests_refused_total",
	    "requests refused that did not run");
	c->failed = metrics_add(m, METRIC_COUNTER, "requests_failed_total",
	    "requests that failed and may have run");
	c->gone = metrics_add(m, METRIC_COUNTER, "requests_gone_total",
	    "requests whose caller hung up");
	c->tries = metrics_add(
	    m, METRIC_COUNTER, "tries_total", "requests sent to servers");
	c->again = metrics_add(m, METRIC_COUNTER, "tries_again_total",
	    "of those, second and further tries");
	c->over_rate = metrics_add(m, METRIC_COUNTER, "refused_over_rate_total",
	    "requests over their workspace's rate");
	c->no_room = metrics_add(m, METRIC_COUNTER, "refused_no_room_total",
	    "requests for which no server had room");
	c->request_ms = metrics_add(m, METRIC_HISTOGRAM, "request_ms",
	    "time from a request to its answer, ms");
	c->server_ms = metrics_add(m, METRIC_HISTOGRAM, "server_ms",
	    "time of a backend server's answer, ms");
}

void
relays_finish(relays_t *all)
{
	guint i;

	for (i = all->under_way->len; i > 0; i--) {
		relay_t *c = g_ptr_array_index(all->under_way, i - 1);

		cancel_try(c, DISPATCH_LEFT);
		relay_free(c);
	}
	g_ptr_array_free(all->under_way, TRUE);
}
