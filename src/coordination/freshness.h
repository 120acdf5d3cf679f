#ifndef COORDINATION_FRESHNESS_H
#define COORDINATION_FRESHNESS_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"
#include "state/keys.h"

/*
 * Until when this host may say yes to a key.
 *
 * A basis is a time on this host's clock before which no withdrawal of a key
 * can have been committed, or promised to an operator, without being in this
 * host's table. It comes from the store itself, from a peer that passes on the
 * basis of its own scan, or from the vouches of every host that may write. It
 * never moves back, and it counts only for FRESH_MS.
 */

/* How long a basis counts. */
#define FRESH_MS 3000

/* Clocks of two hosts may differ in rate by up to this over FRESH_MS. */
#define FRESH_DRIFT_MS 150

/* After this time on any clock, a basis from before it has run out. */
#define FRESH_LAPSE_MS (FRESH_MS + FRESH_DRIFT_MS)

/* No basis yet. */
#define FRESH_NEVER (INT64_MIN / 2)

typedef struct {
	uint64_t joined;    /* store version of our own roster row; 0: none */
	uint64_t told;	    /* highest keys version that a peer has told */
	msec_t scan_basis;  /* from the store */
	msec_t relay_basis; /* from the store, passed on by a peer */
	msec_t vouch_basis; /* from the vouches of all */
	gboolean stopped;
} freshness_t;

void freshness_init(freshness_t *f);

/**
 * freshness_joined() - Our row is in the roster.
 * @f: the state
 * @version: store version at which this incarnation's row was committed
 *
 * Nothing counts before this, nor until the keys are complete up to @version:
 * whoever withdraws a key later finds this host in the roster, and what was
 * withdrawn before is then in its table.
 */
void freshness_joined(freshness_t *f, uint64_t version);

/**
 * freshness_loaded() - May this host vouch, as far as its keys go?
 * @f: the state
 * @keys: the table
 *
 * Return: TRUE once the table holds all that was committed before we joined.
 */
gboolean freshness_loaded(const freshness_t *f, const keys_t *keys);

/**
 * freshness_told() - A version that vouches are conditional on.
 * @f: the state
 * @version: keys version of a peer that answered, or store version of a
 *	roster row that took a host out of the unanimity
 *
 * Call it before freshness_vouched() takes in the vouch of the same answer.
 */
void freshness_told(freshness_t *f, uint64_t version);

/**
 * freshness_scanned() - A scan of the key rows has been merged.
 * @f: the state
 * @keys: the table, after the merge
 * @sent: when the scan was sent
 */
void freshness_scanned(freshness_t *f, const keys_t *keys, msec_t sent);

/**
 * freshness_relayed() - A peer has passed on the basis of its scan.
 * @f: the state
 * @keys: the table
 * @sent: when we asked
 * @age: freshness_scan_age() of the peer when it answered
 * @version: the peer's keys version then
 *
 * Ignored while the keys are not complete up to @version.
 */
void freshness_relayed(freshness_t *f, const keys_t *keys, msec_t sent,
    msec_t age, uint64_t version);

/**
 * freshness_vouched() - Every roster host vouches for us.
 * @f: the state
 * @keys: the table
 * @since: earliest send time among the latest answered vouches of all
 *
 * Ignored while the keys are not complete up to what peers have told.
 */
void freshness_vouched(freshness_t *f, const keys_t *keys, msec_t since);

/**
 * freshness_stop() - For ever not fresh: a newer incarnation has our place.
 * @f: the state
 */
void freshness_stop(freshness_t *f);

/**
 * freshness_until() - First moment at which this host is no longer fresh.
 * @f: the state
 */
msec_t freshness_until(const freshness_t *f);

gboolean freshness_ok(const freshness_t *f, msec_t now);

/**
 * freshness_scan_age() - What to pass on to a peer that asks.
 * @f: the state
 * @now: time of the answer
 *
 * To be passed on only to a host whose incarnation is in our roster, which
 * comes by the same scans: so what has left the roster goes stale. For the
 * same reason a basis that was passed on to us is not passed on again.
 *
 * Return: age of our last scan in milliseconds, or -1 if it doesn't count.
 */
msec_t freshness_scan_age(const freshness_t *f, msec_t now);

typedef enum {
	KEY_OK,
	KEY_UNKNOWN,
	KEY_WITHDRAWN,
	KEY_NOT_FRESH, /* this host can't tell now; another may */
} key_verdict_kind_t;

typedef struct {
	key_verdict_kind_t kind;
	const char *workspace; /* for KEY_OK; never freed */
} key_verdict_t;

/**
 * keys_check() - May a request with this key be sent on?
 * @keys: the table
 * @f: how fresh it is
 * @digest: digest of the request's key
 * @now: clock read for this call
 *
 * To be asked when the request is about to be sent to a backend server, not
 * only on its arrival: it may have queued, and its connection may be old.
 */
key_verdict_t keys_check(const keys_t *keys, const freshness_t *f,
    const digest_t *digest, msec_t now);

#endif
