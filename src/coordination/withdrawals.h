#ifndef COORDINATION_WITHDRAWALS_H
#define COORDINATION_WITHDRAWALS_H

#include "coordination/withdrawal.h"

/*
 * The withdrawals that this host carries through: those that operators brought
 * to it, and those told by a host that seems to have died before it stored
 * them.
 */

/* A pending withdrawal told by another host is taken over after this. */
#define WITHDRAWAL_ADOPT_MS 5000

/* For how long the outcome of one that is over can be asked for. */
#define WITHDRAWAL_KEEP_MS 60000

typedef struct {
	withdrawal_t w;
	msec_t over_at; /* 0: not over */
} withdrawal_slot_t;

typedef struct {
	GPtrArray *slots; /* withdrawal_slot_t */
	uint32_t last_id; /* ids begin at 1 */
	msec_t
	    pending_since; /* of the table's pending rows; 0: there is none */
} withdrawals_t;

void withdrawals_init(withdrawals_t *s);
void withdrawals_finish(withdrawals_t *s);

/**
 * withdrawals_take() - Take a withdrawal, or find it under way.
 * @s: the withdrawals
 * @keys: our table; the withdrawal is in force in it on return
 * @digest: digest of the key
 * @self: this host, acknowledged by every roster host
 * @view: the roster
 * @now: time
 * @out: withdrawal_action_t are appended
 *
 * Return: its id. Taking the same key again gives the same id, so that an
 * operator's repeat is idempotent.
 */
uint32_t withdrawals_take(withdrawals_t *s, keys_t *keys,
    const digest_t *digest, replica_t self, const roster_view_t *view,
    msec_t now, GArray *out);

/**
 * withdrawals_get() - One withdrawal, to bring it an event or read its state.
 * @s: the withdrawals
 * @id: from an action
 *
 * Return: NULL once it is forgotten.
 */
withdrawal_t *withdrawals_get(const withdrawals_t *s, uint32_t id);

/**
 * withdrawals_tick() - Time has passed, or the roster was read.
 * @s: the withdrawals
 * @keys: our table; its pending rows are taken over after a while
 * @self: this host
 * @eligible: whether every roster host has acknowledged us
 * @view: the roster
 * @now: time
 * @out: withdrawal_action_t are appended
 */
void withdrawals_tick(withdrawals_t *s, keys_t *keys, replica_t self,
    gboolean eligible, const roster_view_t *view, msec_t now, GArray *out);

/**
 * withdrawals_may_vouch() - May this host vouch for another?
 * @s: the withdrawals
 * @replica: the host that asks
 * @complete: our keys version, which goes along with the vouch
 *
 * Beside this, freshness_loaded() must hold, and @replica must be the
 * incarnation that the roster shows.
 */
gboolean withdrawals_may_vouch(
    const withdrawals_t *s, replica_t replica, uint64_t complete);

/**
 * withdrawals_settled() - May this host say goodbye to the roster?
 * @s: the withdrawals
 *
 * A goodbye carries our keys version, which its receiver gives to
 * freshness_told(); so it must come after what we have withdrawn.
 *
 * Return: TRUE if all are over.
 */
gboolean withdrawals_settled(const withdrawals_t *s);

#endif
