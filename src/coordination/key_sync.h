#ifndef COORDINATION_KEY_SYNC_H
#define COORDINATION_KEY_SYNC_H

#include "coordination/withdrawals.h"

/*
 * The keys of one host. This module applies what the host receives from the
 * store and from peers, and builds its answers to peers, in the order that the
 * guarantees for withdrawn keys depend on. See docs/KEYS.md.
 */

typedef struct {
	replica_t self;
	keys_t keys;
	freshness_t fresh;
	roster_view_t view; /* from the same scans as the keys */
	uint64_t view_version;
	withdrawals_t withdrawals;
} key_sync_t;

/* Result of one scan of the store: changed key rows and the whole roster. */
typedef struct {
	const key_row_t *rows;
	guint nrows;
	const replica_t *roster;
	guint nroster;
	uint64_t since, upto; /* versions: requested from, complete up to */
	uint64_t joined;      /* version of our roster row; 0: no row */
	msec_t sent;	      /* when the scan was sent */
} key_sync_scan_t;

/* State of a host's keys, as it reports it to a peer. */
typedef struct {
	uint64_t version;     /* keys version */
	msec_t scan_age;      /* in milliseconds; -1 for none */
	gboolean may_promise; /* the state of the keys allows a promise */
} key_sync_status_t;

void key_sync_init(key_sync_t *s, replica_t self);
void key_sync_finish(key_sync_t *s);

/**
 * key_sync_scanned() - Apply a scan of the store.
 * @s: the state
 * @scan: result of the scan
 * @now: time
 */
void key_sync_scanned(key_sync_t *s, const key_sync_scan_t *scan, msec_t now);

/**
 * key_sync_answer() - Build the answer to a peer's exchange.
 * @s: the state
 * @asker: the peer
 * @now: time of the answer
 */
key_sync_status_t key_sync_answer(
    const key_sync_t *s, replica_t asker, msec_t now);

/**
 * key_sync_on_answer() - Apply a peer's answer to our exchange.
 * @s: the state
 * @status: the answer
 * @sent: when our request was sent
 * @promised_since: earliest send time among the latest promises of all roster
 *	hosts, including this answer's; FRESH_NEVER if one is missing
 *
 * Return: TRUE if the peer's keys are ahead of ours. The caller then fetches
 * them from this peer, starting at keys_complete().
 */
gboolean key_sync_on_answer(key_sync_t *s, const key_sync_status_t *status,
    msec_t sent, msec_t promised_since);

/**
 * key_sync_fetched() - Apply rows that a peer's keys_delta() returned.
 * @s: the state
 * @rows: the rows
 * @n: number of rows
 * @since: requested version
 * @upto: version that the peer reported with the rows
 */
void key_sync_fetched(key_sync_t *s, const key_row_t *rows, guint n,
    uint64_t since, uint64_t upto);

/**
 * key_sync_withdrawal_received() - Apply a withdrawal that a peer announced.
 * @s: the state
 * @digest: digest of the key
 *
 * After the return the caller confirms it to the peer.
 */
void key_sync_withdrawal_received(key_sync_t *s, const digest_t *digest);

/**
 * key_sync_peer_departed() - Apply a peer's departure notice.
 * @s: the state
 * @version: the keys version in the notice
 *
 * This host sends its own notices only after withdrawals_settled(), and only to
 * hosts in the view.
 */
void key_sync_peer_departed(key_sync_t *s, uint64_t version);

/* This host's withdrawals; see withdrawals_start() and withdrawals_tick(). */
uint32_t key_sync_withdraw(
    key_sync_t *s, const digest_t *digest, msec_t now, GArray *out);
void key_sync_tick(key_sync_t *s, gboolean eligible, msec_t now, GArray *out);

#endif
