#include <string.h>

#include "base/log.h"
#include "gateway/status_send.h"
#include "gateway/status_sync.h"
#include "gateway/table_sync.h"
#include "gateway/usage_sync.h"
#include "protocol/beacon.h"

/* Period of the check whether something is due. */
#define TICK_MS 100

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
		if (a.amount > 0 && loads->len < FLEET_AMOUNTS_MAX)
			g_array_append_val(loads, a);
	}
}

static void
make_status(status_sync_t *s, fleet_status_t *status)
{
	view_t *v = s->view;

	status->host = v->fleet.self;
	status->incarnation = v->incarnation;
	status->ready = view_is_ready(v);
	status->leaving = v->leaving;
	status->reaches_store = store_sync_is_reachable(s->store_sync);
	status->config =
	    v->admission.manifest != NULL ? v->admission.manifest->version : 0;
	status->orders = v->orders_ver;
	shifts_report(&v->shifts, status);
}

static gboolean
can_send(const status_sync_t *s)
{
	return s->store_sync->has_secret && s->view->incarnation != 0;
}

/* Reports this host's status to its collectors, which may include itself. */
static void
send_status(status_sync_t *s, msec_t now)
{
	view_t *v = s->view;
	uint8_t data[PEER_MSG_MAX_BYTES];
	fleet_status_t status;
	size_t len;

	fleet_status_init(&status);
	make_status(s, &status);
	status.seq = ++s->seq;
	rate_lender_demands(&v->rates, status.demands, now);
	append_loads(v, status.loads);
	fleet_amounts_sort(status.demands);
	fleet_amounts_sort(status.loads);
	fleet_sent(&v->fleet, &status);
	fleet_status_copy(&s->last_sent, &status);
	s->sent_at = now;
	len = beacon_encode(&status, &s->store_sync->secret, data);
	status_send_own_collectors(s, data, len);
	metrics_count(s->metrics, s->statuses, 1);
	collector_receive(&s->collector, &status, now);
	fleet_status_finish(&status);
}

/* Sends at once what others act on at once, the rest at intervals. */
static void
send_status_if_due(status_sync_t *s, msec_t now)
{
	fleet_status_t next;
	gboolean urgent;

	if (!can_send(s))
		return;
	fleet_status_init(&next);
	make_status(s, &next);
	urgent = collector_is_urgent(&s->last_sent, &next);
	fleet_status_finish(&next);
	if (now - s->sent_at >=
	    (urgent ? COLLECTOR_URGENT_MS : COLLECTOR_PERIOD_MS))
		send_status(s, now);
}

/* Sums up for each server the requests that the other hosts reported there. */
static void
sum_loads(const view_t *v, msec_t now)
{
	GHashTable *sums = g_hash_table_new(NULL, NULL);
	GHashTableIter it;
	gpointer key, value;
	guint i, k;

	for (i = 0; i < v->fleet.domains->len; i++) {
		const fleet_domain_t *d =
		    g_ptr_array_index(v->fleet.domains, i);
		const GArray *loads = d->summary.sums.loads;

		for (k = 0; k < loads->len && fleet_is_fresh(d, now); k++) {
			const fleet_amount_t *a =
			    &g_array_index(loads, fleet_amount_t, k);

			key = GUINT_TO_POINTER(a->name);
			value = g_hash_table_lookup(sums, key);
			g_hash_table_insert(sums, key,
			    GUINT_TO_POINTER(
				GPOINTER_TO_UINT(value) + a->amount));
		}
	}
	g_hash_table_iter_init(&it, v->registry.servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		backend_t *b = value;

		b->peers = GPOINTER_TO_UINT(g_hash_table_lookup(
		    sums, GUINT_TO_POINTER(fleet_name(b->seed))));
	}
	g_hash_table_destroy(sums);
}

static void
add_part(GArray *parts, fleet_summary_t *summary, gboolean with_list)
{
	const summary_part_t part = {summary, with_list};

	g_array_append_val(parts, part);
}

/* Sends summaries to each host of the domain, with its acknowledgement. */
static void
send_bundle(status_sync_t *s, const GArray *parts, gboolean stopping)
{
	const fleet_t *f = &s->view->fleet;
	uint8_t data[PEER_MSG_MAX_BYTES];
	guint i, next;
	size_t len;

	for (i = 0; i < f->hosts->len; i++) {
		const fleet_host_t *h = g_ptr_array_index(f->hosts, i);
		const summary_msg_t msg = {
		    f->self, stopping, collector_ack(&s->collector, h->seed)};

		if (h->domain_seed != f->domain)
			continue;
		next = 0;
		do {
			next = summary_msg_encode(&msg, parts, next,
			    &s->store_sync->secret, data, &len);
			status_send_to(s, h, data, len);
		} while (next < parts->len);
	}
	metrics_count(s->metrics, s->bundles, 1);
}

