#include <string.h>

#include "host/proxy.h"
#include "host/poison_sync.h"
#include "host/moves.h"
#include "host/slot_queue.h"

/* Most endpoints that one choice can exclude. */
#define EXCLUDED_MAX 64
/* Pause before a suspect looks again for an endpoint without other requests. */
#define SUSPECT_RETRY_MS 50
/* Longest pause before a held request is checked again. */
#define HELD_RETRY_MAX_MS 1000

static gboolean
was_tried(const proxy_request_t *pr, const char *name)
{
	guint i;

	for (i = 0; i < pr->tried->len; i++) {
		if (g_array_index(pr->tried, GQuark, i) ==
		    g_quark_try_string(name))
			return TRUE;
	}
	return FALSE;
}

/* Endpoints that a request must not go to. */
typedef struct {
	endpoint_id_t ids[EXCLUDED_MAX];
	guint n;
	gboolean any_temporary; /* some of them are excluded only for now */
} excluded_t;

/* Whether the endpoint may take this request later, but can't take it now. */
static gboolean
cannot_take_now(const proxy_request_t *pr, const endpoint_t *e, gboolean alone)
{
	const host_t *h = pr->host;

	return http_client_full(h->http, e->address) ||
	    poison_endpoint_reserved(&h->poison, e->name, clock_now()) ||
	    (alone && poison_endpoint_busy(&h->poison, e->name));
}

/* Lists the endpoints of the service that were tried before, those at their
 * connection limit, those reserved for a suspect and, for a suspect, those
 * with other requests. */
static void
exclude_tried_or_full(const proxy_request_t *pr, service_id_t service,
    gboolean alone, excluded_t *excluded)
{
	const host_t *h = pr->host;
	const endpoint_t *e;
	gboolean tried;
	guint i;

	for (i = 0; i < h->catalog.endpoints->len && excluded->n < EXCLUDED_MAX;
	     i++) {
		e = catalog_endpoint(&h->catalog, (endpoint_id_t)i);
		if (e->service != service)
			continue;
		tried = was_tried(pr, e->name);
		if (!tried && !cannot_take_now(pr, e, alone))
			continue;
		excluded->ids[excluded->n++] = (endpoint_id_t)i;
		excluded->any_temporary |= !tried;
	}
}

/* Lists the endpoints of the service whose partial drain excludes this request.
 * Return: how many were listed. */
static guint
list_drained(host_t *h, service_id_t service, endpoint_id_t *ids, guint max)
{
	guint i, n = 0;

	for (i = 0; i < h->catalog.endpoints->len && n < max; i++) {
		if (catalog_endpoint(&h->catalog, (endpoint_id_t)i)->service ==
			service &&
		    moves_excludes(h, (endpoint_id_t)i))
			ids[n++] = (endpoint_id_t)i;
	}
	return n;
}

/* Load band of an endpoint: whether the requests on it fill the lower, middle
 * or upper part of its slots. */
static unsigned int
load_band(const host_t *h, endpoint_id_t id)
{
	const endpoint_stat_t *stat = endpoint_stats_row(&h->stats, id);
	unsigned int busy =
	    stat->in_flight + endpoint_stats_others(&h->stats, id, clock_now());

	if (busy == 0 || stat->slots == 0)
		return 0;
	return MIN((busy - 1) * JUDGE_BANDS / stat->slots, JUDGE_BANDS - 1);
}

static route_kind_t
book(proxy_request_t *pr, gboolean alone)
{
	host_t *h = pr->host;
	excluded_t excluded = {.n = 0};
	route_request_t want = {
	    .service = catalog_find_service(&h->catalog, pr->request.service),
	    .tried = excluded.ids,
	};
	const endpoint_t *e;
	route_result_t r;
	guint drained;

	if (want.service == ID_NONE)
		return ROUTE_NONE;
	exclude_tried_or_full(pr, want.service, alone, &excluded);
	drained = list_drained(h, want.service, excluded.ids + excluded.n,
	    EXCLUDED_MAX - excluded.n);
	want.n_tried = excluded.n + drained;
	want.bits = evbuffer_get_length(pr->request.body) * 8;
	moves_set_version_shares(h, want.service);
	r = route_choose(
	    &h->routes, &h->stats, &h->catalog, &want, clock_now());
	/* A partial drain does not exclude a request that has no other
	 * endpoint. */
	if (r.kind != ROUTE_SENT && drained > 0) {
		want.n_tried = excluded.n;
		r = route_choose(
		    &h->routes, &h->stats, &h->catalog, &want, clock_now());
	}
	/* A suspect repeats the choice on its own timer; it must not block the
	 * queue. */
	if (r.kind == ROUTE_NONE && excluded.any_temporary && !alone)
		return ROUTE_FULL;
	if (r.kind != ROUTE_SENT)
		return r.kind;
	e = catalog_endpoint(&h->catalog, r.endpoint);
	g_free(pr->address);
	pr->address = g_strdup(e->address);
	pr->endpoint = g_quark_from_string(e->name);
	pr->ticket = r.ticket;
	pr->band = load_band(h, r.endpoint);
	pr->booked = TRUE;
	pr->sent_at = clock_now();
	pr->answer_bytes = 0;
	return ROUTE_SENT;
}

