#include <sys/queue.h>

#include <string.h>

#include "base/log.h"
#include "host/carry.h"
#include "host/once_calls.h"
#include "transport/http_check.h"

/* Unsent bytes of an answer at which reading more of it pauses. */
#define RELAY_PENDING_MAX (256 * 1024)

#define SHED_HEADER "Greengageloom-Shed"
#define SHED_VALUE "not-run"

static void
add_try_id(const carry_t *c, struct evkeyvalq *headers)
{
	char id[128];

	g_snprintf(id, sizeof(id), "%s.%u", c->id, c->attempt.number);
	evhttp_add_header(headers, REQUEST_ID_HEADER, id);
}

/* An answer that names another request has come to the wrong one. */
static gboolean
is_crossed(const carry_t *c, const struct evkeyvalq *headers)
{
	const char *echoed = evhttp_find_header(headers, REQUEST_ID_HEADER);
	char id[128];

	if (echoed == NULL)
		return FALSE;
	g_snprintf(id, sizeof(id), "%s.%u", c->id, c->attempt.number);
	return strcmp(echoed, id) != 0;
}

static gboolean
has_body(const carry_t *c, int status)
{
	return c->request.method != EVHTTP_REQ_HEAD && status != 204 &&
	    status != 304;
}

/* Without a length or chunks nobody can tell a whole body from a part. */
static gboolean
is_measured(const struct evkeyvalq *headers)
{
	return evhttp_find_header(headers, "Content-Length") != NULL ||
	    evhttp_find_header(headers, "Transfer-Encoding") != NULL;
}

static gboolean
says_not_run(int status, const struct evkeyvalq *headers)
{
	const char *value = evhttp_find_header(headers, SHED_HEADER);

	return status == HTTP_SERVUNAVAIL && value != NULL &&
	    strcmp(value, SHED_VALUE) == 0;
}

static void
start_relay(carry_t *c, int status, const struct evkeyvalq *from)
{
	const char *length = evhttp_find_header(from, "Content-Length");
	struct evkeyvalq headers;

	TAILQ_INIT(&headers);
	http_copy_end_to_end(&headers, from);
	evhttp_remove_header(&headers, REQUEST_ID_HEADER);
	evhttp_add_header(&headers, REQUEST_ID_HEADER, c->id);
	if (length != NULL)
		evhttp_add_header(&headers, "Content-Length", length);
	once_calls_head(c, status, from);
	c->relaying = TRUE;
	c->bodyless = !has_body(c, status);
	if (c->bodyless) {
		/* Nothing follows the head: the exchange ends with it. */
		http_reply(c->x, status, &headers, NULL);
		c->x = NULL;
	} else {
		http_reply_start(c->x, status, &headers);
	}
	evhttp_clear_headers(&headers);
}

/* A try that is over for the attempt, but whose answer must be read off. */
static void
on_rest_done(void *arg, http_outcome_t outcome, int status,
    const struct evkeyvalq *headers, struct evbuffer *body)
{
	(void)arg;
	(void)outcome;
	(void)status;
	(void)headers;
	(void)body;
}

static void
on_rest(void *arg, struct evbuffer *piece)
{
	(void)arg;
	evbuffer_drain(piece, evbuffer_get_length(piece));
}

static outcome_t
outcome_of_status(int status, gboolean not_run)
{
	if (not_run)
		return OUTCOME_SHED;
	return status >= 500 ? OUTCOME_ERROR : OUTCOME_OK;
}

static void
on_head(void *arg, int status, const struct evkeyvalq *headers)
{
	static const http_handler_t rest = {NULL, on_rest, on_rest_done, NULL};
	carry_t *c = arg;
	gboolean not_run = says_not_run(status, headers);
	attempt_event_t e = {
	    .kind = ATTEMPT_ANSWERED,
	    .request_id = c->attempt.request_id,
	    .number = c->attempt.number,
	    .u.answer = {status, not_run},
	};
	attempt_action_t action;
	http_call_t *call = c->call;

	if (is_crossed(c, headers) ||
	    (has_body(c, status) && !is_measured(headers))) {
		log_event(LOG_WARN, "answer.unusable", "id", c->id, "peer",
		    c->address, "reason",
		    is_crossed(c, headers) ? "crossed" : "no length", NULL);
		c->call = NULL;
		carry_unbook(c, OUTCOME_BROKEN);
		http_call_cancel(call);
		carry_event(c, ATTEMPT_BROKEN);
		return;
	}
	action = attempt_step(&c->attempt, &e, clock_now());
	if (action.kind == ATTEMPT_REPLY) {
		start_relay(c, status, headers);
		return;
	}
	/* Another try follows: this answer is read to its end and dropped. */
	http_call_rehandle(call, &rest);
	c->call = NULL;
	if (not_run)
		c->sent = FALSE;
	carry_unbook(c, outcome_of_status(status, not_run));
	metrics_count(&c->host->metrics, c->host->m.retries, 1);
	carry_act(c, &action);
}

