#include <sys/queue.h>
#include <sys/socket.h>

#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>

#include "soak.h"

#define SLOW_ANSWER_MS 700
#define ROWS_PER_PAGE 20

typedef struct {
	char *value; /* NULL: removed */
	uint64_t ver;
} cell_t;

typedef struct {
	soak_store_t *store;
	struct evhttp_request *req;
	char *table;
	uint64_t after;
	struct event *timer;
} feed_t;

static void
cell_free(void *p)
{
	cell_t *c = p;

	g_free(c->value);
	g_free(c);
}

static void
table_free(void *p)
{
	g_tree_destroy(p);
}

static gint
compare(gconstpointer a, gconstpointer b, gpointer unused)
{
	(void)unused;
	return strcmp(a, b);
}

static GTree *
table_of(const soak_store_t *s, const char *name)
{
	GTree *t = g_hash_table_lookup(s->tables, name);

	if (t == NULL) {
		t = g_tree_new_full(compare, NULL, g_free, cell_free);
		g_hash_table_insert(s->tables, g_strdup(name), t);
	}
	return t;
}

static void
put(soak_store_t *s, const char *table, const char *key, const char *value,
    size_t len)
{
	cell_t *c = g_new0(cell_t, 1);

	c->value = value != NULL ? g_strndup(value, len) : NULL;
	c->ver = s->ver;
	g_tree_replace(table_of(s, table), g_strdup(key), c);
}

/* ---- answers ---- */

typedef struct {
	struct evhttp_request *req;
	int status;
	char *text;
	uint64_t era;
} delayed_answer_t;

static void
send_now(struct evhttp_request *req, int status, const char *text, uint64_t era)
{
	struct evbuffer *body = evbuffer_new();
	char number[24];

	g_snprintf(number, sizeof(number), "%" G_GUINT64_FORMAT, era);
	if (era > 0)
		evhttp_add_header(evhttp_request_get_output_headers(req),
		    "Store-Era", number);

	evbuffer_add(body, text, strlen(text));
	evhttp_send_reply(req, status, "-", body);
	evbuffer_free(body);
}

static void
send_delayed(evutil_socket_t fd, short what, void *arg)
{
	delayed_answer_t *d = arg;

	(void)fd;
	(void)what;
	send_now(d->req, d->status, d->text, d->era);
	free(d->text);
	g_free(d);
}

static void
answer(soak_store_t *s, struct evhttp_request *req, int status, json_t *root,
    msec_t delay_ms)
{
	struct timeval tv = {delay_ms / 1000, (delay_ms % 1000) * 1000};
	delayed_answer_t *d = g_new0(delayed_answer_t, 1);

	json_object_set_new(root, "ver", json_integer((json_int_t)s->ver));
	json_object_set_new(root, "now_ms", json_integer(clock_now()));
	d->req = req;
	d->era = s->era;
	d->status = status;
	d->text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	if (delay_ms > 0) {
		event_base_once(
		    s->world->base, -1, EV_TIMEOUT, send_delayed, d, &tv);
		return;
	}
	send_delayed(-1, 0, d);
}

static json_t *
row_json(const char *table, const char *key, const cell_t *c)
{
	json_t *row = json_pack("{s:s, s:s, s:s, s:I}", "table", table, "part",
	    "", "key", key, "ver", (json_int_t)c->ver);
	char *text;

	if (c->value == NULL) {
		json_object_set_new(row, "deleted", json_true());
		return row;
	}
	text = g_base64_encode((const guchar *)c->value, strlen(c->value));
	json_object_set_new(row, "value", json_string(text));
	g_free(text);
	return row;
}

typedef struct {
	const char *table, *from;
	uint64_t after;
	gboolean removed; /* include removed rows */
	gboolean more;	  /* there are further pages */
	json_t *rows;
} collect_t;

static gboolean
collect(gpointer key, gpointer value, gpointer arg)
{
	const cell_t *c = value;
	collect_t *w = arg;

	if (c->ver <= w->after || (c->value == NULL && !w->removed) ||
	    (w->from != NULL && strcmp(key, w->from) < 0))
		return FALSE;
	if (!w->removed && json_array_size(w->rows) == ROWS_PER_PAGE) {
		w->more = TRUE;
		return TRUE;
	}
	json_array_append_new(w->rows, row_json(w->table, key, c));
	return FALSE;
}

/* ---- feeds ---- */

static void
feed_free(feed_t *f)
{
	g_ptr_array_remove_fast(f->store->waiting, f);
	event_free(f->timer);
	g_free(f->table);
	g_free(f);
}

/* Answers if there are changes, if the history is lost, or if @force.
 * Return: whether it answered. */
