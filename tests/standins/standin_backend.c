/*
 * Stands in for a backend server: answers "NAME VERSION ID\n" after a hold
 * time, sheds requests when its slots are full, and writes lines to its log,
 * which tests count: run, end, shed, crash, key-seen.
 *
 * The header X-Fault of a request chooses a fault:
 *   crash      exit at once
 *   late=MS    answer MS milliseconds later than the hold time
 *   truncate   close in the middle of the answer
 *   cut        the same, CUT_AFTER_MS after a part of it was sent
 *   cut-chunks the same with a chunked answer
 *   crossed    answer with the request id and body of the previous request
 *   hang       never answer
 *   drop       run, then close without an answer
 *   fail       answer 500
 *   size=N     answer with a body of N bytes
 *   twice      send an unrequested second answer after the first
 * GET /health answers with the load report. /control?health=ok|draining|bad
 * sets the health in it; /control?fail_permille=N sets the part of requests
 * answered with 500, and hold_ms=N the hold time.
 */
#include <sys/queue.h>

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <popt.h>

#include "base/clock.h"
#include "state/key_text.h"

#define ANSWER "HTTP/1.1 200 OK\r\n"
#define CUT_AFTER_MS 300

static struct event_base *base;
static char *name = "backend", *version_name = "v1", *log_path;
static int port, slots = 3, hold_ms = 5, fail_permille;
static int running;
static uint64_t runs;
static char *last_id; /* of the last request that was answered */
static const char *health = "ok";
static FILE *log_file;

typedef struct {
	struct evhttp_request *req;
	struct event *timer;
	char *fault;
	char *id;
} run_t;

static void
log_line(const char *what, const char *id)
{
	if (log_file == NULL)
		return;
	fprintf(log_file, "%s %s %s\n", what, name, id);
	fflush(log_file);
}

static const char *
header(struct evhttp_request *req, const char *key)
{
	return evhttp_find_header(evhttp_request_get_input_headers(req), key);
}

/*
 * Logs a run with the request number from the caller, by which tests count
 * runs, the time and the path.
 */
static void
log_run(struct evhttp_request *req, const char *id)
{
	const char *number = header(req, "X-Caller-Number");
	char *line = g_strdup_printf("%s %s %lld %s", id, number ? number : "-",
	    (long long)clock_now(),
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req)));

	log_line("run", line);
	g_free(line);
}

static void
drop_connection(struct evhttp_request *req)
{
	evhttp_connection_free(evhttp_request_get_connection(req));
}

static void
drop_later(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	drop_connection(arg);
}

static void
answer_cut(struct evhttp_request *req, const char *answer, int pause_ms)
{
	struct timeval tv = {0, pause_ms * 1000};
	struct bufferevent *bev = evhttp_connection_get_bufferevent(
	    evhttp_request_get_connection(req));

	/* Bypasses evhttp, which would not send a short body. */
	(void)!write(bufferevent_getfd(bev), answer, strlen(answer));
	if (pause_ms == 0)
		drop_connection(req);
	else
		event_base_once(base, -1, EV_TIMEOUT, drop_later, req, &tv);
}

static void
add_body(struct evbuffer *body, const run_t *run)
{
	char block[4096];
	size_t left, n;

	if (run->fault == NULL || strncmp(run->fault, "size=", 5) != 0) {
		evbuffer_add_printf(
		    body, "%s %s %s\n", name, version_name, run->id);
		return;
	}
	memset(block, 'x', sizeof(block));
	left = strtoul(run->fault + 5, NULL, 10);
	while (left > 0) {
		n = MIN(left, sizeof(block));
		evbuffer_add(body, block, n);
		left -= n;
	}
}

