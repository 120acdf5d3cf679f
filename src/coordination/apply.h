#ifndef COORDINATION_APPLY_H
#define COORDINATION_APPLY_H

#include <stdint.h>

#include <glib.h>

#include "coordination/commit.h"
#include "state/digest.h"

/*
 * One operator's change of the configuration, at the host that takes it: the
 * text goes into the object store under its digest, then one transaction
 * takes the place of version base + 1 (a row of its own, kept) and moves the
 * head from base to it. Both rows carry the change's token, so that a lost
 * answer can be read back for ever.
 */

/* Nothing is tried any more after this, if surely nothing has taken effect. */
#define APPLY_GIVE_UP_MS 10000

/* Pause before the object store is tried again. */
#define APPLY_PUT_RETRY_MS 500

typedef enum {
	APPLY_WRITING,
	APPLY_UNKNOWN, /* the store can't tell whether it took effect */
	APPLY_ACCEPTED,
	APPLY_IN_FORCE, /* at every live host */
	APPLY_CONFLICT, /* no effect: the base is not the present version */
	APPLY_FAILED,	/* no effect, and none will follow */
} apply_state_t;

typedef struct {
	uint32_t id;
	apply_state_t state;
	uint64_t base, version; /* the version is base + 1 */
	uint64_t theirs;	/* for APPLY_CONFLICT; 0: not known */
	digest_t digest;
	uint64_t token;
	commit_t commit;
	gboolean uploaded, uploading;
	msec_t upload_at, give_up_at;
	guint hosts, hosts_in_force;
} apply_t;

typedef enum {
	APPLY_PUT,   /* store the text; answer apply_put_done() */
	APPLY_WRITE, /* the transaction; answer apply_written() */
	APPLY_READ,  /* read both rows; answer apply_read() */
	APPLY_REPORT,
} apply_action_kind_t;

typedef struct {
	apply_action_kind_t kind;
	uint32_t id;
	union {
		uint32_t attempt; /* of WRITE and READ */
		apply_state_t state;
	} u;
} apply_action_t;

/* What a read finds of the configuration's rows. */
typedef struct {
	uint64_t head;	/* present version; 0: none */
	gboolean taken; /* the row of version base + 1 exists */
	uint64_t token; /* in that row */
} apply_rows_t;

/**
 * apply_begin() - Take a change.
 * @a: memory of the caller
 * @id: handle for the actions
 * @base: version that the operator has changed
 * @digest: digest of the new text, already checked
 * @token: random; the operator's command repeats it in a retry
 * @now: time
 * @out: apply_action_t are appended
 */
void apply_begin(apply_t *a, uint32_t id, uint64_t base, const digest_t *digest,
    uint64_t token, msec_t now, GArray *out);

/**
 * apply_put_done() - The object store has answered.
 * @a: the change
 * @stored: whether the text is there; any doubt is FALSE, a repeat is
 *	idempotent
 * @now: time
 * @out: apply_action_t are appended
 */
void apply_put_done(apply_t *a, gboolean stored, msec_t now, GArray *out);

/**
 * apply_written() - The transaction was answered; see commit_written().
 * @a: the change
 * @attempt: from the action
 * @result: what is known of it
 * @now: time
 * @out: apply_action_t are appended
 */
void apply_written(apply_t *a, uint32_t attempt, write_result_t result,
    msec_t now, GArray *out);

/**
 * apply_read() - The rows were read; see commit_read().
 * @a: the change
 * @attempt: from the action
 * @rows: both rows from one transaction; NULL if the read failed
 * @now: time
 * @out: apply_action_t are appended
 */
void apply_read(apply_t *a, uint32_t attempt, const apply_rows_t *rows,
    msec_t now, GArray *out);

/**
 * apply_tick() - Time has passed, or a host has told its version.
 * @a: the change
 * @in_force: live hosts that have this version or a later one in force
 * @hosts: live hosts, this one included
 * @now: time
 * @out: apply_action_t are appended
 */
void apply_tick(
    apply_t *a, guint in_force, guint hosts, msec_t now, GArray *out);

const char *apply_state_name(apply_state_t state);

#endif
