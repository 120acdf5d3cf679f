#include <sys/queue.h>

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>

#include "gateway_world.h"
#include "suite.h"

/*
 * Usage reports of hosts as processes, with a stand-in for the platform's API.
 * The checks guard against counts that are lost or doubled when the host that
 * reports is killed or paused, against two different reports of one window, and
 * against a lower token after a higher one.
 */

#define PORT 25100
#define PORT_API (PORT + 90)
#define HOSTS_N 3
#define REPORTED_MS 25000 /* on a busy machine, with sanitizers */
#define LATE_MS 3000	  /* of calls that are executed late */
/* A host's own counts reach a collector within this time. */
#define COUNTS_MS 2500

#define USAGE(more) \
	"[usage]\naddress = 127.0.0.1:25190\nwindow_sec = 1\n" \
	"late_sec = 6\nlease_ms = 1000\nthaw_slack_ms = 300\n" more

static gateway_world_t g;

/* ---- the API ---- */

static struct {
	struct evhttp *http;
	gboolean fenced, late; /* late: calls are executed late, unanswered */
	guint calls, conflicts, lower;
	uint64_t token; /* highest */
	char holder[32];
	GHashTable *reports; /* body by window, as "window_id" text */
} api;

typedef struct {
	char *body;
	uint64_t token;
} api_call_t;

static uint64_t
number(const char *text)
{
	return text != NULL ? strtoull(text, NULL, 10) : 0;
}

/* Return: the status */
static int
execute(const char *body, uint64_t token)
{
	char *window = g_strndup(body, strcspn(body, ","));
	const char *known;

	if (token < api.token) {
		api.lower++;
		g_free(window);
		return api.fenced ? 409 : 200;
	}
	api.token = token;
	known = g_hash_table_lookup(api.reports, window);
	if (known == NULL) {
		g_hash_table_insert(api.reports, window, g_strdup(body));
		return 200;
	}
	api.conflicts += strcmp(known, body) != 0;
	g_free(window);
	return 200;
}

static void
execute_late(evutil_socket_t fd, short what, void *arg)
{
	api_call_t *call = arg;

	(void)fd;
	(void)what;
	execute(call->body, call->token);
	g_free(call->body);
	g_free(call);
}

static void
on_api_call(struct evhttp_request *req, void *arg)
{
	const struct timeval late = {LATE_MS / 1000, 0};
	struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	char *body = g_strndup((const char *)evbuffer_pullup(in, -1), len);
	uint64_t token = number(evhttp_find_header(headers, "X-Fencing-Token"));
	api_call_t *call;

	(void)arg;
	ck_assert_str_eq(evhttp_request_get_uri(req), "/usage");
	ck_assert_uint_gt(token, 0);
	api.calls++;
	g_strlcpy(api.holder, evhttp_find_header(headers, "X-Duty-Holder"),
	    sizeof(api.holder));
	if (api.late) {
		call = g_new(api_call_t, 1);
		*call = (api_call_t){body, token};
		event_base_once(
		    g.world.base, -1, EV_TIMEOUT, execute_late, call, &late);
		evhttp_connection_free(evhttp_request_get_connection(req));
		return;
	}
	evhttp_send_reply(req, execute(body, token), "-", NULL);
	g_free(body);
}

/* Sum of the counts of all reports. */
static json_int_t
reported(void)
{
	json_int_t sum = 0;
	GHashTableIter it;
	gpointer body;

	g_hash_table_iter_init(&it, api.reports);
	while (g_hash_table_iter_next(&it, NULL, &body)) {
		json_t *root = json_loads(body, 0, NULL);
		const json_t *counts = json_object_get(root, "counts");

		ck_assert_msg(
		    json_is_object(counts), "body %s", (const char *)body);
		sum += json_integer_value(json_object_get(counts, "school"));
		json_decref(root);
	}
	return sum;
}