static void
answer_whole(run_t *run)
{
	struct evhttp_request *req = run->req;
	struct evbuffer *body = evbuffer_new();
	gboolean second_answer =
	    run->fault != NULL && strcmp(run->fault, "twice") == 0;
	int status = 200;

	if (run->fault != NULL && strcmp(run->fault, "fail") == 0)
		status = 500;
	if (fail_permille > 0 && (int)(runs * 7919 % 1000) < fail_permille)
		status = 500;
	add_body(body, run);
	evhttp_add_header(
	    evhttp_request_get_output_headers(req), "X-Request-Id", run->id);
	if (second_answer)
		evbuffer_add_printf(body,
		    "HTTP/1.1 200 OK\r\n"
		    "Content-Length: 8\r\n\r\nunasked\n");
	if (second_answer)
		evhttp_add_header(evhttp_request_get_output_headers(req),
		    "Content-Length", "0");
	evhttp_send_reply(req, status, status == 200 ? "OK" : "Failed", body);
	evbuffer_free(body);
}

static void
finish_run(evutil_socket_t fd, short what, void *arg)
{
	run_t *run = arg;
	char *own_id;

	(void)fd;
	(void)what;
	running--;
	log_line("end", run->id);
	if (g_strcmp0(run->fault, "crossed") == 0) {
		own_id = run->id;
		run->id = last_id;
		last_id = own_id;
	}
	if (g_strcmp0(run->fault, "truncate") == 0)
		answer_cut(
		    run->req, ANSWER "Content-Length: 1000\r\n\r\nhalf", 0);
	else if (g_strcmp0(run->fault, "cut") == 0)
		answer_cut(run->req, ANSWER "Content-Length: 1000\r\n\r\nhalf",
		    CUT_AFTER_MS);
	else if (g_strcmp0(run->fault, "cut-chunks") == 0)
		answer_cut(run->req,
		    ANSWER "Transfer-Encoding: chunked\r\n\r\n"
			   "4\r\nhalf\r\n",
		    CUT_AFTER_MS);
	else if (g_strcmp0(run->fault, "drop") == 0)
		drop_connection(run->req);
	else
		answer_whole(run);
	event_free(run->timer);
	g_free(run->fault);
	g_free(last_id);
	last_id = run->id;
	g_free(run);
}

static void
shed(struct evhttp_request *req, const char *id)
{
	log_line("shed", id);
	evhttp_add_header(evhttp_request_get_output_headers(req),
	    "Greengageloom-Shed", "not-run");
	evhttp_add_header(
	    evhttp_request_get_output_headers(req), "X-Request-Id", id);
	evhttp_add_header(
	    evhttp_request_get_output_headers(req), "Retry-After", "1");
	evhttp_send_reply(req, 503, "Full", NULL);
}

static gboolean
is_key(const char *text, size_t len)
{
	return len > 0 && key_text_find(text, len) != NULL;
}

/* Whether a caller's key is in the URI, a header or the body. */
static gboolean
contains_key(struct evhttp_request *req)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(req);
	const struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
	char *uri = evhttp_uridecode(evhttp_request_get_uri(req), 0, NULL);
	gboolean found = is_key((const char *)evbuffer_pullup(body, -1),
			     evbuffer_get_length(body)) ||
	    (uri != NULL && is_key(uri, strlen(uri)));
	const struct evkeyval *h;

	TAILQ_FOREACH(h, headers, next)
	found = found || is_key(h->key, strlen(h->key)) ||
	    is_key(h->value, strlen(h->value));
	free(uri);
	return found;
}

static void
start_run(struct evhttp_request *req)
{
	const char *fault = header(req, "X-Fault");
	const char *id = header(req, "X-Request-Id");
	int ms = hold_ms;
	struct timeval tv;
	run_t *run;

	if (running >= slots) {
		shed(req, id != NULL ? id : "-");
		return;
	}
	log_run(req, id != NULL ? id : "-");
	if (header(req, "Authorization") != NULL || contains_key(req))
		log_line("key-seen", id != NULL ? id : "-");
	runs++;
	if (fault != NULL && strcmp(fault, "crash") == 0) {
		log_line("crash", id != NULL ? id : "-");
		_exit(1);
	}
	run = g_new0(run_t, 1);
	run->req = req;
	run->fault = g_strdup(fault);
	run->id = g_strdup(id != NULL ? id : "-");
	running++;
	if (fault != NULL && strncmp(fault, "late=", 5) == 0)
		ms += atoi(fault + 5);
	if (fault != NULL && strcmp(fault, "hang") == 0)
		ms = 3600 * 1000;
	tv.tv_sec = ms / 1000;
	tv.tv_usec = (ms % 1000) * 1000;
	run->timer = evtimer_new(base, finish_run, run);
	event_add(run->timer, &tv);
}

