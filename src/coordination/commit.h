#ifndef COORDINATION_COMMIT_H
#define COORDINATION_COMMIT_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"

/*
 * One conditional write to the store. It is retried after lost answers until
 * its outcome is known for certain. The write has a token and a condition that
 * holds at most once, so that a repeated write is idempotent. It also checks
 * that the writer's roster row still has the writer's incarnation.
 *
 * Each attempt has a number, which identifies answers to earlier attempts.
 */

/* Pause before a retry. */
#define COMMIT_RETRY_MS 500

/* Outcome of one write, as known from its answer or the lack of an answer. */
typedef enum {
	WRITE_WON,	   /* took effect */
	WRITE_CONFLICT,	   /* a condition did not hold; no effect */
	WRITE_UNREACHABLE, /* the store was not reached; certainly no effect */
	WRITE_LOST,	   /* no answer: may have taken effect, or may still */
	WRITE_FENCED,	   /* our incarnation is superseded; no effect */
} write_result_t;

/* State of the row that the write creates or changes (the target). */
typedef enum {
	COMMIT_TARGET_OURS,	 /* has our token, or the same effect by another
				    writer */
	COMMIT_TARGET_OTHERS,	 /* taken by another writer: our write can never
				    succeed */
	COMMIT_TARGET_UNCHANGED, /* as before the write */
	COMMIT_TARGET_UNREAD,	 /* the read failed */
} commit_target_t;

typedef enum {
	COMMIT_RUNNING,
	COMMIT_UNKNOWN, /* outcome unknown; retried */
	COMMIT_WAITING, /* certainly no effect so far; retried */
	COMMIT_ACCEPTED,
	COMMIT_CONFLICT,
	COMMIT_FAILED, /* certainly no effect, now or later */
} commit_state_t;

typedef enum {
	COMMIT_NOTHING,
	COMMIT_WRITE, /* send the write, then call commit_written() */
	COMMIT_READ,  /* read the target, then call commit_read() */
} commit_action_t;

typedef enum {
	COMMIT_IDLE,
	COMMIT_WRITE_SENT,
	COMMIT_READ_SENT,
} commit_step_t;

typedef struct {
	commit_state_t state;
	commit_step_t step;
	uint32_t attempt;
	gboolean lost;	   /* a write got no answer */
	gboolean refused;  /* a write got a conflict */
	gboolean fenced;   /* no write of ours can take effect any more */
	gboolean persist;  /* never give up */
	msec_t give_up_at; /* then COMMIT_FAILED, unless a write was lost */
	msec_t retry_at;
	msec_t accepted_at; /* when this host learnt it */
	uint64_t version;   /* of our row, or of the other writer's */
} commit_t;

/**
 * commit_begin() - Start a commit.
 * @c: memory of the caller
 * @give_up_at: when to stop retrying; 0 for never
 *
 * Return: COMMIT_WRITE, with attempt number 1.
 */
commit_action_t commit_begin(commit_t *c, msec_t give_up_at);

/**
 * commit_written() - Process the outcome of a write or its time-out.
 * @c: the commit
 * @attempt: number of its attempt
 * @result: the outcome
 * @version: store version for WRITE_WON
 * @now: time
 *
 * Return: the next action.
 */
commit_action_t commit_written(commit_t *c, uint32_t attempt,
    write_result_t result, uint64_t version, msec_t now);

/**
 * commit_read() - Process a read of the target.
 * @c: the commit
 * @attempt: number of its attempt
 * @target: state of the target
 * @version: store version of the row in the target
 * @now: time
 *
 * Return: the next action.
 */
commit_action_t commit_read(commit_t *c, uint32_t attempt,
    commit_target_t target, uint64_t version, msec_t now);

/**
 * commit_tick() - Process the passage of time.
 * @c: the commit
 * @now: time
 *
 * Return: the next action.
 */
commit_action_t commit_tick(commit_t *c, msec_t now);

/* Whether the outcome is final. */
gboolean commit_settled(const commit_t *c);

#endif
