#include <string.h>

#include "base/log.h"
#include "coordination/balance.h"
#include "coordination/poll_schedule.h"
#include "gateway/store_sync.h"
#include "gateway/store_sync_era.h"
#include "gateway/store_sync_rows.h"
#include "gateway/store_sync_write.h"
#include "platform/wire_entries.h"
#include "protocol/fleet_rows.h"

/* Time between the starts of two calls for a table. A call waits for changes
 * most of that time. One host reads the tables of servers and of hosts for its
 * whole region, so these calls are short: a call that hangs is noticed soon. A
 * leaving server may get requests for some seconds at most. */
#define SERVERS_EVERY_MS 800
#define SERVERS_WAIT_MS 600
#define FLEET_EVERY_MS 6000
#define FLEET_WAIT_MS 5600
#define ORDERS_EVERY_MS 200
#define ORDERS_WAIT_MS 20000
/* If a peer has newer orders and the answer to the call for changes has not
 * begun to arrive, the call is restarted after this time: half of the shortest
 * time within which a new configuration must take effect. */
#define FEED_BEHIND_MS 1000
/* Rows of a page that are logged one by one. */
#define LOGGED_ROWS_MAX 16
#define TICK_MS BALANCE_TICK_MS

static const struct {
	const char *name;
	msec_t every_ms, wait_ms;
	gboolean shared; /* one host reads it for its region */
} table_defs[SYNCED_TABLES] = {
    [SYNCED_ORDERS] = {WIRE_TABLE_ORDERS, ORDERS_EVERY_MS, ORDERS_WAIT_MS,
	FALSE},
    [SYNCED_SERVERS] = {WIRE_TABLE_SERVERS, SERVERS_EVERY_MS, SERVERS_WAIT_MS,
	TRUE},
    [SYNCED_FLEET] = {FLEET_TABLE, FLEET_EVERY_MS, FLEET_WAIT_MS, TRUE},
};

static void start_call(synced_table_t *t);

static void
schedule(struct event *timer, msec_t ms)
{
	struct timeval tv = {ms / MSEC_PER_SEC, (ms % MSEC_PER_SEC) * 1000};

	event_add(timer, &tv);
}

static void
note_answer(synced_table_t *t, const table_page_t *page)
{
	store_sync_t *s = t->sync;
	msec_t now = clock_now();

	if (t->failures > 0) {
		log_event(LOG_INFO, "store.regained", "table",
		    table_defs[t->kind].name, "lost_ms",
		    log_num(now - t->lost_at), NULL);
		s->store_back = TRUE;
	}
	t->failures = 0;
	store_away_tick(&s->away, &s->view->fleet, TRUE, now);
	s->lapse_until = MAX(s->lapse_until, store_away_lapse_until(&s->away));
	t->answered_at = now;
	if (page == NULL || page->store_ms == 0)
		return;
	/* A call may wait before it is answered, so the time of its answer is
	 * nearer to store_ms than the time of its start. */
	s->view->store_offset = page->store_ms - now;
	if (s->view->incarnation == 0)
		s->view->incarnation = (uint64_t)MAX(page->store_ms, 1);
}

static void
note_failure(synced_table_t *t, const GError *err)
{
	msec_t now = clock_now();
	gboolean first = t->failures++ == 0;

	if (first)
		t->lost_at = t->sync->lost_at = now;
	log_event(first ? LOG_WARN : LOG_INFO,
	    first ? "store.lost" : "store.call_failed", "table",
	    table_defs[t->kind].name, "failures", log_num(t->failures),
	    "listing", log_num(t->listing), "took_ms",
	    log_num(now - t->own_call_at), "lost_ms", log_num(now - t->lost_at),
	    "error", err != NULL ? err->message : NULL, NULL);
	if (t->complete &&
	    poll_schedule_must_list(t->lost_at, t->fresh_at, now)) {
		t->complete = FALSE;
		g_free(t->next_key);
		t->next_key = NULL;
	}
}

static const table_change_fn_t handlers[SYNCED_TABLES] = {
    [SYNCED_ORDERS] = store_sync_take_order,
    [SYNCED_SERVERS] = store_sync_take_server,
    [SYNCED_FLEET] = store_sync_take_fleet,
};

