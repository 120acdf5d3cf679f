#include <signal.h>
#include <string.h>

#include "gateway_world.h"
#include "suite.h"

#define PORT 25200
#define CALLERS 16
#define SLOTS 4
#define BOUND_MS 20000 /* on a busy machine */

/*
 * Requests that wait for the only server: their callers leave, slots become
 * free, the wait ends, the host stops. FAULT: a wait that outlives its request,
 * or a request without an answer.
 */

#define ROUTE(name, kind, priority, objective) \
	"{\"name\":\"" name "\",\"host\":\"soak.example\"," \
	"\"prefix\":\"/" name "/\",\"kind\":\"" kind "\"," \
	"\"timeout_ms\":20000,\"target_latency_ms\":" objective "," \
	"\"priority\":" priority ",\"service\":\"service-0\"," \
	"\"max_attempts\":2,\"public\":false,\"sticky_sessions\":true," \
	"\"allowed_regions\":[]}"

static const char manifest[] = "{\"version\":2,\"routes\":[" ROUTE(
    "get", "idempotent", "0", "500") "," ROUTE("post", "non_idempotent", "1",
    "8000") "],\"services\":[{\"name\":\"service-0\",\"health_path\":\"/\","
	    "\"max_connections\":1000,\"warmup_s\":1,\"warmup_per_s\":5}],"
	    "\"tenants\":[{\"name\":\"school\",\"api_keys\":"
	    "[\"" GATEWAY_WORLD_KEY "\"],\"priority\":0,\"rate_per_s\":0,"
	    "\"burst\":0}]}";

static gateway_world_t g;
static struct {
	raw_conn_t *conn;
	char *id;
} held[CALLERS * 4];
static guint nheld;
static gboolean holds; /* the server answers no POST */
static raw_conn_t *callers[CALLERS];

static void
serve(raw_conn_t *conn, const char *id, const char *request)
{
	if (!holds || !g_str_has_prefix(request, "POST")) {
		raw_reply_whole(conn, id, request);
		return;
	}
	held[nheld].conn = conn;
	held[nheld++].id = g_strdup(id);
}

static void
release(void)
{
	holds = FALSE;
	for (; nheld > 0; nheld--) {
		raw_reply_whole(held[nheld - 1].conn, held[nheld - 1].id, NULL);
		g_free(held[nheld - 1].id);
	}
}

/* Sends more requests than the server gets. */
static void
fill(void)
{
	char text[256];
	int i;

	holds = TRUE;
	for (i = 0; i < CALLERS; i++) {
		g_snprintf(text, sizeof(text),
		    "POST /post/x HTTP/1.1\r\nHost: soak.example\r\n"
		    "X-Credential: " GATEWAY_WORLD_KEY "\r\n"
		    "X-Request-Id: p-%d\r\nContent-Length: 0\r\n\r\n",
		    i);
		callers[i] =
		    raw_connect(&g, gateway_world_port(&g, 0, PORT_CALLERS));
		raw_send(callers[i], text);
		gateway_world_run(&g, 20);
	}
	ck_assert(gateway_world_logs(&g, 0, "request.wait"));
	ck_assert_uint_gt(nheld, SLOTS);
	ck_assert_uint_lt(nheld, CALLERS - 1);
}

static guint
count(int status)
{
	guint i, n = 0;

	for (i = 0; i < CALLERS; i++)
		n += raw_status(callers[i]) == status;
	return n;
}

static gboolean
no_more_wait(void *arg)
{
	return count(0) <= *(const guint *)arg;
}

static void
test_waits(void)
{
	guint left = 1, refused;

	gateway_world_begin(&g, PORT, 1, serve);
	soak_store_put(&g.world.store, "op", "config", manifest);
	soak_store_put(&g.world.store, "servers", "i-0",
	    "{\"service\":\"service-0\",\"address\":\"127.0.0.1:25220\","
	    "\"zone\":\"zone-0\",\"version\":\"v1\",\"slots\":4,"
	    "\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":2,"
	    "\"born\":1}");
	gateway_world_start(&g, 0);

	/* The last caller leaves, the others are served. */
	fill();
	raw_reset(callers[CALLERS - 1]);
	release();
	ck_assert(gateway_world_wait(&g, no_more_wait, &left, BOUND_MS));
	ck_assert_uint_eq(count(200), CALLERS - 1);
	ck_assert(gateway_world_logs(&g, 0, "caller-gone"));

	/* No slot becomes free. */
	fill();
	left = nheld;
	ck_assert(gateway_world_wait(&g, no_more_wait, &left, BOUND_MS));
	refused = CALLERS - nheld;
	ck_assert_uint_eq(count(503), refused);
	ck_assert(strstr(callers[CALLERS - 1]->in->str, "Retry-After") != NULL);
	release();
	left = 0;
	ck_assert(gateway_world_wait(&g, no_more_wait, &left, BOUND_MS));
	ck_assert_uint_eq(count(200), CALLERS - refused);

	/* The host stops. */
	fill();
	left = nheld;
	kill(g.world.hosts[0].pid, SIGTERM);
	ck_assert(gateway_world_wait(&g, no_more_wait, &left, BOUND_MS));
	ck_assert(strstr(callers[CALLERS - 1]->in->str, "host-leaving"));
	release();
	ck_assert_int_eq(gateway_world_wait_end(&g, 0, BOUND_MS), 0);
	gateway_world_end(&g);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"requests that wait", test_waits},
	};

	return suite_run("gateway urgency", cases, G_N_ELEMENTS(cases));
}
