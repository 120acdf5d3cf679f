#ifndef COORDINATION_FLEET_H
#define COORDINATION_FLEET_H

#include "coordination/fleet_status.h"

/*
 * The entry hosts that this host knows: their rows in the store, and what the
 * summaries of the failure domains say about them. A domain's summary is made
 * by its collector (collector.h). Of several collectors of one domain, the
 * first in rank is believed. A summary is a datagram; a lost one is compensated
 * for by the next.
 *
 * Load: hundreds of hosts. State and work of a host grow with the number of
 * domains and of hosts, not with the product of hosts and servers.
 */

/* A host from which its collector got no status for this long is silent. */
#define FLEET_SILENT_MS 2500
/* The hosts of a domain without a summary for this long are silent. The next
 * collectors in rank take over sooner. */
#define FLEET_DOMAIN_SILENT_MS 3000
/* A collector without a summary for this long is replaced by another that is
 * heard. */
#define FLEET_SOURCE_MS 1200

typedef struct {
	char *name;
	uint64_t seed; /* hash of the name */
	char *callers; /* "IP:PORT" */
	char *peer;    /* "IP:PORT" for datagrams */
	char *region;
	char *domain;
	uint64_t domain_seed; /* hash of the domain's name */
	guint strength;	      /* fleet_strength() */
	uint64_t incarnation; /* by its row */
	uint64_t row_ver;
	msec_t known_at;  /* when its row was first seen */
	msec_t joined_at; /* first start, by its row */

	/* By the summaries of its domain. */
	msec_t heard_at; /* last listed; 0: never, or it is silent */
	gboolean ready, leaving, reaches_store;
	/* Newest summary that it made as a collector. */
	uint64_t summary_incarnation;
	uint32_t summary_seq;
} fleet_host_t;

/* A host whose row says that it left. It may still serve. */
typedef struct {
	uint64_t seed;
	msec_t joined_at, left_at;
} fleet_departed_t;

/* A failure domain, and its summary in use. */
typedef struct {
	uint64_t seed;
	const char *region; /* interned */
	uint64_t source;    /* seed of its collector */
	guint source_strength;
	msec_t heard_at;	 /* 0: never */
	msec_t silent_ms;	 /* gap before the last summary */
	gboolean source_changed; /* by the last summary */
	fleet_summary_t summary; /* without this host's own part */
	uint32_t listed_ver;	 /* list_ver when the list was last bundled */
	guint list_sends;	 /* of the list, since it changed */
} fleet_domain_t;

/* What this host reported, by the number of the status. */
#define FLEET_SENT_MAX 16

typedef struct {
	uint64_t self;	 /* hash of this host's name */
	uint64_t domain; /* hash of its domain's name */
	char *region;	 /* its region */
	guint strength;
	gboolean joined;	/* this host's row was written */
	msec_t joined_at;	/* its first start */
	msec_t synced_at;	/* the rows were known as of then; 0: never */
	msec_t ticked_at;	/* last fleet_tick() */
	msec_t listening_since; /* start, or end of the last pause */
	GPtrArray *hosts;	/* fleet_host_t, without this host */
	GArray *departed;	/* fleet_departed_t */
	GHashTable *seeds;	/* seed to fleet_host_t */
	GPtrArray *domains;	/* fleet_domain_t of which a summary came */
	guint generation;	/* changes when a host is added or removed */
	fleet_status_t sent[FLEET_SENT_MAX];
	guint sent_next;
} fleet_t;

/* A host's row in the store. */
typedef struct {
	const char *name, *callers, *peer, *region, *domain;
	uint64_t incarnation;
	uint64_t row_ver;
	guint strength;
	msec_t joined_at;
} fleet_row_t;

void fleet_init(fleet_t *f, const char *self);
void fleet_finish(fleet_t *f);

/** fleet_locate() - Set where this host is, and how strong it is. */
void fleet_locate(
    fleet_t *f, const char *region, const char *domain, guint strength);

/**
 * fleet_strength() - A rough measure of what a host can do besides serving.
 * @link_mbps: bandwidth of its link
 * @cpu_share: fraction of a core
 *
 * Return: a number that is one larger for each doubling of the scarcer of both.
 */
guint fleet_strength(double link_mbps, double cpu_share);

/** fleet_put() - Apply a host's row; this host's own row is ignored. */
void fleet_put(fleet_t *f, const fleet_row_t *row, msec_t now);

/**
 * fleet_knows_newer() - Is a host known to have left, or a newer start of it?
 * @f: the fleet
 * @name: name of the host
 * @incarnation: of the start in question
 * @started_at: time of that start
 *
 * Rows of older starts come back with a copy of the store.
 */
gboolean fleet_knows_newer(const fleet_t *f, const char *name,
    uint64_t incarnation, msec_t started_at);

/** fleet_remove() - Remove a host whose row was deleted. */
void fleet_remove(fleet_t *f, const char *name);

