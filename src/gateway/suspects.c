#include <string.h>

#include "base/log.h"
#include "gateway/suspects.h"
#include "platform/wire_http.h"

#define TICK_MS 100
/* A server is probed if, after this time, neither an answer nor its registry
 * entry has shown whether it is alive. Longer than most requests take. */
#define CRASH_CHECK_MS 300
/* Probes are repeated: a dying process may still accept a connection and close
 * it. */
#define PROBE_EVERY_MS 500
#define PROBE_TIMEOUT_MS 1000
#define PROBES_MAX 4
#define PROBE_BODY_BYTES 4096
/* Number of hosts that report refused requests to a host that has just started:
 * more than one, as the first may be unreachable. */
#define RESEND_HOSTS 2

/* A server with a broken connection: it may have died. */
typedef struct {
	suspects_t *suspects;
	backend_t *server; /* a reference */
	msec_t since;
	msec_t probed_at; /* 0: never */
	guint probes;
	http_call_t *call; /* the probe in flight, or NULL */
} crash_check_t;

static void
crash_check_free(void *p)
{
	crash_check_t *check = p;

	if (check->call != NULL)
		http_call_cancel(check->call);
	backend_unref(check->server);
	g_free(check);
}

static crash_check_t *
find_crash_check(const suspects_t *s, const backend_t *server)
{
	guint i;

	for (i = 0; i < s->crash_checks->len; i++) {
		crash_check_t *check = g_ptr_array_index(s->crash_checks, i);

		if (check->server == server)
			return check;
	}
	return NULL;
}

static void
add_crash_check(suspects_t *s, backend_t *server)
{
	crash_check_t *check;

	if (find_crash_check(s, server) != NULL)
		return;
	check = g_new0(crash_check_t, 1);
	check->suspects = s;
	check->server = backend_ref(server);
	check->since = clock_now();
	g_ptr_array_add(s->crash_checks, check);
}

static void
log_poison_event(suspects_t *s, const poison_event_t *event)
{
	switch (event->kind) {
	case POISON_EVENT_DEATH:
		metrics_count(s->metrics, s->deaths, 1);
		log_event(LOG_WARN, "suspect.death", "server", event->endpoint,
		    "run_age_ms", log_num(event->run_age_ms), NULL);
		break;
	case POISON_EVENT_REFUSED:
		log_event(LOG_WARN, "suspect.refused", "left_ms",
		    log_num(event->left_ms), NULL);
		break;
	case POISON_EVENT_CLEARED:
		log_event(LOG_INFO, "suspect.cleared", NULL);
		break;
	case POISON_EVENT_DEATH_MIXED:
	case POISON_EVENT_CLAIM:
	case POISON_EVENT_RELEASE:
	case POISON_EVENT_OBJECTION:
	case POISON_EVENT_PROBE:
		break;
	}
}

static void
send_msg(suspects_t *s, const poison_event_t *events, guint n)
{
	suspect_msg_t msg = {.host = s->view->fleet.self};

	msg.count = MIN(n, SUSPECT_MSG_ROWS);
	memcpy(msg.rows, events, msg.count * sizeof(*events));
	if (s->send != NULL)
		s->send(s->send_arg, &msg);
}

static void
send_msgs(suspects_t *s, const GArray *events)
{
	guint i;

	for (i = 0; i < events->len; i += SUSPECT_MSG_ROWS)
		send_msg(s, &g_array_index(events, poison_event_t, i),
		    events->len - i);
}

/* Sends each event in two consecutive ticks, as datagrams may be lost. */
static void
send_events(suspects_t *s)
{
	guint sent_once = s->resend->len, i;
	poison_event_t event;

	while (poison_next_event(&s->poison, &event)) {
		if (event.kind == POISON_EVENT_PROBE)
			continue;
		log_poison_event(s, &event);
		g_array_append_val(s->resend, event);
	}
	send_msgs(s, s->resend);
	g_array_remove_range(s->resend, 0, sent_once);
	for (i = 0; i < s->resend->len; i++)
		g_array_index(s->resend, poison_event_t, i).age_ms += TICK_MS;
}

