#include <sys/queue.h>

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <popt.h>

#include "transport/http_client.h"

/*
 * Sends requests over persistent connections, a fixed number at a time, to one
 * or two addresses. It changes to the other address after every TURN_REQUESTS
 * requests. Prints the latency of each address.
 */

#define TURN_REQUESTS 200
#define TIMEOUT_MS 5000
#define TARGETS_MAX 2

typedef struct {
	const char *address, *path;
	double *usec; /* latency of each answered request */
	int n, refused, failed;
	double busy_usec; /* duration of its turns */
} target_t;

static target_t targets[TARGETS_MAX];
static int n_targets, current_target, count = 2000, at_once = 1, json;
static int started, ended;
static char *key_file, *authorization, *method = "GET";
static struct event_base *base;
static http_client_t *http;

typedef struct {
	target_t *target;
	double started_usec;
} call_t;

static void send_next(void);

static double
now_usec(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

static void
on_done(void *arg, http_outcome_t outcome, int status,
    const struct evkeyvalq *headers, struct evbuffer *body)
{
	call_t *call = arg;
	target_t *t = call->target;

	(void)headers;
	(void)body;
	if (outcome != HTTP_ANSWERED)
		t->failed++;
	else if (status >= 400)
		t->refused++;
	else
		t->usec[t->n++] = now_usec() - call->started_usec;
	g_free(call);
	ended++;
	if (started < TURN_REQUESTS)
		send_next();
	else if (ended == TURN_REQUESTS)
		event_base_loopbreak(base);
}

static void
send_next(void)
{
	call_t *call = g_new0(call_t, 1);
	http_handler_t handler = {.on_done = on_done, .arg = call};
	struct evkeyvalq headers;
	http_request_t request = {
	    .method =
		strcmp(method, "POST") == 0 ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
	    .headers = &headers,
	    .timeout_ms = TIMEOUT_MS,
	};

	TAILQ_INIT(&headers);
	if (authorization != NULL)
		evhttp_add_header(&headers, "Authorization", authorization);
	call->target = &targets[current_target];
	request.address = call->target->address;
	request.path = call->target->path;
	started++;
	call->started_usec = now_usec();
	if (http_call(http, &request, &handler) == NULL)
		exit(2);
	evhttp_clear_headers(&headers);
}

static void
run_turn(int target)
{
	double started_usec = now_usec();
	int i;

	current_target = target;
	started = ended = 0;
	for (i = 0; i < MIN(at_once, TURN_REQUESTS); i++)
		send_next();
	event_base_dispatch(base);
	targets[target].busy_usec += now_usec() - started_usec;
}

static int
by_value(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

static void
print_target(const target_t *t)
{
	double percentiles[3] = {0, 0, 0};

	qsort(t->usec, (size_t)t->n, sizeof(*t->usec), by_value);
	if (t->n > 0) {
		percentiles[0] = t->usec[t->n / 2];
		percentiles[1] = t->usec[t->n * 99L / 100];
		percentiles[2] = t->usec[t->n * 999L / 1000];
	}
	printf(json ? "{\"path\":\"%s\",\"answered\":%d,\"refused\":%d,"
		      "\"failed\":%d,\"p50_us\":%.0f,\"p99_us\":%.0f,"
		      "\"p999_us\":%.0f,\"per_sec\":%.0f}\n"
		    : "%-32s answered %6d refused %5d failed %3d p50 %6.0f us "
		      "p99 %6.0f p99.9 %6.0f %7.0f/s\n",
	    t->path, t->n, t->refused, t->failed, percentiles[0],
	    percentiles[1], percentiles[2], t->n / t->busy_usec * 1e6);
}

/* @text is IP:PORT/PATH. */
static void
add_target(const char *text)
{
	target_t *t = &targets[n_targets++];
	const char *slash = strchr(text, '/');

	if (slash == NULL)
		exit(2);
	t->address = g_strndup(text, (gsize)(slash - text));
	t->path = g_strdup(slash);
	t->usec = g_new(double, count + TURN_REQUESTS);
}

static void
load_key(void)
{
	char *text;

	if (key_file == NULL)
		return;
	if (!g_file_get_contents(key_file, &text, NULL, NULL))
		exit(2);
	authorization = g_strconcat("Bearer ", g_strchomp(text), NULL);
	g_free(text);
}

int
main(int argc, const char **argv)
{
	const struct poptOption options[] = {
	    {"json", 0, POPT_ARG_NONE, &json, 0, "one JSON object a line",
		NULL},
	    {"count", 0, POPT_ARG_INT, &count, 0, "requests to each address",
		"N"},
	    {"at-once", 0, POPT_ARG_INT, &at_once, 0, "requests at a time",
		"N"},
	    {"method", 0, POPT_ARG_STRING, &method, 0, "GET or POST", "M"},
	    {"key-file", 0, POPT_ARG_STRING, &key_file, 0,
		"file with the API key", "FILE"},
	    POPT_AUTOHELP POPT_TABLEEND};
	poptContext ctx = poptGetContext(NULL, argc, argv, options, 0);
	const char *arg;
	int sent, i;

	if (poptGetNextOpt(ctx) != -1)
		return 2;
	while ((arg = poptGetArg(ctx)) != NULL && n_targets < TARGETS_MAX)
		add_target(arg);
	signal(SIGPIPE, SIG_IGN);
	load_key();
	base = event_base_new();
	http = http_client_new(base, (unsigned int)MAX(at_once, 1));
	for (sent = 0; sent < count; sent += TURN_REQUESTS) {
		for (i = 0; i < n_targets; i++)
			run_turn(i);
	}
	for (i = 0; i < n_targets; i++)
		print_target(&targets[i]);
	http_client_free(http);
	event_base_free(base);
	poptFreeContext(ctx);
	return 0;
}
