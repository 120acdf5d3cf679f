#ifndef COORDINATION_FLEET_MEMBERS_H
#define COORDINATION_FLEET_MEMBERS_H

#include "coordination/fleet.h"

/*
 * The hosts among which a bound is divided that holds for the fleet in any
 * second, whoever starts, stops or sees whom. A host's part depends on the set
 * of members only, and every host that may use its part has the same set:
 *
 * - A member stays one while it restarts, and for MEMBERS_RETIRE_MS after it
 *   left: it serves for some time after its row says that it leaves.
 * - A new host becomes a member MEMBERS_JOIN_MS after its row was written. By
 *   then every other host knows the row, or has not read the rows for
 *   MEMBERS_VIEW_MS and may not use its part.
 * - For MEMBERS_SETTLE_MS after a change of the set, or after the start of this
 *   host, no part may be used: the requests before it and those after it are
 *   then never in the same second.
 *
 * Load: rolling restarts of all hosts, several at a time, while servers of a
 * failure domain come back cold; tens of hosts that join or leave.
 */

#define MEMBERS_JOIN_MS 12000
#define MEMBERS_VIEW_MS 10000
#define MEMBERS_RETIRE_MS 60000
/* A second, the time for which a request may be delayed on its way, and the
 * difference between the hosts' estimates of the store's clock. */
#define MEMBERS_SETTLE_MS 1400
/* The set is up to date for this time: a host that was paused is not. */
#define MEMBERS_UPDATE_MS 600

typedef struct {
	GArray *seeds; /* uint64_t, of all members */
	uint64_t sum;  /* of their hashes; tells sets apart */
	guint generation;
	gboolean self; /* this host is a member */
	msec_t changed_at;
	msec_t updated_at; /* 0: never */
} fleet_members_t;

void fleet_members_init(fleet_members_t *m);
void fleet_members_finish(fleet_members_t *m);

/**
 * fleet_members_update() - Compute the set.
 * @m: the set
 * @fleet: the hosts
 * @now: time; to be called at least each MEMBERS_UPDATE_MS
 */
void fleet_members_update(fleet_members_t *m, const fleet_t *fleet, msec_t now);

/** fleet_members_may_use() - Whether this host may use its part now. */
gboolean fleet_members_may_use(
    const fleet_members_t *m, const fleet_t *fleet, msec_t now);

/**
 * fleet_members_keeps() - Whether a host that starts is still a member.
 * @left_ms: time since its row said that it leaves; negative if it does not
 *
 * Otherwise it joins as a new host, as others may have dropped it.
 */
gboolean fleet_members_keeps(msec_t left_ms);

#endif
