#ifndef STATE_ROUTE_POLICY_H
#define STATE_ROUTE_POLICY_H

#include <stdint.h>

#include "state/catalog.h"
#include "state/endpoint_stats.h"

/*
 * Ways of picking one of several endpoints that may take a request.
 */

typedef enum {
	ROUTE_ROUND_ROBIN, /* in turn, whatever is known */
	ROUTE_LEAST_LOAD,  /* least load in the last report */
	ROUTE_TWO_CHOICES, /* the emptier of two at random, by counts */
	ROUTE_HELD_SLOTS,  /* own part of the slots, then two choices */
} route_policy_kind_t;

typedef struct {
	route_policy_kind_t kind;
	uint64_t random; /* state of the generator; not 0 */
	union {
		struct {
			uint32_t next;
		} round_robin;
		struct {
			uint32_t next;
		} least_load;
		struct {
			uint16_t reserve; /* slots left free when borrowing */
		} held_slots;
	} u;
} route_policy_t;

/* An endpoint that may take the request. */
typedef struct {
	endpoint_id_t id;
	region_id_t region;
	const char *version;
	endpoint_state_t state;
	uint16_t slots;
	uint16_t own;	 /* requests of this host on it */
	uint16_t others; /* requests of other hosts, estimated */
	uint16_t room;	 /* free slots, estimated */
	uint16_t ramp;	 /* slots it should be given while cold */
	uint16_t held;	 /* slots that are this host's part */
	double load;	 /* as reported; 0.5 where nothing was */
	gboolean near;	 /* in the host's failure domain */
	gboolean freed;	 /* an own request ended there just now */
	gboolean shed;	 /* answered "full" a moment ago */
} route_candidate_t;

/**
 * route_policy_init() - Set up a policy.
 * @p: the policy
 * @kind: which
 * @seed: for its random numbers
 */
void route_policy_init(
    route_policy_t *p, route_policy_kind_t kind, uint64_t seed);

/**
 * route_policy_pick() - Pick one of several endpoints.
 * @p: the policy
 * @rows: candidates
 * @n: how many
 *
 * Return: index into @rows, or -1 where by this policy none has room.
 */
int route_policy_pick(
    route_policy_t *p, const route_candidate_t *rows, unsigned int n);

#endif
