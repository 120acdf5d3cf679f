#include <signal.h>
#include <string.h>

#include "world.h"

/*
 * A machine is stopped and started as planned work. The store loses the answer
 * to the write that the stopping process makes, and performs it some seconds
 * later. Then a tenant sends many times its usual.
 */

#define STOPPED 3
#define LATE_MS 5500 /* the pages: 1 to 6 s */
/* After the end of the stopped process. */
#define RESTART_MS 500
#define RATE 40
#define BURST 40
#define WINDOW_MS 5000
/* (rate x window + burst) x (1 + quota_overage) + quota_slack */
#define ALLOWED ((RATE * 5 + BURST) * 1.1 + 20)
/* 8 times 25 a second. */
#define DEMAND_PER_SEC 200
#define STEADY_MS 8000
#define HOT_MS 25000
#define ADDRESSES_MAX 8

static gboolean lose_next;
static int addresses[ZONES][ADDRESSES_MAX], naddresses[ZONES];

static int
lose(world_t *w, const char *body)
{
	if (!lose_next || strstr(body, "\"host/front-3\"") == NULL)
		return -1;
	lose_next = FALSE;
	record(w, "store: loses the answer to a write of front-%d", STOPPED);
	return LATE_MS;
}

/* The clients of each zone ask the nearest directory that answers. */
static void
resolve_all(world_t *w)
{
	static const int order[] = {0, 1, 2};
	int zone, k, n, ports[ADDRESSES_MAX];

	for (zone = 0; zone < ZONES; zone++) {
		for (k = 0; k < 3; k++) {
			int host = zone ^ order[k];

			if (w->hosts[host].pid == 0)
				continue;
			n = client_resolve(
			    w, host, region_of(zone), ports, ADDRESSES_MAX);
			if (n == 0)
				continue;
			memcpy(addresses[zone], ports, sizeof(ports));
			naddresses[zone] = n;
			break;
		}
	}
}

static void
send_for(world_t *w, int64_t ms)
{
	static int number;
	int64_t until = msec() + ms, began = msec(), resolved = 0;
	char id[16], path[24], *text;
	int sent = 0, zone;

	while (msec() < until) {
		if (msec() - resolved >= 1000) {
			resolved = msec();
			resolve_all(w);
		}
		for (; sent < (msec() - began) * DEMAND_PER_SEC / 1000;
		     sent++) {
			zone = number % ZONES;
			if (naddresses[zone] == 0)
				continue;
			g_snprintf(id, sizeof(id), "id-%d", ++number);
			g_snprintf(path, sizeof(path), "/pay/%d", number);
			text = client_request("POST", path, id, "key-shop",
			    6000, "Connection: close\r\n", "x");
			client_send(w,
			    addresses[zone][number / ZONES % naddresses[zone]],
			    id, text, strlen(text), 0, FALSE);
			g_free(text);
		}
		world_run(w, 10);
	}
}

/* Largest number of runs in a window that were sent in it, too. */
static int
worst_window(const world_t *w)
{
	GHashTable *sent_at = g_hash_table_new(g_str_hash, g_str_equal);
	int worst = 0, n;
	guint i, k;

	for (i = 0; i < w->requests->len; i++) {
		request_t *q = g_ptr_array_index(w->requests, i);

		g_hash_table_insert(sent_at, q->id, q);
	}
	for (i = 0; i < w->runs->len; i++) {
		const run_t *last = g_ptr_array_index(w->runs, i);

		n = 0;
		for (k = i + 1; k > 0; k--) {
			const run_t *r = g_ptr_array_index(w->runs, k - 1);
			const request_t *q =
			    g_hash_table_lookup(sent_at, r->id);

			if (r->at <= last->at - WINDOW_MS)
				break;
			n += q != NULL && q->sent_at > last->at - WINDOW_MS;
		}
		worst = MAX(worst, n);
	}
	g_hash_table_destroy(sent_at);
	return worst;
}

int
main(int argc, char **argv)
{
	static const char *const pay[] = {"pay", NULL};
	int i, worst;
	world_t w;

	world_init(&w, argc, argv);
	w.store.lose = lose;
	for (i = 0; i < 4; i++)
		server_start(&w, "pay", i, 20, 50);
	world_manifest(&w,
	    json_pack(
		"[o]", route("r-pay", "/pay/", "non_idempotent", 2500, 2, pay)),
	    json_pack("[o]", tenant("shop", "key-shop", RATE, BURST)));
	for (i = 0; i < 4; i++)
		host_add(&w, i);
	world_start_hosts(&w);
	world_run(&w, STEADY_MS);
	lose_next = w.trouble;
	host_signal(&w, STOPPED, SIGTERM);
	if (!host_wait_end(&w, STOPPED, 7000))
		world_cant_run(&w, "the stopped host did not end");
	world_run(&w, RESTART_MS);
	host_start(&w, STOPPED);
	if (!host_wait_ready(&w, STOPPED, 10000))
		world_cant_run(&w, "the restarted host is not ready");
	/* Past the late write and past contact_window_ms. */
	world_run(&w, LATE_MS + 4000);
	send_for(&w, HOT_MS);
	world_run(&w, 1000);
	for (i = 0; i < ZONES; i++)
		record(&w, "clients of zone-%d connect to %d hosts", i,
		    naddresses[i]);
	record(&w, "store: %d calls that write, %d of them with a lost answer",
	    w.store.writes, w.trouble ? 1 : 0);
	worst = worst_window(&w);
	record(&w,
	    "QUOTA: at most %d requests of a tenant ran in %d ms; "
	    "allowed %.0f",
	    worst, WINDOW_MS, ALLOWED);
	if (worst < RATE * 5 / 2)
		world_cant_run(&w, "too few requests were served");
	world_end(&w, worst > ALLOWED);
}
