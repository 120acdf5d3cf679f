#include <string.h>

#include "gateway_world.h"
#include "suite.h"

#define PORT 25700
#define SERVERS 8
#define SERVICES_OF_ROUTE 3
#define SENDS 24
#define SEND_EVERY_MS 300
#define DOWN_MS 700
/* The users' contact window: hosts may take so long to hear of a crash. */
#define WINDOW_MS 3000
#define CRASHES_PROVE 3
#define LATE_MAX 3

static gateway_world_t g;
static guint crashes, late;
static msec_t third_at, down_at[SERVERS];

static void
serve(raw_conn_t *conn, const char *id, const char *request)
{
	if (strstr(request, " /get/crash ") == NULL) {
		raw_reply_whole(conn, id, request);
		return;
	}
	if (++crashes == CRASHES_PROVE)
		third_at = clock_now();
	if (third_at != 0 && clock_now() > third_at + WINDOW_MS)
		late++;
	down_at[conn->server] = clock_now();
}

/* A server whose connections are read can't be ended in its own callback. */
static void
crash_and_restart(void)
{
	msec_t now = clock_now();
	int i;

	for (i = 0; i < SERVERS; i++) {
		if (down_at[i] == 0)
			continue;
		if (g.servers[i] != NULL) {
			gateway_world_crash(&g, i);
		} else if (now > down_at[i] + DOWN_MS) {
			gateway_world_restart(&g, i);
			down_at[i] = 0;
		}
	}
}

static void
put_services(void)
{
	char *key, *row;
	int i;

	for (i = 0; i < SERVERS; i++) {
		key = g_strdup_printf("i-%d", i);
		row = g_strdup_printf(
		    "{\"service\":\"service-%d\",\"address\":\"127.0.0.1:%d\","
		    "\"zone\":\"zone-%d\",\"version\":\"v1\",\"slots\":4,"
		    "\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":2,"
		    "\"born\":1}",
		    i % SERVICES_OF_ROUTE, PORT + PORT_SERVERS + i, i % HOSTS);
		soak_store_put(&g.world.store, "servers", key, row);
		g_free(row);
		g_free(key);
	}
}

#define SERVICE(n) \
	"{\"name\":\"service-" n "\",\"health_path\":\"/health\"," \
	"\"max_connections\":100,\"warmup_s\":1,\"warmup_per_s\":5}"
#define PART(n) "{\"service\":\"service-" n "\",\"weight\":1}"

static const char manifest[] =
    "{\"version\":2,\"routes\":[{\"name\":\"get\",\"host\":\"soak.example\","
    "\"prefix\":\"/get/\",\"kind\":\"idempotent\",\"timeout_ms\":2500,"
    "\"target_latency_ms\":500,\"priority\":1,"
    "\"backends\":[" PART("0") "," PART("1") "," PART(
	"2") "],"
	     "\"max_attempts\":2,\"public\":false,"
	     "\"sticky_sessions\":false,\"allowed_regions\":[]}],"
	     "\"services\":[" SERVICE("0") "," SERVICE("1") "," SERVICE(
		 "2") "],\"tenants\":[{\"name\":\"school\","
		      "\"api_keys\":[\"" GATEWAY_WORLD_KEY
		      "\"],\"priority\":0,\"rate_per_s\":0,\"burst\":0}]}";

static void
send_crashing(int n)
{
	raw_conn_t *conn =
	    raw_connect(&g, gateway_world_port(&g, 0, PORT_CALLERS));
	char *text = g_strdup_printf("GET /get/crash HTTP/1.1\r\n"
				     "Host: soak.example\r\n"
				     "X-Credential: " GATEWAY_WORLD_KEY "\r\n"
				     "X-Request-Id: crash-%d\r\n\r\n",
	    n);

	raw_send(conn, text);
	g_free(text);
}

static void
run_servers(msec_t ms)
{
	msec_t until = clock_now() + ms;

	while (clock_now() < until) {
		gateway_world_run(&g, 10);
		crash_and_restart();
	}
}

/* BUDGET: a request crashed three servers of each service of its route. */
static void
crashes_are_counted_across_services(void)
{
	gboolean waited = FALSE;
	int i;

	gateway_world_begin(&g, PORT, SERVERS, serve);
	gateway_world_start(&g, 0);
	put_services();
	soak_store_put(&g.world.store, "op", "config", manifest);
	gateway_world_run(&g, WINDOW_MS);
	for (i = 0; i < SENDS; i++) {
		send_crashing(i);
		run_servers(SEND_EVERY_MS);
		if (crashes >= CRASHES_PROVE && !waited) {
			run_servers(WINDOW_MS + SEND_EVERY_MS);
			waited = TRUE;
		}
	}
	ck_assert_uint_ge(crashes, CRASHES_PROVE);
	ck_assert_msg(late <= LATE_MAX,
	    "%u crashes, %u of them later than a window after the third",
	    crashes, late);
	gateway_world_end(&g);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"crashes are counted across services",
		crashes_are_counted_across_services},
	};

	return suite_run("gateway poison", cases, G_N_ELEMENTS(cases));
}