/* Reports whether the server is alive, and frees the check. */
static void
finish_check(crash_check_t *check, gboolean alive)
{
	suspects_t *s = check->suspects;

	poison_endpoint_seen(&s->poison, check->server->id, alive, clock_now());
	g_ptr_array_remove_fast(s->crash_checks, check);
}

static void
on_probe_head(void *arg, int status, const struct evkeyvalq *headers)
{
	crash_check_t *check = arg;

	/* Another server may have the address now. */
	if (wire_names_server(headers, check->server->id))
		server_words_read(
		    &check->suspects->words, check->server, status, headers);
}

static void
on_probe(void *arg, http_outcome_t outcome, int status,
    const struct evkeyvalq *headers, struct evbuffer *body)
{
	crash_check_t *check = arg;

	(void)status;
	(void)headers;
	(void)body;
	check->call = NULL;
	switch (outcome) {
	case HTTP_ANSWERED:
		finish_check(check, TRUE);
		break;
	case HTTP_NOT_SENT:
		finish_check(check, FALSE);
		break;
	case HTTP_BROKEN:
	case HTTP_TIMED_OUT:
	case HTTP_NO_MEMORY:
	case HTTP_NO_FILE:
		break;
	}
}

static const char *
health_path(const view_t *v, const backend_t *server)
{
	const manifest_t *m = v->admission.manifest;
	int i = m != NULL ? manifest_service(m, server->service->name) : -1;
	const manifest_service_t *service =
	    i >= 0 ? g_ptr_array_index(m->services, i) : NULL;

	return service != NULL && service->health_path != NULL
	    ? service->health_path
	    : "/";
}

static void
probe(crash_check_t *check, msec_t now)
{
	suspects_t *s = check->suspects;
	const http_request_t request = {
	    .address = check->server->address,
	    .method = EVHTTP_REQ_GET,
	    .path = health_path(s->view, check->server),
	    .timeout_ms = PROBE_TIMEOUT_MS,
	    .connect_ms = PROBE_TIMEOUT_MS,
	    .new_connection = TRUE,
	    .max_body = PROBE_BODY_BYTES,
	};
	const http_handler_t handler = {
	    .on_any_head = on_probe_head, .on_done = on_probe, .arg = check};

	check->probes++;
	check->probed_at = now;
	metrics_count(s->metrics, s->probes, 1);
	check->call = http_call(s->http, &request, &handler);
}

static gboolean
is_due(const crash_check_t *check, msec_t now)
{
	return check->call == NULL && check->probes < PROBES_MAX &&
	    now - check->since >= CRASH_CHECK_MS &&
	    now - check->probed_at >= PROBE_EVERY_MS;
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	suspects_t *s = arg;
	msec_t now = clock_now();
	guint i;

	(void)fd;
	(void)what;
	for (i = s->crash_checks->len; i > 0; i--) {
		crash_check_t *check =
		    g_ptr_array_index(s->crash_checks, i - 1);

		if (!check->server->listed)
			finish_check(check, FALSE);
		else if (now - check->since > POISON_DETECT_COUNTED_MS)
			g_ptr_array_remove_index_fast(s->crash_checks, i - 1);
		else if (is_due(check, now) &&
		    server_word_pause_left(&check->server->word, now) == 0)
			probe(check, now);
	}
	poison_tick(&s->poison, now);
	send_events(s);
}

msec_t
suspects_check(suspects_t *s, const fingerprint_t *fingerprint)
{
	poison_verdict_t v = poison_check(&s->poison, fingerprint, clock_now());

	return v.kind == POISON_REFUSE ? MAX(v.wait_ms, 1) : 0;
}

