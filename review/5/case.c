#include <string.h>

#include "world.h"

/*
 * A fifth of the clients leave at half of the latency target. Half of these
 * close their connection, the other half reset it.
 */

#define RATE_PER_SEC 10
#define REQUESTS 200
#define WORK_MS 1000
#define LEAVE_MS 300 /* half of the route's target_latency_ms */
#define LEAVES_ONE_IN 5
#define HALF_SECOND 500
/* The rule allows a quarter of the requests that would have lasted so long. */
#define ALLOWED_SHARE 0.25

static const run_t *
find_run(const world_t *w, const char *id)
{
	guint i;

	for (i = w->runs->len; i > 0; i--) {
		const run_t *r = g_ptr_array_index(w->runs, i - 1);

		if (strcmp(r->id, id) == 0)
			return r;
	}
	return NULL;
}

typedef struct {
	int left, worked_on;
} count_t;

static void
judge(world_t *w, const request_t *q, count_t *c)
{
	const run_t *r = find_run(w, q->id);
	int64_t judged_at = q->left_at + HALF_SECOND;

	if (q->left_at == 0 || r == NULL || r->at > q->left_at ||
	    r->at + WORK_MS <= judged_at)
		return;
	c->left++;
	if (r->ended_at != 0 && r->ended_at < judged_at)
		return;
	c->worked_on++;
	record(w,
	    "GONE: %s is at work at %s half a second after its client "
	    "left",
	    q->id, r->server->id);
}

int
main(int argc, char **argv)
{
	static const char *const view[] = {"view", NULL};
	count_t all = {0, 0};
	char id[16], path[24], *text;
	gboolean leaves;
	int64_t cpu;
	world_t w;
	guint k;
	int i;

	world_init(&w, argc, argv);
	for (i = 0; i < 4; i++)
		server_start(&w, "view", i, WORK_MS, 6);
	world_manifest(&w,
	    json_pack(
		"[o]", route("r-view", "/view/", "idempotent", 2500, 2, view)),
	    json_pack("[o]", tenant("school", "key-school", 0, 0)));
	host_add(&w, 0);
	host_add(&w, 1);
	world_start_hosts(&w);
	/* A machine is in touch once it has run for contact_window_ms. */
	world_run(&w, 4000);
	cpu = host_cpu_ms(&w, 0) + host_cpu_ms(&w, 1);
	for (i = 0; i < REQUESTS; i++) {
		g_snprintf(id, sizeof(id), "id-%d", i);
		g_snprintf(path, sizeof(path), "/view/%d", i);
		text = client_request("GET", path, id, "key-school", 4000,
		    "Connection: close\r\n", NULL);
		leaves = w.trouble && i % LEAVES_ONE_IN == 0;
		client_send(&w, w.hosts[i % 2].callers, id, text, strlen(text),
		    leaves ? LEAVE_MS : 0, i / LEAVES_ONE_IN % 2 == 0);
		g_free(text);
		world_run(&w, 1000 / RATE_PER_SEC);
	}
	world_run(&w, 4000);
	record(&w, "processor time of both hosts: %lld ms",
	    (long long)(host_cpu_ms(&w, 0) + host_cpu_ms(&w, 1) - cpu));
	if (w.runs->len < REQUESTS / 2)
		world_cant_run(&w, "too few requests were served");
	for (k = 0; k < w.requests->len; k++)
		judge(&w, g_ptr_array_index(w.requests, k), &all);
	record(&w,
	    "of %d requests whose client had left, %d were still worked on "
	    "half a second later",
	    all.left, all.worked_on);
	world_end(
	    &w, all.worked_on > 3 && all.worked_on > ALLOWED_SHARE * all.left);
}