/* Appends the summaries of other domains that came since the last bundle. */
static void
append_foreign(status_sync_t *s, GArray *parts)
{
	const fleet_t *f = &s->view->fleet;
	guint i;

	for (i = 0; i < f->domains->len; i++) {
		fleet_domain_t *d = g_ptr_array_index(f->domains, i);

		if (d->seed != f->domain && d->heard_at > s->bundled_at)
			add_part(parts, &d->summary, fleet_list_is_due(d));
	}
}

static void
note_domain(status_sync_t *s, const fleet_domain_t *d)
{
	shifts_receive(&s->view->shifts, d);
	store_sync_on_newer_orders(s->store_sync, d->summary.sums.orders);
	/* Either that domain or this host was cut off from the network. */
	if (d->silent_ms >= FLEET_SILENT_MS)
		store_sync_retry_failed(s->store_sync);
}

/* Acts as collector: sums up, and sends the summaries on. */
static void
send_summaries(status_sync_t *s, gboolean stopping, msec_t now)
{
	view_t *v = s->view;
	const fleet_ack_t ack = collector_ack(&s->collector, v->fleet.self);
	const summary_msg_t msg = {v->fleet.self, stopping, {0, 0}};
	GArray *parts = g_array_new(FALSE, FALSE, sizeof(summary_part_t));
	fleet_summary_t summary, used;
	uint8_t data[PEER_MSG_MAX_BYTES];
	fleet_domain_t *d;
	gboolean with_list;
	size_t len;

	fleet_summary_init(&summary);
	fleet_summary_init(&used);
	collector_sum(&s->collector, v->incarnation, &summary, now);
	fleet_status_copy(&used.sums, &summary.sums);
	used.domain = summary.domain;
	used.listed = summary.listed;
	used.list_ver = summary.list_ver;
	used.has_list = TRUE;
	g_array_append_vals(used.list, summary.list->data, summary.list->len);
	d = fleet_receive(&v->fleet, &used, &ack, now);
	if (d != NULL)
		note_domain(s, d);
	d = fleet_domain(&v->fleet, v->fleet.domain);
	with_list = d == NULL || fleet_list_is_due(d);
	add_part(parts, &summary, with_list);
	summary_msg_encode(&msg, parts, 0, &s->store_sync->secret, data, &len);
	status_send_collectors(s, data, len);
	metrics_count(s->metrics, s->summaries, 1);
	append_foreign(s, parts);
	send_bundle(s, parts, stopping);
	s->bundled_at = now;
	s->bundle_urgent = FALSE;
	sum_loads(v, now);
	g_array_free(parts, TRUE);
	fleet_summary_finish(&summary);
	fleet_summary_finish(&used);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	status_sync_t *s = arg;
	view_t *v = s->view;
	msec_t now = clock_now();
	gboolean acted = s->collector.acting, due;

	(void)fd;
	(void)what;
	control_bytes_tick(&s->bytes, now);
	send_status_if_due(s, now);
	s->collector.urgent |= s->bundle_urgent;
	due = collector_tick(
	    &s->collector, can_send(s) && v->joined && !v->leaving, now);
	if (acted != s->collector.acting)
		log_event(LOG_INFO,
		    acted ? "collector.stopped" : "collector.acting", "domain",
		    v->settings->domain, "rank",
		    log_num(fleet_collector_rank(&v->fleet, now)),
		    "heard_ms_ago", log_num(now - s->collector.heard_at), NULL);
	if (due)
		send_summaries(s, FALSE, now);
}

void
status_sync_leave(status_sync_t *s)
{
	msec_t now = clock_now();

	if (!can_send(s))
		return;
	send_status(s, now);
	if (s->collector.acting)
		send_summaries(s, TRUE, now);
}

static void
receive_token_msg(status_sync_t *s, const uint8_t *data, size_t len)
{
	token_msg_t msg;

	if (token_msg_decode(data, len, &s->store_sync->secret, &msg))
		tokens_receive(&s->tokens, &msg);
	else
		metrics_count(s->metrics, s->rejected, 1);
}

