#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "soak.h"

/*
 * Backend servers that write their own bytes: sound answers, and answers of
 * soak_shape_t for half of the requests. A connection that got one of no use
 * stays open until the host closes it.
 */

#define WORK_MS 20
#define RUNNING_MAX 100
#define LARGE_MIN_BYTES 100000
#define LARGE_MAX_BYTES 4000000
#define FILLER_BYTES 300
#define CHUNKS 3
#define BLOCK_BYTES 65536
#define INTERIM "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

struct soak_bytes {
	soak_server_t *server;
	struct evconnlistener *listener;
	GPtrArray *conns;
};

typedef struct {
	soak_bytes_t *b;
	struct bufferevent *bev;
	struct event *work;
	GString *in;
	soak_request_t *request; /* that runs, or NULL */
	soak_shape_t shape;	 /* of its answer */
	size_t body_due;	 /* of a request that was answered early */
	GString *block;		 /* sent again and again; NULL: nothing */
} conn_t;

static void
conn_free(void *p)
{
	conn_t *c = p;

	if (c->request != NULL)
		c->b->server->running--;
	event_free(c->work);
	bufferevent_free(c->bev);
	g_string_free(c->in, TRUE);
	if (c->block != NULL)
		g_string_free(c->block, TRUE);
	g_free(c);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	conn_t *c = arg;

	(void)bev;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		g_ptr_array_remove_fast(c->b->conns, c);
}

/* ---- answers ---- */

static void
write_text(conn_t *c, const char *text)
{
	bufferevent_write(c->bev, text, strlen(text));
}

static void
on_written(struct bufferevent *bev, void *arg)
{
	const conn_t *c = arg;

	if (c->block != NULL)
		bufferevent_write(bev, c->block->str, c->block->len);
}

static void
write_endless(conn_t *c, const char *start, const char *more)
{
	c->b->server->world->endless++;
	write_text(c, start);
	c->block = g_string_new(NULL);
	while (c->block->len < BLOCK_BYTES)
		g_string_append(c->block, more);
	on_written(c->bev, c);
}

/* Body with its own length in it. */
static GString *
make_body(const conn_t *c, size_t len)
{
	GString *s = g_string_new(NULL);

	g_string_printf(s, "%s from %s, %zu bytes\n", c->request->id,
	    c->b->server->id, len);
	while (s->len < len)
		g_string_append_c(s, 'x');
	return s;
}

static GString *
make_head(const conn_t *c, int status)
{
	const soak_server_t *s = c->b->server;
	GString *out = g_string_new(NULL);

	g_string_printf(out,
	    "HTTP/1.1 %d -\r\nX-Request-Id: %s\r\n"
	    "X-Response-Signature: %s\r\n%s",
	    status, c->request->id, c->request->id,
	    s->leaving_at != 0 ? "Server-Leaving: 1\r\n" : "");
	return out;
}

static void
write_whole(conn_t *c, size_t len)
{
	GString *head = make_head(c, 200), *body = make_body(c, len);

	g_string_append_printf(head, "Content-Length: %zu\r\n\r\n", body->len);
	bufferevent_write(c->bev, head->str, head->len);
	bufferevent_write(c->bev, body->str, body->len);
	g_string_free(head, TRUE);
	g_string_free(body, TRUE);
	c->request->answered_whole = TRUE;
}

static GString *
make_chunked(const conn_t *c)
{
	GString *out = make_head(c, 200), *body = make_body(c, FILLER_BYTES);
	size_t size = body->len / CHUNKS, at;

	g_string_append(out, "Transfer-Encoding: chunked\r\n\r\n");
	for (at = 0; at < body->len; at += size)
		g_string_append_printf(out, "%zx\r\n%.*s\r\n",
		    MIN(size, body->len - at), (int)size, body->str + at);
	g_string_append(out, "0\r\nX-Trailer: t\r\n\r\n");
	g_string_free(body, TRUE);
	return out;
}

/* Whether @at is in the data of a chunk. */
static gboolean
is_data(const GString *s, size_t at)
{
	const char *line = strstr(s->str, "\r\n\r\n") + 4, *data;
	size_t size;

	while ((size = strtoul(line, NULL, 16)) > 0) {
		data = strstr(line, "\r\n") + 2;
		if (at >= (size_t)(data - s->str) &&
		    at < (size_t)(data - s->str) + size)
			return TRUE;
		line = data + size + 2;
	}
	return FALSE;
}

