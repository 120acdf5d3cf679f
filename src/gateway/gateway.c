#include <sys/queue.h>
#include <sys/stat.h>

#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "base/log.h"
#include "base/start_signals.h"
#include "gateway/gateway.h"
#include "gateway/gateway_shares.h"
#include "platform/wire_http.h"

#define MAX_IDLE_CONNECTIONS 16
/* Callers that looked up this host before the stop began still connect for this
 * time. */
#define LINGER_MS 3000
#define DRAIN_TICK_MS 50
/* Period at which the settings file is checked for a change. */
#define SETTINGS_POLL_SEC 2

static void
reply_text(http_exchange_t *x, int status, const char *type, const char *text)
{
	struct evkeyvalq headers = TAILQ_HEAD_INITIALIZER(headers);
	struct evbuffer *body = evbuffer_new();

	evhttp_add_header(&headers, "Content-Type", type);
	evbuffer_add(body, text, strlen(text));
	http_reply(x, status, &headers, body);
	evhttp_clear_headers(&headers);
	evbuffer_free(body);
}

static void
serve_callers(void *arg, http_exchange_t *x)
{
	gateway_t *g = arg;

	relay_begin(&g->relays, x);
}

static gboolean
may_run_beside(void *arg, const http_exchange_t *x)
{
	const gateway_t *g = arg;

	return relay_may_run_beside(&g->relays, x);
}

static void
serve_lookup(gateway_t *g, http_exchange_t *x, const wire_lookup_t *lookup)
{
	const gateway_settings_t *s = g->settings;
	const fleet_self_t self = {
	    s->callers, s->region, s->domain, view_is_ready(&g->view)};
	GPtrArray *addresses = g_ptr_array_new();
	char *text;

	fleet_lookup(
	    &g->view.fleet, &self, lookup->region, addresses, clock_now());
	metrics_count(&g->metrics, g->lookups, 1);
	if (addresses->len == 0) {
		reply_text(x, 503, "text/plain", "not-ready\n");
	} else {
		text = wire_lookup_answer(addresses, s->lookup_ttl_ms);
		reply_text(x, 200, "application/json", text);
		g_free(text);
	}
	g_ptr_array_free(addresses, TRUE);
}

static void
serve_lookups(void *arg, http_exchange_t *x)
{
	const char *uri = http_exchange_uri(x);
	wire_lookup_t lookup;

	if (!wire_lookup_read(uri, &lookup)) {
		reply_text(x, 404, "text/plain", "no such call\n");
		return;
	}
	serve_lookup(arg, x, &lookup);
	wire_lookup_finish(&lookup);
}

static guint
count_live_hosts(const gateway_t *g)
{
	const fleet_t *f = &g->view.fleet;
	msec_t now = clock_now();
	guint i, n = 0;

	for (i = 0; i < f->hosts->len; i++)
		n += fleet_is_live(g_ptr_array_index(f->hosts, i), now);
	return n;
}

static void
set_memory_metrics(gateway_t *g)
{
	const http_server_t *const servers[] = {
	    g->caller_server, g->lookup_server, g->operator_server};
	guint64 given_up = 0, refused = 0;
	size_t i, bodies = 0, unsent = 0, heads = 0, unread = 0;

	for (i = 0; i < G_N_ELEMENTS(servers); i++) {
		bodies += http_server_bodies(servers[i]);
		unsent += http_server_unsent(servers[i]);
		given_up += http_server_given_up(servers[i]);
		heads += http_server_heads(servers[i]);
		unread += http_server_unread(servers[i]);
		refused += http_server_refused_heads(servers[i]);
	}
	metrics_set(&g->metrics, g->answer_bytes,
	    (int64_t)(http_client_held(g->server_client) +
		http_client_held(g->store_client)));
	metrics_set(&g->metrics, g->answers_given_up,
	    (int64_t)(http_client_given_up(g->server_client) +
		http_client_given_up(g->store_client)));
	metrics_set(&g->metrics, g->body_bytes, (int64_t)bodies);
	metrics_set(&g->metrics, g->reply_bytes, (int64_t)unsent);
	metrics_set(&g->metrics, g->not_accepted,
	    (int64_t)http_server_accepts_failed());
	metrics_set(&g->metrics, g->replies_given_up, (int64_t)given_up);
	metrics_set(&g->metrics, g->head_bytes, (int64_t)heads);
	metrics_set(&g->metrics, g->unread_bytes, (int64_t)unread);
	metrics_set(&g->metrics, g->heads_refused, (int64_t)refused);
}

