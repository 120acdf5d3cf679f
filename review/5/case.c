#include <string.h>

#include "world.h"

/*
 * A request crashes each server that begins to run it. It comes again and
 * again, at any machine. Its route is split over three services.
 */

#define CONTACT_WINDOW_MS 3000
#define RETRIES_MAX 3
#define EVERY_MS 2000
#define TIMES 24
#define DOWN_MS 2500

static gboolean
crashes(server_t *s, const message_t *m)
{
	return s->world->trouble && strstr(m->first, " /post/poison ") != NULL;
}

int
main(int argc, char **argv)
{
	static const char *const parts[] = {"one", "two", "three", NULL};
	char id[16], *text;
	int64_t third = 0;
	int i, n = 0, late = 0, k;
	world_t w;
	guint r;

	world_init(&w, argc, argv);
	for (k = 0; parts[k] != NULL; k++) {
		for (i = 0; i < 4; i++) {
			server_t *s = server_start(&w, parts[k], i, 50, 3);

			s->crashes = crashes;
			s->down_ms = DOWN_MS;
		}
	}
	world_manifest(&w,
	    json_pack("[o]",
		route("r-post", "/post/", "non_idempotent", 2500, 2, parts)),
	    json_pack("[o]", tenant("school", "key-school", 0, 0)));
	for (i = 0; i < 4; i++)
		host_add(&w, i);
	world_start_hosts(&w);
	world_run(&w, 4000);
	for (i = 0; i < TIMES; i++) {
		g_snprintf(id, sizeof(id), "poison-%d", i);
		text = client_request("POST", "/post/poison", id, "key-school",
		    4000, "Connection: close\r\n", "the same body");
		client_send(&w, w.hosts[i % 4].callers, id, text, strlen(text),
		    0, FALSE);
		g_free(text);
		for (k = 0; k < 4; k++) {
			g_snprintf(id, sizeof(id), "plain-%d-%d", i, k);
			text = client_request("POST", "/post/plain", id,
			    "key-school", 4000, "Connection: close\r\n", "x");
			client_send(&w, w.hosts[k].callers, id, text,
			    strlen(text), 0, FALSE);
			g_free(text);
			world_run(&w, EVERY_MS / 4);
		}
	}
	world_run(&w, 1000);
	if (w.runs->len < TIMES)
		world_cant_run(&w, "too few requests were served");
	for (r = 0; r < w.runs->len && w.trouble; r++) {
		const run_t *run = g_ptr_array_index(w.runs, r);

		if (strncmp(run->id, "poison", 6) != 0)
			continue;
		if (++n == 3)
			third = run->at;
		if (n > 3 && run->at > third + CONTACT_WINDOW_MS) {
			late++;
			record(&w,
			    "BUDGET: %s reached %s %lld ms after the "
			    "third crash",
			    run->id, run->server->id,
			    (long long)(run->at - third));
		}
	}
	record(&w,
	    "BUDGET: %d crashes; %d of them later than %d ms after the "
	    "third; allowed %d",
	    n, late, CONTACT_WINDOW_MS, RETRIES_MAX);
	world_end(&w, late > RETRIES_MAX);
}
