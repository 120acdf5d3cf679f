#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "host/control.h"
#include "host/join.h"
#include "host/probe.h"
#include "protocol/rows.h"
#include "protocol/text.h"

static const char *
tail_of(const char *key, const char *prefix)
{
	return g_str_has_prefix(key, prefix) ? key + strlen(prefix) : NULL;
}

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
		log_event(
		    LOG_ERROR, "key.row.unreadable", "key", row->key, NULL);
		g_clear_error(&err);
		return;
	}
	key.workspace = value.workspace;
	key.withdrawn = value.withdrawn;
	keys_merge(&h->keys, &key);
	rows_clear(&row_key, &value);
}

void
control_changed(host_t *h, const GArray *rows, msec_t sent_at)
{
	const store_row_t *row;
	const char *name;
	guint i;

	for (i = 0; i < rows->len; i++) {
		row = &g_array_index(rows, store_row_t, i);
		name = tail_of(row->key, ROWS_KEY);
		if (name != NULL)
			take_key(h, name, row);
	}
	keys_merged_range(&h->keys, keys_complete(&h->keys), h->mirror.version);
	join_changed(h);
	freshness_scanned(&h->fresh, &h->keys, sent_at);
}

static void
on_text(void *arg, const store_result_t *result, const GError *err)
{
	host_t *h = arg;
	digest_t digest;
	char *text;

	h->fetching = FALSE;
	if (err != NULL || result->u.object.bytes == NULL)
		return; /* the next tick asks again */
	digest_of(result->u.object.bytes, result->u.object.len, &digest);
	if (!digest_equal(&digest, &h->wanted.digest)) {
		log_event(LOG_ERROR, "config.damaged", "version",
		    log_num((long long)h->wanted.version), NULL);
		return;
	}
	text = g_strndup(result->u.object.bytes, result->u.object.len);
	host_take_text(h, h->wanted.version, text);
	g_free(text);
}

static void
fetch_config(host_t *h)
{
	const mirror_row_t *row = mirror_get(&h->mirror, ROWS_CONFIG);
	char hex[DIGEST_HEX_CHARS + 1];
	char *name;

	if (row == NULL || h->fetching ||
	    !rows_decode(&row_config, row->value, &h->wanted, NULL) ||
	    h->wanted.version <= h->catalog.version)
		return;
	h->fetching = TRUE;
	digest_to_hex(&h->wanted.digest, hex);
	name = g_strconcat(OBJECTS_CONFIG, hex, NULL);
	store_get_object(&h->store, name, on_text, h);
	g_free(name);
}

void
control_tick(host_t *h, msec_t now)
{
	join_tick(h);
	fetch_config(h);
	if (now >= h->scan_at) {
		h->scan_at = now + MIRROR_PERIOD_MS;
		mirror_scan(&h->mirror);
	}
	if (now >= h->probe_at) {
		h->probe_at = now + PROBE_PERIOD_MS;
		probe_all(h);
	}
	if (h->phase == HOST_STARTING && h->incarnation != 0 &&
	    h->catalog.version != 0)
		h->phase = HOST_SERVING;
}