static void
serve_metrics(gateway_t *g, http_exchange_t *x)
{
	metrics_t *m = &g->metrics;
	const table_store_t *store = &g->store_sync.store;
	char *text;

	metrics_set(m, g->ready, view_is_ready(&g->view));
	metrics_set(m, g->hosts_heard, count_live_hosts(g));
	metrics_set(
	    m, g->servers_known, g_hash_table_size(g->view.registry.servers));
	metrics_set(
	    m, g->tokens_asked, (int64_t)g->status_sync.tokens.requests_sent);
	metrics_set(
	    m, g->tokens_unanswered, (int64_t)g->status_sync.tokens.unanswered);
	metrics_set(m, g->store_reads, (int64_t)store->reads);
	metrics_set(m, g->store_writes, (int64_t)store->writes);
	metrics_set(m, g->store_failures, (int64_t)store->failures);
	store_sync_set_metrics(&g->store_sync, m);
	set_memory_metrics(g);
	status_sync_set_metrics(&g->status_sync);
	if (g->relays.usage != NULL)
		usage_sync_set_metrics(&g->usage);
	text = metrics_render(m);
	reply_text(x, 200, "text/plain", text);
	g_free(text);
}

/* Lists what this host bases its decisions on: one line for each server and
 * host. */
static char *
dump_state(const gateway_t *g)
{
	GString *out = g_string_new(NULL);
	const view_t *v = &g->view;
	msec_t now = clock_now();
	GHashTableIter it;
	gpointer value;
	guint i;

	g_string_append_printf(out,
	    "host id=%s ready=%d config=%" G_GUINT64_FORMAT
	    " servers_age_ms=%" G_GINT64_FORMAT " under_way=%u\n",
	    v->settings->id, view_is_ready(v),
	    v->admission.manifest != NULL ? v->admission.manifest->version : 0,
	    now - v->servers_synced_at, g->relays.in_flight->len);
	g_hash_table_iter_init(&it, v->registry.servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const backend_t *b = value;

		g_string_append_printf(out,
		    "server id=%s service=%s domain=%s version=%s usable=%d "
		    "cold=%d draining=%d own=%u load=%.1f slots=%u "
		    "service_ms=%.0f limit=%.3f limit_offloaded=%.3f "
		    "leaving=%d pause_ms=%" G_GINT64_FORMAT "\n",
		    b->id, b->service->name, b->domain, b->version,
		    backend_usable(b, now), backend_is_cold(b, now),
		    b->draining, b->own, backend_load(b, now), b->slots,
		    b->service_ms, b->limit_at != 0 ? b->limit_rate : 0,
		    b->limit_offloaded, b->word.leaving,
		    server_word_pause_left(&b->word, now));
	}
	g_hash_table_iter_init(&it, v->registry.services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const registry_service_t *s = value;

		g_string_append_printf(out,
		    "service name=%s servers=%u local_part=%.3f\n", s->name,
		    s->servers->len, s->local_part);
	}
	for (i = 0; i < v->fleet.hosts->len; i++) {
		const fleet_host_t *h = g_ptr_array_index(v->fleet.hosts, i);

		g_string_append_printf(out,
		    "peer name=%s heard=%d ready=%d leaving=%d "
		    "age_ms=%" G_GINT64_FORMAT "\n",
		    h->name, fleet_is_live(h, now), h->ready, h->leaving,
		    now - h->heard_at);
	}
	return g_string_free(out, FALSE);
}

