#include <string.h>

#include "base/log.h"
#include "gateway/status_send.h"
#include "gateway/usage_sync.h"
#include "protocol/usage_msg.h"
#include "protocol/usage_rows.h"

#define TICK_MS 200
/* Time before a failed write of a row is repeated. */
#define WRITE_RETRY_MS 1000
/* Datagrams of a revision whose acknowledgement is remembered. */
#define PARTS_MAX 64

static usage_progress_t *
find_progress(const usage_sync_t *u, int64_t id)
{
	guint i;

	for (i = 0; i < u->progress->len; i++) {
		usage_progress_t *p =
		    &g_array_index(u->progress, usage_progress_t, i);

		if (p->id == id)
			return p;
	}
	return NULL;
}

/* Return: the progress of a window; NULL if it is no longer or not yet kept. */
static usage_progress_t *
progress_of(usage_sync_t *u, int64_t id)
{
	int64_t current =
	    usage_plan_window(clock_wall(), u->settings->window_ms);
	usage_progress_t *p = find_progress(u, id);
	usage_progress_t fresh = {.id = id};
	guint i;

	/* Another host's clock may be ahead. */
	if (p != NULL || id <= current - USAGE_WINDOWS_MAX || id > current + 1)
		return p;
	for (i = 0; i < u->progress->len; i++) {
		if (g_array_index(u->progress, usage_progress_t, i).id > id)
			break;
	}
	g_array_insert_val(u->progress, i, fresh);
	return &g_array_index(u->progress, usage_progress_t, i);
}

static void
note_change(
    usage_sync_t *u, int64_t window, const char *workspace, gboolean take_back)
{
	usage_progress_t *p = progress_of(u, window);

	if (p == NULL)
		return;
	usage_counts_add(&u->counts, window, &u->self, workspace, take_back);
	p->revision++;
	metrics_count(u->metrics, take_back ? u->taken_back : u->counted, 1);
}

int64_t
usage_sync_count(usage_sync_t *u, const char *workspace)
{
	int64_t wall;

	if (u == NULL || workspace == NULL)
		return 0;
	wall = clock_wall();
	note_change(u, usage_plan_window(wall, u->settings->window_ms),
	    workspace, FALSE);
	return wall;
}

void
usage_sync_ended(usage_sync_t *u, const char *workspace, int64_t sent_wall,
    gboolean ran, msec_t start_ms)
{
	int64_t counted, began;

	if (u == NULL || workspace == NULL || sent_wall == 0)
		return;
	counted = usage_plan_window(sent_wall, u->settings->window_ms);
	began = usage_plan_window(sent_wall + start_ms, u->settings->window_ms);
	if (ran && began == counted)
		return;
	note_change(u, counted, workspace, TRUE);
	if (ran)
		note_change(u, began, workspace, FALSE);
}

/* ---- datagrams ---- */

typedef void (*send_part_t)(status_sync_t *s, const uint8_t *data, size_t len);

/* Sends the cells in datagrams, without the parts whose bit is set in @skip.
 * Return: the number of parts. */
static guint
send_cells(usage_sync_t *u, const GPtrArray *cells, usage_msg_t *msg,
    uint64_t skip, send_part_t send)
{
	uint8_t data[PEER_MSG_MAX_BYTES];
	guint i, parts = 0;

	for (i = 0; i < cells->len; parts++) {
		msg->part = parts;
		for (msg->count = 0;
		     msg->count < USAGE_MSG_CELLS && i < cells->len; i++)
			msg->cells[msg->count++] =
			    *(const usage_cell_t *)g_ptr_array_index(cells, i);
		if (parts < PARTS_MAX && (skip >> parts & 1) != 0)
			continue;
		send(u->status, data,
		    usage_msg_encode(msg, &u->store_sync->secret, data));
	}
	return parts;
}

static uint64_t
all_parts(guint parts)
{
	return parts >= PARTS_MAX ? UINT64_MAX : (UINT64_C(1) << parts) - 1;
}

