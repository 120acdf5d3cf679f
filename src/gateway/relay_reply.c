#include <sys/queue.h>

#include <string.h>

#include "base/log.h"
#include "gateway/relay_internal.h"

/* Retry-After if a service has no server: one may have registered by then. */
#define NO_SERVER_RETRY_MS 1000

void
relay_free(relay_t *r)
{
	g_ptr_array_remove_fast(r->relays->in_flight, r);
	urgency_queue_remove(&r->relays->waiting, &r->wait);
	if (r->timer != NULL)
		event_free(r->timer);
	if (r->token_request != NULL)
		tokens_cancel(r->token_request);
	if (r->placed != NULL)
		backend_unref(r->placed);
	dispatch_job_clear(&r->job);
	admission_clear(&r->admission);
	g_free(r->id);
	g_free(r);
}

void
relay_log_end(
    const relay_t *r, int status, const char *outcome, const char *reason)
{
	const view_t *v = r->relays->view;
	const admission_t *a = &r->admission;
	msec_t now = clock_now();
	const backend_t *last =
	    r->job.ntried > 0 ? r->job.tried[r->job.ntried - 1] : NULL;

	log_event(LOG_INFO, "request.end", "id", r->id, "outcome", outcome,
	    "status", log_num(status), "reason", reason, "route",
	    a->route != NULL ? a->route->name : NULL, "workspace",
	    a->workspace != NULL ? a->workspace->name : NULL, "service",
	    a->service != NULL ? a->service->name : NULL, "object",
	    r->job.by_object ? log_num((long long)(uint32_t)r->job.object)
			     : NULL,
	    "server", last != NULL ? last->id : NULL, "server_region",
	    last != NULL ? last->region : NULL, "tries", log_num(r->job.ntried),
	    "budget_ms", log_num(r->job.left_ms), "took_ms",
	    log_num(now - r->began_at), "retry_ms", log_num(r->wait_ms),
	    "config",
	    a->manifest != NULL ? log_num((long long)a->manifest->version)
				: NULL,
	    "servers_age_ms", log_num(now - v->servers_synced_at), NULL);
}

static void
send_own_reply(relay_t *r, int status, msec_t retry_ms, const char *reason)
{
	struct evkeyvalq headers = TAILQ_HEAD_INITIALIZER(headers);
	struct evbuffer *body = evbuffer_new();

	wire_own_answer_headers(&headers, r->request.id, retry_ms);
	evbuffer_add_printf(body, "%s\n", reason);
	http_reply(r->x, status, &headers, body);
	evhttp_clear_headers(&headers);
	evbuffer_free(body);
}

/* A refusal is an answer that says that the request did not run. */
void
relay_reply_own(relay_t *r, int status, msec_t retry_ms, const char *reason)
{
	gboolean refused = status == STATUS_UNAVAILABLE || status < 500;

	r->wait_ms = retry_ms;
	metrics_count(r->relays->metrics,
	    refused ? r->relays->refused : r->relays->failed, 1);
	relay_log_end(r, status, refused ? "refused" : "failed", reason);
	send_own_reply(r, status, retry_ms, reason);
	relay_free(r);
}

void
relay_reply_answer(relay_t *r)
{
	struct evkeyvalq headers = TAILQ_HEAD_INITIALIZER(headers);
	msec_t took_ms = clock_now() - r->began_at;
	int status = r->status;

	/* These statuses would tell the caller that the request did not run,
	 * but the server's program has seen it. */
	if (status == STATUS_UNAVAILABLE || status == 429 || status == 408 ||
	    status == 421) {
		relay_reply_own(r, STATUS_BAD_GATEWAY, 0, "server-unavailable");
		return;
	}
	metrics_count(r->relays->metrics, r->relays->answered, 1);
	metrics_observe(r->relays->metrics, r->relays->request_ms, took_ms);
	urgency_ended(&r->job.class,
	    took_ms <= r->admission.route->objective_ms, clock_now());
	relay_log_end(r, status, "answered", NULL);
	wire_answer_forward(&headers, r->answer_headers);
	http_reply(r->x, status, &headers, r->answer_body);
	evhttp_clear_headers(&headers);
	relay_free(r);
}

void
relay_reply_refused(relay_t *r, const attempt_action_t *action)
{
	const char *reason = refuse_reason_name(action->reason);

	if (action->ran != RAN_NO) {
		relay_reply_own(r,
		    action->reason == REFUSED_DEADLINE ? STATUS_GATEWAY_TIMEOUT
						       : STATUS_BAD_GATEWAY,
		    0, reason);
		return;
	}
	if (action->reason != REFUSED_POISON &&
	    action->reason != REFUSED_HOST_DESCRIPTORS) {
		metrics_count(r->relays->metrics, r->relays->no_room, 1);
		relay_count_class(r, CLASS_REJECTED);
		urgency_refused(&r->job.class, clock_now());
	}
	relay_reply_own(r, STATUS_UNAVAILABLE,
	    r->wait_ms > 0 ? r->wait_ms : NO_SERVER_RETRY_MS, reason);
}