static void
serve_operators(void *arg, http_exchange_t *x)
{
	gateway_t *g = arg;
	const char *uri = http_exchange_uri(x);
	gboolean ready = view_is_ready(&g->view);
	char *text;

	if (wire_is_readiness(uri)) {
		reply_text(x, ready ? 200 : 503, "text/plain",
		    ready ? "ready\n" : "not-ready\n");
	} else if (strcmp(uri, "/metrics") == 0) {
		serve_metrics(g, x);
	} else if (strcmp(uri, "/state") == 0) {
		text = dump_state(g);
		reply_text(x, 200, "text/plain", text);
		g_free(text);
	} else {
		reply_text(x, 404, "text/plain", "no such call\n");
	}
}

static http_server_t *
open_server(gateway_t *g, const char *address, http_serve_t serve,
    descriptor_use_t port, GError **err)
{
	http_server_conf_t conf;

	gateway_port_conf(g, port, &conf);
	conf.address = address;
	if (port == DESCRIPTORS_CALLERS)
		conf.concurrent = may_run_beside;
	return http_server_new(
	    g->base, &conf, serve, relay_refusal_body, g, err);
}

static void
on_drain_tick(evutil_socket_t fd, short what, void *arg)
{
	gateway_t *g = arg;
	const stop_plan_t *stop = &g->view.stop;
	msec_t now = clock_now(), elapsed = now - g->stop_began_at;

	(void)fd;
	(void)what;
	if (elapsed >= LINGER_MS)
		http_server_drain(g->caller_server);
	if (now >= stop->ends_at)
		g->cut += relays_end(&g->relays);
	if (now >= stop->exit_at ||
	    (elapsed >= LINGER_MS && g->relays.in_flight->len == 0 &&
		http_server_connections(g->caller_server) == 0))
		event_base_loopbreak(g->base);
}

static void
on_stop(evutil_socket_t sig, short what, void *arg)
{
	const struct timeval tick = {0, DRAIN_TICK_MS * 1000};
	gateway_t *g = arg;

	(void)what;
	if (g->stop_began_at != 0)
		return;
	g->stop_began_at = clock_now();
	stop_plan_begin(
	    &g->view.stop, g->stop_began_at, g->settings->drain_ms, LINGER_MS);
	g->view.leaving = TRUE;
	log_event(LOG_INFO, "host.stopping", "signal", log_num(sig),
	    "under_way", log_num(g->relays.in_flight->len), NULL);
	http_server_close_after_reply(g->caller_server);
	if (g->relays.usage != NULL)
		usage_report_leave(&g->usage_report);
	status_sync_leave(&g->status_sync);
	store_sync_leave(&g->store_sync);
	event_add(g->drain_timer, &tick);
}

static void
on_dump(evutil_socket_t sig, short what, void *arg)
{
	char *text = dump_state(arg);

	(void)sig;
	(void)what;
	log_text(STDERR_FILENO, text);
	g_free(text);
}

static time_t
mtime_of(const char *path)
{
	struct stat st;

	return stat(path, &st) == 0 && S_ISREG(st.st_mode) ? st.st_mtime : 0;
}

static void
reload(gateway_t *g, const char *why)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	gboolean ok = FALSE;

	g->settings_mtime = mtime_of(g->path);
	/* Reading a pipe would wait for its writer. */
	if (g->settings_mtime == 0)
		g_ptr_array_add(errors, g_strdup("no regular file"));
	else
		ok = gateway_settings_reload(g->settings, g->path, errors);
	if (ok) {
		view_apply_bounds(&g->view);
		log_open(stdout, g->settings->log_level);
		log_set_rate_limit((unsigned int)g->settings->log_lines);
	}
	log_event(ok ? LOG_INFO : LOG_ERROR,
	    ok ? "settings.reloaded" : "settings.refused", "why", why, "error",
	    errors->len > 0 ? g_ptr_array_index(errors, 0) : NULL, NULL);
	g_ptr_array_free(errors, TRUE);
}

