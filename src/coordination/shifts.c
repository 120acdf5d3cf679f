#include <string.h>

#include "coordination/shifts_internal.h"
#include "coordination/store_era.h"

/* Number of windows over which a good version is judged bad with at most the
 * given probability. */
#define WINDOWS 100
#define FALSE_ALARM_PROBABILITY 0.01
/* Versions that were rolled back and are kept in a row, besides the last. */
#define WITHDRAWN_MAX 7

static void
row_clear(shift_row_t *row)
{
	g_free(row->to);
	g_free(row->withdrawn);
	memset(row, 0, sizeof(*row));
}

static void
shift_free(void *p)
{
	shift_t *shift = p;

	g_free(shift->service);
	g_free(shift->to);
	g_free(shift->next_withdrawn);
	row_clear(&shift->row);
	g_ptr_array_free(shift->old_versions, TRUE);
	judge_feed_finish(&shift->feed);
	g_free(shift);
}

static void
free_table(void *p)
{
	g_hash_table_destroy(p);
}

void
shifts_init(shifts_t *s)
{
	s->copy_end = 0;
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

/* Resets the judgement: what was counted for another version does not apply. */
static void
reset_judgement(shift_t *shift, const char *to)
{
	judge_feed_finish(&shift->feed);
	judge_feed_init(&shift->feed, FLEET_SHIFT_ROUTES);
	judge_init(&shift->judge, FLEET_SHIFT_ROUTES, WINDOWS,
	    FALSE_ALARM_PROBABILITY);
	memset(&shift->own, 0, sizeof(shift->own));
	shift->own.service = (uint32_t)registry_hash(shift->service);
	shift->own.to = (uint32_t)registry_hash(to);
	shift->rejected = FALSE;
	memset(&shift->seen, 0, sizeof(shift->seen));
	shift->had_requests = FALSE;
	shift->counted_from = 0;
	shift->may_grow = FALSE;
	shift->due_since = 0;
	shift->written_at = 0;
	g_ptr_array_set_size(shift->old_versions, 0);
}

static shift_t *
get(shifts_t *s, const char *service)
{
	shift_t *shift = find(s, service);

	if (shift != NULL)
		return shift;
	shift = g_new0(shift_t, 1);
	shift->service = g_strdup(service);
	shift->old_versions = g_ptr_array_new_with_free_func(g_free);
	judge_feed_init(&shift->feed, FLEET_SHIFT_ROUTES);
	g_hash_table_insert(s->by_service, shift->service, shift);
	return shift;
}

/* The ordered version, or the row's if the order was removed. */
const char *
shift_target(const shift_t *shift)
{
	if (shift->to != NULL)
		return shift->to;
	return shift->has_row ? shift->row.to : NULL;
}

gboolean
shift_row_holds(const shift_t *shift)
{
	return shift->has_row &&
	    (shift->to == NULL || strcmp(shift->to, shift->row.to) == 0);
}

static gboolean
is_listed(const char *lines, const char *version)
{
	char **all = g_strsplit(lines != NULL ? lines : "", "\n", -1);
	gboolean listed = g_strv_contains((const char *const *)all, version);

	g_strfreev(all);
	return listed;
}

gboolean
shift_is_withdrawn(const shift_t *shift, const char *version)
{
	if (!shift->has_row || strcmp(version, shift_target(shift)) == 0)
		return FALSE;
	/* Until the row of the next order is written, this host may not have
	 * read yet that the version was rolled back. */
	return (shift->row.state != SHIFT_COMPLETED &&
		   strcmp(version, shift->row.to) == 0) ||
	    (shift->row.withdrawn != NULL &&
		is_listed(shift->row.withdrawn, version));
}

/* An operator that orders a version again wants it judged anew. */
char *
shift_next_withdrawn(shift_t *shift)
{
	GString *next = g_string_new(NULL);
	char **earlier =
	    g_strsplit(shift->has_row && shift->row.withdrawn != NULL
		    ? shift->row.withdrawn
		    : "",
		"\n", -1);
	guint n = g_strv_length(earlier), i;

	for (i = n > WITHDRAWN_MAX ? n - WITHDRAWN_MAX : 0; i < n; i++) {
		if (*earlier[i] != '\0' && strcmp(earlier[i], shift->to) != 0)
			g_string_append_printf(next, "%s%s",
			    next->len > 0 ? "\n" : "", earlier[i]);
	}
	g_strfreev(earlier);
	if (shift->has_row && shift->row.state == SHIFT_ROLLED_BACK &&
	    strcmp(shift->row.to, shift->to) != 0)
		g_string_append_printf(
		    next, "%s%s", next->len > 0 ? "\n" : "", shift->row.to);
	g_free(shift->next_withdrawn);
	shift->next_withdrawn = g_string_free(next, next->len == 0);
	return shift->next_withdrawn;
}

static void
note_old_versions(shifts_t *s, shift_t *shift)
{
	GHashTable *known = g_hash_table_lookup(s->versions, shift->service);
	GHashTableIter it;
	gpointer version;

	if (known == NULL)
		return;
	g_hash_table_iter_init(&it, known);
	while (g_hash_table_iter_next(&it, &version, NULL)) {
		if (strcmp(version, shift_target(shift)) != 0)
			g_ptr_array_add(shift->old_versions, g_strdup(version));
	}
}

void
shifts_order(
    shifts_t *s, const char *service, const char *to, msec_t duration_ms)
{
	shift_t *shift = get(s, service);

	shift->duration_ms = duration_ms;
	if (g_strcmp0(shift->to, to) == 0)
		return;
	g_free(shift->to);
	shift->to = g_strdup(to);
	reset_judgement(shift, to);
	note_old_versions(s, shift);
}

void
shifts_remove_order(shifts_t *s, const char *service)
{
	shift_t *shift = find(s, service);

	if (shift == NULL)
		return;
	g_free(shift->to);
	shift->to = NULL;
}

/* Whether a row of a newer era undoes a decision that is known: the copy of the
 * store is older than it. */
static gboolean
undoes(const shifts_t *s, const shift_t *shift, const shift_row_t *row,
    uint64_t row_ver)
{
	if (!shift->has_row || row == NULL ||
	    store_era_of(row_ver) == store_era_of(shift->row_ver))
		return FALSE;
	if (strcmp(row->to, shift->row.to) == 0)
		return row->state == SHIFT_RUNNING &&
		    shift->row.state != SHIFT_RUNNING;
	return row_ver <= s->copy_end && shift->to != NULL &&
	    strcmp(shift->to, shift->row.to) == 0;
}

void
shifts_row_lost(shifts_t *s, const char *service, uint64_t stored)
{
	shift_t *shift = find(s, service);

	if (shift == NULL || !shift->has_row)
		return;
	shift->row_ver = stored;
	shift->rewrite = TRUE;
}

void
shifts_apply_row(
    shifts_t *s, const char *service, const shift_row_t *row, uint64_t row_ver)
{
	shift_t *shift = get(s, service);

	if (row_ver <= shift->row_ver)
		return;
	if (undoes(s, shift, row, row_ver)) {
		shift->row_ver = row_ver;
		shift->rewrite = TRUE;
		return;
	}
	row_clear(&shift->row);
	shift->rewrite = FALSE;
	shift->row_ver = row_ver;
	shift->has_row = row != NULL;
	shift->due_since = 0;
	shift->written_at = 0;
	if (row == NULL) {
		shift->row_ver = 0;
		return;
	}
	if (shift->own.to != (uint32_t)registry_hash(row->to) &&
	    shift->to == NULL) {
		reset_judgement(shift, row->to);
	}
	shift->row = *row;
	shift->row.to = g_strdup(row->to);
	shift->row.withdrawn = g_strdup(row->withdrawn);
}

void
shifts_note_version(
    shifts_t *s, const backend_t *b, gboolean at_start, msec_t now)
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
current_share(const shift_t *shift, msec_t store_now)
{
	if (!shift_row_holds(shift) || shift->rejected ||
	    shift->row.state == SHIFT_ROLLED_BACK)
		return 0;
	if (shift->row.state == SHIFT_COMPLETED)
		return SHARE_ONE;
	if (!shift->may_grow)
		store_now = shift->row.began;
	return version_shift_share(
	    store_now - shift->row.began, shift->row.duration_ms);
}

shift_cohort_t
shifts_cohort(
    const shifts_t *s, const char *service, uint64_t object, msec_t store_now)
{
	const shift_t *shift = find(s, service);
	share_t share;

	if (shift == NULL || shift_target(shift) == NULL)
		return SHIFT_COHORT_ANY;
	share = current_share(shift, store_now);
	if (share >= SHARE_ONE && shift->row.state == SHIFT_COMPLETED)
		return SHIFT_COHORT_ANY;
	/* Mixes the hash, so that the cohort doesn't depend on server ranks. */
	object = object * UINT64_C(0x9e3779b97f4a7c15) >> 20;
	return object % SHARE_ONE < share ? SHIFT_COHORT_NEW : SHIFT_COHORT_OLD;
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
is_old_version(const shift_t *shift, const char *version)
{
	return g_ptr_array_find_with_equal_func(
	    shift->old_versions, version, g_str_equal, NULL);
}

gboolean
shifts_allows(
    const shifts_t *s, const backend_t *b, shift_cohort_t cohort, msec_t now)
{
	const shift_t *shift = find(s, b->service->name);
	gboolean is_new;

	if (shift == NULL || shift_target(shift) == NULL)
		return !is_unordered(s, b, now);
	if (shift_is_withdrawn(shift, b->version))
		return FALSE;
	is_new = strcmp(b->version, shift_target(shift)) == 0;
	switch (cohort) {
	case SHIFT_COHORT_NEW:
		return is_new;
	case SHIFT_COHORT_OLD:
		return !is_new;
	case SHIFT_COHORT_ANY:
		break;
	}
	return is_new || !is_old_version(shift, b->version);
}

static shift_t *
running_shift(const shifts_t *s, const backend_t *b)
{
	shift_t *shift = find(s, b->service->name);

	if (shift == NULL || !shift_row_holds(shift) ||
	    shift->row.state != SHIFT_RUNNING)
		return NULL;
	return shift;
}

gboolean
shift_is_new(const shift_t *shift, const backend_t *b)
{
	return strcmp(b->version, shift->row.to) == 0;
}

/* Returns the counter of running requests for a server's version, or NULL. */
static uint32_t *
running_counter(shift_t *shift, const backend_t *b)
{
	if (shift == NULL || shift_target(shift) == NULL)
		return NULL;
	return strcmp(b->version, shift_target(shift)) == 0
	    ? &shift->own.new_running
	    : &shift->own.old_running;
}

void
shifts_sent(shifts_t *s, const backend_t *b)
{
	uint32_t *n = running_counter(find(s, b->service->name), b);

	if (n != NULL)
		(*n)++;
}

void
shifts_ended(shifts_t *s, const backend_t *b, const shift_sample_t *sample)
{
	shift_t *shift = find(s, b->service->name);
	uint32_t *n = running_counter(shift, b);
	judge_sample_t *cell;
	judge_count_t *count;

	if (n != NULL && *n > 0)
		(*n)--;
	shift = running_shift(s, b);
	if (shift == NULL || sample == NULL ||
	    shift_is_withdrawn(shift, b->version))
		return;
	cell = &shift->own.routes[sample->route % FLEET_SHIFT_ROUTES];
	count =
	    shift_is_new(shift, b) ? &cell->new_version : &cell->old_version;
	count->requests++;
	count->bad[JUDGE_ERRORS] += sample->failed;
	count->bad[JUDGE_SLOW] += sample->slow;
}
