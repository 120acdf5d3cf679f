#include <signal.h>
#include <string.h>

#include <sodium.h>

#include <unistd.h>

#include "base/error.h"
#include "base/log.h"
#include "base/start_signals.h"
#include "host/proxy.h"
#include "host/control.h"
#include "host/dump.h"
#include "host/poison_sync.h"
#include "host/host.h"
#include "host/join.h"
#include "host/limits.h"
#include "host/lookups.h"
#include "host/moves.h"
#include "host/once_calls.h"
#include "host/operate.h"
#include "host/peers.h"
#include "host/probe.h"
#include "host/slot_queue.h"
#include "host/sweep.h"
#include "host/tls_reload.h"
#include "protocol/config_text.h"

#define TICK_MS 20
#define IDLE_CONNECTIONS 32

retry_budget_t *
host_retry_budget(host_t *h, const char *service)
{
	retry_budget_t *b = g_hash_table_lookup(h->budgets, service);

	if (b == NULL) {
		b = g_new0(retry_budget_t, 1);
		retry_budget_init(b);
		g_hash_table_insert(h->budgets, g_strdup(service), b);
	}
	return b;
}

gboolean
host_apply_config(host_t *h, uint64_t version, const char *text)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	gboolean ok;
	catalog_t c;

	catalog_init(&c);
	ok = version > h->catalog.version &&
	    config_text_parse(&c, "config", text, errors) == 0;
	if (ok) {
		c.version = version;
		catalog_finish(&h->catalog);
		h->catalog = c;
		g_free(h->catalog_text);
		h->catalog_text = g_strdup(text);
		endpoint_stats_bind(&h->stats, &h->catalog, clock_now());
		host_update_positions(h);
		limits_configure(h);
	} else {
		catalog_finish(&c);
	}
	log_event(ok ? LOG_INFO : LOG_ERROR,
	    ok ? "config.in_force" : "config.refused", "version",
	    log_num((long long)version), "error",
	    errors->len > 0 ? g_ptr_array_index(errors, 0) : NULL, NULL);
	g_ptr_array_free(errors, TRUE);
	return ok;
}

static void
on_rows_changed(void *arg, const GArray *rows, uint64_t since, msec_t sent_at)
{
	control_rows_changed(arg, rows, since, sent_at);
}

/* No request or connection is left, and none of our withdrawals is open. */
static gboolean
is_drained(const host_t *h, msec_t now)
{
	return now >= h->linger_until && h->proxied_requests->len == 0 &&
	    http_server_connections(h->callers) == 0 &&
	    withdrawals_settled(&h->key_sync.withdrawals);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	host_t *h = arg;
	msec_t now = clock_now();

	(void)fd;
	(void)what;
	if (h->phase == HOST_ENDING)
		return;
	control_tick(h, now);
	if (h->phase != HOST_DRAINING)
		return;
	if (now >= h->linger_until)
		http_server_drain(h->callers);
	if (now >= h->stop.ends_at)
		proxy_end_all(h);
	if (now >= h->drain_until || is_drained(h, now))
		event_base_loopbreak(h->base);
}

void
host_stop(host_t *h)
{
	msec_t now = clock_now();

	if (h->phase == HOST_DRAINING)
		return;
	h->phase = HOST_DRAINING;
	h->drain_until = now + h->settings.drain_ms;
	h->linger_until = h->superseded
	    ? now
	    : now + (msec_t)h->catalog.caps.lookup_ttl_sec * MSEC_PER_SEC;
	stop_plan_begin(
	    &h->stop, now, h->settings.drain_ms, h->linger_until - now);
	if (h->incarnation != 0 && !h->superseded)
		join_leave(h, FALSE, NULL);
}

