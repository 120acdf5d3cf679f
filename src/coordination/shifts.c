#include <string.h>

#include "coordination/shift_one.h"

/* Windows over which a good version is hardly ever called bad, and the
 * probability of it. */
#define WINDOWS 100
#define FALSE_ALARM 0.01

static void
row_clear(shift_row_t *row)
{
	g_free(row->to);
	memset(row, 0, sizeof(*row));
}

static void
shift_free(void *p)
{
	shift_t *m = p;

	g_free(m->service);
	g_free(m->to);
	row_clear(&m->row);
	g_ptr_array_free(m->old_versions, TRUE);
	judge_feed_finish(&m->feed);
	g_free(m);
}

static void
free_table(void *p)
{
	g_hash_table_destroy(p);
}

void
shifts_init(shifts_t *s)
{
	s->by_service =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, shift_free);
	s->versions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_table);
}

void
shifts_finish(shifts_t *s)
{
	g_hash_table_destroy(s->by_service);
	g_hash_table_destroy(s->versions);
}

static shift_t *
find(const shifts_t *s, const char *service)
{
	return g_hash_table_lookup(s->by_service, service);
}

/* What was learnt of another version says nothing of this one. */
static void
forget(shift_t *m, const char *to)
{
	judge_feed_finish(&m->feed);
	judge_feed_init(&m->feed, FLEET_SHIFT_ROUTES);
	judge_init(&m->judge, FLEET_SHIFT_ROUTES, WINDOWS, FALSE_ALARM);
	memset(&m->own, 0, sizeof(m->own));
	m->own.service = (uint32_t)registry_hash(m->service);
	m->own.to = (uint32_t)registry_hash(to);
	m->bad = FALSE;
	m->clear = FALSE;
	m->due_since = 0;
	m->written_at = 0;
	g_ptr_array_set_size(m->old_versions, 0);
}

static shift_t *
get(shifts_t *s, const char *service)
{
	shift_t *m = find(s, service);

	if (m != NULL)
		return m;
	m = g_new0(shift_t, 1);
	m->service = g_strdup(service);
	m->old_versions = g_ptr_array_new_with_free_func(g_free);
	judge_feed_init(&m->feed, FLEET_SHIFT_ROUTES);
	g_hash_table_insert(s->by_service, m->service, m);
	return m;
}

/* The version that the move is to: of the row if it is of this order. */
const char *
shift_target(const shift_t *m)
{
	if (m->to != NULL)
		return m->to;
	return m->has_row ? m->row.to : NULL;
}

/* The row speaks of the present order. */
gboolean
shift_row_holds(const shift_t *m)
{
	return m->has_row && (m->to == NULL || strcmp(m->to, m->row.to) == 0);
}

static void
note_old_versions(shifts_t *s, shift_t *m)
{
	GHashTable *known = g_hash_table_lookup(s->versions, m->service);
	GHashTableIter it;
	gpointer version;

	if (known == NULL)
		return;
	g_hash_table_iter_init(&it, known);
	while (g_hash_table_iter_next(&it, &version, NULL)) {
		if (strcmp(version, shift_target(m)) != 0)
			g_ptr_array_add(m->old_versions, g_strdup(version));
	}
}

void
shifts_order(
    shifts_t *s, const char *service, const char *to, msec_t duration_ms)
{
	shift_t *m = get(s, service);

	m->duration_ms = duration_ms;
	if (g_strcmp0(m->to, to) == 0)
		return;
	g_free(m->to);
	m->to = g_strdup(to);
	forget(m, to);
	note_old_versions(s, m);
}

void
shifts_unorder(shifts_t *s, const char *service)
{
	shift_t *m = find(s, service);

	if (m == NULL)
		return;
	g_free(m->to);
	m->to = NULL;
}

void
shifts_take_row(
    shifts_t *s, const char *service, const shift_row_t *row, uint64_t row_ver)
{
	shift_t *m = get(s, service);

	if (row_ver <= m->row_ver)
		return;
	row_clear(&m->row);
	m->row_ver = row_ver;
	m->has_row = row != NULL;
	m->due_since = 0;
	m->written_at = 0;
	if (row == NULL) {
		m->row_ver = 0;
		return;
	}
	if (m->own.to != (uint32_t)registry_hash(row->to) && m->to == NULL) {
		forget(m, row->to);
	}
	m->row = *row;
	m->row.to = g_strdup(row->to);
}

