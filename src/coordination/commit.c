#include <string.h>

#include "coordination/commit.h"

static commit_action_t
send(commit_t *c, commit_step_t step)
{
	c->step = step;
	c->attempt++;
	return step == COMMIT_WRITE_SENT ? COMMIT_WRITE : COMMIT_READ;
}

static commit_action_t
settle(commit_t *c, commit_state_t state, uint64_t version, msec_t now)
{
	c->state = state;
	c->step = COMMIT_IDLE;
	c->version = version;
	if (state == COMMIT_ACCEPTED)
		c->accepted_at = now;
	return COMMIT_NOTHING;
}

static commit_action_t
retry_later(commit_t *c, msec_t now)
{
	c->step = COMMIT_IDLE;
	c->retry_at = now + COMMIT_RETRY_MS;
	/* After a conflict, another host may have written our token. */
	c->state = c->lost || c->refused ? COMMIT_UNKNOWN : COMMIT_WAITING;
	return COMMIT_NOTHING;
}

commit_action_t
commit_begin(commit_t *c, msec_t give_up_at)
{
	memset(c, 0, sizeof(*c));
	c->persist = give_up_at == 0;
	c->give_up_at = give_up_at;
	return send(c, COMMIT_WRITE_SENT);
}

gboolean
commit_settled(const commit_t *c)
{
	return c->state == COMMIT_ACCEPTED || c->state == COMMIT_CONFLICT ||
	    c->state == COMMIT_FAILED;
}

commit_action_t
commit_written(commit_t *c, uint32_t attempt, write_result_t result,
    uint64_t version, msec_t now)
{
	gboolean current =
	    attempt == c->attempt && c->step == COMMIT_WRITE_SENT;

	if (commit_settled(c))
		return COMMIT_NOTHING;
	if (result == WRITE_WON)
		return settle(c, COMMIT_ACCEPTED, version, now);
	if (!current)
		return COMMIT_NOTHING;
	switch (result) {
	case WRITE_WON:
	case WRITE_UNREACHABLE:
		return retry_later(c, now);
	case WRITE_LOST:
		c->lost = TRUE;
		return send(c, COMMIT_READ_SENT);
	case WRITE_CONFLICT:
		c->refused = TRUE;
		return send(c, COMMIT_READ_SENT);
	case WRITE_FENCED:
		c->fenced = TRUE;
		return send(c, COMMIT_READ_SENT);
	}
	return COMMIT_NOTHING;
}

static commit_action_t
place_is_open(commit_t *c, msec_t now)
{
	if (c->fenced)
		return settle(c, COMMIT_FAILED, 0, now);
	if (c->refused && !c->lost && !c->persist)
		return settle(c, COMMIT_CONFLICT, 0, now);
	return send(c, COMMIT_WRITE_SENT);
}

commit_action_t
commit_read(commit_t *c, uint32_t attempt, commit_target_t target,
    uint64_t version, msec_t now)
{
	if (commit_settled(c) || attempt != c->attempt ||
	    c->step != COMMIT_READ_SENT)
		return COMMIT_NOTHING;
	switch (target) {
	case COMMIT_TARGET_OURS:
		return settle(c, COMMIT_ACCEPTED, version, now);
	case COMMIT_TARGET_OTHERS:
		return settle(c, COMMIT_CONFLICT, version, now);
	case COMMIT_TARGET_UNCHANGED:
		return place_is_open(c, now);
	case COMMIT_TARGET_UNREAD:
		return retry_later(c, now);
	}
	return COMMIT_NOTHING;
}

commit_action_t
commit_tick(commit_t *c, msec_t now)
{
	if (commit_settled(c) || c->step != COMMIT_IDLE || now < c->retry_at)
		return COMMIT_NOTHING;
	if (c->lost || c->refused || c->fenced)
		return send(c, COMMIT_READ_SENT);
	if (!c->persist && now >= c->give_up_at)
		return settle(c, COMMIT_FAILED, 0, now);
	return send(c, COMMIT_WRITE_SENT);
}
