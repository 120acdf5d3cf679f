#include <string.h>

#include "coordination/issue.h"

static issue_state_t
state_of_commit(const commit_t *c)
{
	switch (c->state) {
	case COMMIT_RUNNING:
	case COMMIT_WAITING:
		return ISSUE_WRITING;
	case COMMIT_UNKNOWN:
		return ISSUE_UNKNOWN;
	case COMMIT_ACCEPTED:
		return ISSUE_ACCEPTED;
	case COMMIT_CONFLICT:
		return ISSUE_CONFLICT;
	case COMMIT_FAILED:
		return ISSUE_FAILED;
	}
	return ISSUE_UNKNOWN;
}

static commit_action_t
follow(issue_t *i, commit_action_t action)
{
	if (i->state != ISSUE_DONE)
		i->state = state_of_commit(&i->commit);
	return action;
}

commit_action_t
issue_begin(issue_t *i, const digest_t *digest, uint64_t token, msec_t now)
{
	memset(i, 0, sizeof(*i));
	i->digest = *digest;
	i->token = token;
	return follow(i, commit_begin(&i->commit, now + ISSUE_GIVE_UP_MS));
}

commit_action_t
issue_written(issue_t *i, uint32_t attempt, write_result_t result,
    uint64_t version, msec_t now)
{
	return follow(
	    i, commit_written(&i->commit, attempt, result, version, now));
}

commit_action_t
issue_read(issue_t *i, uint32_t attempt, commit_target_t target,
    uint64_t version, msec_t now)
{
	return follow(
	    i, commit_read(&i->commit, attempt, target, version, now));
}

commit_action_t
issue_tick(issue_t *i, guint reached, guint hosts, msec_t now)
{
	commit_action_t action = follow(i, commit_tick(&i->commit, now));

	i->hosts = hosts;
	i->hosts_reached = reached;
	if (i->state == ISSUE_ACCEPTED && reached == hosts)
		i->state = ISSUE_DONE;
	return action;
}

const char *
issue_state_name(issue_state_t state)
{
	switch (state) {
	case ISSUE_WRITING:
		return "writing";
	case ISSUE_UNKNOWN:
		return "unknown";
	case ISSUE_ACCEPTED:
		return "accepted";
	case ISSUE_DONE:
		return "done";
	case ISSUE_CONFLICT:
		return "conflict";
	case ISSUE_FAILED:
		return "failed";
	}
	return "unknown";
}