static void
on_reload(evutil_socket_t sig, short what, void *arg)
{
	(void)sig;
	(void)what;
	reload(arg, "signal");
}

/* Operators may change the file without sending SIGHUP. */
static void
on_settings_timer(evutil_socket_t fd, short what, void *arg)
{
	gateway_t *g = arg;
	time_t at = mtime_of(g->path);

	(void)fd;
	(void)what;
	if (at != 0 && at != g->settings_mtime)
		reload(g, "changed");
}

static void
register_metrics(gateway_t *g)
{
	metrics_t *m = &g->metrics;

	metrics_init(m);
	g->lookups = metrics_add(
	    m, METRIC_COUNTER, "lookups_total", "look-ups answered");
	g->ready = metrics_add(m, METRIC_GAUGE, "ready",
	    "1 while look-ups may answer with this host");
	g->hosts_heard = metrics_add(m, METRIC_GAUGE, "hosts_heard",
	    "other hosts that the summaries list");
	g->servers_known = metrics_add(
	    m, METRIC_GAUGE, "servers_known", "registered backend servers");
	g->tokens_asked = metrics_add(
	    m, METRIC_GAUGE, "tokens_asked", "token requests sent to lenders");
	g->tokens_unanswered = metrics_add(m, METRIC_GAUGE, "tokens_unanswered",
	    "token requests without an answer in time");
	g->head_bytes = metrics_add(m, METRIC_GAUGE, "head_bytes",
	    "heads of requests, and input behind them, in memory");
	g->unread_bytes = metrics_add(m, METRIC_GAUGE, "unread_bytes",
	    "bytes in the sockets of connections that read no further request");
	g->heads_refused = metrics_add(m, METRIC_COUNTER, "heads_refused_total",
	    "connections closed for a head over a limit or for the memory");
	g->body_bytes = metrics_add(m, METRIC_GAUGE, "body_bytes",
	    "bytes of requests that arrive or are answered");
	g->answer_bytes = metrics_add(m, METRIC_GAUGE, "answer_bytes",
	    "bytes of answers of servers and the store in memory");
	g->answers_given_up =
	    metrics_add(m, METRIC_COUNTER, "answers_given_up_total",
		"answers that failed as all together held too much memory");
	g->reply_bytes = metrics_add(m, METRIC_GAUGE, "reply_bytes",
	    "bytes of replies that wait for their callers to read");
	g->not_accepted = metrics_add(m, METRIC_COUNTER, "accepts_failed_total",
	    "times that a connection could not be accepted");
	g->replies_given_up =
	    metrics_add(m, METRIC_COUNTER, "replies_given_up_total",
		"replies that were reset as all together held too much memory");
	g->store_reads = metrics_add(
	    m, METRIC_GAUGE, "store_reads", "read calls to the store");
	g->store_writes = metrics_add(
	    m, METRIC_GAUGE, "store_writes", "write calls to the store");
	g->store_failures = metrics_add(m, METRIC_GAUGE, "store_failures",
	    "calls to the store without a usable answer");
}

static void
begin_usage(gateway_t *g)
{
	usage_sync_init(&g->usage, &g->view, &g->store_sync, &g->status_sync,
	    g->base, &g->metrics);
	usage_report_init(
	    &g->usage_report, &g->usage, g->store_client, g->base);
	g->relays.usage = &g->usage;
	g->status_sync.usage = &g->usage;
}

