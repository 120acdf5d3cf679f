#include <string.h>

#include "base/log.h"
#include "host/move_duty.h"
#include "host/moves.h"
#include "protocol/move_json.h"
#include "state/version_mix.h"

#define VERSIONS_MAX 8

void
moves_init(host_t *h)
{
	moves_t *m = g_new0(moves_t, 1);

	move_host_init(&m->in_force);
	m->counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
	    (GDestroyNotify)g_hash_table_destroy);
	m->splits =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	m->held = g_ptr_array_new();
	m->remaining = g_array_new(FALSE, TRUE, sizeof(share_t));
	h->moves = m;
}

void
moves_finish(host_t *h)
{
	moves_t *m = h->moves;

	move_duty_drop(h);
	g_ptr_array_free(m->held, TRUE);
	if (m->duty != NULL)
		duty_free(m->duty);
	g_hash_table_destroy(m->counts);
	g_hash_table_destroy(m->splits);
	g_array_free(m->remaining, TRUE);
	move_host_finish(&m->in_force);
	g_free(m);
}

void
moves_joined(host_t *h)
{
	h->moves->duty = duty_new(h, MOVES_DUTY);
	h->moves->duty->wanted = TRUE;
}

void
moves_apply(host_t *h, const move_row_t *row)
{
	if (!move_host_apply(&h->moves->in_force, row))
		return;
	log_event(LOG_INFO, "move.step", "move", row->id, "step",
	    log_num(row->step), "share", log_num(row->share), "state",
	    move_state_name(row->state), NULL);
	if (move_is_final(row))
		g_hash_table_remove(h->moves->counts, row->id);
}

static void
apply_row(host_t *h, const store_row_t *row)
{
	GError *err = NULL;
	move_row_t value;

	if (row->value == NULL) {
		move_host_forget(
		    &h->moves->in_force, row->key + strlen(ROWS_MOVE));
		return;
	}
	if (move_json_decode(row->value, &value, &err)) {
		moves_apply(h, &value);
		return;
	}
	log_event(LOG_ERROR, "move.row.unreadable", "row", row->key, "error",
	    err->message, NULL);
	g_error_free(err);
}

void
moves_scanned(host_t *h, const GArray *rows, msec_t sent_at)
{
	const store_row_t *row;
	guint i;

	for (i = 0; i < rows->len; i++) {
		row = &g_array_index(rows, store_row_t, i);
		if (g_str_has_prefix(row->key, ROWS_MOVE))
			apply_row(h, row);
	}
	if (h->moves->duty != NULL)
		duty_scanned(h->moves->duty, sent_at);
}

static GArray *
weights_of(const host_t *h, const char *service)
{
	GArray *w = g_array_new(FALSE, TRUE, sizeof(move_weight_t));

	move_weights(&h->moves->in_force, service, clock_now(), w);
	return w;
}

/* Share of an endpoint's requests that drains leave it. */
static share_t
remaining_share(const host_t *h, endpoint_id_t id)
{
	const endpoint_t *e = catalog_endpoint(&h->catalog, id);
	const char *domain = catalog_domain(&h->catalog, e->domain)->name;
	GArray *weights =
	    weights_of(h, catalog_service(&h->catalog, e->service)->name);
	const move_weight_t *w;
	uint64_t remaining = SHARE_ONE;
	guint i;

	for (i = 0; i < weights->len; i++) {
		w = &g_array_index(weights, move_weight_t, i);
		if ((w->scope == MOVE_ENDPOINT &&
			strcmp(w->from, e->name) == 0) ||
		    (w->scope == MOVE_DOMAIN && strcmp(w->from, domain) == 0))
			remaining =
			    remaining * (SHARE_ONE - w->share) / SHARE_ONE;
	}
	g_array_free(weights, TRUE);
	return (share_t)remaining;
}

