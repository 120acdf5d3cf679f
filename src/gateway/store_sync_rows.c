#include <string.h>

#include "base/log.h"
#include "gateway/store_sync_rows.h"
#include "gateway/store_sync_write.h"
#include "platform/wire_entries.h"
#include "protocol/fleet_rows.h"

static void
log_bad_row(const table_row_t *row, GError *err)
{
	log_event(LOG_WARN, "row.refused", "key", row->key, "row_version",
	    log_num((long long)row->ver), "error", err->message, NULL);
	g_error_free(err);
}

static void
take_manifest(view_t *v, const order_t *order, const table_row_t *row)
{
	manifest_t *m = order->u.manifest;
	gboolean ok;

	if (order->removed) {
		log_event(LOG_WARN, "config.removed", "kept", "1", NULL);
		return;
	}
	ok = admission_set_manifest(&v->admission, m);
	log_event(ok ? LOG_INFO : LOG_WARN,
	    ok ? "config.in_force" : "config.refused", "version",
	    log_num((long long)m->version), "in_force",
	    log_num((long long)v->admission.manifest->version), "routes",
	    log_num(m->routes->len), "row_version",
	    log_num((long long)row->ver), NULL);
}

static void
take_drain(view_t *v, const order_t *order)
{
	/* The servers may already be cold before the order, and may be cold
	 * when it is removed. */
	if (dispatch_drain(&v->dispatch, order->name, !order->removed))
		log_event(LOG_INFO,
		    order->removed ? "domain.taken_back" : "domain.drained",
		    "domain", order->name, NULL);
	dispatch_assume_cold(&v->dispatch, order->name, clock_now());
}

static void
take_shift(view_t *v, const order_t *order)
{
	if (order->removed)
		shifts_remove_order(&v->shifts, order->name);
	else
		shifts_order(&v->shifts, order->name, order->u.shift.to,
		    order->u.shift.duration_ms);
	log_event(LOG_INFO, "shift.ordered", "service", order->name, "to",
	    order->removed ? NULL : order->u.shift.to, NULL);
}

void
store_sync_take_order(void *arg, const table_row_t *row)
{
	store_sync_t *s = arg;
	view_t *v = s->view;
	GError *err = NULL;
	order_t order;

	/* A row that is missing from a listing counts as removed, with the
	 * version of the listing. No order has that version, so peers would ask
	 * the store for it in vain. */
	if (row->value != NULL)
		v->orders_ver = MAX(v->orders_ver, row->ver);
	if (!wire_order_decode(row, &order, &err)) {
		log_bad_row(row, err);
		return;
	}
	switch (order.kind) {
	case ORDER_MANIFEST:
		take_manifest(v, &order, row);
		break;
	case ORDER_SHIFT:
		take_shift(v, &order);
		break;
	case ORDER_DRAIN:
		take_drain(v, &order);
		break;
	case ORDER_FOREIGN:
		log_event(LOG_INFO, "order.foreign", "key", row->key, NULL);
		break;
	}
	order_finish(&order);
}

static const char *
change_name(registry_change_t change)
{
	switch (change) {
	case REGISTRY_NEW:
		return "server.joined";
	case REGISTRY_RESTART:
		return "server.restarted";
	case REGISTRY_CHANGED:
		return "server.changed";
	case REGISTRY_SAME:
	case REGISTRY_STALE:
		break;
	}
	return NULL;
}

/* Queues a row for the hosts that do not read the table. */
static void
queue_for_peers(synced_table_t *t, const table_row_t *row)
{
	table_queue_add(&t->for_peers, row);
}

/* Return: whether the entry says more than that the server is alive. */
static gboolean
take_entry(store_sync_t *s, const registry_row_t *entry)
{
	view_t *v = s->view;
	msec_t now = clock_now();
	registry_change_t change = registry_put(&v->registry, entry, now);
	backend_t *b = g_hash_table_lookup(v->registry.servers, entry->id);

	if (b != NULL && change != REGISTRY_STALE)
		shifts_note_version(&v->shifts, b,
		    !s->tables[SYNCED_SERVERS].complete &&
			!s->tables[SYNCED_SERVERS].new_era,
		    now);
	/* A page of many changes is logged as a whole. */
	if (change_name(change) != NULL && !s->many_changes)
		log_event(LOG_INFO, change_name(change), "server", entry->id,
		    "service", entry->service, "domain", entry->domain,
		    "version", entry->version, "draining",
		    entry->draining ? "1" : "0", "cold_ms",
		    log_num(entry->cold_ms), "row_version",
		    log_num((long long)entry->row_ver), NULL);
	return change_name(change) != NULL;
}

