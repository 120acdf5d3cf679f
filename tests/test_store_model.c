#include <stdlib.h>
#include <string.h>

#include "coordination/fanout.h"
#include "protocol/table_queue.h"
#include "protocol/table_view.h"
#include "suite.h"

/*
 * Plays all sequences of DEPTH events from some starting points with the code
 * that decides about a host's view of the store: a table of three rows, in
 * pages of two, hosts of which two read the table in turn, and datagrams of one
 * row that are lost, late or doubled. Two properties are checked after each
 * event:
 *
 * - no host claims a version whose changes it lacks. Where lost rows are held,
 *   a removal before the first listing of an era can't be told from a loss;
 * - a row that a host saw removed does not come back by an older copy.
 */

#define DEPTH 3 /* or the environment variable MODEL_DEPTH */
#define KEYS 3
#define PAGE_ROWS 2
#define HOSTS 3
#define VALUE_BYTES 4050 /* two rows don't fit in a datagram */
#define EVENT_MS 260	 /* between two events */
#define MESSAGES_MAX 16
#define WRITES_MAX 32
#define TABLE 1

static const peer_secret_t secret = {{1}};
static const char *const keys[KEYS] = {"a", "b", "c"};

typedef struct {
	uint64_t ver;
	char letter; /* its value is made of it; 0: removed */
} cell_t;

typedef struct {
	cell_t cells[KEYS];
	uint64_t ver, era, history_since;
} store_t;

typedef struct {
	table_view_t view;
	table_queue_t queue;
	uint64_t ver;
	gboolean complete, listing;
	guint next; /* key at which the listing continues */
	store_era_t era;
	gboolean saw_removed[KEYS];
} host_t;

typedef struct {
	uint8_t data[PEER_MSG_MAX_BYTES];
	size_t len;
	guint sender;
} message_t;

typedef struct {
	store_t store, copy;
	host_t hosts[HOSTS];
	message_t messages[MESSAGES_MAX];
	guint nmessages;
	struct {
		guint key;
		uint64_t ver; /* with its era */
		gboolean removed;
	} writes[WRITES_MAX];
	guint nwrites;
	msec_t now;
	gboolean holds_lost;
	fanout_t fanout; /* of the collector before the last host */
	char played[32];
} model_t;

static void
store_write(model_t *m, guint key, gboolean removed)
{
	store_t *s = &m->store;

	s->cells[key].ver = ++s->ver;
	s->cells[key].letter = removed ? 0 : (char)('a' + s->ver % 26);
	m->writes[m->nwrites].key = key;
	m->writes[m->nwrites].removed = removed;
	ck_assert(
	    store_era_compose(s->era, s->ver, &m->writes[m->nwrites++].ver));
}

static void
page_add(table_page_t *page, const store_t *s, guint key)
{
	table_row_t *row = table_page_add(page);

	row->key = g_strdup(keys[key]);
	row->ver = s->cells[key].ver;
	if (s->cells[key].letter == 0)
		return;
	row->value = g_strnfill(VALUE_BYTES, s->cells[key].letter);
	row->len = VALUE_BYTES;
}

static void
on_change(void *arg, const table_row_t *row)
{
	host_t *h = arg;

	if (row->value == NULL)
		h->saw_removed[row->key[0] - 'a'] = TRUE;
	table_queue_add(&h->queue, row);
}

static void
send_changes(model_t *m, guint sender, uint64_t from)
{
	host_t *h = &m->hosts[sender];
	table_update_t update = {.table = TABLE};
	guint next = 0;

	if (from == 0) {
		table_queue_clear(&h->queue);
		return;
	}
	table_queue_update(&h->queue, from, h->ver, m->now, &update);
	do {
		message_t *msg = &m->messages[m->nmessages];

		ck_assert_uint_lt(m->nmessages++, MESSAGES_MAX);
		msg->sender = sender;
		next = table_update_encode(
		    &update, next, &secret, msg->data, &msg->len);
	} while (next < update.rows->len);
	g_ptr_array_free(update.rows, TRUE);
}

