#include <sys/queue.h>

#include <string.h>

#include "base/log.h"
#include "gateway/usage_call.h"
#include "platform/wire_usage.h"

/* Time before a call is repeated, and its upper bound. */
#define CALL_RETRY_MS 500
#define CALL_RETRY_MAX_MS 2000
#define ANSWER_MAX_BYTES 65536

static void
note_accepted(usage_report_t *r, const char *event, int status)
{
	log_event(LOG_INFO, event, "window", log_num(r->post_window), "epoch",
	    log_num((long long)r->post_epoch), "status", log_num(status),
	    "late_ms",
	    log_num(usage_plan_age(
		r->post_window, clock_wall(), r->sync->settings->window_ms)),
	    NULL);
	g_hash_table_remove(r->reports, &r->post_window);
	r->sent = r->post_window;
}

static void
repeat_later(usage_report_t *r, const char *why, int status)
{
	msec_t wait =
	    MIN(CALL_RETRY_MS << MIN(r->post_failures, 4), CALL_RETRY_MAX_MS);

	r->post_failures++;
	r->next_post_at = clock_now() + wait;
	metrics_count(r->sync->metrics, r->repeated, 1);
	log_event(LOG_WARN, "usage.not_sent", "window", log_num(r->post_window),
	    "why", why, "status", log_num(status), "wait_ms", log_num(wait),
	    NULL);
}

/* If this host can't reach the platform, another one may. */
static void
note_unheard(usage_report_t *r)
{
	const view_t *v = r->sync->view;
	msec_t now = clock_now();

	if (r->unheard_at == 0)
		r->unheard_at = now;
	if (now - r->unheard_at < 2 * r->sync->settings->lease_ms ||
	    v->fleet.hosts->len == 0)
		return;
	usage_duty_give_up(&r->duty, now);
	usage_report_note_lost(r, "the platform is not reached");
}

static void
take_response(usage_report_t *r, int status)
{
	r->unheard_at = 0;
	switch (wire_usage_result(status)) {
	case WIRE_USAGE_ACCEPTED:
		r->post_failures = 0;
		metrics_count(r->sync->metrics, r->accepted, 1);
		note_accepted(r, "usage.sent", status);
		break;
	case WIRE_USAGE_REFUSED:
		r->post_failures = 0;
		metrics_count(r->sync->metrics, r->refused, 1);
		note_accepted(r, "usage.refused", status);
		break;
	case WIRE_USAGE_OUTRANKED:
		metrics_count(r->sync->metrics, r->outranked, 1);
		log_event(LOG_WARN, "usage.outranked", "window",
		    log_num(r->post_window), "epoch",
		    log_num((long long)r->post_epoch), NULL);
		usage_duty_refused(&r->duty, clock_now());
		usage_report_note_lost(
		    r, "the platform has seen a higher token");
		break;
	case WIRE_USAGE_BUSY:
		repeat_later(r, "busy", status);
		break;
	}
}

static void
on_posted(void *arg, http_outcome_t outcome, int status,
    const struct evkeyvalq *headers, struct evbuffer *body)
{
	usage_report_t *r = arg;
	msec_t now = clock_now();

	(void)headers;
	(void)body;
	r->post = NULL;
	if (outcome == HTTP_BROKEN || outcome == HTTP_TIMED_OUT)
		r->open_until = now + USAGE_CALL_SETTLE_MS;
	/* The duty was lost, and possibly taken again, since the call. */
	if (!r->duty.holding || r->duty.row.epoch != r->post_epoch)
		return;
	if (outcome == HTTP_ANSWERED) {
		take_response(r, status);
		return;
	}
	repeat_later(
	    r, outcome == HTTP_NOT_SENT ? "not reached" : "no response", 0);
	note_unheard(r);
}

void
usage_call(usage_report_t *r)
{
	const usage_settings_t *s = r->sync->settings;
	struct evkeyvalq headers = TAILQ_HEAD_INITIALIZER(headers);
	const char *text = usage_report_of(r, r->sent + 1);
	const http_handler_t handler = {.on_done = on_posted, .arg = r};
	struct evbuffer *body;
	http_request_t request = {
	    .address = s->address,
	    .method = EVHTTP_REQ_POST,
	    .path = wire_usage_path(),
	    .headers = &headers,
	    .max_body = ANSWER_MAX_BYTES,
	};
	msec_t now = clock_now();

	/* The clock is read at the moment of use: this process may have been
	 * paused since its last tick. */
	request.timeout_ms = usage_duty_call_ms(&r->duty, now);
	if (text == NULL || !r->has_rows || now < r->next_post_at ||
	    request.timeout_ms == 0)
		return;
	request.connect_ms = request.timeout_ms;
	body = evbuffer_new();
	evbuffer_add(body, text, strlen(text));
	request.body = body;
	wire_usage_headers(
	    &headers, r->sync->view->settings->id, r->duty.row.epoch);
	r->post_window = r->sent + 1;
	r->post_epoch = r->duty.row.epoch;
	r->next_post_at = now + (msec_t)(MSEC_PER_SEC / s->calls_per_sec) + 1;
	r->post = http_call(r->http, &request, &handler);
	evhttp_clear_headers(&headers);
	evbuffer_free(body);
}
