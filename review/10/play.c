#include <stdlib.h>
#include <string.h>

#include "world.h"

/*
 * The two hosts of a region are cut off from the store for a while, and a
 * server leaves shortly before the cut ends. Some rounds of this, one after the
 * other.
 */

#define DRAIN_TIMEOUT_MS 2500
#define CONTACT_WINDOW_MS 3000
#define CUT_MS 4000
#define LEAVE_BEFORE_END_MS 300
/* It goes on for some seconds after the store has dropped its entry. */
#define SERVES_ON_MS 8000
#define FIRST_AT_MS 7000
#define ROUND_MS 13000
#define ROUNDS 7
#define SEND_EVERY_MS 6
#define SERVERS 24

static const place_t places[] = {
    {"mi-bovisa", "milano"},
    {"mi-lambrate", "milano"},
    {"vr-borgo", "verona"},
    {"vr-zai", "verona"},
    {"to-lingotto", "torino"},
    {"to-dora", "torino"},
};
#define FIRST_CUT 4 /* hosts from here on are cut off */

static const char manifest[] =
    "{\"version\":7,\"routes\":["
    "{\"name\":\"views\",\"host\":\"school.example\",\"prefix\":\"/views/\","
    "\"kind\":\"idempotent\",\"timeout_ms\":2500,\"target_latency_ms\":600,"
    "\"priority\":2,\"service\":\"lettore\",\"max_attempts\":2,"
    "\"public\":false,\"sticky_sessions\":false,\"allowed_regions\":[]}],"
    "\"services\":[{\"name\":\"lettore\",\"health_path\":\"/health\","
    "\"max_connections\":330,\"warmup_s\":3.0,\"warmup_per_s\":2.5}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
    "\"tenants\":[{\"name\":\"school\",\"api_keys\":[\"key-school\"],"
    "\"priority\":0,\"rate_per_s\":0,\"burst\":0,\"allowed_regions\":[]}]}";

static world_t w;
static ms_t cut_from, cut_until; /* the last cut */
static guint late, next_to_leave;
static gboolean calm;

static void
on_arrival(server_t *s, request_t *r)
{
	ms_t now = world_now(&w);

	world_note(&w, "arrive %s at %s from host %d", r->id, s->id, r->host);
	if (s->left_at == 0 || now <= s->left_at + DRAIN_TIMEOUT_MS)
		return;
	/* In touch as it took the request: not cut within the window before. */
	if (r->host >= FIRST_CUT && cut_from != 0 &&
	    (cut_until == 0 || r->sent_at <= cut_until + CONTACT_WINDOW_MS))
		return;
	late++;
	world_note(&w,
	    "DRAIN: %s reaches %s from host %d, %d ms after the store dropped "
	    "its entry, %d ms after the cut",
	    r->id, s->id, r->host, (int)(now - s->left_at),
	    (int)(now - cut_until));
}

static void
cut(void *arg)
{
	(void)arg;
	cut_from = world_now(&w);
	cut_until = 0;
	store_cut(&w.store, FIRST_CUT, TRUE);
	store_cut(&w.store, FIRST_CUT + 1, TRUE);
	world_note(&w, "hosts %d and %d are cut off from the store", FIRST_CUT,
	    FIRST_CUT + 1);
}

static void
heal(void *arg)
{
	(void)arg;
	cut_until = world_now(&w);
	store_cut(&w.store, FIRST_CUT, FALSE);
	store_cut(&w.store, FIRST_CUT + 1, FALSE);
	world_note(&w, "the cut ends");
}

static void
end(void *arg)
{
	server_end(arg);
}

static void
leave(void *arg)
{
	server_t *s = g_ptr_array_index(w.servers, next_to_leave++);

	(void)arg;
	server_report(s, FALSE);
	world_note(&w, "%s leaves: the store has dropped its entry", s->id);
	world_at(&w, SERVES_ON_MS, end, s);
}

static void
send_next(void *arg)
{
	static int n;

	(void)arg;
	caller_send(
	    &w, n++ % w.nhosts, EVHTTP_REQ_GET, "/views/1", "key-school");
	world_at(&w, SEND_EVERY_MS, send_next, NULL);
}

int
main(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");
	char id[16];
	ms_t at;
	int i;

	if (argc != 4)
		return 2;
	calm = trouble != NULL && strcmp(trouble, "0") == 0;
	world_init(&w, argv, places, G_N_ELEMENTS(places));
	w.on_arrival = on_arrival;
	store_put(&w.store, "op", "config", manifest);
	for (i = 0; i < SERVERS; i++) {
		g_snprintf(id, sizeof(id), "i-%04d", i);
		server_report(server_start(&w, id, "lettore",
				  places[i % w.nhosts].zone, "v1"),
		    TRUE);
	}
	for (i = 0; i < w.nhosts; i++)
		world_start_host(&w, i);
	if (!world_wait_ready(&w, 15000)) {
		world_finish(&w);
		return 2;
	}
	send_next(NULL);
	for (i = 0; i < ROUNDS; i++) {
		at = FIRST_AT_MS + i * ROUND_MS;
		if (!calm) {
			world_at(&w, at, cut, NULL);
			world_at(&w, at + CUT_MS, heal, NULL);
		}
		/* The servers of the region of the hosts that are cut off
		 * stay. */
		world_at(&w, at + CUT_MS - LEAVE_BEFORE_END_MS, leave, NULL);
	}
	world_run(&w, FIRST_AT_MS + ROUNDS * ROUND_MS);
	world_note(&w, "%u requests, %u of them late", w.sent, late);
	printf("%u requests from hosts in touch reached a server more than %d "
	       "ms after the store had dropped its entry\n",
	    late, DRAIN_TIMEOUT_MS);
	world_finish(&w);
	return late > 0 ? 1 : 0;
}
