#ifndef STATE_ROUTE_POLICY_H
#define STATE_ROUTE_POLICY_H

#include <stdint.h>

#include "state/catalog.h"
#include "state/endpoint_stats.h"

/*
 * Policies that pick one of several endpoints that may take a request.
 */

typedef enum {
	ROUTE_ROUND_ROBIN, /* in turn, without regard to statistics */
	ROUTE_LEAST_LOAD,  /* least load in the last report */
	ROUTE_TWO_CHOICES, /* of two random ones, that with the lower counts */
	ROUTE_ASSIGNED_SLOTS, /* this host's assigned slots, then two choices */
} route_policy_kind_t;

typedef struct {
	route_policy_kind_t kind;
	uint64_t random; /* state of the random generator; not 0 */
	union {
		struct {
			uint32_t next;
		} round_robin;
		struct {
			uint32_t next;
		} least_load;
		struct {
			/* slots left free when using those of other hosts */
			uint16_t reserve;
		} assigned_slots;
	} u;
} route_policy_t;

/* An endpoint that may take the request. */
typedef struct {
	endpoint_id_t id;
	region_id_t region;
	const char *version;
	endpoint_state_t state;
	uint16_t slots;
	uint16_t own;	      /* requests of this host on it */
	uint16_t others;      /* requests of other hosts, estimated */
	uint16_t room;	      /* free slots, estimated */
	uint16_t ramp;	      /* slots that may be used while it is cold */
	uint16_t assigned;    /* slots assigned to this host */
	double load;	      /* as reported; 0.5 without a report */
	gboolean same_domain; /* in this host's failure domain */
	gboolean freed;	      /* a request of this host ended there just now */
	gboolean shed;	      /* recently refused a request for lack of room */
} route_candidate_t;

/**
 * route_policy_init() - Set up a policy.
 * @p: the policy
 * @kind: which policy
 * @seed: seed of its random numbers
 */
void route_policy_init(
    route_policy_t *p, route_policy_kind_t kind, uint64_t seed);

/**
 * route_policy_pick() - Pick one of several endpoints.
 * @p: the policy
 * @rows: candidates
 * @n: number of candidates
 *
 * Return: index into @rows, or -1 if by this policy none has a free slot.
 */
int route_policy_pick(
    route_policy_t *p, const route_candidate_t *rows, unsigned int n);

#endif
