#include <string.h>

#include "host/slot_queue.h"

/* Name, in place of a workspace, of requests on open routes. */
#define OPEN_WORKSPACE "-"

static void
queue_free(void *p)
{
	slot_queue_t *queue = p;

	fair_queue_finish(&queue->requests);
	g_free(queue->service);
	g_free(queue);
}

static void on_pump(evutil_socket_t fd, short what, void *arg);

void
slot_queue_init(host_t *h)
{
	h->slot_queues =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, queue_free);
	h->waiting = g_hash_table_new(g_int64_hash, g_int64_equal);
	h->slot_queue_timer = evtimer_new(h->base, on_pump, h);
}

void
slot_queue_finish(host_t *h)
{
	event_free(h->slot_queue_timer);
	g_hash_table_destroy(h->slot_queues);
	g_hash_table_destroy(h->waiting);
}

static slot_queue_t *
queue_of(const proxy_request_t *pr)
{
	host_t *h = pr->host;
	slot_queue_t *queue =
	    g_hash_table_lookup(h->slot_queues, pr->request.service);

	if (queue != NULL)
		return queue;
	queue = g_new0(slot_queue_t, 1);
	queue->service = g_strdup(pr->request.service);
	fair_queue_init(&queue->requests, (uint32_t)h->settings.max_queue,
	    SLOT_QUEUE_WAIT_MS);
	g_hash_table_insert(h->slot_queues, queue->service, queue);
	return queue;
}

/* A workspace's weight is its rate; that of open routes is the mean rate. */
static queue_row_id_t
row_of(const proxy_request_t *pr, slot_queue_t *queue)
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
slot_queue_busy(const proxy_request_t *pr)
{
	return queue_of(pr)->requests.len > 0;
}

static void
refuse_waiting(proxy_request_t *pr)
{
	pr->queued = QUEUE_NONE;
	g_hash_table_remove(pr->host->waiting, &pr->number);
	proxy_refuse(pr, REFUSAL_NO_ROOM,
	    pr->attempt.may_have_run ? RUN_UNKNOWN : RUN_NOT,
	    SLOT_QUEUE_WAIT_MS);
}

void
slot_queue_add(proxy_request_t *pr)
{
	host_t *h = pr->host;
	slot_queue_t *queue = queue_of(pr);
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
slot_queue_remove(proxy_request_t *pr)
{
	if (pr->queued == QUEUE_NONE)
		return;
	fair_queue_cancel(&queue_of(pr)->requests, pr->queued);
	g_hash_table_remove(pr->host->waiting, &pr->number);
	pr->queued = QUEUE_NONE;
}

void
slot_queue_served(proxy_request_t *pr)
{
	slot_queue_t *queue = queue_of(pr);

	if (pr->queued == QUEUE_NONE) {
		fair_queue_charge(&queue->requests, row_of(pr, queue));
		return;
	}
	fair_queue_serve(&queue->requests, pr->queued);
	g_hash_table_remove(pr->host->waiting, &pr->number);
	pr->queued = QUEUE_NONE;
}

static void
serve_queue(host_t *h, slot_queue_t *queue)
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
	g_hash_table_iter_init(&iter, h->slot_queues);
	while (g_hash_table_iter_next(&iter, NULL, &queue))
		serve_queue(h, queue);
}

void
slot_queue_serve_later(host_t *h)
{
	struct timeval now = {0, 0};

	if (g_hash_table_size(h->waiting) > 0)
		event_add(h->slot_queue_timer, &now);
}
