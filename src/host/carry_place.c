#include <string.h>

#include "host/carry.h"
#include "host/harm.h"
#include "host/moves.h"
#include "host/room.h"

/* Endpoints that one look can leave out. */
#define EXCLUDED_MAX 64
/* Before an endpoint is looked for again that has no other request. */
#define ALONE_RETRY_MS 50
#define HOLD_MAX_MS 1000

static gboolean
was_tried(const carry_t *c, const char *name)
{
	guint i;

	for (i = 0; i < c->tried->len; i++) {
		if (g_array_index(c->tried, GQuark, i) ==
		    g_quark_try_string(name))
			return TRUE;
	}
	return FALSE;
}

/* Endpoints that a request is kept from. */
typedef struct {
	endpoint_id_t ids[EXCLUDED_MAX];
	guint n;
	gboolean for_room; /* some of them for now only */
} left_out_t;

/* Whether the endpoint may take this request, but not at this moment. */
static gboolean
lacks_room(const carry_t *c, const endpoint_t *e, gboolean alone)
{
	const host_t *h = c->host;

	return http_client_full(h->http, e->address) ||
	    poison_endpoint_apart(&h->poison, e->name, clock_now()) ||
	    (alone && poison_endpoint_busy(&h->poison, e->name));
}

/* Endpoints of the service that were tried before, those at their limit of
 * connections, those a suspect has to itself, and, for a suspect, those with
 * other requests. */
static void
leave_out(
    const carry_t *c, service_id_t service, gboolean alone, left_out_t *out)
{
	const host_t *h = c->host;
	const endpoint_t *e;
	gboolean tried;
	guint i;

	for (i = 0; i < h->catalog.endpoints->len && out->n < EXCLUDED_MAX;
	     i++) {
		e = catalog_endpoint(&h->catalog, (endpoint_id_t)i);
		if (e->service != service)
			continue;
		tried = was_tried(c, e->name);
		if (!tried && !lacks_room(c, e, alone))
			continue;
		out->ids[out->n++] = (endpoint_id_t)i;
		out->for_room |= !tried;
	}
}

/* Endpoints of the service whose partial drain takes this request away. */
static guint
drained_away(host_t *h, service_id_t service, endpoint_id_t *ids, guint max)
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

/* The lower, middle or upper part of its slots that is in use. */
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
book(carry_t *c, gboolean alone)
{
	host_t *h = c->host;
	left_out_t out = {.n = 0};
	route_request_t want = {
	    .service = catalog_find_service(&h->catalog, c->request.service),
	    .tried = out.ids,
	};
	const endpoint_t *e;
	route_result_t r;
	guint drained;

	if (want.service == ID_NONE)
		return ROUTE_NONE;
	leave_out(c, want.service, alone, &out);
	drained = drained_away(
	    h, want.service, out.ids + out.n, EXCLUDED_MAX - out.n);
	want.n_tried = out.n + drained;
	want.bits = evbuffer_get_length(c->request.body) * 8;
	moves_route(h, want.service);
	r = route_choose(
	    &h->routes, &h->stats, &h->catalog, &want, clock_now());
	/* A partial drain leaves a request where nobody else can take it. */
	if (r.kind != ROUTE_SENT && drained > 0) {
		want.n_tried = out.n;
		r = route_choose(
		    &h->routes, &h->stats, &h->catalog, &want, clock_now());
	}
	/* A suspect looks again by itself and holds up no queue. */
	if (r.kind == ROUTE_NONE && out.for_room && !alone)
		return ROUTE_FULL;
	if (r.kind != ROUTE_SENT)
		return r.kind;
	e = catalog_endpoint(&h->catalog, r.endpoint);
	g_free(c->address);
	c->address = g_strdup(e->address);
	c->endpoint = g_quark_from_string(e->name);
	c->ticket = r.ticket;
	c->band = load_band(h, r.endpoint);
	c->booked = TRUE;
	c->sent_at = clock_now();
	c->answer_bytes = 0;
	return ROUTE_SENT;
}

static void on_look(evutil_socket_t fd, short what, void *arg);

static void
look_again(carry_t *c, msec_t after_ms)
{
	struct timeval tv = {
	    after_ms / MSEC_PER_SEC, (after_ms % MSEC_PER_SEC) * 1000};

	if (c->timer == NULL)
		c->timer = evtimer_new(c->host->base, on_look, c);
	event_add(c->timer, &tv);
}

static void
placed(carry_t *c)
{
	g_array_append_val(c->tried, c->endpoint);
	c->sent_at = clock_now();
	carry_event(c, ATTEMPT_PLACED);
}

/* A claim has stood long enough for peers to object, or has not. */
static void
confirm(carry_t *c)
{
	host_t *h = c->host;

	if (poison_confirm(&h->poison, c->run, clock_now())) {
		c->claimed = FALSE;
		placed(c);
		return;
	}
	c->begun = FALSE;
	c->claimed = FALSE;
	carry_unbook(c, OUTCOME_CANCELLED);
	carry_place(c);
}

static void
on_look(evutil_socket_t fd, short what, void *arg)
{
	carry_t *c = arg;

	(void)fd;
	(void)what;
	if (clock_now() >= c->attempt.deadline)
		carry_event(c, ATTEMPT_TIMED_OUT);
	else if (c->claimed)
		confirm(c);
	else
		carry_place(c);
}

/* A place is booked: claim it if the request is a suspect. */
static void
begin(carry_t *c, gboolean alone)
{
	host_t *h = c->host;

	c->run = poison_begin(
	    &h->poison, &c->print, g_quark_to_string(c->endpoint), clock_now());
	c->begun = TRUE;
	c->claimed = alone;
	harm_spread(h);
	if (alone)
		look_again(c, POISON_LEAD_MS);
	else
		placed(c);
}

/* Return: whether the request has been dealt with, FALSE if there is no room
 * for it. */
static gboolean
find_place(carry_t *c)
{
	poison_verdict_t v =
	    poison_check(&c->host->poison, &c->print, clock_now());
	gboolean alone = v.kind == POISON_RUN_ALONE;

	if (v.kind == POISON_REFUSE) {
		carry_refuse(c, REFUSAL_HARMFUL, carry_run_state(c), v.wait_ms);
		return TRUE;
	}
	if (v.kind == POISON_HOLD) {
		room_forget(c);
		look_again(c, CLAMP(v.wait_ms, 1, HOLD_MAX_MS));
		return TRUE;
	}
	switch (book(c, alone)) {
	case ROUTE_SENT:
		room_served(c);
		begin(c, alone);
		return TRUE;
	case ROUTE_FULL:
		return FALSE;
	case ROUTE_NONE:
		break;
	}
	room_forget(c);
	if (alone)
		look_again(c, ALONE_RETRY_MS);
	else
		carry_event(c, ATTEMPT_NO_SERVER);
	return TRUE;
}

void
carry_place(carry_t *c)
{
	/* Those who wait already go first. */
	if (c->queued == QUEUE_NONE && room_busy(c)) {
		carry_event(c, ATTEMPT_NO_ROOM);
		return;
	}
	if (!find_place(c))
		carry_event(c, ATTEMPT_NO_ROOM);
}

gboolean
carry_try_place(carry_t *c)
{
	return find_place(c);
}
