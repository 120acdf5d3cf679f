#ifndef COORDINATION_SERVER_PACE_H
#define COORDINATION_SERVER_PACE_H

#include "state/registry.h"

/*
 * Limits what this host sends to a server that is new, back, has recovered from
 * an ejection, or whose cold period has just ended. The server first gets a
 * small part of its share: the objects whose hash lies below the part, so that
 * all hosts choose the same objects without messages. The part doubles while
 * responses stay good and halves at once when they do not. A server that has
 * its whole share and keeps it is not limited any more.
 *
 * A host sees few responses of one server: 85 hosts and 8 requests per second
 * at the server make one response in 11 s. So the part also grows by time, as
 * long as the load that all hosts have there stays near that of the other
 * servers of its service. A server that takes longer than they do has more
 * requests in flight at the same rate.
 *
 * Load: 8 to 300 hosts, one server or a whole failure domain that starts.
 */

/* What is known of the servers of its service that are not limited. */
typedef struct {
	/* mean requests for each slot, smoothed; without such a server, the
	 * load at which others are full */
	double busy;
	double service_ms; /* mean time of a response; 0: unknown */
} pace_service_t;

/* What this host knows of the server. */
typedef struct {
	pace_service_t service;
	uint64_t seed;
	double slots;
	double load;	      /* requests of all hosts, now */
	double busy;	      /* the same for each slot, smoothed */
	gboolean cold;	      /* the cold ramp bounds its requests */
	gboolean trial;	      /* ejected or paused; one request at a time */
	gboolean others_full; /* no other server can take the request */
	guint rank, hosts;    /* of this host among all for the server */
	msec_t sent_at;	      /* when this host last sent it a request */
} pace_view_t;

/* How a request to the server ended. */
typedef enum {
	PACE_GOOD,
	PACE_BAD,     /* rejected, failed, or no response */
	PACE_UNKNOWN, /* says nothing about the server */
} pace_end_t;

/* What an update changed. */
typedef enum {
	PACE_SAME,
	PACE_FORWARD,
	PACE_BACK,
	PACE_OPENED, /* the server is not limited any more */
} pace_change_t;

/** server_pace_begin() - Limit the server, as it starts or was ejected. */
void server_pace_begin(server_pace_t *p, msec_t now);

/**
 * server_pace_update() - Adapt the limit to time and load.
 * @p: the limit
 * @view: what is known of the server
 * @now: time
 */
pace_change_t server_pace_update(
    server_pace_t *p, const pace_view_t *view, msec_t now);

/**
 * server_pace_allows() - Whether this host may send a request to the server.
 * @p: the limit
 * @view: what is known of the server
 * @object: hash of the object, or of the request if it has none
 * @by_object: the request has an object
 * @now: time
 */
gboolean server_pace_allows(const server_pace_t *p, const pace_view_t *view,
    uint64_t object, gboolean by_object, msec_t now);

/**
 * server_pace_ended() - Count the end of a request to a limited server.
 * @p: the limit
 * @end: how it ended
 * @ratio: its time relative to the usual time of its type; 0: unknown
 * @now: time
 */
pace_change_t server_pace_ended(
    server_pace_t *p, pace_end_t end, double ratio, msec_t now);

#endif
