#define _GNU_SOURCE /* memmem */
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <event2/buffer.h>

#include "world.h"

/* The command of the deploy file; cases run in the repository's root. */
#define PROGRAM "target/src/cmd/greengageloomd"
#define READY_TIMEOUT_MS 15000
/* Rows of one answer, as the platform's page says. */
#define ROWS_PER_PAGE 500

int64_t
msec(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

void
record(world_t *w, const char *fmt, ...)
{
	va_list ap;

	fprintf(w->record, "%9.3f ", (double)(msec() - w->began_at) / 1000);
	va_start(ap, fmt);
	vfprintf(w->record, fmt, ap);
	va_end(ap);
	fputc('\n', w->record);
	fflush(w->record);
}

const char *
region_of(int zone)
{
	return zone < 2 ? "north" : "south";
}

/* ---- HTTP messages ---- */

void
message_free(message_t *m)
{
	g_free(m->first);
	g_ptr_array_free(m->headers, TRUE);
	g_byte_array_free(m->body, TRUE);
	g_free(m);
}

const char *
message_header(const message_t *m, const char *name)
{
	size_t len = strlen(name);
	guint i;

	for (i = 0; i < m->headers->len; i++) {
		const char *h = g_ptr_array_index(m->headers, i);

		if (g_ascii_strncasecmp(h, name, len) == 0 && h[len] == ':')
			return h + len + 1 + strspn(h + len + 1, " \t");
	}
	return NULL;
}

/* Return: length of the chunked body from @p on, or -1 if it is incomplete. */
static ssize_t
read_chunks(const char *p, size_t len, GByteArray *body)
{
	size_t at = 0;

	for (;;) {
		const char *end = memmem(p + at, len - at, "\r\n", 2);
		size_t n;

		if (end == NULL)
			return -1;
		n = strtoul(p + at, NULL, 16);
		at = (size_t)(end - p) + 2;
		if (len - at < n + 2)
			return -1;
		g_byte_array_append(body, (const guint8 *)p + at, (guint)n);
		at += n + 2;
		if (n == 0)
			return (ssize_t)at;
	}
}

/* Three words, the first of letters. */
static gboolean
is_request_line(const char *line)
{
	char **words = g_strsplit(line, " ", -1);
	gboolean ok = g_strv_length(words) == 3 && words[0][0] != '\0' &&
	    words[0][strspn(words[0], "ABCDEFGHIJKLMNOPQRSTUVWXYZ")] == '\0' &&
	    words[1][0] == '/' && strcmp(words[2], "HTTP/1.1") == 0;

	g_strfreev(words);
	return ok;
}

static void
parse_head(message_t *m, const char *p, size_t len)
{
	char *head = g_strndup(p, len);
	char **lines = g_strsplit(head, "\r\n", -1);
	int i;

	m->first = g_strdup(lines[0]);
	for (i = 1; lines[i] != NULL && *lines[i] != '\0'; i++)
		g_ptr_array_add(m->headers, g_strdup(lines[i]));
	if (strncmp(m->first, "HTTP/1.", 7) == 0)
		m->status = atoi(m->first + 9);
	else
		m->bad = !is_request_line(m->first);
	g_strfreev(lines);
	g_free(head);
}

message_t *
message_read(struct evbuffer *in, gboolean no_body)
{
	size_t len = evbuffer_get_length(in), head;
	const char *p, *end, *value;
	message_t *m;
	ssize_t n = 0;

	p = (const char *)evbuffer_pullup(in, -1);
	end = len > 0 ? memmem(p, len, "\r\n\r\n", 4) : NULL;
	if (end == NULL)
		return NULL;
	head = (size_t)(end - p) + 4;
	m = g_new0(message_t, 1);
	m->headers = g_ptr_array_new_with_free_func(g_free);
	m->body = g_byte_array_new();
	parse_head(m, p, head - 2);
	if (no_body || m->status == 204 || m->status == 304) {
		n = 0;
	} else if (message_header(m, "Transfer-Encoding") != NULL) {
		n = read_chunks(p + head, len - head, m->body);
	} else if ((value = message_header(m, "Content-Length")) != NULL) {
		n = strtol(value, NULL, 10);
		if ((size_t)n > len - head)
			n = -1;
		else
			g_byte_array_append(
			    m->body, (const guint8 *)p + head, (guint)n);
	}
	if (n < 0) {
		message_free(m);
		return NULL;
	}
	evbuffer_drain(in, head + (size_t)n);
	return m;
}

/* ---- sockets ---- */

static struct sockaddr_in
loopback(int port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

	return sin;
}

/* A port that was free just now, below those that the kernel hands out. */
static int
free_port(int type)
{
	static int next;
	int fd, tries;

	if (next == 0)
		next = 12000 + (int)(getpid() % 400) * 48;
	for (tries = 0; tries < 2000; tries++) {
		struct sockaddr_in sin = loopback(next++);

		fd = socket(AF_INET, type, 0);
		if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0) {
			close(fd);
			return next - 1;
		}
		close(fd);
	}
	return 0;
}