static void
receive_status(status_sync_t *s, const uint8_t *data, size_t len)
{
	msec_t now = clock_now();
	fleet_status_t status;
	const fleet_host_t *h;

	fleet_status_init(&status);
	if (!beacon_decode(data, len, &s->store_sync->secret, &status)) {
		metrics_count(s->metrics, s->rejected, 1);
		fleet_status_finish(&status);
		return;
	}
	h = fleet_find(&s->view->fleet, status.host);
	if (h == NULL) {
		fleet_status_finish(&status);
		return;
	}
	switch (collector_receive(&s->collector, &status, now)) {
	case COLLECTOR_STARTED:
		log_event(LOG_INFO, "host.heard", "host", h->name,
		    "incarnation", log_num((long long)h->incarnation), NULL);
		if (s->collector.acting)
			suspects_resend(s->suspects);
		break;
	case COLLECTOR_BACK:
		log_event(LOG_INFO, "host.back", "host", h->name, NULL);
		store_sync_retry_failed(s->store_sync);
		break;
	case COLLECTOR_OLD:
	case COLLECTOR_NEWER:
		break;
	}
	fleet_status_finish(&status);
}

/* A summary of this host's domain shows that another host acts as collector. */
static void
note_collector(status_sync_t *s, const summary_msg_t *msg,
    const fleet_summary_t *summary, msec_t now)
{
	const fleet_t *f = &s->view->fleet;
	const fleet_host_t *sender = fleet_find(f, msg->sender);
	gboolean acted = s->collector.acting;
	fleet_claim_t claim;

	if (sender == NULL || summary->sums.host != msg->sender ||
	    summary->domain != f->domain || sender->domain_seed != f->domain)
		return;
	claim =
	    (fleet_claim_t){summary->listed, sender->strength, sender->seed};
	collector_hear(&s->collector, &claim, msg->stopping, now);
	if (acted && !s->collector.acting)
		log_event(LOG_INFO, "collector.deferred", "to", sender->name,
		    "listed", log_num(summary->listed), NULL);
}

static void
receive_summaries(status_sync_t *s, const uint8_t *data, size_t len)
{
	GArray *summaries = g_array_new(FALSE, FALSE, sizeof(fleet_summary_t));
	fleet_t *f = &s->view->fleet;
	msec_t now = clock_now();
	summary_msg_t msg;
	fleet_domain_t *d;
	guint i, taken = 0;

	if (!summary_msg_decode(
		data, len, &s->store_sync->secret, &msg, summaries))
		metrics_count(s->metrics, s->rejected, 1);
	for (i = 0; i < summaries->len; i++) {
		fleet_summary_t *summary =
		    &g_array_index(summaries, fleet_summary_t, i);
		uint32_t list_ver;

		note_collector(s, &msg, summary, now);
		d = summary->sums.host == f->self
		    ? NULL
		    : fleet_receive(f, summary, &msg.ack, now);
		if (d != NULL) {
			/* The summary in use before was swapped out. */
			list_ver = summary->list_ver;
			s->bundle_urgent |= d->source_changed ||
			    list_ver != d->summary.list_ver ||
			    collector_is_urgent(
				&summary->sums, &d->summary.sums);
			note_domain(s, d);
			taken++;
		}
		fleet_summary_finish(summary);
	}
	if (taken > 0 && !s->collector.acting)
		sum_loads(s->view, now);
	g_array_free(summaries, TRUE);
}

static void
receive_suspects(status_sync_t *s, const uint8_t *data, size_t len)
{
	uint8_t copy[PEER_MSG_MAX_BYTES];
	suspect_msg_t msg;

	if (!suspect_msg_decode(data, len, &s->store_sync->secret, &msg)) {
		metrics_count(s->metrics, s->rejected, 1);
		return;
	}
	if (msg.relay) {
		msg.relay = FALSE;
		status_send_domain(s, copy,
		    suspect_msg_encode(&msg, &s->store_sync->secret, copy));
		metrics_count(s->metrics, s->relayed, 1);
	}
	suspects_receive(s->suspects, &msg);
}

static void
send_suspects(void *arg, suspect_msg_t *msg)
{
	status_sync_t *s = arg;
	uint8_t data[PEER_MSG_MAX_BYTES];

	if (!s->store_sync->has_secret)
		return;
	msg->relay = FALSE;
	status_send_domain(
	    s, data, suspect_msg_encode(msg, &s->store_sync->secret, data));
	msg->relay = TRUE;
	status_send_collectors(
	    s, data, suspect_msg_encode(msg, &s->store_sync->secret, data));
}

