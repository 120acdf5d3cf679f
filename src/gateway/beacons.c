#include <string.h>

#include "base/log.h"
#include "gateway/beacons.h"

/* Hosts of the region are told so often, in milliseconds. */
#define TELL_MS 500
/* Those of other regions only each so many times. */
#define FAR_EVERY 2

static void
add_loads(const view_t *v, GArray *loads)
{
	fleet_amount_t a;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, v->registry.servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const backend_t *b = value;

		a.name = fleet_name(b->seed);
		a.amount = MIN(b->own, FLEET_AMOUNT_MAX);
		if (a.amount > 0 && loads->len < BEACON_LOADS_MAX)
			g_array_append_val(loads, a);
	}
}

static size_t
write_news(beacons_t *b, uint8_t *out)
{
	view_t *v = b->view;
	fleet_news_t news;
	size_t len;

	fleet_news_init(&news);
	news.host = v->fleet.self;
	news.incarnation = v->incarnation;
	news.seq = ++b->seq;
	news.ready = view_is_ready(v);
	news.leaving = v->leaving;
	news.reads = sources_answered(b->sources);
	news.config =
	    v->admission.manifest != NULL ? v->admission.manifest->version : 0;
	news.orders = v->orders_ver;
	rate_lender_demands(&v->rates, news.demands);
	add_loads(v, news.loads);
	shifts_tell(&v->shifts, &news);
	len = beacon_encode(&news, &b->sources->secret, out);
	fleet_news_finish(&news);
	return len;
}

static void
tell(beacons_t *b, gboolean far)
{
	const view_t *v = b->view;
	uint8_t data[BEACON_MAX_BYTES];
	size_t len;
	guint i;

	if (!b->sources->has_secret || v->incarnation == 0)
		return;
	len = write_news(b, data);
	for (i = 0; i < v->fleet.hosts->len && len > 0; i++) {
		const fleet_host_t *h = g_ptr_array_index(v->fleet.hosts, i);

		if (far || strcmp(h->region, v->settings->region) == 0)
			datagram_send(&b->socket, h->peer, data, len);
	}
}

void
beacons_tell_all(beacons_t *b)
{
	tell(b, TRUE);
}

/* Requests of other hosts at each server, as they last said. */
static void
sum_loads(view_t *v)
{
	msec_t now = clock_now();
	GHashTableIter it;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&it, v->registry.servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		backend_t *b = value;

		b->peers = 0;
		for (i = 0; i < v->fleet.hosts->len; i++) {
			const fleet_host_t *h =
			    g_ptr_array_index(v->fleet.hosts, i);

			if (fleet_is_heard(h, now))
				b->peers +=
				    fleet_amount(h->news.loads, b->seed);
		}
	}
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	beacons_t *b = arg;

	(void)fd;
	(void)what;
	sum_loads(b->view);
	tell(b, b->seq % FAR_EVERY == 0);
}

static void
hear_tokens(beacons_t *b, const uint8_t *data, size_t len)
{
	token_msg_t msg;

	if (token_msg_decode(data, len, &b->sources->secret, &msg))
		tokens_hear(&b->tokens, &msg);
	else
		b->refused++;
}

static void
hear_beacon(beacons_t *b, const uint8_t *data, size_t len)
{
	msec_t now = clock_now();
	fleet_news_t news;
	fleet_host_t *h;
	gboolean was_heard;

	fleet_news_init(&news);
	if (!beacon_decode(data, len, &b->sources->secret, &news)) {
		b->refused++;
		fleet_news_finish(&news);
		return;
	}
	h = fleet_hear(&b->view->fleet, &news, now);
	was_heard = news.seq != 0;
	fleet_news_finish(&news);
	if (h == NULL)
		return;
	if (!was_heard)
		log_event(LOG_INFO, "host.heard", "host", h->name,
		    "incarnation", log_num((long long)h->news.incarnation),
		    NULL);
	shifts_hear(&b->view->shifts, h);
	sources_nudge(b->sources, h->news.orders);
}

static void
hear_table(beacons_t *b, const uint8_t *data, size_t len)
{
	table_news_t news;
	table_page_t page;

	if (!table_news_decode(data, len, &b->sources->secret, &news, &page)) {
		b->refused++;
		return;
	}
	sources_hear(b->sources, &news, &page);
	table_page_finish(&page);
}

/* Passes news of a table on within the region. */
static void
spread(void *arg, table_news_t *news)
{
	beacons_t *b = arg;
	const view_t *v = b->view;
	uint8_t data[BEACON_MAX_BYTES];
	guint next = 0, i;
	size_t len;

	if (!b->sources->has_secret)
		return;
	do {
		next = table_news_encode(
		    news, next, &b->sources->secret, data, &len);
		for (i = 0; i < v->fleet.hosts->len && len > 0; i++) {
			const fleet_host_t *h =
			    g_ptr_array_index(v->fleet.hosts, i);

			if (strcmp(h->region, v->settings->region) == 0)
				datagram_send(&b->socket, h->peer, data, len);
		}
	} while (next < news->rows->len);
}

static void
on_datagram(void *arg, const uint8_t *data, size_t len)
{
	beacons_t *b = arg;

	if (!b->sources->has_secret)
		return;
	switch (beacon_kind(data, len)) {
	case PEER_BEACON:
		hear_beacon(b, data, len);
		break;
	case PEER_TABLE:
		hear_table(b, data, len);
		break;
	default:
		hear_tokens(b, data, len);
		break;
	}
}

gboolean
beacons_init(beacons_t *b, view_t *view, sources_t *sources,
    struct event_base *base, GError **err)
{
	const struct timeval period = {0, TELL_MS * 1000};

	memset(b, 0, sizeof(*b));
	b->view = view;
	b->sources = sources;
	b->timer = event_new(base, -1, EV_PERSIST, on_timer, b);
	event_add(b->timer, &period);
	sources->spread = spread;
	sources->spread_arg = b;
	tokens_init(&b->tokens, view, base, &b->socket, &sources->secret);
	return datagram_init(
	    &b->socket, base, view->settings->peers, on_datagram, b, err);
}

void
beacons_finish(beacons_t *b)
{
	if (b->timer != NULL)
		event_free(b->timer);
	tokens_finish(&b->tokens);
	datagram_finish(&b->socket);
}
