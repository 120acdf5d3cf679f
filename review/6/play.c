#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

/*
 * Two servers leave 100 ms apart. Right after the second one the store forgets
 * its history, so that the host that reads the table for its region lists it.
 * The table has more rows than one answer of the store holds.
 */

#define DRAIN_TIMEOUT_MS 2500
#define CONTACT_WINDOW_MS 3000
/* The leaving servers end this long after the store has accepted that. */
#define SERVES_ON_MS 9000
#define BUSY_SERVERS 12
#define OTHER_SERVERS 540
#define SEND_EVERY_MS 15
#define LEAVE_AT_MS 6000
#define LEAVE_GAP_MS 100
#define FORGET_AFTER_MS 50

static const place_t places[] = {
    {"mi-bovisa", "milano"},
    {"mi-bovisa", "milano"},
    {"mi-lambrate", "milano"},
};

static const char manifest[] =
    "{\"version\":7,\"routes\":["
    "{\"name\":\"views\",\"host\":\"school.example\",\"prefix\":\"/views/\","
    "\"kind\":\"idempotent\",\"timeout_ms\":2500,\"target_latency_ms\":600,"
    "\"priority\":2,\"service\":\"lettore\",\"max_attempts\":2,"
    "\"public\":false,\"sticky_sessions\":false,\"allowed_regions\":[]},"
    "{\"name\":\"seats\",\"host\":\"school.example\",\"prefix\":\"/seats/\","
    "\"kind\":\"non_idempotent\",\"timeout_ms\":2500,"
    "\"target_latency_ms\":800,\"priority\":1,\"service\":\"lettore\","
    "\"max_attempts\":2,\"public\":false,\"sticky_sessions\":false,"
    "\"allowed_regions\":[]},"
    "{\"name\":\"archive\",\"host\":\"school.example\","
    "\"prefix\":\"/archive/\",\"kind\":\"idempotent\",\"timeout_ms\":2500,"
    "\"target_latency_ms\":600,\"priority\":2,\"service\":\"raccolta\","
    "\"max_attempts\":2,\"public\":false,\"sticky_sessions\":false,"
    "\"allowed_regions\":[]}],"
    "\"services\":["
    "{\"name\":\"lettore\",\"health_path\":\"/health\","
    "\"max_connections\":330,\"warmup_s\":3.0,\"warmup_per_s\":2.5},"
    "{\"name\":\"raccolta\",\"health_path\":\"/health\","
    "\"max_connections\":330,\"warmup_s\":3.0,\"warmup_per_s\":2.5}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
    "\"tenants\":[{\"name\":\"school\",\"api_keys\":[\"key-school\"],"
    "\"priority\":0,\"rate_per_s\":0,\"burst\":0,\"allowed_regions\":[]}]}";

static world_t w;
static server_t *leaving[2];
static guint late, cut;

static void
on_arrival(server_t *s, request_t *r)
{
	ms_t now = world_now(&w);

	world_note(&w, "arrive %s at %s from host %d", r->id, s->id, r->host);
	/* The store was stable as it accepted that the server leaves. The
	 * hosts were in touch again as they took the request. */
	if (s->left_at == 0 || now <= s->left_at + DRAIN_TIMEOUT_MS ||
	    (w.store.disturbed_at != 0 &&
		r->sent_at <= w.store.disturbed_at + CONTACT_WINDOW_MS))
		return;
	late++;
	world_note(&w,
	    "DRAIN: %s reaches %s, %d ms after the store held that it leaves",
	    r->id, s->id, (int)(now - s->left_at));
}

static void
leave(void *arg)
{
	server_t *s = arg;

	s->drains = TRUE;
	server_report(s, TRUE);
	world_note(&w, "%s leaves: accepted by the store", s->id);
}

static void
forget(void *arg)
{
	(void)arg;
	store_drop_history(&w.store);
	world_note(&w, "the store forgets its history");
}

static void
end(void *arg)
{
	server_t *s = arg;

	server_report(s, FALSE);
	server_end(s);
	world_note(&w, "%s has ended", s->id);
}

static void
send_next(void *arg)
{
	static int n;
	int host = n % w.nhosts;

	(void)arg;
	if (n++ % 4 == 0)
		caller_send(
		    &w, host, EVHTTP_REQ_POST, "/seats/1", "key-school");
	else
		caller_send(&w, host, EVHTTP_REQ_GET, "/views/1", "key-school");
	world_at(&w, SEND_EVERY_MS, send_next, NULL);
}

static void
start_servers(void)
{
	char id[16];
	server_t *s;
	int i;

	for (i = 0; i < BUSY_SERVERS + OTHER_SERVERS; i++) {
		g_snprintf(id, sizeof(id), "i-%04d", i);
		s = server_start(&w, id,
		    i < BUSY_SERVERS ? "lettore" : "raccolta",
		    places[i % 3].zone, "v1");
		server_report(s, TRUE);
		if (i < 2)
			leaving[i] = s;
	}
}

static void
report(void)
{
	GHashTableIter it;
	gpointer value;
	guint lost = 0, answered = 0;

	g_hash_table_iter_init(&it, w.requests);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const request_t *r = value;

		answered += r->status == 200;
		cut += r->cut;
		lost += r->cut > 0 && r->status != 200;
	}
	world_note(&w,
	    "%u requests, %u answered, %u late, %u cut at a server "
	    "that ended, %u of them lost",
	    w.sent, answered, late, cut, lost);
	printf("%u requests reached a leaving server more than %d ms after the "
	       "store held that it leaves; %u were cut as it ended\n",
	    late, DRAIN_TIMEOUT_MS, cut);
}

int
main(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");
	int i;

	if (argc != 4)
		return 2;
	world_init(&w, argv, places, G_N_ELEMENTS(places));
	w.on_arrival = on_arrival;
	store_put(&w.store, "op", "config", manifest);
	start_servers();
	for (i = 0; i < w.nhosts; i++)
		world_start_host(&w, i);
	if (!world_wait_ready(&w, 15000)) {
		world_finish(&w);
		return 2;
	}
	world_note(&w, "all hosts are ready");
	send_next(NULL);
	for (i = 0; i < 2; i++) {
		world_at(&w, LEAVE_AT_MS + i * LEAVE_GAP_MS, leave, leaving[i]);
		world_at(&w, LEAVE_AT_MS + i * LEAVE_GAP_MS + SERVES_ON_MS, end,
		    leaving[i]);
	}
	if (trouble == NULL || strcmp(trouble, "0") != 0)
		world_at(&w, LEAVE_AT_MS + LEAVE_GAP_MS + FORGET_AFTER_MS,
		    forget, NULL);
	world_run(&w, LEAVE_AT_MS + SERVES_ON_MS + 3000);
	report();
	world_finish(&w);
	return late > 0 ? 1 : 0;
}
