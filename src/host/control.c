#include <string.h>

#include "base/log.h"
#include "host/confops.h"
#include "host/control.h"
#include "host/harm.h"
#include "host/join.h"
#include "host/keyops.h"
#include "host/limits.h"
#include "host/moves.h"
#include "host/operate.h"
#include "host/peers.h"
#include "host/probe.h"
#include "host/room.h"

static void
take_key(host_t *h, const char *name, const store_row_t *row)
{
	key_store_row_t value = {0};
	GError *err = NULL;
	key_row_t key = {.version = row->version};

	if (row->value == NULL)
		return; /* rows of keys are never deleted */
	if (!digest_from_hex(name, &key.digest) ||
	    !rows_decode(&row_key, row->value, &value, &err)) {
		log_event(LOG_ERROR, "key.row.unreadable", "key", row->key,
		    "error", err != NULL ? err->message : NULL, NULL);
		g_clear_error(&err);
		return;
	}
	key.workspace = *value.workspace != '\0' ? value.workspace : NULL;
	key.withdrawn = value.withdrawn;
	keys_merge(&h->keys, &key);
	rows_clear(&row_key, &value);
}

static void
take_keys(host_t *h, const GArray *rows, msec_t sent_at)
{
	const store_row_t *row;
	guint i;

	for (i = 0; i < rows->len; i++) {
		row = &g_array_index(rows, store_row_t, i);
		if (g_str_has_prefix(row->key, ROWS_KEY))
			take_key(h, row->key + strlen(ROWS_KEY), row);
	}
	keys_merged_range(&h->keys, 0, h->mirror.version);
	freshness_scanned(&h->fresh, &h->keys, sent_at);
}

void
control_changed(host_t *h, const GArray *rows, msec_t sent_at)
{
	join_changed(h);
	/* A scan from before our own row was written shows no place of ours. */
	if (h->incarnation != 0 && h->mirror.version >= h->row_version)
		peers_scanned(h, sent_at);
	take_keys(h, rows, sent_at);
	confops_scanned(h);
	limits_scanned(h, sent_at);
	moves_scanned(h, rows, sent_at);
}

static void
scan_when_due(host_t *h, msec_t now)
{
	if (now < h->scan_at)
		return;
	h->scan_at = now + MIRROR_PERIOD_MS;
	host_place_routes(h);
	mirror_scan(&h->mirror);
}

static void
probe_when_due(host_t *h, msec_t now)
{
	if (now < h->probe_at)
		return;
	h->probe_at = now + PROBE_PERIOD_MS;
	probe_all(h);
	poison_tick(&h->poison, now);
	harm_spread(h);
}

/* Another incarnation has this host's place: serve nothing, start anew. */
static void
check_place(host_t *h)
{
	if (h->incarnation == 0 || h->superseded ||
	    !roster_superseded(&h->roster))
		return;
	log_event(LOG_ERROR, "roster.superseded", "incarnation",
	    log_num((long long)h->incarnation), NULL);
	h->superseded = TRUE;
	freshness_stop(&h->fresh);
	host_stop(h);
}

void
control_tick(host_t *h, msec_t now)
{
	join_tick(h);
	scan_when_due(h, now);
	probe_when_due(h, now);
	room_pump_later(h);
	if (h->incarnation != 0) {
		peers_tick(h, now);
		keyops_tick(h, now);
		confops_tick(h, now);
		operate_tick(h, now);
		limits_tick(h, now);
		moves_tick(h, now);
	}
	check_place(h);
	if (h->phase == HOST_STARTING && h->incarnation != 0 &&
	    h->catalog.version != 0 && freshness_ok(&h->fresh, now))
		h->phase = HOST_SERVING;
}
