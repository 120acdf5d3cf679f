#ifndef COORDINATION_MOVE_H
#define COORDINATION_MOVE_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"
#include "state/split.h"

/*
 * A move of traffic: a shift, drain or rollout. All three use one state machine
 * whose current step is stored in row move/<id>. A step is in force on a host
 * once that host has confirmed it. The next step waits until all live hosts
 * have confirmed.
 */

#define MOVE_NAME_MAX 64

typedef enum {
	MOVE_SHIFT,   /* of a service, from one region to another */
	MOVE_DRAIN,   /* of a region, failure domain, endpoint or entry host */
	MOVE_ROLLOUT, /* of a new version next to the old one */
} move_kind_t;

/* What the fields `from` and `to` of a move name. */
typedef enum {
	MOVE_REGION,
	MOVE_DOMAIN,
	MOVE_ENDPOINT,
	MOVE_HOST,
	MOVE_VERSION,
} move_scope_t;

typedef enum {
	MOVE_RUNNING,
	MOVE_BACKING_OUT,
	MOVE_DONE,	 /* final: the goal is in force on all live hosts */
	MOVE_TAKEN_BACK, /* final: nothing is moved on any live host */
} move_state_t;

typedef enum {
	MOVE_REASON_NONE,
	MOVE_REASON_BAD,       /* the new version is worse than the old one */
	MOVE_REASON_CANCELLED, /* by an operator */
	MOVE_REASON_LATE,      /* unproven at the deadline */
} move_reason_t;

/* The row move/<id>. Every write increments the step. */
typedef struct {
	char id[MOVE_NAME_MAX];
	move_kind_t kind;
	move_scope_t scope;
	char service[MOVE_NAME_MAX]; /* "*": all */
	char from[MOVE_NAME_MAX];
	char to[MOVE_NAME_MAX]; /* empty: all the others */
	uint32_t step;
	share_t share;	  /* committed share of `from` that is moved */
	share_t goal;	  /* share at the end */
	share_t cap;	  /* maximum share until it is proven */
	share_t step_cap; /* maximum that one step may add */
	gboolean proven;
	gboolean late; /* the deadline passed before it was done */
	move_state_t state;
	move_reason_t reason;
	int64_t created_wall;  /* Unix time in ms */
	int64_t deadline_wall; /* Unix time in ms; 0: none */
	uint64_t epoch;	       /* of the lease under which it was written */
	uint64_t token;	       /* of the write, unique within the epoch */
} move_row_t;

/** move_is_final() - Whether the row can't change any more. */
gboolean move_is_final(const move_row_t *row);

/** move_share() - The share that is moved by the row; 0 once taken back. */
share_t move_share(const move_row_t *row);

/* Words for the enum values in rows, logs and answers. */
const char *move_kind_name(move_kind_t kind);
const char *move_scope_name(move_scope_t scope);
const char *move_state_name(move_state_t state);
const char *move_reason_name(move_reason_t reason);

/* The value of a word, or -1. */
int move_kind_parse(const char *word);
int move_scope_parse(const char *word);
int move_state_parse(const char *word);
int move_reason_parse(const char *word);

#endif
