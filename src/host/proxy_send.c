#include <sys/queue.h>

#include <string.h>

#include "base/log.h"
#include "coordination/answer_origin.h"
#include "host/proxy.h"
#include "host/once_calls.h"
#include "transport/http_check.h"

/* Reading an answer pauses while more than this is unsent to the caller. */
#define UNSENT_ANSWER_MAX_BYTES (256 * 1024)

#define SHED_HEADER "Greengageloom-Shed"
#define SHED_VALUE "not-run"

static void
add_try_id(const proxy_request_t *pr, struct evkeyvalq *headers)
{
	char id[128];

	g_snprintf(id, sizeof(id), "%s.%u", pr->id, pr->attempt.number);
	evhttp_add_header(headers, REQUEST_ID_HEADER, id);
}

/* Whether the answer belongs to this try. */
static gboolean
is_own(const proxy_request_t *pr, gboolean not_run,
    const struct evkeyvalq *headers)
{
	const answer_origin_t origin = {
	    .id = evhttp_find_header(headers, REQUEST_ID_HEADER),
	    .not_run = not_run,
	    .first_request = http_call_is_first(pr->call),
	};
	char id[128];

	g_snprintf(id, sizeof(id), "%s.%u", pr->id, pr->attempt.number);
	return answer_is_own(&origin, id, ANSWER_ID_OPTIONAL);
}

static gboolean
has_body(const proxy_request_t *pr, int status)
{
	return pr->request.method != EVHTTP_REQ_HEAD && status != 204 &&
	    status != 304;
}

/* Without a length or chunks a truncated body looks like a whole one. */
static gboolean
has_known_end(const struct evkeyvalq *headers)
{
	return evhttp_find_header(headers, "Content-Length") != NULL ||
	    evhttp_find_header(headers, "Transfer-Encoding") != NULL;
}

static gboolean
is_shed(int status, const struct evkeyvalq *headers)
{
	const char *value = evhttp_find_header(headers, SHED_HEADER);

	return status == HTTP_SERVUNAVAIL && value != NULL &&
	    strcmp(value, SHED_VALUE) == 0;
}

static void
start_answer(proxy_request_t *pr, int status, const struct evkeyvalq *from)
{
	const char *length = evhttp_find_header(from, "Content-Length");
	struct evkeyvalq headers;

	TAILQ_INIT(&headers);
	http_copy_end_to_end(&headers, from);
	evhttp_remove_header(&headers, REQUEST_ID_HEADER);
	evhttp_add_header(&headers, REQUEST_ID_HEADER, pr->id);
	if (length != NULL)
		evhttp_add_header(&headers, "Content-Length", length);
	once_calls_head(pr, status, from);
	pr->answer_started = TRUE;
	pr->head_only = !has_body(pr, status);
	if (pr->head_only) {
		/* No body follows, so the exchange ends with the head. */
		http_reply(pr->x, status, &headers, NULL);
		pr->x = NULL;
	} else {
		http_reply_start(pr->x, status, &headers);
	}
	evhttp_clear_headers(&headers);
}

/* Handlers of a try that is over for the attempt: the rest of its answer is
 * read and dropped. */
static void
on_dropped_done(void *arg, http_outcome_t outcome, int status,
    const struct evkeyvalq *headers, struct evbuffer *body)
{
	(void)arg;
	(void)outcome;
	(void)status;
	(void)headers;
	(void)body;
}

static void
on_dropped_piece(void *arg, struct evbuffer *piece)
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
	static const http_handler_t dropping = {
	    .on_piece = on_dropped_piece, .on_done = on_dropped_done};
	proxy_request_t *pr = arg;
	gboolean not_run = is_shed(status, headers);
	attempt_event_t e = {
	    .kind = ATTEMPT_ANSWERED,
	    .request_id = pr->attempt.request_id,
	    .number = pr->attempt.number,
	    .u.answer = {status, not_run},
	};
	attempt_action_t action;
	http_call_t *call = pr->call;

	if (!is_own(pr, not_run, headers) ||
	    (has_body(pr, status) && !has_known_end(headers))) {
		log_event(LOG_WARN, "answer.unusable", "id", pr->id, "peer",
		    pr->address, "reason",
		    is_own(pr, not_run, headers) ? "no length" : "crossed",
		    NULL);
		pr->call = NULL;
		proxy_release_endpoint(pr, OUTCOME_BROKEN);
		http_call_cancel(call);
		proxy_attempt_event(pr, ATTEMPT_BROKEN);
		return;
	}
	action = attempt_step(&pr->attempt, &e, clock_now());
	if (action.kind == ATTEMPT_REPLY) {
		start_answer(pr, status, headers);
		return;
	}
	/* Another try follows: this answer is read to its end and dropped. */
	http_call_set_handler(call, &dropping);
	pr->call = NULL;
	if (not_run)
		pr->may_be_running = FALSE;
	proxy_release_endpoint(pr, outcome_of_status(status, not_run));
	metrics_count(&pr->host->metrics, pr->host->m.retries, 1);
	proxy_run_action(pr, &action);
}

static void
on_caller_ready(void *arg)
{
	proxy_request_t *pr = arg;

	if (pr->call != NULL)
		http_call_pause(pr->call, FALSE);
}

