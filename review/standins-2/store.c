#include <sys/queue.h>
#include <sys/socket.h>

#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>

#include "world.h"

/* The platform's table store: rows-get, rows-feed and rows-tx. */

typedef struct {
	char *value; /* NULL: removed */
	uint64_t ver;
} cell_t;

typedef struct {
	store_t *store;
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
table_of(const store_t *s, const char *name)
{
	GTree *t = g_hash_table_lookup(s->tables, name);

	if (t == NULL) {
		t = g_tree_new_full(compare, NULL, g_free, cell_free);
		g_hash_table_insert(s->tables, g_strdup(name), t);
	}
	return t;
}

static void
put(store_t *s, const char *table, const char *key, const char *value,
    size_t len)
{
	cell_t *c = g_new0(cell_t, 1);

	c->value = value != NULL ? g_strndup(value, len) : NULL;
	c->ver = s->ver;
	g_tree_replace(table_of(s, table), g_strdup(key), c);
}

static void
answer(store_t *s, struct evhttp_request *req, int status, json_t *root)
{
	struct evbuffer *body = evbuffer_new();
	char *text;

	json_object_set_new(root, "ver", json_integer((json_int_t)s->ver));
	json_object_set_new(
	    root, "now_ms", json_integer(world_now(s->world) + 1000));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	evbuffer_add(body, text, strlen(text));
	free(text);
	evhttp_add_header(evhttp_request_get_output_headers(req),
	    "Content-Type", "application/json");
	evhttp_send_reply(req, status, "-", body);
	evbuffer_free(body);
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

/* ---- rows-get ---- */

typedef struct {
	const char *table, *from;
	gboolean more;
	size_t bytes;
	json_t *rows;
} page_t;

static gboolean
add_to_page(gpointer key, gpointer value, gpointer arg)
{
	const cell_t *c = value;
	page_t *p = arg;

	if (c->value == NULL || (p->from != NULL && strcmp(key, p->from) < 0))
		return FALSE;
	if (json_array_size(p->rows) == WORLD_PAGE_ROWS ||
	    p->bytes > WORLD_PAGE_BYTES) {
		p->more = TRUE;
		return TRUE;
	}
	p->bytes += strlen(c->value);
	json_array_append_new(p->rows, row_json(p->table, key, c));
	return FALSE;
}

static void
serve_get(store_t *s, struct evhttp_request *req, struct evkeyvalq *args)
{
	/* The listing of the caller goes on behind the last key of a page. */
	page_t p = {.table = evhttp_find_header(args, "table"),
	    .from = evhttp_find_header(args, "from"),
	    .rows = json_array()};

	g_tree_foreach(table_of(s, p.table), add_to_page, &p);
	answer(s, req, 200,
	    json_pack("{s:o, s:b}", "rows", p.rows, "more_pages", p.more));
}

/* ---- rows-feed ---- */

static void
feed_free(feed_t *f)
{
	g_ptr_array_remove_fast(f->store->feeds, f);
	event_free(f->timer);
	g_free(f->table);
	g_free(f);
}

typedef struct {
	const char *key;
	const cell_t *cell;
} change_t;

typedef struct {
	uint64_t after;
	GArray *changes;
} changes_t;

static gboolean
add_change(gpointer key, gpointer value, gpointer arg)
{
	const change_t change = {key, value};
	changes_t *c = arg;

	if (change.cell->ver > c->after)
		g_array_append_val(c->changes, change);
	return FALSE;
}

static gint
by_version(gconstpointer a, gconstpointer b)
{
	const change_t *x = a, *y = b;

	return x->cell->ver < y->cell->ver ? -1 : x->cell->ver > y->cell->ver;
}

static json_t *
changes_since(const store_t *s, const char *table, uint64_t after)
{
	changes_t c = {after, g_array_new(FALSE, FALSE, sizeof(change_t))};
	json_t *rows = json_array();
	guint i;

	g_tree_foreach(table_of(s, table), add_change, &c);
	g_array_sort(c.changes, by_version);
	for (i = 0; i < c.changes->len; i++) {
		const change_t *change = &g_array_index(c.changes, change_t, i);

		json_array_append_new(
		    rows, row_json(table, change->key, change->cell));
	}
	g_array_free(c.changes, TRUE);
	return rows;
}

/* Return: whether the feed was answered. */
static gboolean
feed_try(feed_t *f, gboolean force)
{
	store_t *s = f->store;
	json_t *rows;

	if (f->after < s->history_since) {
		answer(s, f->req, 410, json_object());
		feed_free(f);
		return TRUE;
	}
	rows = changes_since(s, f->table, f->after);
	if (json_array_size(rows) == 0 && !force) {
		json_decref(rows);
		return FALSE;
	}
	answer(s, f->req, 200, json_pack("{s:o}", "rows", rows));
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
	store_t *s = arg;
	guint i;

	for (i = s->feeds->len; i > 0; i--) {
		feed_t *f = g_ptr_array_index(s->feeds, i - 1);

		if (evhttp_request_get_connection(f->req) == evcon)
			feed_free(f);
	}
}

static void
serve_feed(store_t *s, struct evhttp_request *req, struct evkeyvalq *args)
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
	g_ptr_array_add(s->feeds, f);
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), on_feed_closed, s);
	feed_try(f, FALSE);
}

