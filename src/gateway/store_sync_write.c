#include <string.h>

#include <sodium.h>

#include "base/log.h"
#include "gateway/store_sync_era.h"
#include "gateway/store_sync_rows.h"
#include "gateway/store_sync_write.h"
#include "platform/wire_entries.h"
#include "protocol/fleet_rows.h"

/* The hosts of a fleet start at almost the same time. A host that lists them
 * this long after it has written its own row finds most of the others. */
#define LIST_DELAY_MS 300
/* Time between checks whether the fleet's table has been listed, and time
 * before a failed write is repeated. */
#define JOIN_POLL_MS 50
#define JOIN_RETRY_MS 300

/* Hosts that start a fleet together try to write its secret one after the
 * other, so that most of them find it written. A step is the usual duration of
 * a round trip to the store. */
#define SECRET_STEPS 16
#define SECRET_STEP_MS 60

static void
schedule(struct event *timer, msec_t ms)
{
	struct timeval tv = {ms / MSEC_PER_SEC, (ms % MSEC_PER_SEC) * 1000};

	event_add(timer, &tv);
}

/* The answer to a conflicting write holds the secret that was written first. */
static void
take_first_secret(store_sync_t *s, const table_page_t *page)
{
	guint i;

	for (i = 0; page != NULL && i < page->rows->len; i++) {
		const table_row_t *row = g_ptr_array_index(page->rows, i);

		if (strcmp(row->key, FLEET_KEY_SECRET) == 0)
			store_sync_take_fleet(s, row);
	}
}

static void
on_secret(void *arg, table_outcome_t outcome, const table_page_t *page,
    const GError *err)
{
	store_sync_t *s = arg;

	s->join_write = NULL;
	store_sync_check_era(s, &outcome);
	if (outcome == TABLE_DONE) {
		s->secret = s->offered_secret;
		s->has_secret = TRUE;
		s->secret_due = FALSE;
	} else if (outcome == TABLE_CONFLICT) {
		take_first_secret(s, page);
	}
	log_event(outcome == TABLE_CONFLICT ? LOG_DEBUG : LOG_INFO,
	    "secret.written", "outcome",
	    outcome == TABLE_DONE	    ? "done"
		: outcome == TABLE_CONFLICT ? "another host was first"
					    : "failed",
	    "error", err != NULL ? err->message : NULL, NULL);
	if ((!s->has_secret || s->secret_due) && !s->view->leaving)
		schedule(s->join_timer, SECRET_STEPS * SECRET_STEP_MS);
}

static void
write_secret(store_sync_t *s)
{
	table_write_t w = {.n = 0};
	char *value;

	/* A secret that the store lost is in use. */
	if (s->has_secret)
		s->offered_secret = s->secret;
	else
		randombytes_buf(
		    s->offered_secret.bytes, sizeof(s->offered_secret.bytes));
	if (s->secret_due)
		store_sync_count_rewrite(s, FLEET_KEY_SECRET);
	value = fleet_rows_secret(&s->offered_secret);
	table_write_put_if(
	    &w, FLEET_TABLE, FLEET_KEY_SECRET, value, s->secret_ver);
	s->join_write = table_store_write(&s->store, &w, on_secret, s);
	g_free(value);
}

static void write_host_row(store_sync_t *s);

static own_row_verdict_t
see_own_row(store_sync_t *s, const fleet_rows_t *r, uint64_t ver)
{
	const own_row_seen_t seen = {
	    .removed = r->removed,
	    .left = !r->removed && r->times.left_ms != 0,
	    .incarnation = r->removed ? 0 : r->u.host.incarnation,
	    .ver = ver,
	};

	return own_row_seen(&s->own_row, &seen);
}

/* The row of this host's last start says whether it is still a member. */
static void
take_last_row(store_sync_t *s, const fleet_rows_t *r)
{
	int64_t now_ms = view_store_now(s->view, clock_now());

	if (!r->removed &&
	    (r->times.left_ms == 0 ||
		fleet_members_keeps(now_ms - r->times.left_ms)))
		s->times.joined_ms = r->times.joined_ms;
}