static struct evconnlistener *
listen_on(world_t *w, int *port, evconnlistener_cb fn, void *arg)
{
	struct sockaddr_in sin;
	struct evconnlistener *l;

	if (*port == 0)
		*port = free_port(SOCK_STREAM);
	sin = loopback(*port);
	l = evconnlistener_new_bind(w->base, fn, arg,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
	    512, (struct sockaddr *)&sin, sizeof(sin));
	if (l == NULL)
		world_cant_run(w, "no free port");
	return l;
}

/* ---- the store ---- */

typedef struct {
	char *value; /* NULL: removed */
	uint64_t ver;
} cell_t;

typedef struct {
	world_t *world;
	struct bufferevent *bev;
	gboolean silent; /* delivers nothing more */
	char *table;	 /* of the waiting feed, or NULL */
	uint64_t after;
	struct event *timer;
} store_conn_t;

/* A write whose answer is lost, performed later. */
typedef struct {
	world_t *world;
	char *body;
	struct event *timer;
} late_write_t;

static void
cell_free(void *p)
{
	cell_t *c = p;

	g_free(c->value);
	g_free(c);
}

static gint
compare_keys(gconstpointer a, gconstpointer b, gpointer unused)
{
	(void)unused;
	return strcmp(a, b);
}

static GTree *
table_of(store_t *s, const char *name)
{
	GTree *t = g_hash_table_lookup(s->tables, name);

	if (t == NULL) {
		t = g_tree_new_full(compare_keys, NULL, g_free, cell_free);
		g_hash_table_insert(s->tables, g_strdup(name), t);
	}
	return t;
}

static void
put(store_t *s, const char *table, const char *key, const char *value)
{
	cell_t *c = g_new0(cell_t, 1);

	c->value = g_strdup(value);
	c->ver = s->ver;
	g_tree_replace(table_of(s, table), g_strdup(key), c);
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
	gboolean removed, more;
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
	if (json_array_size(w->rows) == ROWS_PER_PAGE) {
		w->more = TRUE;
		return TRUE;
	}
	json_array_append_new(w->rows, row_json(w->table, key, c));
	return FALSE;
}

static void
store_answer(store_conn_t *c, int status, json_t *root)
{
	store_t *s = &c->world->store;
	char *text;

	json_object_set_new(root, "ver", json_integer((json_int_t)s->ver));
	json_object_set_new(root, "now_ms", json_integer((json_int_t)msec()));
	text = json_dumps(root, JSON_COMPACT);
	if (!c->silent)
		evbuffer_add_printf(bufferevent_get_output(c->bev),
		    "HTTP/1.1 %d -\r\nContent-Type: application/json\r\n"
		    "Content-Length: %zu\r\n\r\n%s",
		    status, strlen(text), text);
	free(text);
	json_decref(root);
}

static gint
compare_vers(gconstpointer a, gconstpointer b)
{
	json_int_t x =
	    json_integer_value(json_object_get(*(json_t *const *)a, "ver"));
	json_int_t y =
	    json_integer_value(json_object_get(*(json_t *const *)b, "ver"));

	return x < y ? -1 : x > y;
}

/* Rows of a feed come in the order of their changes. */
static json_t *
in_order(json_t *rows)
{
	GPtrArray *list = g_ptr_array_new();
	json_t *sorted = json_array();
	size_t i;

	for (i = 0; i < json_array_size(rows); i++)
		g_ptr_array_add(list, json_array_get(rows, i));
	g_ptr_array_sort(list, compare_vers);
	for (i = 0; i < list->len; i++)
		json_array_append(sorted, g_ptr_array_index(list, i));
	g_ptr_array_free(list, TRUE);
	json_decref(rows);
	return sorted;
}

static void
feed_try(store_conn_t *c, gboolean force)
{
	collect_t w = {.table = c->table, .after = c->after, .removed = TRUE};

	if (c->table == NULL)
		return;
	w.rows = json_array();
	g_tree_foreach(table_of(&c->world->store, c->table), collect, &w);
	if (json_array_size(w.rows) == 0 && !force) {
		json_decref(w.rows);
		return;
	}
	store_answer(c, 200, json_pack("{s:o}", "rows", in_order(w.rows)));
	g_clear_pointer(&c->table, g_free);
	event_del(c->timer);
}

static void
on_feed_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	feed_try(arg, TRUE);
}

static void
wake_feeds(store_t *s)
{
	guint i;

	for (i = 0; i < s->conns->len; i++)
		feed_try(g_ptr_array_index(s->conns, i), FALSE);
}

