#ifndef HOST_MOVE_DUTY_H
#define HOST_MOVE_DUTY_H

#include "coordination/move_holder.h"
#include "host/moves.h"
#include "state/judge_feed.h"

/* What the holder of the lease on the duty "moves" does: it advances moves. */

/* Length of a judge's window. */
#define MOVE_WINDOW_MS 1000
/* Upper bound of the probability of a wrong verdict over all windows of a
 * rollout. */
#define MOVE_JUDGE_ALPHA 0.01

/* One move that this host advances. */
typedef struct {
	host_t *host;
	move_holder_t m;
	move_action_t action; /* under way */
	judge_t judge;
	judge_feed_t feed;
	GPtrArray *routes; /* names, indexed by the judge's route numbers */
	move_wait_t logged_wait; /* as last logged */
	share_t judged_share;
	msec_t step_at; /* when that share took effect */
	gboolean waiting, forgotten;
} move_held_t;

/* How an attempt of a request ended. */
typedef struct {
	outcome_t outcome;
	msec_t latency_ms;
	unsigned int band;
} move_try_t;

/**
 * move_duty_tick() - Advance all moves while the lease is held.
 * @h: the host
 * @now: present time
 */
void move_duty_tick(host_t *h, msec_t now);

/**
 * move_duty_drop() - Stop advancing moves, and drop their state.
 * @h: the host
 */
void move_duty_drop(host_t *h);

/**
 * move_duty_on_counts() - Record a host's totals of a rollout.
 * @h: the host
 * @host: host that counted them
 * @incarnation: of its process
 * @move: id of the move
 * @route: name of the route
 * @band: load band
 * @total: of both versions
 */
void move_duty_on_counts(host_t *h, const char *host, uint64_t incarnation,
    const char *move, const char *route, unsigned int band,
    const judge_sample_t *total);

/**
 * move_duty_find() - Find a move that this host advances.
 * @h: the host
 * @id: of the move
 *
 * Return: NULL if this host doesn't advance it.
 */
const move_held_t *move_duty_find(const host_t *h, const char *id);

/**
 * move_held_decide() - Decide the next action from all that this host knows.
 * @held: the move
 */
move_action_t move_held_decide(move_held_t *held);

/**
 * move_route_name() - The name of a route in counts.
 * @r: the route
 *
 * Return: to be freed with g_free().
 */
char *move_route_name(const route_t *r);

/**
 * moves_count_own() - Pass this host's own totals to the judge.
 * @h: the host
 */
void moves_count_own(host_t *h);

#endif