/* The first signal starts a graceful stop; a second one ends it at once. */
static void
on_stop(evutil_socket_t sig, short what, void *arg)
{
	host_t *h = arg;

	(void)what;
	h->stop_asked = TRUE;
	if (h->phase == HOST_DRAINING || h->phase == HOST_ENDING) {
		event_base_loopbreak(h->base);
		return;
	}
	log_event(LOG_INFO, "host.stopping", "signal", log_num(sig),
	    "in_flight", log_num(h->proxied_requests->len), NULL);
	host_stop(h);
}

void
host_joined(host_t *h, uint64_t incarnation, uint64_t version)
{
	const settings_t *s = &h->settings;
	const roster_row_t self = {
	    .name = s->id,
	    .incarnation = incarnation,
	    .state = HOST_LIVE,
	    .rpc_address = s->rpc,
	    .region = s->region,
	    .domain = s->domain,
	};

	h->incarnation = incarnation;
	h->row_version = version;
	roster_init(&h->roster, &self);
	h->key_sync.self = (replica_t){h->roster.self, incarnation};
	freshness_joined(&h->key_sync.fresh, version);
	moves_joined(h);
	limits_configure(h);
	log_event(LOG_INFO, "roster.joined", "host", s->id, "incarnation",
	    log_num((long long)incarnation), NULL);
}

static void
on_dump(evutil_socket_t sig, short what, void *arg)
{
	char *text = dump_text(arg);

	(void)sig;
	(void)what;
	log_text(STDERR_FILENO, text);
	log_text(STDERR_FILENO, "\n");
	free(text);
}

static struct event *
add_signal(host_t *h, int sig, event_callback_fn fn)
{
	struct event *ev = evsignal_new(h->base, sig, fn, h);

	event_add(ev, NULL);
	return ev;
}

static void
init_clients(host_t *h)
{
	h->http = http_client_new(h->base, IDLE_CONNECTIONS);
	http_client_limit_open(h->http, h->descriptors[DESCRIPTORS_SERVERS]);
	http_client_limit_memory(h->http, h->memory[MEMORY_ANSWERS]);
	h->store_http = http_client_new(h->base, IDLE_CONNECTIONS);
	http_client_limit_open(
	    h->store_http, h->descriptors[DESCRIPTORS_STORE]);
	http_client_limit_memory(h->store_http, h->memory[MEMORY_STORE]);
}