static void
wake_feeds(store_t *s)
{
	guint i;

	for (i = s->feeds->len; i > 0; i--)
		feed_try(g_ptr_array_index(s->feeds, i - 1), FALSE);
}

/* ---- rows-tx ---- */

static gboolean
conditions_hold(const store_t *s, const json_t *list, json_t *current)
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

static void
apply_tx(store_t *s, const json_t *root)
{
	const json_t *e;
	gsize n;
	guchar *value;
	size_t i;

	s->ver++;
	json_array_foreach(json_object_get(root, "writes"), i, e)
	{
		value = g_base64_decode(
		    json_string_value(json_object_get(e, "value")), &n);
		put(s, json_string_value(json_object_get(e, "table")),
		    json_string_value(json_object_get(e, "key")), (char *)value,
		    n);
		g_free(value);
	}
	json_array_foreach(json_object_get(root, "remove"), i, e)
	    put(s, json_string_value(json_object_get(e, "table")),
		json_string_value(json_object_get(e, "key")), NULL, 0);
}

static void
serve_tx(store_t *s, struct evhttp_request *req)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(body);
	json_t *root =
	    json_loadb((const char *)evbuffer_pullup(body, -1), len, 0, NULL);
	json_t *current = json_array();
	gboolean hold = conditions_hold(
	    s, json_object_get(root, "expected_revision"), current);

	if (hold)
		apply_tx(s, root);
	answer(s, req, hold ? 200 : 412, json_pack("{s:o}", "rows", current));
	json_decref(root);
	wake_feeds(s);
}

/* ---- calls ---- */

static int
host_of(const store_t *s, struct evhttp_request *req)
{
	struct sockaddr_in sin = {0};
	socklen_t len = sizeof(sin);
	struct bufferevent *bev = evhttp_connection_get_bufferevent(
	    evhttp_request_get_connection(req));
	int i;

	getsockname(bufferevent_getfd(bev), (struct sockaddr *)&sin, &len);
	for (i = 0; i < s->world->nhosts; i++) {
		if (s->ports[i] == ntohs(sin.sin_port))
			return i;
	}
	return 0;
}

static void
on_call(struct evhttp_request *req, void *arg)
{
	store_t *s = arg;
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
	const char *path = evhttp_uri_get_path(uri);
	const char *query = evhttp_uri_get_query(uri);
	struct evkeyvalq args;

	if (s->cut[host_of(s, req)])
		return;
	if (s->refuses[host_of(s, req)]) {
		answer(s, req, 503, json_object());
		return;
	}
	if (strcmp(path, "/rows-tx") != 0 && strcmp(path, "/rows-get") != 0 &&
	    strcmp(path, "/rows-feed") != 0) {
		answer(s, req, 404, json_object());
		return;
	}
	evhttp_parse_query_str(query != NULL ? query : "", &args);
	if (strcmp(path, "/rows-tx") == 0)
		serve_tx(s, req);
	else if (strcmp(path, "/rows-get") == 0)
		serve_get(s, req, &args);
	else
		serve_feed(s, req, &args);
	evhttp_clear_headers(&args);
}

void
store_init(store_t *s, world_t *w, int hosts)
{
	struct evhttp_bound_socket *bound;
	struct sockaddr_in sin = {0};
	socklen_t len;
	int i;

	s->world = w;
	s->ver = 1;
	s->tables =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, table_free);
	s->feeds = g_ptr_array_new();
	s->http = evhttp_new(w->base);
	evhttp_set_gencb(s->http, on_call, s);
	for (i = 0; i < hosts; i++) {
		bound = evhttp_bind_socket_with_handle(s->http, "127.0.0.1", 0);
		len = sizeof(sin);
		getsockname(evhttp_bound_socket_get_fd(bound),
		    (struct sockaddr *)&sin, &len);
		s->ports[i] = ntohs(sin.sin_port);
	}
}

void
store_finish(store_t *s)
{
	while (s->feeds->len > 0)
		feed_free(g_ptr_array_index(s->feeds, 0));
	evhttp_free(s->http);
	g_ptr_array_free(s->feeds, TRUE);
	g_hash_table_destroy(s->tables);
}

void
store_put(store_t *s, const char *table, const char *key, const char *value)
{
	s->ver++;
	put(s, table, key, value, value != NULL ? strlen(value) : 0);
	wake_feeds(s);
}

const char *
store_get(const store_t *s, const char *table, const char *key)
{
	const cell_t *c = g_tree_lookup(table_of(s, table), key);

	return c != NULL ? c->value : NULL;
}

void
store_cut(store_t *s, int host, gboolean cut)
{
	guint i;

	s->cut[host] = cut;
	for (i = s->feeds->len; i > 0 && cut; i--) {
		feed_t *f = g_ptr_array_index(s->feeds, i - 1);

		if (host_of(s, f->req) == host)
			feed_free(f);
	}
}

void
store_drop_history(store_t *s)
{
	s->history_since = s->ver;
	s->disturbed_at = world_now(s->world);
	wake_feeds(s);
}
