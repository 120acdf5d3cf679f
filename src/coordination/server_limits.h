#ifndef COORDINATION_SERVER_LIMITS_H
#define COORDINATION_SERVER_LIMITS_H

#include "coordination/rate_lender.h"

/*
 * Keeps all hosts together to the limits that backend servers name in their
 * answers. One host in the server's region lends the tokens to all hosts, since
 * most requests come from there, and a limit of a few requests a second would
 * leave a region less than a token. A host that requests one names the limit
 * that it knows. The lender answers with the latest limit that it received, and
 * with the part of the server's objects that are beyond it. Hosts place these
 * elsewhere.
 *
 * Expected load: most servers of a service in need at the same time, with
 * limits of a few requests a second, and tens of hosts that each send a server
 * less than one.
 */

/* A server's limit, as a host knows it. */
typedef struct {
	uint64_t server;    /* backend_limit_id() */
	double rate;	    /* requests per second, of all hosts */
	msec_t at;	    /* when the server named it */
	const char *region; /* interned; of the server; NULL: this host's */
} server_limit_t;

/* A lender's answer. */
typedef struct {
	gboolean granted;
	msec_t wait_ms;	  /* not granted: time until there may be a token */
	double offloaded; /* part of the server's objects beyond the limit */
	server_limit_t limit;
} server_limit_answer_t;

typedef struct {
	rate_lender_t lender;
	GHashTable *named; /* id of a server to what its lender knows */
} server_limits_t;

void server_limits_init(
    server_limits_t *s, const fleet_t *fleet, const char *region);
void server_limits_finish(server_limits_t *s);

/** server_limits_tick() - Recompute this host's parts; drop unused limits. */
void server_limits_tick(server_limits_t *s, gboolean may_lend, msec_t now);

/**
 * server_limits_take() - Lend a token for a request to a server.
 * @s: the limits that this host lends
 * @limit: the limit, as the host that asks knows it
 * @answer: set
 * @now: time
 */
void server_limits_take(server_limits_t *s, const server_limit_t *limit,
    server_limit_answer_t *answer, msec_t now);

#endif