static gboolean
conditions_hold(store_t *s, const json_t *list, json_t *current)
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
write_rows(store_t *s, const char *body, json_t *current)
{
	json_t *root = json_loads(body, 0, NULL);
	int status = 412;
	const json_t *e;
	size_t i;

	if (conditions_hold(
		s, json_object_get(root, "expected_revision"), current)) {
		status = 200;
		s->ver++;
		json_array_foreach(json_object_get(root, "writes"), i, e)
		{
			gsize n;
			guchar *value = g_base64_decode(
			    json_string_value(json_object_get(e, "value")), &n);
			char *text = g_strndup((char *)value, n);

			put(s, json_string_value(json_object_get(e, "table")),
			    json_string_value(json_object_get(e, "key")), text);
			g_free(text);
			g_free(value);
		}
		json_array_foreach(json_object_get(root, "remove"), i, e)
		    put(s, json_string_value(json_object_get(e, "table")),
			json_string_value(json_object_get(e, "key")), NULL);
	}
	json_decref(root);
	return status;
}

static void
on_late_write(evutil_socket_t fd, short what, void *arg)
{
	late_write_t *l = arg;
	json_t *current = json_array();
	int status = write_rows(&l->world->store, l->body, current);

	(void)fd;
	(void)what;
	record(l->world, "store: performs the write whose answer was lost: %d",
	    status);
	json_decref(current);
	wake_feeds(&l->world->store);
	event_free(l->timer);
	g_free(l->body);
	g_free(l);
}

static struct event *
add_timer(world_t *w, int64_t ms, event_callback_fn fn, void *arg)
{
	const struct timeval tv = {ms / 1000, (ms % 1000) * 1000};
	struct event *e = evtimer_new(w->base, fn, arg);

	event_add(e, &tv);
	return e;
}

static void
serve_write(store_conn_t *c, const message_t *m)
{
	world_t *w = c->world;
	char *body = g_strndup((char *)m->body->data, m->body->len);
	int delay = w->store.lose != NULL ? w->store.lose(w, body) : -1;
	json_t *current;
	int status;

	w->store.writes++;
	if (delay >= 0) {
		late_write_t *l = g_new0(late_write_t, 1);

		/* Such a connection delivers nothing further. */
		c->silent = TRUE;
		l->world = w;
		l->body = body;
		l->timer = add_timer(w, delay, on_late_write, l);
		return;
	}
	current = json_array();
	status = write_rows(&w->store, body, current);
	store_answer(c, status, json_pack("{s:o}", "rows", current));
	wake_feeds(&w->store);
	g_free(body);
}

static char *
query_value(const char *line, const char *name)
{
	char *want = g_strdup_printf("%s=", name), *text, *out;
	const char *p = strchr(line, '?');

	while (p != NULL && strncmp(p + 1, want, strlen(want)) != 0)
		p = strpbrk(p + 1, "&");
	if (p == NULL) {
		g_free(want);
		return NULL;
	}
	p += 1 + strlen(want);
	text = g_strndup(p, strcspn(p, "& "));
	out = g_uri_unescape_string(text, NULL);
	g_free(text);
	g_free(want);
	return out;
}

static void
serve_read(store_conn_t *c, const char *line)
{
	char *table = query_value(line, "table");
	char *from = query_value(line, "from");
	collect_t w = {.table = table, .from = from, .rows = json_array()};

	g_tree_foreach(table_of(&c->world->store, table), collect, &w);
	store_answer(c, 200,
	    json_pack("{s:o, s:b}", "rows", w.rows, "more_pages", w.more));
	g_free(table);
	g_free(from);
}

static void
serve_feed(store_conn_t *c, const char *line)
{
	char *after = query_value(line, "after");
	char *wait = query_value(line, "wait_ms");
	int64_t ms = strtol(wait, NULL, 10);
	const struct timeval tv = {ms / 1000, (ms % 1000) * 1000};

	c->table = query_value(line, "table");
	c->after = strtoull(after, NULL, 10);
	event_add(c->timer, &tv);
	feed_try(c, FALSE);
	g_free(after);
	g_free(wait);
}

static void
on_store_read(struct bufferevent *bev, void *arg)
{
	store_conn_t *c = arg;
	message_t *m;

	while (!c->silent &&
	    (m = message_read(bufferevent_get_input(bev), FALSE)) != NULL) {
		if (strstr(m->first, "/rows-tx") != NULL)
			serve_write(c, m);
		else if (strstr(m->first, "/rows-get") != NULL)
			serve_read(c, m->first);
		else
			serve_feed(c, m->first);
		message_free(m);
	}
}

static void
on_store_event(struct bufferevent *bev, short what, void *arg)
{
	store_conn_t *c = arg;

	if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
		return;
	g_ptr_array_remove_fast(c->world->store.conns, c);
	event_free(c->timer);
	g_free(c->table);
	bufferevent_free(bev);
	g_free(c);
}

static void
on_store_accept(struct evconnlistener *l, evutil_socket_t fd,
    struct sockaddr *from, int len, void *arg)
{
	world_t *w = arg;
	store_conn_t *c = g_new0(store_conn_t, 1);

