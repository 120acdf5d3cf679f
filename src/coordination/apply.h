#ifndef COORDINATION_APPLY_H
#define COORDINATION_APPLY_H

#include <stdint.h>

#include <glib.h>

#include "coordination/commit.h"
#include "state/digest.h"

/*
 * An operator's change of the configuration, on the host that received it. The
 * host puts the text into the object store under its digest. Then one
 * transaction creates the row of version base + 1, which is never deleted, and
 * moves the head row from base to this version. Both rows hold the change's
 * token, so that the outcome can be read at any later time if the answer is
 * lost.
 */

/*
 * The change fails after this time if it is certain that nothing has taken
 * effect.
 */
#define APPLY_GIVE_UP_MS 10000

/* Pause before a retry of the upload to the object store. */
#define APPLY_PUT_RETRY_MS 500

typedef enum {
	APPLY_WRITING,
	APPLY_UNKNOWN, /* not known whether it took effect; still retried */
	APPLY_ACCEPTED,
	APPLY_IN_FORCE, /* on every live host */
	APPLY_CONFLICT, /* no effect: the base is not the current version */
	APPLY_FAILED,	/* no effect, now or later */
} apply_state_t;

typedef struct {
	uint32_t id;
	apply_state_t state;
	uint64_t base, version; /* the version is base + 1 */
	uint64_t head_version;	/* version of the head row; 0: not read */
	digest_t digest;
	uint64_t token;
	commit_t commit;
	gboolean uploaded, uploading;
	msec_t upload_at, give_up_at;
	guint hosts, hosts_in_force;
} apply_t;

typedef enum {
	APPLY_PUT,    /* store the text, then call apply_put_done() */
	APPLY_WRITE,  /* send the transaction, then call apply_written() */
	APPLY_READ,   /* read both rows, then call apply_read() */
	APPLY_REPORT, /* the state has changed */
} apply_action_kind_t;

typedef struct {
	apply_action_kind_t kind;
	uint32_t id;
	union {
		uint32_t attempt;    /* of WRITE and READ */
		apply_state_t state; /* of REPORT */
	} u;
} apply_action_t;

/* The configuration's rows, as read from the store. */
typedef struct {
	uint64_t head;	/* current version; 0: none */
	gboolean taken; /* the row of version base + 1 exists */
	uint64_t token; /* in that row */
} apply_rows_t;

/**
 * apply_begin() - Start a change.
 * @a: memory of the caller
 * @id: identifies the change in its actions
 * @base: version that the operator edited
 * @digest: digest of the new text, which is already checked
 * @token: random; the operator's command repeats it in a retry
 * @now: time
 * @out: apply_action_t are appended
 */
void apply_begin(apply_t *a, uint32_t id, uint64_t base, const digest_t *digest,
    uint64_t token, msec_t now, GArray *out);

/**
 * apply_put_done() - Process the outcome of the upload.
 * @a: the change
 * @stored: whether the text is certainly stored; if FALSE, the upload is
 *	repeated, which is idempotent
 * @now: time
 * @out: apply_action_t are appended
 */
void apply_put_done(apply_t *a, gboolean stored, msec_t now, GArray *out);

/**
 * apply_written() - Process the transaction's outcome; see commit_written().
 * @a: the change
 * @attempt: from the action
 * @result: the outcome
 * @now: time
 * @out: apply_action_t are appended
 */
void apply_written(apply_t *a, uint32_t attempt, write_result_t result,
    msec_t now, GArray *out);

/**
 * apply_read() - Process a read of the rows; see commit_read().
 * @a: the change
 * @attempt: from the action
 * @rows: both rows, read in one transaction; NULL if the read failed
 * @now: time
 * @out: apply_action_t are appended
 */
void apply_read(apply_t *a, uint32_t attempt, const apply_rows_t *rows,
    msec_t now, GArray *out);

/**
 * apply_tick() - Process the passage of time or a host's new version.
 * @a: the change
 * @in_force: number of live hosts with this version or a later one in force
 * @hosts: number of live hosts, this one included
 * @now: time
 * @out: apply_action_t are appended
 */
void apply_tick(
    apply_t *a, guint in_force, guint hosts, msec_t now, GArray *out);

const char *apply_state_name(apply_state_t state);

#endif
