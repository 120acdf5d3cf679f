#include <string.h>

#include "state/endpoint_stats.h"

#define PEER_COUNT_MAX_AGE_MS 2000
#define REPORT_MAX_AGE_MS 5000
#define OUTCOME_HALF_LIFE_MS 5000
#define OUTCOME_HALVINGS_MAX 16
#define FULL_MIN_MS 5
#define FULL_MAX_MS 160
#define EJECT_FAILURES 5 /* in a row */
#define EJECT_MIN_SAMPLES 10
#define EJECT_FAILURE_RATE 0.5
#define EJECT_MIN_MS 500
#define EJECT_MAX_MS 10000
#define FREED_SLOT_VALID_MS 2
#define WARM_UP_MS 10000
#define LATENCY_WEIGHT 0.1

static endpoint_stat_t *
row_at(const endpoint_stats_t *s, stat_id_t stat)
{
	return &g_array_index(s->rows, endpoint_stat_t, stat);
}

static endpoint_stat_t *
row_of(const endpoint_stats_t *s, endpoint_id_t id)
{
	return row_at(s, g_array_index(s->by_id, stat_id_t, id));
}

const endpoint_stat_t *
endpoint_stats_row(const endpoint_stats_t *s, endpoint_id_t id)
{
	return row_of(s, id);
}

static void
row_clear(endpoint_stat_t *r)
{
	g_free(r->name);
	if (r->peers)
		g_array_free(r->peers, TRUE);
	memset(r, 0, sizeof(*r));
}

void
endpoint_stats_init(endpoint_stats_t *s)
{
	s->rows = g_array_new(FALSE, TRUE, sizeof(endpoint_stat_t));
	s->by_id = g_array_new(FALSE, TRUE, sizeof(stat_id_t));
	s->has_catalog = FALSE;
}

void
endpoint_stats_finish(endpoint_stats_t *s)
{
	guint i;

	for (i = 0; i < s->rows->len; i++)
		row_clear(row_at(s, i));
	g_array_free(s->rows, TRUE);
	g_array_free(s->by_id, TRUE);
	memset(s, 0, sizeof(*s));
}

static stat_id_t
find_row(const endpoint_stats_t *s, const char *name)
{
	guint i;

	for (i = 0; i < s->rows->len; i++) {
		if (g_strcmp0(row_at(s, i)->name, name) == 0)
			return i;
	}
	return ID_NONE;
}

static stat_id_t
add_row(endpoint_stats_t *s, const char *name, msec_t now)
{
	stat_id_t stat = find_row(s, NULL);
	endpoint_stat_t *r;

	if (stat == ID_NONE) {
		stat = s->rows->len;
		g_array_set_size(s->rows, stat + 1);
	}
	r = row_at(s, stat);
	r->name = g_strdup(name);
	r->peers = g_array_new(FALSE, FALSE, sizeof(peer_count_t));
	r->decayed_at = now;
	r->cold = s->has_catalog;
	r->cold_since = now;
	return stat;
}

static void
clear_absent_rows(endpoint_stats_t *s)
{
	endpoint_stat_t *r;
	guint i;

	for (i = 0; i < s->rows->len; i++) {
		r = row_at(s, i);
		if (r->name && !r->present && r->in_flight == 0)
			row_clear(r);
	}
}

void
endpoint_stats_bind(endpoint_stats_t *s, const catalog_t *c, msec_t now)
{
	const endpoint_t *e;
	stat_id_t stat;
	guint i;

	for (i = 0; i < s->rows->len; i++)
		row_at(s, i)->present = FALSE;
	g_array_set_size(s->by_id, c->endpoints->len);
	for (i = 0; i < c->endpoints->len; i++) {
		e = catalog_endpoint(c, i);
		stat = find_row(s, e->name);
		if (stat == ID_NONE)
			stat = add_row(s, e->name, now);
		row_at(s, stat)->present = TRUE;
		row_at(s, stat)->slots = e->slots;
		g_array_index(s->by_id, stat_id_t, i) = stat;
	}
	clear_absent_rows(s);
	s->has_catalog = TRUE;
}

stat_id_t
endpoint_stats_begin(endpoint_stats_t *s, endpoint_id_t id)
{
	stat_id_t stat = g_array_index(s->by_id, stat_id_t, id);

	row_at(s, stat)->in_flight++;
	row_at(s, stat)->freed = FALSE;
	return stat;
}