/* One call of a host for the table, as store_sync makes it. */
static void
read_table(model_t *m, guint reader)
{
	host_t *h = &m->hosts[reader];
	const store_t *s = &m->store;
	uint64_t from = h->ver;
	table_page_t page;
	guint i;

	table_page_init(&page);
	page.ver = s->ver;
	h->listing = !h->complete;
	if (h->listing) {
		for (i = h->next; i < KEYS && page.rows->len < PAGE_ROWS; i++)
			if (s->cells[i].letter != 0)
				page_add(&page, s, i);
		page.more = i < KEYS;
	} else {
		for (i = 0; i < KEYS; i++)
			if (s->cells[i].ver > store_era_number(h->ver))
				page_add(&page, s, i);
	}
	ck_assert(table_page_set_era(&page, s->era));
	if (store_era_seen(&h->era, s->era) == STORE_ERA_NEWER) {
		h->complete = FALSE;
		h->next = 0;
		h->ver = 0;
		table_queue_clear(&h->queue);
	} else if (h->complete &&
	    (store_era_number(h->ver) < s->history_since ||
		store_era_number(h->ver) > s->ver)) {
		h->complete = FALSE;
		h->next = 0;
	} else if (h->listing) {
		if (h->next == 0)
			table_view_begin(&h->view);
		table_queue_expire(&h->queue, m->now);
		table_view_page(&h->view, &page, on_change, h);
		h->next = page.more ? i : 0;
		h->complete = !page.more;
		if (h->complete) {
			/* A call for changes follows at once. */
			h->listing = FALSE;
			h->ver = h->view.listed_ver;
			send_changes(m, reader, from);
		}
	} else {
		table_queue_expire(&h->queue, m->now);
		table_view_changes(&h->view, &page, on_change, h);
		h->ver = MAX(h->ver, table_page_end(&page));
		send_changes(m, reader, from);
	}
	table_page_finish(&page);
}

static void
receive(model_t *m, host_t *h, const message_t *msg)
{
	table_update_t update;
	table_page_t page;

	ck_assert(
	    table_update_decode(msg->data, msg->len, &secret, &update, &page));
	if (h->complete && !h->listing &&
	    (h != &m->hosts[HOSTS - 1] ||
		fanout_is_due(&m->fanout, TABLE, update.from, update.to, 0)) &&
	    table_update_judge(&update, h->ver) == TABLE_UPDATE_JOINS) {
		table_view_changes(&h->view, &page, on_change, h);
		table_queue_clear(&h->queue);
		h->ver = MAX(h->ver, update.to);
	}
	table_page_finish(&page);
}

static void
drop_message(model_t *m)
{
	memmove(m->messages, m->messages + 1,
	    --m->nmessages * sizeof(m->messages[0]));
}

/* Return: FALSE if the event is not possible now. */
static gboolean
play_event(model_t *m, char event)
{
	message_t first;
	guint i;

	m->now += EVENT_MS;

	switch (event) {
	case 'a':
		store_write(m, 0, FALSE);
		return TRUE;
	case 'b':
		store_write(m, 1, m->store.cells[1].letter != 0);
		return TRUE;
	case 'c':
		store_write(m, 2, FALSE);
		return TRUE;
	case 'H': /* the store drops its history */
		m->store.history_since = m->store.ver;
		return TRUE;
	case 'E': /* it returns from the copy */
		m->copy.era = m->store.era + 1;
		m->store = m->copy;
		return TRUE;
	case 'K': /* it is copied */
		m->copy = m->store;
		return TRUE;
	case '0':
	case '1':
		read_table(m, (guint)(event - '0'));
		return TRUE;
	case '2':
		read_table(m, HOSTS - 1);
		return TRUE;
	case 'X':
	case 'D':
		if (m->nmessages == 0)
			return FALSE;
		for (i = 0; event == 'D' && i < HOSTS; i++)
			if (i != m->messages[0].sender)
				receive(m, &m->hosts[i], &m->messages[0]);
		drop_message(m);
		return TRUE;
	case 'S': /* the first message is late */
		if (m->nmessages < 2)
			return FALSE;
		first = m->messages[0];
		drop_message(m);
		m->messages[m->nmessages++] = first;
		return TRUE;
	}
	return FALSE;
}

/* A later write of the row is what a call for changes returns. */
static gboolean
is_superseded(const model_t *m, guint w)
{
	guint i;

	for (i = w + 1; i < m->nwrites; i++) {
		if (m->writes[i].key == m->writes[w].key &&
		    store_era_of(m->writes[i].ver) ==
			store_era_of(m->writes[w].ver))
			return TRUE;
	}
	return FALSE;
}

