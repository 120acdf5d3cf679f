#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "coordination/borrower.h"
#include "host/fenced.h"
#include "host/join.h"
#include "host/limits.h"
#include "host/slots.h"

#define CLAIM_PERIOD_MS 500

char *
slots_row_key(uint16_t slot)
{
	return g_strdup_printf(ROWS_SLOT "%u", slot);
}

/* Whether the holder named by a row is still in the roster. */
static gboolean
holder_present(const host_t *h, const slot_row_t *value)
{
	char *key = join_row_key(value->host);
	const mirror_row_t *row = mirror_get(&h->mirror, key);
	host_row_t host = {0};
	gboolean present = FALSE;

	g_free(key);
	if (row != NULL && rows_decode(&row_host, row->value, &host, NULL)) {
		present = host.incarnation == value->incarnation;
		rows_clear(&row_host, &host);
	}
	return present;
}

/* Whether a slot may be claimed. A holder that has left the roster may go on
 * using its slot while its keys count as fresh, so the slot is free only after
 * FRESH_LAPSE_MS. */
static gboolean
is_free(host_t *h, uint16_t slot, const mirror_row_t *row, msec_t now)
{
	slot_row_t value = {0};
	gboolean present;

	if (row == NULL)
		return TRUE;
	if (!rows_decode(&row_slot, row->value, &value, NULL))
		return FALSE;
	present = holder_present(h, &value);
	if (!present && value.incarnation == h->incarnation &&
	    strcmp(value.host, h->settings.id) == 0)
		present = TRUE;
	rows_clear(&row_slot, &value);
	if (present || slot != h->slot_watched) {
		if (!present) {
			h->slot_watched = slot;
			h->slot_free_since = now;
		}
		return FALSE;
	}
	return now - h->slot_free_since > FRESH_LAPSE_MS;
}

static gboolean
is_ours(const host_t *h, const mirror_row_t *row)
{
	slot_row_t value = {0};
	gboolean ours;

	if (row == NULL || !rows_decode(&row_slot, row->value, &value, NULL))
		return FALSE;
	ours = value.incarnation == h->incarnation &&
	    strcmp(value.host, h->settings.id) == 0;
	rows_clear(&row_slot, &value);
	return ours;
}

static void
set_slot(host_t *h, uint16_t slot)
{
	h->slot = slot;
	log_event(LOG_INFO, "slot.held", "slot", log_num(slot), NULL);
	limits_configure(h);
}

static void
on_claimed(void *arg, write_result_t result, uint64_t version)
{
	host_t *h = arg;

	(void)version;
	h->slot_claiming = FALSE;
	if (result == WRITE_WON)
		set_slot(h, h->slot_wanted);
	/* If the answer was lost, the next scan shows who holds the slot. */
	mirror_scan(&h->mirror);
}

static void
claim(host_t *h, uint16_t slot, const mirror_row_t *row)
{
	const slot_row_t value = {h->settings.id, h->incarnation};
	char *key = slots_row_key(slot);
	char *text = rows_encode(&row_slot, &value);
	const store_check_t check = {key, row != NULL ? row->version : 0};
	const store_write_t write = {key, text};

	h->slot_claiming = TRUE;
	h->slot_wanted = slot;
	fenced_write(h, &check, 1, &write, 1, on_claimed, h);
	free(text);
	g_free(key);
}

void
slots_tick(host_t *h, msec_t now)
{
	const mirror_row_t *row;
	uint16_t slot;
	char *key;

	if (h->slot != SLOT_NONE || h->slot_claiming || now < h->slot_at ||
	    h->phase != HOST_SERVING || h->mirror.version < h->row_version ||
	    !roster_eligible(&h->roster, now))
		return;
	h->slot_at = now + CLAIM_PERIOD_MS;
	for (slot = 0; slot < h->catalog.caps.hosts; slot++) {
		key = slots_row_key(slot);
		row = mirror_get(&h->mirror, key);
		g_free(key);
		if (is_ours(h, row)) {
			set_slot(h, slot);
			return;
		}
		if (is_free(h, slot, row, now)) {
			claim(h, slot, row);
			return;
		}
	}
}
