#include <stdlib.h>
#include <string.h>

#include "world.h"

/*
 * A new manifest splits a route by weights that are fractions, withdraws a key
 * and adds a route.
 */

#define CONFIG_APPLY_MS 2500
#define CHANGE_AT_MS 4000
#define RUN_MS 20000
#define SEND_EVERY_MS 25

static const place_t places[] = {
    {"mi-bovisa", "milano"},
    {"mi-lambrate", "milano"},
};

#define ROUTE(name, prefix, target) \
	"{\"name\":\"" name \
	"\",\"host\":\"school.example\",\"prefix\":\"" prefix \
	"\",\"kind\":\"idempotent\",\"timeout_ms\":2500," \
	"\"target_latency_ms\":600,\"priority\":2," target "," \
	"\"max_attempts\":2,\"public\":false,\"sticky_sessions\":false," \
	"\"allowed_regions\":[]}"
#define SERVICE(name) \
	"{\"name\":\"" name "\",\"health_path\":\"/health\"," \
	"\"max_connections\":330,\"warmup_s\":3.0,\"warmup_per_s\":2.5}"
#define REST(keys) \
	"\"services\":[" SERVICE("lettore") "," SERVICE( \
	    "raccolta") "]," \
			"\"limits\":{\"max_header_bytes\":16384,\"max_body_" \
			"bytes\":67108864," \
			"\"header_timeout_ms\":3000,\"idle_timeout_ms\":" \
			"15000}," \
			"\"tenants\":[{\"name\":\"school\",\"api_keys\":" \
			"[" keys "]," \
			"\"priority\":0,\"rate_per_s\":0,\"burst\":0," \
			"\"allowed_regions\":[]}]}"
#define SPLIT(a, b) \
	"\"backends\":[{\"service\":\"lettore\",\"weight\":" a "}," \
	"{\"service\":\"raccolta\",\"weight\":" b "}]"

static const char before[] = "{\"version\":7,\"routes\":[" ROUTE("views",
    "/views/", "\"service\":\"lettore\"") "]," REST("\"key-old\",\"key-new\"");
static const char after_fractions[] = "{\"version\":9,\"routes\":[" ROUTE(
    "views", "/views/", SPLIT("0.9", "0.1")) "," ROUTE("clips", "/clips/",
    "\"service\":\"lettore\"") "]," REST("\"key-new\"");
static const char after_whole[] = "{\"version\":9,\"routes\":[" ROUTE(
    "views", "/views/", SPLIT("90", "10")) "," ROUTE("clips", "/clips/",
    "\"service\":\"lettore\"") "]," REST("\"key-new\"");

static world_t w;
static ms_t confirmed_at;

static void
change(void *arg)
{
	store_put(&w.store, "op", "config", arg);
	confirmed_at = world_now(&w);
	world_note(&w, "manifest 9 is accepted by the store");
}

static void
send_next(void *arg)
{
	static int n;
	int host = n % w.nhosts;

	(void)arg;
	switch (n++ / 2 % 4) {
	case 0:
		caller_send(&w, host, EVHTTP_REQ_GET, "/views/1", "key-old");
		break;
	case 1:
		caller_send(&w, host, EVHTTP_REQ_GET, "/clips/1", "key-new");
		break;
	default:
		caller_send(&w, host, EVHTTP_REQ_GET, "/views/1", "key-new");
		break;
	}
	world_at(&w, SEND_EVERY_MS, send_next, NULL);
}

/* Return: the number of requests that were handled as only the older version
 * allows. */
static guint
report(void)
{
	GHashTableIter it;
	gpointer value;
	guint n = 0, old_key = 0, new_route = 0;

	g_hash_table_iter_init(&it, w.requests);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const request_t *r = value;

		if (r->sent_at <= confirmed_at + CONFIG_APPLY_MS)
			continue;
		n++;
		old_key += strcmp(r->key, "key-old") == 0 && r->runs > 0;
		new_route += strcmp(r->key, "key-new") == 0 &&
		    (r->status == 404 || r->status == 401);
	}
	world_note(&w,
	    "%u requests sent later than %d ms after manifest 9: %u ran with "
	    "the dropped key, %u were refused with 401 or 404",
	    n, CONFIG_APPLY_MS, old_key, new_route);
	printf("%u requests sent later than %d ms after manifest 9: %u ran "
	       "with the dropped key, %u were refused with 401 or 404\n",
	    n, CONFIG_APPLY_MS, old_key, new_route);
	return old_key + new_route;
}

int
main(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");
	gboolean calm = trouble != NULL && strcmp(trouble, "0") == 0;
	char id[16];
	guint bad;
	int i;

	if (argc != 4)
		return 2;
	world_init(&w, argv, places, G_N_ELEMENTS(places));
	store_put(&w.store, "op", "config", before);
	for (i = 0; i < 12; i++) {
		g_snprintf(id, sizeof(id), "i-%04d", i);
		server_report(
		    server_start(&w, id, i < 8 ? "lettore" : "raccolta",
			places[i % 2].zone, "v1"),
		    TRUE);
	}
	for (i = 0; i < w.nhosts; i++)
		world_start_host(&w, i);
	if (!world_wait_ready(&w, 15000)) {
		world_finish(&w);
		return 2;
	}
	send_next(NULL);
	world_at(&w, CHANGE_AT_MS, change,
	    (char *)(calm ? after_whole : after_fractions));
	world_run(&w, RUN_MS);
	bad = report();
	world_finish(&w);
	return bad > 0 ? 1 : 0;
}