static void
check(const model_t *m)
{
	guint i, k, w;

	for (i = 0; i < HOSTS; i++) {
		const host_t *h = &m->hosts[i];

		for (w = 0; w < m->nwrites && h->complete; w++) {
			const era_row_t *row = g_hash_table_lookup(
			    h->view.known, keys[m->writes[w].key]);
			uint64_t ver = m->writes[w].ver;

			if (is_superseded(m, w) ||
			    (m->writes[w].removed && row != NULL &&
				(row->content == 0 ||
				    (m->holds_lost &&
					ver <= h->view.copy_end))))
				continue;
			ck_assert_msg(ver > h->ver ||
				store_era_of(ver) != store_era_of(h->ver) ||
				(row != NULL && row->ver >= ver),
			    "%s: host %u claims a version without its changes",
			    m->played, i);
		}
		for (k = 0; k < KEYS; k++) {
			const era_row_t *row =
			    g_hash_table_lookup(h->view.known, keys[k]);
			gboolean written = FALSE;

			if (row == NULL || row->content == 0 ||
			    !h->saw_removed[k])
				continue;
			for (w = 0; w < m->nwrites; w++)
				written |= m->writes[w].key == k &&
				    m->writes[w].ver == row->ver;
			ck_assert_msg(written,
			    "%s: host %u has a row back that was removed",
			    m->played, i);
		}
	}
}

static void
model_init(model_t *m, gboolean holds_lost)
{
	guint i;

	m->nmessages = m->nwrites = 0;
	m->now = 0;
	m->holds_lost = holds_lost;
	m->store = m->copy = (store_t){.ver = 1};
	fanout_init(&m->fanout, 1000, 0);
	for (i = 0; i < HOSTS; i++) {
		host_t *h = &m->hosts[i];

		memset(h, 0, sizeof(*h));
		table_view_init(&h->view);
		h->view.holds_lost = holds_lost;
		table_queue_init(&h->queue);
	}
}

static void
model_finish(model_t *m)
{
	guint i;

	for (i = 0; i < HOSTS; i++) {
		table_view_finish(&m->hosts[i].view);
		table_queue_finish(&m->hosts[i].queue);
	}
}

/* Return: the number of events that were possible. */
static size_t
play(const char *events, gboolean holds_lost)
{
	static model_t m;
	size_t i;

	model_init(&m, holds_lost);
	g_strlcpy(m.played, events, sizeof(m.played));
	for (i = 0; events[i] != '\0' && play_event(&m, events[i]); i++)
		check(&m);
	model_finish(&m);
	return i;
}

/* Plays all sequences that begin with @events. */
static guint
explore(char *events, size_t len, size_t end, gboolean holds_lost)
{
	static const char all[] = "abcHE012DXS";
	guint played = 1;
	size_t i;

	if (play(events, holds_lost) < len || len == end)
		return played;
	for (i = 0; all[i] != '\0'; i++) {
		events[len] = all[i];
		events[len + 1] = '\0';
		played += explore(events, len + 1, end, holds_lost);
	}
	events[len] = '\0';
	return played;
}

static void
test_all(void)
{
	/* All hosts have listed the rows; then the first changes follow. */
	static const char *const starts[] = {
	    "abc001122K", "abc001122KcbaH0", /* a listing of two pages is due */
	    "abc001122K0acH00",		     /* its first page has been read */
	    "abc001122Kcba0",		     /* its datagrams are under way */
	    "abc001122Kb0DacE",		     /* rows and a removal are lost */
	};
	const char *deeper = g_getenv("MODEL_DEPTH");
	size_t i, n = 0, depth = DEPTH;
	int holds;

	if (deeper != NULL)
		depth = MIN(strtoul(deeper, NULL, 10), 8);

	for (i = 0; i < 2 * G_N_ELEMENTS(starts); i++) {
		char events[32];

		holds = i % 2;
		g_strlcpy(events, starts[i / 2], sizeof(events));
		ck_assert_msg(
		    play(events, holds) == strlen(events), "start %s", events);
		n += explore(
		    events, strlen(events), strlen(events) + depth, holds);
	}
	ck_assert_uint_gt(n, 1000);
}

static const suite_case_t cases[] = {
    {"all sequences of events", test_all},
};

int
main(void)
{
	return suite_run("store_model", cases, G_N_ELEMENTS(cases));
}
