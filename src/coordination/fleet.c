#include <math.h>
#include <string.h>

#include "coordination/fleet.h"
#include "state/registry.h"

/* A longer time between two ticks is a pause of this process. */
#define PAUSE_MS 1000
/* Bandwidth that is as scarce as one core. */
#define MBPS_PER_CORE 400.0

static void
host_free(void *p)
{
	fleet_host_t *h = p;

	g_free(h->name);
	g_free(h->callers);
	g_free(h->peer);
	g_free(h->region);
	g_free(h->domain);
	g_free(h);
}

static void
domain_free(void *p)
{
	fleet_domain_t *d = p;

	fleet_summary_finish(&d->summary);
	g_free(d);
}

void
fleet_init(fleet_t *f, const char *self)
{
	guint i;

	memset(f, 0, sizeof(*f));
	f->self = registry_hash(self);
	f->region = g_strdup("");
	f->hosts = g_ptr_array_new_with_free_func(host_free);
	f->seeds = g_hash_table_new(g_int64_hash, g_int64_equal);
	f->departed = g_array_new(FALSE, FALSE, sizeof(fleet_departed_t));
	f->domains = g_ptr_array_new_with_free_func(domain_free);
	for (i = 0; i < FLEET_SENT_MAX; i++)
		fleet_status_init(&f->sent[i]);
}

void
fleet_finish(fleet_t *f)
{
	guint i;

	for (i = 0; i < FLEET_SENT_MAX; i++)
		fleet_status_finish(&f->sent[i]);
	g_ptr_array_free(f->domains, TRUE);
	g_array_free(f->departed, TRUE);
	g_hash_table_destroy(f->seeds);
	g_ptr_array_free(f->hosts, TRUE);
	g_free(f->region);
}

void
fleet_locate(fleet_t *f, const char *region, const char *domain, guint strength)
{
	g_free(f->region);
	f->region = g_strdup(region);
	f->domain = registry_hash(domain);
	f->strength = strength;
}

guint
fleet_strength(double link_mbps, double cpu_share)
{
	double scarcer = MIN(link_mbps, cpu_share * MBPS_PER_CORE);

	return scarcer < 1 ? 0 : (guint)log2(scarcer) + 1;
}

fleet_host_t *
fleet_find(const fleet_t *f, uint64_t seed)
{
	return g_hash_table_lookup(f->seeds, &seed);
}

static void
set_text(char **to, const char *from)
{
	if (g_strcmp0(*to, from) == 0)
		return;
	g_free(*to);
	*to = g_strdup(from);
}

static void
forget_departed(fleet_t *f, uint64_t seed)
{
	guint i;

	for (i = 0; i < f->departed->len; i++) {
		if (g_array_index(f->departed, fleet_departed_t, i).seed ==
		    seed) {
			g_array_remove_index_fast(f->departed, i);
			return;
		}
	}
}

void
fleet_put(fleet_t *f, const fleet_row_t *row, msec_t now)
{
	uint64_t seed = registry_hash(row->name);
	fleet_host_t *h = fleet_find(f, seed);

	if (seed == f->self || (h != NULL && h->row_ver >= row->row_ver))
		return;
	if (h == NULL) {
		h = g_new0(fleet_host_t, 1);
		h->name = g_strdup(row->name);
		h->seed = seed;
		h->known_at = now;
		g_ptr_array_add(f->hosts, h);
		g_hash_table_insert(f->seeds, &h->seed, h);
		f->generation++;
	}
	set_text(&h->callers, row->callers);
	set_text(&h->peer, row->peer);
	set_text(&h->region, row->region);
	set_text(&h->domain, row->domain);
	h->domain_seed = registry_hash(row->domain);
	h->joined_at = row->joined_at;
	forget_departed(f, seed);
	h->strength = row->strength;
	/* Its new start has to be heard again. */
	if (h->incarnation != row->incarnation)
		h->known_at = now;
	h->incarnation = row->incarnation;
	h->row_ver = row->row_ver;
}

gboolean
fleet_knows_newer(
    const fleet_t *f, const char *name, uint64_t incarnation, msec_t started_at)
{
	uint64_t seed = registry_hash(name);
	const fleet_host_t *h = fleet_find(f, seed);
	guint i;

	if (h != NULL)
		return h->incarnation > incarnation;
	for (i = 0; i < f->departed->len; i++) {
		const fleet_departed_t *d =
		    &g_array_index(f->departed, fleet_departed_t, i);

		if (d->seed == seed)
			return started_at <= d->left_at;
	}
	return FALSE;
}

