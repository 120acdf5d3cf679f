#include "routing_catalog.h"
#include "routing_fuzz.h"
#include "state/route_choice.h"

/*
 * Two hosts of region r0 choose among endpoints of r0 and r1 at the same time,
 * with reports that the input decides. The oracle keeps the true counts and
 * checks only the promises.
 */

#define HOSTS 2
#define ENDPOINTS 6
#define SLOTS 3
#define TICKETS_MAX 64
#define SPILL_CAP 0.5
#define SPILL_MAX 3 /* half of r1's two times three slots */
#define SHARE_PPM 100000
#define SHED_HOLD_MS 160

typedef struct {
	gboolean open;
	int host, endpoint;
	route_ticket_t ticket;
} sent_t;

typedef struct {
	endpoint_stats_t stats;
	route_choice_t rc;
	gboolean leaving[ENDPOINTS];
	int in_flight[ENDPOINTS];
	uint64_t sent, second;
	gboolean others_known; /* knows of others' requests or load */
	msec_t shed_at;
} host_t;

typedef struct {
	catalog_t catalogs[2]; /* all endpoints; all but the last */
	int current;
	host_t hosts[HOSTS];
	sent_t sent[TICKETS_MAX];
	msec_t now;
} world_t;

static void
host_init(host_t *h, const catalog_t *c, int i)
{
	endpoint_report_t empty = {TRUE, FALSE, 0, 0};
	int e;

	endpoint_stats_init(&h->stats);
	endpoint_stats_bind(&h->stats, c, 0);
	route_choice_init(
	    &h->rc, i ? ROUTE_ASSIGNED_SLOTS : ROUTE_TWO_CHOICES, 1 + i);
	route_choice_set_position(&h->rc, i, i, HOSTS, i, HOSTS);
	h->shed_at = -SHED_HOLD_MS;
	for (e = 0; e < ENDPOINTS; e++) {
		endpoint_stats_report(&h->stats, e, &empty);
		endpoint_stats_set_leaving(
		    &h->stats, e, e != 2 && broken("ejection"));
	}
}

static void
world_init(world_t *w)
{
	catalog_shape_t shape = {2, ENDPOINTS, SLOTS, SPILL_CAP, 0, "v2"};
	version_share_t mix[] = {
	    {"v1", SHARE_WHOLE - SHARE_PPM, FALSE}, {"v2", SHARE_PPM, TRUE}};
	host_t *h;
	int i;

	memset(w, 0, sizeof(*w));
	if (broken("slots"))
		shape.slots++;
	if (broken("spill"))
		shape.spill_cap = 1;
	if (broken("share"))
		mix[1].share_ppm *= 2;
	catalog_build(&w->catalogs[0], &shape);
	shape.endpoints--;
	catalog_build(&w->catalogs[1], &shape);
	for (i = 0; i < HOSTS; i++) {
		h = &w->hosts[i];
		host_init(h, &w->catalogs[0], i);
		route_choice_versions(&h->rc, "svc", mix, 2);
	}
}

static void
world_finish(world_t *w)
{
	int i;

	for (i = 0; i < HOSTS; i++) {
		route_choice_finish(&w->hosts[i].rc);
		endpoint_stats_finish(&w->hosts[i].stats);
	}
	catalog_finish(&w->catalogs[0]);
	catalog_finish(&w->catalogs[1]);
}

static gboolean
in_second_region(int endpoint)
{
	return endpoint % 4 >= 2;
}

static gboolean
of_second_version(int endpoint)
{
	return endpoint % 3 == 2;
}

static int
spilled(const world_t *w)
{
	int h, e, n = 0;

	for (h = 0; h < HOSTS; h++) {
		for (e = 0; e < ENDPOINTS; e++)
			n += in_second_region(e) ? w->hosts[h].in_flight[e] : 0;
	}
	return n;
}

/* Whether the service is idle and has an endpoint of v1 in the region: a choice
 * must then succeed. */
static gboolean
must_find(const world_t *w, const host_t *h)
{
	int e, n = ENDPOINTS - w->current, serving = 0;

	if (h->others_known || w->now - h->shed_at <= SHED_HOLD_MS)
		return FALSE;
	for (e = 0; e < ENDPOINTS; e++) {
		if (h->in_flight[e] > 0)
			return FALSE;
	}
	for (e = 0; e < n; e++)
		serving += !in_second_region(e) && !of_second_version(e) &&
		    !h->leaving[e];
	return serving > 0;
}

