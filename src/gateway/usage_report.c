#include <string.h>

#include "base/log.h"
#include "gateway/usage_call.h"
#include "platform/wire_usage.h"
#include "protocol/usage_rows.h"

#define TICK_MS 100
/* Time before a call to the store that failed is repeated. */
#define STORE_RETRY_MS 300
/* After an outage of the store, counts of its time are awaited. */
#define OUTAGE_MS 1500
#define OUTAGE_HOLD_MS 3000
/* All rows are listed once in this number of windows, to find those that were
 * written after the report of their window. */
#define SWEEP_WINDOWS 60
/* Earlier windows are not reported by the first holder ever. */
#define FIRST_WINDOWS 5
/* Rows removed in one transaction. */
#define REMOVED_MAX 10

static int64_t
current_window(const usage_report_t *r)
{
	return usage_plan_window(clock_wall(), r->sync->settings->window_ms);
}

const char *
usage_report_of(const usage_report_t *r, int64_t window)
{
	return g_hash_table_lookup(r->reports, &window);
}

static void
add_report(usage_report_t *r, int64_t window, const char *body)
{
	int64_t *key;

	if (window <= r->sent || usage_report_of(r, window) != NULL)
		return;
	key = g_new(int64_t, 1);
	*key = window;
	g_hash_table_insert(r->reports, key, g_strdup(body));
}

/* The first window without a report. */
static int64_t
next_window(const usage_report_t *r)
{
	int64_t window = r->sent + 1;

	while (usage_report_of(r, window) != NULL)
		window++;
	return window;
}

void
usage_report_note_lost(usage_report_t *r, const char *why)
{
	metrics_count(r->sync->metrics, r->lost, 1);
	metrics_set(r->sync->metrics, r->holding, 0);
	log_event(LOG_WARN, "usage.duty_lost", "why", why, "epoch",
	    log_num((long long)r->duty.floor), NULL);
}

static void
note_taken(usage_report_t *r)
{
	r->sent = r->duty.row.sent;
	g_hash_table_remove_all(r->reports);
	g_ptr_array_set_size(r->stale, 0);
	r->has_rows = FALSE;
	r->read_window = 0;
	g_clear_pointer(&r->next_key, g_free);
	r->unheard_at = 0;
	r->post_failures = 0;
	metrics_count(r->sync->metrics, r->taken, 1);
	metrics_set(r->sync->metrics, r->holding, 1);
	log_event(LOG_INFO, "usage.duty_taken", "epoch",
	    log_num((long long)r->duty.row.epoch), "sent", log_num(r->sent),
	    "acts_in_ms", log_num(r->duty.act_from - clock_now()), NULL);
}

/* ---- the store ---- */

/* Return: whether the call had an answer of the store. */
static gboolean
note_answer(usage_report_t *r, table_outcome_t outcome, const GError *err)
{
	msec_t now = clock_now();

	r->call = NULL;
	if (outcome == TABLE_DONE || outcome == TABLE_CONFLICT) {
		if (r->store_lost_at != 0 &&
		    now - r->store_lost_at >= OUTAGE_MS)
			r->hold_until = now + OUTAGE_HOLD_MS;
		r->store_lost_at = 0;
		return TRUE;
	}
	if (r->store_lost_at == 0) {
		r->store_lost_at = now;
		log_event(LOG_WARN, "usage.store_lost", "error",
		    err != NULL ? err->message : NULL, NULL);
	}
	r->store_retry_at = now + STORE_RETRY_MS;
	return FALSE;
}

static void
take_duty_row(usage_report_t *r, const table_page_t *page)
{
	usage_duty_row_t row;
	uint64_t ver;

	usage_rows_read_duty(page, &row, &ver);
	if (usage_duty_saw(&r->duty, &row, ver, clock_now()))
		usage_report_note_lost(r, "another host has it");
}

static void
on_duty_read(void *arg, table_outcome_t outcome, const table_page_t *page,
    const GError *err)
{
	usage_report_t *r = arg;

	if (note_answer(r, outcome, err))
		take_duty_row(r, page);
	else
		usage_duty_failed(&r->duty);
}

static void
read_duty(usage_report_t *r)
{
	usage_duty_reading(&r->duty, clock_now());
	r->call = table_store_read(&r->sync->store_sync->store,
	    USAGE_DUTY_TABLE, NULL, on_duty_read, r);
}