void
fleet_remove(fleet_t *f, const char *name)
{
	fleet_host_t *h = fleet_find(f, registry_hash(name));

	forget_departed(f, registry_hash(name));
	if (h == NULL)
		return;
	g_hash_table_remove(f->seeds, &h->seed);
	g_ptr_array_remove(f->hosts, h);
	f->generation++;
}

void
fleet_depart(fleet_t *f, const char *name, msec_t joined_at, msec_t left_at)
{
	const fleet_departed_t d = {registry_hash(name), joined_at, left_at};

	fleet_remove(f, name);
	forget_departed(f, d.seed);
	if (d.seed != f->self)
		g_array_append_val(f->departed, d);
}

void
fleet_join(fleet_t *f, msec_t joined_at)
{
	f->joined = TRUE;
	f->joined_at = joined_at;
}

void
fleet_synced(fleet_t *f, msec_t at)
{
	/* Summaries of hosts whose rows are unknown are ignored. */
	if (f->synced_at == 0)
		f->listening_since = at;
	f->synced_at = MAX(f->synced_at, at);
}

void
fleet_tick(fleet_t *f, msec_t now)
{
	if (f->ticked_at != 0 && now - f->ticked_at > PAUSE_MS)
		f->listening_since = now;
	f->ticked_at = now;
}

gboolean
fleet_is_informed(const fleet_t *f, msec_t now)
{
	const fleet_domain_t *d;
	guint i;

	if (now - f->listening_since >= FLEET_DOMAIN_SILENT_MS)
		return TRUE;
	for (i = 0; i < f->hosts->len; i++) {
		const fleet_host_t *h = g_ptr_array_index(f->hosts, i);

		d = fleet_domain(f, h->domain_seed);
		if (d == NULL || d->heard_at < f->listening_since)
			return FALSE;
	}
	return TRUE;
}

void
fleet_sent(fleet_t *f, const fleet_status_t *status)
{
	fleet_status_copy(&f->sent[f->sent_next++ % FLEET_SENT_MAX], status);
}

static const fleet_status_t *
find_sent(const fleet_t *f, const fleet_ack_t *ack)
{
	guint i;

	for (i = 0; i < FLEET_SENT_MAX && ack->seq != 0; i++) {
		if (f->sent[i].seq == ack->seq &&
		    f->sent[i].incarnation == ack->incarnation)
			return &f->sent[i];
	}
	return NULL;
}

/*
 * Subtracts what this host reported and decides upon by itself. A collector
 * that has just taken over may have its predecessor's sums, which contain some
 * status of this host, but none of its statuses.
 */
static void
subtract_own(fleet_t *f, fleet_summary_t *s, const fleet_ack_t *ack)
{
	const fleet_status_t *own = find_sent(f, ack);
	const fleet_status_t *amounts = own;

	if (own == NULL && f->sent_next > 0)
		amounts = &f->sent[(f->sent_next - 1) % FLEET_SENT_MAX];
	if (amounts != NULL) {
		fleet_amounts_merge(
		    s->sums.demands, amounts->demands, FLEET_SUBTRACT);
		fleet_amounts_merge(
		    s->sums.loads, amounts->loads, FLEET_SUBTRACT);
	}
	if (own != NULL)
		fleet_shifts_merge(&s->sums, own, FLEET_SUBTRACT);
}

fleet_domain_t *
fleet_domain(const fleet_t *f, uint64_t seed)
{
	guint i;

	for (i = 0; i < f->domains->len; i++) {
		fleet_domain_t *d = g_ptr_array_index(f->domains, i);

		if (d->seed == seed)
			return d;
	}
	return NULL;
}

static fleet_domain_t *
domain_of(fleet_t *f, uint64_t seed)
{
	fleet_domain_t *d = fleet_domain(f, seed);

	if (d != NULL)
		return d;
	d = g_new0(fleet_domain_t, 1);
	d->seed = seed;
	fleet_summary_init(&d->summary);
	g_ptr_array_add(f->domains, d);
	return d;
}

gboolean
fleet_precedes(
    guint strength, uint64_t seed, guint other_strength, uint64_t other_seed)
{
	if (strength != other_strength)
		return strength > other_strength;
	return seed < other_seed;
}

