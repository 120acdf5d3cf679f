#ifndef COORDINATION_FLEET_STATUS_H
#define COORDINATION_FLEET_STATUS_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"
#include "state/judge.h"

/*
 * What hosts report about themselves to each other: the status of one host, and
 * the summary of a failure domain, in which its collector sums up the statuses
 * of the domain's hosts. Each report replaces the one before.
 */

/* Maximum number of version shifts that a status reports. */
#define FLEET_SHIFTS_MAX 4
/* Samples in the report of a version shift; routes share them by hash. */
#define FLEET_SHIFT_ROUTES 8

/* Totals of a version shift since the start of a host. */
typedef struct {
	uint32_t service;     /* hash of its name */
	uint32_t to;	      /* hash of the new version */
	uint32_t old_running; /* requests on servers of other versions */
	uint32_t new_running; /* requests on servers of the new version */
	judge_sample_t routes[FLEET_SHIFT_ROUTES];
} fleet_shift_t;

/* A number for a name. The name is identified by a part of its hash. */
typedef struct {
	uint32_t name; /* FLEET_NAME_BITS of the hash */
	uint32_t amount;
} fleet_amount_t;

/* Maximum number of workspaces and of servers in a status or summary. */
#define FLEET_AMOUNTS_MAX 1024

#define FLEET_NAME_BITS 20
#define FLEET_AMOUNT_MAX ((UINT32_C(1) << (32 - FLEET_NAME_BITS)) - 1)

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

/* A host in a summary. */
typedef struct {
	uint32_t name;	      /* fleet_short_name() of the host */
	uint32_t incarnation; /* FLEET_INCARNATION_BITS of it */
	gboolean ready, leaving, reaches_store;
} fleet_listed_t;

#define FLEET_INCARNATION_BITS 28
/* Maximum number of hosts in a summary. */
#define FLEET_LIST_MAX 256

/* A failure domain's summary. */
typedef struct {
	uint64_t domain; /* hash of its name */
	/* Identity, number and flags are those of the collector; orders is the
	 * newest version that a host has read; the rest are sums. */
	fleet_status_t sums;
	uint32_t listed;   /* number of hosts in the list */
	uint32_t list_ver; /* changes with the list */
	gboolean has_list; /* a summary may omit an unchanged list */
	GArray *list;	   /* fleet_listed_t: the hosts that are not silent */
} fleet_summary_t;

void fleet_status_init(fleet_status_t *s);
void fleet_status_finish(fleet_status_t *s);
void fleet_status_copy(fleet_status_t *to, const fleet_status_t *from);

void fleet_summary_init(fleet_summary_t *s);
void fleet_summary_finish(fleet_summary_t *s);

/** fleet_name() - The part of a hash that identifies an amount's name. */
uint32_t fleet_name(uint64_t hash);

/** fleet_short_name() - The part of a hash that identifies a listed host. */
uint32_t fleet_short_name(uint64_t hash);

/** fleet_short_incarnation() - The part of an incarnation in a list. */
uint32_t fleet_short_incarnation(uint64_t incarnation);

/** fleet_amount() - The number for a name; 0 if there is none. Needs order. */
uint32_t fleet_amount(const GArray *amounts, uint64_t hash);

/** fleet_amounts_sort() - Order amounts by name; add up those of one name. */
void fleet_amounts_sort(GArray *amounts);

/* How fleet_amounts_merge() joins two numbers of one name. */
typedef enum {
	FLEET_ADD,
	FLEET_ADD_KNOWN, /* the same; only shifts that @to has */
	FLEET_SUBTRACT,	 /* not below 0 */
	FLEET_MAX,
} fleet_merge_t;

/**
 * fleet_amounts_merge() - Join the numbers of @from with those of @to.
 * @to: in order; stays in order
 * @from: in order
 * @how: what becomes of two numbers of one name
 */
void fleet_amounts_merge(GArray *to, const GArray *from, fleet_merge_t how);

/** fleet_shift_of() - The totals of a shift, or NULL. */
fleet_shift_t *fleet_shift_of(
    const fleet_status_t *s, uint32_t service, uint32_t to);

/**
 * fleet_shifts_merge() - Add or subtract totals of shifts.
 *
 * A shift that @to lacks is added to it while there is room. Subtracting never
 * goes below 0.
 */
void fleet_shifts_merge(
    fleet_status_t *to, const fleet_status_t *from, fleet_merge_t how);

#endif
