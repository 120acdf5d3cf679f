#include <sys/queue.h>
#include <sys/socket.h>

#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>

#include "soak.h"

#define SLOTS 4
#define WORK_MS 60
#define SLOW_WORK_MS 900
#define RESTART_AFTER_MS 2000
#define SIGNATURE "X-Response-Signature"

typedef struct {
	soak_server_t *server;
	struct evhttp_request *req;
	struct event *timer;
	soak_request_t *request;
	char *id;
	int chance; /* random, 0 to 99: decides whether a fault applies */
} run_t;

static const char *
header(struct evhttp_request *req, const char *name)
{
	return evhttp_find_header(evhttp_request_get_input_headers(req), name);
}

/* While a request has no answer yet, evhttp does not report that its connection
 * was closed. */
static gboolean
is_closed(struct evhttp_request *req)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(
	    evhttp_request_get_connection(req));
	char byte;

	return recv(bufferevent_getfd(bev), &byte, 1,
		   MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* Every answer says that its server leaves; a rejection for a fault asks for a
 * pause. */
static void
say_words(soak_server_t *s, struct evhttp_request *req, int status)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);
	const char *id = header(req, "X-Request-Id");
	const soak_request_t *r =
	    id != NULL ? g_hash_table_lookup(s->world->requests, id) : NULL;
	gboolean pause = status == 503 && s->fault == SERVER_SHEDS;

	if (status == 421)
		return;
	if (s->leaving_at != 0)
		evhttp_add_header(out, "Server-Leaving", "1");
	if (pause)
		evhttp_add_header(out, "Retry-After", SOAK_PAUSE_SEC);
	if (r != NULL && !is_closed(req))
		soak_word_tell(s, r->host, pause);
}

static void
reply(
    soak_server_t *s, struct evhttp_request *req, int status, const char *text)
{
	struct evbuffer *body = evbuffer_new();
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);
	const char *id = header(req, "X-Request-Id");

	if (id != NULL)
		evhttp_add_header(out, "X-Request-Id", id);
	say_words(s, req, status);
	evbuffer_add(body, text, strlen(text));
	evhttp_send_reply(req, status, "-", body);
	evbuffer_free(body);
}

static void
reject(soak_server_t *s, struct evhttp_request *req, int status)
{
	evhttp_add_header(evhttp_request_get_output_headers(req),
	    status == 421 ? "X-Instance-Id" : "X-Not-Executed", "1");
	reply(s, req, status, "");
}

/* Every third rejection is written once more on its connection, where the
 * answer to the next request is due. */
#define REPEAT_EVERY 3

static struct bufferevent *
connection(struct evhttp_request *req)
{
	return evhttp_connection_get_bufferevent(
	    evhttp_request_get_connection(req));
}

static void
note_rejection(soak_server_t *s, struct evhttp_request *req, const char *id)
{
	if (id == NULL || ++s->rejections % REPEAT_EVERY != 0)
		return;
	s->rejected_on = connection(req);
	g_strlcpy(s->rejected_id, id, sizeof(s->rejected_id));
}

static void
repeat_rejection(soak_server_t *s, struct evhttp_request *req)
{
	struct evbuffer *out = bufferevent_get_output(connection(req));

	if (s->rejected_on != connection(req))
		return;
	s->rejected_on = NULL;
	evbuffer_add_printf(out,
	    "HTTP/1.1 503 -\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\n"
	    "Content-Length: 0\r\n\r\n",
	    s->rejected_id);
}

/* ---- checks of a request at a server ---- */

static void
note_run(soak_server_t *s, struct evhttp_request *req, soak_request_t *r)
{
	const soak_seen_t seen = {.workspace = header(req, "X-Tenant-Id"),
	    .ms_left = header(req, "X-Deadline-Ms"),
	    .object = header(req, "X-Affinity-Key"),
	    .credential = header(req, "X-Credential"),
	    .body_len =
		evbuffer_get_length(evhttp_request_get_input_buffer(req))};

	soak_run_check(s, r, &seen);
}

/* An idempotent request must be cancelled when its caller hangs up. */
static void
check_hung_up(world_t *w, struct evhttp_request *req, const soak_request_t *r)
{
	msec_t now = clock_now();

	if (!is_closed(req) && r->hung_up_at != 0 && r->idempotent &&
	    w->lag < 100 && now > r->hung_up_at + CANCEL_BOUND_MS &&
	    soak_all_undisturbed(w, now - r->hung_up_at + SETTLE_MS))
		soak_broken(w,
		    "GONE request %s still ran %lld ms after its caller hung "
		    "up",
		    r->id, (long long)(now - r->hung_up_at));
}

