#include <string.h>

#include "coordination/shifts_internal.h"

/* Length of a window of the judgement. */
#define WINDOW_MS 500
/* How long the store may take to answer before the row is written again. */
#define REWRITE_MS 1500

/* Length of a domain's hash in hexadecimal digits. */
#define DOMAIN_KEY_BYTES 17

/*
 * Adds the totals that a collector or this host (key "") reports. A new
 * collector may know fewer of the requests that its predecessor reported: then
 * only what comes on top of its first totals counts.
 */
static void
add_to_feed(shift_t *shift, const char *key, gboolean rebase,
    const fleet_shift_t *reported)
{
	judge_sample_t total[JUDGE_ROUTES_MAX][JUDGE_BANDS];
	guint i;

	memset(total, 0, sizeof(total));
	for (i = 0; i < FLEET_SHIFT_ROUTES; i++)
		total[i][0] = reported->routes[i];
	if (rebase)
		judge_feed_rebase(&shift->feed, key,
		    (const judge_sample_t(*)[JUDGE_BANDS])total);
	judge_feed_report(
	    &shift->feed, key, 0, (const judge_sample_t(*)[JUDGE_BANDS])total);
}

void
shifts_receive(shifts_t *s, const fleet_domain_t *d)
{
	const fleet_shift_t *reported;
	GHashTableIter it;
	gpointer value;
	char key[DOMAIN_KEY_BYTES];

	g_snprintf(key, sizeof(key), "%016" G_GINT64_MODIFIER "x", d->seed);
	g_hash_table_iter_init(&it, s->by_service);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		shift_t *shift = value;

		reported = fleet_shift_of(
		    &d->summary.sums, shift->own.service, shift->own.to);
		if (reported != NULL)
			add_to_feed(shift, key, d->source_changed, reported);
	}
}

static gboolean
is_over(const shift_t *shift)
{
	return shift_target(shift) == NULL ||
	    (shift_row_holds(shift) && shift->row.state != SHIFT_RUNNING);
}

void
shifts_report(const shifts_t *s, fleet_status_t *status)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->by_service);
	while (status->nshifts < FLEET_SHIFTS_MAX &&
	    g_hash_table_iter_next(&it, NULL, &value)) {
		const shift_t *shift = value;

		if (!is_over(shift))
			status->shifts[status->nshifts++] = shift->own;
	}
}

static void
sum_running(const shift_t *shift, const fleet_t *f, msec_t now,
    guint *old_count, guint *new_count)
{
	const fleet_shift_t *reported;
	guint i;

	*old_count = shift->own.old_running;
	*new_count = shift->own.new_running;
	for (i = 0; i < f->domains->len; i++) {
		const fleet_domain_t *d = g_ptr_array_index(f->domains, i);

		reported = fleet_is_fresh(d, now)
		    ? fleet_shift_of(
			  &d->summary.sums, shift->own.service, shift->own.to)
		    : NULL;
		if (reported != NULL) {
			*old_count += reported->old_running;
			*new_count += reported->new_running;
		}
	}
}

static void
judge_on(shift_t *shift, const fleet_t *f, msec_t now, msec_t store_now)
{
	shift_seen_t seen;
	guint old_running;

	if (now - shift->window_at < WINDOW_MS)
		return;
	shift->window_at = now;
	add_to_feed(shift, "", FALSE, &shift->own);
	judge_feed_total(&shift->feed, &seen.total);
	sum_running(shift, f, now, &old_running, &seen.new_running);
	if (shift->counted_from == 0)
		shift->counted_from = store_now;
	seen.counted_ms =
	    MIN(store_now - shift->counted_from, now - f->listening_since);
	shift->had_requests |=
	    seen.total.new_version.requests > 0 || seen.new_running > 0;
	seen.had_requests = shift->had_requests;
	shift->seen = seen.total.new_version;
	shift->may_grow = version_shift_may_grow(
	    &seen, store_now - shift->row.began, shift->row.duration_ms);
	judge_feed_window(&shift->feed, &shift->judge);
	if (judge_verdict(&shift->judge) == JUDGE_BAD)
		shift->rejected = TRUE;
}

static void
count_slots(
    const shift_t *shift, const registry_t *r, shift_input_t *in, msec_t now)
{
	const registry_service_t *service = registry_service(r, shift->service);
	guint i;

	for (i = 0; service != NULL && i < service->servers->len; i++) {
		const backend_t *b = g_ptr_array_index(service->servers, i);

		if (!backend_usable(b, now) ||
		    shift_is_withdrawn(shift, b->version))
			continue;
		if (shift_is_new(shift, b))
			in->new_slots += b->slots;
		else
			in->old_slots += b->slots;
	}
}

static shift_decision_t
decide(const shift_t *shift, const registry_t *r, const fleet_t *f, msec_t now,
    msec_t store_now)
{
	shift_input_t in = {
	    .elapsed_ms = store_now - shift->row.began,
	    .duration_ms = shift->row.duration_ms,
	    .verdict = shift->rejected ? JUDGE_BAD : JUDGE_UNDECIDED,
	    .informed = fleet_is_informed(f, now),
	    .may_grow = shift->may_grow,
	};
	guint new_running;

	count_slots(shift, r, &in, now);
	sum_running(shift, f, now, &in.old_running, &new_running);
	return version_shift_decide(&in);
}

/* Return: whether a row has to be written; then @row is set. */
static gboolean
next_row(shift_t *shift, const registry_t *r, const fleet_t *f, msec_t now,
    msec_t store_now, shift_row_t *row)
{
	if (shift->to != NULL && !shift_row_holds(shift)) {
		*row = (shift_row_t){
		    .to = shift->to,
		    .began = store_now,
		    .duration_ms = shift->duration_ms,
		    .state = SHIFT_RUNNING,
		    .withdrawn = shift_next_withdrawn(shift),
		};
		return TRUE;
	}
	if (shift->rewrite && shift_row_holds(shift)) {
		*row = shift->row;
		return TRUE;
	}
	if (is_over(shift))
		return FALSE;
	*row = shift->row;
	switch (decide(shift, r, f, now, store_now)) {
	case SHIFT_COMPLETE:
		row->state = SHIFT_COMPLETED;
		return TRUE;
	case SHIFT_ROLL_BACK:
		row->state = SHIFT_ROLLED_BACK;
		return TRUE;
	case SHIFT_CONTINUE:
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
		shift_t *shift = value;

		memset(&write, 0, sizeof(write));
		if (!is_over(shift) && shift_row_holds(shift))
			judge_on(shift, f, now, store_now);
		if (!next_row(shift, r, f, now, store_now, &write.row)) {
			shift->due_since = 0;
			continue;
		}
		if (shift->due_since == 0)
			shift->due_since = now;
		if (now < version_shift_acts_at(
			      shift->due_since, fleet_rank(f, now)) ||
		    (shift->written_at != 0 &&
			now - shift->written_at < REWRITE_MS))
			continue;
		shift->written_at = now;
		write.service = shift->service;
		write.expected = shift->has_row ? shift->row_ver : 0;
		write.verdict = judge_verdict(&shift->judge);
		write.rewrite = shift->rewrite && shift_row_holds(shift);
		write.seen = shift->seen;
		write.counted_from = shift->counted_from;
		g_array_append_val(writes, write);
	}
}