/* A condition failed. The report may have been stored by a write whose answer
 * was lost: then its bytes are sent, not those that were offered. */
static void
take_conflict(usage_report_t *r, const table_page_t *page)
{
	gboolean has_report = FALSE, has_duty = FALSE;
	int64_t window;
	guint i;

	for (i = 0; i < page->rows->len; i++) {
		const table_row_t *row = g_ptr_array_index(page->rows, i);

		has_duty |= strcmp(row->key, USAGE_DUTY_KEY) == 0;
		if (row->value == NULL ||
		    usage_rows_kind(row->key, &window) != USAGE_ROW_REPORT)
			continue;
		has_report = TRUE;
		add_report(r, window, row->value);
	}
	/* The answer need not contain the rows whose conditions hold. */
	if (has_report && !has_duty)
		(void)usage_duty_saw(
		    &r->duty, &r->duty.row, r->duty.ver, clock_now());
	else
		take_duty_row(r, page);
}

static void
on_duty_written(void *arg, table_outcome_t outcome, const table_page_t *page,
    const GError *err)
{
	usage_report_t *r = arg;
	gboolean taking = r->duty.taking;

	if (!note_answer(r, outcome, err)) {
		usage_duty_failed(&r->duty);
	} else if (outcome == TABLE_CONFLICT) {
		take_conflict(r, page);
	} else if (taking) {
		usage_duty_written(&r->duty, page->ver, clock_now());
		note_taken(r);
	} else {
		usage_duty_written(&r->duty, page->ver, clock_now());
		g_ptr_array_remove_range(r->stale, 0, r->removing);
		if (r->storing != 0) {
			add_report(r, r->storing, r->storing_body);
			g_ptr_array_add(
			    r->stale, usage_rows_report_key(r->storing));
			metrics_count(r->sync->metrics, r->stored, 1);
			log_event(LOG_INFO, "usage.report_stored", "window",
			    log_num(r->storing), "bytes",
			    log_num((long long)strlen(r->storing_body)), NULL);
		}
	}
	r->storing = 0;
	g_clear_pointer(&r->storing_body, g_free);
}

static gboolean
is_stale(const usage_report_t *r, const char *key)
{
	const usage_settings_t *s = r->sync->settings;
	int64_t window;

	return usage_rows_kind(key, &window) != USAGE_ROW_FOREIGN &&
	    window <= r->sent &&
	    usage_plan_rows_over(
		usage_plan_age(window, clock_wall(), s->window_ms), s->late_ms);
}

static void
add_removals(usage_report_t *r, table_write_t *w)
{
	for (r->removing = 0; r->removing < MIN(r->stale->len, REMOVED_MAX);
	     r->removing++) {
		const char *key = g_ptr_array_index(r->stale, r->removing);

		if (!is_stale(r, key))
			return;
		table_write_put(w, USAGE_TABLE, key, NULL);
	}
}

/* Without a row of the duty, the reports begin with the window in which this
 * host started, as the hosts of a new fleet start at almost the same time. */
static int64_t
first_sent(const usage_report_t *r)
{
	int64_t started = usage_plan_window(
	    (int64_t)r->sync->self.start, r->sync->settings->window_ms);

	return MAX(MAX(started - 1, current_window(r) - FIRST_WINDOWS),
	    r->duty.sent_seen);
}

/* The counts that this host has itself may be newer than its domain's row. */
static void
merge_own(usage_report_t *r, int64_t window)
{
	GPtrArray *cells = usage_counts_cells(&r->sync->counts, window, NULL);
	guint i;

	for (i = 0; i < cells->len; i++)
		usage_counts_merge(
		    &r->merged, window, g_ptr_array_index(cells, i));
	g_ptr_array_free(cells, TRUE);
}

static usage_duty_load_t
load_of(const usage_report_t *r, msec_t now)
{
	if (g_hash_table_size(r->reports) > 0)
		return USAGE_DUTY_PENDING;
	return r->post != NULL || now < r->open_until ? USAGE_DUTY_OPEN
						      : USAGE_DUTY_IDLE;
}

