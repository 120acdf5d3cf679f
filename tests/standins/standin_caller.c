/*
 * Stands in for callers: sends requests at a fixed rate over several
 * connections and counts their results.
 *
 *   standin_caller --to IP:PORT[,IP:PORT...] --path /call/S/P [--method POST]
 *	[--key-file F] [--count N] [--rate N] [--at-once N] [--log FILE]
 *
 * Hosts are used in turn. With --random they are chosen at random; with
 * --lookup S[?region=R] by the hosts' own look-up answers, which are requested
 * again when their TTL ends.
 *
 * A request that was refused as "not-run", or could not be sent, is sent again
 *to the next host, up to --tries times in all. The last line on standard output
 *is: sent=N answered=N refused_not_run=N unknown=N
 */
#include <sys/queue.h>

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/event.h>
#include <glib.h>
#include <jansson.h>
#include <popt.h>

#include "base/clock.h"
#include "transport/http_client.h"

static char *to, *path = "/", *method = "GET", *key_file, *log_path, *body_text;
static char *fault, *once, *lookup;
static int count = 1, rate = 100, at_once = 4, tries = 3, timeout_ms = 10000,
	   at_random;

static struct event_base *base;
static http_client_t *http;
static struct event *pacer;
static char **hosts;
static guint n_hosts, next_host;
static json_t *lookup_hosts; /* hosts of the newest look-up answer, or NULL */
static struct event *lookup_timer;
static char *authorization;
static FILE *log_file;
static int started, running, ended;
static int answered, refused, unknown;
static GHashTable *reasons;

typedef struct {
	int number;
	int tries_left;
	uint32_t tried; /* bit set of the hosts of the newest look-up */
	guint host;	/* index in the list of hosts for the next try */
	msec_t started_at;
} caller_request_t;

static void send_request(caller_request_t *cr);

static void
count_reason(const char *reason)
{
	int n = GPOINTER_TO_INT(g_hash_table_lookup(reasons, reason));

	g_hash_table_insert(reasons, g_strdup(reason), GINT_TO_POINTER(n + 1));
}

static void
end_request(caller_request_t *cr, const char *what)
{
	if (log_file != NULL)
		fprintf(log_file, "%s %d %lld\n", what, cr->number,
		    (long long)(clock_now() - cr->started_at));
	running--;
	ended++;
	g_free(cr);
	if (ended == count)
		event_base_loopbreak(base);
}

static void
finish_answered(caller_request_t *cr, struct evbuffer *body)
{
	char *text = g_strndup((const char *)evbuffer_pullup(body, -1),
	    MIN(evbuffer_get_length(body), 100));
	char *line;

	g_strchomp(text);
	line = g_strdup_printf("answered [%s]", text);
	answered++;
	end_request(cr, line);
	g_free(line);
	g_free(text);
}

static void
on_done(void *arg, http_outcome_t outcome, int status,
    const struct evkeyvalq *headers, struct evbuffer *body)
{
	const char *ran = headers != NULL
	    ? evhttp_find_header(headers, "Greengageloom-Ran")
	    : NULL;
	const char *reason = headers != NULL
	    ? evhttp_find_header(headers, "Greengageloom-Reason")
	    : NULL;
	caller_request_t *cr = arg;
	gboolean not_run = outcome == HTTP_NOT_SENT ||
	    (ran != NULL && strcmp(ran, "not-run") == 0);

	if (outcome == HTTP_ANSWERED && ran == NULL && status < 500) {
		finish_answered(cr, body);
		return;
	}
	count_reason(reason != NULL	   ? reason
		: outcome == HTTP_ANSWERED ? "status"
					   : "connection");
	if (not_run && --cr->tries_left > 0) {
		send_request(cr);
	} else if (not_run) {
		refused++;
		end_request(cr, "refused-not-run");
	} else {
		unknown++;
		end_request(cr, "unknown");
	}
}

/*
 * Picks a host that was not yet tried, at random by weight; the first one if
 * all weights are 0.
 */
