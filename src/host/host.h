#ifndef HOST_HOST_H
#define HOST_HOST_H

#include <event2/event.h>

#include "base/metrics.h"
#include "coordination/config_sync.h"
#include "coordination/key_sync.h"
#include "coordination/once.h"
#include "coordination/poison.h"
#include "coordination/retry_budget.h"
#include "coordination/roster.h"
#include "coordination/stop_plan.h"
#include "host/mirror.h"
#include "host/settings.h"
#include "protocol/rows.h"
#include "state/catalog.h"
#include "state/endpoint_stats.h"
#include "state/machine_shares.h"
#include "state/route_choice.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/rpc_client.h"
#include "transport/rpc_server.h"
#include "transport/store.h"

/*
 * One entry host: all state of the process. It passes what arrives to the pure
 * modules that make the decisions. host_t owns everything in it.
 */

typedef enum {
	HOST_STARTING, /* no configuration or no roster row yet */
	HOST_SERVING,
	HOST_DRAINING, /* graceful stop; cached look-ups still lead to it */
	HOST_ENDING,   /* holds nothing any more; sends its departure */
} host_phase_t;

/* Ids of the host's metrics; counters count from the start of the process. */
typedef struct {
	metric_id_t requests, answered, refused, retries, hang_ups, lookups;
	metric_id_t queued, key_refused, rate_refused, probes_failed,
	    answers_invalid;
	metric_id_t in_flight, config_version, fresh_ms;
} host_metrics_t;

typedef struct proxy_request proxy_request_t;

typedef struct host {
	settings_t settings; /* borrowed */
	struct event_base *base;
	host_phase_t phase;
	uint64_t token;	      /* random; identifies this process in its row */
	uint64_t incarnation; /* 0: not in the roster */
	uint64_t row_version; /* of our row in the roster */
	gboolean joining, join_outcome_unknown;
	uint64_t join_incarnation;
	msec_t join_scan_after; /* a later scan shows the outcome of a join */
	metrics_t metrics;
	host_metrics_t m;
	http_client_t *http;		     /* connections to servers */
	http_client_t *store_http;	     /* connections to the store */
	guint descriptors[DESCRIPTORS_USES]; /* shares */
	size_t memory[MEMORY_USES];	     /* shares, bytes */
	http_server_t *callers;
	http_server_t *operators;
	rpc_key_t rpc_key;
	rpc_server_t rpc_server;
	rpc_client_t rpc_client;
	gboolean rpc_open;
	store_t store;
	mirror_t mirror;
	/* The other hosts. */
	roster_t roster;   /* initialized once we have joined */
	GHashTable *peers; /* name to peer_t */
	msec_t exchange_at;
	gboolean superseded;
	gboolean stop_asked; /* by a signal */
	msec_t retire_at, list_at;
	GHashTable *leaving; /* names that the platform lists as leaving */
	gboolean listing;
	gboolean listed; /* a request for the platform's list has ended */
	/* Limits. */
	GHashTable *shares; /* workspace to limit_share_t */
	uint16_t slot;	    /* SLOT_NONE: none held */
	uint16_t slot_wanted, slot_watched;
	gboolean slot_claiming;
	msec_t slot_at, slot_free_since;
	struct moves *moves;
	/* Configuration in force; version 0: none yet. */
	catalog_t catalog;
	char *catalog_text;
	config_sync_t config_sync;
	msec_t scan_at, probe_at;
	key_sync_t key_sync;   /* keys, and the roster as its scans showed it */
	GPtrArray *operations; /* operation_t of operators */
	endpoint_stats_t stats;
	route_choice_t routes;
	GHashTable *slot_queues; /* service name to slot_queue_t */
	GHashTable *waiting;	 /* request number to proxy_request_t */
	struct event *slot_queue_timer;
	poison_t poison;
	GHashTable *probes;    /* under way */
	msec_t first_probe_at; /* of a catalog's endpoints; 0: none yet */
	once_t once;
	GHashTable *once_requests; /* entry to proxy_request_t */
	GHashTable *once_jobs;	   /* operations on rows; freed at the end */
	GHashTable *once_kept; /* entry to an answer that is kept for replays */
	size_t once_kept_bytes;
	struct sweep *sweep;
	struct lookups *lookups;
	GHashTable *budgets;	     /* service name to retry_budget_t */
	GPtrArray *proxied_requests; /* proxy_request_t under way */
	uint64_t next_request;
	struct event *ticker, *term, *interrupt, *dump_signal, *reload;
	SSL_CTX *tls;		  /* of the callers' port; NULL: plain HTTP */
	guint pending_departures; /* sent departures without an answer yet */
	msec_t linger_until; /* until then callers may use cached look-ups */
	stop_plan_t stop;    /* while draining */
	msec_t drain_until;
} host_t;

/* Returned by host_run() if the process should make the host anew. */
#define HOST_RESTART (-1)

/**
 * host_init() - Set up a host from its settings.
 * @h: memory of the caller
 * @settings: must outlive @h
 * @err: set if a port can't be bound
 */
gboolean host_init(host_t *h, const settings_t *settings, GError **err);
void host_finish(host_t *h);

/**
 * host_run() - Serve until a stop is requested.
 * @h: the host
 *
 * Return: exit status of the process, or HOST_RESTART if the host should be
 * made anew because another incarnation has replaced it in the roster.
 */
int host_run(host_t *h);

/**
 * host_register_metrics() - Register the host's metrics.
 * @h: the host
 */
void host_register_metrics(host_t *h);

/** host_share_machine() - Divide what the machine has; sets the shares. */
void host_share_machine(host_t *h);

/**
 * host_open_ports() - Listen for callers, hosts and operators.
 * @h: the host, its state set up
 * @err: set if a port can't be bound, or a certificate or secret can't be read
 */
gboolean host_open_ports(host_t *h, GError **err);

/**
 * host_joined() - Take in that this process is now in the roster.
 * @h: the host
 * @incarnation: its incarnation
 * @version: store version of its roster row
 */
void host_joined(host_t *h, uint64_t incarnation, uint64_t version);

/**
 * host_update_positions() - Recompute positions among the live hosts.
 * @h: the host
 */
void host_update_positions(host_t *h);

/**
 * host_stop() - Begin a graceful stop.
 * @h: the host
 */
void host_stop(host_t *h);

/**
 * host_apply_config() - Put a configuration in force, whole or not at all.
 * @h: the host
 * @version: of the configuration; refused unless newer than the one in force
 * @text: its text
 */
gboolean host_apply_config(host_t *h, uint64_t version, const char *text);

/**
 * host_retry_budget() - The retry budget of a service.
 * @h: the host
 * @service: its name
 */
retry_budget_t *host_retry_budget(host_t *h, const char *service);

#endif