static void
on_piece(void *arg, struct evbuffer *piece)
{
	proxy_request_t *pr = arg;

	pr->answer_bytes += evbuffer_get_length(piece);
	once_calls_piece(pr, piece);
	if (pr->x == NULL) {
		evbuffer_drain(piece, evbuffer_get_length(piece));
		return;
	}
	if (http_reply_piece(pr->x, piece, on_caller_ready, pr) >
	    UNSENT_ANSWER_MAX_BYTES)
		http_call_pause(pr->call, TRUE);
}

static void
end_answer(proxy_request_t *pr, http_outcome_t outcome, int status)
{
	host_t *h = pr->host;

	if (outcome != HTTP_ANSWERED) {
		log_event(LOG_WARN, "answer.cut", "id", pr->id, "peer",
		    pr->address, "reason",
		    outcome == HTTP_NO_MEMORY ? "host-memory" : "broken", NULL);
		proxy_release_endpoint(pr,
		    outcome == HTTP_NO_MEMORY ? OUTCOME_CANCELLED
					      : OUTCOME_BROKEN);
		if (pr->x != NULL)
			http_reply_abort(pr->x);
	} else {
		metrics_count(&h->metrics, h->m.answered, 1);
		proxy_release_endpoint(pr, outcome_of_status(status, FALSE));
		once_calls_ended(pr, RAN_YES);
		if (pr->x != NULL)
			http_reply_end(pr->x);
	}
	proxy_free(pr);
}

/* Reports why an answer is no answer in the protocol, if it is not. */
static void
note_fault(const proxy_request_t *pr)
{
	const char *fault = http_call_fault(pr->call);
	host_t *h = pr->host;

	if (fault == NULL)
		return;
	metrics_count(&h->metrics, h->m.answers_invalid, 1);
	log_event(LOG_WARN, "answer.unusable", "id", pr->id, "peer",
	    pr->address, "reason", fault, NULL);
}

static void
on_done(void *arg, http_outcome_t outcome, int status,
    const struct evkeyvalq *headers, struct evbuffer *body)
{
	proxy_request_t *pr = arg;

	(void)headers;
	(void)body;
	if (outcome != HTTP_NO_MEMORY)
		note_fault(pr);
	pr->call = NULL;
	if (pr->answer_started) {
		end_answer(pr, outcome, status);
		return;
	}
	switch (outcome) {
	case HTTP_NOT_SENT:
		pr->may_be_running = FALSE;
		proxy_release_endpoint(pr, OUTCOME_REFUSED);
		proxy_attempt_event(pr, ATTEMPT_REFUSED);
		break;
	case HTTP_TIMED_OUT:
		proxy_release_endpoint(pr, OUTCOME_TIMEOUT);
		/* The try had all the time that was left. Its timer may fire
		 * early by the clock that decides. */
		pr->attempt.deadline = MIN(pr->attempt.deadline, clock_now());
		proxy_attempt_event(pr, ATTEMPT_TIMED_OUT);
		break;
	case HTTP_NO_MEMORY:
		proxy_release_endpoint(pr, OUTCOME_CANCELLED);
		proxy_attempt_event(pr, ATTEMPT_NO_MEMORY);
		break;
	case HTTP_NO_FILE:
		pr->may_be_running = FALSE;
		proxy_release_endpoint(pr, OUTCOME_CANCELLED);
		proxy_attempt_event(pr, ATTEMPT_NO_FILE);
		break;
	case HTTP_ANSWERED: /* an answer without a head can't be used */
	case HTTP_BROKEN:
		proxy_release_endpoint(pr, OUTCOME_BROKEN);
		proxy_attempt_event(pr, ATTEMPT_BROKEN);
		break;
	}
}

void
proxy_send(proxy_request_t *pr, msec_t timeout_ms)
{
	static const http_handler_t handler = {
	    .on_head = on_head, .on_piece = on_piece, .on_done = on_done};
	http_handler_t mine = handler;
	struct evkeyvalq headers;
	struct evbuffer *body = evbuffer_new();
	http_request_t request = {
	    .address = pr->address,
	    .method = pr->request.method,
	    .path = pr->request.target,
	    .headers = &headers,
	    .body = body,
	    .timeout_ms = timeout_ms,
	    /* If an idle connection breaks during a request, it is unknown
	     * whether that ran. A request that may run only once therefore
	     * gets a new connection. */
	    .new_connection = !pr->idempotent,
	};
	char left[24];

	TAILQ_INIT(&headers);
	http_copy_end_to_end(&headers, &pr->request.headers);
	add_try_id(pr, &headers);
	g_snprintf(left, sizeof(left), "%lld", (long long)timeout_ms);
	evhttp_add_header(&headers, REQUEST_DEADLINE_HEADER, left);
	evbuffer_add_buffer_reference(body, pr->request.body);
	pr->answer_started = FALSE;
	pr->may_be_running = TRUE;
	mine.arg = pr;
	pr->call = http_call(pr->host->http, &request, &mine);
	evbuffer_free(body);
	evhttp_clear_headers(&headers);
	if (pr->call == NULL) {
		pr->may_be_running = FALSE;
		proxy_release_endpoint(pr, OUTCOME_REFUSED);
		proxy_attempt_event(pr, ATTEMPT_REFUSED);
	}
}