/* The row has another version than the write expected. */
static void
on_row_conflict(store_sync_t *s, const table_page_t *page)
{
	gboolean first = s->own_row.expected == 0, join = !s->view->joined;
	const own_row_seen_t absent = {.removed = TRUE, .ver = page->ver};
	const table_row_t *row =
	    page->rows->len > 0 ? g_ptr_array_index(page->rows, 0) : NULL;
	own_row_verdict_t verdict;
	fleet_rows_t r;

	if (row == NULL) {
		verdict = own_row_seen(&s->own_row, &absent);
	} else if (fleet_rows_decode(row, &r, NULL)) {
		if (join)
			take_last_row(s, &r);
		verdict = see_own_row(s, &r, row->ver);
		fleet_rows_clear(&r);
	} else {
		/* What can't be read is replaced. */
		s->own_row.expected = row->ver;
		verdict = OWN_ROW_WRITE;
	}
	log_event(LOG_INFO, "host.row_conflict", "leaving",
	    s->view->leaving ? "1" : "0", "joined", join ? "0" : "1", "verdict",
	    log_num(verdict), "row_version",
	    log_num((long long)s->own_row.expected), NULL);
	/* A start always takes the row over. */
	if (verdict != OWN_ROW_WRITE && (!join || s->view->leaving)) {
		s->row_due = FALSE;
		return;
	}
	if (first || s->view->leaving)
		write_host_row(s);
	else
		schedule(s->join_timer, JOIN_RETRY_MS);
}

void
store_sync_take_own_row(store_sync_t *s, const fleet_rows_t *r, uint64_t ver)
{
	/* The start is decided by the answers to its writes. */
	if (!s->view->joined)
		return;
	switch (see_own_row(s, r, ver)) {
	case OWN_ROW_STANDS:
		return;
	case OWN_ROW_SUPERSEDED:
		log_event(LOG_WARN, "host.superseded", "row_version",
		    log_num((long long)ver), NULL);
		return;
	case OWN_ROW_WRITE:
		break;
	}
	log_event(LOG_WARN, "host.row_overwritten", "row_version",
	    log_num((long long)ver), "removed", r->removed ? "1" : "0",
	    "leaving", s->view->leaving ? "1" : "0", NULL);
	s->row_due = TRUE;
	if (s->join_write == NULL)
		write_host_row(s);
	else
		schedule(s->join_timer, JOIN_POLL_MS);
}

static void
on_joined(void *arg, table_outcome_t outcome, const table_page_t *page,
    const GError *err)
{
	store_sync_t *s = arg;

	s->join_write = NULL;
	store_sync_check_era(s, &outcome);
	if (outcome == TABLE_CONFLICT) {
		on_row_conflict(s, page);
		return;
	}
	if (outcome != TABLE_DONE) {
		log_event(LOG_WARN, "host.row_not_written", "error",
		    err != NULL ? err->message : NULL, NULL);
		if (!s->view->leaving)
			schedule(s->join_timer, JOIN_RETRY_MS);
		return;
	}
	own_row_written(&s->own_row, page->ver);
	s->row_due = FALSE;
	log_event(LOG_INFO,
	    s->view->leaving ? "host.left_written" : "host.joined",
	    "incarnation", log_num((long long)s->view->incarnation),
	    "joined_ms", log_num(s->times.joined_ms), NULL);
	if (s->view->leaving)
		return;
	if (s->view->joined) {
		if (s->secret_due)
			store_sync_write_soon(s);
		return;
	}
	s->view->joined = TRUE;
	fleet_join(&s->view->fleet, s->times.joined_ms - s->view->store_offset);
	schedule(s->tables[SYNCED_FLEET].timer, LIST_DELAY_MS);
	/* Most hosts find the secret in their listing. */
	if (s->view->fleet.self % SECRET_STEPS == 0)
		write_secret(s);
	schedule(s->join_timer,
	    LIST_DELAY_MS +
		(msec_t)(s->view->fleet.self % SECRET_STEPS) * SECRET_STEP_MS);
}

/* Writes that this host runs or leaves, in place of the row that is known. */
static void
write_host_row(store_sync_t *s)
{
	const gateway_settings_t *set = s->view->settings;
	const fleet_row_t row = {.callers = set->callers,
	    .peer = set->peers,
	    .region = set->region,
	    .domain = set->domain,
	    .incarnation = s->view->incarnation,
	    .strength = s->view->fleet.strength};
	char *key = g_strconcat(FLEET_KEY_HOST, set->id, NULL), *value;
	table_write_t w = {.n = 0};

	s->row_due = TRUE;
	s->own_row.incarnation = s->view->incarnation;
	s->own_row.leaving = s->view->leaving;
	if (s->view->leaving && s->times.left_ms == 0)
		s->times.left_ms = view_store_now(s->view, clock_now());
	if (s->times.joined_ms == 0)
		s->times.joined_ms = (int64_t)s->view->incarnation;
	value = fleet_rows_host(&row, &s->times);
	/* The write may be performed late, when this host has started again. */
	table_write_put_if(&w, FLEET_TABLE, key, value, s->own_row.expected);
	s->join_write = table_store_write(&s->store, &w, on_joined, s);
	g_free(key);
	g_free(value);
}

