#include <string.h>

#include "coordination/shifts.h"

/* Windows over which a good version is hardly ever called bad, and the
 * probability of it. */
#define WINDOWS 100
#define FALSE_ALARM 0.01
/* Time of a window. */
#define WINDOW_MS 500
/* For the store to answer before the same is written again. */
#define REWRITE_MS 1500

struct shift {
	char *service;
	char *to; /* ordered; NULL: the order is gone */
	msec_t duration_ms;
	gboolean has_row;
	shift_row_t row;
	uint64_t row_ver;
	GPtrArray *old_versions; /* in use when the move began */

	judge_t judge;
	judge_feed_t feed;
	msec_t window_at;
	fleet_shift_t own;
	gboolean bad;	/* found here; no more is sent, whatever the row says */
	gboolean clear; /* seen to be good: the share may grow */

	msec_t due_since; /* a row is to be written since; 0: none */
	msec_t written_at;
};

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
static const char *
target(const shift_t *m)
{
	if (m->to != NULL)
		return m->to;
	return m->has_row ? m->row.to : NULL;
}

/* The row speaks of the present order. */
static gboolean
row_holds(const shift_t *m)
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
		if (strcmp(version, target(m)) != 0)
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
	if (!row_holds(m) || m->bad || m->row.state == SHIFT_ROLLED_BACK)
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

	if (m == NULL || target(m) == NULL)
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

	if (m == NULL || target(m) == NULL)
		return !is_unordered(s, b, now);
	fresh = strcmp(b->version, target(m)) == 0;
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

	if (m == NULL || !row_holds(m) || m->row.state != SHIFT_RUNNING)
		return NULL;
	return m;
}

static gboolean
is_fresh(const shift_t *m, const backend_t *b)
{
	return strcmp(b->version, m->row.to) == 0;
}

/* Where requests at a server are counted, or NULL. */
static uint32_t *
running_count(shift_t *m, const backend_t *b)
{
	if (m == NULL || target(m) == NULL)
		return NULL;
	return strcmp(b->version, target(m)) == 0 ? &m->own.fresh_running
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
	count = is_fresh(m, b) ? &cell->fresh : &cell->peer;
	count->requests++;
	count->bad[JUDGE_ERRORS] += sample->failed;
	count->bad[JUDGE_SLOW] += sample->slow;
}

static void
report(shift_t *m, const char *host, uint64_t incarnation,
    const fleet_shift_t *told)
{
	judge_sample_t total[JUDGE_ROUTES_MAX][JUDGE_BANDS];
	guint i;

	memset(total, 0, sizeof(total));
	for (i = 0; i < FLEET_SHIFT_ROUTES; i++)
		total[i][0] = told->routes[i];
	judge_feed_report(&m->feed, host, incarnation,
	    (const judge_sample_t(*)[JUDGE_BANDS])total);
}

static const fleet_shift_t *
told_by(const fleet_host_t *h, const shift_t *m)
{
	guint i;

	for (i = 0; i < h->news.nshifts; i++) {
		if (h->news.shifts[i].service == m->own.service &&
		    h->news.shifts[i].to == m->own.to)
			return &h->news.shifts[i];
	}
	return NULL;
}

void
shifts_hear(shifts_t *s, const fleet_host_t *h)
{
	const fleet_shift_t *told;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->by_service);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		told = told_by(h, value);
		if (told != NULL)
			report(value, h->name, h->news.incarnation, told);
	}
}

static gboolean
is_over(const shift_t *m)
{
	return target(m) == NULL ||
	    (row_holds(m) && m->row.state != SHIFT_RUNNING);
}

void
shifts_tell(const shifts_t *s, fleet_news_t *news)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->by_service);
	while (news->nshifts < FLEET_SHIFTS_MAX &&
	    g_hash_table_iter_next(&it, NULL, &value)) {
		const shift_t *m = value;

		if (!is_over(m))
			news->shifts[news->nshifts++] = m->own;
	}
}

