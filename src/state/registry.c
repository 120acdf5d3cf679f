#include <string.h>

#include "state/registry.h"

/* The weight of a load report falls from 1 to 0 within this time, which is
 * about one service time. */
#define REPORT_MAX_AGE_MS 1000
/* A server that accepts connections is ejected after this many failures in a
 * row. */
#define EJECT_FAILURES 4
/* Length of the first ejection; each further one is twice as long, at most
 * EJECT_MAX_MS. */
#define EJECT_MS 1000
#define EJECT_MAX_MS 4000
/* An ejected server may have been restarted, and one that asked for a pause had
 * too many requests. It counts as cold for this time afterwards. Its next entry
 * arrives within that time and says whether it is cold. */
#define COLD_ASSUMED_MS 3000
/* The word of a server whose entry was removed is kept for this time: longer
 * than a store is usually unreachable, after which entries come back. */
#define WORD_KEEP_MS 60000
#define WORDS_MAX 1024
/* An entry that moves the end of the warm-up by more is a change. */
#define COLD_CHANGE_MS 500
/* Weight of a new sample in the smoothed service time. */
#define SERVICE_MS_SMOOTHING 0.2

uint64_t
registry_hash(const char *text)
{
	uint64_t h = UINT64_C(0xcbf29ce484222325);

	for (; *text != '\0'; text++) {
		h ^= (unsigned char)*text;
		h *= UINT64_C(0x100000001b3);
	}
	h ^= h >> 33;
	h *= UINT64_C(0xff51afd7ed558ccd);
	return h ^ (h >> 33);
}

backend_t *
backend_ref(backend_t *b)
{
	b->refs++;
	return b;
}

void
backend_unref(backend_t *b)
{
	if (--b->refs > 0)
		return;
	g_free(b->id);
	g_free(b->address);
	g_free(b->domain);
	g_free(b->region);
	g_free(b->version);
	g_free(b);
}

static void
unref_backend(void *p)
{
	backend_unref(p);
}

static void
service_free(void *p)
{
	registry_service_t *s = p;

	g_ptr_array_free(s->servers, TRUE);
	g_free(s->name);
	g_free(s);
}

void
registry_init(registry_t *r, GHashTable *regions)
{
	r->servers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, unref_backend);
	r->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
	r->removed =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	r->words = g_array_new(FALSE, FALSE, sizeof(registry_word_t));
	r->copy_end = 0;
	r->regions = regions;
}

void
registry_finish(registry_t *r)
{
	g_hash_table_destroy(r->services);
	g_hash_table_destroy(r->servers);
	g_hash_table_destroy(r->removed);
	g_array_free(r->words, TRUE);
}

registry_service_t *
registry_service(const registry_t *r, const char *name)
{
	return g_hash_table_lookup(r->services, name);
}

static gint
compare_ids(gconstpointer a, gconstpointer b)
{
	return strcmp(
	    (*(backend_t *const *)a)->id, (*(backend_t *const *)b)->id);
}

static registry_service_t *
find_or_add_service(registry_t *r, const char *name)
{
	registry_service_t *s = registry_service(r, name);

	if (s != NULL)
		return s;
	s = g_new0(registry_service_t, 1);
	s->name = g_strdup(name);
	s->servers = g_ptr_array_new();
	g_hash_table_insert(r->services, s->name, s);
	return s;
}

static void
keep_word(registry_t *r, const backend_t *b, msec_t now)
{
	const registry_word_t kept = {
	    b->seed, registry_hash(b->address), b->born, b->word, now};

	if (!b->word.leaving && server_word_pause_left(&b->word, now) == 0)
		return;
	if (r->words->len == WORDS_MAX)
		g_array_remove_index(r->words, 0);
	g_array_append_val(r->words, kept);
}

/* An entry that comes back without a new start of its server. */
static void
restore_word(registry_t *r, backend_t *b)
{
	guint i;

	for (i = r->words->len; i > 0; i--) {
		const registry_word_t *kept =
		    &g_array_index(r->words, registry_word_t, i - 1);

		if (kept->seed == b->seed && kept->born == b->born &&
		    kept->address == registry_hash(b->address)) {
			b->word = kept->word;
			return;
		}
	}
}

