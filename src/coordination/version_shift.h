#ifndef COORDINATION_VERSION_SHIFT_H
#define COORDINATION_VERSION_SHIFT_H

#include "base/clock.h"
#include "state/judge.h"
#include "state/split.h"

/*
 * Moves a service's traffic to a new version of its servers within a given
 * time, or takes the new version back. The share of the new version follows
 * from the time since the start alone, so that hosts agree on it without a
 * message for each step: a small share for more than half of the time, in
 * which the new version is judged beside the old one; then steps up to all,
 * early enough that requests to the old version have ended before the end.
 */

typedef enum {
	SHIFT_RUNNING,
	SHIFT_COMPLETED,   /* all traffic goes to the new version */
	SHIFT_ROLLED_BACK, /* none does, for good */
} shift_state_t;

typedef struct {
	char *service;
	char *to;	    /* the new version */
	msec_t duration_ms; /* within which it is to be done */
	msec_t began_at;
	shift_state_t state;
	judge_t judge;
} version_shift_t;

/**
 * version_shift_share() - Share of the new version by time alone.
 * @elapsed_ms: since the start
 * @duration_ms: in which the shift is to be done
 */
share_t version_shift_share(msec_t elapsed_ms, msec_t duration_ms);

/* What was seen of the new version so far, by all hosts that are heard. */
typedef struct {
	judge_sample_t total; /* requests of the move that have ended */
	guint fresh_running;  /* at servers of the new version */
} shift_seen_t;

/**
 * version_shift_clear() - Was enough good seen of the new version to go on?
 * @seen: what was seen
 * @elapsed_ms: since the start
 * @duration_ms: in which the shift is to be done
 *
 * Until then a move stays at its first share. What is missing does not count
 * as good: a slow version's answers come late, and hosts that start anew have
 * lost what they saw. A service without requests goes on by time.
 */
gboolean version_shift_clear(
    const shift_seen_t *seen, msec_t elapsed_ms, msec_t duration_ms);

/* What the holder of the duty writes next. */
typedef enum {
	SHIFT_GO_ON,
	SHIFT_COMPLETE,
	SHIFT_TAKE_BACK,
} shift_decision_t;

typedef struct {
	msec_t elapsed_ms;
	msec_t duration_ms;
	judge_verdict_t verdict;
	gboolean clear;
	guint fresh_slots; /* of servers of the new version that are usable */
	guint peer_slots;  /* of the old one */
	guint old_running; /* requests at old servers, of all hosts heard */
} shift_input_t;

/**
 * version_shift_decide() - Judge a running shift.
 * @in: what is known
 *
 * A new version that was not seen to be good, or lacks servers for the load, is
 * taken back at the end.
 */
shift_decision_t version_shift_decide(const shift_input_t *in);

/**
 * version_shift_acts_at() - When a host may act in the duty's place.
 * @since: when the decision became due, as this host saw it
 * @rank: of this host among those that are heard; 0 holds the duty
 */
msec_t version_shift_acts_at(msec_t since, guint rank);

#endif
