#include <sys/socket.h>
#include <sys/wait.h>

#include <signal.h>
#include <string.h>

#include "host_world.h"
#include "suite.h"

#define PORT 25500
#define CALLERS 6
#define BIG_BYTES (16 * 1024 * 1024) /* more than sockets hold */
#define REPORT_CHARS 2000
#define LONG_MS 10000 /* time-out of a service with slow callers */
#define FULL_MS 1500  /* until what waits for a slow caller is full */
#define SOON_MS 3000
#define BOUND_MS 8000 /* the service's time-out, twice, on a busy machine */

static host_world_t w;
static int number;

/* ---- servers: the path says what they do ---- */

/* Sends the rest of an answer whose first half has left. */
typedef enum {
	REST_WHOLE,
	REST_NONE,
	REST_RESET,
	REST_SPOILED,
} rest_t;

static void
send_big(raw_conn_t *conn, size_t bytes)
{
	char *text = g_strnfill(bytes, 'x');

	raw_send(conn, text);
	g_free(text);
}

static void
send_chunked(raw_conn_t *conn, rest_t rest)
{
	char *size = g_strdup_printf("%x\r\n", BIG_BYTES / 2);

	raw_send(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
	raw_send(conn, size);
	send_big(conn, BIG_BYTES / 2);
	raw_send(conn, "\r\n");
	if (rest == REST_SPOILED) {
		raw_send(conn, "zz\r\n");
	} else if (rest == REST_WHOLE) {
		raw_send(conn, size);
		send_big(conn, BIG_BYTES / 2);
		raw_send(conn, "\r\n0\r\n\r\n");
	}
	g_free(size);
}

static void
reset_sent(struct bufferevent *bev, void *arg)
{
	(void)bev;
	raw_reset(arg);
}

static void
serve_odd(raw_conn_t *conn, const char *id, const char *request)
{
	bufferevent_data_cb on_read;
	bufferevent_event_cb on_event;

	if (strstr(request, "/silent") != NULL)
		return;
	if (strstr(request, "/big-whole") != NULL)
		send_chunked(conn, REST_WHOLE);
	else if (strstr(request, "/big-stops") != NULL)
		send_chunked(conn, REST_NONE);
	else if (strstr(request, "/big-spoiled") != NULL)
		send_chunked(conn, REST_SPOILED);
	else if (strstr(request, "/big-reset") == NULL)
		raw_reply_whole(conn, id, request);
	if (strstr(request, "/big-reset") == NULL)
		return;
	bufferevent_getcb(conn->bev, &on_read, NULL, &on_event, NULL);
	bufferevent_setcb(conn->bev, on_read, reset_sent, on_event, conn);
	send_chunked(conn, REST_NONE);
}

/* ---- callers ---- */

typedef enum {
	LEAVE_FIN,
	LEAVE_RESET,
	LEAVE_HALF, /* sends no more, still reads */
	LEAVE_WAYS,
} leave_t;

static const char *const way_names[] = {"close", "reset", "half-close"};

static void
leave(raw_conn_t *conn, leave_t way)
{
	switch (way) {
	case LEAVE_FIN:
		shutdown(bufferevent_getfd(conn->bev), SHUT_RDWR);
		break;
	case LEAVE_RESET:
		raw_reset(conn);
		break;
	case LEAVE_HALF:
		shutdown(bufferevent_getfd(conn->bev), SHUT_WR);
		break;
	case LEAVE_WAYS:
		break;
	}
}

static raw_conn_t *
call(const char *what, gboolean keyed)
{
	char id[64], key[32];

	g_snprintf(id, sizeof(id), "%s-%d", what, ++number);
	g_snprintf(key, sizeof(key), "key-%d", number);
	return host_world_call(&w, 0, "odd", keyed ? key : NULL, id);
}

static gboolean
nothing_runs(void *arg)
{
	(void)arg;
	return host_world_counter(&w, 0, "requests_in_flight") == 0;
}

static void
expect_idle(const char *what, const char *way, msec_t within)
{
	gboolean idle = gateway_world_wait(&w.raw, nothing_runs, NULL, within);

	host_world_stays(&w, 0, what);
	ck_assert_msg(idle, "%s, %s: a request has no end", what, way);
	host_world_wait_serving(&w, 0);
}

/* ---- a caller that leaves in each state of its request ---- */

static const struct {
	const char *name;
	const char *bytes; /* sent; NULL: a whole request */
	const char *what;
	gboolean reads;
} states[] = {
    {"connected", "", NULL, TRUE},
    {"half a line", "GET /call/odd/g", NULL, TRUE},
    {"half a head", "POST /call/odd/post/x HTTP/1.1\r\nHost: h\r\nX", NULL,
	TRUE},
    {"half a body",
	"POST /call/odd/post/x HTTP/1.1\r\nHost: h\r\nIdempotency-Key: half\r\n"
	"Content-Length: 9\r\n\r\nhalf",
	NULL, TRUE},
    {"half a chunk",
	"POST /call/odd/post/x HTTP/1.1\r\nHost: h\r\n"
	"Transfer-Encoding: chunked\r\n\r\n9\r\nhalf",
	NULL, TRUE},
    {"pipelined",
	"GET /call/odd/get/silent-1 HTTP/1.1\r\nHost: h\r\n\r\n"
	"GET /call/odd/get/silent-2 HTTP/1.1\r\nHost: h\r\n\r\n",
	NULL, TRUE},
    {"pipelined, half a head",
	"GET /call/odd/get/silent-3 HTTP/1.1\r\nHost: h\r\n\r\n"
	"GET /call/odd/get",
	NULL, TRUE},
    {"running", NULL, "silent", TRUE},
    {"answer half read", NULL, "big-whole", FALSE},
    {"answer stopped", NULL, "big-stops", FALSE},
    {"answer spoiled", NULL, "big-spoiled", FALSE},
    {"answer broken off", NULL, "big-reset", FALSE},
    {"answered", NULL, "whole", TRUE},
};

static void
play_state(size_t i, leave_t way)
{
	raw_conn_t *callers[CALLERS];
	int k;

	for (k = 0; k < CALLERS; k++) {
		if (states[i].bytes != NULL) {
			callers[k] = raw_connect(
			    &w.raw, host_world_port(&w, 0, HOST_CALLERS));
			raw_send(callers[k], states[i].bytes);
		} else {
			callers[k] = call(states[i].what, k % 2 == 1);
		}
		if (!states[i].reads)
			bufferevent_disable(callers[k]->bev, EV_READ);
	}
	gateway_world_run(&w.raw, 300);
	for (k = 0; k < CALLERS; k++)
		leave(callers[k], way);
	expect_idle(states[i].name, way_names[way], BOUND_MS);
}

static void
callers_that_leave_end_their_requests(void)
{
	size_t i;
	int way;

	host_world_begin(&w, PORT, serve_odd);
	host_world_serve(&w, 1);
	for (i = 0; i < G_N_ELEMENTS(states); i++) {
		for (way = 0; way < LEAVE_WAYS; way++)
			play_state(i, (leave_t)way);
	}
	host_world_end(&w);
}

/* ---- queued requests ---- */

#define FILLING 100 /* all slots of "odd" */

static void
callers_that_leave_the_queue(void)
{
	raw_conn_t *fill[FILLING], *queued[CALLERS];
	int k, way;

	host_world_begin(&w, PORT, serve_odd);
	host_world_serve(&w, 1);
	for (way = 0; way < LEAVE_WAYS; way++) {
		for (k = 0; k < FILLING; k++)
			fill[k] = call("silent", k % 2 == 1);
		gateway_world_run(&w.raw, 300);
		for (k = 0; k < CALLERS; k++)
			queued[k] = call("silent", k % 2 == 1);
		gateway_world_run(&w.raw, 100);
		for (k = 0; k < CALLERS; k++)
			leave(queued[k], (leave_t)way);
		for (k = 0; k < FILLING; k += 2)
			leave(fill[k], (leave_t)way);
		expect_idle("queued", way_names[way], BOUND_MS);
	}
	host_world_end(&w);
}

/* ---- a caller that does not read while its answer goes on ---- */

/* Its request went on until the time-out, on the place of another one. */
static void
a_slow_caller_that_leaves_frees_the_server(void)
{
	raw_conn_t *callers[CALLERS];
	int k, way;

	host_world_begin(&w, PORT, serve_odd);
	w.timeout_ms = LONG_MS;
	host_world_serve(&w, 1);
	for (way = 0; way < LEAVE_HALF; way++) {
		for (k = 0; k < CALLERS; k++) {
			callers[k] = call("big-whole", k % 2 == 1);
			bufferevent_disable(callers[k]->bev, EV_READ);
		}
		gateway_world_run(&w.raw, FULL_MS);
		for (k = 0; k < CALLERS; k++)
			leave(callers[k], (leave_t)way);
		expect_idle("slow", way_names[way], SOON_MS);
	}
	host_world_end(&w);
}

/* FAULT: a request that its caller had not read was used after it was freed. */
static void
a_stop_beside_slow_callers_ends_in_order(void)
{
	raw_conn_t *callers[CALLERS];
	char *path, *log = NULL;
	const char *found;
	int k, status;

	host_world_begin(&w, PORT, serve_odd);
	w.timeout_ms = LONG_MS;
	host_world_serve(&w, 1);
	for (k = 0; k < CALLERS; k++) {
		callers[k] = call("big-whole", k % 2 == 1);
		bufferevent_disable(callers[k]->bev, EV_READ);
	}
	gateway_world_run(&w.raw, FULL_MS);
	soak_host_signal(&w.raw.world, 0, SIGTERM);
	status = gateway_world_wait_end(&w.raw, 0, 2 * LONG_MS);
	ck_assert_msg(WIFEXITED(status), "wait status %d", status);
	path = g_strdup_printf("%s/host-0.log", w.raw.world.dir);
	ck_assert(g_file_get_contents(path, &log, NULL, NULL));
	found = strstr(log, "Sanitizer");
	ck_assert_msg(found == NULL, "%.*s", REPORT_CHARS, found);
	ck_assert(strstr(log, "event=host.stopped") != NULL);
	g_free(log);
	g_free(path);
	host_world_end(&w);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"callers that leave end their requests",
		callers_that_leave_end_their_requests},
	    {"callers that leave the queue", callers_that_leave_the_queue},
	    {"a slow caller that leaves frees the server",
		a_slow_caller_that_leaves_frees_the_server},
	    {"a stop beside slow callers ends in order",
		a_stop_beside_slow_callers_ends_in_order},
	};

	return suite_run("host callers", cases, G_N_ELEMENTS(cases));
}
