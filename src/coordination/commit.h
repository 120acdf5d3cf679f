#ifndef COORDINATION_COMMIT_H
#define COORDINATION_COMMIT_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"

/*
 * One conditional write to the store, carried through lost answers to a
 * verdict that is never a guess. The write has a token and a condition that
 * holds at most once, so that repeating it is idempotent, and it checks that
 * the writer's roster row still carries the writer's incarnation.
 *
 * Each attempt has a number; answers to earlier attempts are told apart by it.
 */

/* Pause before the store is tried again. */
#define COMMIT_RETRY_MS 500

/* What became of one write, as its answer (or the lack of one) tells. */
typedef enum {
	WRITE_WON,	/* took effect */
	WRITE_CONFLICT, /* a condition did not hold; no effect */
	WRITE_DOWN,	/* surely no effect; the store was not reached */
	WRITE_LOST,	/* no answer: may have taken effect, or yet take it */
	WRITE_FENCED,	/* our incarnation is superseded; no effect */
} write_result_t;

/* What a read finds in the place that the write is for. */
typedef enum {
	PLACE_OURS,   /* our token, or the same effect by somebody else */
	PLACE_OTHERS, /* taken by another writer: ours can never win */
	PLACE_OPEN,   /* as before the write */
	PLACE_UNREAD, /* the read failed */
} place_t;

typedef enum {
	COMMIT_RUNNING,
	COMMIT_UNKNOWN, /* the store can't tell now; still being tried */
	COMMIT_WAITING, /* surely no effect so far; still being tried */
	COMMIT_ACCEPTED,
	COMMIT_CONFLICT,
	COMMIT_FAILED, /* surely no effect, and none will follow */
} commit_state_t;

typedef enum {
	COMMIT_NOTHING,
	COMMIT_WRITE, /* send the write; answer commit_written() */
	COMMIT_READ,  /* read the place; answer commit_read() */
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
	gboolean lost;	   /* some write had no answer */
	gboolean refused;  /* some write met a conflict */
	gboolean fenced;   /* no write of ours can take effect any more */
	gboolean persist;  /* never give up */
	msec_t give_up_at; /* COMMIT_FAILED after this, if nothing was lost */
	msec_t retry_at;
	msec_t accepted_at; /* when this host learnt it */
	uint64_t version;   /* store version once accepted, or the other's */
} commit_t;

/**
 * commit_begin() - Start; the first action is COMMIT_WRITE, attempt 1.
 * @c: memory of the caller
 * @give_up_at: when to stop trying; 0 for never
 */
commit_action_t commit_begin(commit_t *c, msec_t give_up_at);

/**
 * commit_written() - A write was answered, or its time limit has passed.
 * @c: the commit
 * @attempt: number of the attempt that it belongs to
 * @result: what is known of it
 * @version: store version for WRITE_WON
 * @now: time
 *
 * Return: what to do next.
 */
commit_action_t commit_written(commit_t *c, uint32_t attempt,
    write_result_t result, uint64_t version, msec_t now);

/**
 * commit_read() - The place was read.
 * @c: the commit
 * @attempt: number of the attempt that it belongs to
 * @place: what it holds
 * @version: store version of what it holds
 * @now: time
 *
 * Return: what to do next.
 */
commit_action_t commit_read(
    commit_t *c, uint32_t attempt, place_t place, uint64_t version, msec_t now);

/**
 * commit_tick() - Time has passed.
 * @c: the commit
 * @now: time
 *
 * Return: what to do next.
 */
commit_action_t commit_tick(commit_t *c, msec_t now);

/* Whether no further event can change the verdict. */
gboolean commit_settled(const commit_t *c);

#endif