/* ---- runs ---- */

static void
run_free(run_t *run)
{
	run->server->running--;
	event_free(run->timer);
	g_free(run->id);
	g_free(run);
}

/* The host has closed the connection. */
static void
on_closed(struct evhttp_connection *evcon, void *arg)
{
	run_t *run = arg;

	(void)evcon;
	if (run->server->crashed && run->request != NULL)
		run->request->broke_off = TRUE;
	run_free(run);
}

/* Sends a truncated answer as raw bytes, then closes the connection. */
static void
send_truncated(run_t *run)
{
	struct evhttp_connection *evcon =
	    evhttp_request_get_connection(run->req);
	struct bufferevent *bev = evhttp_connection_get_bufferevent(evcon);

	evhttp_connection_set_closecb(evcon, NULL, NULL);
	bufferevent_write(
	    bev, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nx", 41);
	bufferevent_flush(bev, EV_WRITE, BEV_FLUSH);
	evhttp_connection_free(evcon);
}

static void
finish(run_t *run)
{
	struct evhttp_request *req = run->req;
	soak_server_t *s = run->server;
	char *text = g_strdup_printf("%s from %s", run->id, s->id);
	gboolean fails = s->fault == SERVER_ERRORS && run->chance < 50;

	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), NULL, NULL);
	evhttp_add_header(
	    evhttp_request_get_output_headers(req), SIGNATURE, run->id);
	if (run->request != NULL && !fails)
		run->request->answered_whole = TRUE;
	reply(s, req, fails ? 500 : 200, text);
	g_free(text);
}

static void
on_work_done(evutil_socket_t fd, short what, void *arg)
{
	run_t *run = arg;
	struct evhttp_connection *evcon =
	    evhttp_request_get_connection(run->req);

	(void)fd;
	(void)what;
	if (run->request != NULL)
		check_hung_up(run->server->world, run->req, run->request);
	if (run->request != NULL)
		run->request->broke_off |=
		    run->server->fault == SERVER_LOSES_ANSWERS ||
		    run->server->fault == SERVER_TRUNCATES;
	switch (run->server->fault) {
	case SERVER_SILENT:
		return;
	case SERVER_LOSES_ANSWERS:
		evhttp_connection_set_closecb(evcon, NULL, NULL);
		evhttp_connection_free(evcon);
		break;
	case SERVER_TRUNCATES:
		if (run->chance < 50)
			send_truncated(run);
		else
			finish(run);
		break;
	default:
		finish(run);
		break;
	}
	run_free(run);
}

static void
check_crash(world_t *w, const soak_request_t *r)
{
	msec_t now = clock_now();

	if (++w->crashes == CRASHES_BEFORE_REFUSAL)
		w->third_crash_at = now;
	if (w->crashes <= CRASHES_BEFORE_REFUSAL ||
	    now < w->third_crash_at + REFUSAL_BOUND_MS ||
	    !soak_all_undisturbed(w, REFUSAL_BOUND_MS))
		return;
	if (++w->crashes_late > LATE_CRASHES_MAX)
		soak_broken(w,
		    "BUDGET request %s caused server crash number %u", r->id,
		    w->crashes);
}

static void start(soak_server_t *s);

static void
on_restart(evutil_socket_t fd, short what, void *arg)
{
	soak_server_t *s = arg;

	(void)fd;
	(void)what;
	s->crashed = FALSE;
	s->starts++;
	memset(s->told, 0, sizeof(s->told));
	start(s);
	if (s->listed)
		soak_server_write(s, TRUE);
}

static void
on_crash(evutil_socket_t fd, short what, void *arg)
{
	const struct timeval down = {
	    RESTART_AFTER_MS / 1000, (RESTART_AFTER_MS % 1000) * 1000};
	soak_server_t *s = arg;

	(void)fd;
	(void)what;
	if (s->crashed)
		return;
	s->crashed = TRUE;
	evhttp_free(s->http);
	s->http = NULL;
	s->bound = NULL;
	event_base_once(s->world->base, -1, EV_TIMEOUT, on_restart, s, &down);
}