/* Another byte in the data or in the status would leave a valid answer. */
static gboolean
may_change(const GString *s, size_t at)
{
	size_t status = strlen("HTTP/1.1 ");

	return (at < status || at >= status + 3) && !is_data(s, at);
}

void
soak_bytes_spoil(GString *s, GRand *rand)
{
	char byte = (char)g_rand_int_range(rand, 0, 256);
	gssize at;

	do
		at = (gssize)g_rand_int_range(rand, 0, (gint32)s->len);
	while (!may_change(s, (size_t)at));
	switch (g_rand_int_range(rand, 0, 4)) {
	case 0:
		s->str[at] = byte;
		break;
	case 1:
		g_string_erase(s, at, 1);
		break;
	case 2:
		g_string_insert_c(s, at, s->str[at]);
		break;
	default:
		g_string_insert_c(s, at, byte);
		break;
	}
}

static void
write_spoiled(conn_t *c)
{
	GString *out = make_chunked(c);

	soak_bytes_spoil(out, c->b->server->world->further);
	c->request->spoiled = TRUE;
	c->b->server->world->spoiled++;
	bufferevent_write(c->bev, out->str, out->len);
	g_string_free(out, TRUE);
}

static void
write_answer(conn_t *c)
{
	world_t *w = c->b->server->world;

	c->request->broke_off |= c->shape >= BYTES_SPOILED;
	switch (c->shape) {
	case BYTES_LARGE:
		w->large++;
		write_whole(c,
		    LARGE_MIN_BYTES +
			g_str_hash(c->request->id) %
			    (LARGE_MAX_BYTES - LARGE_MIN_BYTES));
		break;
	case BYTES_SPOILED:
		write_spoiled(c);
		break;
	case BYTES_HALF_HEAD:
		write_text(c, "HTTP/1.1 200 OK\r\nX-Requ");
		break;
	case BYTES_ENDLESS_INTERIM:
		write_endless(c, INTERIM, INTERIM);
		break;
	case BYTES_ENDLESS_HEAD:
		write_endless(c, "HTTP/1.1 200 OK\r\n", "X-Filler: y\r\n");
		break;
	case BYTES_ENDLESS_SIZE:
		write_endless(c, CHUNKED, "0");
		break;
	case BYTES_ENDLESS_BODY:
		write_endless(c, "HTTP/1.1 200 OK\r\n\r\n", "first");
		break;
	case BYTES_ENDLESS_CHUNKS:
		write_endless(c, CHUNKED, "5\r\nfirst\r\n");
		break;
	case BYTES_INTERIM:
		write_text(c, INTERIM INTERIM);
		/* fall through */
	case BYTES_SOUND:
	case BYTES_EARLY:
	case BYTES_SHAPES:
		write_whole(c, FILLER_BYTES);
		break;
	}
}

static void
reject(conn_t *c, const char *id, const char *status)
{
	char *text = g_strdup_printf(
	    "HTTP/1.1 %s -\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\n"
	    "X-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n",
	    status, id, c->b->server->id);

	write_text(c, text);
	g_free(text);
}

/* ---- requests ---- */

static char *
header(const char *head, const char *name)
{
	char *line = g_strdup_printf("\r\n%s:", name);
	const char *at = strcasestr(head, line);
	char *value = NULL;

	if (at != NULL) {
		at += strlen(line);
		value = g_strstrip(g_strndup(at, strcspn(at, "\r")));
	}
	g_free(line);
	return value;
}

static soak_shape_t
draw_shape(const soak_server_t *s)
{
	return s->shape == BYTES_LARGE || g_rand_boolean(s->world->further)
	    ? s->shape
	    : BYTES_SOUND;
}

