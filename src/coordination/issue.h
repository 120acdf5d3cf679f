#ifndef COORDINATION_ISSUE_H
#define COORDINATION_ISSUE_H

#include "coordination/commit.h"
#include "state/digest.h"

/*
 * The issue of one key, on the host that received the operator's command. The
 * host writes the key's row on condition that it does not exist. Other hosts
 * learn of the key by their own scans and by fetching keys from peers.
 */

/*
 * The issue fails after this time if it is certain that no write has taken
 * effect.
 */
#define ISSUE_GIVE_UP_MS 10000

typedef enum {
	ISSUE_WRITING,
	ISSUE_UNKNOWN,	/* not known whether it took effect; still retried */
	ISSUE_ACCEPTED, /* the row is written; not yet on every live host */
	ISSUE_DONE,	/* every live host accepts the key */
	ISSUE_CONFLICT, /* no effect: the key exists or was withdrawn */
	ISSUE_FAILED,	/* no effect, now or later */
} issue_state_t;

typedef struct {
	issue_state_t state;
	digest_t digest;
	uint64_t token;
	commit_t commit; /* once accepted, holds the row's version */
	guint hosts, hosts_reached;
} issue_t;

/**
 * issue_begin() - Start to issue a key.
 * @i: memory of the caller
 * @digest: digest of the key
 * @token: random; the operator's command repeats it in a retry
 * @now: time
 *
 * Return: COMMIT_WRITE. After this and the next three functions the caller
 * carries out the returned action, with the attempt number i->commit.attempt,
 * and reads i->state.
 */
commit_action_t issue_begin(
    issue_t *i, const digest_t *digest, uint64_t token, msec_t now);

/* See commit_written(). */
commit_action_t issue_written(issue_t *i, uint32_t attempt,
    write_result_t result, uint64_t version, msec_t now);

/* See commit_read(). The target is COMMIT_TARGET_OURS if the row has our token.
 */
commit_action_t issue_read(issue_t *i, uint32_t attempt, commit_target_t target,
    uint64_t version, msec_t now);

/**
 * issue_tick() - Process the passage of time or a host's new keys version.
 * @i: the issue
 * @reached: number of live hosts whose keys are complete up to the row's
 *	version or a later one
 * @hosts: number of live hosts, this one included
 * @now: time
 *
 * Return: the next action.
 */
commit_action_t issue_tick(issue_t *i, guint reached, guint hosts, msec_t now);

const char *issue_state_name(issue_state_t state);

#endif
