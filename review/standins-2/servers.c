#include <sys/queue.h>
#include <sys/socket.h>

#include <netinet/in.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>

#include "world.h"

/* Backend servers: each runs its slots at once and queues a few requests. */

typedef struct {
	server_t *server;
	struct evhttp_request *req;
	request_t *request;
	struct event *timer;
	ms_t began_at; /* 0: it waits for a slot */
} run_t;

static void start_waiting(server_t *s);

static void
run_free(run_t *run)
{
	server_t *s = run->server;

	g_ptr_array_remove(s->runs, run);
	if (run->began_at != 0)
		s->running--;
	event_free(run->timer);
	g_free(run);
}

static void
add_load(const server_t *s, struct evkeyvalq *headers)
{
	char *text = g_strdup_printf(
	    "%u,%u,%d", s->running, s->runs->len - s->running, s->slots);

	evhttp_add_header(headers, "X-Server-Load", text);
	g_free(text);
}

static void
reply(server_t *s, struct evhttp_request *req, int status, const char *sign)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);
	const char *id = evhttp_find_header(
	    evhttp_request_get_input_headers(req), "X-Request-Id");
	struct evbuffer *body = evbuffer_new();

	if (id != NULL)
		evhttp_add_header(out, "X-Request-Id", id);
	evhttp_add_header(out, "X-Instance-Id", s->id);
	add_load(s, out);
	if (sign != NULL) {
		evhttp_add_header(out, "X-Response-Signature", sign);
		evbuffer_add_printf(body, "answer of %s to %s\n", s->id, id);
	} else if (status != 200) {
		evhttp_add_header(out, "X-Not-Executed", "1");
	}
	if (s->limit != NULL)
		evhttp_add_header(out, "Server-Limit", s->limit);
	if (s->leaving)
		evhttp_add_header(out, "Server-Leaving", "1");
	if (s->drains)
		evhttp_add_header(out, "Connection", "close");
	evhttp_send_reply(req, status, "-", body);
	evbuffer_free(body);
}

static void
on_worked(evutil_socket_t fd, short what, void *arg)
{
	run_t *run = arg;
	server_t *s = run->server;
	struct evhttp_request *req = run->req;
	char *sign = g_strdup_printf("%s.%s", s->id, run->request->id);

	(void)fd;
	(void)what;
	run->request->answers++;
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), NULL, NULL);
	run_free(run);
	reply(s, req, 200, sign);
	g_free(sign);
	start_waiting(s);
}

static void
start_run(run_t *run)
{
	server_t *s = run->server;
	ms_t ms =
	    run->request->work_ms > 0 ? run->request->work_ms : s->work_ms;
	struct timeval tv = {ms / 1000, ms % 1000 * 1000};

	run->began_at = world_now(s->world) + 1;
	run->request->runs++;
	s->running++;
	world_note(s->world, "run %s at %s", run->request->id, s->id);
	event_add(run->timer, &tv);
}

static void
start_waiting(server_t *s)
{
	guint i;

	for (i = 0; i < s->runs->len && s->running < (guint)s->slots; i++) {
		run_t *run = g_ptr_array_index(s->runs, i);

		if (run->began_at == 0)
			start_run(run);
	}
}

/* Servers drop a request when its connection closes. */
static void
on_closed(struct evhttp_connection *evcon, void *arg)
{
	server_t *s = arg;
	guint i;

	for (i = s->runs->len; i > 0; i--) {
		run_t *run = g_ptr_array_index(s->runs, i - 1);

		if (evhttp_request_get_connection(run->req) == evcon)
			run_free(run);
	}
	start_waiting(s);
}

static void
on_request(struct evhttp_request *req, void *arg)
{
	server_t *s = arg;
	const struct evkeyvalq *in = evhttp_request_get_input_headers(req);
	const char *wanted = evhttp_find_header(in, "X-Expected-Instance");
	const char *id = evhttp_find_header(in, "X-Request-Id");
	request_t *r;
	run_t *run;

	if (strcmp(evhttp_request_get_uri(req), "/health") == 0) {
		reply(s, req, s->drains ? 503 : 200, NULL);
		return;
	}
	if (wanted != NULL && strcmp(wanted, s->id) != 0) {
		reply(s, req, 421, NULL);
		return;
	}
	r = id != NULL ? g_hash_table_lookup(s->world->requests, id) : NULL;
	if (r == NULL) {
		reply(s, req, 400, NULL);
		return;
	}
	r->arrivals++;
	if (s->world->on_arrival != NULL)
		s->world->on_arrival(s, r);
	if (s->runs->len >= (guint)(s->slots + s->queue)) {
		reply(s, req, 503, NULL);
		return;
	}
	run = g_new0(run_t, 1);
	run->server = s;
	run->req = req;
	run->request = r;
	run->timer = evtimer_new(s->world->base, on_worked, run);
	g_ptr_array_add(s->runs, run);
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), on_closed, s);
	start_waiting(s);
}

server_t *
server_start(world_t *w, const char *id, const char *service, const char *zone,
    const char *version)
{
	server_t *s = g_new0(server_t, 1);
	struct evhttp_bound_socket *bound;
	struct sockaddr_in sin = {0};
	socklen_t len = sizeof(sin);

	s->world = w;
	s->id = g_strdup(id);
	s->service = g_strdup(service);
	s->zone = g_strdup(zone);
	s->version = g_strdup(version);
	s->slots = 3;
	s->queue = 9;
	s->work_ms = 300;
	s->born = g_get_real_time() / 1000;
	s->runs = g_ptr_array_new();
	s->http = evhttp_new(w->base);
	evhttp_set_gencb(s->http, on_request, s);
	bound = evhttp_bind_socket_with_handle(s->http, "127.0.0.1", 0);
	if (bound == NULL)
		g_error("no free port for a server");
	getsockname(
	    evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&sin, &len);
	s->port = ntohs(sin.sin_port);
	g_ptr_array_add(w->servers, s);
	return s;
}

void
server_report(server_t *s, gboolean listed)
{
	char *text = g_strdup_printf(
	    "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
	    "\"version\":\"%s\",\"slots\":%d,\"state\":\"%s\","
	    "\"warmup_left_ms\":0,\"sequence\":1,\"born\":%" G_GINT64_FORMAT
	    "}",
	    s->service, s->port, s->zone, s->version, s->slots,
	    s->drains ? "draining" : "ready", s->born);

	store_put(&s->world->store, "servers", s->id, listed ? text : NULL);
	if (s->left_at == 0 && (s->drains || !listed))
		s->left_at = world_now(s->world);
	g_free(text);
}

void
server_end(server_t *s)
{
	if (s->http == NULL)
		return;
	while (s->runs->len > 0) {
		run_t *run = g_ptr_array_index(s->runs, 0);

		run->request->cut++;
		world_note(
		    s->world, "cut %s as %s ends", run->request->id, s->id);
		evhttp_connection_set_closecb(
		    evhttp_request_get_connection(run->req), NULL, NULL);
		run_free(run);
	}
	evhttp_free(s->http);
	s->http = NULL;
}