gboolean
fleet_claim_precedes(const fleet_claim_t *a, const fleet_claim_t *b)
{
	if (a->listed > 2 * b->listed || b->listed > 2 * a->listed)
		return a->listed > b->listed;
	return fleet_precedes(a->strength, a->seed, b->strength, b->seed);
}

/* Whether the summary of a collector replaces the one in use. */
static gboolean
replaces(const fleet_domain_t *d, const fleet_summary_t *s, guint strength,
    msec_t now)
{
	const fleet_claim_t next = {s->listed, strength, s->sums.host};
	const fleet_claim_t used = {
	    d->summary.listed, d->source_strength, d->source};

	return d->heard_at == 0 || d->source == s->sums.host ||
	    now - d->heard_at >= FLEET_SOURCE_MS ||
	    fleet_claim_precedes(&next, &used);
}

static const fleet_listed_t *
find_listed(const fleet_summary_t *s, const fleet_host_t *h)
{
	uint32_t name = fleet_short_name(h->seed);
	guint i;

	for (i = 0; i < s->list->len; i++) {
		const fleet_listed_t *l =
		    &g_array_index(s->list, fleet_listed_t, i);

		if (l->name == name)
			return l;
	}
	return NULL;
}

/*
 * Applies the list of hosts. @in_use: the summary is the one in use, so that a
 * host that it lacks is silent.
 */
static void
apply_list(fleet_t *f, const fleet_summary_t *s, gboolean in_use, msec_t now)
{
	const fleet_listed_t *l;
	guint i;

	for (i = 0; i < f->hosts->len && s->has_list; i++) {
		fleet_host_t *h = g_ptr_array_index(f->hosts, i);

		if (h->domain_seed != s->domain)
			continue;
		l = find_listed(s, h);
		if (l != NULL) {
			h->heard_at = now;
			h->ready = l->ready;
			h->leaving = l->leaving;
			h->reaches_store = l->reaches_store;
		} else if (in_use) {
			h->heard_at = 0;
		}
	}
}

/* Whether the summary is newer than all earlier ones of its collector. */
static gboolean
is_newer(fleet_host_t *h, const fleet_summary_t *s)
{
	if (s->sums.incarnation < h->summary_incarnation ||
	    (s->sums.incarnation == h->summary_incarnation &&
		s->sums.seq <= h->summary_seq))
		return FALSE;
	h->summary_incarnation = s->sums.incarnation;
	h->summary_seq = s->sums.seq;
	return TRUE;
}

/* An unchanged list may have been omitted. */
static void
keep_list(fleet_domain_t *d, fleet_summary_t *s, gboolean same_source)
{
	GArray *list = s->list;

	if (s->has_list || !same_source || !d->summary.has_list ||
	    d->summary.list_ver != s->list_ver)
		return;
	s->list = d->summary.list;
	d->summary.list = list;
	s->has_list = TRUE;
}

fleet_domain_t *
fleet_receive(
    fleet_t *f, fleet_summary_t *summary, const fleet_ack_t *ack, msec_t now)
{
	gboolean own = summary->sums.host == f->self;
	fleet_host_t *source = fleet_find(f, summary->sums.host);
	guint strength = source != NULL ? source->strength : f->strength;
	fleet_summary_t known;
	fleet_domain_t *d;
	gboolean same;

	if (!own &&
	    (source == NULL || source->domain_seed != summary->domain ||
		!is_newer(source, summary)))
		return NULL;
	d = domain_of(f, summary->domain);
	if (!replaces(d, summary, strength, now)) {
		apply_list(f, summary, FALSE, now);
		return NULL;
	}
	same = d->heard_at != 0 && d->source == summary->sums.host &&
	    d->summary.sums.incarnation == summary->sums.incarnation;
	keep_list(d, summary, same);
	if (summary->domain == f->domain)
		subtract_own(f, summary, ack);
	known = d->summary;
	d->summary = *summary;
	*summary = known;
	d->silent_ms = d->heard_at != 0 ? now - d->heard_at : 0;
	d->source_changed = !same;
	d->source = d->summary.sums.host;
	d->source_strength = strength;
	d->region = g_intern_string(own ? f->region : source->region);
	d->heard_at = now;
	apply_list(f, &d->summary, TRUE, now);
	return d;
}