static void
apply_changes(synced_table_t *t, const table_page_t *page)
{
	store_sync_t *s = t->sync;

	s->many_changes = page->rows->len > LOGGED_ROWS_MAX;
	if (s->many_changes)
		log_event(LOG_INFO, "store.changes", "table",
		    table_defs[t->kind].name, "rows", log_num(page->rows->len),
		    "known", log_num((long long)t->ver), "to",
		    log_num((long long)page->ver), NULL);
	table_view_changes(&t->view, page, handlers[t->kind], s);
	s->many_changes = FALSE;
}

static void
apply_page(synced_table_t *t, const table_page_t *page)
{
	store_sync_t *s = t->sync;
	const table_row_t *last;

	if (!t->listing) {
		apply_changes(t, page);
		t->ver = MAX(t->ver, table_page_end(page));
		return;
	}
	store_sync_begin_page(t, page);
	s->many_changes = TRUE;
	table_view_page(&t->view, page, handlers[t->kind], s);
	s->many_changes = FALSE;
	g_free(t->next_key);
	t->next_key = NULL;
	if (page->more && page->rows->len > 0) {
		last = g_ptr_array_index(page->rows, page->rows->len - 1);
		t->next_key = g_strdup(last->key);
		return;
	}
	t->complete = TRUE;
	t->ver = t->view.listed_ver;
	store_sync_era_listed(t);
	log_event(LOG_INFO, "store.listed", "table", table_defs[t->kind].name,
	    "rows", log_num((long long)g_hash_table_size(t->view.known)),
	    "version", log_num((long long)t->ver), "took_ms",
	    log_num(clock_now() - t->called_at), NULL);
}

/*
 * Sends the changes since @from to the hosts of the region. During a listing
 * they are kept until its end: only then do they lead to a later version.
 */
static void
send_changes(synced_table_t *t, uint64_t from)
{
	store_sync_t *s = t->sync;
	table_update_t update = {
	    .table = t->kind,
	    .lapse_left_ms = MAX(s->lapse_until - clock_now(), 0),
	};

	if (!t->complete)
		return;
	if (from == 0) {
		table_queue_clear(&t->for_peers);
		return;
	}
	table_queue_update(
	    &t->for_peers, from, t->ver, t->answered_at, &update);
	if (s->send != NULL)
		s->send(s->send_arg, &update);
	g_ptr_array_free(update.rows, TRUE);
}

static void
note_up_to_date(synced_table_t *t)
{
	view_t *v = t->sync->view;

	if (!t->complete)
		return;
	if (t->kind == SYNCED_ORDERS) {
		v->orders_synced_at = t->called_at;
		orders_lag_known(&v->orders_lag, t->ver);
	} else if (t->kind == SYNCED_SERVERS) {
		v->servers_synced_at = t->called_at;
	} else if (t->kind == SYNCED_FLEET) {
		fleet_synced(&v->fleet, MAX(t->called_at, t->answered_at));
	}
}

/* A host knows that it lacks changes: what leads on from them does not join
 * what it has. */
static void
note_gap(synced_table_t *t, const table_update_t *update)
{
	if (t->gap_at == 0) {
		t->gap_at = clock_now();
		t->sync->counts.gaps++;
	}
	log_event(LOG_INFO, "store.changes_missed", "table",
	    table_defs[t->kind].name, "known", log_num((long long)t->ver),
	    "from", log_num((long long)update->from), NULL);
}

static void
note_gap_closed(synced_table_t *t)
{
	if (t->gap_at == 0 || !t->complete)
		return;
	log_event(LOG_INFO, "store.changes_read", "table",
	    table_defs[t->kind].name, "version", log_num((long long)t->ver),
	    "took_ms", log_num(clock_now() - t->gap_at), NULL);
	t->sync->counts.gaps_closed++;
	t->gap_at = 0;
}

static msec_t
shared_delay(const synced_table_t *t, msec_t now)
{
	const view_t *v = t->sync->view;
	const poll_state_t state = {
	    .rank = fleet_reader_rank(&v->fleet, v->settings->region, now),
	    .asked_at = t->own_call_at,
	    .answered_at = t->answered_at,
	    .had_changes = t->had_changes,
	    .fresh_at = t->fresh_at,
	};

	return MAX(
	    poll_schedule_next(&state, table_defs[t->kind].every_ms) - now, 0);
}