static void
do_choose(world_t *w, int host, input_t *in)
{
	host_t *h = &w->hosts[host];
	endpoint_id_t tried[1] = {input_below(in, 16)};
	route_request_t req = {0, tried, tried[0] < ENDPOINTS, 100};
	route_result_t r;
	int i;

	for (i = 0; i < TICKETS_MAX && w->sent[i].open; i++)
		;
	if (i == TICKETS_MAX)
		return;
	r = route_choose(
	    &h->rc, &h->stats, &w->catalogs[w->current], &req, w->now);
	if (r.kind != ROUTE_SENT) {
		ORACLE(req.n_tried || !must_find(w, h));
		return;
	}
	ORACLE(!req.n_tried || r.endpoint != tried[0]);
	ORACLE(!h->leaving[r.endpoint]);
	w->sent[i] = (sent_t){TRUE, host, r.endpoint, r.ticket};
	h->sent++;
	h->second += of_second_version(r.endpoint);
	ORACLE(++h->in_flight[r.endpoint] <= SLOTS);
	ORACLE(spilled(w) <= SPILL_MAX);
	ORACLE(h->second * SHARE_WHOLE <= h->sent * SHARE_PPM);
}

static void
do_burst(world_t *w, int host, input_t *in)
{
	int n = 1 + (int)input_below(in, 8);

	while (n-- > 0)
		do_choose(w, host, in);
}

static void
do_end(world_t *w, input_t *in)
{
	sent_t *s = &w->sent[input_below(in, TICKETS_MAX)];
	outcome_t outcome = input_below(in, OUTCOME_KINDS);
	host_t *h = &w->hosts[s->host];

	if (!s->open)
		return;
	s->open = FALSE;
	h->in_flight[s->endpoint]--;
	if (outcome == OUTCOME_SHED)
		h->shed_at = w->now;
	route_end(&h->rc, &h->stats, &s->ticket, outcome, input_byte(in), 100,
	    w->now);
}

static void
do_report(world_t *w, host_t *h, input_t *in)
{
	int e = input_below(in, ENDPOINTS - w->current);
	unsigned int bits = input_byte(in);
	endpoint_report_t r = {bits & 1, (bits & 14) == 14, 0, w->now};

	r.load = (bits >> 4) / 15.0;
	if (r.load > 0)
		h->others_known = TRUE;
	h->leaving[e] = r.draining;
	if (broken("leaving"))
		r.draining = FALSE;
	endpoint_stats_report(&h->stats, e, &r);
}

static void
do_peer(world_t *w, host_t *h, input_t *in)
{
	int e = input_below(in, ENDPOINTS - w->current);

	h->others_known = TRUE;
	endpoint_stats_peer(&h->stats, e, input_below(in, 3),
	    input_below(in, 5), w->now - input_byte(in));
	if (input_below(in, 4) == 0)
		endpoint_stats_peer_gone(&h->stats, input_below(in, 3));
}

static void
do_bind(world_t *w)
{
	int i;

	w->current = !w->current;
	for (i = 0; i < HOSTS; i++) {
		endpoint_stats_bind(
		    &w->hosts[i].stats, &w->catalogs[w->current], w->now);
		/* The state of an endpoint that is removed may be lost. */
		if (w->current)
			w->hosts[i].leaving[ENDPOINTS - 1] = FALSE;
	}
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	input_t in = {data, size, 0};
	unsigned int event;
	world_t w;
	host_t *h;

	world_init(&w);
	while (input_left(&in)) {
		event = input_byte(&in);
		h = &w.hosts[event >> 7];
		switch (event % 8) {
		case 0:
		case 1:
			do_choose(&w, event >> 7, &in);
			break;
		case 2:
			do_burst(&w, event >> 7, &in);
			break;
		case 3:
		case 4:
			do_end(&w, &in);
			break;
		case 5:
			do_report(&w, h, &in);
			break;
		case 6:
			do_peer(&w, h, &in);
			break;
		default:
			w.now += (msec_t)input_byte(&in) * 16;
			if ((event >> 3) % 8 == 0)
				do_bind(&w);
		}
	}
	world_finish(&w);
	return 0;
}