void
shifts_saw(shifts_t *s, const backend_t *b, gboolean at_start, msec_t now)
{
	GHashTable *known = g_hash_table_lookup(s->versions, b->service->name);
	msec_t *since;

	if (known == NULL) {
		known = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, g_free);
		g_hash_table_insert(
		    s->versions, g_strdup(b->service->name), known);
		at_start = TRUE;
	}
	if (g_hash_table_contains(known, b->version))
		return;
	since = g_new(msec_t, 1);
	*since = at_start ? now - SHIFTS_UNORDERED_MS : now;
	g_hash_table_insert(known, g_strdup(b->version), since);
}

static share_t
share_of(const shift_t *m, msec_t store_now)
{
	if (!shift_row_holds(m) || m->bad || m->row.state == SHIFT_ROLLED_BACK)
		return 0;
	if (m->row.state == SHIFT_COMPLETED)
		return SHARE_ONE;
	if (!m->clear)
		store_now = m->row.began;
	return version_shift_share(
	    store_now - m->row.began, m->row.duration_ms);
}

shift_lot_t
shifts_lot(
    const shifts_t *s, const char *service, uint64_t object, msec_t store_now)
{
	const shift_t *m = find(s, service);
	share_t share;

	if (m == NULL || shift_target(m) == NULL)
		return SHIFT_LOT_ANY;
	share = share_of(m, store_now);
	if (share >= SHARE_ONE && m->row.state == SHIFT_COMPLETED)
		return SHIFT_LOT_ANY;
	/* The hash is salted, so that ranks of servers don't follow from it. */
	object = object * UINT64_C(0x9e3779b97f4a7c15) >> 20;
	return object % SHARE_ONE < share ? SHIFT_LOT_FRESH : SHIFT_LOT_OLD;
}

static gboolean
is_unordered(const shifts_t *s, const backend_t *b, msec_t now)
{
	GHashTable *known = g_hash_table_lookup(s->versions, b->service->name);
	const msec_t *since =
	    known != NULL ? g_hash_table_lookup(known, b->version) : NULL;

	return since != NULL && now - *since < SHIFTS_UNORDERED_MS;
}

static gboolean
is_old(const shift_t *m, const char *version)
{
	return g_ptr_array_find_with_equal_func(
	    m->old_versions, version, g_str_equal, NULL);
}

gboolean
shifts_allows(
    const shifts_t *s, const backend_t *b, shift_lot_t lot, msec_t now)
{
	const shift_t *m = find(s, b->service->name);
	gboolean fresh;

	if (m == NULL || shift_target(m) == NULL)
		return !is_unordered(s, b, now);
	fresh = strcmp(b->version, shift_target(m)) == 0;
	switch (lot) {
	case SHIFT_LOT_FRESH:
		return fresh;
	case SHIFT_LOT_OLD:
		return !fresh;
	case SHIFT_LOT_ANY:
		break;
	}
	return fresh || !is_old(m, b->version);
}

static shift_t *
running(const shifts_t *s, const backend_t *b)
{
	shift_t *m = find(s, b->service->name);

	if (m == NULL || !shift_row_holds(m) || m->row.state != SHIFT_RUNNING)
		return NULL;
	return m;
}

gboolean
shift_is_fresh(const shift_t *m, const backend_t *b)
{
	return strcmp(b->version, m->row.to) == 0;
}

/* Where requests at a server are counted, or NULL. */
static uint32_t *
running_count(shift_t *m, const backend_t *b)
{
	if (m == NULL || shift_target(m) == NULL)
		return NULL;
	return strcmp(b->version, shift_target(m)) == 0 ? &m->own.fresh_running
							: &m->own.old_running;
}

void
shifts_sent(shifts_t *s, const backend_t *b)
{
	uint32_t *n = running_count(find(s, b->service->name), b);

	if (n != NULL)
		(*n)++;
}

void
shifts_ended(shifts_t *s, const backend_t *b, const shift_sample_t *sample)
{
	shift_t *m = find(s, b->service->name);
	uint32_t *n = running_count(m, b);
	judge_sample_t *cell;
	judge_count_t *count;

	if (n != NULL && *n > 0)
		(*n)--;
	m = running(s, b);
	if (m == NULL || sample == NULL)
		return;
	cell = &m->own.routes[sample->route % FLEET_SHIFT_ROUTES];
	count = shift_is_fresh(m, b) ? &cell->fresh : &cell->peer;
	count->requests++;
	count->bad[JUDGE_ERRORS] += sample->failed;
	count->bad[JUDGE_SLOW] += sample->slow;
}
