#include <sys/queue.h>

#include "base/log.h"
#include "gateway/relay_internal.h"

/* Delay after an answer, so that answers that arrive together cause one look at
 * the waiting requests, which is not part of the handling of an answer. */
#define WAKE_MS 1

void
class_counters_init(class_counters_t *c, metrics_t *m)
{
	static const struct {
		const char *name, *help;
	} kinds[CLASS_EVENTS] = {
	    [CLASS_SENT] = {"sent", "requests sent to servers"},
	    [CLASS_WAITED] = {"waited", "requests that waited for a server"},
	    [CLASS_YIELDED] = {"yielded",
		"times that a request left a slot to more urgent ones"},
	    [CLASS_REJECTED] = {"rejected",
		"requests refused for lack of room"},
	};
	guint i, k;

	for (i = 0; i < URGENCY_CLASSES; i++) {
		char *name;

		for (k = 0; k < CLASS_EVENTS; k++) {
			name = g_strdup_printf(
			    "class_%u_%s_total", i, kinds[k].name);
			c->events[i][k] =
			    metrics_add(m, METRIC_COUNTER, name, kinds[k].help);
			g_free(name);
		}
		name = g_strdup_printf("class_%u_wait_ms", i);
		c->wait_ms[i] = metrics_add(m, METRIC_HISTOGRAM, name,
		    "time that a request waited for a server, ms");
		g_free(name);
	}
}

static guint
class_of(const relay_t *r)
{
	return MIN(r->job.class.type->class, URGENCY_CLASSES - 1);
}

void
relay_count_class(const relay_t *r, class_event_t event)
{
	if (r->job.class.type == NULL)
		return;
	metrics_count(r->relays->metrics,
	    r->relays->classes.events[class_of(r)][event], 1);
}

placing_t
relay_place(relay_t *r)
{
	view_t *v = r->relays->view;
	msec_t now = clock_now();
	placing_t p =
	    dispatch_place(&v->dispatch, &r->job, now, view_store_now(v, now));

	/* A request that has waited had its turn. */
	if (p.verdict != PLACING_SEND || r->wait.looked_at != 0 ||
	    !urgency_queue_precedes(
		&r->relays->waiting, &r->job.class, p.server))
		return p;
	p.verdict = PLACING_FULL;
	p.first = p.server;
	p.wait_ms = PLACING_FULL_MS;
	return p;
}

/* Logs a decision about a request of a class that is not to be sent now. */
static void
log_class(const relay_t *r, const char *event, const char *reason)
{
	log_event(LOG_INFO, event, "id", r->id, "class",
	    log_num(r->job.class.type->class), "reason", reason, NULL);
}

static void
note_yield(const relay_t *r, const placing_t *p)
{
	/* relay_place() leaves the server that it would have sent to. */
	gboolean preceded = p->server != NULL;

	if (!p->yields && !preceded)
		return;
	relay_count_class(r, CLASS_YIELDED);
	log_class(r, "request.yield", preceded ? "others-wait" : "reserve");
}

static void
schedule(relays_t *relays, msec_t ms)
{
	const struct timeval tv = {0, ms * 1000};

	evtimer_add(relays->wait_timer, &tv);
}

gboolean
relay_wait(relay_t *r, const placing_t *p)
{
	relays_t *relays = r->relays;
	const urgency_times_t times = {r->began_at, r->attempt.deadline};
	gboolean waits = r->wait.since != 0;

	if (r->job.class.type == NULL)
		return FALSE;
	if (!waits) {
		r->wait.request = r;
		r->wait.class = r->job.class;
		note_yield(r, p);
	}
	/* A request that a server rejected is bound by the retry budget, and
	 * one that is late can't meet its objective. */
	if (p->verdict != PLACING_FULL || r->job.ntried > 0 || r->job.late ||
	    relays->view->leaving ||
	    !urgency_queue_put(
		&relays->waiting, &r->wait, p, &times, clock_now())) {
		relay_wait_ended(r);
		return FALSE;
	}
	if (!waits) {
		relay_count_class(r, CLASS_WAITED);
		log_class(
		    r, "request.wait", p->bounded ? "reserve" : "no-room");
	}
	if (!evtimer_pending(relays->wait_timer, NULL))
		schedule(relays, URGENCY_TICK_MS);
	return TRUE;
}

void
relay_wait_ended(relay_t *r)
{
	relays_t *relays = r->relays;

	if (r->wait.since == 0)
		return;
	metrics_observe(relays->metrics, relays->classes.wait_ms[class_of(r)],
	    clock_now() - r->wait.since);
	urgency_queue_remove(&relays->waiting, &r->wait);
}

void
relay_wait_wake(relays_t *relays)
{
	if (relays->waiting.waits->len > 0)
		schedule(relays, WAKE_MS);
}

static void
reject(relay_t *r, msec_t now)
{
	attempt_event_t e = relay_event(r, ATTEMPT_NO_SERVER);

	/* No room came up while it waited: it takes at least as long again. */
	r->wait_ms = MAX(r->wait_ms, now - r->wait.since);
	relay_wait_ended(r);
	relay_step(r, &e);
}

/* Another host takes them at once, this one may stop before they are served. */
static void
refuse_all(relays_t *relays)
{
	GPtrArray *waits = relays->waiting.waits;

	while (waits->len > 0) {
		relay_t *r =
		    ((urgency_wait_t *)g_ptr_array_index(waits, 0))->request;

		urgency_queue_remove(&relays->waiting, &r->wait);
		relay_reply_own(r, STATUS_UNAVAILABLE, RELAY_LEAVING_RETRY_MS,
		    "host-leaving");
	}
}

static void
on_wait_timer(evutil_socket_t fd, short what, void *arg)
{
	relays_t *relays = arg;
	msec_t now = clock_now();
	urgency_verdict_t verdict;
	urgency_wait_t *w;
	guint placements = 0;

	(void)fd;
	(void)what;
	if (relays->view->leaving)
		refuse_all(relays);
	while (placements < URGENCY_TICK_PLACEMENTS &&
	    (w = urgency_queue_next(&relays->waiting, now, &verdict)) != NULL) {
		relay_t *r = w->request;

		if (verdict == URGENCY_REJECT) {
			reject(r, now);
		} else {
			placements++;
			relay_send_with_token(r);
		}
	}
	if (relays->waiting.waits->len > 0)
		schedule(relays, URGENCY_TICK_MS);
}

void
relay_wait_init(relays_t *relays)
{
	urgency_queue_init(&relays->waiting);
	relays->wait_timer = evtimer_new(relays->base, on_wait_timer, relays);
}

void
relay_wait_finish(relays_t *relays)
{
	event_free(relays->wait_timer);
	urgency_queue_finish(&relays->waiting);
}