static void
remove_backend(registry_t *r, backend_t *b, msec_t now)
{
	keep_word(r, b, now);
	g_ptr_array_remove(b->service->servers, b);
	b->listed = FALSE;
	g_hash_table_remove(r->servers, b->id);
}

static backend_t *
add_backend(registry_t *r, const registry_row_t *row)
{
	backend_t *b = g_new0(backend_t, 1);
	const char *region = g_hash_table_lookup(r->regions, row->domain);

	b->refs = 1;
	b->id = g_strdup(row->id);
	b->address = g_strdup(row->address);
	b->domain = g_strdup(row->domain);
	b->region = g_strdup(region != NULL ? region : "");
	b->version = g_strdup(row->version);
	b->seed = registry_hash(row->id);
	b->listed = TRUE;
	b->service = find_or_add_service(r, row->service);
	g_ptr_array_add(b->service->servers, b);
	g_ptr_array_sort(b->service->servers, compare_ids);
	g_hash_table_insert(r->servers, b->id, b);
	return b;
}

/* Whether the row is of a new start, after which nothing known is valid. */
static gboolean
is_restart(const backend_t *b, const registry_row_t *row)
{
	return b->born != row->born || strcmp(b->address, row->address) != 0 ||
	    strcmp(b->service->name, row->service) != 0 ||
	    strcmp(b->domain, row->domain) != 0 ||
	    strcmp(b->version, row->version) != 0;
}

static gboolean
may_be_copy(const registry_t *r, const registry_row_t *row)
{
	return row->row_ver <= r->copy_end;
}

/* A live server writes its entry again within REGISTRY_LAPSE_MS, so a copy of
 * one that was removed is not needed. */
static gboolean
removed_since(const registry_t *r, const registry_row_t *row)
{
	const uint64_t *ver = g_hash_table_lookup(r->removed, row->id);

	return ver != NULL &&
	    (*ver >= row->row_ver ||
		(may_be_copy(r, row) &&
		    !g_hash_table_contains(r->servers, row->id)));
}

static gboolean
refresh(backend_t *b, const registry_row_t *row, gboolean copy, msec_t now)
{
	msec_t cold_until = row->cold_ms > 0 ? now + row->cold_ms : 0;
	gboolean was_cold = now < b->cold_until;
	gboolean was_draining = b->draining;
	gboolean moved = cold_until > b->cold_until + COLD_CHANGE_MS ||
	    (was_cold && cold_until < b->cold_until - COLD_CHANGE_MS);

	b->row_ver = row->row_ver;
	b->slots = MAX(row->slots, 1);
	b->draining = row->draining || (copy && was_draining);
	b->cold_until = cold_until;
	b->lapsed_until = 0;
	return was_draining != b->draining || was_cold != (row->cold_ms > 0) ||
	    moved;
}

registry_change_t
registry_put(registry_t *r, const registry_row_t *row, msec_t now)
{
	backend_t *b = g_hash_table_lookup(r->servers, row->id);
	registry_change_t change = REGISTRY_NEW;

	if (removed_since(r, row))
		return REGISTRY_STALE;
	if (b != NULL && row->row_ver <= b->row_ver)
		return row->row_ver < b->row_ver ? REGISTRY_STALE
						 : REGISTRY_SAME;
	if (b != NULL && may_be_copy(r, row) && row->born < b->born)
		return REGISTRY_STALE;
	if (b != NULL && is_restart(b, row)) {
		remove_backend(r, b, now);
		b = NULL;
		change = REGISTRY_RESTART;
	}
	if (b == NULL) {
		b = add_backend(r, row);
		b->born = row->born;
		restore_word(r, b);
		refresh(b, row, FALSE, now);
		return change;
	}
	if (!refresh(b, row, may_be_copy(r, row), now))
		return REGISTRY_SAME;
	return REGISTRY_CHANGED;
}

static void
record_removal(registry_t *r, const char *id, uint64_t ver)
{
	uint64_t *value = g_new(uint64_t, 1);

	*value = ver;
	g_hash_table_insert(r->removed, g_strdup(id), value);
}

