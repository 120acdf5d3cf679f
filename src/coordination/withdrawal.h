#ifndef COORDINATION_WITHDRAWAL_H
#define COORDINATION_WITHDRAWAL_H

#include <stdint.h>

#include <glib.h>

#include "coordination/commit.h"
#include "coordination/freshness.h"
#include "coordination/roster_view.h"
#include "state/digest.h"

/*
 * One withdrawal of a key at the host that takes it. Every roster host is
 * told at once; meanwhile the row goes into the store. Those that haven't
 * confirmed get no vouch from us, so what freshness they have runs out.
 *
 * Before the withdrawal begins, the caller merges it into its own table of
 * keys (version 0). It stays in force at every host that was told, whatever
 * the store says, and is written for as long as one of them lives.
 */

/* Pause before a host that hasn't confirmed is told again. */
#define WITHDRAWAL_TELL_MS 500

typedef enum {
	WITHDRAWAL_WRITING,
	WITHDRAWAL_UNAVAILABLE, /* not stored; in force where told */
	WITHDRAWAL_UNKNOWN,	/* may be stored; in force where told */
	WITHDRAWAL_ACCEPTED,	/* stored: lasts */
	WITHDRAWAL_DONE,	/* no host says yes to the key any more */
	WITHDRAWAL_FENCED,	/* not stored, and we may not write any more */
} withdrawal_state_t;

typedef struct {
	replica_t replica;
	gboolean confirmed;
} withdrawal_peer_t;

typedef struct {
	uint32_t id; /* given by the caller; goes along in every action */
	digest_t digest;
	withdrawal_state_t state;
	commit_t commit;
	GArray *peers; /* withdrawal_peer_t; none is ever taken out */
	msec_t tell_at;
} withdrawal_t;

typedef enum {
	WITHDRAWAL_TELL,   /* tell this host; on its answer, _confirmed() */
	WITHDRAWAL_WRITE,  /* write the row; answer _written() */
	WITHDRAWAL_READ,   /* read the row; answer _read() */
	WITHDRAWAL_REPORT, /* the state has changed */
} withdrawal_action_kind_t;

typedef struct {
	withdrawal_action_kind_t kind;
	uint32_t id;
	union {
		replica_t tell;
		uint32_t attempt; /* of WRITE and READ */
		withdrawal_state_t state;
	} u;
} withdrawal_action_t;

/**
 * withdrawal_begin() - Take a withdrawal.
 * @w: memory of the caller
 * @id: handle for the actions
 * @entry: the key in our own table, already withdrawn there
 * @self: this host
 * @view: the roster
 * @now: time
 * @out: withdrawal_action_t are appended
 *
 * Only a host that every roster host has acknowledged may call this. A key
 * that is known to be stored as withdrawn is accepted without a write.
 */
void withdrawal_begin(withdrawal_t *w, uint32_t id, const key_entry_t *entry,
    replica_t self, const roster_view_t *view, msec_t now, GArray *out);
void withdrawal_finish(withdrawal_t *w);

/**
 * withdrawal_confirmed() - A host has the withdrawal in its table.
 * @w: the withdrawal
 * @replica: which
 */
void withdrawal_confirmed(withdrawal_t *w, replica_t replica);

/**
 * withdrawal_written() - The write was answered; see commit_written().
 * @w: the withdrawal
 * @attempt: from the action
 * @result: what is known; WRITE_WON also if the row was withdrawn already
 * @version: store version of the row
 * @now: time
 * @out: withdrawal_action_t are appended
 */
void withdrawal_written(withdrawal_t *w, uint32_t attempt,
    write_result_t result, uint64_t version, msec_t now, GArray *out);

/**
 * withdrawal_read() - The row was read; see commit_read().
 * @w: the withdrawal
 * @attempt: from the action
 * @place: PLACE_OURS if the row says withdrawn, by whomever; else PLACE_OPEN
 *	or PLACE_UNREAD
 * @version: store version of the row
 * @now: time
 * @out: withdrawal_action_t are appended
 */
void withdrawal_read(withdrawal_t *w, uint32_t attempt, place_t place,
    uint64_t version, msec_t now, GArray *out);

/**
 * withdrawal_tick() - Time has passed, or the roster was read.
 * @w: the withdrawal
 * @view: the roster; hosts that are new in it are told
 * @now: time
 * @out: withdrawal_action_t are appended
 */
void withdrawal_tick(
    withdrawal_t *w, const roster_view_t *view, msec_t now, GArray *out);

/**
 * withdrawal_blocks() - Must this host refuse to vouch for another?
 * @w: the withdrawal
 * @replica: the host that asks
 * @complete: our keys version, which goes along with the vouch
 *
 * Return: FALSE if the other holds the withdrawal, or has to fetch it before
 * our vouch counts.
 */
gboolean withdrawal_blocks(
    const withdrawal_t *w, replica_t replica, uint64_t complete);

/**
 * withdrawal_over() - Is there nothing left to do?
 * @w: the withdrawal
 * @complete: our keys version
 *
 * Return: TRUE once it may be finished and forgotten.
 */
gboolean withdrawal_over(const withdrawal_t *w, uint64_t complete);

/**
 * withdrawal_hosts() - On how many hosts it is in force.
 * @w: the withdrawal
 * @confirmed: set to the hosts that hold it
 *
 * Return: hosts that were told.
 */
guint withdrawal_hosts(const withdrawal_t *w, guint *confirmed);

const char *withdrawal_state_name(withdrawal_state_t state);

#endif