	(void)l;
	(void)from;
	(void)len;
	c->world = w;
	c->bev = bufferevent_socket_new(w->base, fd, BEV_OPT_CLOSE_ON_FREE);
	c->timer = evtimer_new(w->base, on_feed_timer, c);
	g_ptr_array_add(w->store.conns, c);
	bufferevent_setcb(c->bev, on_store_read, NULL, on_store_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

void
store_put(world_t *w, const char *table, const char *key, const char *value)
{
	w->store.ver++;
	put(&w->store, table, key, value);
	wake_feeds(&w->store);
}

const char *
store_get(world_t *w, const char *table, const char *key)
{
	const cell_t *c = g_tree_lookup(table_of(&w->store, table), key);

	return c != NULL ? c->value : NULL;
}

/* ---- backend servers ---- */

typedef struct {
	server_t *server;
	struct bufferevent *bev;
	run_t *run; /* being worked on, or NULL */
	struct event *timer;
} server_conn_t;

static void serve_next(server_conn_t *c);
static void on_server_event(struct bufferevent *bev, short what, void *arg);

static void
server_conn_free(server_conn_t *c)
{
	g_ptr_array_remove_fast(c->server->conns, c);
	if (c->run != NULL) {
		c->run->ended_at = msec();
		c->run->dropped = TRUE;
	}
	event_free(c->timer);
	bufferevent_free(c->bev);
	g_free(c);
}

static void
server_answer(server_conn_t *c, int status, const char *id, const char *more,
    const char *body)
{
	evbuffer_add_printf(bufferevent_get_output(c->bev),
	    "HTTP/1.1 %d -\r\n%s%s%s%sContent-Length: %zu\r\n\r\n%s", status,
	    id != NULL ? "X-Request-Id: " : "", id != NULL ? id : "",
	    id != NULL ? "\r\n" : "", more, strlen(body), body);
}

static void
on_flushed(struct bufferevent *bev, void *arg)
{
	(void)bev;
	server_conn_free(arg);
}

static void
on_work_done(evutil_socket_t fd, short what, void *arg)
{
	server_conn_t *c = arg;
	server_t *s = c->server;
	run_t *r = c->run;
	char *signature = g_strdup_printf("%s.%s", s->id, r->id);
	char *more = g_strdup_printf("X-Response-Signature: %s\r\n", signature);
	char *body = g_strdup_printf("%s from %s", r->id, s->id);
	gboolean closes = FALSE;

	(void)fd;
	(void)what;
	c->run = NULL;
	r->ended_at = msec();
	r->failed = s->fail_one_in > 0 && s->runs++ % s->fail_one_in == 0;
	if (s->write_answer != NULL)
		closes = s->write_answer(
		    s, bufferevent_get_output(c->bev), r, signature, body);
	else
		server_answer(c, r->failed ? 500 : 200, r->id, more,
		    strncmp(r->line, "HEAD", 4) == 0 ? "" : body);
	g_free(signature);
	g_free(more);
	g_free(body);
	if (closes)
		bufferevent_setcb(c->bev, NULL, on_flushed, on_server_event, c);
	else
		serve_next(c);
}

static void
write_entry(server_t *s)
{
	char *value = g_strdup_printf(
	    "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\","
	    "\"zone\":\"zone-%d\",\"version\":\"%s\",\"slots\":%d,"
	    "\"state\":\"%s\",\"warmup_left_ms\":0,\"sequence\":1,"
	    "\"born\":%d}",
	    s->service, s->port, s->zone, s->version, s->slots,
	    s->draining ? "draining" : "ready", s->born);

	store_put(s->world, "servers", s->id, value);
	g_free(value);
}

static void on_server_accept(struct evconnlistener *l, evutil_socket_t fd,
    struct sockaddr *from, int len, void *arg);

static void
on_restart(evutil_socket_t fd, short what, void *arg)
{
	server_t *s = arg;

	(void)fd;
	(void)what;
	s->born++;
	s->listener = listen_on(s->world, &s->port, on_server_accept, s);
	write_entry(s);
}

static void
crash(server_t *s)
{
	const struct timeval down = {
	    s->down_ms / 1000, (s->down_ms % 1000) * 1000};
	struct linger now = {1, 0};

	evconnlistener_free(s->listener);
	s->listener = NULL;
	while (s->conns->len > 0) {
		server_conn_t *c = g_ptr_array_index(s->conns, 0);

		setsockopt(bufferevent_getfd(c->bev), SOL_SOCKET, SO_LINGER,
		    &now, sizeof(now));
		server_conn_free(c);
	}
	event_base_once(s->world->base, -1, EV_TIMEOUT, on_restart, s, &down);
}

static run_t *
add_run(server_conn_t *c, const message_t *m, const char *id)
{
	world_t *w = c->server->world;
	run_t *r = g_new0(run_t, 1);

	r->id = g_strdup(id);
	r->line = g_strdup(m->first);
	r->tenant = g_strdup(message_header(m, "X-Tenant-Id"));
	r->credential = g_strdup(message_header(m, "X-Credential"));
	r->server = c->server;
	r->at = msec();
	r->body_len = m->body->len;
	g_ptr_array_add(w->runs, r);
	record(w, "run: %s at %s: \"%s\", tenant %s, key %s, body %zu bytes",
	    id, c->server->id, m->first, r->tenant != NULL ? r->tenant : "-",
	    r->credential != NULL ? r->credential : "-", r->body_len);
	return r;
}

/* Return: FALSE if the connection is gone. */
static gboolean
serve(server_conn_t *c, const message_t *m)
{
	server_t *s = c->server;
	const char *id = message_header(m, "X-Request-Id");
	const char *expected = message_header(m, "X-Expected-Instance");
	char *instance;

	if (strncmp(m->first, "GET /health ", 12) == 0) {
		instance = g_strdup_printf("X-Instance-Id: %s\r\n", s->id);
		server_answer(c, 200, NULL, instance, "");
		g_free(instance);
		return TRUE;
	}
	if (expected != NULL && strcmp(expected, s->id) != 0) {
		server_answer(c, 421, id, "", "");
		return TRUE;
	}
	if (m->bad) {
		/* Where the next request begins is unknown. */
		record(s->world, "server %s: answers 400 to \"%s\"", s->id,
		    m->first);
		server_answer(c, 400, NULL,
		    "X-Not-Executed: 1\r\nConnection: close\r\n", "");
		bufferevent_setcb(c->bev, NULL, on_flushed, on_server_event, c);
		return FALSE;
	}
	if (id == NULL) {
		server_answer(c, 400, id, "X-Not-Executed: 1\r\n", "");
		return TRUE;
	}
	c->run = add_run(c, m, id);
	if (s->crashes != NULL && s->crashes(s, m)) {
		record(s->world, "crash: %s crashes server %s", id, s->id);
		crash(s);
		return FALSE;
	}
	{
		const struct timeval tv = {
		    s->work_ms / 1000, (s->work_ms % 1000) * 1000};

		event_add(c->timer, &tv);
	}
	return TRUE;
}

static void
serve_next(server_conn_t *c)
{
	struct evbuffer *in = bufferevent_get_input(c->bev);
	message_t *m;
	gboolean open = TRUE;

	while (
	    open && c->run == NULL && (m = message_read(in, FALSE)) != NULL) {
		open = serve(c, m);
		message_free(m);
	}
}

static void
on_server_read(struct bufferevent *bev, void *arg)
{
	(void)bev;
	serve_next(arg);
}

static void
on_server_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
		server_conn_free(arg);
}

static void
on_server_accept(struct evconnlistener *l, evutil_socket_t fd,
    struct sockaddr *from, int len, void *arg)
{
	server_t *s = arg;
	server_conn_t *c = g_new0(server_conn_t, 1);