/* Writes the duty's row, with the report of @window unless that is 0. */
static void
write_duty(usage_report_t *r, usage_duty_step_t step, int64_t window)
{
	msec_t now = clock_now();
	const usage_duty_offer_t offer = {
	    .epoch_hint = (uint64_t)(clock_wall() / MSEC_PER_SEC),
	    .sent = step == USAGE_DUTY_TAKE ? first_sent(r) : r->sent,
	    .load = window != 0 ? USAGE_DUTY_PENDING : load_of(r, now),
	};
	const usage_duty_row_t *row =
	    usage_duty_offer(&r->duty, step, &offer, now);
	char *value = usage_rows_duty(row, r->sync->view->settings->id);
	char *key = usage_rows_report_key(window);
	table_write_t w = {.n = 0};
	GArray *totals;

	r->storing = window;
	r->removing = 0;
	table_write_put_if(
	    &w, USAGE_DUTY_TABLE, USAGE_DUTY_KEY, value, r->duty.ver);
	if (window != 0) {
		merge_own(r, window);
		totals = usage_counts_totals(&r->merged, window);
		r->storing_body = wire_usage_body(window, totals);
		g_array_free(totals, TRUE);
		table_write_put_if(&w, USAGE_TABLE, key, r->storing_body, 0);
	}
	if (step == USAGE_DUTY_RENEW)
		add_removals(r, &w);
	r->call = table_store_write(
	    &r->sync->store_sync->store, &w, on_duty_written, r);
	g_free(key);
	g_free(value);
}

static void
take_row(usage_report_t *r, const table_row_t *row)
{
	int64_t window;

	if (row->value == NULL)
		return;
	switch (usage_rows_kind(row->key, &window)) {
	case USAGE_ROW_REPORT:
		add_report(r, window, row->value);
		break;
	case USAGE_ROW_COUNTS:
		if (window == r->listing &&
		    !usage_rows_merge_counts(row, window, &r->merged))
			log_event(LOG_WARN, "usage.row_unreadable", "key",
			    row->key, NULL);
		break;
	case USAGE_ROW_FOREIGN:
		return;
	}
	if (!g_ptr_array_find_with_equal_func(
		r->stale, row->key, g_str_equal, NULL))
		g_ptr_array_add(r->stale, g_strdup(row->key));
}

/* Windows whose counts nobody keeps any more are left out, unless their report
 * is stored. */
static void
skip_lost_windows(usage_report_t *r)
{
	int64_t oldest = current_window(r) - USAGE_WINDOWS_MAX;
	int64_t from = r->sent + 1;
	gint64 skipped = 0;

	while (
	    r->sent + 1 < oldest && usage_report_of(r, r->sent + 1) == NULL) {
		r->sent++;
		skipped++;
	}
	if (skipped == 0)
		return;
	metrics_count(r->sync->metrics, r->skipped, skipped);
	log_event(LOG_WARN, "usage.windows_skipped", "from", log_num(from),
	    "to", log_num(r->sent), NULL);
}

static void
on_rows(void *arg, table_outcome_t outcome, const table_page_t *page,
    const GError *err)
{
	usage_report_t *r = arg;
	const table_row_t *last;
	guint i;

	if (!note_answer(r, outcome, err) || page == NULL)
		return;
	for (i = 0; i < page->rows->len; i++)
		take_row(r, g_ptr_array_index(page->rows, i));
	g_clear_pointer(&r->next_key, g_free);
	if (page->more && page->rows->len > 0) {
		last = g_ptr_array_index(page->rows, page->rows->len - 1);
		r->next_key = g_strdup(last->key);
		return;
	}
	if (!r->has_rows) {
		r->has_rows = TRUE;
		log_event(LOG_INFO, "usage.rows_listed", "stored",
		    log_num(g_hash_table_size(r->reports)), "rows",
		    log_num(r->stale->len), NULL);
		return;
	}
	r->read_window = r->listing;
}

/* Lists the rows of @window and later ones; 0: all rows. */
static void
read_rows(usage_report_t *r, int64_t window)
{
	char *key = window != 0 ? usage_rows_window_key(window, NULL) : NULL;

	if (r->listing != window)
		g_clear_pointer(&r->next_key, g_free);
	r->listing = window;
	if (r->next_key == NULL) {
		usage_counts_finish(&r->merged);
		usage_counts_init(&r->merged);
	}
	r->call = table_store_read(&r->sync->store_sync->store, USAGE_TABLE,
	    r->next_key != NULL ? r->next_key : key, on_rows, r);
	g_free(key);
}

