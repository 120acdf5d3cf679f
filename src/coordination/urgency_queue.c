#include "coordination/urgency_queue.h"

/* Part of its objective for which a request may be held although it is rejected
 * in the end. */
#define HOLD_PART 0.125
/* A request is held for longer if at least this part of such requests of its
 * type was served; each PROBE_PERIOD-th one is held in any case, so that an
 * improvement is noticed. */
#define SERVED_PART_MIN 0.9
#define PROBE_PERIOD 16
/* Weight of an outcome in that part. */
#define SERVED_SMOOTHING 0.1
/* Assumed part of the objective for a run until one was measured. */
#define RUN_DEFAULT_PART 0.5
/* Room at a server, in requests, beyond what its class may use, that a waiting
 * request needs if its class leaves slots to others. Loads are known 0.5 s
 * late, so hosts whose requests wait see the same room and fill it together:
 * without it, the urgent type of the play in tests/test_urgency.c fell from
 * 0.82 to 0.67 in time while requests of the other type waited, with it to
 * 0.73. */
#define MARGIN 2.0
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
	if (now + p->wait_ms > w->start_by ||
	    q->waits->len >= URGENCY_QUEUE_MAX)
		return FALSE;
	w->hold_until =
	    times->came_at + (msec_t)(HOLD_PART * (double)t->objective_ms);
	w->since = now;
	w->looked_at = now;
	w->holds = FALSE;
	set_server(w, p);
	insert(q, w);
	return TRUE;
}

void
urgency_queue_drop(urgency_queue_t *q, urgency_wait_t *w)
{
	if (w->since == 0)
		return;
	g_ptr_array_remove(q->waits, w);
	backend_unref(w->server);
	w->server = NULL;
	w->since = 0;
}

void
urgency_queue_remove(urgency_queue_t *q, urgency_wait_t *w, gboolean served)
{
	urgency_type_t *t = w->class.type;

	if (w->since != 0 && w->holds)
		t->wait_served +=
		    SERVED_SMOOTHING * ((served ? 1.0 : 0.0) - t->wait_served);
	urgency_queue_drop(q, w);
}

/* Whether a request that has waited for HOLD_PART goes on waiting. */
static gboolean
may_hold(urgency_wait_t *w)
{
	urgency_type_t *t = w->class.type;

	if (!w->holds)
		w->holds = t->wait_served >= SERVED_PART_MIN ||
		    ++t->long_waits % PROBE_PERIOD == 0;
	return w->holds;
}

static urgency_verdict_t
judge(urgency_wait_t *w, msec_t now)
{
	const backend_t *b = w->server;

	if (now >= w->start_by || (now >= w->hold_until && !may_hold(w)))
		return URGENCY_REJECT;
	if (now == w->looked_at)
		return URGENCY_NOTHING;
	if (now - w->looked_at >= LOOK_MS ||
	    (backend_usable(b, now) && now >= b->full_until &&
		backend_load(b, now) + (w->bounded ? MARGIN : 0) <
		    w->depth * b->slots))
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
