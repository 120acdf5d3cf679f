#include <signal.h>
#include <string.h>

#include "world.h"

/*
 * A bad version of a quiet service is brought in. Shortly before the end of its
 * time the processes on half of the machines are killed at the same moment, and
 * start again two seconds later.
 */

#define SERVICE "raccolta"
#define DURATION_S 16
#define RATE_PER_SEC 7
#define WORK_MS 100
/* After the order: the kill, and the start. */
#define KILLED_MS 12000
#define STARTED_MS 14000
#define WATCH_MS 50000
/* Until the new endpoints drain after a rollback; drain_timeout_ms and more. */
#define DRAIN_AFTER_MS 3000
#define DRAIN_MS 3500
/* The rule's figures. */
#define ROLLBACK_MS 5000
#define BAD_ANSWERS 50
#define EXPOSURE_SHARE 0.1
#define EXPOSURE_SLACK 50
#define CONTACT_WINDOW_MS 3000
#define ADDRESSES_MAX 8

static const int killed[] = {1, 3};

static server_t *old_servers[ZONES], *new_servers[ZONES];
static int64_t started_at, stopped_at;

static gboolean
is_killed(int host)
{
	guint i;

	for (i = 0; i < G_N_ELEMENTS(killed); i++) {
		if (killed[i] == host)
			return TRUE;
	}
	return FALSE;
}

/* The platform follows the status of the rollout: the old endpoints stop at
 * once, or the new ones drain some seconds later and then end. */
static void
follow_status(world_t *w)
{
	const char *status = store_get(w, "status", "rollout/" SERVICE);
	static gboolean draining;
	gboolean completed;
	int i;

	if (status == NULL || strstr(status, "running") != NULL)
		return;
	completed = strstr(status, "completed") != NULL;
	if (stopped_at == 0) {
		stopped_at = msec();
		record(w, "platform: the status is %s", status);
		for (i = 0; completed && i < ZONES; i++)
			server_stop(old_servers[i]);
	}
	if (completed || msec() < stopped_at + DRAIN_AFTER_MS)
		return;
	for (i = 0; i < ZONES; i++) {
		if (!draining)
			server_drain(new_servers[i]);
		else if (msec() >= stopped_at + DRAIN_AFTER_MS + DRAIN_MS)
			server_stop(new_servers[i]);
	}
	draining = TRUE;
}

static void
send_one(world_t *w, int number)
{
	char id[16], path[24], *text;
	int host = number % w->nhosts;

	/* Clients go to another machine while one is down. */
	if (w->hosts[host].pid == 0)
		host = (host + 1) % w->nhosts;
	g_snprintf(id, sizeof(id), "id-%d", number);
	g_snprintf(path, sizeof(path), "/upload/%d", number);
	text = client_request("POST", path, id, "key-school", 5000,
	    "Connection: close\r\n", "the same recording");
	client_send(
	    w, w->hosts[host].callers, id, text, strlen(text), 0, FALSE);
	g_free(text);
}

typedef struct {
	int all, bad_version, bad_answers, after;
	int64_t fiftieth_at;
} count_t;

static gboolean
in_touch(const request_t *q)
{
	return q->host >= 0 &&
	    (!is_killed(q->host) || started_at == 0 ||
		q->sent_at > started_at + CONTACT_WINDOW_MS);
}

static void
judge(world_t *w, int64_t ordered_at, count_t *c)
{
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const run_t *r = g_ptr_array_index(w->runs, i);
		const request_t *q = find_request(w, r->id);
		gboolean is_new = strcmp(r->server->version, "v2") == 0;

		if (r->at < ordered_at || q == NULL)
			continue;
		if (r->at < ordered_at + DURATION_S * 1000) {
			c->all++;
			c->bad_version += is_new && in_touch(q);
		}
		if (!is_new)
			continue;
		if (c->fiftieth_at != 0 && in_touch(q) &&
		    q->sent_at > c->fiftieth_at + ROLLBACK_MS)
			c->after++;
		c->bad_answers += r->failed;
		if (c->bad_answers == BAD_ANSWERS && c->fiftieth_at == 0)
			c->fiftieth_at = r->ended_at;
	}
}

int
main(int argc, char **argv)
{
	static const char *const parts[] = {SERVICE, NULL};
	count_t c = {0};
	int64_t ordered_at, began;
	gboolean lost = FALSE, back = FALSE;
	int i, sent = 0, allowed;
	world_t w;
	guint k;

	world_init(&w, argc, argv);
	for (i = 0; i < ZONES; i++)
		old_servers[i] = server_start(&w, SERVICE, i, WORK_MS, 3);
	world_manifest(&w,
	    json_pack(
		"[o]", route("r-upload", "/upload/", "upload", 2500, 2, parts)),
	    json_pack("[o]", tenant("school", "key-school", 0, 0)));
	for (i = 0; i < 4; i++)
		host_add(&w, i);
	world_start_hosts(&w);
	began = msec();
	for (; msec() < began + 6000; world_run(&w, 1000 / RATE_PER_SEC))
		send_one(&w, sent++);
	for (i = 0; i < ZONES; i++) {
		new_servers[i] =
		    server_start_version(&w, SERVICE, "v2", i, WORK_MS, 3);
		new_servers[i]->fail_one_in = 2;
	}
	store_put(&w, "op", "rollout/" SERVICE,
	    "{\"service\":\"" SERVICE "\",\"to\":\"v2\",\"duration_s\":16}");
	ordered_at = msec();
	record(&w, "operator: orders v2, of which half of the answers fail");
	while (msec() < ordered_at + WATCH_MS) {
		send_one(&w, sent++);
		world_run(&w, 1000 / RATE_PER_SEC);
		follow_status(&w);
		if (w.trouble && !lost && msec() >= ordered_at + KILLED_MS) {
			lost = TRUE;
			for (k = 0; k < G_N_ELEMENTS(killed); k++) {
				host_signal(&w, killed[k], SIGKILL);
				host_wait_end(&w, killed[k], 1000);
			}
		}
		if (lost && !back && msec() >= ordered_at + STARTED_MS) {
			back = TRUE;
			started_at = msec();
			for (k = 0; k < G_N_ELEMENTS(killed); k++)
				host_start(&w, killed[k]);
		}
	}
	world_run(&w, 1000);
	judge(&w, ordered_at, &c);
	allowed = (int)(EXPOSURE_SHARE * c.all) + EXPOSURE_SLACK;
	record(&w,
	    "EXPOSURE: v2 got %d of %d requests in the time of its "
	    "rollout; allowed %d",
	    c.bad_version, c.all, allowed);
	record(&w,
	    "EXPOSURE: v2 gave %d bad answers; it got %d requests that "
	    "were sent later than %d ms after the 50th",
	    c.bad_answers, c.after, ROLLBACK_MS);
	if (c.all < DURATION_S * RATE_PER_SEC / 2)
		world_cant_run(&w, "too few requests were served");
	world_end(&w, c.bad_version > allowed || c.after > 0);
}
