#ifndef COORDINATION_FLEET_H
#define COORDINATION_FLEET_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"
#include "state/judge.h"

/*
 * The entry hosts that this host knows: their rows in the store, and the status
 * that each last reported in its beacons. Beacons are datagrams; a lost one is
 * compensated for by the next.
 */

/* A host without a beacon for this long is silent. */
#define FLEET_SILENT_MS 2500
/* Maximum number of version shifts that a beacon reports. */
#define FLEET_SHIFTS_MAX 4
/* Samples in the report of a version shift; routes share them by hash. */
#define FLEET_SHIFT_ROUTES 8

/* One host's totals of a version shift since its start. */
typedef struct {
	uint32_t service;     /* hash of its name */
	uint32_t to;	      /* hash of the new version */
	uint32_t old_running; /* requests on servers of other versions */
	uint32_t new_running; /* requests on servers of the new version */
	judge_sample_t routes[FLEET_SHIFT_ROUTES];
} fleet_shift_t;

/* What a host reports about itself in a beacon. */
typedef struct {
	uint64_t host;	      /* hash of its name */
	uint64_t incarnation; /* larger at each start */
	uint32_t seq;
	gboolean ready;
	gboolean leaving;
	gboolean reaches_store; /* the store answers its calls */
	uint64_t config;	/* version of the manifest in force */
	uint64_t orders;	/* version of the orders that it has read */
	GArray *demands;	/* fleet_amount_t: workspace, 0.1 requests/s */
	GArray *loads;		/* fleet_amount_t: server, requests under way */
	fleet_shift_t shifts[FLEET_SHIFTS_MAX];
	guint nshifts;
} fleet_status_t;

/* A number for a name. The name is identified by a part of its hash. */
typedef struct {
	uint32_t name; /* FLEET_NAME_BITS of the hash */
	uint32_t amount;
} fleet_amount_t;

#define FLEET_NAME_BITS 20
#define FLEET_AMOUNT_MAX ((UINT32_C(1) << (32 - FLEET_NAME_BITS)) - 1)

typedef struct {
	char *name;
	uint64_t seed; /* hash of the name */
	char *callers; /* "IP:PORT" */
	char *peer;    /* "IP:PORT" for beacons */
	char *region;
	char *domain;
	uint64_t incarnation;
	uint64_t row_ver;
	msec_t heard_at;       /* 0: never */
	gboolean first_beacon; /* first beacon of its incarnation */
	msec_t silent_ms; /* gap before the last beacon; 0: no earlier one */
	fleet_status_t status;
} fleet_host_t;

typedef struct {
	uint64_t self;	  /* hash of this host's name */
	GPtrArray *hosts; /* fleet_host_t, without this host */
} fleet_t;

/* A host's row in the store. */
typedef struct {
	const char *name, *callers, *peer, *region, *domain;
	uint64_t incarnation;
	uint64_t row_ver;
} fleet_row_t;

void fleet_init(fleet_t *f, const char *self);
void fleet_finish(fleet_t *f);

void fleet_status_init(fleet_status_t *n);
void fleet_status_finish(fleet_status_t *n);

/** fleet_name() - The part of a hash that identifies a name in beacons. */
uint32_t fleet_name(uint64_t hash);

/** fleet_put() - Apply a host's row; this host's own row is ignored. */
void fleet_put(fleet_t *f, const fleet_row_t *row);

/** fleet_remove() - Remove a host whose row was deleted. */
void fleet_remove(fleet_t *f, const char *name);

/**
 * fleet_receive() - Process a received beacon.
 * @f: the fleet
 * @status: its content; swapped with the host's previous status, so that the
 *	caller calls fleet_status_finish() on it in any case
 * @now: time
 *
 * Return: the host, or NULL if the beacon is outdated or its host is unknown.
 */
fleet_host_t *fleet_receive(fleet_t *f, fleet_status_t *status, msec_t now);

gboolean fleet_is_live(const fleet_host_t *h, msec_t now);

/** fleet_size() - Number of hosts, this one included. */
guint fleet_size(const fleet_t *f);

/**
 * fleet_rank() - Rank of this host among the hosts that are ready and live.
 *
 * Return: 0 for the host that performs the duties.
 */
guint fleet_rank(const fleet_t *f, msec_t now);

/**
 * fleet_reader_rank() - Rank among the hosts of a region that reach the store.
 */
guint fleet_reader_rank(const fleet_t *f, const char *region, msec_t now);

/** fleet_amount() - A host's number for a name; 0 if it reported none. */
uint32_t fleet_amount(const GArray *amounts, uint64_t hash);

typedef struct {
	const char *callers, *region, *domain;
	gboolean ready;
} fleet_self_t;

/**
 * fleet_lookup() - Addresses for a caller: the live hosts of its region, or all
 * live hosts if its region has none.
 * @f: the fleet
 * @self: this host
 * @region: the caller's region, or NULL
 * @out: addresses are appended; they are owned by the fleet or @self
 * @now: time
 */
void fleet_lookup(const fleet_t *f, const fleet_self_t *self,
    const char *region, GPtrArray *out, msec_t now);

#endif
