#include <sys/queue.h>

#include <string.h>

#include "base/log.h"
#include "gateway/relay_internal.h"
#include "transport/http_check.h"

/* Time to connect: several times the longest round trip. */
#define CONNECT_TIMEOUT_MS 700
/* Bytes of a body that the fingerprint covers, besides its length. */
#define FINGERPRINT_BODY_BYTES 4096
/* Maximum size of an answer, which is held in memory. */
#define ANSWER_MAX_BYTES (16 * 1024 * 1024)

static const char *
workspace_name(const relay_t *r)
{
	const manifest_workspace_t *w = r->admission.workspace;

	return w != NULL ? w->name : NULL;
}

/* Estimates whether and when the server began to run the request. */
static void
end_usage(relay_t *r, dispatch_end_t end, msec_t now)
{
	const backend_t *b = r->server;
	msec_t took = now - r->sent_at, start;
	gboolean ran = end != DISPATCH_UNREACHABLE && end != DISPATCH_FULL &&
	    end != DISPATCH_WRONG_SERVER;

	if (end == DISPATCH_ANSWERED) {
		start =
		    usage_plan_start(took, r->server_queue, r->server_slots);
	} else {
		/* A request that was given up in the queue did not run. */
		start = usage_plan_start((msec_t)b->service_ms,
		    backend_load(b, now) - b->slots, b->slots);
		ran = ran && took >= start;
	}
	usage_sync_ended(
	    r->relays->usage, workspace_name(r), r->sent_wall, ran, start);
	r->sent_wall = 0;
}

static void
end_try(relay_t *r, dispatch_end_t end)
{
	msec_t now = clock_now();
	const dispatch_result_t result = {
	    .end = end,
	    .failed = r->status >= STATUS_SERVER_ERROR,
	    .took_ms = now - r->sent_at,
	    .has_room = end == DISPATCH_FULL && r->server_has_room,
	};

	if (r->server == NULL)
		return;
	log_event(LOG_DEBUG, "request.try", "id", r->id, "server",
	    r->server->id, "end", log_num(end), "status", log_num(r->status),
	    "took_ms", log_num(result.took_ms), NULL);
	if (end == DISPATCH_ANSWERED)
		metrics_observe(
		    r->relays->metrics, r->relays->server_ms, result.took_ms);
	suspects_ended(r->relays->suspects, r->run, r->server, end, r->sent_at);
	if (r->sent_wall != 0)
		end_usage(r, end, now);
	dispatch_ended(
	    &r->relays->view->dispatch, &r->job, r->server, &result, now);
	r->server = NULL;
	r->call = NULL;
	relay_wait_wake(r->relays);
}

void
relay_step(relay_t *r, const attempt_event_t *e)
{
	relay_act(r, attempt_step(&r->attempt, e, clock_now()));
}

attempt_event_t
relay_event(const relay_t *r, attempt_event_kind_t kind)
{
	attempt_event_t e = {
	    .kind = kind,
	    .request_id = r->attempt.request_id,
	    .number = r->attempt.number,
	};

	return e;
}

/* Checks that an answer is to this request, unencoded, and from the server
 * itself. Return: the fault, or NULL. */
static const char *
answer_fault(const relay_t *r, int status, const wire_answer_t *a)
{
	const answer_origin_t origin = {a->id, a->not_run, r->first_request};

	if (!answer_is_own(&origin, r->request.id, ANSWER_ID_REQUIRED))
		return "answer of another request";
	if (a->not_run)
		return NULL;
	if (a->encoded)
		return "encoded answer";
	if (!a->is_signed && status < 400)
		return "unsigned answer";
	return NULL;
}

static void
take_speed(relay_t *r, backend_t *server, const wire_answer_t *a)
{
	relays_t *relays = r->relays;

	switch (a->speed) {
	case WIRE_SPEED_NONE:
		break;
	case WIRE_SPEED_NAMED:
		metrics_count(relays->metrics, relays->speeds_named, 1);
		server_speed_report(&server->speed,
		    &server->service->speed_hold, a->speed_factor, clock_now());
		break;
	case WIRE_SPEED_INVALID:
		metrics_count(relays->metrics, relays->speeds_invalid, 1);
		log_event(LOG_WARN, "server.speed_refused", "server",
		    server->id, "id", r->id, NULL);
		break;
	}
}

