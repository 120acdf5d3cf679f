#include <string.h>

#include "state/registry.h"

/* A report of load counts in full when it is new and for nothing after this
 * time: about one service time. */
#define REPORT_LIFE_MS 1000
/* Failures in a row after which a server that takes connections is ejected. */
#define FAILURES_MAX 4
/* First ejection; each further one lasts twice as long. */
#define EJECT_MS 1000
#define EJECT_MAX_MS 4000
/* An ejected server may have started anew: it is taken to be cold so long,
 * in which its next entry comes and says so. */
#define COLD_GUESS_MS 3000
/* Part of a new sample in the smoothed service time. */
#define SMOOTHING 0.2

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
unref_value(void *p)
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
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, unref_value);
	r->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
	r->gone =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	r->regions = regions;
}

void
registry_finish(registry_t *r)
{
	g_hash_table_destroy(r->services);
	g_hash_table_destroy(r->servers);
	g_hash_table_destroy(r->gone);
}

registry_service_t *
registry_service(const registry_t *r, const char *name)
{
	return g_hash_table_lookup(r->services, name);
}

static gint
by_id(gconstpointer a, gconstpointer b)
{
	return strcmp(
	    (*(backend_t *const *)a)->id, (*(backend_t *const *)b)->id);
}

static registry_service_t *
join_service(registry_t *r, const char *name)
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
drop(registry_t *r, backend_t *b)
{
	g_ptr_array_remove(b->service->servers, b);
	b->listed = FALSE;
	g_hash_table_remove(r->servers, b->id);
}

static backend_t *
add(registry_t *r, const registry_row_t *row)
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
	b->service = join_service(r, row->service);
	g_ptr_array_add(b->service->servers, b);
	g_ptr_array_sort(b->service->servers, by_id);
	g_hash_table_insert(r->servers, b->id, b);
	return b;
}

/* A start of its own: nothing known of the server before holds. */
static gboolean
is_another(const backend_t *b, const registry_row_t *row)
{
	return b->born != row->born || strcmp(b->address, row->address) != 0 ||
	    strcmp(b->service->name, row->service) != 0 ||
	    strcmp(b->domain, row->domain) != 0 ||
	    strcmp(b->version, row->version) != 0;
}

static gboolean
removed_later(const registry_t *r, const registry_row_t *row)
{
	const uint64_t *ver = g_hash_table_lookup(r->gone, row->id);

	return ver != NULL && *ver >= row->row_ver;
}

static gboolean
refresh(backend_t *b, const registry_row_t *row, msec_t now)
{
	gboolean was_cold = now < b->cold_until;
	gboolean was_draining = b->draining;

	b->row_ver = row->row_ver;
	b->slots = MAX(row->slots, 1);
	b->draining = row->draining;
	b->cold_until = row->cold_ms > 0 ? now + row->cold_ms : 0;
	b->lapsed_at = 0;
	return was_draining != b->draining || was_cold != (row->cold_ms > 0);
}

registry_change_t
registry_put(registry_t *r, const registry_row_t *row, msec_t now)
{
	backend_t *b = g_hash_table_lookup(r->servers, row->id);
	registry_change_t change = REGISTRY_NEW;

	if (removed_later(r, row))
		return REGISTRY_STALE;
	if (b != NULL && row->row_ver <= b->row_ver)
		return row->row_ver < b->row_ver ? REGISTRY_STALE
						 : REGISTRY_SAME;
	if (b != NULL && is_another(b, row)) {
		drop(r, b);
		b = NULL;
		change = REGISTRY_RESTART;
	}
	if (b == NULL) {
		b = add(r, row);
		b->born = row->born;
		refresh(b, row, now);
		return change;
	}
	if (!refresh(b, row, now))
		return REGISTRY_SAME;
	return REGISTRY_CHANGED;
}

static void
note_gone(registry_t *r, const char *id, uint64_t ver)
{
	uint64_t *at = g_new(uint64_t, 1);

	*at = ver;
	g_hash_table_insert(r->gone, g_strdup(id), at);
}

gboolean
registry_remove(
    registry_t *r, const char *id, uint64_t row_ver, gboolean away, msec_t now)
{
	backend_t *b = g_hash_table_lookup(r->servers, id);

	if (b != NULL && b->row_ver > row_ver)
		return FALSE;
	note_gone(r, id, row_ver);
	if (b == NULL)
		return FALSE;
	if (away && !b->draining) {
		if (b->lapsed_at == 0)
			b->lapsed_at = now;
		return TRUE;
	}
	drop(r, b);
	return TRUE;
}

void
registry_expire(registry_t *r, msec_t now)
{
	GPtrArray *over = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&it, r->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		backend_t *b = value;

		if (b->lapsed_at != 0 &&
		    now - b->lapsed_at >= REGISTRY_LAPSE_MS)
			g_ptr_array_add(over, b);
	}
	for (i = 0; i < over->len; i++)
		drop(r, g_ptr_array_index(over, i));
	g_ptr_array_free(over, TRUE);
}

double
backend_load(const backend_t *b, msec_t now)
{
	double others = b->peers;
	msec_t age = now - b->reported_at;

	if (b->reported_at != 0 && age < REPORT_LIFE_MS)
		others = MAX(
		    others, b->reported * (1.0 - (double)age / REPORT_LIFE_MS));
	return b->own + others;
}

void
backend_report(backend_t *b, uint32_t running, msec_t now)
{
	b->reported = running > b->own ? running - b->own : 0;
	b->reported_at = now;
}

void
backend_failed(backend_t *b, gboolean unreachable, msec_t now)
{
	uint32_t over;
	msec_t out;

	b->failures++;
	if (!unreachable && b->failures < FAILURES_MAX)
		return;
	over =
	    MIN(unreachable ? b->failures - 1 : b->failures - FAILURES_MAX, 2);
	out = MIN(EJECT_MS << over, EJECT_MAX_MS);
	b->out_until = MAX(b->out_until, now + out);
	b->cold_guess_until = b->out_until + COLD_GUESS_MS;
}

void
backend_answered(backend_t *b, msec_t took_ms, double load)
{
	/* Those before it had to end first, as many at once as it has slots. */
	double sample = (double)took_ms / MAX(1, (load + 1) / b->slots);

	b->failures = 0;
	b->out_until = 0;
	if (b->service_ms <= 0)
		b->service_ms = sample;
	else
		b->service_ms += SMOOTHING * (sample - b->service_ms);
}

gboolean
backend_is_cold(const backend_t *b, msec_t now)
{
	return now < MAX(b->cold_until, b->cold_guess_until);
}

gboolean
backend_usable(const backend_t *b, msec_t now)
{
	if (!b->listed || b->draining || now < b->out_until)
		return FALSE;
	return b->out_until == 0 || b->own == 0;
}