gboolean
registry_remove(registry_t *r, const char *id, uint64_t row_ver,
    msec_t lapse_until, msec_t now)
{
	backend_t *b = g_hash_table_lookup(r->servers, id);

	if (b != NULL && b->row_ver > row_ver)
		return FALSE;
	record_removal(r, id, row_ver);
	if (b == NULL)
		return FALSE;
	if (lapse_until > now && !b->draining) {
		if (b->lapsed_until == 0)
			b->lapsed_until = lapse_until;
		return TRUE;
	}
	remove_backend(r, b, now);
	return TRUE;
}

void
registry_expire(registry_t *r, msec_t now)
{
	GPtrArray *expired = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&it, r->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		backend_t *b = value;

		if (b->lapsed_until != 0 && now >= b->lapsed_until)
			g_ptr_array_add(expired, b);
	}
	for (i = 0; i < expired->len; i++)
		remove_backend(r, g_ptr_array_index(expired, i), now);
	g_ptr_array_free(expired, TRUE);
	while (r->words->len > 0 &&
	    now - g_array_index(r->words, registry_word_t, 0).kept_at >=
		WORD_KEEP_MS)
		g_array_remove_index(r->words, 0);
}

double
backend_load(const backend_t *b, msec_t now)
{
	double others = b->peers;
	msec_t age = now - b->reported_at;

	if (b->reported_at != 0 && age < REPORT_MAX_AGE_MS)
		others = MAX(others,
		    b->reported * (1.0 - (double)age / REPORT_MAX_AGE_MS));
	return b->own + others;
}

void
backend_report(backend_t *b, uint32_t running, msec_t now)
{
	b->reported = running > b->own ? running - b->own : 0;
	b->reported_at = now;
}

gboolean
backend_limit(backend_t *b, double rate, msec_t at)
{
	gboolean changed = b->limit_at == 0 || b->limit_rate != rate;

	if (at < b->limit_at)
		return FALSE;
	b->limit_rate = rate;
	b->limit_at = at;
	return changed;
}

gboolean
backend_unlimit(backend_t *b)
{
	gboolean had = b->limit_at != 0;

	b->limit_at = 0;
	b->limited_until = 0;
	b->limit_offloaded = 0;
	return had;
}

uint64_t
backend_limit_id(const backend_t *b)
{
	return b->seed ^ ((uint64_t)b->born * UINT64_C(0x9e3779b97f4a7c15));
}

gboolean
backend_pause(backend_t *b, msec_t ms, msec_t now)
{
	gboolean is_new = server_word_pause(&b->word, ms, now);

	b->cold_assumed_until =
	    MAX(b->cold_assumed_until, b->word.pause_until + COLD_ASSUMED_MS);
	return is_new;
}

void
backend_failed(backend_t *b, gboolean unreachable, msec_t now)
{
	uint32_t repeats;
	msec_t eject_ms;

	b->failures++;
	if (!unreachable && b->failures < EJECT_FAILURES)
		return;
	repeats = MIN(
	    unreachable ? b->failures - 1 : b->failures - EJECT_FAILURES, 2);
	eject_ms = MIN(EJECT_MS << repeats, EJECT_MAX_MS);
	b->ejected_until = MAX(b->ejected_until, now + eject_ms);
	b->cold_assumed_until = b->ejected_until + COLD_ASSUMED_MS;
}

double
backend_run_ms(const backend_t *b, msec_t took_ms, double load)
{
	/* The requests before this one had to end first. The server runs as
	 * many at once as it has slots. */
	return (double)took_ms / MAX(1, (load + 1) / b->slots);
}

void
backend_answered(backend_t *b, msec_t took_ms, double load)
{
	double sample = backend_run_ms(b, took_ms, load);

	b->failures = 0;
	b->ejected_until = 0;
	if (b->service_ms <= 0)
		b->service_ms = sample;
	else
		b->service_ms +=
		    SERVICE_MS_SMOOTHING * (sample - b->service_ms);
}

gboolean
backend_is_cold(const backend_t *b, msec_t now)
{
	return now < MAX(b->cold_until, b->cold_assumed_until);
}

gboolean
backend_usable(const backend_t *b, msec_t now)
{
	if (!b->listed || b->draining || now < b->ejected_until ||
	    (b->lapsed_until != 0 && now >= b->lapsed_until) ||
	    !server_word_allows(&b->word, b->own, now))
		return FALSE;
	return b->ejected_until == 0 || b->own == 0;
}
