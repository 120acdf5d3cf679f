#include <string.h>

#include "world.h"

/*
 * The connections to the store that are open go silent; new ones work. Some
 * seconds later a manifest takes a key away.
 */

/* Past contact_window_ms (3,000), after which all machines are in touch. */
#define AFTER_SILENCE_MS 6000
#define CONFIG_APPLY_MS 2500
#define WATCH_MS 20000

static void
write_manifest(world_t *w, const char *key)
{
	static const char *const view[] = {"view", NULL};

	world_manifest(w,
	    json_pack(
		"[o]", route("r-view", "/view/", "idempotent", 2500, 2, view)),
	    json_pack("[o, o]", tenant("school", "key-school", 0, 0),
		tenant("shop", key, 0, 0)));
}

static void
send_all(world_t *w, int number)
{
	char id[24], *text;
	int host;

	for (host = 0; host < w->nhosts; host++) {
		g_snprintf(id, sizeof(id), "id-%d-%d", number, host);
		text = client_request("GET", "/view/1", id, "key-old", 4000,
		    "Connection: close\r\n", NULL);
		client_send(w, w->hosts[host].callers, id, text, strlen(text),
		    0, FALSE);
		g_free(text);
	}
}

int
main(int argc, char **argv)
{
	int64_t confirmed_at, last[HOSTS_MAX] = {0};
	int i, number = 0, before, late = 0;
	world_t w;
	guint k;

	world_init(&w, argc, argv);
	for (i = 0; i < 4; i++)
		server_start(&w, "view", i, 50, 6);
	write_manifest(&w, "key-old");
	for (i = 0; i < 4; i++)
		host_add(&w, i);
	world_start_hosts(&w);
	world_run(&w, 5000);
	send_all(&w, number++);
	world_run(&w, 1000);
	before = (int)w.runs->len;
	if (w.trouble) {
		store_silence(&w);
		record(&w, "store: its open connections go silent");
	}
	world_run(&w, AFTER_SILENCE_MS);
	write_manifest(&w, "key-new");
	confirmed_at = msec();
	while (msec() < confirmed_at + WATCH_MS) {
		send_all(&w, number++);
		world_run(&w, 250);
	}
	world_run(&w, 1000);
	if (before == 0)
		world_cant_run(&w, "the key did not work at first");
	for (k = 0; k < w.runs->len; k++) {
		const run_t *r = g_ptr_array_index(w.runs, k);
		const request_t *q = find_request(&w, r->id);

		if (q == NULL || q->sent_at <= confirmed_at + CONFIG_APPLY_MS)
			continue;
		late++;
		last[q->host] = q->sent_at - confirmed_at;
	}
	for (i = 0; i < w.nhosts; i++)
		record(&w,
		    "front-%d: the last request that ran with the key that was "
		    "taken away was sent %lld ms after the confirmation",
		    i, (long long)last[i]);
	record(&w,
	    "CONFIG: %d requests sent later than %d ms after the "
	    "confirmation ran with the old key",
	    late, CONFIG_APPLY_MS);
	world_end(&w, late > 0);
}
