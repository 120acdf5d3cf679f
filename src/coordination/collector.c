#include <string.h>

#include "coordination/collector.h"

typedef struct {
	fleet_status_t status;
	/* Shifts' totals of its earlier starts: sums must not fall. */
	fleet_status_t past;
	msec_t heard_at;
	gboolean has_status; /* FALSE: only listed by the collector before */
} collector_member_t;

static void
member_free(void *p)
{
	collector_member_t *m = p;

	fleet_status_finish(&m->status);
	fleet_status_finish(&m->past);
	g_free(m);
}

void
collector_init(collector_t *c, const fleet_t *fleet)
{
	memset(c, 0, sizeof(*c));
	c->fleet = fleet;
	c->members = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, member_free);
	fleet_summary_init(&c->inherited);
}

void
collector_finish(collector_t *c)
{
	g_hash_table_destroy(c->members);
	fleet_summary_finish(&c->inherited);
}

static collector_member_t *
member_of(collector_t *c, uint64_t host)
{
	collector_member_t *m = g_hash_table_lookup(c->members, &host);
	uint64_t *key;

	if (m != NULL)
		return m;
	m = g_new0(collector_member_t, 1);
	fleet_status_init(&m->status);
	fleet_status_init(&m->past);
	key = g_new(uint64_t, 1);
	*key = host;
	g_hash_table_insert(c->members, key, m);
	return m;
}

static gboolean
is_member(const collector_t *c, uint64_t host)
{
	const fleet_host_t *h;

	if (host == c->fleet->self)
		return TRUE;
	h = fleet_find(c->fleet, host);
	return h != NULL && h->domain_seed == c->fleet->domain;
}

static uint32_t
bad_answers(const fleet_status_t *s)
{
	uint32_t bad = 0;
	guint i, r, m;

	for (i = 0; i < s->nshifts; i++) {
		for (r = 0; r < FLEET_SHIFT_ROUTES; r++) {
			for (m = 0; m < JUDGE_METRICS; m++)
				bad +=
				    s->shifts[i].routes[r].new_version.bad[m];
		}
	}
	return bad;
}

gboolean
collector_is_urgent(const fleet_status_t *known, const fleet_status_t *next)
{
	return known->incarnation != next->incarnation ||
	    known->ready != next->ready || known->leaving != next->leaving ||
	    known->reaches_store != next->reaches_store ||
	    known->orders < next->orders ||
	    bad_answers(known) != bad_answers(next);
}

/* What a host that stopped has counted stays; it runs nothing any more. */
static void
add_ended(fleet_status_t *to, const fleet_status_t *from, fleet_merge_t how)
{
	fleet_status_t ended = *from;
	guint i;

	for (i = 0; i < ended.nshifts; i++) {
		ended.shifts[i].old_running = 0;
		ended.shifts[i].new_running = 0;
	}
	fleet_shifts_merge(to, &ended, how);
}

collector_received_t
collector_receive(collector_t *c, fleet_status_t *status, msec_t now)
{
	collector_received_t received = COLLECTOR_NEWER;
	collector_member_t *m;
	fleet_status_t known;

	if (!is_member(c, status->host))
		return COLLECTOR_OLD;
	m = member_of(c, status->host);
	known = m->status;
	if (status->incarnation < known.incarnation ||
	    (status->incarnation == known.incarnation &&
		status->seq <= known.seq))
		return COLLECTOR_OLD;
	if (status->incarnation != known.incarnation) {
		if (m->past.nshifts == FLEET_SHIFTS_MAX)
			m->past.nshifts = 0;
		add_ended(&m->past, &known, FLEET_ADD);
		received = COLLECTOR_STARTED;
	} else if (now - m->heard_at >= FLEET_SILENT_MS) {
		received = COLLECTOR_BACK;
	}
	if (collector_is_urgent(&known, status) || received != COLLECTOR_NEWER)
		c->urgent = TRUE;
	fleet_amounts_sort(status->demands);
	fleet_amounts_sort(status->loads);
	m->status = *status;
	*status = known;
	m->has_status = TRUE;
	m->heard_at = now;
	return received;
}

static void
stop_acting(collector_t *c)
{
	c->acting = FALSE;
	c->handovers++;
}

void
collector_hear(
    collector_t *c, const fleet_claim_t *other, gboolean stopping, msec_t now)
{
	const fleet_claim_t own = {
	    c->listed, c->fleet->strength, c->fleet->self};

	if (c->acting && !fleet_claim_precedes(other, &own))
		return;
	if (c->acting && !stopping)
		stop_acting(c);
	c->heard_any = TRUE;
	c->heard_at = stopping ? now - COLLECTOR_WAIT_MS : now;
}

/*
 * A host that takes over knows few statuses at first. Hosts that the earlier
 * collector listed are not silent because of that, and the sums are no less
 * than before until the hosts have had time to report.
 */
static void
take_over(collector_t *c, msec_t now)
{
	const fleet_t *f = c->fleet;
	const fleet_domain_t *d = fleet_domain(f, f->domain);
	guint i;

	c->acting = TRUE;
	c->acting_since = now;
	c->takeovers++;
	for (i = 0; i < f->hosts->len; i++) {
		const fleet_host_t *h = g_ptr_array_index(f->hosts, i);

		if (h->domain_seed == f->domain && fleet_is_live(h, now)) {
			collector_member_t *m = member_of(c, h->seed);

			m->heard_at = MAX(m->heard_at, h->heard_at);
		}
	}
	g_array_set_size(c->inherited.sums.demands, 0);
	g_array_set_size(c->inherited.sums.loads, 0);
	if (d != NULL && fleet_is_fresh(d, now))
		fleet_status_copy(&c->inherited.sums, &d->summary.sums);
}

