#ifndef STATE_PLACING_H
#define STATE_PLACING_H

#include "state/registry.h"

/*
 * Chooses the backend server of a request.
 *
 * A server that handled an object recently runs further requests for it in
 * about a third of the time, and keeps a bounded number of objects. Requests
 * for an object therefore go to the server that ranks first by a hash of the
 * object and the server. All hosts compute the same rank without exchanging
 * messages, and when a server goes, only its own objects move.
 *
 * Requests for an object mostly come from one region. The object stays there,
 * which saves a round trip between regions, unless the region lacks capacity
 * (balance.h).
 *
 * A request that is spilled to another server runs cold there, takes the time
 * of three warm requests and evicts an object. Under heavy load it is refused
 * instead. Requests are spilled only while the service as a whole has free
 * slots, and only to a server most of whose slots are free.
 *
 * An overloaded service first runs the requests that it can still answer in
 * time. A late request is sent to its server only while a slot is free there.
 * Otherwise the queues would fill with requests that are all answered too
 * late.
 */

/* Most requests for each slot at the first server in rank. They run warm, so
 * that those which wait are still answered soon. A server queues about as many
 * more and refuses the rest. */
#define PLACING_DEPTH 3.0
/* Most requests for each slot at the other servers. Requests are spilled only
 * while the whole service has less than PLACING_SPILL_LOAD for each slot. */
#define PLACING_SPILL_DEPTH 0.4
#define PLACING_SPILL_LOAD 0.7
/* A service is overloaded from this number of requests for each slot on. Its
 * queues are then shorter, and late requests don't wait at all. */
#define PLACING_OVERLOAD_LOAD 1.2
#define PLACING_OVERLOAD_DEPTH 2.2
#define PLACING_LATE_DEPTH 1.0
/* Requests with a body of at least this size stay in their region while it has
 * a free slot. */
#define PLACING_LARGE_BYTES 16384
/* A server that refused a request for lack of room gets none for this time: as
 * long as a slot takes to become free. */
#define PLACING_FULL_MS 250

typedef struct {
	backend_t *server;
	double load;	      /* requests of all hosts at the server */
	gboolean same_region; /* in the region of this host */
	gboolean throttled; /* cold; this host's send interval has not passed */
} placing_candidate_t;

typedef struct {
	uint64_t object;    /* hash of the object, or of the request if none */
	gboolean by_object; /* a server that has the object is faster */
	double local_part;  /* part of the objects that stay in the region */
	gboolean
	    prefer_region;   /* large body: servers of this region come first */
	gboolean late;	     /* the latency objective can't be met any more */
	msec_t objective_ms; /* latency objective */
	/* Most requests for each slot that its priority class may use; 0: no
	 * bound. */
	double depth_max;
} placing_request_t;

typedef enum {
	PLACING_SEND,
	PLACING_FULL, /* there are servers, but none has room */
	PLACING_NONE, /* no server may run the request */
} placing_verdict_t;

typedef struct {
	placing_verdict_t verdict;
	backend_t *server;
	msec_t wait_ms;	     /* until a refused caller should try again */
	msec_t room_ms;	     /* PLACING_FULL: until there may be room */
	gboolean overloaded; /* requests that are still in time go first */
	backend_t *first;    /* PLACING_FULL: the first in rank */
	double depth;	  /* requests per slot allowed at the first in rank */
	gboolean bounded; /* @depth is the bound of its class */
	gboolean yields;  /* @bounded, and @first has room beyond it */
} placing_t;

/**
 * placing_choose() - Choose a server.
 * @request: the request
 * @candidates: servers that may run it; reordered by rank
 * @n: number of candidates
 * @now: time
 */
placing_t placing_choose(const placing_request_t *request,
    placing_candidate_t *candidates, guint n, msec_t now);

/**
 * placing_load() - Load of a service.
 * @candidates: servers that may run a request of it
 * @n: number of candidates, at least 1
 * @slots: set to the mean number of slots of a server
 *
 * Return: requests for each slot.
 */
double placing_load(
    const placing_candidate_t *candidates, guint n, double *slots);

/**
 * placing_score() - Rank a server for an object; the highest score is first.
 * @server: the server
 * @object: hash of the object
 */
double placing_score(const backend_t *server, uint64_t object);

#endif
