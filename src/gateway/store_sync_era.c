#include <string.h>

#include "base/log.h"
#include "gateway/store_sync_era.h"
#include "gateway/store_sync_write.h"

static void
relist(synced_table_t *t)
{
	gboolean started = t->own_call_at != 0;

	t->complete = FALSE;
	t->new_era = started;
	t->ver = 0;
	g_free(t->next_key);
	t->next_key = NULL;
	table_queue_clear(&t->for_peers);
	if (started)
		store_sync_restart_call(t);
}

gboolean
store_sync_check_era(store_sync_t *s, table_outcome_t *outcome)
{
	uint64_t before = s->era.era;
	int i;

	if (*outcome == TABLE_FAILED || *outcome == TABLE_UNKNOWN)
		return FALSE;
	switch (store_era_seen(&s->era, s->store.era)) {
	case STORE_ERA_SAME:
		return FALSE;
	case STORE_ERA_OLDER:
		log_event(LOG_WARN, "store.era_older", "known",
		    log_num((long long)s->era.era), "answer",
		    log_num((long long)s->store.era), NULL);
		*outcome = TABLE_FAILED;
		return FALSE;
	case STORE_ERA_NEWER:
		break;
	}
	log_event(LOG_WARN, "store.era_changed", "from",
	    log_num((long long)before), "to", log_num((long long)s->era.era),
	    NULL);
	s->counts.era_changes++;
	/* Entries that the copy lacks are written again by their servers. */
	s->lapse_until = MAX(s->lapse_until, clock_now() + REGISTRY_LAPSE_MS);
	for (i = 0; i < SYNCED_TABLES; i++)
		relist(&s->tables[i]);
	return TRUE;
}

void
store_sync_begin_page(synced_table_t *t, const table_page_t *page)
{
	view_t *v = t->sync->view;

	/* Rows that are written after the first page are no copies. */
	if (!t->new_era || t->view.listed_ver != 0)
		return;
	if (t->kind == SYNCED_SERVERS)
		v->registry.copy_end = page->ver;
	if (t->kind == SYNCED_FLEET)
		v->shifts.copy_end = page->ver;
}

void
store_sync_count_rewrite(store_sync_t *s, const char *key)
{
	s->counts.rows_rewritten++;
	log_event(LOG_INFO, "store.row_rewritten", "key", key, NULL);
}

static void
on_lost(void *arg, const char *key, uint64_t stored)
{
	synced_table_t *t = arg;
	store_sync_t *s = t->sync;

	log_event(LOG_INFO, "store.row_lost", "key", key, "stored",
	    log_num((long long)store_era_number(stored)), NULL);
	if (t->kind != SYNCED_FLEET)
		return;
	if (g_str_has_prefix(key, FLEET_KEY_SHIFT))
		shifts_row_lost(
		    &s->view->shifts, key + strlen(FLEET_KEY_SHIFT), stored);
	else if (strcmp(key, FLEET_KEY_SECRET) == 0)
		s->secret_ver = stored;
}

void
store_sync_era_listed(synced_table_t *t)
{
	store_sync_t *s = t->sync;
	char *own;

	if (!t->new_era)
		return;
	t->new_era = FALSE;
	table_view_lost(&t->view, on_lost, t);
	if (t->kind != SYNCED_FLEET || !s->view->joined)
		return;
	own = g_strconcat(FLEET_KEY_HOST, s->view->settings->id, NULL);
	if (!table_view_is_stored(&t->view, own)) {
		s->row_due = TRUE;
		store_sync_count_rewrite(s, own);
	}
	g_free(own);
	s->secret_due =
	    s->has_secret && !table_view_is_stored(&t->view, FLEET_KEY_SECRET);
	if (s->row_due || s->secret_due)
		store_sync_write_soon(s);
}

void
store_sync_add_metrics(store_sync_t *s, metrics_t *m)
{
	store_sync_counts_t *c = &s->counts;

	c->gaps_id = metrics_add(m, METRIC_COUNTER, "store_gaps_total",
	    "times that changes of a table were missed and noticed");
	c->gaps_closed_id = metrics_add(m, METRIC_COUNTER,
	    "store_gaps_closed_total", "times that these were read");
	c->era_id = metrics_add(m, METRIC_GAUGE, "store_era",
	    "era of the store; it grows when the store returns from a copy");
	c->era_changes_id = metrics_add(m, METRIC_COUNTER,
	    "store_era_changes_total", "changes of the era that were noticed");
	c->rows_rewritten_id =
	    metrics_add(m, METRIC_COUNTER, "store_rows_rewritten_total",
		"rows that the store lost and this host wrote again");
}

void
store_sync_set_metrics(const store_sync_t *s, metrics_t *m)
{
	const store_sync_counts_t *c = &s->counts;

	metrics_set(m, c->gaps_id, (int64_t)c->gaps);
	metrics_set(m, c->gaps_closed_id, (int64_t)c->gaps_closed);
	metrics_set(m, c->era_id, (int64_t)s->era.era);
	metrics_set(m, c->era_changes_id, (int64_t)c->era_changes);
	metrics_set(m, c->rows_rewritten_id, (int64_t)c->rows_rewritten);
}
