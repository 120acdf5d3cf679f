#include <string.h>

#include "base/log.h"
#include "gateway/beacons.h"

/* Period of the check whether a beacon is due. */
#define TICK_MS 100
/* Ticks between two beacons to the hosts of the region, and to those of all
 * regions. A change of the readiness flags is sent to all at the next tick. */
#define REGION_TICKS 5
#define FLEET_TICKS 10
#define STATE_UNSENT 8

static void
append_loads(const view_t *v, GArray *loads)
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
encode_beacon(beacons_t *b, uint8_t *out)
{
	view_t *v = b->view;
	fleet_status_t status;
	size_t len;

	fleet_status_init(&status);
	status.host = v->fleet.self;
	status.incarnation = v->incarnation;
	status.seq = ++b->seq;
	status.ready = view_is_ready(v);
	status.leaving = v->leaving;
	status.reaches_store = store_sync_is_reachable(b->store_sync);
	status.config =
	    v->admission.manifest != NULL ? v->admission.manifest->version : 0;
	status.orders = v->orders_ver;
	rate_lender_demands(&v->rates, status.demands);
	append_loads(v, status.loads);
	shifts_report(&v->shifts, &status);
	len = beacon_encode(&status, &b->store_sync->secret, out);
	fleet_status_finish(&status);
	return len;
}

/* Sends to the hosts of the region, or to all hosts if @all_regions is set. */
static void
send_hosts(beacons_t *b, const uint8_t *data, size_t len, gboolean all_regions)
{
	const view_t *v = b->view;
	guint i;

	for (i = 0; i < v->fleet.hosts->len && len > 0; i++) {
		const fleet_host_t *h = g_ptr_array_index(v->fleet.hosts, i);

		if (all_regions || strcmp(h->region, v->settings->region) == 0)
			datagram_send(&b->socket, h->peer, data, len);
	}
}

static void
send_beacon(beacons_t *b, gboolean all_regions)
{
	uint8_t data[PEER_MSG_MAX_BYTES];

	if (b->store_sync->has_secret && b->view->incarnation != 0)
		send_hosts(b, data, encode_beacon(b, data), all_regions);
}

void
beacons_send_all(beacons_t *b)
{
	send_beacon(b, TRUE);
}

/* Sums up for each server the requests that live peers reported there. */
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

			if (fleet_is_live(h, now))
				b->peers +=
				    fleet_amount(h->status.loads, b->seed);
		}
	}
}

/* Facts that peers act on at once: whether this host is ready, is leaving, and
 * reaches the store. STATE_UNSENT is no combination of them. */
static guint
readiness_flags(const beacons_t *b)
{
	const view_t *v = b->view;

	return (view_is_ready(v) ? 1 : 0) | (v->leaving ? 2 : 0) |
	    (store_sync_is_reachable(b->store_sync) ? 4 : 0);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	beacons_t *b = arg;
	guint state = readiness_flags(b);
	gboolean changed = state != b->state;

	(void)fd;
	(void)what;
	b->ticks++;
	b->state = state;
	if (!changed && b->ticks % REGION_TICKS != 0)
		return;
	sum_loads(b->view);
	send_beacon(b, changed || b->ticks % FLEET_TICKS == 0);
}

static void
receive_token_msg(beacons_t *b, const uint8_t *data, size_t len)
{
	token_msg_t msg;

	if (token_msg_decode(data, len, &b->store_sync->secret, &msg))
		tokens_receive(&b->tokens, &msg);
	else
		b->rejected++;
}

static void
receive_beacon(beacons_t *b, const uint8_t *data, size_t len)
{
	msec_t now = clock_now();
	fleet_status_t status;
	fleet_host_t *h;

	fleet_status_init(&status);
	if (!beacon_decode(data, len, &b->store_sync->secret, &status)) {
		b->rejected++;
		fleet_status_finish(&status);
		return;
	}
	h = fleet_receive(&b->view->fleet, &status, now);
	fleet_status_finish(&status);
	if (h == NULL)
		return;
	if (h->first_beacon) {
		log_event(LOG_INFO, "host.heard", "host", h->name,
		    "incarnation", log_num((long long)h->status.incarnation),
		    NULL);
		/* The host has just started and knows no peer yet: send it a
		 * beacon at the next tick. */
		b->state = STATE_UNSENT;
		suspects_resend(b->suspects);
	}
	/* Either that host or this one was cut off from the network. */
	if (h->silent_ms >= FLEET_SILENT_MS)
		store_sync_retry_failed(b->store_sync);
	shifts_receive(&b->view->shifts, h);
	store_sync_on_newer_orders(b->store_sync, h->status.orders);
}

static void
receive_table(beacons_t *b, const uint8_t *data, size_t len)
{
	table_update_t update;
	table_page_t page;

	if (!table_update_decode(
		data, len, &b->store_sync->secret, &update, &page)) {
		b->rejected++;
		return;
	}
	store_sync_receive(b->store_sync, &update, &page);
	table_page_finish(&page);
}

/* Sends changes of a table to the hosts of the region. */
static void
send_table(void *arg, table_update_t *update)
{
	beacons_t *b = arg;
	uint8_t data[PEER_MSG_MAX_BYTES];
	guint next = 0;
	size_t len;

	if (!b->store_sync->has_secret)
		return;
	do {
		next = table_update_encode(
		    update, next, &b->store_sync->secret, data, &len);
		send_hosts(b, data, len, FALSE);
	} while (next < update->rows->len);
}

static void
receive_suspects(beacons_t *b, const uint8_t *data, size_t len)
{
	suspect_msg_t msg;

	if (suspect_msg_decode(data, len, &b->store_sync->secret, &msg))
		suspects_receive(b->suspects, &msg);
	else
		b->rejected++;
}

static void
send_suspects(void *arg, suspect_msg_t *msg)
{
	beacons_t *b = arg;
	uint8_t data[PEER_MSG_MAX_BYTES];

	if (b->store_sync->has_secret)
		send_hosts(b, data,
		    suspect_msg_encode(msg, &b->store_sync->secret, data),
		    TRUE);
}

static void
on_datagram(void *arg, const uint8_t *data, size_t len)
{
	beacons_t *b = arg;

	if (!b->store_sync->has_secret)
		return;
	switch (peer_msg_kind(data, len)) {
	case PEER_BEACON:
		receive_beacon(b, data, len);
		break;
	case PEER_TABLE:
		receive_table(b, data, len);
		break;
	case PEER_SUSPECTS:
		receive_suspects(b, data, len);
		break;
	default:
		receive_token_msg(b, data, len);
		break;
	}
}

gboolean
beacons_init(beacons_t *b, view_t *view, store_sync_t *store_sync,
    suspects_t *suspects, struct event_base *base, GError **err)
{
	const struct timeval period = {0, TICK_MS * 1000};

	memset(b, 0, sizeof(*b));
	b->view = view;
	b->store_sync = store_sync;
	b->timer = event_new(base, -1, EV_PERSIST, on_timer, b);
	event_add(b->timer, &period);
	b->suspects = suspects;
	suspects->send = send_suspects;
	suspects->send_arg = b;
	store_sync->send = send_table;
	store_sync->send_arg = b;
	tokens_init(&b->tokens, view, base, &b->socket, &store_sync->secret);
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