static void
decay(endpoint_stat_t *r, msec_t now)
{
	int i, k;

	for (k = 0; k < OUTCOME_HALVINGS_MAX; k++) {
		if (now - r->decayed_at < OUTCOME_HALF_LIFE_MS)
			return;
		for (i = 0; i < OUTCOME_KINDS; i++)
			r->counts[i] /= 2;
		r->decayed_at += OUTCOME_HALF_LIFE_MS;
	}
	r->decayed_at = now;
}

static double
failures_of(const endpoint_stat_t *r)
{
	return r->counts[OUTCOME_ERROR] + r->counts[OUTCOME_REFUSED] +
	    r->counts[OUTCOME_TIMEOUT] + r->counts[OUTCOME_BROKEN];
}

static double
failure_rate(const endpoint_stat_t *r)
{
	double failed = failures_of(r), total = failed + r->counts[OUTCOME_OK];

	return total > 0 ? failed / total : 0;
}

static void
eject(endpoint_stat_t *r, msec_t now)
{
	if (r->eject_ms > 0 && now < r->ejected_until)
		return;
	r->eject_ms = CLAMP(r->eject_ms * 2, EJECT_MIN_MS, EJECT_MAX_MS);
	r->ejected_until = now + r->eject_ms;
}

static void
record_failure(endpoint_stat_t *r, outcome_t outcome, msec_t now)
{
	double seen = failures_of(r) + r->counts[OUTCOME_OK];
	gboolean on_trial = r->eject_ms > 0 && now >= r->ejected_until;

	if (r->failures < UINT16_MAX)
		r->failures++;
	if (outcome == OUTCOME_REFUSED)
		r->was_down = TRUE;
	if (outcome == OUTCOME_REFUSED || on_trial ||
	    r->failures >= EJECT_FAILURES ||
	    (seen >= EJECT_MIN_SAMPLES &&
		failure_rate(r) >= EJECT_FAILURE_RATE))
		eject(r, now);
}

static void
record_ok(endpoint_stat_t *r, uint32_t latency_ms, msec_t now)
{
	if (r->was_down) {
		r->cold = TRUE;
		r->cold_since = now;
		r->was_down = FALSE;
	}
	if (r->eject_ms > 0 && now >= r->ejected_until) {
		r->eject_ms = 0;
		memset(r->counts, 0, sizeof(r->counts));
	}
	r->failures = 0;
	r->full_ms = 0;
	r->full_until = now;
	r->freed = TRUE;
	r->freed_at = now;
	r->ok_at = now;
	r->ok_seen = TRUE;
	if (r->latency_ms == 0)
		r->latency_ms = latency_ms;
	r->latency_ms += LATENCY_WEIGHT * (latency_ms - r->latency_ms);
}

static void
record_shed(endpoint_stat_t *r, msec_t now)
{
	r->full_ms = CLAMP(r->full_ms * 2, FULL_MIN_MS, FULL_MAX_MS);
	r->full_until = now + r->full_ms;
}

void
endpoint_stats_end(endpoint_stats_t *s, stat_id_t stat, outcome_t outcome,
    uint32_t latency_ms, msec_t now)
{
	endpoint_stat_t *r = row_at(s, stat);

	g_assert(r->in_flight > 0);
	r->in_flight--;
	decay(r, now);
	r->counts[outcome]++;
	switch (outcome) {
	case OUTCOME_OK:
		record_ok(r, latency_ms, now);
		break;
	case OUTCOME_SHED:
		record_shed(r, now);
		break;
	case OUTCOME_ERROR:
	case OUTCOME_REFUSED:
	case OUTCOME_TIMEOUT:
	case OUTCOME_BROKEN:
		record_failure(r, outcome, now);
		break;
	case OUTCOME_CANCELLED:
	case OUTCOME_KINDS:
		break;
	}
	if (!r->present)
		clear_absent_rows(s);
}

void
endpoint_stats_report(
    endpoint_stats_t *s, endpoint_id_t id, const endpoint_report_t *report)
{
	endpoint_stat_t *r = row_of(s, id);

	if (r->reported && report->taken_at < r->report.taken_at)
		return;
	r->report = *report;
	r->reported = TRUE;
}

