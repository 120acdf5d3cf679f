#ifndef GATEWAY_STATUS_SYNC_H
#define GATEWAY_STATUS_SYNC_H

#include "base/metrics.h"
#include "coordination/collector.h"
#include "coordination/fanout.h"
#include "gateway/control_bytes.h"
#include "gateway/store_sync.h"
#include "gateway/suspects.h"
#include "gateway/tokens.h"
#include "gateway/view.h"
#include "protocol/summary_msg.h"
#include "transport/datagram.h"

typedef struct usage_sync usage_sync_t;

/*
 * Exchanges datagrams with the other hosts. A host sends its status (demand of
 * workspaces, requests at servers, shifts) to the collectors of its failure
 * domain. An acting collector sends the domain's summary to the collectors of
 * the other domains, and the summaries of all domains to the hosts of its own.
 * Changes of the store's tables and reports of suspects take the same way: to
 * the collectors, which pass them on. Owns the socket, which also carries token
 * requests.
 */
typedef struct {
	view_t *view;
	store_sync_t *store_sync;
	suspects_t *suspects;
	usage_sync_t *usage; /* NULL: the usage is not reported */
	collector_t collector;
	fanout_t fanout;
	datagram_t socket;
	tokens_t tokens;
	struct event *timer;
	uint32_t seq;
	fleet_status_t last_sent;
	msec_t sent_at;	   /* last status */
	msec_t bundled_at; /* last summaries to the domain's hosts */
	gboolean bundle_urgent;
	metrics_t *metrics;
	metric_id_t statuses, summaries, bundles, relayed, rejected;
	metric_id_t notices, notices_omitted;
	control_bytes_t bytes;
	metric_id_t acting, takeovers, domains_fresh, summary_age;
} status_sync_t;

gboolean status_sync_init(status_sync_t *s, view_t *view,
    store_sync_t *store_sync, suspects_t *suspects, struct event_base *base,
    metrics_t *metrics, GError **err);
void status_sync_finish(status_sync_t *s);

/** status_sync_leave() - Report now that this host is leaving. */
void status_sync_leave(status_sync_t *s);

/** status_sync_set_metrics() - Update the gauges. */
void status_sync_set_metrics(status_sync_t *s);

#endif