static void
on_request(struct evhttp_request *req, void *arg)
{
	soak_server_t *s = arg;
	world_t *w = s->world;
	const char *id = header(req, "X-Request-Id");
	int ms = s->fault == SERVER_SLOW ? SLOW_WORK_MS : WORK_MS;
	const struct timeval tv = {0, ms * 1000}, now = {0, 0};
	soak_request_t *r;
	run_t *run;

	if (g_strcmp0(header(req, "X-Expected-Instance"), s->id) != 0) {
		reject(s, req, 421);
		return;
	}
	repeat_rejection(s, req);
	r = id != NULL ? g_hash_table_lookup(w->requests, id) : NULL;
	if (r != NULL)
		soak_word_check(s, r->host, id);
	if (s->running >= SLOTS * 3 ||
	    (s->fault == SERVER_SHEDS && g_rand_boolean(w->rand))) {
		if (s->fault == SERVER_SHEDS)
			note_rejection(s, req, id);
		reject(s, req, 503);
		return;
	}
	if (r == NULL) {
		soak_broken(w, "UNASKED unknown request %s ran", id);
		reject(s, req, 400);
		return;
	}
	note_run(s, req, r);
	run = g_new0(run_t, 1);
	run->server = s;
	run->req = req;
	run->request = r;
	run->id = g_strdup(id);
	run->chance = g_rand_int_range(w->rand, 0, 100);
	run->timer = evtimer_new(w->base, on_work_done, run);
	s->running++;
	event_add(run->timer, &tv);
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), on_closed, run);
	if (r->crashes) {
		check_crash(w, r);
		event_base_once(w->base, -1, EV_TIMEOUT, on_crash, s, &now);
	}
}

static void
listen_on(soak_server_t *s)
{
	s->bound = evhttp_bind_socket_with_handle(
	    s->http, "127.0.0.1", (uint16_t)s->port);
}

static void
start(soak_server_t *s)
{
	s->http = evhttp_new(s->world->base);
	evhttp_set_gencb(s->http, on_request, s);
	evhttp_set_max_body_size(s->http, 1 << 20);
	if (s->fault != SERVER_DOWN)
		listen_on(s);
}

static void
add(world_t *w, int service, int domain, const char *version, gboolean bytes)
{
	soak_server_t *s = &w->servers[w->nservers];

	if (w->nservers == SERVERS_MAX)
		return;
	s->world = w;
	g_snprintf(s->id, sizeof(s->id), "i-%x-%d", w->seed, w->nservers);
	s->port = w->port + PORT_SERVERS + w->nservers;
	s->service = service;
	s->domain = domain;
	s->version = version;
	if (bytes)
		s->bytes = soak_bytes_new(s);
	else
		start(s);
	w->nservers++;
	soak_server_write(s, TRUE);
}

void
soak_server_start(world_t *w, int service, int domain, const char *version)
{
	add(w, service, domain, version, FALSE);
}

void
soak_server_start_bytes(world_t *w, int service, int domain)
{
	add(w, service, domain, "v1", TRUE);
}

void
soak_server_write(soak_server_t *s, gboolean listed)
{
	char *value = g_strdup_printf(
	    "{\"service\":\"service-%d\",\"address\":\"127.0.0.1:%d\","
	    "\"zone\":\"zone-%d\",\"version\":\"%s\",\"slots\":%d,"
	    "\"state\":\"%s\",\"warmup_left_ms\":0,\"sequence\":1,"
	    "\"born\":%d}",
	    s->service, s->port, s->domain, s->version, SLOTS,
	    s->draining ? "draining" : "ready", 1000 + s->port + s->starts);

	if ((s->draining || !listed) && s->leaving_at == 0)
		s->leaving_at = clock_now();
	s->listed = listed;
	soak_store_put(
	    &s->world->store, "servers", s->id, listed ? value : NULL);
	g_free(value);
}

void
soak_server_fault(soak_server_t *s, server_fault_t fault)
{
	if (s->crashed || s->bytes != NULL) {
		s->fault = fault;
		return;
	}
	if (fault == SERVER_DOWN && s->bound != NULL) {
		evhttp_del_accept_socket(s->http, s->bound);
		s->bound = NULL;
	} else if (fault != SERVER_DOWN && s->bound == NULL) {
		listen_on(s);
	}
	s->fault = fault;
}

void
soak_servers_finish(world_t *w)
{
	int i;

	for (i = 0; i < w->nservers; i++) {
		if (w->servers[i].bytes != NULL)
			soak_bytes_free(w->servers[i].bytes);
		else if (!w->servers[i].crashed)
			evhttp_free(w->servers[i].http);
	}
}