static void
on_drained(void *arg)
{
	carry_t *c = arg;

	if (c->call != NULL)
		http_call_pause(c->call, FALSE);
}

static void
on_piece(void *arg, struct evbuffer *piece)
{
	carry_t *c = arg;

	c->answer_bytes += evbuffer_get_length(piece);
	once_calls_piece(c, piece);
	if (c->x == NULL) {
		evbuffer_drain(piece, evbuffer_get_length(piece));
		return;
	}
	if (http_reply_piece(c->x, piece, on_drained, c) > RELAY_PENDING_MAX)
		http_call_pause(c->call, TRUE);
}

static void
end_relay(carry_t *c, http_outcome_t outcome, int status)
{
	host_t *h = c->host;

	if (outcome != HTTP_ANSWERED) {
		log_event(LOG_WARN, "answer.cut", "id", c->id, "peer",
		    c->address, NULL);
		carry_unbook(c, OUTCOME_BROKEN);
		if (c->x != NULL)
			http_reply_abort(c->x);
	} else {
		metrics_count(&h->metrics, h->m.answered, 1);
		carry_unbook(c, outcome_of_status(status, FALSE));
		once_calls_ended(c, RAN_YES);
		if (c->x != NULL)
			http_reply_end(c->x);
	}
	carry_free(c);
}

static void
on_done(void *arg, http_outcome_t outcome, int status,
    const struct evkeyvalq *headers, struct evbuffer *body)
{
	carry_t *c = arg;

	(void)headers;
	(void)body;
	c->call = NULL;
	if (c->relaying) {
		end_relay(c, outcome, status);
		return;
	}
	switch (outcome) {
	case HTTP_NOT_SENT:
		c->sent = FALSE;
		carry_unbook(c, OUTCOME_REFUSED);
		carry_event(c, ATTEMPT_REFUSED);
		break;
	case HTTP_OUT_OF_TIME:
		carry_unbook(c, OUTCOME_TIMEOUT);
		carry_event(c, ATTEMPT_TIMED_OUT);
		break;
	case HTTP_ANSWERED: /* an answer without a head can't be used */
	case HTTP_BROKEN:
		carry_unbook(c, OUTCOME_BROKEN);
		carry_event(c, ATTEMPT_BROKEN);
		break;
	}
}

void
carry_send(carry_t *c, msec_t timeout_ms)
{
	static const http_handler_t handler = {
	    on_head, on_piece, on_done, NULL};
	http_handler_t mine = handler;
	struct evkeyvalq headers;
	struct evbuffer *body = evbuffer_new();
	http_request_t request = {
	    .address = c->address,
	    .method = c->request.method,
	    .path = c->request.target,
	    .headers = &headers,
	    .body = body,
	    .timeout_ms = timeout_ms,
	    /* An idle connection may break under a request that then ran or
	     * not; what may run once only does not take that risk. */
	    .fresh = !c->idempotent,
	};
	char left[24];

	TAILQ_INIT(&headers);
	http_copy_end_to_end(&headers, &c->request.headers);
	add_try_id(c, &headers);
	g_snprintf(left, sizeof(left), "%lld", (long long)timeout_ms);
	evhttp_add_header(&headers, REQUEST_DEADLINE_HEADER, left);
	evbuffer_add_buffer_reference(body, c->request.body);
	c->relaying = FALSE;
	c->sent = TRUE;
	mine.arg = c;
	c->call = http_call(c->host->http, &request, &mine);
	evbuffer_free(body);
	evhttp_clear_headers(&headers);
	if (c->call == NULL) {
		c->sent = FALSE;
		carry_unbook(c, OUTCOME_REFUSED);
		carry_event(c, ATTEMPT_REFUSED);
	}
}
