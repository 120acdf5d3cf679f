#ifndef GATEWAY_USAGE_SYNC_H
#define GATEWAY_USAGE_SYNC_H

#include "base/metrics.h"
#include "coordination/usage_counts.h"
#include "coordination/usage_plan.h"
#include "gateway/status_sync.h"
#include "gateway/store_sync.h"
#include "gateway/view.h"

/*
 * Counts the requests that began to run at backend servers, by window and
 * workspace, and brings the counts into the store: each host sends its own to
 * the collectors of its failure domain until the acting one has acknowledged
 * them; the acting one writes a row for each window. usage_report.h makes the
 * reports from these rows. Exists only if the settings name the platform's API.
 */

/* A window that is not complete yet. */
typedef struct {
	int64_t id;
	/* This host's own counts. */
	guint revision; /* rises with each of them; 0: none */
	guint sent_revision;
	uint64_t acked; /* bit of each datagram of that revision */
	gboolean is_acked;
	msec_t sent_at;
	/* As collector. */
	usage_row_state_t row;
	uint64_t row_ver;
	guint relayed; /* changes that were sent to the other domains */
} usage_progress_t;

typedef struct usage_sync usage_sync_t;

struct usage_sync {
	const usage_settings_t *settings;
	view_t *view;
	store_sync_t *store_sync;
	status_sync_t *status;
	usage_counts_t counts;
	usage_source_t self;
	GArray *progress;   /* usage_progress_t, in the order of the windows */
	uint64_t collector; /* acting in this host's domain, as last seen */
	struct event *timer;

	table_call_t *write; /* of a row of counts, or NULL */
	int64_t write_window;
	guint write_changes;
	msec_t write_retry_at;
	gboolean write_failed; /* the last one */

	metrics_t *metrics;
	metric_id_t counted, taken_back, rows_written, rows_failed, relayed;
	metric_id_t dropped, cells;
};

void usage_sync_init(usage_sync_t *u, view_t *view, store_sync_t *store_sync,
    status_sync_t *status, struct event_base *base, metrics_t *metrics);

/** usage_sync_finish() - Send what was not acknowledged, and free the state. */
void usage_sync_finish(usage_sync_t *u);

/** usage_sync_set_metrics() - Update the gauges. */
void usage_sync_set_metrics(usage_sync_t *u);

/**
 * usage_sync_count() - A request is sent to a server.
 * @u: the sync; NULL: nothing is counted
 * @workspace: of the caller, or NULL
 *
 * Return: the time of day, to be passed to usage_sync_ended().
 */
int64_t usage_sync_count(usage_sync_t *u, const char *workspace);

/**
 * usage_sync_ended() - It is known whether and when the request began to run.
 * @u: the sync, or NULL
 * @workspace: as counted
 * @sent_wall: what usage_sync_count() returned
 * @ran: whether it began to run
 * @start_ms: when, after it was sent
 */
void usage_sync_ended(usage_sync_t *u, const char *workspace, int64_t sent_wall,
    gboolean ran, msec_t start_ms);

/** usage_sync_receive() - A datagram with counts or an acknowledgement.
 * Return: FALSE if it is not valid. */
gboolean usage_sync_receive(usage_sync_t *u, const uint8_t *data, size_t len);

#endif