static const char *
pick_lookup_host(caller_request_t *cr)
{
	int sum = 0, k, chosen = -1;
	json_t *host;
	size_t i;

	json_array_foreach(lookup_hosts, i, host)
	{
		if (!(cr->tried >> i & 1))
			sum += (int)json_integer_value(
			    json_object_get(host, "weight"));
	}
	k = sum > 0 ? g_random_int_range(0, sum) : 0;
	json_array_foreach(lookup_hosts, i, host)
	{
		if (cr->tried >> i & 1)
			continue;
		chosen = (int)i;
		k -= (int)json_integer_value(json_object_get(host, "weight"));
		if (k < 0 || sum == 0)
			break;
	}
	chosen = MAX(chosen, 0);
	cr->tried |= 1U << chosen;
	return json_string_value(json_object_get(
	    json_array_get(lookup_hosts, (size_t)chosen), "address"));
}

static const char *
pick_host(caller_request_t *cr)
{
	if (lookup_hosts != NULL)
		return pick_lookup_host(cr);
	if (at_random)
		return hosts[g_random_int_range(0, (gint)n_hosts)];
	return hosts[cr->host++ % n_hosts];
}

static void
schedule_lookup(long ms)
{
	const struct timeval tv = {ms / 1000, ms % 1000 * 1000};

	event_add(lookup_timer, &tv);
}

static void
on_lookup_done(void *arg, http_outcome_t outcome, int status,
    const struct evkeyvalq *headers, struct evbuffer *body)
{
	json_t *root = NULL, *list;

	(void)arg;
	(void)headers;
	if (outcome == HTTP_ANSWERED && status == 200)
		root = json_loadb((const char *)evbuffer_pullup(body, -1),
		    evbuffer_get_length(body), 0, NULL);
	list = json_object_get(root, "hosts");
	if (json_array_size(list) == 0 || json_array_size(list) > 32) {
		json_decref(root);
		schedule_lookup(10);
		return;
	}
	json_decref(lookup_hosts);
	lookup_hosts = json_incref(list);
	schedule_lookup(
	    1000 * (long)json_integer_value(json_object_get(root, "ttl_sec")));
	json_decref(root);
}

static void
on_lookup_due(evutil_socket_t fd, short what, void *arg)
{
	http_handler_t handler = {.on_done = on_lookup_done};
	struct evkeyvalq headers;
	char *target = g_strconcat("/lookup/", lookup, NULL);
	http_request_t request = {
	    .address = hosts[next_host++ % n_hosts],
	    .method = EVHTTP_REQ_GET,
	    .path = target,
	    .headers = &headers,
	    .timeout_ms = MSEC_PER_SEC,
	};

	(void)fd;
	(void)what;
	(void)arg;
	TAILQ_INIT(&headers);
	if (authorization != NULL)
		evhttp_add_header(&headers, "Authorization", authorization);
	if (http_call(http, &request, &handler) == NULL)
		abort();
	evhttp_clear_headers(&headers);
	g_free(target);
}

static void
send_request(caller_request_t *cr)
{
	http_handler_t handler = {.on_done = on_done, .arg = cr};
	struct evbuffer *body = evbuffer_new();
	struct evkeyvalq headers;
	http_request_t request = {
	    .address = pick_host(cr),
	    .method =
		strcmp(method, "POST") == 0 ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
	    .path = path,
	    .headers = &headers,
	    .body = body,
	    .timeout_ms = timeout_ms,
	};
	char number[24];

	TAILQ_INIT(&headers);
	g_snprintf(number, sizeof(number), "%d", cr->number);
	evhttp_add_header(&headers, "X-Caller-Number", number);
	if (authorization != NULL)
		evhttp_add_header(&headers, "Authorization", authorization);
	if (fault != NULL)
		evhttp_add_header(&headers, "X-Fault", fault);
	if (once != NULL)
		evhttp_add_header(&headers, "Idempotency-Key", once);
	if (request.method == EVHTTP_REQ_POST)
		evbuffer_add_printf(
		    body, "%s", body_text != NULL ? body_text : "body");
	if (http_call(http, &request, &handler) == NULL)
		abort();
	evhttp_clear_headers(&headers);
	evbuffer_free(body);
}