/* The holder's next step in the store besides renewing the duty. */
static void
work(usage_report_t *r, msec_t now)
{
	const usage_settings_t *s = r->sync->settings;
	int64_t window;

	if (!r->has_rows) {
		read_rows(r, 0);
		return;
	}
	skip_lost_windows(r);
	window = next_window(r);
	if (now < r->hold_until ||
	    !usage_plan_report_due(
		usage_plan_age(window, clock_wall(), s->window_ms), s->late_ms))
		return;
	if (r->read_window != window)
		read_rows(r, window);
	else
		write_duty(r, USAGE_DUTY_RENEW, window);
}

static gboolean
is_eligible(const usage_report_t *r)
{
	const view_t *v = r->sync->view;

	return v->joined && !v->leaving && view_is_ready(v) &&
	    store_sync_is_reachable(r->sync->store_sync);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	usage_report_t *r = arg;
	const view_t *v = r->sync->view;
	msec_t now = clock_now();
	usage_duty_step_t step;

	(void)fd;
	(void)what;
	if (!v->joined || v->leaving)
		return;
	if (!r->begun) {
		r->begun = TRUE;
		r->duty.conf.start = v->incarnation;
	}
	if (r->post == NULL)
		usage_call(r);
	if (r->call != NULL || now < r->store_retry_at)
		return;
	step = usage_duty_next(&r->duty, is_eligible(r),
	    fleet_reader_rank(&v->fleet, NULL, now), load_of(r, now), now);
	switch (step) {
	case USAGE_DUTY_READ:
		read_duty(r);
		break;
	case USAGE_DUTY_TAKE:
	case USAGE_DUTY_RENEW:
		write_duty(r, step, 0);
		break;
	case USAGE_DUTY_WAIT:
		if (r->duty.holding)
			work(r, now);
		break;
	}
}

void
usage_report_leave(usage_report_t *r)
{
	if (!r->duty.holding)
		return;
	usage_duty_give_up(&r->duty, clock_now());
	usage_report_note_lost(r, "this host leaves");
}

static void
register_metrics(usage_report_t *r)
{
	metrics_t *m = r->sync->metrics;

	r->holding = metrics_add(m, METRIC_GAUGE, "usage_duty_held",
	    "1 while this host reports the usage");
	r->taken = metrics_add(m, METRIC_COUNTER, "usage_duty_taken_total",
	    "times that this host took the duty of reporting the usage");
	r->lost = metrics_add(m, METRIC_COUNTER, "usage_duty_lost_total",
	    "times that this host lost or left that duty");
	r->stored = metrics_add(m, METRIC_COUNTER, "usage_reports_stored_total",
	    "reports written to the store");
	r->accepted = metrics_add(m, METRIC_COUNTER, "usage_reports_sent_total",
	    "reports that the platform accepted");
	r->repeated = metrics_add(m, METRIC_COUNTER,
	    "usage_calls_repeated_total",
	    "calls with a report that got no response or are to be repeated");
	r->refused =
	    metrics_add(m, METRIC_COUNTER, "usage_reports_refused_total",
		"reports that the platform refused as not valid");
	r->outranked = metrics_add(m, METRIC_COUNTER, "usage_outranked_total",
	    "calls refused as the platform had seen a higher token");
	r->skipped =
	    metrics_add(m, METRIC_COUNTER, "usage_windows_skipped_total",
		"windows without a report, as their counts were lost");
}

void
usage_report_init(usage_report_t *r, usage_sync_t *sync, http_client_t *http,
    struct event_base *base)
{
	const struct timeval period = {0, TICK_MS * 1000};
	const usage_duty_conf_t conf = {
	    .self = sync->view->fleet.self,
	    .lease_ms = sync->settings->lease_ms,
	    .slack_ms = sync->settings->thaw_slack_ms,
	    .fenced = sync->settings->fenced,
	};

	memset(r, 0, sizeof(*r));
	r->sync = sync;
	r->http = http;
	usage_duty_init(&r->duty, &conf);
	usage_counts_init(&r->merged);
	r->reports =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	r->stale = g_ptr_array_new_with_free_func(g_free);
	register_metrics(r);
	r->timer = event_new(base, -1, EV_PERSIST, on_timer, r);
	event_add(r->timer, &period);
}

void
usage_report_finish(usage_report_t *r)
{
	if (r->call != NULL)
		table_call_cancel(r->call);
	if (r->post != NULL)
		http_call_cancel(r->post);
	event_free(r->timer);
	usage_counts_finish(&r->merged);
	g_free(r->next_key);
	g_free(r->storing_body);
	g_hash_table_destroy(r->reports);
	g_ptr_array_free(r->stale, TRUE);
}
