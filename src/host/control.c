#include <string.h>

#include "base/log.h"
#include "host/config_ops.h"
#include "host/control.h"
#include "host/poison_sync.h"
#include "host/join.h"
#include "host/key_ops.h"
#include "host/limits.h"
#include "host/lookups.h"
#include "host/moves.h"
#include "host/operate.h"
#include "host/peers.h"
#include "host/probe.h"
#include "host/retire.h"
#include "host/slot_queue.h"
#include "host/sweep.h"

/* Least time between scans that are requested early. */
#define SCAN_SOON_MS 100

/* Reads the row of a key. On success, free @value with rows_clear(). */
static gboolean
read_key(const store_row_t *row, key_store_row_t *value, key_row_t *key)
{
	const char *name = row->key + strlen(ROWS_KEY);
	GError *err = NULL;

	if (row->value == NULL)
		return FALSE; /* rows of keys are never deleted */
	if (!digest_from_hex(name, &key->digest) ||
	    !rows_decode(&row_key, row->value, value, &err)) {
		log_event(LOG_ERROR, "key.row.unreadable", "key", row->key,
		    "error", err != NULL ? err->message : NULL, NULL);
		g_clear_error(&err);
		return FALSE;
	}
	key->workspace = *value->workspace != '\0'
	    ? g_quark_to_string(g_quark_from_string(value->workspace))
	    : NULL;
	key->withdrawn = value->withdrawn;
	key->version = row->version;
	return TRUE;
}

static GArray *
read_keys(const GArray *rows)
{
	GArray *keys = g_array_new(FALSE, TRUE, sizeof(key_row_t));
	const store_row_t *row;
	key_store_row_t value;
	key_row_t key;
	guint i;

	for (i = 0; i < rows->len; i++) {
		row = &g_array_index(rows, store_row_t, i);
		memset(&value, 0, sizeof(value));
		if (g_str_has_prefix(row->key, ROWS_KEY) &&
		    read_key(row, &value, &key)) {
			g_array_append_val(keys, key);
			rows_clear(&row_key, &value);
		}
	}
	return keys;
}

/* Version of our roster row; 0 if another incarnation has replaced it. */
static uint64_t
own_row_version(const host_t *h)
{
	char *key;
	const mirror_row_t *row;
	host_row_t value = {0};
	uint64_t version = 0;

	/* A scan from before our row was written does not show it. */
	if (h->incarnation == 0 || h->mirror.version < h->row_version)
		return h->row_version;
	key = join_row_key(h->settings.id);
	row = mirror_get(&h->mirror, key);
	g_free(key);
	if (row != NULL && rows_decode(&row_host, row->value, &value, NULL)) {
		if (value.incarnation == h->incarnation)
			version = row->version;
		rows_clear(&row_host, &value);
	}
	return version;
}

static void
sync_keys(host_t *h, const GArray *rows, uint64_t since, msec_t sent_at)
{
	GArray *keys = read_keys(rows);
	GArray *replicas = peers_scanned(h);
	const key_sync_scan_t scan = {
	    .rows = (const key_row_t *)(const void *)keys->data,
	    .nrows = keys->len,
	    .roster = (const replica_t *)(const void *)replicas->data,
	    .nroster = replicas->len,
	    .since = since,
	    .upto = h->mirror.version,
	    .joined = own_row_version(h),
	    .sent = sent_at,
	};

	key_sync_scanned(&h->key_sync, &scan, clock_now());
	g_array_free(keys, TRUE);
	g_array_free(replicas, TRUE);
}

void
control_rows_changed(
    host_t *h, const GArray *rows, uint64_t since, msec_t sent_at)
{
	join_scanned(h);
	sync_keys(h, rows, since, sent_at);
	host_update_positions(h);
	config_ops_scanned(h);
	limits_scanned(h, sent_at);
	moves_scanned(h, rows, sent_at);
	lookups_scanned(h, rows);
}

static void
scan_when_due(host_t *h, msec_t now)
{
	if (now < h->scan_at)
		return;
	h->scan_at = now + MIRROR_PERIOD_MS;
	host_update_positions(h);
	mirror_scan(&h->mirror);
}

void
control_scan_soon(host_t *h, msec_t now)
{
	h->scan_at = MIN(h->scan_at, now + SCAN_SOON_MS);
}

static void
probe_when_due(host_t *h, msec_t now)
{
	if (now < h->probe_at &&
	    (h->catalog.version == 0 || h->first_probe_at != 0))
		return;
	h->probe_at = now + PROBE_PERIOD_MS;
	probe_all(h);
	poison_tick(&h->poison, now);
	poison_sync_flush(h);
}

/* If another incarnation has replaced this one in the roster, stops serving;
 * the host is then made anew. */
static void
check_superseded(host_t *h)
{
	if (h->incarnation == 0 || h->superseded ||
	    !roster_superseded(&h->roster))
		return;
	log_event(LOG_ERROR, "roster.superseded", "incarnation",
	    log_num((long long)h->incarnation), NULL);
	h->superseded = TRUE;
	freshness_stop(&h->key_sync.fresh);
	host_stop(h);
}

/* Whether this host may begin to serve. It must have learnt by probes which
 * backend servers are leaving. */
static gboolean
may_serve(const host_t *h, msec_t now)
{
	return h->incarnation != 0 && h->catalog.version != 0 &&
	    freshness_ok(&h->key_sync.fresh, now) && h->listed &&
	    probe_health_known(h, now);
}

void
control_tick(host_t *h, msec_t now)
{
	join_tick(h);
	scan_when_due(h, now);
	probe_when_due(h, now);
	slot_queue_serve_later(h);
	if (h->incarnation != 0) {
		peers_tick(h, now);
		retire_fetch_listed(h, now);
		retire_tick(h, now);
		key_ops_tick(h, now);
		config_ops_tick(h, now);
		operate_tick(h, now);
		limits_tick(h, now);
		moves_tick(h, now);
		sweep_tick(h, now);
	}
	check_superseded(h);
	if (h->phase == HOST_STARTING && may_serve(h, now))
		h->phase = HOST_SERVING;
}