static void
on_datagram(void *arg, const uint8_t *data, size_t len)
{
	status_sync_t *s = arg;

	if (!s->store_sync->has_secret)
		return;
	switch (peer_msg_kind(data, len)) {
	case PEER_BEACON:
		receive_status(s, data, len);
		break;
	case PEER_SUMMARIES:
		receive_summaries(s, data, len);
		break;
	case PEER_TABLE:
		table_sync_receive(s, data, len);
		break;
	case PEER_SUSPECTS:
		receive_suspects(s, data, len);
		break;
	case PEER_USAGE:
	case PEER_USAGE_ACK:
		if (s->usage == NULL ||
		    !usage_sync_receive(s->usage, data, len))
			metrics_count(s->metrics, s->rejected, 1);
		break;
	default:
		receive_token_msg(s, data, len);
		break;
	}
}

static void
register_metrics(status_sync_t *s)
{
	metrics_t *m = s->metrics;

	s->statuses = metrics_add(m, METRIC_COUNTER, "statuses_sent_total",
	    "statuses of this host sent to its collectors");
	s->summaries = metrics_add(m, METRIC_COUNTER, "summaries_sent_total",
	    "summaries of its domain made by this host as collector");
	s->bundles = metrics_add(m, METRIC_COUNTER, "bundles_sent_total",
	    "times that summaries were sent to the hosts of the domain");
	s->relayed = metrics_add(m, METRIC_COUNTER, "messages_relayed_total",
	    "table changes and suspects passed on to the hosts of the domain");
	s->notices = metrics_add(m, METRIC_COUNTER, "table_notices_total",
	    "changes sent as a notice, as their rows would take too much of "
	    "the link");
	s->notices_omitted =
	    metrics_add(m, METRIC_COUNTER, "table_notices_omitted_total",
		"changes sent neither as rows nor as a notice");
	s->rejected = metrics_add(m, METRIC_COUNTER, "datagrams_rejected_total",
	    "datagrams that are not valid messages");
	s->acting = metrics_add(m, METRIC_GAUGE, "collector_acting",
	    "1 while this host collects the statuses of its domain");
	s->takeovers = metrics_add(m, METRIC_GAUGE, "collector_takeovers",
	    "times that this host began to act as collector");
	s->domains_fresh = metrics_add(m, METRIC_GAUGE, "domains_fresh",
	    "domains whose summary is recent");
	s->summary_age = metrics_add(m, METRIC_GAUGE, "summary_age_ms",
	    "age of the oldest summary that counts");
}

void
status_sync_set_metrics(status_sync_t *s)
{
	const fleet_t *f = &s->view->fleet;
	msec_t now = clock_now(), oldest = 0;
	guint i, fresh = 0;

	for (i = 0; i < f->domains->len; i++) {
		const fleet_domain_t *d = g_ptr_array_index(f->domains, i);

		if (!fleet_is_fresh(d, now))
			continue;
		fresh++;
		oldest = MAX(oldest, now - d->heard_at);
	}
	metrics_set(s->metrics, s->acting, s->collector.acting);
	metrics_set(s->metrics, s->takeovers, (int64_t)s->collector.takeovers);
	metrics_set(s->metrics, s->domains_fresh, fresh);
	metrics_set(s->metrics, s->summary_age, oldest);
}

gboolean
status_sync_init(status_sync_t *s, view_t *view, store_sync_t *store_sync,
    suspects_t *suspects, struct event_base *base, metrics_t *metrics,
    GError **err)
{
	const struct timeval period = {0, TICK_MS * 1000};

	memset(s, 0, sizeof(*s));
	s->view = view;
	s->store_sync = store_sync;
	s->metrics = metrics;
	register_metrics(s);
	control_bytes_init(&s->bytes, view->settings->link_mbps, metrics);
	fleet_status_init(&s->last_sent);
	collector_init(&s->collector, &view->fleet);
	fanout_init(&s->fanout, view->settings->link_mbps, clock_now());
	s->timer = event_new(base, -1, EV_PERSIST, on_timer, s);
	event_add(s->timer, &period);
	s->suspects = suspects;
	suspects->send = send_suspects;
	suspects->send_arg = s;
	store_sync->send = table_sync_send;
	store_sync->send_arg = s;
	tokens_init(&s->tokens, view, base, &s->socket, &store_sync->secret);
	return datagram_init(
	    &s->socket, base, view->settings->peers, on_datagram, s, err);
}

void
status_sync_finish(status_sync_t *s)
{
	if (s->timer != NULL)
		event_free(s->timer);
	tokens_finish(&s->tokens);
	datagram_finish(&s->socket);
	collector_finish(&s->collector);
	fleet_status_finish(&s->last_sent);
}