gboolean
collector_tick(collector_t *c, gboolean may_act, msec_t now)
{
	msec_t wait =
	    c->heard_any ? COLLECTOR_WAIT_MS : COLLECTOR_START_WAIT_MS;
	gboolean paused =
	    c->ticked_at != 0 && now - c->ticked_at >= COLLECTOR_PAUSE_MS;

	if (c->ticked_at == 0 || paused || !may_act) {
		c->heard_at = now;
		if (c->acting)
			stop_acting(c);
	}
	c->ticked_at = now;
	wait += COLLECTOR_RANK_MS * fleet_collector_rank(c->fleet, now);
	if (!c->acting && may_act && now - c->heard_at >= wait)
		take_over(c, now);
	if (!c->acting)
		return FALSE;
	wait = c->urgent ? COLLECTOR_URGENT_MS : COLLECTOR_PERIOD_MS;
	return now - c->made_at >= wait;
}

static void
list_member(
    collector_t *c, uint64_t host, const collector_member_t *m, GArray *list)
{
	const fleet_host_t *h = fleet_find(c->fleet, host);
	fleet_listed_t l = {.name = fleet_short_name(host)};

	if (m->has_status) {
		l.incarnation = fleet_short_incarnation(m->status.incarnation);
		l.ready = m->status.ready;
		l.leaving = m->status.leaving;
		l.reaches_store = m->status.reaches_store;
	} else if (h != NULL) {
		l.incarnation = fleet_short_incarnation(h->incarnation);
		l.ready = h->ready;
		l.leaving = h->leaving;
		l.reaches_store = h->reaches_store;
	}
	if (list->len < FLEET_LIST_MAX)
		g_array_append_val(list, l);
}

static gint
compare_listed(gconstpointer a, gconstpointer b)
{
	const fleet_listed_t *x = a, *y = b;

	return x->name < y->name ? -1 : x->name > y->name;
}

static guint32
hash_list(const GArray *list)
{
	guint32 hash = 2166136261U;
	guint i;

	for (i = 0; i < list->len; i++) {
		const fleet_listed_t *l =
		    &g_array_index(list, fleet_listed_t, i);
		guint32 flags = (guint32)(l->ready != 0) |
		    (guint32)(l->leaving != 0) << 1 |
		    (guint32)(l->reaches_store != 0) << 2;

		hash = (hash ^ l->name) * 16777619U;
		hash = (hash ^ l->incarnation) * 16777619U;
		hash = (hash ^ flags) * 16777619U;
	}
	return hash;
}

static void
number_list(collector_t *c, fleet_summary_t *out)
{
	guint32 hash;

	g_array_sort(out->list, compare_listed);
	hash = hash_list(out->list);
	if (c->list_ver == 0 || hash != c->list_hash)
		c->list_ver++;
	c->list_hash = hash;
	out->list_ver = c->list_ver;
	out->listed = out->list->len;
	c->listed = out->listed;
	out->has_list = TRUE;
}

static void
sum_live(collector_t *c, fleet_summary_t *out, msec_t now)
{
	fleet_status_t *sums = &out->sums;
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, c->members);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const collector_member_t *m = value;

		if (now - m->heard_at >= FLEET_SILENT_MS)
			continue;
		fleet_shifts_merge(sums, &m->status, FLEET_ADD);
		fleet_amounts_merge(
		    sums->demands, m->status.demands, FLEET_ADD);
		fleet_amounts_merge(sums->loads, m->status.loads, FLEET_ADD);
		sums->orders = MAX(sums->orders, m->status.orders);
		sums->config = MAX(sums->config, m->status.config);
		list_member(c, *(const uint64_t *)key, m, out->list);
	}
}

/* Adds totals of silent hosts and of earlier starts, of current shifts only. */
static void
sum_ended(collector_t *c, fleet_summary_t *out, msec_t now)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->members);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const collector_member_t *m = value;

		add_ended(&out->sums, &m->past, FLEET_ADD_KNOWN);
		if (now - m->heard_at >= FLEET_SILENT_MS)
			add_ended(&out->sums, &m->status, FLEET_ADD_KNOWN);
	}
}

void
collector_sum(
    collector_t *c, uint64_t incarnation, fleet_summary_t *out, msec_t now)
{
	fleet_status_t *sums = &out->sums;

	out->domain = c->fleet->domain;
	sum_live(c, out, now);
	sum_ended(c, out, now);
	if (now - c->acting_since < FLEET_SILENT_MS) {
		fleet_amounts_merge(
		    sums->demands, c->inherited.sums.demands, FLEET_MAX);
		fleet_amounts_merge(
		    sums->loads, c->inherited.sums.loads, FLEET_MAX);
	}
	number_list(c, out);
	sums->host = c->fleet->self;
	sums->incarnation = incarnation;
	sums->seq = ++c->seq;
	c->made_at = now;
	c->urgent = FALSE;
}

fleet_ack_t
collector_ack(const collector_t *c, uint64_t host)
{
	const collector_member_t *m = g_hash_table_lookup(c->members, &host);
	fleet_ack_t none = {0, 0};

	return m != NULL && m->has_status
	    ? (fleet_ack_t){m->status.incarnation, m->status.seq}
	    : none;
}