static void
update_leaving(host_t *h)
{
	moves_t *m = h->moves;
	const endpoint_t *e;
	share_t remaining;
	guint i;

	g_array_set_size(m->remaining, 0);
	for (i = 0; i < h->catalog.endpoints->len; i++) {
		remaining = remaining_share(h, (endpoint_id_t)i);
		g_array_append_val(m->remaining, remaining);
		e = catalog_endpoint(&h->catalog, (endpoint_id_t)i);
		endpoint_stats_set_leaving(&h->stats, (endpoint_id_t)i,
		    remaining == 0 ||
			g_hash_table_contains(h->leaving, e->name));
	}
	m->remaining_version = h->catalog.version;
}

gboolean
moves_excludes(host_t *h, endpoint_id_t id)
{
	const char *name;
	split_t *split;
	share_t remaining;

	if (h->moves->remaining_version != h->catalog.version)
		update_leaving(h);
	remaining = g_array_index(h->moves->remaining, share_t, id);
	if (remaining == 0 || remaining == SHARE_ONE)
		return remaining == 0;
	name = catalog_endpoint(&h->catalog, id)->name;
	split = g_hash_table_lookup(h->moves->splits, name);
	if (split == NULL) {
		split = g_new0(split_t, 1);
		split_init(split);
		g_hash_table_insert(h->moves->splits, g_strdup(name), split);
	}
	split_set(split, 1, remaining);
	return split_pick(split) == SPLIT_BASE;
}

void
moves_tick(host_t *h, msec_t now)
{
	if (h->moves->duty != NULL)
		duty_tick(h->moves->duty, now);
	if (now < h->moves->tick_at)
		return;
	h->moves->tick_at = now + MOVE_RETRY_MS;
	update_leaving(h);
	move_duty_tick(h, now);
}

gboolean
moves_withholds(const host_t *h, const char *name)
{
	const char *holder = h->moves->duty != NULL
	    ? lease_withholds(&h->moves->duty->lease)
	    : NULL;

	return holder != NULL && strcmp(holder, name) == 0;
}

static version_share_t *
version_at(version_share_t *rows, unsigned int *n, const char *version)
{
	unsigned int i;

	for (i = 0; i < *n; i++) {
		if (strcmp(rows[i].version, version) == 0)
			return &rows[i];
	}
	if (*n == VERSIONS_MAX)
		return NULL;
	rows[*n] = (version_share_t){.version = version, .capped = TRUE};
	return &rows[(*n)++];
}

/* Computes the shares of a service's versions from the moves in force. */
static unsigned int
version_shares(
    const service_t *service, const GArray *weights, version_share_t *rows)
{
	version_share_t *from, *to;
	const move_weight_t *w;
	unsigned int i, n = 0;
	uint32_t moved;

	from = version_at(rows, &n, service->version);
	from->share_ppm = SHARE_WHOLE;
	from->capped = FALSE;
	for (i = 0; i < weights->len; i++) {
		w = &g_array_index(weights, move_weight_t, i);
		if (w->scope != MOVE_VERSION)
			continue;
		from = version_at(rows, &n, w->from);
		to = version_at(rows, &n, w->to);
		if (from == NULL || to == NULL)
			continue;
		moved = (uint32_t)((uint64_t)from->share_ppm * w->share /
		    SHARE_ONE);
		from->share_ppm -= moved;
		to->share_ppm += moved;
		/* A version that replaces the base version wholly also
		 * gets the requests that other versions can't take. */
		if (w->share == SHARE_ONE)
			to->capped = from->capped;
	}
	return n;
}

void
moves_set_version_shares(host_t *h, service_id_t service)
{
	const service_t *s = catalog_service(&h->catalog, service);
	version_share_t rows[VERSIONS_MAX];
	GArray *weights = weights_of(h, s->name);
	unsigned int n = version_shares(s, weights, rows);

	route_choice_versions(&h->routes, s->name, rows, n);
	g_array_free(weights, TRUE);
}

const char *
moves_base_version(const host_t *h, service_id_t service)
{
	const service_t *s = catalog_service(&h->catalog, service);
	version_share_t rows[VERSIONS_MAX];
	GArray *weights = weights_of(h, s->name);
	unsigned int i, best = 0, n = version_shares(s, weights, rows);

	for (i = 1; i < n; i++) {
		if (rows[i].share_ppm > rows[best].share_ppm)
			best = i;
	}
	g_array_free(weights, TRUE);
	return rows[best].version;
}
