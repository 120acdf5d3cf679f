#include <string.h>

#include "state/route_choice.h"
#include "state/route_eject.h"
#include "state/route_spill.h"

#define VERSIONS_MAX 16

static void
service_free(void *p)
{
	route_service_t *s = p;

	version_mix_finish(&s->mix);
	g_free(s);
}

void
route_choice_init(route_choice_t *rc, route_policy_kind_t kind, uint64_t seed)
{
	memset(rc, 0, sizeof(*rc));
	route_choice_set_position(rc, 0, 0, 1, 0, 1);
	rc->kind = kind;
	rc->seed = seed;
	rc->services = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, service_free);
	rc->candidates = g_array_new(FALSE, TRUE, sizeof(route_candidate_t));
	rc->eligible = g_array_new(FALSE, TRUE, sizeof(route_candidate_t));
	route_spill_init(rc);
}

void
route_choice_finish(route_choice_t *rc)
{
	g_hash_table_destroy(rc->services);
	g_array_free(rc->candidates, TRUE);
	g_array_free(rc->eligible, TRUE);
	route_spill_finish(rc);
	memset(rc, 0, sizeof(*rc));
}

void
route_choice_set_position(route_choice_t *rc, domain_id_t domain,
    uint16_t index, uint16_t hosts, uint16_t region_index,
    uint16_t region_hosts)
{
	guint i;

	rc->domain = domain;
	rc->index = index;
	rc->hosts = MAX(hosts, 1);
	rc->region_index = region_index;
	rc->region_hosts = MAX(region_hosts, 1);
	for (i = 0; i < ROUTE_REGIONS_MAX; i++)
		rc->spill_position[i] =
		    (route_position_t){rc->index, rc->hosts};
}

void
route_choice_set_spill_position(
    route_choice_t *rc, region_id_t region, route_position_t position)
{
	if (region < ROUTE_REGIONS_MAX)
		rc->spill_position[region] = position;
}

static route_service_t *
service_of(route_choice_t *rc, const char *name)
{
	route_service_t *s = g_hash_table_lookup(rc->services, name);

	if (s)
		return s;
	s = g_new0(route_service_t, 1);
	version_mix_init(&s->mix);
	route_policy_init(
	    &s->policy, rc->kind, rc->seed + g_str_hash(name) * 2 + 1);
	g_hash_table_insert(rc->services, g_strdup(name), s);
	return s;
}

void
route_choice_versions(route_choice_t *rc, const char *service,
    const version_share_t *shares, unsigned int n)
{
	version_mix_set(
	    &service_of(rc, service)->mix, shares, MIN(n, VERSIONS_MAX));
}

uint32_t
route_part(uint32_t total, uint32_t index, uint32_t n)
{
	return total / n + (index % n < total % n);
}

/* Counts the slots, numbered from base, whose number is index modulo n. */
static uint16_t
assigned_slots(uint32_t base, uint16_t slots, uint16_t index, uint16_t n)
{
	uint32_t first = (index + n - base % n) % n;

	return slots > first ? (slots - first - 1) / n + 1 : 0;
}

static route_candidate_t
candidate(const route_choice_t *rc, const endpoint_stats_t *stats,
    const catalog_t *c, endpoint_id_t id, msec_t now)
{
	const endpoint_stat_t *s = endpoint_stats_row(stats, id);
	const endpoint_t *e = catalog_endpoint(c, id);
	route_candidate_t row = {0};

	row.id = id;
	row.version = e->version;
	row.region = catalog_domain(c, e->domain)->region;
	row.state = endpoint_stats_state(stats, id, now);
	row.slots = e->slots;
	row.own = s->in_flight;
	row.others = endpoint_stats_others(stats, id, now);
	row.room = endpoint_stats_room(stats, id, now);
	row.ramp = endpoint_stats_ramp(stats, id, now);
	row.load = s->reported ? s->report.load : 0.5;
	row.same_domain = e->domain == rc->domain;
	row.freed = endpoint_stats_freed(stats, id, now);
	row.shed = now < s->full_until;
	return row;
}

/* Collects the service's endpoints that are not leaving as candidates. */
static void
collect(route_choice_t *rc, const endpoint_stats_t *stats, const catalog_t *c,
    service_id_t service, msec_t now)
{
	region_id_t own = catalog_domain(c, rc->domain)->region;
	route_candidate_t row;
	uint32_t base = 0;
	guint i;

	g_array_set_size(rc->candidates, 0);
	for (i = 0; i < c->endpoints->len; i++) {
		if (catalog_endpoint(c, i)->service != service)
			continue;
		row = candidate(rc, stats, c, i, now);
		if (row.region == own) {
			row.assigned = assigned_slots(base, row.slots,
			    rc->region_index, rc->region_hosts);
			base += row.slots;
		}
		/* Round robin ignores statistics, so it ejects nothing. */
		if (rc->kind == ROUTE_ROUND_ROBIN &&
		    row.state != ENDPOINT_LEAVING)
			row.state = ENDPOINT_USABLE;
		if (row.state != ENDPOINT_LEAVING)
			g_array_append_val(rc->candidates, row);
	}
}

