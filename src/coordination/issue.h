#ifndef COORDINATION_ISSUE_H
#define COORDINATION_ISSUE_H

#include "coordination/commit.h"
#include "state/digest.h"

/*
 * One issue of a key at the host that takes it: a write on condition that
 * the key's row does not exist, then the spread by the hosts' own scans and
 * by fetches from peers.
 */

/* Nothing is tried any more after this, if surely nothing has taken effect. */
#define ISSUE_GIVE_UP_MS 10000

typedef enum {
	ISSUE_WRITING,
	ISSUE_UNKNOWN, /* the store can't tell whether it took effect */
	ISSUE_ACCEPTED,
	ISSUE_DONE,	/* every live host accepts the key */
	ISSUE_CONFLICT, /* the key exists, or was withdrawn; no effect */
	ISSUE_FAILED,	/* no effect, and none will follow */
} issue_state_t;

typedef struct {
	issue_state_t state;
	digest_t digest;
	uint64_t token;
	commit_t commit; /* its version is the row's, once accepted */
	guint hosts, hosts_reached;
} issue_t;

/**
 * issue_begin() - Take an issue.
 * @i: memory of the caller
 * @digest: digest of the key
 * @token: random; the operator's command repeats it in a retry
 * @now: time
 *
 * Return: COMMIT_WRITE. For this and the next three, the caller carries out
 * the action with the number i->commit.attempt, and looks at i->state.
 */
commit_action_t issue_begin(
    issue_t *i, const digest_t *digest, uint64_t token, msec_t now);

/* See commit_written(). */
commit_action_t issue_written(issue_t *i, uint32_t attempt,
    write_result_t result, uint64_t version, msec_t now);

/* See commit_read(); PLACE_OURS if the row carries our token. */
commit_action_t issue_read(
    issue_t *i, uint32_t attempt, place_t place, uint64_t version, msec_t now);

/**
 * issue_tick() - Time has passed, or a host has told its keys version.
 * @i: the issue
 * @reached: live hosts complete up to the row's version or beyond
 * @hosts: live hosts, this one included
 * @now: time
 *
 * Return: what to do next.
 */
commit_action_t issue_tick(issue_t *i, guint reached, guint hosts, msec_t now);

const char *issue_state_name(issue_state_t state);

#endif