static gboolean
has_reports(void *arg)
{
	return g_hash_table_size(api.reports) >= GPOINTER_TO_UINT(arg);
}

/* ---- servers and callers ---- */

static guint ran;

/* The second server runs nothing. */
static void
serve(raw_conn_t *conn, const char *id, const char *request)
{
	char *text;

	if (conn->server == 0) {
		ran++;
		raw_reply_whole(conn, id, request);
		return;
	}
	text = g_strdup_printf("HTTP/1.1 503 Busy\r\nX-Request-Id: %s\r\n"
			       "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	    id);
	raw_send(conn, text);
	g_free(text);
}

static void
begin(const char *settings, gboolean fenced)
{
	int host;

	ran = 0;
	memset(&api, 0, sizeof(api));
	api.fenced = fenced;
	api.reports =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gateway_world_begin(&g, PORT, 2, serve);
	g.world.settings = settings;
	api.http = evhttp_new(g.world.base);
	evhttp_set_gencb(api.http, on_api_call, NULL);
	ck_assert_int_eq(
	    evhttp_bind_socket(api.http, "127.0.0.1", PORT_API), 0);
	for (host = 0; host < HOSTS_N; host++)
		soak_host_start(&g.world, host);
	for (host = 0; host < HOSTS_N; host++)
		gateway_world_wait_ready(&g, host);
}

static void
end(void)
{
	evhttp_free(api.http);
	gateway_world_end(&g);
	g_hash_table_destroy(api.reports);
}

static void
send_requests(int n, int without)
{
	char id[32];
	int i;

	for (i = 0; i < n; i++) {
		if (i % HOSTS_N == without)
			continue;
		g_snprintf(id, sizeof(id), "r-%d", i);
		raw_get(raw_connect(&g,
			    gateway_world_port(&g, i % HOSTS_N, PORT_CALLERS)),
		    id);
		gateway_world_run(&g, 20);
	}
}

static void
wait_more_reports(guint n)
{
	ck_assert_msg(gateway_world_wait(&g, has_reports,
			  GUINT_TO_POINTER(g_hash_table_size(api.reports) + n),
			  REPORTED_MS),
	    "%u reports, %u calls", g_hash_table_size(api.reports), api.calls);
}

static int
holder(void)
{
	ck_assert_msg(
	    g_str_has_prefix(api.holder, "host-"), "holder %s", api.holder);
	return atoi(api.holder + strlen("host-"));
}

/* Windows follow each other without a gap. */
static void
check_windows(void)
{
	GHashTableIter it;
	gpointer key;
	uint64_t first = UINT64_MAX, last = 0, id;

	g_hash_table_iter_init(&it, api.reports);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		id = number(strchr(key, ':') + 1);
		first = MIN(first, id);
		last = MAX(last, id);
	}
	ck_assert_uint_eq(last - first + 1, g_hash_table_size(api.reports));
}

static void
check_all(void)
{
	check_windows();
	ck_assert_uint_eq(api.conflicts, 0);
	ck_assert_uint_eq(api.lower, 0);
	ck_assert_msg(
	    reported() == ran, "reported %d, ran %u", (int)reported(), ran);
}

static void
killed_holder_loses_no_count(void)
{
	int killed;

	begin(USAGE("fencing_enforced = true\n"), TRUE);
	send_requests(60, -1);
	wait_more_reports(3);
	killed = holder();
	gateway_world_run(&g, COUNTS_MS);
	soak_host_signal(&g.world, killed, SIGKILL);
	send_requests(60, killed);
	wait_more_reports(12);
	ck_assert_int_ne(holder(), killed);
	check_all();
	end();
}

/* The paused holder wakes while another has the duty. Calls are executed late
 * when it is paused; the successor may not call before they are over. */