static msec_t
call_delay(const synced_table_t *t)
{
	msec_t now = clock_now();

	if (t->failures > 0)
		return poll_schedule_retry_delay(t->failures);
	/* After a listing, wait for changes at once. */
	if (!t->complete || t->listing)
		return 0;
	if (table_defs[t->kind].shared)
		return shared_delay(t, now);
	return MAX(t->called_at + table_defs[t->kind].every_ms - now, 0);
}

static void
on_page(void *arg, table_outcome_t outcome, const table_page_t *page,
    const GError *err)
{
	synced_table_t *t = arg;
	uint64_t from;

	t->call = NULL;
	if (store_sync_check_era(t->sync, &outcome)) {
		note_answer(t, page);
		return;
	}
	switch (outcome) {
	case TABLE_DONE:
		note_answer(t, page);
		from = t->ver;
		table_queue_expire(&t->for_peers, t->answered_at);
		apply_page(t, page);
		note_up_to_date(t);
		note_gap_closed(t);
		t->fresh_at = t->answered_at;
		t->had_changes = page->rows->len > 0;
		if (table_defs[t->kind].shared)
			send_changes(t, from);
		break;
	case TABLE_HISTORY_LOST:
		note_answer(t, NULL);
		log_event(LOG_INFO, "store.history_lost", "table",
		    table_defs[t->kind].name, "after",
		    log_num((long long)t->ver), NULL);
		t->complete = FALSE;
		break;
	case TABLE_CONFLICT:
	case TABLE_FAILED:
	case TABLE_UNKNOWN:
		note_failure(t, err);
		break;
	}
	schedule(t->timer, call_delay(t));
	if (t->sync->store_back)
		store_sync_retry_failed(t->sync);
}

static void
start_call(synced_table_t *t)
{
	store_sync_t *s = t->sync;
	const char *name = table_defs[t->kind].name;

	t->called_at = clock_now();
	t->own_call_at = t->called_at;
	t->listing = !t->complete;
	if (t->listing) {
		if (t->next_key == NULL)
			table_view_begin(&t->view);
		t->call =
		    table_store_read(&s->store, name, t->next_key, on_page, t);
	} else {
		/* After a failure, an answer is more urgent than a change. */
		t->call = table_store_feed(&s->store, name, t->ver,
		    t->failures > 0 ? 0 : table_defs[t->kind].wait_ms, on_page,
		    t);
	}
}

void
store_sync_restart_call(synced_table_t *t)
{
	if (t->call != NULL)
		table_call_cancel(t->call);
	t->call = NULL;
	start_call(t);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	synced_table_t *t = arg;

	(void)fd;
	(void)what;
	if (t->call == NULL)
		start_call(t);
}

static gboolean
is_to_repeat(const synced_table_t *t, msec_t now)
{
	if (t->call != NULL && !poll_schedule_is_stuck(t->own_call_at, now))
		return FALSE;
	return t->failures > 0 ||
	    (t->call != NULL && !table_call_is_answering(t->call) &&
		poll_schedule_may_be_silent(t->own_call_at, t->sync->lost_at));
}

void
store_sync_retry_failed(store_sync_t *s)
{
	msec_t now = clock_now();
	int i;

	s->store_back = FALSE;
	for (i = 0; i < SYNCED_TABLES; i++) {
		synced_table_t *t = &s->tables[i];

		if (is_to_repeat(t, now))
			store_sync_restart_call(t);
	}
}

void
store_sync_receive(
    store_sync_t *s, const table_update_t *update, const table_page_t *page)
{
	synced_table_t *t;
	msec_t now = clock_now();

	if (update->table >= SYNCED_TABLES || !table_defs[update->table].shared)
		return;
	t = &s->tables[update->table];
	if (!t->complete || t->listing)
		return;
	switch (table_update_judge(update, t->ver)) {
	case TABLE_UPDATE_OLD:
		return;
	case TABLE_UPDATE_GAP:
		note_gap(t, update);
		if (t->call == NULL)
			start_call(t);
		return;
	case TABLE_UPDATE_JOINS:
		break;
	}
	s->lapse_until = MAX(s->lapse_until, now + update->lapse_left_ms);
	t->called_at = now;
	apply_changes(t, page);
	table_queue_clear(&t->for_peers);
	t->ver = MAX(t->ver, update->to);
	note_gap_closed(t);
	t->fresh_at = now;
	note_up_to_date(t);
	/* Changes from peers don't put off the retry of a failed call. */
	if (t->call == NULL && t->failures == 0)
		schedule(t->timer, call_delay(t));
}

