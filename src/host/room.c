#include <string.h>

#include "host/room.h"

/* Part of the queue of requests on open routes, which have no workspace. */
#define OPEN_WORKSPACE "-"

static void
room_free(void *p)
{
	room_t *room = p;

	fair_queue_finish(&room->queue);
	g_free(room->service);
	g_free(room);
}

static void on_pump(evutil_socket_t fd, short what, void *arg);

void
room_init(host_t *h)
{
	h->rooms =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, room_free);
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
room_of(const carry_t *c)
{
	host_t *h = c->host;
	room_t *room = g_hash_table_lookup(h->rooms, c->request.service);

	if (room != NULL)
		return room;
	room = g_new0(room_t, 1);
	room->service = g_strdup(c->request.service);
	fair_queue_init(
	    &room->queue, (uint32_t)h->settings.max_queue, ROOM_WAIT_MS);
	g_hash_table_insert(h->rooms, room->service, room);
	return room;
}

/* A workspace's weight is its rate; open routes count as a mean one. */
static queue_row_id_t
row_of(const carry_t *c, room_t *room)
{
	const catalog_t *catalog = &c->host->catalog;
	const GArray *all = catalog->workspaces;
	const char *name = c->workspace;
	double weight = 0;
	workspace_id_t id;
	guint i;

	id = name != NULL ? catalog_find_workspace(catalog, name) : ID_NONE;
	if (id != ID_NONE)
		return fair_queue_row(
		    &room->queue, name, catalog_workspace(catalog, id)->rate);
	for (i = 0; i < all->len; i++)
		weight += catalog_workspace(catalog, (workspace_id_t)i)->rate;
	return fair_queue_row(
	    &room->queue, OPEN_WORKSPACE, all->len > 0 ? weight / all->len : 1);
}

gboolean
room_busy(const carry_t *c)
{
	return room_of(c)->queue.len > 0;
}

static void
refuse_waiting(carry_t *c)
{
	c->queued = QUEUE_NONE;
	g_hash_table_remove(c->host->waiting, &c->number);
	carry_refuse(c, REFUSAL_NO_ROOM,
	    c->attempt.may_have_run ? RUN_UNKNOWN : RUN_NOT, ROOM_WAIT_MS);
}

void
room_wait(carry_t *c)
{
	host_t *h = c->host;
	room_t *room = room_of(c);
	uint64_t dropped;

	if (c->queued != QUEUE_NONE)
		return; /* it keeps its place */
	metrics_count(&h->metrics, h->m.queued, 1);
	g_hash_table_insert(h->waiting, &c->number, c);
	c->queued = fair_queue_put(&room->queue, row_of(c, room), c->number,
	    c->attempt.deadline, clock_now(), &dropped);
	if (dropped != QUEUE_NONE)
		refuse_waiting(g_hash_table_lookup(h->waiting, &dropped));
}

void
room_forget(carry_t *c)
{
	if (c->queued == QUEUE_NONE)
		return;
	fair_queue_cancel(&room_of(c)->queue, c->queued);
	g_hash_table_remove(c->host->waiting, &c->number);
	c->queued = QUEUE_NONE;
}

void
room_served(carry_t *c)
{
	room_t *room = room_of(c);

	if (c->queued == QUEUE_NONE) {
		fair_queue_charge(&room->queue, row_of(c, room));
		return;
	}
	fair_queue_serve(&room->queue, c->queued);
	g_hash_table_remove(c->host->waiting, &c->number);
	c->queued = QUEUE_NONE;
}

static void
serve_room(host_t *h, room_t *room)
{
	uint64_t number;
	carry_t *c;

	while (fair_queue_expired(&room->queue, clock_now(), &number))
		refuse_waiting(g_hash_table_lookup(h->waiting, &number));
	while (fair_queue_head(&room->queue, &number) != QUEUE_NONE) {
		c = g_hash_table_lookup(h->waiting, &number);
		if (!carry_try_place(c))
			return;
	}
}

static void
on_pump(evutil_socket_t fd, short what, void *arg)
{
	host_t *h = arg;
	GHashTableIter iter;
	gpointer room;

	(void)fd;
	(void)what;
	g_hash_table_iter_init(&iter, h->rooms);
	while (g_hash_table_iter_next(&iter, NULL, &room))
		serve_room(h, room);
}

void
room_pump_later(host_t *h)
{
	struct timeval now = {0, 0};

	if (g_hash_table_size(h->waiting) > 0)
		event_add(h->pumper, &now);
}