/* Runs the request of @head, or rejects it. */
static void
run(conn_t *c, const char *head, const char *id, size_t body_len)
{
	const struct timeval work = {0, WORK_MS * 1000};
	soak_server_t *s = c->b->server;
	soak_request_t *r = g_hash_table_lookup(s->world->requests, id);
	char *workspace = header(head, "X-Tenant-Id"),
	     *ms_left = header(head, "X-Deadline-Ms"),
	     *object = header(head, "X-Affinity-Key"),
	     *credential = header(head, "X-Credential"),
	     *instance = header(head, "X-Expected-Instance");
	const soak_seen_t seen = {
	    workspace, ms_left, object, credential, body_len};

	if (g_strcmp0(instance, s->id) != 0) {
		reject(c, id, "421");
	} else if (r == NULL) {
		soak_broken(s->world, "UNASKED unknown request %s ran", id);
		reject(c, id, "400");
	} else if (r->crashes || s->running >= RUNNING_MAX) {
		reject(c, id, "503");
	} else {
		s->running++;
		soak_run_check(s, r, &seen);
		c->request = r;
		event_add(c->work, &work);
	}
	g_free(workspace);
	g_free(ms_left);
	g_free(object);
	g_free(credential);
	g_free(instance);
}

/* The rest of a body that was answered early has to be the request's. */
static void
read_rest(conn_t *c)
{
	size_t n = MIN(c->body_due, c->in->len), i;

	for (i = 0; i < n; i++) {
		if (!g_ascii_isxdigit(c->in->str[i])) {
			soak_broken(c->b->server->world,
			    "UNASKED server %s got other bytes where the rest "
			    "of a body was due",
			    c->b->server->id);
			break;
		}
	}
	g_string_erase(c->in, 0, (gssize)n);
	c->body_due -= n;
}

/* Takes one request from @c->in. Return: whether it was whole. */
static gboolean
take_request(conn_t *c)
{
	const char *end = strstr(c->in->str, "\r\n\r\n");
	char *head, *id, *length;
	size_t need, body = 0;
	gboolean early, whole;

	if (end == NULL)
		return FALSE;
	need = (size_t)(end + 4 - c->in->str);
	head = g_strndup(c->in->str, need);
	id = header(head, "X-Request-Id");
	length = header(head, "Content-Length");
	if (length != NULL)
		body = strtoul(length, NULL, 10);
	whole = c->in->len >= need + body;
	early = body > 0 && !whole && c->b->server->shape == BYTES_EARLY;
	if (whole || early) {
		c->shape = early ? BYTES_EARLY : draw_shape(c->b->server);
		g_string_erase(c->in, 0, (gssize)need);
		c->body_due = body;
		read_rest(c);
		run(c, head, id != NULL ? id : "-", body);
	}
	g_free(head);
	g_free(id);
	g_free(length);
	return whole || early;
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	struct evbuffer *in = bufferevent_get_input(bev);
	size_t len = evbuffer_get_length(in);
	conn_t *c = arg;

	g_string_append_len(
	    c->in, (const char *)evbuffer_pullup(in, -1), (gssize)len);
	evbuffer_drain(in, len);
	do
		read_rest(c);
	while (c->request == NULL && c->body_due == 0 && take_request(c));
}

static void
on_work_done(evutil_socket_t fd, short what, void *arg)
{
	conn_t *c = arg;
	gboolean useless = c->shape >= BYTES_SPOILED;

	(void)fd;
	(void)what;
	write_answer(c);
	c->b->server->running--;
	c->request = NULL;
	if (useless) /* what follows on it has no meaning */
		bufferevent_setcb(c->bev, NULL, on_written, on_event, c);
	else
		on_read(c->bev, c);
}

static void
on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *from,
    int len, void *arg)
{
	soak_bytes_t *b = arg;
	struct event_base *base = b->server->world->base;
	conn_t *c = g_new0(conn_t, 1);

	(void)l;
	(void)from;
	(void)len;
	c->b = b;
	c->in = g_string_new(NULL);
	c->work = evtimer_new(base, on_work_done, c);
	c->bev = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(c->bev, on_read, on_written, on_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	g_ptr_array_add(b->conns, c);
}

soak_bytes_t *
soak_bytes_new(soak_server_t *s)
{
	struct sockaddr_in at = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)s->port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	soak_bytes_t *b = g_new0(soak_bytes_t, 1);

	b->server = s;
	b->conns = g_ptr_array_new_with_free_func(conn_free);
	b->listener = evconnlistener_new_bind(s->world->base, on_accept, b,
	    LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, -1,
	    (struct sockaddr *)&at, sizeof(at));
	if (b->listener == NULL)
		soak_broken(s->world, "cannot listen on port %d", s->port);
	return b;
}

void
soak_bytes_free(soak_bytes_t *b)
{
	if (b->listener != NULL)
		evconnlistener_free(b->listener);
	g_ptr_array_free(b->conns, TRUE);
	g_free(b);
}