	(void)l;
	(void)from;
	(void)len;
	c->server = s;
	c->bev =
	    bufferevent_socket_new(s->world->base, fd, BEV_OPT_CLOSE_ON_FREE);
	c->timer = evtimer_new(s->world->base, on_work_done, c);
	g_ptr_array_add(s->conns, c);
	bufferevent_setcb(c->bev, on_server_read, NULL, on_server_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

server_t *
server_start_version(world_t *w, const char *service, const char *version,
    int zone, int64_t work_ms, int slots)
{
	server_t *s = g_new0(server_t, 1);

	s->world = w;
	g_snprintf(s->id, sizeof(s->id), "i-%d", w->nservers);
	g_strlcpy(s->service, service, sizeof(s->service));
	g_strlcpy(s->version, version, sizeof(s->version));
	s->zone = zone;
	s->work_ms = work_ms;
	s->slots = slots;
	s->born = 1000 + w->nservers;
	s->conns = g_ptr_array_new();
	s->listener = listen_on(w, &s->port, on_server_accept, s);
	w->servers[w->nservers++] = s;
	write_entry(s);
	return s;
}

server_t *
server_start(
    world_t *w, const char *service, int zone, int64_t work_ms, int slots)
{
	return server_start_version(w, service, "v1", zone, work_ms, slots);
}

void
server_drain(server_t *s)
{
	s->draining = TRUE;
	write_entry(s);
}

void
server_stop(server_t *s)
{
	if (s->listener == NULL)
		return;
	evconnlistener_free(s->listener);
	s->listener = NULL;
	while (s->conns->len > 0)
		server_conn_free(g_ptr_array_index(s->conns, 0));
	store_put(s->world, "servers", s->id, NULL);
}

/* ---- entry hosts ---- */

/* The settings of deploy/host.ini, filled in for a host of this world. */
static char *
settings_text(const world_t *w, int i)
{
	const host_t *h = &w->hosts[i];
	GString *s = g_string_new(NULL);
	int zone;

	g_string_append_printf(s,
	    "[host]\nid = front-%d\nregion = %s\nfailure_domain = zone-%d\n"
	    "callers = 127.0.0.1:%d\nlookups = 127.0.0.1:%d\n"
	    "operators = 127.0.0.1:%d\npeers = 127.0.0.1:%d\ndrain_sec = 6\n"
	    "[store]\nkind = table\naddress = 127.0.0.1:%d\n[domains]\n",
	    i, region_of(h->zone), h->zone, h->callers, h->lookups,
	    h->operators, h->peers, w->store.port);
	for (zone = 0; zone < ZONES; zone++)
		g_string_append_printf(
		    s, "zone-%d = %s\n", zone, region_of(zone));
	g_string_append(s,
	    "[bounds]\nrate_overage = 0.1\nrate_slack = 20\n"
	    "rate_window_sec = 5\nretry_ratio = 0.2\nretry_extra = 56\n"
	    "cold_overage = 1.5\ncold_slack = 5\n[limits]\nlink_mbps = 1000\n"
	    "cpu_share = 0.2\n[log]\nlevel = info\n");
	return g_string_free(s, FALSE);
}

void
host_add(world_t *w, int zone)
{
	int i = w->nhosts++;
	host_t *h = &w->hosts[i];
	char *text;

	h->zone = zone;
	h->callers = free_port(SOCK_STREAM);
	h->lookups = free_port(SOCK_STREAM);
	h->operators = free_port(SOCK_STREAM);
	h->peers = free_port(SOCK_DGRAM);
	h->settings = g_strdup_printf("%s/front-%d.ini", w->dir, i);
	text = settings_text(w, i);
	g_file_set_contents(h->settings, text, -1, NULL);
	g_free(text);
}

void
host_start(world_t *w, int i)
{
	host_t *h = &w->hosts[i];
	char *log = g_strdup_printf("%s/front-%d.log", w->dir, i);
	int fd;

	h->pid = fork();
	if (h->pid == 0) {
		/* No host outlives the case, however it ends. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execl(PROGRAM, PROGRAM, "-c", h->settings, (char *)NULL);
		_exit(127);
	}
	record(w, "front-%d: started, pid %d", i, (int)h->pid);
	g_free(log);
}

void
host_signal(world_t *w, int i, int sig)
{
	if (w->hosts[i].pid == 0)
		return;
	record(w, "front-%d: gets signal %d (%s)", i, sig, strsignal(sig));
	kill(w->hosts[i].pid, sig);
}

gboolean
host_wait_end(world_t *w, int i, int64_t timeout_ms)
{
	int64_t until = msec() + timeout_ms;
	int status;

	while (msec() < until) {
		if (waitpid(w->hosts[i].pid, &status, WNOHANG) != 0) {
			record(w, "front-%d: ended, wait status %d", i, status);
			w->hosts[i].pid = 0;
			return TRUE;
		}
		world_run(w, 20);
	}
	return FALSE;
}

gboolean
host_wait_ready(world_t *w, int i, int64_t timeout_ms)
{
	const char *ask = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
	int64_t until = msec() + timeout_ms;
	request_t *r;

	while (msec() < until) {
		r = client_send(w, w->hosts[i].operators, "ready", ask,
		    strlen(ask), 0, FALSE);
		world_run(w, 100);
		if (r->status == 200)
			return TRUE;
	}
	return FALSE;
}

int64_t
host_cpu_ms(const world_t *w, int i)
{
	char *path = g_strdup_printf("/proc/%d/stat", (int)w->hosts[i].pid);
	char *text = NULL, *p;
	unsigned long user = 0, kernel = 0;

	if (g_file_get_contents(path, &text, NULL, NULL) &&
	    (p = strrchr(text, ')')) != NULL)
		sscanf(p + 2,
		    "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
		    &user, &kernel);
	g_free(text);
	g_free(path);
	return (int64_t)(user + kernel) * 1000 / sysconf(_SC_CLK_TCK);
}

/* ---- clients ---- */

typedef struct {
	world_t *world;
	struct bufferevent *bev;
	request_t *request;
	struct event *timer;
	gboolean reset, head;
	GByteArray *body; /* wanted by client_resolve(), or NULL */
} client_conn_t;

static void
client_free(client_conn_t *c)
{
	if (c->timer != NULL)
		event_free(c->timer);
	bufferevent_free(c->bev);
	g_free(c);
}

static void
on_client_read(struct bufferevent *bev, void *arg)
{
	client_conn_t *c = arg;
	request_t *r = c->request;
	message_t *m;

	while (
	    (m = message_read(bufferevent_get_input(bev), c->head)) != NULL) {
		c->head = FALSE;
		if (r->answers++ == 0) {
			r->status = m->status;
			r->answered_at = msec();
			if (c->body != NULL)
				g_byte_array_append(
				    c->body, m->body->data, m->body->len);
		}
		if (strcmp(r->id, "ready") != 0 && c->body == NULL)
			record(c->world, "answer to %s: \"%s\", id %s%s", r->id,
			    m->first,
			    message_header(m, "X-Request-Id") != NULL
				? message_header(m, "X-Request-Id")
				: "-",
			    r->answers > 1 ? ", NOT ASKED FOR" : "");
		if (r->answers == 1)
			r->answer = m;
		else
			message_free(m);
	}
}

static void
on_client_event(struct bufferevent *bev, short what, void *arg)
{
	client_conn_t *c = arg;

	(void)bev;
	if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
		return;
	if (c->request->status == 0)
		c->request->status = -1;
	client_free(c);
}

static void
on_client_leaves(evutil_socket_t fd, short what, void *arg)
{
	client_conn_t *c = arg;
	struct linger now = {1, 0};

	(void)fd;
	(void)what;
	if (c->request->answers > 0)
		return;
	if (c->reset)
		setsockopt(bufferevent_getfd(c->bev), SOL_SOCKET, SO_LINGER,
		    &now, sizeof(now));
	c->request->left_at = msec();
	record(c->world, "client leaves: %s, by %s", c->request->id,
	    c->reset ? "reset" : "close");
	client_free(c);
}

static client_conn_t *
client_open(world_t *w, int port, const char *id, const char *bytes, size_t len,
    int64_t leave_ms, gboolean reset)
{
	client_conn_t *c = g_new0(client_conn_t, 1);
	request_t *r = g_new0(request_t, 1);
	struct sockaddr_in sin = loopback(port);
	int i;

	c->world = w;
	c->request = r;
	c->reset = reset;
	c->head = strncmp(bytes, "HEAD ", 5) == 0;
	r->id = g_strdup(id);
	r->method = g_strndup(bytes, strcspn(bytes, " "));
	r->sent_at = msec();
	r->host = -1;
	for (i = 0; i < w->nhosts; i++) {
		if (w->hosts[i].callers == port)
			r->host = i;
	}
	g_ptr_array_add(w->requests, r);
	c->bev = bufferevent_socket_new(w->base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(c->bev, on_client_read, NULL, on_client_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	bufferevent_write(c->bev, bytes, len);
	if (leave_ms > 0)
		c->timer = add_timer(w, leave_ms, on_client_leaves, c);
	if (r->host >= 0)
		record(w, "sent: %s to front-%d: \"%.*s\"", id, r->host,
		    (int)strcspn(bytes, "\r"), bytes);
	bufferevent_socket_connect(
	    c->bev, (struct sockaddr *)&sin, sizeof(sin));
	return c;
}

request_t *
client_send(world_t *w, int port, const char *id, const char *bytes, size_t len,
    int64_t leave_ms, gboolean reset)
{
	return client_open(w, port, id, bytes, len, leave_ms, reset)->request;
}

char *
client_request(const char *method, const char *path, const char *id,
    const char *key, int64_t deadline_ms, const char *more, const char *body)
{
	char *length = body != NULL
	    ? g_strdup_printf("Content-Length: %zu\r\n", strlen(body))
	    : g_strdup("");
	char *text = g_strdup_printf(
	    "%s %s HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: %s\r\n"
	    "X-Credential: %s\r\nX-Deadline-Ms: %lld\r\n%s%s\r\n%s",
	    method, path, id, key, (long long)deadline_ms, more, length,
	    body != NULL ? body : "");

	g_free(length);
	return text;
}

int
client_resolve(world_t *w, int host, const char *region, int *ports, int max)
{
	char *ask = g_strdup_printf(
	    "GET /resolve?name=site.example&region=%s HTTP/1.1\r\n"
	    "Host: x\r\nConnection: close\r\n\r\n",
	    region);
	GByteArray *body = g_byte_array_new();
	client_conn_t *c = client_open(
	    w, w->hosts[host].lookups, "resolve", ask, strlen(ask), 0, FALSE);
	request_t *r = c->request;
	json_t *root;
	const json_t *list, *v;
	int n = 0, i;
	size_t k;

	c->body = body;
	for (i = 0; i < 50 && r->answers == 0 && r->status == 0; i++)
		world_run(w, 10);
	if (r->answers == 0) {
		/* Keeps the buffer: an answer may still come. */
		g_free(ask);
		return 0;
	}
	root = json_loadb((const char *)body->data, body->len, 0, NULL);
	list = json_object_get(root, "addresses");
	json_array_foreach(list, k, v)
	{
		if (n < max)
			ports[n++] =
			    atoi(strrchr(json_string_value(v), ':') + 1);
	}
	json_decref(root);
	g_free(ask);
	return n;
}

/* ---- the world ---- */

static void
on_run_over(evutil_socket_t fd, short what, void *arg)
{
	world_t *w = arg;

	(void)fd;
	(void)what;
	event_base_loopbreak(w->base);
}

void
world_run(world_t *w, int64_t ms)
{
	int64_t until = msec() + ms;

	while (msec() < until) {
		struct event *e = add_timer(w, until - msec(), on_run_over, w);

		event_base_dispatch(w->base);
		event_free(e);
	}
}

void
world_init(world_t *w, int argc, char **argv)
{
	memset(w, 0, sizeof(*w));
	if (argc != 3) {
		fprintf(stderr, "usage: %s SCRATCH-FOLDER TROUBLE\n", argv[0]);
		exit(2);
	}
	signal(SIGPIPE, SIG_IGN);
	w->dir = argv[1];
	w->record = stdout;
	w->trouble = strcmp(argv[2], "0") != 0;
	w->began_at = msec();
	w->base = event_base_new();
	w->runs = g_ptr_array_new();
	w->requests = g_ptr_array_new();
	w->store.world = w;
	w->store.ver = 1;
	w->store.tables = g_hash_table_new(g_str_hash, g_str_equal);
	w->store.conns = g_ptr_array_new();
	w->store.listener = listen_on(w, &w->store.port, on_store_accept, w);
	record(w, "begins, trouble %s", w->trouble ? "on" : "off");
	if (access(PROGRAM, X_OK) != 0)
		world_cant_run(w, PROGRAM " is missing");
}

void
world_start_hosts(world_t *w)
{
	int i;

	for (i = 0; i < w->nhosts; i++)
		host_start(w, i);
	for (i = 0; i < w->nhosts; i++) {
		if (!host_wait_ready(w, i, READY_TIMEOUT_MS))
			world_cant_run(w, "a host is not ready");
	}
	record(w, "all hosts are ready");
}

static void
end_hosts(world_t *w)
{
	int i, status;

	for (i = 0; i < w->nhosts; i++) {
		if (w->hosts[i].pid <= 0)
			continue;
		kill(w->hosts[i].pid, SIGKILL);
		waitpid(w->hosts[i].pid, &status, 0);
	}
}

void
world_end(world_t *w, gboolean broken)
{
	end_hosts(w);
	record(w, "ends: the rule was %s", broken ? "broken" : "kept");
	fprintf(stderr, "%s\n", broken ? "rule broken" : "rule kept");
	exit(broken ? 1 : 0);
}

void
world_cant_run(world_t *w, const char *why)
{
	end_hosts(w);
	record(w, "could not run: %s", why);
	fprintf(stderr, "could not run: %s\n", why);
	exit(2);
}

json_t *
route(const char *name, const char *prefix, const char *kind, int timeout_ms,
    int max_attempts, const char *const *services)
{
	json_t *r = json_pack(
	    "{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:b, s:b, s:[]}", "name",
	    name, "host", "site.example", "prefix", prefix, "kind", kind,
	    "timeout_ms", timeout_ms, "target_latency_ms", 600, "priority", 1,
	    "max_attempts", max_attempts, "public", 0, "sticky_sessions", 0,
	    "allowed_regions");
	json_t *parts = json_array();

	if (services[1] == NULL) {
		json_object_set_new(r, "service", json_string(services[0]));
		json_decref(parts);
		return r;
	}
	for (; *services != NULL; services++)
		json_array_append_new(parts,
		    json_pack("{s:s, s:i}", "service", *services, "weight", 1));
	json_object_set_new(r, "backends", parts);
	return r;
}

json_t *
tenant(const char *name, const char *key, int rate, int burst)
{
	return json_pack("{s:s, s:[s], s:i, s:i, s:i, s:[]}", "name", name,
	    "api_keys", key, "priority", 0, "rate_per_s", rate, "burst", burst,
	    "allowed_regions");
}

void
world_manifest(world_t *w, json_t *routes, json_t *tenants)
{
	json_t *services = json_array(), *root;
	const char *seen = "";
	char *text;
	int i;

	for (i = 0; i < w->nservers; i++) {
		if (strcmp(w->servers[i]->service, seen) == 0)
			continue;
		seen = w->servers[i]->service;
		json_array_append_new(services,
		    json_pack("{s:s, s:s, s:i, s:i, s:f}", "name", seen,
			"health_path", "/health", "max_connections", 330,
			"warmup_s", 3, "warmup_per_s", 2.5));
	}
	w->version += 3;
	root =
	    json_pack("{s:i, s:o, s:o, s:o, s:{s:i, s:i, s:i, s:i}}", "version",
		w->version, "routes", routes, "services", services, "tenants",
		tenants, "limits", "max_header_bytes", 16384, "max_body_bytes",
		1048576, "header_timeout_ms", 5000, "idle_timeout_ms", 20000);
	text = json_dumps(root, JSON_COMPACT);
	store_put(w, "op", "config", text);
	record(w, "operator: manifest version %d is confirmed", w->version);
	free(text);
	json_decref(root);
}

const request_t *
find_request(const world_t *w, const char *id)
{
	guint i;

	for (i = 0; i < w->requests->len; i++) {
		const request_t *r = g_ptr_array_index(w->requests, i);

		if (strcmp(r->id, id) == 0)
			return r;
	}
	return NULL;
}
