#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

#include "gateway/pace_log.h"
#include "gateway/status_sync.h"
#include "gateway/relay.h"
#include "gateway/gateway_settings.h"
#include "gateway/store_sync.h"
#include "gateway/suspects.h"
#include "gateway/usage_report.h"
#include "gateway/view.h"
#include "state/machine_shares.h"

/*
 * An entry host of a fleet whose shared state is in a table store: backend
 * servers register there, operators write their orders there, and hosts find
 * each other there. Creates, connects and owns all parts of the host.
 */
typedef struct {
	gateway_settings_t *settings;
	const char *path;      /* of the settings file */
	time_t settings_mtime; /* mtime of the file when it was last read */
	struct event_base *base;
	http_client_t *server_client; /* connections to backend servers */
	http_client_t *store_client;  /* connections to the store */
	view_t view;
	store_sync_t store_sync;
	suspects_t suspects;
	pace_log_t pace_log;
	status_sync_t status_sync;
	relays_t relays;
	usage_sync_t usage; /* in use only if the settings have an API */
	usage_report_t usage_report;
	metrics_t metrics;
	metric_id_t lookups, ready, hosts_heard, servers_known;
	metric_id_t tokens_asked, tokens_unanswered;
	metric_id_t body_bytes, answer_bytes, answers_given_up, reply_bytes;
	metric_id_t replies_given_up, not_accepted;
	metric_id_t head_bytes, heads_refused, unread_bytes;
	metric_id_t store_reads, store_writes, store_failures;
	http_server_t *caller_server, *lookup_server, *operator_server;
	struct event *signals[4];
	struct event *settings_timer;
	struct event *drain_timer;
	guint descriptors[DESCRIPTORS_USES]; /* shares */
	size_t memory[MEMORY_USES];	     /* shares, bytes */
	msec_t stop_began_at; /* start of the graceful stop; 0: none */
	guint cut;	      /* requests that the stop ended */
} gateway_t;

/**
 * gateway_init() - Start an entry host.
 * @g: set up here; owned by the caller
 * @settings: must outlive @g; changed when the file is read again
 * @path: of the settings file; must outlive @g
 * @err: set on failure; call gateway_finish() in either case
 */
gboolean gateway_init(
    gateway_t *g, gateway_settings_t *settings, const char *path, GError **err);
void gateway_finish(gateway_t *g);

/**
 * gateway_run() - Serve until a signal stops the host.
 *
 * Return: exit status: 0 if no request was cut off by the stop.
 */
int gateway_run(gateway_t *g);

#endif