poison_run_id_t
suspects_sent(
    suspects_t *s, const fingerprint_t *fingerprint, const backend_t *server)
{
	return poison_begin(&s->poison, fingerprint, server->id, clock_now());
}

/* An answer to a later request shows that the server is alive. */
static void
on_answered(suspects_t *s, const backend_t *server, msec_t sent_at)
{
	crash_check_t *check = find_crash_check(s, server);

	if (check == NULL)
		return;
	poison_endpoint_answered(&s->poison, server->id, sent_at);
	if (check->since < sent_at)
		g_ptr_array_remove_fast(s->crash_checks, check);
}

void
suspects_ended(suspects_t *s, poison_run_id_t run, backend_t *server,
    dispatch_end_t end, msec_t sent_at)
{
	static const poison_end_t ends[] = {
	    [DISPATCH_ANSWERED] = POISON_ANSWERED,
	    [DISPATCH_FULL] = POISON_NOT_RUN,
	    [DISPATCH_WRONG_SERVER] = POISON_NOT_RUN,
	    [DISPATCH_UNREACHABLE] = POISON_NOT_RUN,
	    [DISPATCH_BROKEN] = POISON_BROKEN,
	    [DISPATCH_TIMED_OUT] = POISON_ABANDONED,
	    [DISPATCH_ABANDONED] = POISON_ABANDONED,
	};
	msec_t now = clock_now();

	poison_end(&s->poison, run, ends[end], now);
	switch (end) {
	case DISPATCH_ANSWERED:
	case DISPATCH_FULL:
		on_answered(s, server, sent_at);
		break;
	case DISPATCH_WRONG_SERVER:
	case DISPATCH_UNREACHABLE:
		if (find_crash_check(s, server) != NULL)
			finish_check(find_crash_check(s, server), FALSE);
		break;
	case DISPATCH_BROKEN:
		add_crash_check(s, server);
		break;
	case DISPATCH_TIMED_OUT:
	case DISPATCH_ABANDONED:
		break;
	}
}

void
suspects_resend(suspects_t *s)
{
	msec_t now = clock_now();

	if (fleet_rank(&s->view->fleet, now) < RESEND_HOSTS)
		poison_resend_refusals(&s->poison, now);
}

void
suspects_receive(suspects_t *s, const suspect_msg_t *msg)
{
	const view_t *v = s->view;
	msec_t now = clock_now();
	guint i;

	for (i = 0; i < msg->count; i++) {
		const poison_event_t *event = &msg->rows[i];

		poison_receive(&s->poison, msg->host, event, now);
		if (event->kind == POISON_EVENT_DEATH &&
		    fleet_rank(&v->fleet, now) < RESEND_HOSTS)
			poison_resend_refusal(
			    &s->poison, &event->fingerprint, now);
	}
}

void
suspects_init(suspects_t *s, view_t *view, http_client_t *http,
    struct event_base *base, metrics_t *metrics)
{
	const struct timeval period = {0, TICK_MS * 1000};

	memset(s, 0, sizeof(*s));
	s->view = view;
	s->http = http;
	s->metrics = metrics;
	server_words_init(&s->words, metrics);
	poison_init_counted(&s->poison, view->fleet.self);
	s->crash_checks = g_ptr_array_new_with_free_func(crash_check_free);
	s->resend = g_array_new(FALSE, FALSE, sizeof(poison_event_t));
	s->deaths = metrics_add(metrics, METRIC_COUNTER, "suspect_deaths_total",
	    "requests in flight at a backend server that died");
	s->probes = metrics_add(metrics, METRIC_COUNTER, "suspect_probes_total",
	    "probes of servers with a broken connection");
	s->timer = event_new(base, -1, EV_PERSIST, on_timer, s);
	event_add(s->timer, &period);
}

void
suspects_finish(suspects_t *s)
{
	event_free(s->timer);
	g_ptr_array_free(s->crash_checks, TRUE);
	g_array_free(s->resend, TRUE);
	poison_finish(&s->poison);
}
