#include <stdlib.h>

#include "base/error.h"
#include "base/log.h"
#include "coordination/roster.h"
#include "host/join.h"
#include "protocol/rows.h"

char *
join_row_key(const char *id)
{
	return g_strconcat(ROWS_HOST, id, NULL);
}

static char *
encode_row(const host_t *h, uint64_t incarnation, host_state_t state)
{
	const settings_t *s = &h->settings;
	const host_row_t row = {
	    .incarnation = incarnation,
	    .state = state,
	    .token = h->token,
	    .rpc = s->rpc,
	    .callers = s->callers,
	    .region = s->region,
	    .domain = s->domain,
	};

	return rows_encode(&row_host, &row);
}

static uint64_t
version_of(const host_t *h, const char *key)
{
	const mirror_row_t *row = mirror_get(&h->mirror, key);

	return row != NULL ? row->version : 0;
}

static uint64_t
last_incarnation(const host_t *h)
{
	const mirror_row_t *row = mirror_get(&h->mirror, ROWS_INCARNATION);
	incarnation_row_t last = {0};

	if (row != NULL)
		rows_decode(&row_incarnation, row->value, &last, NULL);
	return last.last;
}

static void
on_joined(void *arg, const store_result_t *result, const GError *err)
{
	host_t *h = arg;

	h->joining = FALSE;
	if (err == NULL) {
		host_joined(h, h->join_incarnation, result->u.version);
		mirror_scan(&h->mirror);
		return;
	}
	/* Whatever the error was, the next scan shows the present rows. */
	log_event(LOG_WARN, "roster.join.failed", "error", err->message, NULL);
	h->join_outcome_unknown = err->code == ERROR_UNKNOWN;
	h->join_scan_after = clock_now();
	mirror_scan(&h->mirror);
}

void
join_tick(host_t *h)
{
	incarnation_row_t counter = {last_incarnation(h) + 1};
	char *own = join_row_key(h->settings.id);
	char *host_value, *counter_value;

	if (h->incarnation == 0 && !h->joining && !h->join_outcome_unknown &&
	    h->mirror.sent_at > h->join_scan_after) {
		host_value = encode_row(h, counter.last, HOST_LIVE);
		counter_value = rows_encode(&row_incarnation, &counter);
		const store_check_t checks[] = {
		    {own, version_of(h, own)},
		    {ROWS_INCARNATION, version_of(h, ROWS_INCARNATION)},
		};
		const store_write_t writes[] = {
		    {own, host_value},
		    {ROWS_INCARNATION, counter_value},
		};
		const store_txn_t txn = {checks, 2, writes, 2};

		h->joining = TRUE;
		h->join_incarnation = counter.last;
		store_txn(&h->store, &txn, on_joined, h);
		free(host_value);
		free(counter_value);
	}
	g_free(own);
}

void
join_scanned(host_t *h)
{
	char *own = join_row_key(h->settings.id);
	const mirror_row_t *row = mirror_get(&h->mirror, own);
	host_row_t value = {0};

	g_free(own);
	if (row == NULL || !rows_decode(&row_host, row->value, &value, NULL))
		goto out;
	if (h->incarnation == 0 && value.token == h->token)
		host_joined(h, value.incarnation, row->version);
	rows_clear(&row_host, &value);
out:
	/* A new join is safe: the checks of an earlier one that is still under
	 * way fail once the new one has taken effect. */
	if (h->mirror.sent_at > h->join_scan_after)
		h->join_outcome_unknown = FALSE;
}

typedef struct {
	host_t *host;
	void (*done)(host_t *h);
} leave_t;

static void
on_left(void *arg, const store_result_t *result, const GError *err)
{
	leave_t *leave = arg;

	if (err != NULL)
		log_event(LOG_WARN, "roster.leave.failed", "error",
		    err->message, NULL);
	else if (result->u.version > leave->host->row_version)
		leave->host->row_version = result->u.version;
	if (leave->done != NULL)
		leave->done(leave->host);
	g_free(leave);
}

void
join_leave(host_t *h, gboolean gone, void (*done)(host_t *h))
{
	char *own = join_row_key(h->settings.id);
	char *value = gone ? NULL : encode_row(h, h->incarnation, HOST_LEAVING);
	const store_check_t checks[] = {{own, h->row_version}};
	const store_write_t writes[] = {{own, value}};
	const store_txn_t txn = {checks, 1, writes, 1};
	leave_t *leave = g_new0(leave_t, 1);

	leave->host = h;
	leave->done = done;
	store_txn(&h->store, &txn, on_left, leave);
	free(value);
	g_free(own);
}