void
endpoint_stats_peer(endpoint_stats_t *s, endpoint_id_t id, uint64_t peer,
    uint16_t in_flight, msec_t at)
{
	peer_count_t count = {peer, in_flight, at}, *p;
	GArray *peers = row_of(s, id)->peers;
	guint i;

	for (i = 0; i < peers->len; i++) {
		p = &g_array_index(peers, peer_count_t, i);
		if (p->peer != peer)
			continue;
		if (at >= p->at)
			*p = count;
		return;
	}
	g_array_append_val(peers, count);
}

void
endpoint_stats_peer_gone(endpoint_stats_t *s, uint64_t peer)
{
	GArray *peers;
	guint i, k;

	for (i = 0; i < s->rows->len; i++) {
		peers = row_at(s, i)->peers;
		for (k = peers ? peers->len : 0; k > 0; k--) {
			if (g_array_index(peers, peer_count_t, k - 1).peer ==
			    peer)
				g_array_remove_index_fast(peers, k - 1);
		}
	}
}

void
endpoint_stats_set_leaving(
    endpoint_stats_t *s, endpoint_id_t id, gboolean leaving)
{
	row_of(s, id)->leaving = leaving;
}

static gboolean
report_is_recent(const endpoint_stat_t *r, msec_t now)
{
	return r->reported && now - r->report.taken_at <= REPORT_MAX_AGE_MS;
}

/* An OK outcome later than the report disproves it. */
static gboolean
reported_unhealthy(const endpoint_stat_t *r, msec_t now)
{
	if (!report_is_recent(r, now) || r->report.healthy)
		return FALSE;
	return !r->ok_seen || r->ok_at < r->report.taken_at;
}

endpoint_state_t
endpoint_stats_state(const endpoint_stats_t *s, endpoint_id_t id, msec_t now)
{
	const endpoint_stat_t *r = row_of(s, id);

	/* A report of draining stays valid until a newer report revokes it. */
	if (r->leaving || (r->reported && r->report.draining))
		return ENDPOINT_LEAVING;
	if (r->eject_ms > 0)
		return now < r->ejected_until ? ENDPOINT_EJECTED
					      : ENDPOINT_TRIAL;
	if (reported_unhealthy(r, now))
		return ENDPOINT_EJECTED;
	return ENDPOINT_USABLE;
}

uint16_t
endpoint_stats_others(const endpoint_stats_t *s, endpoint_id_t id, msec_t now)
{
	const endpoint_stat_t *r = row_of(s, id);
	const peer_count_t *p;
	gboolean any = FALSE;
	uint32_t sum = 0;
	int running;
	guint i;

	for (i = 0; i < r->peers->len; i++) {
		p = &g_array_index(r->peers, peer_count_t, i);
		if (now - p->at > PEER_COUNT_MAX_AGE_MS)
			continue;
		any = TRUE;
		sum += p->in_flight;
	}
	if (any)
		return MIN(sum, UINT16_MAX);
	if (!report_is_recent(r, now))
		return (r->slots + 1) / 2;
	running = (int)(CLAMP(r->report.load, 0, 1) * r->slots + 0.5);
	return running > r->in_flight ? running - r->in_flight : 0;
}

uint16_t
endpoint_stats_room(const endpoint_stats_t *s, endpoint_id_t id, msec_t now)
{
	const endpoint_stat_t *r = row_of(s, id);
	uint32_t used = r->in_flight + endpoint_stats_others(s, id, now);

	if (now < r->full_until || used >= r->slots)
		return 0;
	return r->slots - used;
}

gboolean
endpoint_stats_freed(const endpoint_stats_t *s, endpoint_id_t id, msec_t now)
{
	const endpoint_stat_t *r = row_of(s, id);

	return r->freed && now - r->freed_at <= FREED_SLOT_VALID_MS;
}

uint16_t
endpoint_stats_ramp(const endpoint_stats_t *s, endpoint_id_t id, msec_t now)
{
	const endpoint_stat_t *r = row_of(s, id);
	msec_t age = now - r->cold_since;

	if (!r->cold || age >= WARM_UP_MS)
		return r->slots;
	return MAX(1, r->slots * MAX(age, 0) / WARM_UP_MS);
}

double
endpoint_stats_failure_rate(const endpoint_stats_t *s, endpoint_id_t id)
{
	return failure_rate(row_of(s, id));
}