gboolean
gateway_init(
    gateway_t *g, gateway_settings_t *settings, const char *path, GError **err)
{
	const struct timeval poll = {SETTINGS_POLL_SEC, 0};
	size_t i;

	memset(g, 0, sizeof(*g));
	g->settings = settings;
	g->path = path;
	g->settings_mtime = mtime_of(path);
	g->base = event_base_new();
	register_metrics(g);
	g->server_client = http_client_new(g->base, MAX_IDLE_CONNECTIONS);
	g->store_client = http_client_new(g->base, MAX_IDLE_CONNECTIONS);
	gateway_share_machine(g);
	view_init(&g->view, settings);
	store_sync_init(&g->store_sync, &g->view, g->base, g->store_client);
	store_sync_add_metrics(&g->store_sync, &g->metrics);
	suspects_init(
	    &g->suspects, &g->view, g->server_client, g->base, &g->metrics);
	pace_log_init(&g->pace_log, &g->view.dispatch.pace, &g->metrics);
	relays_init(&g->relays, &g->view, g->server_client,
	    &g->status_sync.tokens, &g->suspects, g->base, &g->metrics);
	g->signals[0] = evsignal_new(g->base, SIGTERM, on_stop, g);
	g->signals[1] = evsignal_new(g->base, SIGINT, on_stop, g);
	g->signals[2] = evsignal_new(g->base, SIGUSR1, on_dump, g);
	g->signals[3] = evsignal_new(g->base, SIGHUP, on_reload, g);
	for (i = 0; i < G_N_ELEMENTS(g->signals); i++)
		event_add(g->signals[i], NULL);
	start_signals_handled();
	g->settings_timer =
	    event_new(g->base, -1, EV_PERSIST, on_settings_timer, g);
	event_add(g->settings_timer, &poll);
	g->drain_timer = event_new(g->base, -1, EV_PERSIST, on_drain_tick, g);
	if (!status_sync_init(&g->status_sync, &g->view, &g->store_sync,
		&g->suspects, g->base, &g->metrics, err))
		return FALSE;
	if (settings->usage.address != NULL)
		begin_usage(g);
	g->caller_server = open_server(
	    g, settings->callers, serve_callers, DESCRIPTORS_CALLERS, err);
	if (g->caller_server == NULL)
		return FALSE;
	g->lookup_server = open_server(
	    g, settings->lookups, serve_lookups, DESCRIPTORS_LOOKUPS, err);
	if (g->lookup_server == NULL)
		return FALSE;
	g->operator_server = open_server(g, settings->operators,
	    serve_operators, DESCRIPTORS_OPERATORS, err);
	return g->operator_server != NULL;
}

void
gateway_finish(gateway_t *g)
{
	http_server_t *const servers[] = {
	    g->caller_server, g->lookup_server, g->operator_server};
	size_t i;

	relays_finish(&g->relays);
	for (i = 0; i < G_N_ELEMENTS(servers); i++) {
		if (servers[i] != NULL)
			http_server_free(servers[i]);
	}
	suspects_finish(&g->suspects);
	if (g->relays.usage != NULL) {
		usage_report_finish(&g->usage_report);
		usage_sync_finish(&g->usage);
	}
	status_sync_finish(&g->status_sync);
	store_sync_finish(&g->store_sync);
	for (i = 0; i < G_N_ELEMENTS(g->signals); i++)
		event_free(g->signals[i]);
	event_free(g->drain_timer);
	event_free(g->settings_timer);
	http_client_free(g->server_client);
	http_client_free(g->store_client);
	view_finish(&g->view);
	metrics_finish(&g->metrics);
	event_base_free(g->base);
}

int
gateway_run(gateway_t *g)
{
	log_event(LOG_INFO, "host.started", "host", g->settings->id, "callers",
	    g->settings->callers, "region", g->settings->region, "version",
	    GREENGAGELOOM_VERSION, NULL);
	log_event(LOG_INFO, "host.descriptors", "callers",
	    log_num(g->descriptors[DESCRIPTORS_CALLERS]), "lookups",
	    log_num(g->descriptors[DESCRIPTORS_LOOKUPS]), "operators",
	    log_num(g->descriptors[DESCRIPTORS_OPERATORS]), "servers",
	    log_num(g->descriptors[DESCRIPTORS_SERVERS]), "store",
	    log_num(g->descriptors[DESCRIPTORS_STORE]), NULL);
	event_base_dispatch(g->base);
	g->cut += g->relays.in_flight->len;
	log_event(LOG_INFO, "host.stopped", "cut", log_num(g->cut), NULL);
	return g->cut == 0 ? 0 : 1;
}