static void
send_own(usage_sync_t *u, usage_progress_t *p, msec_t now)
{
	GPtrArray *cells = usage_counts_cells(&u->counts, p->id, &u->self);
	usage_msg_t *msg = g_new0(usage_msg_t, 1);
	guint parts;

	if (p->sent_revision != p->revision)
		p->acked = 0;
	msg->sender = u->view->fleet.self;
	msg->window = p->id;
	msg->revision = p->revision;
	msg->acknowledge = TRUE;
	parts = send_cells(u, cells, msg, p->acked, status_send_own_collectors);
	p->sent_revision = p->revision;
	p->sent_at = now;
	/* The acting collector has its own counts; the copies are for the next
	 * in rank. */
	p->is_acked =
	    u->status->collector.acting || p->acked == all_parts(parts);
	g_free(msg);
	g_ptr_array_free(cells, TRUE);
}

static gboolean
is_to_send(const usage_progress_t *p)
{
	return p->revision != 0 &&
	    (!p->is_acked || p->sent_revision != p->revision);
}

/* A new collector may lack what its predecessor acknowledged. */
static void
note_collector(usage_sync_t *u)
{
	const fleet_t *f = &u->view->fleet;
	const fleet_domain_t *d = fleet_domain(f, f->domain);
	uint64_t collector = u->status->collector.acting ? f->self
	    : d != NULL					 ? d->source
							 : 0;
	guint i;

	if (collector == u->collector)
		return;
	u->collector = collector;
	for (i = 0; i < u->progress->len; i++) {
		usage_progress_t *p =
		    &g_array_index(u->progress, usage_progress_t, i);

		p->acked = 0;
		p->is_acked = FALSE;
	}
}

static void
acknowledge(usage_sync_t *u, const usage_msg_t *msg)
{
	const fleet_t *f = &u->view->fleet;
	const fleet_host_t *h = fleet_find(f, msg->sender);
	usage_ack_t ack = {.sender = f->self,
	    .start = msg->cells[0].source.start,
	    .window = msg->window,
	    .revision = msg->revision,
	    .part = msg->part};
	uint8_t data[PEER_MSG_MAX_BYTES];

	if (h != NULL && h->domain_seed == f->domain && msg->count > 0)
		status_send_to(u->status, h, data,
		    usage_ack_encode(&ack, &u->store_sync->secret, data));
}

static gboolean
receive_counts(usage_sync_t *u, const uint8_t *data, size_t len)
{
	usage_msg_t *msg = g_new(usage_msg_t, 1);
	gboolean ok = usage_msg_decode(data, len, &u->store_sync->secret, msg);
	usage_progress_t *p = ok ? progress_of(u, msg->window) : NULL;
	uint32_t i;

	for (i = 0; p != NULL && i < msg->count; i++)
		usage_counts_merge(&u->counts, msg->window, &msg->cells[i]);
	/* Also if the window is over, so that its host stops sending. */
	if (ok && msg->acknowledge && u->status->collector.acting)
		acknowledge(u, msg);
	g_free(msg);
	return ok;
}

static gboolean
receive_ack(usage_sync_t *u, const uint8_t *data, size_t len)
{
	GPtrArray *cells;
	usage_progress_t *p;
	usage_ack_t ack;

	if (!usage_ack_decode(data, len, &u->store_sync->secret, &ack))
		return FALSE;
	p = find_progress(u, ack.window);
	if (p == NULL || ack.start != u->self.start ||
	    ack.sender != u->collector || ack.revision != p->sent_revision ||
	    ack.part >= PARTS_MAX)
		return TRUE;
	cells = usage_counts_cells(&u->counts, p->id, &u->self);
	p->acked |= UINT64_C(1) << ack.part;
	p->is_acked = p->acked ==
	    all_parts((cells->len + USAGE_MSG_CELLS - 1) / USAGE_MSG_CELLS);
	g_ptr_array_free(cells, TRUE);
	return TRUE;
}

gboolean
usage_sync_receive(usage_sync_t *u, const uint8_t *data, size_t len)
{
	return peer_msg_kind(data, len) == PEER_USAGE
	    ? receive_counts(u, data, len)
	    : receive_ack(u, data, len);
}

