#ifndef GATEWAY_USAGE_REPORT_H
#define GATEWAY_USAGE_REPORT_H

#include "coordination/usage_duty.h"
#include "gateway/usage_sync.h"
#include "transport/http_client.h"

/*
 * Reports the usage while this host holds the duty: reads the rows of counts of
 * a window, stores its report in the same transaction that renews the duty, and
 * then calls the platform with the stored bytes, in the order of the windows.
 * usage_duty.h decides when.
 */
typedef struct {
	usage_sync_t *sync;
	usage_duty_t duty;
	gboolean begun; /* the duty's state has the host's incarnation */
	struct event *timer;

	/* The call to the store in flight, or NULL. */
	table_call_t *call;
	char *next_key;	 /* at which a listing continues */
	int64_t listing; /* window from which on rows are listed */
	int64_t storing; /* window of the report in the write; 0: none */
	char *storing_body;
	usage_counts_t merged; /* of @listing: all domains' rows */
	guint removing;	       /* of the first rows in @stale, in the write */
	msec_t store_retry_at;
	msec_t store_lost_at; /* 0: the last call had an answer */

	/* Of the holder. */
	gboolean has_rows;   /* all rows have been listed since it took over */
	int64_t sent;	     /* reports up to this window were accepted */
	GHashTable *reports; /* int64_t to char *: stored, not accepted yet */
	int64_t read_window; /* whose counts have been read; 0: none */
	GPtrArray *stale;    /* keys of old rows, char * */
	msec_t hold_until;   /* reports wait for counts of an outage */

	/* The call to the platform in flight, or NULL. */
	http_call_t *post;
	int64_t post_window;
	uint64_t post_epoch;
	msec_t next_post_at;
	msec_t open_until;   /* a call without a response may be executed */
	msec_t unheard_at;   /* calls have had no response since; 0: none */
	guint post_failures; /* in a row */

	http_client_t *http;
	metric_id_t holding, taken, lost, stored, accepted, repeated, refused,
	    outranked, skipped;
} usage_report_t;

void usage_report_init(usage_report_t *r, usage_sync_t *sync,
    http_client_t *http, struct event_base *base);
void usage_report_finish(usage_report_t *r);

/** usage_report_leave() - Leave the duty to another host for good. */
void usage_report_leave(usage_report_t *r);

#endif
