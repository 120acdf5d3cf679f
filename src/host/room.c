#include <string.h>

#include "host/room.h"

/* Name, in place of a workspace, of requests on open routes. */
#define OPEN_WORKSPACE "-"

static void
queue_free(void *p)
{
	room_t *queue = p;

	fair_queue_finish(&queue->requests);
	g_free(queue->service);
	g_free(queue);
}

static void on_pump(evutil_socket_t fd, short what, void *arg);

void
room_init(host_t *h)
{
	h->rooms =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, queue_free);
	h->waiting = g_hash_table_new(g_int64_hash, g_int64_equal);
	h->pumper = evtimer_new(h->base, on_pump, h);
}

void
room_finish(host_t *h)
{
	event_free(h->pumper);
	g_hash_table_destroy(h->rooms);
	g_hash_table_destroy(h->waiting);
}

static room_t *
queue_of(const proxy_request_t *pr)
{
	host_t *h = pr->host;
	room_t *queue = g_hash_table_lookup(h->rooms, pr->request.service);

	if (queue != NULL)
		return queue;
	queue = g_new0(room_t, 1);
	queue->service = g_strdup(pr->request.service);
	fair_queue_init(
	    &queue->requests, (uint32_t)h->settings.max_queue, ROOM_WAIT_MS);
	g_hash_table_insert(h->rooms, queue->service, queue);
	return queue;
}

/* A workspace's weight is its rate; that of open routes is the mean rate. */
static queue_row_id_t
row_of(const proxy_request_t *pr, room_t *queue)
{
	const catalog_t *catalog = &pr->host->catalog;
	const GArray *all = catalog->workspaces;
	const char *name = pr->workspace;
	double weight = 0;
	workspace_id_t id;
	guint i;

	id = name != NULL ? catalog_find_workspace(catalog, name) : ID_NONE;
	if (id != ID_NONE)
		return fair_queue_row(&queue->requests, name,
		    catalog_workspace(catalog, id)->rate);
	for (i = 0; i < all->len; i++)
		weight += catalog_workspace(catalog, (workspace_id_t)i)->rate;
	return fair_queue_row(&queue->requests, OPEN_WORKSPACE,
	    all->len > 0 ? weight / all->len : 1);
}

gboolean
room_busy(const proxy_request_t *pr)
{
	return queue_of(pr)->requests.len > 0;
}

static void
refuse_waiting(proxy_request_t *pr)
{
	pr->queued = QUEUE_NONE;
	g_hash_table_remove(pr->host->waiting, &pr->number);
	proxy_refuse(pr, REFUSAL_NO_ROOM,
	    pr->attempt.may_have_run ? RUN_UNKNOWN : RUN_NOT, ROOM_WAIT_MS);
}

void
room_wait(proxy_request_t *pr)
{
	host_t *h = pr->host;
	room_t *queue = queue_of(pr);
	uint64_t dropped;

	if (pr->queued != QUEUE_NONE)
		return; /* it keeps its place in the queue */
	metrics_count(&h->metrics, h->m.queued, 1);
	g_hash_table_insert(h->waiting, &pr->number, pr);
	pr->queued = fair_queue_put(&queue->requests, row_of(pr, queue),
	    pr->number, pr->attempt.deadline, clock_now(), &dropped);
	if (dropped != QUEUE_NONE)
		refuse_waiting(g_hash_table_lookup(h->waiting, &dropped));
}

void
room_forget(proxy_request_t *pr)
{
	if (pr->queued == QUEUE_NONE)
		return;
	fair_queue_cancel(&queue_of(pr)->requests, pr->queued);
	g_hash_table_remove(pr->host->waiting, &pr->number);
	pr->queued = QUEUE_NONE;
}

void
room_served(proxy_request_t *pr)
{
	room_t *queue = queue_of(pr);

	if (pr->queued == QUEUE_NONE) {
		fair_queue_charge(&queue->requests, row_of(pr, queue));
		return;
	}
	fair_queue_serve(&queue->requests, pr->queued);
	g_hash_table_remove(pr->host->waiting, &pr->number);
	pr->queued = QUEUE_NONE;
}

static void
serve_queue(host_t *h, room_t *queue)
{
	uint64_t number;
	proxy_request_t *pr;

	while (fair_queue_expired(&queue->requests, clock_now(), &number))
		refuse_waiting(g_hash_table_lookup(h->waiting, &number));
	while (fair_queue_head(&queue->requests, &number) != QUEUE_NONE) {
		pr = g_hash_table_lookup(h->waiting, &number);
		if (!proxy_retry_endpoint(pr))
			return;
	}
}

static void
on_pump(evutil_socket_t fd, short what, void *arg)
{
	host_t *h = arg;
	GHashTableIter iter;
	gpointer queue;

	(void)fd;
	(void)what;
	g_hash_table_iter_init(&iter, h->rooms);
	while (g_hash_table_iter_next(&iter, NULL, &queue))
		serve_queue(h, queue);
}

void
room_pump_later(host_t *h)
{
	struct timeval now = {0, 0};

	if (g_hash_table_size(h->waiting) > 0)
		event_add(h->pumper, &now);
}
