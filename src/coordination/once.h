#ifndef COORDINATION_ONCE_H
#define COORDINATION_ONCE_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"
#include "coordination/attempt.h"
#include "coordination/poison.h"

/*
 * Runs requests that carry an Idempotency-Key, on a route that is not
 * idempotent, at most once. Before such a request runs, its key is claimed by a
 * conditional write of a row in the store. A host that finds a row of another
 * claim does not run the request. A row is removed by the host that claimed it,
 * with proof that the request did not run, or by any host SWEEP_ONCE_PERIODS
 * after its last write (coordination/sweep.h). A claim that took longer than
 * ONCE_CLAIM_MS is not used, so no request runs after its row may have been
 * removed.
 */

#define ONCE_ENTRIES_MAX 4096
#define ONCE_RETAIN_MS 600000 /* how long an answer can be replayed */
#define ONCE_CLAIM_TRIES 3
#define ONCE_CLAIM_MS 60000
#define ONCE_WRITE_RETRY_MS 1000

typedef uint32_t once_id_t;

#define ONCE_NONE UINT32_MAX

typedef enum {
	ONCE_CLAIMING,
	ONCE_READING,
	ONCE_RUNNING,
	ONCE_RECORDING, /* the request ran; its row is being written */
	ONCE_RELEASING, /* the request did not run; its row is being removed */
	ONCE_DONE,
} once_phase_t;

typedef enum {
	ONCE_ROW_RUNNING,
	ONCE_ROW_RAN,	  /* answered with @status */
	ONCE_ROW_UNKNOWN, /* sent, but no answer arrived */
} once_row_state_t;

/* A row of the store. */
typedef struct {
	uint64_t token; /* identifies the claim */
	fingerprint_t request;
	once_row_state_t state;
	int status; /* HTTP status, if it ran */
} once_row_t;

typedef struct {
	gboolean used;
	fingerprint_t key; /* digest of workspace and Idempotency-Key */
	once_phase_t phase;
	gboolean abandoned;  /* no caller waits; release the claim */
	unsigned int claims; /* writes of the claim so far */
	once_row_t row;	     /* as this host wrote or would write it */
	msec_t since; /* when it began; once it has ended, when it ended */
} once_entry_t;

typedef struct {
	GArray *entries; /* once_entry_t, by once_id_t */
} once_t;

typedef enum {
	ONCE_CLAIM_DONE,
	ONCE_CLAIM_TAKEN,   /* a row exists already */
	ONCE_CLAIM_UNKNOWN, /* the store's answer was lost */
	ONCE_CLAIM_FAILED,  /* the write did not take effect */
	ONCE_READ_ROW,
	ONCE_READ_ABSENT,
	ONCE_READ_FAILED,
	ONCE_RUN_ENDED,
	ONCE_WRITE_DONE,   /* of a record or a release */
	ONCE_WRITE_FAILED, /* failed, or result unknown */
	ONCE_GIVEN_UP,	   /* deadline or caller gone before it ran */
} once_event_kind_t;

typedef struct {
	once_event_kind_t kind;
	union {
		once_row_t row; /* row that was read */
		struct {
			ran_t ran;
			int status; /* HTTP status, if it ran */
		} ended;
	} u;
} once_event_t;

typedef enum {
	ONCE_NOTHING,
	ONCE_CLAIM,	/* write @row if none exists */
	ONCE_READ_BACK, /* read the row */
	ONCE_RUN,
	ONCE_REPLAY, /* send the answer kept for the entry */
	ONCE_REFUSE,
	ONCE_RECORD,  /* write @row if the stored row has its token */
	ONCE_RELEASE, /* remove the stored row if it has @row's token */
} once_action_kind_t;

typedef enum {
	ONCE_STORE_DOWN,
	ONCE_BUSY,	 /* too many entries, or a release is under way */
	ONCE_KEY_REUSED, /* the key was used for another request */
	ONCE_ALREADY_RUNNING,
	ONCE_ALREADY_RAN,
	ONCE_ALREADY_SENT, /* whether it ran is unknown */
} once_reason_t;

typedef struct {
	once_action_kind_t kind;
	once_id_t id;
	once_row_t row;
	msec_t after_ms; /* wait before a record or release is retried */
	/* For a refusal; a release may be due as well, see
	 * once_release_due(). */
	once_reason_t reason;
	ran_t ran;
	int status; /* of the earlier answer, for ONCE_ALREADY_RAN */
} once_action_t;

void once_init(once_t *o);
void once_finish(once_t *o);

/**
 * once_begin() - Start a request with an Idempotency-Key.
 * @o: the table
 * @key: digest of workspace and key
 * @request: digest of service, method, path and body
 * @token: unique to this call
 * @now: time
 *
 * Return: claim, replay or refuse. After claim the entry belongs to this
 * request until an action is replay, refuse or nothing.
 */
once_action_t once_begin(once_t *o, const fingerprint_t *key,
    const fingerprint_t *request, uint64_t token, msec_t now);

/**
 * once_step() - Process the result of an action.
 * @o: the table
 * @id: entry of the action
 * @e: what happened
 * @now: time
 */
once_action_t once_step(
    once_t *o, once_id_t id, const once_event_t *e, msec_t now);

/**
 * once_release_due() - Whether a refused entry still has a row to remove.
 * @o: the table
 * @id: entry of a refusal
 *
 * Return: TRUE: the caller must release the entry in addition to the refusal.
 */
gboolean once_release_due(const once_t *o, once_id_t id);

const once_entry_t *once_entry(const once_t *o, once_id_t id);

/**
 * once_reason_name() - The machine-readable reason for callers.
 * @reason: the reason
 */
const char *once_reason_name(once_reason_t reason);

#endif