static void
on_pacer(evutil_socket_t fd, short what, void *arg)
{
	caller_request_t *cr;

	(void)fd;
	(void)what;
	(void)arg;
	if (started == count || running >= at_once ||
	    (lookup != NULL && lookup_hosts == NULL))
		return;
	cr = g_new0(caller_request_t, 1);
	cr->number = started++;
	cr->host = next_host++;
	cr->tries_left = tries;
	cr->started_at = clock_now();
	running++;
	send_request(cr);
}

static const struct poptOption options[] = {
    {"to", 't', POPT_ARG_STRING, &to, 0, "hosts", "IP:PORT,..."},
    {"path", 'p', POPT_ARG_STRING, &path, 0, "path", "PATH"},
    {"method", 'm', POPT_ARG_STRING, &method, 0, "GET or POST", "METHOD"},
    {"key-file", 'k', POPT_ARG_STRING, &key_file, 0, "caller's key", "FILE"},
    {"log", 'l', POPT_ARG_STRING, &log_path, 0, "a line a request", "FILE"},
    {"body", 'b', POPT_ARG_STRING, &body_text, 0, "of POST", "TEXT"},
    {"fault", 'f', POPT_ARG_STRING, &fault, 0, "X-Fault header", "FAULT"},
    {"once", 'o', POPT_ARG_STRING, &once, 0, "Idempotency-Key", "KEY"},
    {"count", 'n', POPT_ARG_INT, &count, 0, "requests", "N"},
    {"rate", 'r', POPT_ARG_INT, &rate, 0, "requests a second", "N"},
    {"at-once", 'a', POPT_ARG_INT, &at_once, 0, "at a time", "N"},
    {"tries", 0, POPT_ARG_INT, &tries, 0, "tries of each", "N"},
    {"random", 0, POPT_ARG_NONE, &at_random, 0, "hosts at random", NULL},
    {"lookup", 0, POPT_ARG_STRING, &lookup, 0, "ask for hosts", "SERVICE"},
    {"timeout", 0, POPT_ARG_INT, &timeout_ms, 0, "of one try", "MS"},
    POPT_AUTOHELP POPT_TABLEEND,
};

static void
print_counts(void)
{
	GHashTableIter iter;
	gpointer reason, n;

	g_hash_table_iter_init(&iter, reasons);
	while (g_hash_table_iter_next(&iter, &reason, &n))
		printf("reason %s %d\n", (char *)reason, GPOINTER_TO_INT(n));
	printf("sent=%d answered=%d refused_not_run=%d unknown=%d\n", started,
	    answered, refused, unknown);
}

static void
load_key(void)
{
	char *text;

	if (key_file == NULL)
		return;
	if (!g_file_get_contents(key_file, &text, NULL, NULL))
		exit(2);
	g_strchomp(text);
	authorization = g_strconcat("Bearer ", text, NULL);
	g_free(text);
}

int
main(int argc, char **argv)
{
	poptContext ctx =
	    poptGetContext(NULL, argc, (const char **)argv, options, 0);
	struct timeval tv;

	if (poptGetNextOpt(ctx) != -1 || to == NULL || rate < 1) {
		poptPrintUsage(ctx, stderr, 0);
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	load_key();
	hosts = g_strsplit(to, ",", -1);
	n_hosts = g_strv_length(hosts);
	if (log_path != NULL)
		log_file = fopen(log_path, "a");
	reasons = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	base = event_base_new();
	http = http_client_new(base, 16);
	pacer = event_new(base, -1, EV_PERSIST, on_pacer, NULL);
	tv.tv_sec = 1 / rate;
	tv.tv_usec = 1000000 / rate % 1000000;
	event_add(pacer, &tv);
	lookup_timer = event_new(base, -1, 0, on_lookup_due, NULL);
	if (lookup != NULL)
		schedule_lookup(0);
	event_base_dispatch(base);
	print_counts();
	event_free(pacer);
	event_free(lookup_timer);
	json_decref(lookup_hosts);
	http_client_free(http);
	event_base_free(base);
	g_hash_table_destroy(reasons);
	g_strfreev(hosts);
	g_free(authorization);
	poptFreeContext(ctx);
	return 0;
}
