#ifndef COORDINATION_VERSION_SHIFT_H
#define COORDINATION_VERSION_SHIFT_H

#include "base/clock.h"
#include "state/judge.h"
#include "state/split.h"

/*
 * Shifts a service's traffic to a new version of its servers within a given
 * time, or rolls back to the old version. The share of the new version depends
 * only on the time since the start, so that hosts agree on it without a message
 * for each step. The share is small for the first half of the time, in which
 * the new version is judged against the old one. Then it grows in steps up to
 * all traffic, early enough for requests at the old version to end in time.
 */

typedef enum {
	SHIFT_RUNNING,
	SHIFT_COMPLETED,   /* all traffic goes to the new version */
	SHIFT_ROLLED_BACK, /* no traffic goes to it; final */
} shift_state_t;

typedef struct {
	char *service;
	char *to;	    /* the new version */
	msec_t duration_ms; /* time within which the shift has to end */
	msec_t began_at;
	shift_state_t state;
	judge_t judge;
} version_shift_t;

/**
 * version_shift_share() - Share of the new version by time alone.
 * @elapsed_ms: since the start
 * @duration_ms: time within which the shift has to end
 */
share_t version_shift_share(msec_t elapsed_ms, msec_t duration_ms);

/* What all live hosts have seen of the new version so far. */
typedef struct {
	judge_sample_t total;  /* ended requests of the shift */
	guint new_running;     /* at servers of the new version */
	gboolean had_requests; /* at any time, also if the counts are lost */
	msec_t counted_ms;     /* how long this host has counted */
} shift_seen_t;

/**
 * version_shift_may_grow() - Whether enough good answers were seen to go on.
 * @seen: what was seen
 * @elapsed_ms: since the start
 * @duration_ms: time within which the shift has to end
 *
 * Until then the shift stays at its first share. Missing answers do not count
 * as good: a slow version's answers arrive late, and hosts that restarted have
 * lost their counts. A service without requests goes on by time alone, if this
 * host has counted since the shift began.
 */
gboolean version_shift_may_grow(
    const shift_seen_t *seen, msec_t elapsed_ms, msec_t duration_ms);

/* What the holder of the duty does next. */
typedef enum {
	SHIFT_CONTINUE,
	SHIFT_COMPLETE,
	SHIFT_ROLL_BACK,
} shift_decision_t;

typedef struct {
	msec_t elapsed_ms;
	msec_t duration_ms;
	judge_verdict_t verdict;
	gboolean informed; /* fleet_is_informed() */
	gboolean may_grow;
	guint new_slots;   /* of usable servers of the new version */
	guint old_slots;   /* of usable servers of other versions */
	guint old_running; /* requests at old servers, of all live hosts */
} shift_input_t;

/**
 * version_shift_decide() - Decide whether a running shift goes on or ends.
 * @in: what is known
 *
 * At the end of the time, the shift is rolled back if the new version was not
 * seen to be good or has too few servers for the load. A host that has not
 * heard the others ends a shift only if it has itself seen that the version is
 * bad.
 */
shift_decision_t version_shift_decide(const shift_input_t *in);

/**
 * version_shift_acts_at() - When a host may act in place of the duty's holder.
 * @since: when the decision became due at this host
 * @rank: rank of this host among the live hosts; 0 holds the duty
 */
msec_t version_shift_acts_at(msec_t since, guint rank);

#endif