/* ---- rows ---- */

static void
take_conflict(usage_sync_t *u, usage_progress_t *p, const table_page_t *page)
{
	const table_row_t *row =
	    page->rows->len > 0 ? g_ptr_array_index(page->rows, 0) : NULL;

	p->row_ver = row != NULL && row->value != NULL ? row->ver : 0;
	if (p->row_ver != 0 && !usage_rows_merge_counts(row, p->id, &u->counts))
		log_event(
		    LOG_WARN, "usage.row_unreadable", "key", row->key, NULL);
}

static void
on_row_written(void *arg, table_outcome_t outcome, const table_page_t *page,
    const GError *err)
{
	usage_sync_t *u = arg;
	usage_progress_t *p = find_progress(u, u->write_window);
	msec_t now = clock_now();

	u->write = NULL;
	u->write_failed = outcome != TABLE_DONE && outcome != TABLE_CONFLICT;
	if (u->write_failed) {
		u->write_retry_at = now + WRITE_RETRY_MS;
		metrics_count(u->metrics, u->rows_failed, 1);
		log_event(LOG_WARN, "usage.row_not_written", "window",
		    log_num(u->write_window), "error",
		    err != NULL ? err->message : NULL, NULL);
	} else if (p != NULL && outcome == TABLE_CONFLICT) {
		take_conflict(u, p, page);
	} else if (p != NULL) {
		p->row.changes = u->write_changes;
		p->row.writes++;
		p->row.written_at = now;
		p->row_ver = page->ver;
		metrics_count(u->metrics, u->rows_written, 1);
		log_event(LOG_INFO, "usage.row_written", "window",
		    log_num(p->id), "writes", log_num(p->row.writes), NULL);
	}
}

static void
write_row(usage_sync_t *u, const usage_progress_t *p, guint changes)
{
	char *key = usage_rows_window_key(p->id, u->view->settings->domain);
	char *value = usage_rows_counts(&u->counts, p->id);
	table_write_t w = {.n = 0};

	table_write_put_if(&w, USAGE_TABLE, key, value, p->row_ver);
	u->write_window = p->id;
	u->write_changes = changes;
	u->write =
	    table_store_write(&u->store_sync->store, &w, on_row_written, u);
	g_free(key);
	g_free(value);
}

static gboolean
others_reach_store(const usage_sync_t *u, msec_t now)
{
	const fleet_t *f = &u->view->fleet;
	guint i;

	for (i = 0; i < f->hosts->len; i++) {
		const fleet_host_t *h = g_ptr_array_index(f->hosts, i);

		if (h->domain_seed != f->domain && h->reaches_store &&
		    fleet_is_live(h, now))
			return TRUE;
	}
	return FALSE;
}

/* While this host alone can't reach the store, other domains write the counts
 * into their rows. */
static void
relay_counts(usage_sync_t *u, usage_progress_t *p, guint changes)
{
	GPtrArray *cells = usage_counts_cells(&u->counts, p->id, NULL);
	usage_msg_t *msg = g_new0(usage_msg_t, 1);

	msg->sender = u->view->fleet.self;
	msg->window = p->id;
	metrics_count(u->metrics, u->relayed,
	    send_cells(u, cells, msg, 0, status_send_collectors));
	log_event(LOG_INFO, "usage.counts_relayed", "window", log_num(p->id),
	    "cells", log_num(cells->len), NULL);
	p->relayed = changes;
	g_free(msg);
	g_ptr_array_free(cells, TRUE);
}

static void
collect(usage_sync_t *u, usage_progress_t *p, int64_t wall, msec_t now)
{
	const usage_window_t *w = usage_counts_window(&u->counts, p->id);
	msec_t age = usage_plan_age(p->id, wall, u->settings->window_ms);

	if (w == NULL ||
	    !usage_plan_row_due(
		&p->row, w->changes, age, u->settings->late_ms, now))
		return;
	if (u->write == NULL && now >= u->write_retry_at)
		write_row(u, p, w->changes);
	if (u->write_failed && p->relayed != w->changes &&
	    others_reach_store(u, now))
		relay_counts(u, p, w->changes);
}