static void
take_answer(relay_t *r, http_call_t *call, int status,
    const struct evkeyvalq *headers, struct evbuffer *body)
{
	attempt_event_t e = relay_event(r, ATTEMPT_ANSWERED);
	backend_t *server = r->server;
	wire_answer_t a;

	wire_answer_read(status, headers, &a);
	r->unusable_reason = answer_fault(r, status, &a);
	if (a.has_load && !a.other_server)
		backend_report(server, a.running + a.waiting, clock_now());
	if (!a.other_server) {
		relay_read_limit(r, server, &a);
		take_speed(r, server, &a);
	}
	r->server_queue = a.waiting;
	r->server_slots = a.has_load ? a.slots : 0;
	r->server_has_room = a.has_load && a.running + a.waiting < a.slots;
	if (a.not_run)
		r->wait_ms = dispatch_retry_ms(r->server_has_room);
	r->status = status;
	r->answer_headers = headers;
	r->answer_body = body;
	if (r->unusable_reason != NULL) {
		/* Its own answer may still come on the connection. */
		http_call_prevent_reuse(call);
		log_event(LOG_WARN, "request.answer_unusable", "id", r->id,
		    "server", server->id, "why", r->unusable_reason, NULL);
		end_try(r, DISPATCH_BROKEN);
		e.kind = ATTEMPT_BROKEN;
		relay_step(r, &e);
		return;
	}
	e.u.answer.not_run = a.not_run;
	e.u.answer.status = a.not_run ? STATUS_UNAVAILABLE : status;
	/* A failed request that may run again is worth another try:
	 * attempt_step() retries this status. */
	if (!a.not_run && r->idempotent && status >= STATUS_SERVER_ERROR)
		e.u.answer.status = STATUS_BAD_GATEWAY;
	end_try(r,
	    a.other_server  ? DISPATCH_WRONG_SERVER
		: a.not_run ? DISPATCH_FULL
			    : DISPATCH_ANSWERED);
	relay_step(r, &e);
}

/* Reports why an answer is no answer in the protocol, if it is not. */
static void
note_fault(const relay_t *r, const http_call_t *call)
{
	const char *fault = http_call_fault(call);

	if (fault == NULL)
		return;
	metrics_count(r->relays->metrics, r->relays->answers_invalid, 1);
	log_event(LOG_WARN, "request.answer_unusable", "id", r->id, "server",
	    r->server->id, "why", fault, NULL);
}

/* Ends a try for a lack of this host, which says nothing of the server. */
static void
end_lacking(relay_t *r, const char *resource)
{
	log_event(LOG_WARN, "request.host_exhausted", "id", r->id, "server",
	    r->server->id, "lacks", resource, NULL);
	metrics_count(r->relays->metrics, r->relays->host_exhausted, 1);
	end_try(r, DISPATCH_ABANDONED);
}

static void
on_done(void *arg, http_outcome_t outcome, int status,
    const struct evkeyvalq *headers, struct evbuffer *body)
{
	relay_t *r = arg;
	http_call_t *call = r->call;
	attempt_event_t e;

	r->call = NULL;
	r->status = 0;
	switch (outcome) {
	case HTTP_ANSWERED:
		take_answer(r, call, status, headers, body);
		return;
	case HTTP_NOT_SENT:
		end_try(r, DISPATCH_UNREACHABLE);
		e = relay_event(r, ATTEMPT_REFUSED);
		break;
	case HTTP_TIMED_OUT:
		end_try(r, DISPATCH_TIMED_OUT);
		e = relay_event(r, ATTEMPT_BROKEN);
		break;
	case HTTP_NO_MEMORY:
		end_lacking(r, "memory");
		e = relay_event(r, ATTEMPT_NO_MEMORY);
		break;
	case HTTP_NO_FILE:
		end_lacking(r, "descriptors");
		e = relay_event(r, ATTEMPT_NO_FILE);
		break;
	case HTTP_BROKEN:
	default:
		note_fault(r, call);
		end_try(r, DISPATCH_BROKEN);
		e = relay_event(r, ATTEMPT_BROKEN);
		break;
	}
	relay_step(r, &e);
}

static void
on_any_head(void *arg, int status, const struct evkeyvalq *headers)
{
	relay_t *r = arg;

	if (r->server != NULL)
		server_words_read(r->relays->words, r->server, status, headers);
}

void
relay_cancel_try(relay_t *r, dispatch_end_t end)
{
	if (r->call != NULL)
		http_call_cancel(r->call);
	end_try(r, end);
}

static void
log_cold(const relay_t *r, backend_t *server)
{
	dispatch_ramp_t ramp;

	if (!dispatch_ramp(&r->relays->view->dispatch, r->admission.service,
		server, r->sent_at, &ramp))
		return;
	log_event(LOG_INFO, "request.to_cold", "id", r->id, "server",
	    server->id, "rank", log_num(ramp.rank), "hosts",
	    log_num(ramp.hosts), "gap_ms", log_num(ramp.gap_ms), "since_ms",
	    log_num(server->sent_at != 0 ? ramp.since_ms : -1), NULL);
}