/** fleet_depart() - Remove a host whose row says that it left. */
void fleet_depart(
    fleet_t *f, const char *name, msec_t joined_at, msec_t left_at);

/** fleet_join() - This host's row was written. */
void fleet_join(fleet_t *f, msec_t joined_at);

/** fleet_synced() - All rows of the hosts are known as of @at. */
void fleet_synced(fleet_t *f, msec_t at);

/**
 * fleet_tick() - Notice pauses of this process; to be called every few tenths
 * of a second.
 */
void fleet_tick(fleet_t *f, msec_t now);

/**
 * fleet_is_informed() - Whether all hosts that can be heard have been heard.
 * @f: the fleet
 * @now: time
 *
 * After a start or a pause of this process, silence of a failure domain says
 * nothing until its collector had time to be heard.
 */
gboolean fleet_is_informed(const fleet_t *f, msec_t now);

/** fleet_find() - A host by its seed; NULL if it is unknown. */
fleet_host_t *fleet_find(const fleet_t *f, uint64_t seed);

/** fleet_sent() - Record a status that this host reports; it is copied. */
void fleet_sent(fleet_t *f, const fleet_status_t *status);

/* Which status of this host a summary of its domain contains. */
typedef struct {
	uint64_t incarnation;
	uint32_t seq; /* 0: none */
} fleet_ack_t;

/**
 * fleet_receive() - Take in a summary.
 * @f: the fleet
 * @summary: the summary; swapped with the one in use, so the caller finishes it
 *	in any case
 * @ack: for the summary of this host's domain
 * @now: time
 *
 * What this host reported itself is subtracted from the sums of its domain.
 *
 * Return: the domain, or NULL if the summary is outdated, its collector is
 * unknown, or a better one is in use.
 */
fleet_domain_t *fleet_receive(
    fleet_t *f, fleet_summary_t *summary, const fleet_ack_t *ack, msec_t now);

gboolean fleet_is_live(const fleet_host_t *h, msec_t now);

/** fleet_is_fresh() - Whether a domain's summary counts. */
gboolean fleet_is_fresh(const fleet_domain_t *d, msec_t now);

/** fleet_size() - Number of hosts, this one included. */
guint fleet_size(const fleet_t *f);

/** fleet_count_region() - Number of live hosts in a region, this one included.
 */
guint fleet_count_region(const fleet_t *f, const char *region, msec_t now);

/**
 * fleet_rank() - Rank of this host among the hosts that are ready and live.
 *
 * Return: 0 for the host that performs the duties.
 */
guint fleet_rank(const fleet_t *f, msec_t now);

/**
 * fleet_reader_rank() - Rank among the hosts of a region that reach the store;
 * region NULL: of all regions.
 */
guint fleet_reader_rank(const fleet_t *f, const char *region, msec_t now);

/**
 * fleet_collector_rank() - Rank of this host among those of its domain that may
 * be live.
 */
guint fleet_collector_rank(const fleet_t *f, msec_t now);

/**
 * fleet_collectors() - The first hosts in rank of a domain that may be live.
 * @f: the fleet
 * @domain: hash of its name
 * @out: set to at most @max hosts, without this one
 * @max: size of @out
 * @now: time
 *
 * Return: the number of hosts.
 */
guint fleet_collectors(const fleet_t *f, uint64_t domain,
    const fleet_host_t **out, guint max, msec_t now);

/* Maximum number of hosts that fleet_targets() returns. */
#define FLEET_TARGETS_MAX 4

/**
 * fleet_targets() - Hosts to which what is for a domain's collector is sent.
 * @f: the fleet
 * @domain: hash of its name
 * @out: set to at most FLEET_TARGETS_MAX hosts
 * @now: time
 *
 * Return: the number of hosts: one while its collector is heard, else the first
 * in rank and its last collector.
 */
guint fleet_targets(
    const fleet_t *f, uint64_t domain, const fleet_host_t **out, msec_t now);

/** fleet_list_is_due() - Whether a summary is sent with its list this time. */
gboolean fleet_list_is_due(fleet_domain_t *d);

/** fleet_domain() - A domain of which a summary came, or NULL. */
fleet_domain_t *fleet_domain(const fleet_t *f, uint64_t seed);

/* What decides between two collectors of one domain. */
typedef struct {
	guint listed; /* hosts that it hears */
	guint strength;
	uint64_t seed;
} fleet_claim_t;

/** fleet_precedes() - Whether a host ranks before another one: the stronger
 * first, then by seed.
 */
gboolean fleet_precedes(
    guint strength, uint64_t seed, guint other_strength, uint64_t other_seed);

/**
 * fleet_claim_precedes() - Whether a collector is believed before another.
 *
 * One that hears less than half as many hosts was cut off. Else rank decides.
 */
gboolean fleet_claim_precedes(const fleet_claim_t *a, const fleet_claim_t *b);

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
