#include <string.h>

#include "coordination/key_sync.h"

void
key_sync_init(key_sync_t *s, replica_t self)
{
	memset(s, 0, sizeof(*s));
	s->self = self;
	keys_init(&s->keys);
	freshness_init(&s->fresh);
	roster_view_init(&s->view);
	withdrawals_init(&s->withdrawals);
}

void
key_sync_finish(key_sync_t *s)
{
	withdrawals_finish(&s->withdrawals);
	roster_view_finish(&s->view);
	keys_finish(&s->keys);
}

static void
merge_all(key_sync_t *s, const key_row_t *rows, guint n)
{
	guint i;

	for (i = 0; i < n; i++)
		keys_merge(&s->keys, &rows[i]);
}

static void
apply_roster(key_sync_t *s, const key_sync_scan_t *scan, msec_t now)
{
	if (scan->upto < s->view_version)
		return;
	s->view_version = scan->upto;
	roster_view_read(
	    &s->view, scan->roster, scan->nroster, scan->sent, now);
	/* A host that left may have withdrawn keys up to this version. */
	freshness_require(&s->fresh, scan->upto);
	if (scan->joined != 0)
		freshness_joined(&s->fresh, scan->joined);
	else if (s->fresh.joined != 0)
		freshness_stop(&s->fresh);
}

void
key_sync_scanned(key_sync_t *s, const key_sync_scan_t *scan, msec_t now)
{
	merge_all(s, scan->rows, scan->nrows);
	keys_merged_range(&s->keys, scan->since, scan->upto);
	apply_roster(s, scan, now);
	freshness_scanned(&s->fresh, &s->keys, scan->sent);
}

key_sync_status_t
key_sync_answer(const key_sync_t *s, replica_t asker, msec_t now)
{
	key_sync_status_t status = {.scan_age = -1};

	status.version = keys_complete(&s->keys);
	if (!roster_view_has(&s->view, asker))
		return status;
	status.scan_age = freshness_scan_age(&s->fresh, now);
	status.may_promise = freshness_loaded(&s->fresh, &s->keys) &&
	    withdrawals_may_promise(&s->withdrawals, asker, status.version);
	return status;
}

gboolean
key_sync_on_answer(key_sync_t *s, const key_sync_status_t *status, msec_t sent,
    msec_t promised_since)
{
	freshness_relayed(
	    &s->fresh, &s->keys, sent, status->scan_age, status->version);
	freshness_require(&s->fresh, status->version);
	freshness_promised(&s->fresh, &s->keys, promised_since);
	return status->version > keys_complete(&s->keys);
}

void
key_sync_fetched(key_sync_t *s, const key_row_t *rows, guint n, uint64_t since,
    uint64_t upto)
{
	merge_all(s, rows, n);
	keys_merged_range(&s->keys, since, upto);
}

void
key_sync_withdrawal_received(key_sync_t *s, const digest_t *digest)
{
	key_row_t row = {.digest = *digest, .withdrawn = TRUE};

	keys_merge(&s->keys, &row);
}

void
key_sync_peer_departed(key_sync_t *s, uint64_t version)
{
	freshness_require(&s->fresh, version);
}

uint32_t
key_sync_withdraw(
    key_sync_t *s, const digest_t *digest, msec_t now, GArray *out)
{
	return withdrawals_start(
	    &s->withdrawals, &s->keys, digest, s->self, &s->view, now, out);
}

void
key_sync_tick(key_sync_t *s, gboolean eligible, msec_t now, GArray *out)
{
	withdrawals_tick(
	    &s->withdrawals, &s->keys, s->self, eligible, &s->view, now, out);
}