static gboolean
feed_try(feed_t *f, gboolean force)
{
	collect_t w = {.table = f->table,
	    .after = f->after,
	    .removed = TRUE,
	    .rows = json_array()};
	soak_store_t *s = f->store;

	if (f->after < s->history_since || f->after > s->ver) {
		json_decref(w.rows);
		answer(s, f->req, 410, json_object(), 0);
		feed_free(f);
		return TRUE;
	}
	g_tree_foreach(table_of(s, f->table), collect, &w);
	if (json_array_size(w.rows) == 0 && !force) {
		json_decref(w.rows);
		return FALSE;
	}
	answer(s, f->req, 200, json_pack("{s:o}", "rows", w.rows), 0);
	feed_free(f);
	return TRUE;
}

static void
on_feed_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	feed_try(arg, TRUE);
}

static void
on_feed_closed(struct evhttp_connection *evcon, void *arg)
{
	soak_store_t *s = arg;
	guint i;

	for (i = s->waiting->len; i > 0; i--) {
		feed_t *f = g_ptr_array_index(s->waiting, i - 1);

		if (evhttp_request_get_connection(f->req) == evcon)
			feed_free(f);
	}
}

static void
wake_feeds(soak_store_t *s)
{
	guint i;

	for (i = s->waiting->len; i > 0; i--)
		feed_try(g_ptr_array_index(s->waiting, i - 1), FALSE);
}

/* ---- requests ---- */

static void
serve_feed(soak_store_t *s, struct evhttp_request *req, struct evkeyvalq *args)
{
	feed_t *f = g_new0(feed_t, 1);
	long wait = strtol(evhttp_find_header(args, "wait_ms"), NULL, 10);
	struct timeval tv = {wait / 1000, wait % 1000 * 1000};

	f->store = s;
	f->req = req;
	f->table = g_strdup(evhttp_find_header(args, "table"));
	f->after = strtoull(evhttp_find_header(args, "after"), NULL, 10);
	f->timer = evtimer_new(s->world->base, on_feed_timer, f);
	event_add(f->timer, &tv);
	g_ptr_array_add(s->waiting, f);
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), on_feed_closed, s);
	feed_try(f, FALSE);
}

/* Whether all rows have the expected versions; adds the rows that exist to
 * @current. */
static gboolean
conditions_hold(const soak_store_t *s, const json_t *list, json_t *current)
{
	gboolean hold = TRUE;
	const json_t *e;
	size_t i;

	json_array_foreach(list, i, e)
	{
		const char *table =
		    json_string_value(json_object_get(e, "table"));
		const char *key = json_string_value(json_object_get(e, "key"));
		const cell_t *c = g_tree_lookup(table_of(s, table), key);
		uint64_t ver = c != NULL && c->value != NULL ? c->ver : 0;

		if (ver > 0)
			json_array_append_new(current, row_json(table, key, c));
		hold &= ver ==
		    (uint64_t)json_integer_value(json_object_get(e, "ver"));
	}
	return hold;
}

static int
write_rows(soak_store_t *s, struct evbuffer *body, json_t *current)
{
	size_t len = evbuffer_get_length(body), i;
	json_t *root =
	    json_loadb((const char *)evbuffer_pullup(body, -1), len, 0, NULL);
	const json_t *e;
	int status = 412;

	if (conditions_hold(
		s, json_object_get(root, "expected_revision"), current)) {
		status = 200;
		s->ver++;
		json_array_foreach(json_object_get(root, "writes"), i, e)
		{
			gsize n;
			guchar *value = g_base64_decode(
			    json_string_value(json_object_get(e, "value")), &n);

			put(s, json_string_value(json_object_get(e, "table")),
			    json_string_value(json_object_get(e, "key")),
			    (char *)value, n);
			g_free(value);
		}
		json_array_foreach(json_object_get(root, "remove"), i, e)
		    put(s, json_string_value(json_object_get(e, "table")),
			json_string_value(json_object_get(e, "key")), NULL, 0);
	}
	json_decref(root);
	return status;
}

typedef struct {
	soak_store_t *store;
	struct evbuffer *body;
} late_write_t;

static void
write_late(evutil_socket_t fd, short what, void *arg)
{
	late_write_t *late = arg;
	json_t *current = json_array();

	(void)fd;
	(void)what;
	write_rows(late->store, late->body, current);
	wake_feeds(late->store);
	json_decref(current);
	evbuffer_free(late->body);
	g_free(late);
}

static void
hold_write(soak_store_t *s, struct evhttp_request *req)
{
	int ms = s->late == NULL
	    ? STORE_LATE_MS
	    : g_rand_int_range(s->late, STORE_LATE_MIN_MS, STORE_LATE_MAX_MS);
	struct timeval tv = {ms / 1000, ms % 1000 * 1000};
	late_write_t *late = g_new0(late_write_t, 1);

	late->store = s;
	late->body = evbuffer_new();
	evbuffer_add_buffer(late->body, evhttp_request_get_input_buffer(req));
	event_base_once(s->world->base, -1, EV_TIMEOUT, write_late, late, &tv);
	evhttp_connection_free(evhttp_request_get_connection(req));
}