static void on_retry_timer(evutil_socket_t fd, short what, void *arg);

static void
schedule_retry(proxy_request_t *pr, msec_t after_ms)
{
	struct timeval tv = {
	    after_ms / MSEC_PER_SEC, (after_ms % MSEC_PER_SEC) * 1000};

	if (pr->timer == NULL)
		pr->timer = evtimer_new(pr->host->base, on_retry_timer, pr);
	event_add(pr->timer, &tv);
}

static void
endpoint_ready(proxy_request_t *pr)
{
	g_array_append_val(pr->tried, pr->endpoint);
	pr->sent_at = clock_now();
	proxy_attempt_event(pr, ATTEMPT_PLACED);
}

/* The time for peers to object is over: sends the request if its claim stands,
 * otherwise chooses an endpoint again. */
static void
confirm_claim(proxy_request_t *pr)
{
	host_t *h = pr->host;

	if (poison_confirm(&h->poison, pr->poison_run, clock_now())) {
		pr->claim_pending = FALSE;
		endpoint_ready(pr);
		return;
	}
	pr->run_registered = FALSE;
	pr->claim_pending = FALSE;
	proxy_release_endpoint(pr, OUTCOME_CANCELLED);
	proxy_choose_endpoint(pr);
}

static void
on_retry_timer(evutil_socket_t fd, short what, void *arg)
{
	proxy_request_t *pr = arg;

	(void)fd;
	(void)what;
	if (clock_now() >= pr->attempt.deadline)
		proxy_attempt_event(pr, ATTEMPT_TIMED_OUT);
	else if (pr->claim_pending)
		confirm_claim(pr);
	else
		proxy_choose_endpoint(pr);
}

/* Registers the run on the booked endpoint. A suspect claims the endpoint and
 * is sent only after peers had POISON_CLAIM_WAIT_MS to object. */
static void
register_run(proxy_request_t *pr, gboolean alone)
{
	host_t *h = pr->host;

	pr->poison_run = poison_begin(&h->poison, &pr->fingerprint,
	    g_quark_to_string(pr->endpoint), clock_now());
	pr->run_registered = TRUE;
	pr->claim_pending = alone;
	poison_sync_flush(h);
	if (alone)
		schedule_retry(pr, POISON_CLAIM_WAIT_MS);
	else
		endpoint_ready(pr);
}

/* Chooses an endpoint, or refuses or delays the request.
 * Return: FALSE if the request must wait for room. */
static gboolean
try_endpoint(proxy_request_t *pr)
{
	poison_verdict_t v =
	    poison_check(&pr->host->poison, &pr->fingerprint, clock_now());
	gboolean alone = v.kind == POISON_RUN_ALONE;

	if (v.kind == POISON_REFUSE) {
		proxy_refuse(
		    pr, REFUSAL_HARMFUL, proxy_run_state(pr), v.wait_ms);
		return TRUE;
	}
	if (v.kind == POISON_HOLD) {
		slot_queue_remove(pr);
		schedule_retry(pr, CLAMP(v.wait_ms, 1, HELD_RETRY_MAX_MS));
		return TRUE;
	}
	switch (book(pr, alone)) {
	case ROUTE_SENT:
		slot_queue_served(pr);
		register_run(pr, alone);
		return TRUE;
	case ROUTE_FULL:
		return FALSE;
	case ROUTE_NONE:
		break;
	}
	slot_queue_remove(pr);
	if (alone)
		schedule_retry(pr, SUSPECT_RETRY_MS);
	else
		proxy_attempt_event(pr, ATTEMPT_NO_SERVER);
	return TRUE;
}

void
proxy_choose_endpoint(proxy_request_t *pr)
{
	/* Requests that already wait for room go first. */
	if (pr->queued == QUEUE_NONE && slot_queue_busy(pr)) {
		proxy_attempt_event(pr, ATTEMPT_NO_ROOM);
		return;
	}
	if (!try_endpoint(pr))
		proxy_attempt_event(pr, ATTEMPT_NO_ROOM);
}

gboolean
proxy_retry_endpoint(proxy_request_t *pr)
{
	return try_endpoint(pr);
}