static gboolean
is_tried(const route_request_t *req, endpoint_id_t id)
{
	unsigned int i;

	for (i = 0; i < req->n_tried; i++) {
		if (req->tried[i] == id)
			return TRUE;
	}
	return FALSE;
}

static gboolean
may_serve(const route_candidate_t *row, const route_request_t *req)
{
	if (row->state == ENDPOINT_EJECTED || is_tried(req, row->id))
		return FALSE;
	if (row->state == ENDPOINT_TRIAL && row->own > 0)
		return FALSE;
	return row->own < row->slots;
}

typedef struct {
	const route_request_t *req;
	const catalog_t *catalog;
	const char *version; /* NULL: any */
	region_id_t region;
	gboolean within_ramp; /* cold endpoints only within their ramp */
} filter_t;

static gboolean
passes(const route_candidate_t *row, const filter_t *f)
{
	if (row->region != f->region || !may_serve(row, f->req))
		return FALSE;
	if (f->version && g_strcmp0(row->version, f->version) != 0)
		return FALSE;
	return !f->within_ramp || row->own + row->others < row->ramp;
}

static int
pick(route_choice_t *rc, route_service_t *s, const filter_t *f)
{
	const route_candidate_t *row;
	int k;
	guint i;

	g_array_set_size(rc->eligible, 0);
	for (i = 0; i < rc->candidates->len; i++) {
		row = &g_array_index(rc->candidates, route_candidate_t, i);
		if (passes(row, f))
			g_array_append_vals(rc->eligible, row, 1);
	}
	if (rc->eligible->len == 0)
		return ID_NONE;
	k = route_policy_pick(&s->policy,
	    (const route_candidate_t *)(const void *)rc->eligible->data,
	    rc->eligible->len);
	if (k < 0)
		return ID_NONE;
	return g_array_index(rc->eligible, route_candidate_t, k).id;
}

static int
pick_in_region(route_choice_t *rc, route_service_t *s, filter_t *f)
{
	int id;

	f->within_ramp = TRUE;
	id = pick(rc, s, f);
	if (id != ID_NONE)
		return id;
	f->within_ramp = FALSE;
	return pick(rc, s, f);
}

static int
pick_version(route_choice_t *rc, route_service_t *s, filter_t *f, msec_t now)
{
	region_id_t own, order[ROUTE_REGIONS_MAX];
	unsigned int i, n;
	int id;

	own = catalog_domain(f->catalog, rc->domain)->region;
	f->region = own;
	id = pick_in_region(rc, s, f);
	if (id != ID_NONE)
		return id;
	n = route_spill_order(rc, f->catalog, f->req->service, now, order);
	for (i = 0; i < n; i++) {
		f->region = order[i];
		id = pick_in_region(rc, s, f);
		if (id != ID_NONE)
			return id;
	}
	return ID_NONE;
}

/* Picks by the mix of versions; skips versions without a free slot. */
static int
pick_mixed(route_choice_t *rc, route_service_t *s, filter_t *f, msec_t now)
{
	unsigned int order[VERSIONS_MAX], i, n;
	int id;

	if (s->mix.rows->len == 0)
		return pick_version(rc, s, f, now);
	n = version_mix_order(&s->mix, order);
	for (i = 0; i < n; i++) {
		f->version =
		    g_array_index(s->mix.rows, version_credit_t, order[i])
			.version;
		id = pick_version(rc, s, f, now);
		if (id == ID_NONE)
			continue;
		version_mix_sent(&s->mix, order[i]);
		return id;
	}
	return ID_NONE;
}

static route_kind_t
failure_kind(const route_choice_t *rc, const route_request_t *req)
{
	const route_candidate_t *row;
	guint i;

	for (i = 0; i < rc->candidates->len; i++) {
		row = &g_array_index(rc->candidates, route_candidate_t, i);
		if (!is_tried(req, row->id))
			return ROUTE_FULL;
	}
	return ROUTE_NONE;
}

route_result_t
route_choose(route_choice_t *rc, endpoint_stats_t *stats, const catalog_t *c,
    const route_request_t *req, msec_t now)
{
	route_service_t *s =
	    service_of(rc, catalog_service(c, req->service)->name);
	filter_t f = {.req = req, .catalog = c};
	route_result_t result = {.endpoint = ID_NONE};
	int id;

	collect(rc, stats, c, req->service, now);
	route_eject_cap(rc->candidates, stats);
	id = pick_mixed(rc, s, &f, now);
	if (id == ID_NONE) {
		result.kind = failure_kind(rc, req);
		return result;
	}
	result.kind = ROUTE_SENT;
	result.endpoint = id;
	result.ticket.stat = endpoint_stats_begin(stats, id);
	route_spill_charge(rc, c, req, id, &result.ticket);
	return result;
}

void
route_end(route_choice_t *rc, endpoint_stats_t *stats,
    const route_ticket_t *ticket, outcome_t outcome, uint32_t latency_ms,
    uint64_t bits, msec_t now)
{
	endpoint_stats_end(stats, ticket->stat, outcome, latency_ms, now);
	route_spill_release(rc, ticket, bits);
}