static void
report(struct evhttp_request *req)
{
	struct evbuffer *body = evbuffer_new();

	evbuffer_add_printf(body,
	    "{\"health\":\"%s\",\"running\":%d,\"slots\":%d,"
	    "\"version\":\"%s\"}\n",
	    health, running, slots, version_name);
	evhttp_send_reply(req, 200, "OK", body);
	evbuffer_free(body);
}

static void
control(struct evhttp_request *req, const char *query)
{
	struct evkeyvalq args;
	const char *value;

	evhttp_parse_query_str(query != NULL ? query : "", &args);
	value = evhttp_find_header(&args, "health");
	if (value != NULL)
		health = g_intern_string(value);
	value = evhttp_find_header(&args, "fail_permille");
	if (value != NULL)
		fail_permille = atoi(value);
	value = evhttp_find_header(&args, "hold_ms");
	if (value != NULL)
		hold_ms = atoi(value);
	evhttp_clear_headers(&args);
	evhttp_send_reply(req, 200, "OK", NULL);
}

static void
serve(struct evhttp_request *req, void *unused)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
	const char *path = evhttp_uri_get_path(uri);

	(void)unused;
	if (strcmp(path, "/health") == 0)
		report(req);
	else if (strcmp(path, "/control") == 0)
		control(req, evhttp_uri_get_query(uri));
	else
		start_run(req);
}

static void
stop(evutil_socket_t sig, short what, void *arg)
{
	(void)sig;
	(void)what;
	(void)arg;
	event_base_loopbreak(base);
}

static const struct poptOption options[] = {
    {"port", 'p', POPT_ARG_INT, &port, 0, "port to serve", "PORT"},
    {"name", 'n', POPT_ARG_STRING, &name, 0, "its name", "NAME"},
    {"version-name", 'v', POPT_ARG_STRING, &version_name, 0, "version", "V"},
    {"slots", 's', POPT_ARG_INT, &slots, 0, "requests at once", "N"},
    {"hold", 'h', POPT_ARG_INT, &hold_ms, 0, "time of a request", "MS"},
    {"log", 'l', POPT_ARG_STRING, &log_path, 0, "a line a run", "FILE"},
    POPT_AUTOHELP POPT_TABLEEND,
};

int
main(int argc, char **argv)
{
	poptContext ctx =
	    poptGetContext(NULL, argc, (const char **)argv, options, 0);
	struct evhttp *http;
	struct event *term;

	if (poptGetNextOpt(ctx) != -1 || port == 0) {
		poptPrintUsage(ctx, stderr, 0);
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	if (log_path != NULL)
		log_file = fopen(log_path, "a");
	last_id = g_strdup("none-before");
	base = event_base_new();
	http = evhttp_new(base);
	evhttp_set_allowed_methods(http, 0xffff);
	evhttp_set_gencb(http, serve, NULL);
	if (evhttp_bind_socket(http, "127.0.0.1", (uint16_t)port) != 0) {
		fprintf(stderr, "standin_backend: port %d is taken\n", port);
		return 1;
	}
	term = evsignal_new(base, SIGTERM, stop, NULL);
	event_add(term, NULL);
	event_base_dispatch(base);
	event_free(term);
	evhttp_free(http);
	event_base_free(base);
	poptFreeContext(ctx);
	return 0;
}
