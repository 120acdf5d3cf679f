#ifndef GATEWAY_GATEWAY_SETTINGS_H
#define GATEWAY_GATEWAY_SETTINGS_H

#include <glib.h>

#include "base/clock.h"
#include "base/log.h"
#include "coordination/dispatch.h"
#include "coordination/rate_lender.h"

/* Settings of an entry host whose fleet lives in a table store. */
typedef struct {
	/* [host] */
	char *id;
	char *region;
	char *domain;	 /* failure domain */
	char *callers;	 /* "IP:PORT" for callers */
	char *lookups;	 /* "IP:PORT" for look-ups */
	char *operators; /* "IP:PORT" for readiness, counters and state */
	char *peers;	 /* "IP:PORT" for beacons of other hosts */
	gint64 drain_ms; /* bound of a graceful stop */
	/* [store] */
	char *store; /* "IP:PORT" */
	/* [domains]: failure domain to region */
	GHashTable *regions;
	/* [bounds] */
	rate_bounds_t rates;
	dispatch_bounds_t dispatch;
	msec_t lookup_ttl_ms;
	/* [limits] */
	gint64 max_connections;
	gint64 body_memory_bytes;
	/* [log] */
	log_level_t log_level;
	gint64 log_lines; /* most lines a second */
} gateway_settings_t;

/**
 * gateway_settings_apply() - Is a settings file of this kind?
 * @path: the file
 *
 * Return: whether its store is a table store; FALSE if it can't be read.
 */
gboolean gateway_settings_apply(const char *path);

/**
 * gateway_settings_init() - Read and check a settings file.
 * @s: memory of the caller
 * @path: the file
 * @errors: takes a line (char *) for each mistake, with its place
 *
 * Return: whether all is right; gateway_settings_finish() is due either way.
 */
gboolean gateway_settings_init(
    gateway_settings_t *s, const char *path, GPtrArray *errors);
void gateway_settings_finish(gateway_settings_t *s);

/**
 * gateway_settings_reload() - Read a file again while serving.
 * @s: the settings in force; bounds and log are replaced
 * @path: the file
 * @errors: takes a line for each mistake; then nothing is replaced
 *
 * Addresses, names and domains hold until the next start.
 */
gboolean gateway_settings_reload(
    gateway_settings_t *s, const char *path, GPtrArray *errors);

#endif