void
store_sync_on_join_timer(evutil_socket_t fd, short what, void *arg)
{
	store_sync_t *s = arg;

	(void)fd;
	(void)what;
	if (s->view->leaving)
		return;
	if (s->join_write != NULL || s->view->incarnation == 0 ||
	    (s->view->joined && !s->tables[SYNCED_FLEET].complete))
		schedule(s->join_timer, JOIN_POLL_MS);
	else if (!s->view->joined || s->row_due)
		write_host_row(s);
	else if (!s->has_secret || s->secret_due)
		write_secret(s);
}

void
store_sync_write_soon(store_sync_t *s)
{
	/* Hosts write one after the other, so that most of them find the
	 * secret written. */
	schedule(s->join_timer,
	    s->row_due ? 0
		       : LIST_DELAY_MS +
		    (msec_t)(s->view->fleet.self % SECRET_STEPS) *
			SECRET_STEP_MS);
}

void
store_sync_leave(store_sync_t *s)
{
	/* A write in flight may still be performed. */
	if (!s->view->joined && s->join_write == NULL)
		return;
	if (s->join_write != NULL)
		table_call_cancel(s->join_write);
	s->join_write = NULL;
	write_host_row(s);
}

typedef struct {
	store_sync_t *sync;
	table_call_t *call;
	char *service;
	shift_state_t state;
} shift_row_write_t;

static void
on_shift_written(void *arg, table_outcome_t outcome, const table_page_t *page,
    const GError *err)
{
	shift_row_write_t *w = arg;
	static const char *const outcomes[] = {
	    [TABLE_DONE] = "done",
	    [TABLE_CONFLICT] = "another host was first",
	    [TABLE_HISTORY_LOST] = "forgot",
	    [TABLE_FAILED] = "failed",
	    [TABLE_UNKNOWN] = "unknown",
	};

	(void)page;
	store_sync_check_era(w->sync, &outcome);
	log_event(LOG_INFO, "shift.written", "service", w->service, "state",
	    log_num(w->state), "outcome", outcomes[outcome], "error",
	    err != NULL ? err->message : NULL, NULL);
	g_ptr_array_remove_fast(w->sync->shift_writes, w);
	g_free(w->service);
	g_free(w);
}

void
store_sync_write_shift(store_sync_t *s, const shift_write_t *write)
{
	static const wire_shift_state_t states[] = {
	    [SHIFT_RUNNING] = WIRE_SHIFT_RUNNING,
	    [SHIFT_COMPLETED] = WIRE_SHIFT_COMPLETED,
	    [SHIFT_ROLLED_BACK] = WIRE_SHIFT_ROLLED_BACK,
	};
	char *key = g_strconcat(FLEET_KEY_SHIFT, write->service, NULL);
	char *value = fleet_rows_shift(&write->row);
	char *status_key = wire_status_key(write->service);
	char *status =
	    wire_status_encode(states[write->row.state], write->row.to);
	shift_row_write_t *w = g_new0(shift_row_write_t, 1);
	table_write_t tx = {.n = 0};

	w->sync = s;
	w->service = g_strdup(write->service);
	w->state = write->row.state;
	table_write_put_if(&tx, FLEET_TABLE, key, value, write->expected);
	table_write_put(&tx, WIRE_TABLE_STATUS, status_key, status);
	if (write->rewrite)
		store_sync_count_rewrite(s, key);
	log_event(LOG_INFO, "shift.decided", "service", write->service, "to",
	    write->row.to, "state", log_num(write->row.state), "verdict",
	    log_num(write->verdict), "seen", log_num(write->seen.requests),
	    "errors", log_num(write->seen.bad[JUDGE_ERRORS]), "slow",
	    log_num(write->seen.bad[JUDGE_SLOW]), "counted_ms",
	    log_num(write->counted_from != 0
		    ? view_store_now(s->view, clock_now()) - write->counted_from
		    : 0),
	    NULL);
	g_ptr_array_add(s->shift_writes, w);
	w->call = table_store_write(&s->store, &tx, on_shift_written, w);
	g_free(key);
	g_free(value);
	g_free(status_key);
	g_free(status);
}

void
store_sync_cancel_writes(store_sync_t *s)
{
	guint i;

	for (i = 0; i < s->shift_writes->len; i++) {
		shift_row_write_t *w = g_ptr_array_index(s->shift_writes, i);

		table_call_cancel(w->call);
		g_free(w->service);
		g_free(w);
	}
	if (s->join_write != NULL)
		table_call_cancel(s->join_write);
	g_ptr_array_free(s->shift_writes, TRUE);
}
