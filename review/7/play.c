#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

/*
 * Servers of one region name a limit of their rate. All hosts of that region
 * are lost; those of the two other regions go on.
 */

#define CONTACT_WINDOW_MS 3000
#define TOLD_MS 500 /* since an answer with the limit was passed on */
#define WINDOW_MS 4000
#define RATE 10
#define RATE_TEXT "10"
#define ALLOWED (RATE * WINDOW_MS / 1000 * 3 / 2 + 5)
#define SEND_EVERY_MS 11 /* the site has 93 requests a second */
#define LOSS_AT_MS 12000
#define RUN_MS 32000
#define SERVERS 2

static const place_t places[] = {
    {"mi-bovisa", "milano"},
    {"mi-lambrate", "milano"},
    {"vr-borgo", "verona"},
    {"vr-zai", "verona"},
    {"to-lingotto", "torino"},
    {"to-dora", "torino"},
};
#define FIRST_LOST 4 /* hosts from here on are lost */

static const char manifest[] =
    "{\"version\":7,\"routes\":["
    "{\"name\":\"speech\",\"host\":\"school.example\","
    "\"prefix\":\"/speech/\",\"kind\":\"idempotent\",\"timeout_ms\":2500,"
    "\"target_latency_ms\":600,\"priority\":2,\"service\":\"raccolta\","
    "\"max_attempts\":1,\"public\":false,\"sticky_sessions\":false,"
    "\"allowed_regions\":[\"torino\"]}],"
    "\"services\":[{\"name\":\"raccolta\",\"health_path\":\"/health\","
    "\"max_connections\":330,\"warmup_s\":3.0,\"warmup_per_s\":2.5}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
    "\"tenants\":[{\"name\":\"school\",\"api_keys\":[\"key-school\"],"
    "\"priority\":0,\"rate_per_s\":0,\"burst\":0,\"allowed_regions\":[]}]}";

/* A request that reached a server. */
typedef struct {
	ms_t at;
	int host, server;
} arrival_t;

static world_t w;
static GArray *arrivals;
static server_t *servers[SERVERS];
static ms_t told_at[WORLD_HOSTS_MAX][SERVERS]; /* 0: not yet */
static ms_t named_at[SERVERS];
static ms_t lost_at; /* 0: no host was lost */

static int
number_of(const char *id)
{
	int i;

	for (i = 0; i < SERVERS; i++) {
		if (id != NULL && strcmp(servers[i]->id, id) == 0)
			return i;
	}
	return -1;
}

static void
on_arrival(server_t *s, request_t *r)
{
	const arrival_t a = {world_now(&w), r->host, number_of(s->id)};

	world_note(&w, "arrive %s at %s from host %d", r->id, s->id, r->host);
	if (a.server >= 0)
		g_array_append_val(arrivals, a);
}

static void
on_answer(request_t *r, struct evhttp_request *req)
{
	struct evkeyvalq *headers;
	int n;

	if (req == NULL || r->status != 200)
		return;
	headers = evhttp_request_get_input_headers(req);
	n = number_of(evhttp_find_header(headers, "X-Instance-Id"));
	if (n < 0 || evhttp_find_header(headers, "Server-Limit") == NULL)
		return;
	if (told_at[r->host][n] == 0)
		told_at[r->host][n] = world_now(&w);
	if (named_at[n] == 0)
		named_at[n] = world_now(&w);
}

static void
send_next(void *arg)
{
	static int n;
	int hosts = lost_at != 0 ? FIRST_LOST : w.nhosts;

	(void)arg;
	caller_send(&w, n++ % hosts, EVHTTP_REQ_GET, "/speech/1", "key-school");
	world_at(&w, SEND_EVERY_MS, send_next, NULL);
}

static void
lose_hosts(void *arg)
{
	int i;

	(void)arg;
	lost_at = world_now(&w);
	for (i = FIRST_LOST; i < w.nhosts; i++)
		world_signal(&w, i, SIGKILL);
}

static gboolean
counts(const arrival_t *a, int server)
{
	/* The loss of a host excuses that host. */
	return a->server == server && a->host < FIRST_LOST &&
	    a->at >= named_at[server] + CONTACT_WINDOW_MS &&
	    told_at[a->host][server] != 0 &&
	    a->at >= told_at[a->host][server] + TOLD_MS;
}

/* Return: most requests of a server within a window; @at: its start. */
static guint
most_in_window(int server, ms_t *at)
{
	guint i, k, n, most = 0;

	for (i = 0; i < arrivals->len && named_at[server] != 0; i++) {
		const arrival_t *a = &g_array_index(arrivals, arrival_t, i);

		if (!counts(a, server))
			continue;
		n = 0;
		for (k = i; k < arrivals->len; k++) {
			const arrival_t *b =
			    &g_array_index(arrivals, arrival_t, k);

			if (b->at >= a->at + WINDOW_MS)
				break;
			n += counts(b, server);
		}
		if (n > most) {
			most = n;
			*at = a->at;
		}
	}
	return most;
}

static gboolean
report(void)
{
	gboolean broken = FALSE;
	ms_t at = 0;
	guint most;
	int i;

	for (i = 0; i < SERVERS; i++) {
		most = most_in_window(i, &at);
		world_note(&w,
		    "%s: at most %u requests in %d ms (from %.3f s on), "
		    "allowed %d",
		    servers[i]->id, most, WINDOW_MS, (double)at / 1000,
		    ALLOWED);
		printf("%s: at most %u requests in %d ms (from %.3f s on), "
		       "allowed %d\n",
		    servers[i]->id, most, WINDOW_MS, (double)at / 1000,
		    ALLOWED);
		broken |= most > ALLOWED;
	}
	return broken;
}

static void
start_servers(void)
{
	char id[16];
	int i;

	for (i = 0; i < SERVERS; i++) {
		g_snprintf(id, sizeof(id), "i-%04d", i);
		servers[i] = server_start(
		    &w, id, "raccolta", places[FIRST_LOST + i].zone, "v1");
		servers[i]->work_ms = 50;
		servers[i]->slots = 10;
		servers[i]->limit = RATE_TEXT;
		server_report(servers[i], TRUE);
	}
}

int
main(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");
	gboolean broken;
	int i;

	if (argc != 4)
		return 2;
	world_init(&w, argv, places, G_N_ELEMENTS(places));
	arrivals = g_array_new(FALSE, FALSE, sizeof(arrival_t));
	w.on_arrival = on_arrival;
	w.on_answer = on_answer;
	store_put(&w.store, "op", "config", manifest);
	start_servers();
	for (i = 0; i < w.nhosts; i++)
		world_start_host(&w, i);
	if (!world_wait_ready(&w, 15000)) {
		world_finish(&w);
		return 2;
	}
	send_next(NULL);
	if (trouble == NULL || strcmp(trouble, "0") != 0)
		world_at(&w, LOSS_AT_MS, lose_hosts, NULL);
	world_run(&w, RUN_MS);
	broken = report();
	g_array_free(arrivals, TRUE);
	world_finish(&w);
	return broken ? 1 : 0;
}
