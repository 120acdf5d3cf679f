#ifndef COORDINATION_MOVE_HOLDER_H
#define COORDINATION_MOVE_HOLDER_H

#include "coordination/move.h"
#include "coordination/move_plan.h"
#include "coordination/move_room.h"

/*
 * What the holder of the lease on the duty `moves` does for one move. Started
 * afresh from the row whenever the lease is taken; all that must last is in
 * the row.
 */

/* Oldest word of a host on which a step may rest. */
#define MOVE_REPORT_MAX_AGE_MS (3 * MSEC_PER_SEC)
/* Time that hosts are expected to take to confirm a step. */
#define MOVE_CONFIRM_MS (2 * MSEC_PER_SEC)
/* Before a failed operation on the store is tried again. */
#define MOVE_RETRY_MS 250

/* What one host that membership counts as live has said of the move. */
typedef struct {
	msec_t heard_at;    /* when the report was received */
	uint32_t confirmed; /* step in force there; 0: none */
	gboolean stopped;   /* it has stopped the new version by itself */
} move_report_t;

typedef struct {
	msec_t now;
	int64_t wall_now; /* for the deadline only */
	gboolean held;	  /* the lease is valid now */
	uint64_t epoch;	  /* of the lease */
	gboolean members_known;
	const move_report_t *reports; /* one for each live host */
	unsigned int n_reports;
	move_room_t room; /* of the side that receives at present */
	judge_verdict_t verdict;
	gboolean lacks_load; /* see judge_lacks_load() */
	msec_t sample_ms;    /* in which the new version, at its present share,
				gets JUDGE_MIN_STEP requests; 0: unknown */
	gboolean cancelled;  /* by an operator */
	msec_t settle_ms;    /* until a step shows: caches of look-ups */
} move_input_t;

typedef enum {
	MOVE_ACT_NONE,
	MOVE_ACT_READ,	 /* read the row */
	MOVE_ACT_COMMIT, /* check the row's version and the lease's fence,
			    write the row */
	MOVE_ACT_STOP,	 /* tell all hosts at once to stop the new version:
			    row.id, row.epoch */
	MOVE_ACT_REPORT, /* tell operators the final state, once */
} move_act_t;

typedef struct {
	move_act_t act;
	move_row_t row;		/* to write or report */
	uint64_t check_version; /* of the row move/<id> */
} move_action_t;

typedef enum {
	MOVE_WON,
	MOVE_CONFLICT, /* nothing was written */
	MOVE_LOST,     /* no answer: it may have taken effect, or still may */
} move_result_t;

/* Why the move does not go on, for status. */
typedef enum {
	MOVE_GOING,
	MOVE_WAITS_FOR_HOSTS,
	MOVE_WAITS_FOR_EFFECT,
	MOVE_WAITS_FOR_MEASUREMENT,
	MOVE_WAITS_FOR_ROOM,
	MOVE_WAITS_FOR_JUDGEMENT,
	MOVE_WAITS_FOR_STORE,
} move_wait_t;

typedef struct {
	move_row_t row;
	uint64_t version; /* of the row in the store */
	move_wait_t wait;
	gboolean busy, stale, stop_told, report_due, reported;
	msec_t tried_at;     /* last operation on the store */
	msec_t began_at;     /* when this step became known here */
	msec_t confirmed_at; /* by all live hosts; MOVE_UNCONFIRMED */
	msec_t step_ms;	     /* that the last step took; 0: none yet */
	uint64_t epoch, last_token;
} move_holder_t;

#define MOVE_UNCONFIRMED INT64_MIN

/**
 * move_holder_init() - Go on from a row read under the present lease.
 * @m: memory of the caller; holds nothing to be freed
 * @row: as read
 * @version: its version in the store
 * @now: time of receipt
 */
void move_holder_init(
    move_holder_t *m, const move_row_t *row, uint64_t version, msec_t now);

/**
 * move_holder_tick() - Decide what to do next.
 * @m: the move
 * @in: time, lease, hosts, measurements
 *
 * After MOVE_ACT_READ the caller owes move_holder_read(); after
 * MOVE_ACT_COMMIT, move_holder_answered().
 */
move_action_t move_holder_tick(move_holder_t *m, const move_input_t *in);

/**
 * move_holder_read() - Take in the row that was asked for.
 * @m: the move
 * @row: as read; NULL: no answer
 * @version: its version in the store
 * @now: time of receipt
 */
void move_holder_read(
    move_holder_t *m, const move_row_t *row, uint64_t version, msec_t now);

/**
 * move_holder_answered() - Take in the outcome of a commit.
 * @m: the move
 * @action: the action that asked for it
 * @result: how it ended
 * @version: of the row after a commit that was won
 * @now: time of receipt
 */
void move_holder_answered(move_holder_t *m, const move_action_t *action,
    move_result_t result, uint64_t version, msec_t now);

/** move_wait_name() - The word for why a move waits. */
const char *move_wait_name(move_wait_t wait);

#endif
