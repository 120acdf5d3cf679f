#include <string.h>

#include <jansson.h>

#include "host/dump.h"
#include "host/move_duty.h"
#include "host/peers.h"
#include "host/refusal.h"
#include "transport/tls.h"

static const char *
phase_name(host_phase_t phase)
{
	switch (phase) {
	case HOST_STARTING:
		return "starting";
	case HOST_SERVING:
		return "serving";
	case HOST_DRAINING:
		return "draining";
	case HOST_ENDING:
		return "ending";
	}
	return "unknown";
}

static const char *
state_name(endpoint_state_t state)
{
	switch (state) {
	case ENDPOINT_USABLE:
		return "usable";
	case ENDPOINT_TRIAL:
		return "trial";
	case ENDPOINT_EJECTED:
		return "ejected";
	case ENDPOINT_LEAVING:
		return "leaving";
	}
	return "unknown";
}

static json_t *
endpoints_json(const host_t *h, msec_t now)
{
	json_t *list = json_array();
	const endpoint_stat_t *stat;
	endpoint_id_t id;
	guint i;

	for (i = 0; i < h->catalog.endpoints->len; i++) {
		id = (endpoint_id_t)i;
		stat = endpoint_stats_row(&h->stats, id);
		json_array_append_new(list,
		    json_pack("{s:s, s:s, s:i, s:i, s:f}", "name",
			catalog_endpoint(&h->catalog, id)->name, "state",
			state_name(endpoint_stats_state(&h->stats, id, now)),
			"in_flight", (int)stat->in_flight, "slots",
			(int)stat->slots, "failure_rate",
			endpoint_stats_failure_rate(&h->stats, id)));
	}
	return list;
}

char *
dump_text(const host_t *h)
{
	msec_t now = clock_now();
	json_t *root = json_pack("{s:s, s:s, s:s, s:s, s:I, s:I, s:i, s:I}",
	    "host", h->settings.id, "phase", phase_name(h->phase), "region",
	    h->settings.region, "failure_domain", h->settings.domain,
	    "incarnation", (json_int_t)h->incarnation, "config_version",
	    (json_int_t)h->catalog.version, "keys",
	    (int)keys_count(&h->key_sync.keys), "keys_fresh_ms",
	    (json_int_t)MAX(freshness_until(&h->key_sync.fresh) - now, 0));
	char *text;

	json_object_set_new(root, "in_flight",
	    json_integer((json_int_t)h->proxied_requests->len));
	json_object_set_new(
	    root, "store_reads", json_integer((json_int_t)h->store.reads));
	json_object_set_new(
	    root, "store_writes", json_integer((json_int_t)h->store.writes));
	if (h->tls != NULL)
		json_object_set_new(root, "tls_expires_at",
		    json_integer((json_int_t)tls_expires_at(h->tls)));
	json_object_set_new(root, "endpoints", endpoints_json(h, now));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static json_t *
hosts_json(const host_t *h, msec_t now)
{
	json_t *list = json_array();
	const roster_host_t *row;
	const peer_t *peer;
	gboolean self;
	guint i;

	for (i = 0; h->incarnation != 0 && i < h->roster.hosts->len; i++) {
		row = roster_host(&h->roster, (host_id_t)i);
		if (row->state == HOST_GONE)
			continue;
		self = i == h->roster.self;
		peer = peers_get(h, row->name);
		json_array_append_new(list,
		    json_pack("{s:s, s:s, s:s, s:b, s:I}", "host", row->name,
			"region", row->region, "failure_domain", row->domain,
			"live",
			self || roster_live(&h->roster, (host_id_t)i, now),
			"config_version",
			self ? (json_int_t)h->config_sync.in_force.version
			    : peer != NULL ? (json_int_t)peer->config_version
					   : 0));
	}
	return list;
}

static json_t *
move_json(const host_t *h, const move_local_t *l)
{
	const move_held_t *held = move_duty_find(h, l->row.id);
	json_t *j = json_pack(
	    "{s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:s, s:b, s:b}", "move",
	    l->row.id, "kind", move_kind_name(l->row.kind), "service",
	    l->row.service, "from", l->row.from, "to", l->row.to, "state",
	    move_state_name(l->row.state), "step", (int)l->row.step, "share",
	    (int)move_share(&l->row), "reason", move_reason_name(l->row.reason),
	    "late", l->row.late, "stopped", l->stopped);

	/* Only the host that advances the move knows what it waits for. */
	if (held != NULL)
		json_object_set_new(
		    j, "waits_for", json_string(move_wait_name(held->m.wait)));
	return j;
}

static json_t *
moves_json(const host_t *h)
{
	const GArray *moves = h->moves->in_force.moves;
	json_t *list = json_array();
	const move_local_t *l;
	guint i;

	for (i = 0; i < moves->len; i++) {
		l = &g_array_index(moves, move_local_t, i);
		if (l->row.step > 0)
			json_array_append_new(list, move_json(h, l));
	}
	return list;
}

char *
dump_status_text(const host_t *h)
{
	msec_t now = clock_now();
	json_t *root = json_pack("{s:s, s:s, s:I, s:b, s:I, s:o, s:o}", "host",
	    h->settings.id, "phase", phase_name(h->phase), "config_version",
	    (json_int_t)h->config_sync.in_force.version, "keys_fresh",
	    freshness_ok(&h->key_sync.fresh, now), "store_answered_ms_ago",
	    h->store.answered_at != 0 ? (json_int_t)(now - h->store.answered_at)
				      : -1,
	    "hosts", hosts_json(h, now), "moves", moves_json(h));
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	return text;
}

static void
set_gauges(host_t *h)
{
	msec_t left = freshness_until(&h->key_sync.fresh) - clock_now();

	metrics_set(&h->metrics, h->m.in_flight, h->proxied_requests->len);
	metrics_set(
	    &h->metrics, h->m.config_version, (int64_t)h->catalog.version);
	metrics_set(&h->metrics, h->m.fresh_ms, MAX(left, 0));
}

void
dump_serve(void *arg, http_exchange_t *x)
{
	host_t *h = arg;
	const struct evhttp_uri *uri = http_exchange_target(x);
	const char *path = evhttp_uri_get_path(uri);
	struct evbuffer *body = evbuffer_new();
	char *text;

	if (g_strcmp0(path, "/metrics") == 0) {
		set_gauges(h);
		text = metrics_render(&h->metrics);
		evbuffer_add(body, text, strlen(text));
		g_free(text);
		http_reply(x, HTTP_OK, NULL, body);
	} else if (g_strcmp0(path, "/healthz") == 0) {
		evbuffer_add_printf(body, "%s\n", phase_name(h->phase));
		http_reply(x, h->phase == HOST_SERVING ? 200 : 503, NULL, body);
	} else {
		refusal_send(x, REFUSAL_NO_ROUTE, RUN_NOT, 0);
	}
	evbuffer_free(body);
}