static void
paused_holder_sends_no_lower_token(void)
{
	int paused;

	begin(USAGE("fencing_enforced = false\n"), FALSE);
	send_requests(30, -1);
	wait_more_reports(3);
	paused = holder();
	gateway_world_run(&g, COUNTS_MS);
	api.late = TRUE;
	gateway_world_run(&g, 1500);
	soak_host_signal(&g.world, paused, SIGSTOP);
	send_requests(30, paused);
	api.late = FALSE;
	wait_more_reports(6);
	ck_assert_int_ne(holder(), paused);
	soak_host_signal(&g.world, paused, SIGCONT);
	wait_more_reports(6);
	check_all();
	end();
}

static void
restart_of_all_hosts_sends_what_is_stored(void)
{
	int host;

	begin(USAGE("fencing_enforced = true\n"), TRUE);
	send_requests(30, -1);
	wait_more_reports(2);
	/* Reports are stored, and wait for the API. */
	evhttp_set_gencb(api.http, NULL, NULL);
	send_requests(30, -1);
	gateway_world_run(&g, COUNTS_MS + 3000);
	for (host = 0; host < HOSTS_N; host++)
		soak_host_signal(&g.world, host, SIGKILL);
	gateway_world_run(&g, 200);
	soak_hosts_watch(&g.world);
	evhttp_set_gencb(api.http, on_api_call, NULL);
	for (host = 0; host < HOSTS_N; host++)
		soak_host_start(&g.world, host);
	for (host = 0; host < HOSTS_N; host++)
		gateway_world_wait_ready(&g, host);
	wait_more_reports(15);
	check_all();
	end();
}

/* A host whose store calls fail has its counts written by the other domains. A
 * holder whose writes are performed late, or whose answers are lost, reports
 * what is stored. */
static void
store_fails_for_some(void)
{
	static const store_fault_t faults[] = {
	    STORE_LATE, STORE_LOSES_ANSWERS, STORE_BUSY};
	int cut;
	size_t i;

	begin(USAGE("fencing_enforced = true\n"), TRUE);
	g.world.store.late = g_rand_new_with_seed(1);
	send_requests(15, -1);
	wait_more_reports(2);
	cut = (holder() + 1) % HOSTS_N;
	g.world.store.fault[cut] = STORE_RESET;
	send_requests(30, -1);
	gateway_world_run(&g, COUNTS_MS);
	wait_more_reports(3);
	g.world.store.fault[cut] = STORE_HEALTHY;
	for (i = 0; i < G_N_ELEMENTS(faults); i++) {
		cut = holder();
		g.world.store.fault[cut] = faults[i];
		send_requests(30, -1);
		gateway_world_run(&g, 1000);
		g.world.store.fault[cut] = STORE_HEALTHY;
		wait_more_reports(3);
	}
	wait_more_reports(6);
	ck_assert(gateway_world_logs(&g, 0, "usage.counts_relayed") ||
	    gateway_world_logs(&g, 1, "usage.counts_relayed") ||
	    gateway_world_logs(&g, 2, "usage.counts_relayed"));
	check_all();
	g_rand_free(g.world.store.late);
	end();
}

static void
nothing_without_the_setting(void)
{
	begin(NULL, FALSE);
	send_requests(10, -1);
	gateway_world_run(&g, 2000);
	ck_assert(g_hash_table_lookup(g.world.store.tables, "usage") == NULL);
	ck_assert(g_hash_table_lookup(g.world.store.tables, "duty") == NULL);
	ck_assert(!gateway_world_logs(&g, 0, "usage."));
	ck_assert_uint_eq(api.calls, 0);
	end();
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"nothing without the setting", nothing_without_the_setting},
	    {"a store that fails for some", store_fails_for_some},
	    {"a killed holder loses no count", killed_holder_loses_no_count},
	    {"a paused holder sends no lower token",
		paused_holder_sends_no_lower_token},
	    {"a restart of all hosts sends what is stored",
		restart_of_all_hosts_sends_what_is_stored},
	};

	return suite_run("gateway_usage", cases, G_N_ELEMENTS(cases));
}
