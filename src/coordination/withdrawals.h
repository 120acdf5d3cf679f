#ifndef COORDINATION_WITHDRAWALS_H
#define COORDINATION_WITHDRAWALS_H

#include "coordination/withdrawal.h"

/*
 * The withdrawals that this host carries out: those that operators sent to it,
 * and those received from a host that seems to have died before it stored them.
 */

/* Time after which a pending withdrawal of another host is taken over. */
#define WITHDRAWAL_ADOPT_MS 5000

/* For how long the state of a withdrawal can be read after its end. */
#define WITHDRAWAL_KEEP_MS 60000

typedef struct {
	withdrawal_t w;
	msec_t over_at; /* when it ended; 0: not over */
} withdrawal_slot_t;

typedef struct {
	GPtrArray *slots; /* withdrawal_slot_t */
	uint32_t last_id; /* ids begin at 1 */
	/* Since when the table of keys has pending rows; 0: it has none. */
	msec_t pending_since;
} withdrawals_t;

void withdrawals_init(withdrawals_t *s);
void withdrawals_finish(withdrawals_t *s);

/**
 * withdrawals_start() - Start a withdrawal, or find it if it is under way.
 * @s: the withdrawals
 * @keys: this host's table; the withdrawal is in force in it on return
 * @digest: digest of the key
 * @self: this host, acknowledged by every roster host
 * @view: the roster
 * @now: time
 * @out: withdrawal_action_t are appended
 *
 * Return: its id. A repeated call for the same key returns the same id, so that
 * an operator's repeated request is idempotent.
 */
uint32_t withdrawals_start(withdrawals_t *s, keys_t *keys,
    const digest_t *digest, replica_t self, const roster_view_t *view,
    msec_t now, GArray *out);

/**
 * withdrawals_get() - Find a withdrawal by its id.
 * @s: the withdrawals
 * @id: from an action
 *
 * Return: the withdrawal, to pass it an event or read its state; NULL once it
 * was removed.
 */
withdrawal_t *withdrawals_get(const withdrawals_t *s, uint32_t id);

/**
 * withdrawals_tick() - Process the passing of time or a new read of the roster.
 * @s: the withdrawals
 * @keys: this host's table; its pending rows are taken over after
 *	WITHDRAWAL_ADOPT_MS
 * @self: this host
 * @eligible: whether every roster host has acknowledged this host
 * @view: the roster
 * @now: time
 * @out: withdrawal_action_t are appended
 */
void withdrawals_tick(withdrawals_t *s, keys_t *keys, replica_t self,
    gboolean eligible, const roster_view_t *view, msec_t now, GArray *out);

/**
 * withdrawals_may_promise() - Whether this host may make a promise to another.
 * @s: the withdrawals
 * @replica: the host that asks
 * @complete: this host's keys version, which is sent with the promise
 *
 * In addition, freshness_loaded() must hold, and @replica must be the
 * incarnation that the roster shows.
 */
gboolean withdrawals_may_promise(
    const withdrawals_t *s, replica_t replica, uint64_t complete);

/**
 * withdrawals_settled() - Whether this host may send its departure notice.
 * @s: the withdrawals
 *
 * A departure notice carries this host's keys version, which the receiver
 * passes to freshness_require(). So it must be sent after this host's
 * withdrawals are over.
 *
 * Return: TRUE if all withdrawals are over.
 */
gboolean withdrawals_settled(const withdrawals_t *s);

#endif