static void
send_try(relay_t *r, backend_t *server, msec_t left_ms)
{
	relays_t *relays = r->relays;
	struct evkeyvalq headers = TAILQ_HEAD_INITIALIZER(headers);
	struct evbuffer *body = evbuffer_new();
	const wire_forward_t forward = {
	    .left_ms = left_ms,
	    .server = server->id,
	    .workspace = workspace_name(r),
	};
	const http_request_t request = {
	    .address = server->address,
	    .method = http_exchange_method(r->x),
	    .path = http_exchange_uri(r->x),
	    .headers = &headers,
	    .body = body,
	    /* The relay's timer enforces the deadline; this is a fallback. */
	    .timeout_ms = left_ms + MSEC_PER_SEC,
	    .connect_ms = CONNECT_TIMEOUT_MS,
	    /* If a reused idle connection closes, it is unknown whether the
	     * request has run. */
	    .new_connection = !r->idempotent,
	    .max_body = ANSWER_MAX_BYTES,
	};
	const http_handler_t handler = {
	    .on_any_head = on_any_head, .on_done = on_done, .arg = r};

	evbuffer_add_buffer_reference(body, http_exchange_body(r->x));
	wire_request_forward(&headers, http_exchange_headers(r->x), &forward);
	log_cold(r, server);
	dispatch_sent(&relays->view->dispatch, &r->job, server, r->sent_at);
	r->run = suspects_sent(relays->suspects, &r->fingerprint, server);
	r->call = http_call(relays->http, &request, &handler);
	r->sent_wall = usage_sync_count(relays->usage, workspace_name(r));
	r->first_request = r->call != NULL && http_call_is_first(r->call);
	evhttp_clear_headers(&headers);
	evbuffer_free(body);
	metrics_count(relays->metrics, relays->tries, 1);
	relay_count_class(r, CLASS_SENT);
	if (r->job.ntried > 1)
		metrics_count(relays->metrics, relays->retries, 1);
}

/* Computes the fingerprint that identifies the request if servers crash while
 * they run it. */
static void
compute_fingerprint(relay_t *r)
{
	struct evbuffer *body = http_exchange_body(r->x);
	const admission_t *a = &r->admission;
	char text[2 * DIGEST_HEX_CHARS], hex[DIGEST_HEX_CHARS + 1];
	uint8_t start[FINGERPRINT_BODY_BYTES];
	digest_t digest;
	ev_ssize_t len = evbuffer_copyout(body, start, sizeof(start));

	digest_of(start, (size_t)MAX(len, 0), &digest);
	digest_to_hex(&digest, hex);
	g_snprintf(
	    text, sizeof(text), "%s %zu", hex, evbuffer_get_length(body));
	poison_fingerprint(a->workspace != NULL ? a->workspace->name : NULL,
	    a->route->name, http_method_name(http_exchange_method(r->x)),
	    http_exchange_uri(r->x), text, &r->fingerprint);
}

void
relay_choose_server(relay_t *r)
{
	attempt_event_t e;
	placing_t p;

	if (r->job.ntried == 0)
		compute_fingerprint(r);
	r->wait_ms = suspects_check(r->relays->suspects, &r->fingerprint);
	if (r->wait_ms > 0) {
		metrics_count(r->relays->metrics, r->relays->harmful, 1);
		e = relay_event(r, ATTEMPT_IS_POISON);
		relay_step(r, &e);
		return;
	}
	p = relay_place(r);
	if (p.verdict == PLACING_SEND) {
		relay_wait_ended(r);
		relay_send_within_limit(r, p.server);
		return;
	}
	r->wait_ms = p.wait_ms;
	if (relay_wait(r, &p))
		return;
	e = relay_event(r, ATTEMPT_NO_SERVER);
	relay_step(r, &e);
}

void
relay_act(relay_t *r, attempt_action_t action)
{
	if (action.cancel)
		relay_cancel_try(r,
		    action.kind == ATTEMPT_ABANDON ? DISPATCH_ABANDONED
						   : DISPATCH_TIMED_OUT);
	switch (action.kind) {
	case ATTEMPT_IGNORE:
	case ATTEMPT_WAIT:
		break;
	case ATTEMPT_PLACE:
		relay_choose_server(r);
		break;
	case ATTEMPT_SEND:
		if (r->server != NULL)
			send_try(r, r->server, action.timeout_ms);
		break;
	case ATTEMPT_REPLY:
		relay_reply_answer(r);
		break;
	case ATTEMPT_REFUSE:
		relay_reply_refused(r, &action);
		break;
	case ATTEMPT_ABANDON:
		relay_free(r);
		break;
	}
}