static void
init_state(host_t *h)
{
	metrics_init(&h->metrics);
	host_register_metrics(h);
	h->base = event_base_new();
	host_share_machine(h);
	init_clients(h);
	store_init(&h->store, STORE_KIND_JSON, h->base, h->store_http,
	    h->settings.store);
	mirror_init(&h->mirror, &h->store, on_rows_changed, h);
	catalog_init(&h->catalog);
	key_sync_init(&h->key_sync, (replica_t){HOST_NONE, 0});
	config_sync_init(&h->config_sync);
	peers_init(h);
	h->leaving =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	operate_init(h);
	limits_init(h);
	moves_init(h);
	slot_queue_init(h);
	once_calls_init(h);
	sweep_init(h);
	lookups_init(h);
	probe_init(h);
	poison_init(&h->poison, poison_sync_peer_id(h->settings.id));
	h->slot = SLOT_NONE;
	h->slot_watched = SLOT_NONE;
	endpoint_stats_init(&h->stats);
	randombytes_buf(&h->token, sizeof(h->token));
	h->token >>= 1; /* must fit the store's signed numbers */
	route_choice_init(&h->routes,
	    h->settings.baseline ? ROUTE_ROUND_ROBIN : ROUTE_ASSIGNED_SLOTS,
	    h->token | 1);
	h->proxied_requests = g_ptr_array_new();
	h->budgets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

gboolean
host_init(host_t *h, const settings_t *settings, GError **err)
{
	const struct timeval tick = {0, TICK_MS * 1000};

	memset(h, 0, sizeof(*h));
	h->settings = *settings;
	init_state(h);
	h->ticker = event_new(h->base, -1, EV_PERSIST, on_tick, h);
	event_add(h->ticker, &tick);
	h->term = add_signal(h, SIGTERM, on_stop);
	h->interrupt = add_signal(h, SIGINT, on_stop);
	h->dump_signal = add_signal(h, SIGUSR1, on_dump);
	start_signals_handled();
	return host_open_ports(h, err);
}

void
host_finish(host_t *h)
{
	/* Closing its connections reports callers that left to requests. */
	if (h->callers != NULL)
		http_server_free(h->callers);
	while (h->proxied_requests->len > 0)
		proxy_free(g_ptr_array_index(h->proxied_requests, 0));
	if (h->operators != NULL)
		http_server_free(h->operators);
	operate_finish(h);
	if (h->rpc_open) {
		rpc_server_finish(&h->rpc_server);
		rpc_client_finish(&h->rpc_client);
	}
	rpc_key_finish(&h->rpc_key);
	event_free(h->ticker);
	event_free(h->term);
	event_free(h->interrupt);
	event_free(h->dump_signal);
	tls_reload_finish(h);
	http_client_free(h->http);
	http_client_free(h->store_http);
	store_finish(&h->store);
	mirror_finish(&h->mirror);
	limits_finish(h);
	moves_finish(h);
	slot_queue_finish(h);
	once_calls_finish(h);
	sweep_finish(h);
	lookups_finish(h);
	poison_finish(&h->poison);
	probe_finish(h);
	peers_finish(h);
	g_hash_table_destroy(h->leaving);
	if (h->incarnation != 0)
		roster_finish(&h->roster);
	config_sync_finish(&h->config_sync);
	route_choice_finish(&h->routes);
	endpoint_stats_finish(&h->stats);
	key_sync_finish(&h->key_sync);
	catalog_finish(&h->catalog);
	g_free(h->catalog_text);
	g_ptr_array_free(h->proxied_requests, TRUE);
	g_hash_table_destroy(h->budgets);
	metrics_finish(&h->metrics);
	event_base_free(h->base);
}

/* Ends without a departure notice: the others keep this host in the roster
 * until it is retired. */
static void
end_without_departure(host_t *h)
{
	event_base_loopbreak(h->base);
}

/* Waits for the end of our own calls, which are probes and store calls. None
 * is begun any more. */
static void
finish_calls(host_t *h)
{
	msec_t until = clock_now() + STORE_TIMEOUT_MS;

	while (h->proxied_requests->len == 0 &&
	    http_client_busy(h->http) + http_client_busy(h->store_http) > 0 &&
	    clock_now() < until) {
		event_base_loop(h->base, EVLOOP_ONCE);
		if (event_base_got_break(h->base))
			return;
	}
}

/* Whether no signal has asked for a stop; from then on such a signal ends the
 * process. */
static gboolean
starts_anew(host_t *h)
{
	event_base_loop(h->base, EVLOOP_NONBLOCK);
	if (h->stop_asked)
		return FALSE;
	start_signals_again();
	event_del(h->term);
	event_del(h->interrupt);
	return TRUE;
}

int
host_run(host_t *h)
{
	log_event(LOG_INFO, "host.started", "host", h->settings.id, "callers",
	    h->settings.callers, "version", GREENGAGELOOM_VERSION, NULL);
	event_base_dispatch(h->base);
	h->phase = HOST_ENDING;
	if (h->incarnation != 0 && !h->superseded) {
		join_leave(h, TRUE,
		    withdrawals_settled(&h->key_sync.withdrawals)
			? peers_send_departure
			: end_without_departure);
		event_base_dispatch(h->base);
	}
	finish_calls(h);
	log_event(LOG_INFO, "host.stopped", "cut",
	    log_num(h->proxied_requests->len), NULL);
	if (h->superseded && starts_anew(h))
		return HOST_RESTART;
	return h->proxied_requests->len == 0 ? 0 : 1;
}
