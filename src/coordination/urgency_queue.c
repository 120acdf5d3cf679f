#include "coordination/urgency_queue.h"

/* Part of its objective for which a request waits. It may be held for that long
 * at no cost even if it is rejected in the end. In a trial, types of which 0.9
 * of the longer waits had been served waited for longer: of the urgent requests
 * 0.74 in place of 0.76 were in time, and the worst domain fell as well. */
#define HOLD_PART 0.125
/* Assumed part of the objective for a run until one was measured. */
#define RUN_DEFAULT_PART 0.5
/* Room at a server, in requests, beyond what its class may use, that a waiting
 * request needs if its class leaves slots to others. Loads are known 0.5 s
 * late, so hosts whose requests wait see the same room and fill it together.
 * With a margin of 2, 0.76 of the urgent requests of the play in
 * tests/test_urgency.c were in time, with one of 3, 0.78. */
#define MARGIN 3.0
/* A request whose server shows no room is placed this often nevertheless, as
 * the ranks and other servers change. */
#define LOOK_MS 500

void
urgency_queue_init(urgency_queue_t *q)
{
	q->waits = g_ptr_array_new();
}

void
urgency_queue_finish(urgency_queue_t *q)
{
	g_ptr_array_free(q->waits, TRUE);
}

/* Whether @a goes before @b. */
static gboolean
goes_before(const urgency_wait_t *a, const urgency_wait_t *b)
{
	guint x = a->class.type->class, y = b->class.type->class;

	return x != y ? x < y : a->start_by < b->start_by;
}

static void
insert(urgency_queue_t *q, urgency_wait_t *w)
{
	guint i = q->waits->len;

	while (i > 0 && goes_before(w, q->waits->pdata[i - 1]))
		i--;
	g_ptr_array_insert(q->waits, (gint)i, w);
}

static void
set_server(urgency_wait_t *w, const placing_t *p)
{
	backend_t *old = w->server;

	w->server = backend_ref(p->first);
	w->depth = p->depth;
	w->bounded = p->bounded;
	if (old != NULL)
		backend_unref(old);
}

gboolean
urgency_queue_put(urgency_queue_t *q, urgency_wait_t *w, const placing_t *p,
    const urgency_times_t *times, msec_t now)
{
	const urgency_type_t *t = w->class.type;
	msec_t run_ms;

	if (t == NULL || p->first == NULL ||
	    !urgency_is_mixed(w->class.service))
		return FALSE;
	if (w->since != 0) {
		set_server(w, p);
		return TRUE;
	}
	run_ms = (msec_t)(t->short_ms > 0
		? t->short_ms
		: RUN_DEFAULT_PART * (double)t->objective_ms);
	w->start_by =
	    MIN(times->came_at + t->objective_ms, times->deadline) - run_ms;
	w->until = MIN(w->start_by,
	    times->came_at + (msec_t)(HOLD_PART * (double)t->objective_ms));
	if (now + p->room_ms > w->start_by || now >= w->until ||
	    q->waits->len >= URGENCY_QUEUE_MAX)
		return FALSE;
	w->since = now;
	w->looked_at = now;
	set_server(w, p);
	insert(q, w);
	return TRUE;
}

void
urgency_queue_remove(urgency_queue_t *q, urgency_wait_t *w)
{
	if (w->since == 0)
		return;
	g_ptr_array_remove(q->waits, w);
	backend_unref(w->server);
	w->server = NULL;
	w->since = 0;
}

/* Whether the server has room, as far as is known. An idle one always has. */
static gboolean
shows_room(const urgency_wait_t *w, msec_t now)
{
	const backend_t *b = w->server;
	double most = w->depth * b->slots;

	if (w->bounded)
		most -= CLAMP(most - 1, 0, MARGIN);
	return backend_usable(b, now) && now >= b->full_until &&
	    backend_load(b, now) < most;
}

static urgency_verdict_t
judge(const urgency_wait_t *w, msec_t now)
{
	if (now >= w->until)
		return URGENCY_REJECT;
	if (now != w->looked_at &&
	    (now - w->looked_at >= LOOK_MS || shows_room(w, now)))
		return URGENCY_PLACE;
	return URGENCY_NOTHING;
}

urgency_wait_t *
urgency_queue_next(urgency_queue_t *q, msec_t now, urgency_verdict_t *verdict)
{
	guint i;

	for (i = 0; i < q->waits->len; i++) {
		urgency_wait_t *w = g_ptr_array_index(q->waits, i);

		*verdict = judge(w, now);
		if (*verdict == URGENCY_NOTHING)
			continue;
		w->looked_at = now;
		return w;
	}
	return NULL;
}

gboolean
urgency_queue_precedes(
    const urgency_queue_t *q, const urgency_class_t *c, const backend_t *server)
{
	guint i;

	if (c->type == NULL)
		return FALSE;
	for (i = 0; i < q->waits->len; i++) {
		const urgency_wait_t *w = g_ptr_array_index(q->waits, i);

		if (w->class.type->class > c->type->class)
			break;
		if (w->server == server)
			return TRUE;
	}
	return FALSE;
}
