#include <signal.h>
#include <string.h>

#include <sodium.h>

#include "base/error.h"
#include "base/log.h"
#include "host/carry.h"
#include "host/confops.h"
#include "host/control.h"
#include "host/dump.h"
#include "host/harm.h"
#include "host/host.h"
#include "host/join.h"
#include "host/keyops.h"
#include "host/limits.h"
#include "host/lookups.h"
#include "host/moves.h"
#include "host/once_calls.h"
#include "host/operate.h"
#include "host/peers.h"
#include "host/room.h"
#include "host/tls_reload.h"
#include "protocol/text.h"

#define TICK_MS 20
#define IDLE_CONNECTIONS 32
#define HEAD_MAX_BYTES 32768
#define RECEIVE_MS 30000

static void
register_metrics(host_t *h)
{
	const struct {
		metric_id_t *id;
		metric_kind_t kind;
		const char *name, *help;
	} rows[] = {
	    {&h->m.requests, METRIC_COUNTER, "requests_total",
		"Requests taken from callers."},
	    {&h->m.answered, METRIC_COUNTER, "requests_answered_total",
		"Requests answered by a backend server."},
	    {&h->m.refused, METRIC_COUNTER, "requests_refused_total",
		"Requests refused by this host."},
	    {&h->m.retries, METRIC_COUNTER, "retries_total",
		"Tries after the first of a request."},
	    {&h->m.hang_ups, METRIC_COUNTER, "callers_gone_total",
		"Callers that hung up before their answer."},
	    {&h->m.queued, METRIC_COUNTER, "requests_queued_total",
		"Requests that had to wait for a slot."},
	    {&h->m.lookups, METRIC_COUNTER, "lookups_total",
		"Look-ups answered."},
	    {&h->m.key_refused, METRIC_COUNTER, "key_refused_total",
		"Requests refused for their key."},
	    {&h->m.rate_refused, METRIC_COUNTER, "rate_refused_total",
		"Requests refused over their workspace's rate."},
	    {&h->m.probes_failed, METRIC_COUNTER, "probes_failed_total",
		"Health probes without a usable answer."},
	    {&h->m.in_flight, METRIC_GAUGE, "requests_in_flight",
		"Requests taken and not yet ended."},
	    {&h->m.config_version, METRIC_GAUGE, "config_version",
		"Configuration in force."},
	    {&h->m.fresh_ms, METRIC_GAUGE, "keys_fresh_ms",
		"Milliseconds for which keys may still be accepted."},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		*rows[i].id = metrics_add(
		    &h->metrics, rows[i].kind, rows[i].name, rows[i].help);
}

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

static gint
by_name(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Counts the live hosts and finds this one's position among them. */
static uint16_t
position(const host_t *h, const char *region, uint16_t *n)
{
	GPtrArray *names = g_ptr_array_new();
	const roster_host_t *row;
	msec_t now = clock_now();
	uint16_t at = 0;
	guint i;

	for (i = 0; i < h->roster.hosts->len; i++) {
		row = roster_host(&h->roster, (host_id_t)i);
		if ((i == h->roster.self ||
			roster_live(&h->roster, (host_id_t)i, now)) &&
		    (region == NULL || strcmp(row->region, region) == 0))
			g_ptr_array_add(names, row->name);
	}
	g_ptr_array_sort(names, by_name);
	for (i = 0; i < names->len; i++) {
		if (strcmp(g_ptr_array_index(names, i), h->settings.id) == 0)
			at = (uint16_t)i;
	}
	*n = (uint16_t)names->len;
	g_ptr_array_free(names, TRUE);
	return at;
}

void
host_place_routes(host_t *h)
{
	domain_id_t domain =
	    catalog_find_domain(&h->catalog, h->settings.domain);
	uint16_t index, hosts, near_index, near_hosts;
	const endpoint_t *e;
	guint i;

	if (h->incarnation == 0)
		return;
	index = position(h, NULL, &hosts);
	near_index = position(h, h->settings.region, &near_hosts);
	for (i = 0; i < h->catalog.endpoints->len; i++) {
		e = catalog_endpoint(&h->catalog, (endpoint_id_t)i);
		http_client_limit(h->http, e->address,
		    route_part(e->connections, index, MAX(hosts, 1)));
	}
	route_choice_place(
	    &h->routes, domain, index, hosts, near_index, near_hosts);
}

gboolean
host_take_text(host_t *h, uint64_t version, const char *text)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	gboolean ok;
	catalog_t c;

	catalog_init(&c);
	ok = version > h->catalog.version &&
	    text_parse(&c, "config", text, errors) == 0;
	if (ok) {
		c.version = version;
		catalog_finish(&h->catalog);
		h->catalog = c;
		g_free(h->catalog_text);
		h->catalog_text = g_strdup(text);
		endpoint_stats_bind(&h->stats, &h->catalog, clock_now());
		host_place_routes(h);
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
serve_callers(void *arg, http_exchange_t *x)
{
	const struct evhttp_uri *uri =
	    evhttp_request_get_evhttp_uri(http_exchange_request(x));
	const char *path = evhttp_uri_get_path(uri);

	if (path != NULL && g_str_has_prefix(path, LOOKUPS_PREFIX))
		lookups_serve(arg, x);
	else
		carry_begin(arg, x);
}

static char *
refuse_body(const char *reason)
{
	return refusal_body(reason, RUN_NOT);
}

static void
on_changed(void *arg, const GArray *rows, uint64_t since, msec_t sent_at)
{
	control_changed(arg, rows, since, sent_at);
}

/* Nothing is held, and none of our writes is under way. */
static gboolean
is_drained(const host_t *h, msec_t now)
{
	return now >= h->linger_until && h->carries->len == 0 &&
	    http_server_connections(h->callers) == 0 &&
	    withdrawals_settled(&h->sync.withdrawals);
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
	if (h->incarnation != 0 && !h->superseded)
		join_leave(h, FALSE, NULL);
}

/* The first signal begins a graceful stop, a second one ends it. */
static void
on_stop(evutil_socket_t sig, short what, void *arg)
{
	host_t *h = arg;

	(void)what;
	if (h->phase == HOST_DRAINING || h->phase == HOST_ENDING) {
		event_base_loopbreak(h->base);
		return;
	}
	log_event(LOG_INFO, "host.stopping", "signal", log_num(sig),
	    "in_flight", log_num(h->carries->len), NULL);
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
	h->sync.self = (replica_t){h->roster.self, incarnation};
	freshness_joined(&h->sync.fresh, version);
	moves_joined(h);
	limits_configure(h);
	log_event(LOG_INFO, "roster.joined", "host", s->id, "incarnation",
	    log_num((long long)incarnation), NULL);
}

static void
serve_rpc(
    void *arg, rpc_call_id_t id, const char *caller, const rpc_args_t *args)
{
	host_t *h = arg;

	if (h->incarnation == 0 && args->proc != RPC_PROC_OPERATE) {
		rpc_server_refuse(&h->rpc_server, id);
		return;
	}
	switch (args->proc) {
	case RPC_PROC_EXCHANGE:
		peers_answer(h, id, caller, &args->u.exchange);
		break;
	case RPC_PROC_WITHDRAW:
		keyops_serve_withdraw(h, id, &args->u.withdraw);
		break;
	case RPC_PROC_FETCH_KEYS:
		keyops_serve_fetch(h, id, &args->u.fetch_keys);
		break;
	case RPC_PROC_FETCH_CONFIG:
		confops_serve_fetch(h, id, &args->u.fetch_config);
		break;
	case RPC_PROC_OPERATE:
		operate_serve(h, id, &args->u.operate);
		break;
	case RPC_PROC_BORROW:
		limits_serve_borrow(h, id, caller, &args->u.borrow);
		break;
	case RPC_PROC_SUSPECT:
		harm_serve(h, id, caller, &args->u.suspect);
		break;
	case RPC_PROC_NULL:
		rpc_server_refuse(&h->rpc_server, id);
		break;
	}
}

static void
on_dump(evutil_socket_t sig, short what, void *arg)
{
	char *text = dump_text(arg);

	(void)sig;
	(void)what;
	fprintf(stderr, "%s\n", text);
	free(text);
}

static struct event *
add_signal(host_t *h, int sig, event_callback_fn fn)
{
	struct event *ev = evsignal_new(h->base, sig, fn, h);

	event_add(ev, NULL);
	return ev;
}

static gboolean
open_rpc(host_t *h, GError **err)
{
	const rpc_client_config_t client = {
	    .base = h->base,
	    .key = &h->rpc_key,
	    .id = h->settings.id,
	    .metrics = &h->metrics,
	    .version = HOST_VERSION,
	};
	const rpc_server_config_t server = {
	    .base = h->base,
	    .key = &h->rpc_key,
	    .self = {h->settings.id, h->settings.rpc},
	    .metrics = &h->metrics,
	    .handler = serve_rpc,
	    .arg = h,
	};

	if (!rpc_key_load(&h->rpc_key, h->settings.secret_file, err))
		return FALSE;
	rpc_client_init(&h->rpc_client, &client);
	h->rpc_open =
	    rpc_server_init(&h->rpc_server, &server, h->settings.rpc, err);
	if (!h->rpc_open)
		rpc_client_finish(&h->rpc_client);
	return h->rpc_open;
}

static gboolean
open_ports(host_t *h, GError **err)
{
	const settings_t *s = &h->settings;
	http_server_conf_t conf = {
	    .address = s->callers,
	    .max_head_bytes = HEAD_MAX_BYTES,
	    .max_body_bytes = (size_t)s->max_body_bytes,
	    .body_memory_bytes = (size_t)s->body_memory_bytes,
	    .max_connections = (unsigned int)s->max_connections,
	    .receive_ms = RECEIVE_MS,
	};

	if (!open_rpc(h, err) || !tls_reload_init(h, err))
		return FALSE;
	conf.tls = h->tls;
	h->callers =
	    http_server_new(h->base, &conf, serve_callers, refuse_body, h, err);
	if (h->callers == NULL)
		return FALSE;
	conf.address = s->operators;
	conf.tls = NULL;
	h->operators =
	    http_server_new(h->base, &conf, dump_serve, refuse_body, h, err);
	return h->operators != NULL;
}

static void
init_state(host_t *h)
{
	metrics_init(&h->metrics);
	register_metrics(h);
	h->base = event_base_new();
	h->http = http_client_new(h->base, IDLE_CONNECTIONS);
	store_init(
	    &h->store, STORE_KIND_JSON, h->base, h->http, h->settings.store);
	mirror_init(&h->mirror, &h->store, on_changed, h);
	catalog_init(&h->catalog);
	keysync_init(&h->sync, (replica_t){HOST_NONE, 0});
	confspread_init(&h->spread);
	peers_init(h);
	h->leaving =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	operate_init(h);
	limits_init(h);
	moves_init(h);
	room_init(h);
	once_calls_init(h);
	poison_init(&h->poison, harm_peer_id(h->settings.id));
	h->slot = SLOT_NONE;
	h->slot_watched = SLOT_NONE;
	endpoint_stats_init(&h->stats);
	randombytes_buf(&h->token, sizeof(h->token));
	h->token >>= 1; /* fits the store's signed numbers */
	route_choice_init(&h->routes, ROUTE_HELD_SLOTS, h->token | 1);
	h->carries = g_ptr_array_new();
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
	signal(SIGPIPE, SIG_IGN);
	return open_ports(h, err);
}

void
host_finish(host_t *h)
{
	while (h->carries->len > 0)
		carry_free(g_ptr_array_index(h->carries, 0));
	if (h->callers != NULL)
		http_server_free(h->callers);
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
	store_finish(&h->store);
	mirror_finish(&h->mirror);
	limits_finish(h);
	moves_finish(h);
	room_finish(h);
	once_calls_finish(h);
	poison_finish(&h->poison);
	peers_finish(h);
	g_hash_table_destroy(h->leaving);
	if (h->incarnation != 0)
		roster_finish(&h->roster);
	confspread_finish(&h->spread);
	route_choice_finish(&h->routes);
	endpoint_stats_finish(&h->stats);
	keysync_finish(&h->sync);
	catalog_finish(&h->catalog);
	g_free(h->catalog_text);
	g_ptr_array_free(h->carries, TRUE);
	g_hash_table_destroy(h->budgets);
	metrics_finish(&h->metrics);
	event_base_free(h->base);
}

/* Without a goodbye: others count on this host until it is retired. */
static void
host_end(host_t *h)
{
	event_base_loopbreak(h->base);
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
		    withdrawals_settled(&h->sync.withdrawals) ? peers_goodbye
							      : host_end);
		event_base_dispatch(h->base);
	}
	log_event(
	    LOG_INFO, "host.stopped", "cut", log_num(h->carries->len), NULL);
	if (h->superseded)
		return HOST_AGAIN;
	return h->carries->len == 0 ? 0 : 1;
}
