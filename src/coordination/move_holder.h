#ifndef COORDINATION_MOVE_HOLDER_H
#define COORDINATION_MOVE_HOLDER_H

#include "coordination/move.h"
#include "coordination/move_plan.h"
#include "coordination/move_room.h"

/*
 * State machine of one move at the host that holds the lease on the duty
 * `moves`. It is initialised from the row whenever the lease is taken; all
 * state that must persist is in the row.
 */

/* Maximum age of a host's report on which a step may be based. */
#define MOVE_REPORT_MAX_AGE_MS (3 * MSEC_PER_SEC)
/* Time in which hosts are expected to confirm a step. */
#define MOVE_CONFIRM_MS (2 * MSEC_PER_SEC)
/* Time before a failed operation on the store is retried. */
#define MOVE_RETRY_MS 250

/* The report of one live host on the move. */
typedef struct {
	msec_t heard_at;    /* when the report was received */
	uint32_t confirmed; /* step in force at the host; 0: none */
	gboolean stopped;   /* the host has stopped the new version by itself */
} move_report_t;

typedef struct {
	msec_t now;
	int64_t wall_now; /* for the deadline only */
	gboolean held;	  /* the lease is valid now */
	uint64_t epoch;	  /* epoch of the lease */
	gboolean members_known;
	const move_report_t *reports; /* one for each live host */
	unsigned int n_reports;
	move_room_t room; /* of the side that receives traffic now */
	judge_verdict_t verdict;
	gboolean lacks_load; /* see judge_lacks_load() */
	msec_t sample_ms;    /* time in which the new version, at its current
				share, gets JUDGE_MIN_STEP_REQUESTS requests;
				0: unknown */
	gboolean cancelled;  /* by an operator */
	msec_t settle_ms; /* time until a step takes effect: look-up caches */
} move_input_t;

typedef enum {
	MOVE_ACT_NONE,
	MOVE_ACT_READ,	 /* read the row */
	MOVE_ACT_COMMIT, /* check the row's version and the lease's fence,
			    write the row */
	MOVE_ACT_STOP,	 /* send all hosts at once an order to stop the new
			    version, with row.id and row.epoch */
	MOVE_ACT_REPORT, /* report the final state to operators, once */
} move_act_t;

typedef struct {
	move_act_t act;
	move_row_t row;		/* to write or report */
	uint64_t check_version; /* of the row move/<id> */
} move_action_t;

typedef enum {
	MOVE_WON,
	MOVE_CONFLICT, /* nothing was written */
	MOVE_LOST,     /* no answer: may have taken effect, or may later */
} move_result_t;

/* What the move waits for; shown in the status. */
typedef enum {
	MOVE_NOT_WAITING,
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
	gboolean busy, stale, stop_sent, report_due, reported;
	msec_t tried_at;     /* last operation on the store */
	msec_t began_at;     /* when this step became known here */
	msec_t confirmed_at; /* by all live hosts; else MOVE_UNCONFIRMED */
	msec_t step_ms;	     /* duration of the last step; 0: none yet */
	uint64_t epoch, last_token;
} move_holder_t;

#define MOVE_UNCONFIRMED INT64_MIN

/**
 * move_holder_init() - Initialise from a row read under the current lease.
 * @m: caller's memory; needs no cleanup
 * @row: the row read
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
 * After MOVE_ACT_READ the caller must call move_holder_read(); after
 * MOVE_ACT_COMMIT, move_holder_answered().
 */
move_action_t move_holder_tick(move_holder_t *m, const move_input_t *in);

/**
 * move_holder_read() - Process the row of a MOVE_ACT_READ.
 * @m: the move
 * @row: the row read; NULL: no answer
 * @version: its version in the store
 * @now: time of receipt
 */
void move_holder_read(
    move_holder_t *m, const move_row_t *row, uint64_t version, msec_t now);

/**
 * move_holder_answered() - Process the result of a MOVE_ACT_COMMIT.
 * @m: the move
 * @action: the action
 * @result: its result
 * @version: of the row after a successful commit
 * @now: time of receipt
 */
void move_holder_answered(move_holder_t *m, const move_action_t *action,
    move_result_t result, uint64_t version, msec_t now);

/** move_wait_name() - The word for what a move waits for. */
const char *move_wait_name(move_wait_t wait);

#endif
