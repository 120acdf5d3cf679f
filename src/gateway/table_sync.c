#include "gateway/status_send.h"
#include "gateway/table_sync.h"

static size_t
encode_notice(
    const status_sync_t *s, const table_update_t *update, uint8_t *data)
{
	GPtrArray *no_rows = g_ptr_array_new();
	table_update_t notice = *update;
	size_t len;

	notice.from = notice.to;
	notice.rows = no_rows;
	(void)table_update_encode(
	    &notice, 0, &s->store_sync->secret, data, &len);
	g_ptr_array_free(no_rows, TRUE);
	return len;
}

/* Sends rows, or in place of those that the link has no room for a notice that
 * they have changed. */
static void
send_update(status_sync_t *s, const table_update_t *update, const GPtrArray *to)
{
	uint8_t data[PEER_MSG_MAX_BYTES], notice[PEER_MSG_MAX_BYTES];
	size_t len, notice_len = encode_notice(s, update, notice);
	table_update_t rest = *update;
	fanout_verdict_t verdict;
	guint next = 0;

	do {
		next = table_update_encode(
		    &rest, next, &s->store_sync->secret, data, &len);
		verdict = fanout_choose(
		    &s->fanout, len, notice_len, to->len, clock_now());
		switch (verdict) {
		case FANOUT_ROWS:
			status_send_all(s, to, data, len);
			break;
		case FANOUT_NOTICE:
			status_send_all(s, to, notice, notice_len);
			metrics_count(s->metrics, s->notices, 1);
			return;
		case FANOUT_NOTHING:
			metrics_count(s->metrics, s->notices_omitted, 1);
			return;
		}
	} while (next < update->rows->len);
}

void
table_sync_receive(status_sync_t *s, const uint8_t *data, size_t len)
{
	GPtrArray *to;
	table_update_t update;
	table_page_t page;

	if (!table_update_decode(
		data, len, &s->store_sync->secret, &update, &page)) {
		metrics_count(s->metrics, s->rejected, 1);
		return;
	}
	if (update.relay &&
	    fanout_is_due(&s->fanout, update.table, update.from, update.to,
		clock_now())) {
		table_update_t passed = update;

		passed.relay = FALSE;
		passed.rows = page.rows;
		to = g_ptr_array_new();
		status_append_domain(s->view, to);
		send_update(s, &passed, to);
		g_ptr_array_free(to, TRUE);
		metrics_count(s->metrics, s->relayed, 1);
	}
	store_sync_receive(s->store_sync, &update, &page);
	table_page_finish(&page);
}

void
table_sync_send(void *arg, table_update_t *update)
{
	status_sync_t *s = arg;
	GPtrArray *to;

	if (!s->store_sync->has_secret)
		return;
	to = g_ptr_array_new();
	update->relay = TRUE;
	status_append_collectors(s->view, to, FALSE);
	send_update(s, update, to);
	g_ptr_array_set_size(to, 0);
	update->relay = FALSE;
	status_append_domain(s->view, to);
	send_update(s, update, to);
	g_ptr_array_free(to, TRUE);
}