void
store_sync_take_server(void *arg, const table_row_t *row)
{
	store_sync_t *s = arg;
	msec_t now = clock_now();
	wire_server_t *decoded;
	registry_row_t entry;
	GError *err = NULL;

	if (row->value == NULL) {
		queue_for_peers(&s->tables[SYNCED_SERVERS], row);
		if (registry_remove(&s->view->registry, row->key, row->ver,
			s->lapse_until, now))
			log_event(LOG_INFO, "server.gone", "server", row->key,
			    "row_version", log_num((long long)row->ver),
			    "store_was_away", now < s->lapse_until ? "1" : "0",
			    NULL);
		return;
	}
	if (!wire_server_decode(row, &entry, &decoded, &err)) {
		log_bad_row(row, err);
		return;
	}
	if (g_hash_table_contains(s->view->registry.regions, entry.domain)) {
		if (take_entry(s, &entry))
			queue_for_peers(&s->tables[SYNCED_SERVERS], row);
	} else {
		log_event(LOG_WARN, "row.refused", "key", row->key, "error",
		    "unknown failure domain", NULL);
	}
	wire_server_free(decoded);
}

/* A time of this host's clock; 0 stays 0. */
static msec_t
local_time(const view_t *v, int64_t store_ms)
{
	return store_ms != 0 ? store_ms - v->store_offset : 0;
}

static void
take_host(store_sync_t *s, fleet_rows_t *r, uint64_t row_ver)
{
	view_t *v = s->view;
	gboolean left = !r->removed && r->times.left_ms != 0;

	if (!s->many_changes)
		log_event(LOG_INFO,
		    r->removed ? "host.removed"
			: left ? "host.left"
			       : "host.listed",
		    "host", r->name, "joined_ms", log_num(r->times.joined_ms),
		    "row_version", log_num((long long)row_ver), NULL);
	if (strcmp(r->name, v->settings->id) == 0) {
		store_sync_take_own_row(s, r, row_ver);
		return;
	}
	if (row_ver <= s->tables[SYNCED_FLEET].view.copy_end && !left &&
	    !r->removed &&
	    fleet_knows_newer(&v->fleet, r->name, r->u.host.incarnation,
		local_time(v, (int64_t)r->u.host.incarnation)))
		return;
	r->u.host.joined_at = local_time(v, r->times.joined_ms);
	if (r->removed)
		fleet_remove(&v->fleet, r->name);
	else if (left)
		fleet_depart(&v->fleet, r->name, r->u.host.joined_at,
		    local_time(v, r->times.left_ms));
	else
		fleet_put(&v->fleet, &r->u.host, clock_now());
}

void
store_sync_take_fleet(void *arg, const table_row_t *row)
{
	store_sync_t *s = arg;
	GError *err = NULL;
	fleet_rows_t r;

	if (!fleet_rows_decode(row, &r, &err)) {
		log_bad_row(row, err);
		return;
	}
	queue_for_peers(&s->tables[SYNCED_FLEET], row);
	switch (r.kind) {
	case FLEET_ROW_HOST:
		take_host(s, &r, row->ver);
		break;
	case FLEET_ROW_SHIFT:
		shifts_apply_row(&s->view->shifts, r.name,
		    r.removed ? NULL : &r.u.shift, row->ver);
		log_event(LOG_INFO, "shift.row", "service", r.name, "to",
		    r.removed ? NULL : r.u.shift.to, "state",
		    r.removed ? NULL : log_num(r.u.shift.state), NULL);
		break;
	case FLEET_ROW_SECRET:
		s->has_secret = !r.removed;
		s->secret_due = FALSE;
		if (s->has_secret)
			s->secret = r.u.secret;
		s->secret_ver = row->ver;
		break;
	case FLEET_ROW_FOREIGN:
		break;
	}
	fleet_rows_clear(&r);
}