void
store_sync_on_newer_orders(store_sync_t *s, uint64_t orders_ver)
{
	synced_table_t *t = &s->tables[SYNCED_ORDERS];

	orders_lag_heard(&s->view->orders_lag, orders_ver, clock_now());
	if (orders_lag_ms(&s->view->orders_lag, clock_now()) == 0)
		return;
	if (t->call == NULL || clock_now() - t->called_at < FEED_BEHIND_MS ||
	    table_call_is_answering(t->call))
		return;
	log_event(LOG_INFO, "store.feed_behind", "known",
	    log_num((long long)s->view->orders_ver), "peer",
	    log_num((long long)orders_ver), NULL);
	table_store_reconnect(&s->store);
	store_sync_restart_call(t);
}

gboolean
store_sync_is_reachable(const store_sync_t *s)
{
	int i;

	for (i = 0; i < SYNCED_TABLES; i++) {
		if (s->tables[i].failures > 0)
			return FALSE;
	}
	return TRUE;
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	store_sync_t *s = arg;
	view_t *v = s->view;
	GArray *writes = g_array_new(FALSE, TRUE, sizeof(shift_write_t));
	msec_t now = clock_now();
	gboolean ready;
	guint i;

	(void)fd;
	(void)what;
	registry_expire(&v->registry, now);
	fleet_tick(&v->fleet, now);
	store_away_tick(&s->away, &v->fleet, store_sync_is_reachable(s), now);
	balance_tick(&v->registry, &v->fleet, now);
	dispatch_tick(&v->dispatch, now);
	/* If hosts are lost, ranks change: the new first host must read at
	 * once. */
	for (i = 0; i < SYNCED_TABLES; i++) {
		if (table_defs[i].shared && s->tables[i].call == NULL &&
		    s->tables[i].complete && s->tables[i].failures == 0)
			schedule(s->tables[i].timer, call_delay(&s->tables[i]));
	}
	ready = view_is_ready(v);
	v->rates.ready = ready;
	rate_lender_tick(&v->rates, v->admission.manifest, now);
	server_limits_tick(&v->server_limits, ready, now);
	if (ready)
		shifts_tick(&v->shifts, &v->registry, &v->fleet, now,
		    view_store_now(v, now), writes);
	for (i = 0; i < writes->len; i++)
		store_sync_write_shift(
		    s, &g_array_index(writes, shift_write_t, i));
	g_array_free(writes, TRUE);
}

void
store_sync_init(
    store_sync_t *s, view_t *view, struct event_base *base, http_client_t *http)
{
	const struct timeval tick = {0, TICK_MS * 1000};
	int i;

	memset(s, 0, sizeof(*s));
	s->view = view;
	s->base = base;
	s->shift_writes = g_ptr_array_new();
	table_store_init(&s->store, http, view->settings->store);
	for (i = 0; i < SYNCED_TABLES; i++) {
		synced_table_t *t = &s->tables[i];

		t->sync = s;
		t->kind = (synced_table_kind_t)i;
		table_view_init(&t->view);
		/* Servers write their entries again in a moment. */
		t->view.holds_lost = t->kind != SYNCED_SERVERS;
		table_queue_init(&t->for_peers);
		t->timer = evtimer_new(base, on_timer, t);
		/* The fleet's table is listed after this host's row was
		 * written.
		 */
		if (t->kind != SYNCED_FLEET)
			schedule(t->timer, 0);
	}
	s->join_timer = evtimer_new(base, store_sync_on_join_timer, s);
	schedule(s->join_timer, 0);
	s->tick_timer = event_new(base, -1, EV_PERSIST, on_tick, s);
	event_add(s->tick_timer, &tick);
}

void
store_sync_finish(store_sync_t *s)
{
	guint i;

	for (i = 0; i < SYNCED_TABLES; i++) {
		synced_table_t *t = &s->tables[i];

		if (t->call != NULL)
			table_call_cancel(t->call);
		event_free(t->timer);
		g_free(t->next_key);
		table_queue_finish(&t->for_peers);
		table_view_finish(&t->view);
	}
	store_sync_cancel_writes(s);
	event_free(s->join_timer);
	event_free(s->tick_timer);
	table_store_finish(&s->store);
}
