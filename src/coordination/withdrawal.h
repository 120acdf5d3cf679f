#ifndef COORDINATION_WITHDRAWAL_H
#define COORDINATION_WITHDRAWAL_H

#include <stdint.h>

#include <glib.h>

#include "coordination/commit.h"
#include "coordination/freshness.h"
#include "coordination/roster_view.h"
#include "state/digest.h"

/*
 * One withdrawal of a key, at the host that receives it. The host notifies all
 * roster hosts at once and writes the row to the store at the same time. It
 * makes no promise to hosts that haven't confirmed, so the freshness of their
 * keys runs out.
 *
 * Before the withdrawal begins, the caller merges it into its own table of
 * keys (version 0). The withdrawal stays in force at every host that was
 * notified, whatever the store holds, and the write is retried for as long as
 * one of these hosts lives.
 */

/* Interval at which a host that hasn't confirmed is notified again. */
#define WITHDRAWAL_NOTIFY_RETRY_MS 500

typedef enum {
	WITHDRAWAL_WRITING,
	WITHDRAWAL_UNAVAILABLE, /* not stored; in force at notified hosts */
	WITHDRAWAL_UNKNOWN,	/* maybe stored; in force at notified hosts */
	WITHDRAWAL_ACCEPTED,	/* stored permanently */
	WITHDRAWAL_DONE,	/* no host accepts the key any more */
	WITHDRAWAL_FENCED,	/* not stored; this host may no longer write */
} withdrawal_state_t;

typedef struct {
	replica_t replica;
	gboolean confirmed;
} withdrawal_peer_t;

typedef struct {
	uint32_t id; /* given by the caller; part of every action */
	digest_t digest;
	withdrawal_state_t state;
	commit_t commit;
	GArray *peers; /* withdrawal_peer_t; never removed */
	msec_t notify_at;
} withdrawal_t;

typedef enum {
	WITHDRAWAL_NOTIFY, /* notify a host; then withdrawal_confirmed() */
	WITHDRAWAL_WRITE,  /* write the row; then withdrawal_written() */
	WITHDRAWAL_READ,   /* read the row; then withdrawal_read() */
	WITHDRAWAL_REPORT, /* the state has changed */
} withdrawal_action_kind_t;

typedef struct {
	withdrawal_action_kind_t kind;
	uint32_t id;
	union {
		replica_t notify;
		uint32_t attempt; /* for WRITE and READ */
		withdrawal_state_t state;
	} u;
} withdrawal_action_t;

/**
 * withdrawal_begin() - Start a withdrawal.
 * @w: caller's memory
 * @id: handle for the actions
 * @entry: the key in our own table, already withdrawn there
 * @self: this host
 * @view: the roster
 * @now: time
 * @out: withdrawal_action_t are appended
 *
 * Only a host that every roster host has acknowledged may call this. If the key
 * is known to be stored as withdrawn, the withdrawal is accepted without a
 * write.
 */
void withdrawal_begin(withdrawal_t *w, uint32_t id, const key_entry_t *entry,
    replica_t self, const roster_view_t *view, msec_t now, GArray *out);
void withdrawal_finish(withdrawal_t *w);

/**
 * withdrawal_confirmed() - Record that a host's table has the withdrawal.
 * @w: the withdrawal
 * @replica: the host
 */
void withdrawal_confirmed(withdrawal_t *w, replica_t replica);

/**
 * withdrawal_written() - Process the result of a write; see commit_written().
 * @w: the withdrawal
 * @attempt: from the action
 * @result: known result; WRITE_WON also if the row was withdrawn already
 * @version: store version of the row
 * @now: time
 * @out: withdrawal_action_t are appended
 */
void withdrawal_written(withdrawal_t *w, uint32_t attempt,
    write_result_t result, uint64_t version, msec_t now, GArray *out);

/**
 * withdrawal_read() - Process the result of a read; see commit_read().
 * @w: the withdrawal
 * @attempt: from the action
 * @target: COMMIT_TARGET_OURS if the row is withdrawn, by any host; else
 *COMMIT_TARGET_UNCHANGED or COMMIT_TARGET_UNREAD
 * @version: store version of the row
 * @now: time
 * @out: withdrawal_action_t are appended
 */
void withdrawal_read(withdrawal_t *w, uint32_t attempt, commit_target_t target,
    uint64_t version, msec_t now, GArray *out);

/**
 * withdrawal_tick() - Process the passing of time or a new read of the roster.
 * @w: the withdrawal
 * @view: the roster; hosts that are new in it are notified
 * @now: time
 * @out: withdrawal_action_t are appended
 */
void withdrawal_tick(
    withdrawal_t *w, const roster_view_t *view, msec_t now, GArray *out);

/**
 * withdrawal_blocks_promise() - Whether a host must not get a promise now.
 * @w: the withdrawal
 * @replica: the host that asks
 * @complete: this host's keys version, which is sent with the promise
 *
 * Return: FALSE if the other host has confirmed the withdrawal, or has to fetch
 * it before the promise counts.
 */
gboolean withdrawal_blocks_promise(
    const withdrawal_t *w, replica_t replica, uint64_t complete);

/**
 * withdrawal_over() - Whether nothing is left to do.
 * @w: the withdrawal
 * @complete: this host's keys version
 *
 * Return: TRUE if it may be finished and removed.
 */
gboolean withdrawal_over(const withdrawal_t *w, uint64_t complete);

/**
 * withdrawal_hosts() - Count the hosts of a withdrawal.
 * @w: the withdrawal
 * @confirmed: set to the number of hosts that have confirmed it
 *
 * Return: the number of hosts that were notified, including this one.
 */
guint withdrawal_hosts(const withdrawal_t *w, guint *confirmed);

const char *withdrawal_state_name(withdrawal_state_t state);

#endif