static int
host_of(const soak_store_t *s, struct evhttp_request *req)
{
	struct sockaddr_in sin = {0};
	socklen_t len = sizeof(sin);
	struct bufferevent *bev = evhttp_connection_get_bufferevent(
	    evhttp_request_get_connection(req));

	getsockname(bufferevent_getfd(bev), (struct sockaddr *)&sin, &len);
	return (ntohs(sin.sin_port) - s->world->port) / PORTS_OF_HOST;
}

static void
on_call(struct evhttp_request *req, void *arg)
{
	soak_store_t *s = arg;
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
	const char *path = evhttp_uri_get_path(uri);
	const char *query = evhttp_uri_get_query(uri);
	store_fault_t fault = s->fault[host_of(s, req)];
	msec_t delay = fault == STORE_SLOW ? SLOW_ANSWER_MS : 0;
	struct evkeyvalq args;
	json_t *current;
	int status;

	if (fault == STORE_SILENT)
		return;
	if (fault == STORE_RESET) {
		evhttp_connection_free(evhttp_request_get_connection(req));
		return;
	}
	if (fault == STORE_LATE && strcmp(path, "/rows-tx") == 0) {
		hold_write(s, req);
		return;
	}
	if (fault == STORE_BUSY) {
		answer(s, req, 503, json_object(), 0);
		return;
	}
	evhttp_parse_query_str(query != NULL ? query : "", &args);
	if (strcmp(path, "/rows-tx") == 0) {
		current = json_array();
		status = write_rows(
		    s, evhttp_request_get_input_buffer(req), current);
		if (fault == STORE_LOSES_ANSWERS)
			evhttp_connection_free(
			    evhttp_request_get_connection(req));
		else
			answer(s, req, status,
			    json_pack("{s:O}", "rows", current), delay);
		json_decref(current);
		wake_feeds(s);
	} else if (strcmp(path, "/rows-get") == 0) {
		collect_t w = {.table = evhttp_find_header(&args, "table"),
		    .from = evhttp_find_header(&args, "from"),
		    .rows = json_array()};

		g_tree_foreach(table_of(s, w.table), collect, &w);
		answer(s, req, 200,
		    json_pack(
			"{s:o, s:b}", "rows", w.rows, "more_pages", w.more),
		    delay);
	} else {
		serve_feed(s, req, &args);
	}
	evhttp_clear_headers(&args);
}

void
soak_store_init(soak_store_t *s, world_t *w)
{
	int h;

	s->world = w;
	s->ver = 1;
	s->tables =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, table_free);
	s->waiting = g_ptr_array_new();
	s->http = evhttp_new(w->base);
	evhttp_set_gencb(s->http, on_call, s);
	for (h = 0; h < HOSTS; h++) {
		if (evhttp_bind_socket(s->http, "127.0.0.1",
			(uint16_t)(w->port + h * PORTS_OF_HOST + PORT_STORE)) !=
		    0)
			soak_broken(w, "cannot listen on the store's port");
	}
}

void
soak_store_finish(soak_store_t *s)
{
	guint i;

	for (i = s->waiting->len; i > 0; i--)
		feed_free(g_ptr_array_index(s->waiting, i - 1));
	evhttp_free(s->http);
	g_ptr_array_free(s->waiting, TRUE);
	g_hash_table_destroy(s->tables);
	if (s->copy != NULL)
		g_hash_table_destroy(s->copy);
}

static gboolean
copy_cell(gpointer key, gpointer value, gpointer arg)
{
	const cell_t *c = value;
	cell_t *copy = g_new(cell_t, 1);

	*copy = (cell_t){g_strdup(c->value), c->ver};
	g_tree_replace(arg, g_strdup(key), copy);
	return FALSE;
}

void
soak_store_copy(soak_store_t *s)
{
	GHashTableIter it;
	gpointer name, table;

	if (s->copy != NULL)
		g_hash_table_destroy(s->copy);
	s->copy =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, table_free);
	g_hash_table_iter_init(&it, s->tables);
	while (g_hash_table_iter_next(&it, &name, &table)) {
		GTree *t = g_tree_new_full(compare, NULL, g_free, cell_free);

		g_tree_foreach(table, copy_cell, t);
		g_hash_table_insert(s->copy, g_strdup(name), t);
	}
	s->copy_ver = s->ver;
}

void
soak_store_restore(soak_store_t *s)
{
	g_assert(s->copy != NULL);
	g_hash_table_destroy(s->tables);
	s->tables = s->copy;
	s->copy = NULL;
	s->ver = s->copy_ver;
	s->history_since = 0;
	s->era++;
	wake_feeds(s);
}

void
soak_store_put(
    soak_store_t *s, const char *table, const char *key, const char *value)
{
	s->ver++;
	put(s, table, key, value, value != NULL ? strlen(value) : 0);
	wake_feeds(s);
}

const char *
soak_store_get(const soak_store_t *s, const char *table, const char *key)
{
	const cell_t *c = g_tree_lookup(table_of(s, table), key);

	return c != NULL ? c->value : NULL;
}

void
soak_store_drop_history(soak_store_t *s)
{
	s->ver++;
	s->history_since = s->ver;
	wake_feeds(s);
}
