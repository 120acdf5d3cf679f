#ifndef GATEWAY_GATEWAY_SETTINGS_H
#define GATEWAY_GATEWAY_SETTINGS_H

#include <glib.h>

#include "base/clock.h"
#include "base/log.h"
#include "coordination/dispatch.h"
#include "coordination/rate_lender.h"

/* [usage]: reports to the platform's cloud API. */
typedef struct {
	char *address; /* "IP:PORT"; NULL: nothing is counted or reported */
	msec_t window_ms;
	msec_t late_ms; /* a report is due this long after its window */
	msec_t lease_ms;
	msec_t thaw_slack_ms;
	double calls_per_sec; /* of all hosts */
	double tolerance;     /* of a count, as a part of it */
	gboolean
	    fenced; /* the API refuses a token lower than one it has seen */
} usage_settings_t;

/* Settings of an entry host whose fleet keeps its state in a table store. */
typedef struct {
	/* [host] */
	char *id;
	char *region;
	char *domain;	 /* failure domain */
	char *callers;	 /* "IP:PORT" at which callers connect */
	char *lookups;	 /* "IP:PORT" for look-ups */
	char *operators; /* "IP:PORT" for readiness, counters and state */
	char *peers;	 /* "IP:PORT" for datagrams of other hosts */
	gint64 drain_ms; /* bound on a graceful stop */
	/* [store] */
	char *store; /* "IP:PORT" */
	/* [domains]: failure domain to region */
	GHashTable *regions;
	/* [bounds] */
	rate_bounds_t rates;
	dispatch_bounds_t dispatch;
	msec_t lookup_ttl_ms;
	/* [limits] */
	gint64 memory_mb; /* of the machine, in MiB; 0: not known */
	gint64 max_connections;
	gint64 max_descriptors; /* fewer if the process may have fewer */
	gint64 body_memory_bytes;
	gint64 answer_memory_bytes;  /* answers of servers that arrive */
	gint64 reply_memory_bytes;   /* replies that callers have not read */
	gint64 request_memory_bytes; /* heads of requests, of one port */
	gint64 max_header_bytes;     /* request line and header fields */
	gint64 max_header_fields;
	double link_mbps; /* bandwidth of this host's link */
	double cpu_share; /* fraction of a core that this host has */
	/* [usage] */
	usage_settings_t usage;
	/* [log] */
	log_level_t log_level;
	gint64 log_lines; /* maximum lines per second */
} gateway_settings_t;

/**
 * gateway_settings_match() - Whether a settings file names a table store.
 * @path: the file
 *
 * Return: FALSE also if the file can't be read.
 */
gboolean gateway_settings_match(const char *path);

/**
 * gateway_settings_init() - Read and check a settings file.
 * @s: set; owned by the caller
 * @path: the file
 * @errors: gets a line (char *) for each mistake, with its place
 *
 * Return: TRUE if there is no mistake. Call gateway_settings_finish() in either
 * case.
 */
gboolean gateway_settings_init(
    gateway_settings_t *s, const char *path, GPtrArray *errors);
void gateway_settings_finish(gateway_settings_t *s);

/**
 * gateway_settings_reload() - Read a file again while serving.
 * @s: the current settings; bounds and log settings are replaced
 * @path: the file
 * @errors: gets a line (char *) for each mistake; then nothing is replaced
 *
 * Changed addresses, names and domains take effect at the next start only.
 */
gboolean gateway_settings_reload(
    gateway_settings_t *s, const char *path, GPtrArray *errors);

#endif