static msec_t
send_period(const usage_sync_t *u, int64_t window, int64_t wall)
{
	return usage_plan_age(window, wall, u->settings->window_ms) < 0
	    ? USAGE_SEND_RUNNING_MS
	    : USAGE_SEND_MS;
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	usage_sync_t *u = arg;
	int64_t wall = clock_wall();
	int64_t oldest = usage_plan_window(wall, u->settings->window_ms) -
	    USAGE_WINDOWS_MAX + 1;
	msec_t now = clock_now();
	guint i;

	(void)fd;
	(void)what;
	usage_counts_forget(&u->counts, oldest);
	while (u->progress->len > 0 &&
	    g_array_index(u->progress, usage_progress_t, 0).id < oldest)
		g_array_remove_index(u->progress, 0);
	if (!u->store_sync->has_secret)
		return;
	note_collector(u);
	for (i = 0; i < u->progress->len; i++) {
		usage_progress_t *p =
		    &g_array_index(u->progress, usage_progress_t, i);

		if (is_to_send(p) &&
		    now - p->sent_at >= send_period(u, p->id, wall))
			send_own(u, p, now);
		if (u->status->collector.acting)
			collect(u, p, wall, now);
	}
}

static void
register_metrics(usage_sync_t *u)
{
	metrics_t *m = u->metrics;

	u->counted = metrics_add(m, METRIC_COUNTER, "usage_counted_total",
	    "requests that were counted as run by a backend server");
	u->taken_back = metrics_add(m, METRIC_COUNTER, "usage_taken_back_total",
	    "counts that were taken back, as the request did not run or ran "
	    "in another window");
	u->rows_written =
	    metrics_add(m, METRIC_COUNTER, "usage_rows_written_total",
		"rows of counts of this domain written to the store");
	u->rows_failed =
	    metrics_add(m, METRIC_COUNTER, "usage_rows_failed_total",
		"writes of such rows without a usable answer");
	u->relayed = metrics_add(m, METRIC_COUNTER, "usage_relayed_total",
	    "datagrams of counts to other domains, as the store was not "
	    "reached");
	u->dropped = metrics_add(m, METRIC_GAUGE, "usage_counts_dropped",
	    "counts for which there was no room");
	u->cells = metrics_add(m, METRIC_GAUGE, "usage_cells",
	    "counts kept, by window, host and workspace");
}

void
usage_sync_set_metrics(usage_sync_t *u)
{
	metrics_set(u->metrics, u->dropped, (int64_t)u->counts.dropped);
	metrics_set(u->metrics, u->cells, u->counts.cells);
}

void
usage_sync_init(usage_sync_t *u, view_t *view, store_sync_t *store_sync,
    status_sync_t *status, struct event_base *base, metrics_t *metrics)
{
	const struct timeval period = {0, TICK_MS * 1000};

	memset(u, 0, sizeof(*u));
	u->settings = &view->settings->usage;
	u->view = view;
	u->store_sync = store_sync;
	u->status = status;
	u->metrics = metrics;
	/* Known before the first request, unlike the incarnation. */
	u->self =
	    (usage_source_t){view->fleet.self, (uint64_t)MAX(clock_wall(), 1)};
	usage_counts_init(&u->counts);
	u->progress = g_array_new(FALSE, FALSE, sizeof(usage_progress_t));
	register_metrics(u);
	u->timer = event_new(base, -1, EV_PERSIST, on_timer, u);
	event_add(u->timer, &period);
}

void
usage_sync_finish(usage_sync_t *u)
{
	guint i;

	for (i = 0; i < u->progress->len && u->store_sync->has_secret; i++) {
		usage_progress_t *p =
		    &g_array_index(u->progress, usage_progress_t, i);

		if (is_to_send(p))
			send_own(u, p, clock_now());
	}
	if (u->write != NULL)
		table_call_cancel(u->write);
	event_free(u->timer);
	g_array_free(u->progress, TRUE);
	usage_counts_finish(&u->counts);
}
