#ifndef HOST_SETTINGS_H
#define HOST_SETTINGS_H

#include <glib.h>

#include "base/log.h"

/* Settings of one entry host, from its INI file. */
typedef struct {
	/* [host] */
	char *id;
	char *region;
	char *domain;	 /* failure domain */
	char *callers;	 /* "IP:PORT" for callers */
	char *rpc;	 /* "IP:PORT" for hosts and the operators' command */
	char *operators; /* "IP:PORT" for counters and state over HTTP */
	gint64 drain_ms; /* bound on a graceful stop */
	/* [store] */
	char *store;	/* "IP:PORT" */
	gint64 mark_ms; /* interval of marks, by which rows are aged */
	/* [fleet] */
	char *secret_file;
	/* [limits] */
	gint64 memory_mb; /* of the machine, in MiB; 0: not known */
	gint64 max_body_bytes;
	gint64 body_memory_bytes;
	gint64 max_connections;
	gint64 request_memory_bytes; /* heads of requests, of one port */
	gint64 max_header_bytes;     /* request line and header fields */
	gint64 max_header_fields;
	gint64 max_queue; /* requests that may wait for a slot, per service */
	/* [tls], both NULL where callers use plain HTTP */
	char *certificate;
	char *key;
	/* [measure] */
	gboolean baseline; /* use the simple policies, for comparison */
	/* [log] */
	log_level_t log_level;
} settings_t;

/**
 * settings_init() - Read and check a settings file.
 * @s: memory of the caller
 * @path: the file
 * @errors: gets a line (char *) for each mistake, with its position
 *
 * Return: whether there was no mistake; call settings_finish() in either case.
 */
gboolean settings_init(settings_t *s, const char *path, GPtrArray *errors);
void settings_finish(settings_t *s);

#endif