static void
sum_running(
    const shift_t *m, const fleet_t *f, msec_t now, guint *old, guint *fresh)
{
	const fleet_shift_t *told;
	guint i;

	*old = m->own.old_running;
	*fresh = m->own.fresh_running;
	for (i = 0; i < f->hosts->len; i++) {
		const fleet_host_t *h = g_ptr_array_index(f->hosts, i);

		told = fleet_is_heard(h, now) ? told_by(h, m) : NULL;
		if (told != NULL) {
			*old += told->old_running;
			*fresh += told->fresh_running;
		}
	}
}

static void
judge_on(shift_t *m, const fleet_t *f, msec_t now, msec_t store_now)
{
	shift_seen_t seen;
	guint old;

	if (now - m->window_at < WINDOW_MS)
		return;
	m->window_at = now;
	report(m, "", 0, &m->own);
	judge_feed_total(&m->feed, &seen.total);
	sum_running(m, f, now, &old, &seen.fresh_running);
	m->clear = version_shift_clear(
	    &seen, store_now - m->row.began, m->row.duration_ms);
	judge_feed_window(&m->feed, &m->judge);
	if (judge_verdict(&m->judge) == JUDGE_BAD)
		m->bad = TRUE;
}

static void
count_slots(
    const shift_t *m, const registry_t *r, shift_input_t *in, msec_t now)
{
	const registry_service_t *service = registry_service(r, m->service);
	guint i;

	for (i = 0; service != NULL && i < service->servers->len; i++) {
		const backend_t *b = g_ptr_array_index(service->servers, i);

		if (!backend_usable(b, now))
			continue;
		if (is_fresh(m, b))
			in->fresh_slots += b->slots;
		else
			in->peer_slots += b->slots;
	}
}

static shift_decision_t
decide(const shift_t *m, const registry_t *r, const fleet_t *f, msec_t now,
    msec_t store_now)
{
	shift_input_t in = {
	    .elapsed_ms = store_now - m->row.began,
	    .duration_ms = m->row.duration_ms,
	    .verdict = m->bad ? JUDGE_BAD : JUDGE_WAIT,
	    .clear = m->clear,
	};
	guint fresh_running;

	count_slots(m, r, &in, now);
	sum_running(m, f, now, &in.old_running, &fresh_running);
	return version_shift_decide(&in);
}

/* Return: whether a row is due. */
static gboolean
next_row(const shift_t *m, const registry_t *r, const fleet_t *f, msec_t now,
    msec_t store_now, shift_row_t *row)
{
	if (m->to != NULL && !row_holds(m)) {
		*row = (shift_row_t){
		    .to = m->to,
		    .began = store_now,
		    .duration_ms = m->duration_ms,
		    .state = SHIFT_RUNNING,
		};
		return TRUE;
	}
	if (is_over(m))
		return FALSE;
	*row = m->row;
	switch (decide(m, r, f, now, store_now)) {
	case SHIFT_COMPLETE:
		row->state = SHIFT_COMPLETED;
		return TRUE;
	case SHIFT_TAKE_BACK:
		row->state = SHIFT_ROLLED_BACK;
		return TRUE;
	case SHIFT_GO_ON:
		break;
	}
	return FALSE;
}

void
shifts_tick(shifts_t *s, const registry_t *r, const fleet_t *f, msec_t now,
    msec_t store_now, GArray *writes)
{
	shift_write_t write;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->by_service);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		shift_t *m = value;

		memset(&write, 0, sizeof(write));
		if (!is_over(m) && row_holds(m))
			judge_on(m, f, now, store_now);
		if (!next_row(m, r, f, now, store_now, &write.row)) {
			m->due_since = 0;
			continue;
		}
		if (m->due_since == 0)
			m->due_since = now;
		if (now < version_shift_acts_at(
			      m->due_since, fleet_rank(f, now)) ||
		    (m->written_at != 0 && now - m->written_at < REWRITE_MS))
			continue;
		m->written_at = now;
		write.service = m->service;
		write.expected = m->has_row ? m->row_ver : 0;
		write.verdict = judge_verdict(&m->judge);
		g_array_append_val(writes, write);
	}
}
