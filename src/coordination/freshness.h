#ifndef COORDINATION_FRESHNESS_H
#define COORDINATION_FRESHNESS_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"
#include "state/keys.h"

/*
 * Until when this host may accept a key.
 *
 * A basis is a time on this host's clock. Every withdrawal of a key that was
 * committed, or acknowledged to an operator, before this time is in this host's
 * table. A basis comes from the store itself, from a peer that passes on the
 * basis of its own scan, or from the promises of every host that may write. It
 * never decreases, and it is valid for FRESH_MS.
 */

/* How long a basis is valid. */
#define FRESH_MS 3000

/* Maximum drift between the clocks of two hosts over FRESH_MS. */
#define FRESH_DRIFT_MS 150

/* After this time, measured on any clock, every earlier basis has expired. */
#define FRESH_LAPSE_MS (FRESH_MS + FRESH_DRIFT_MS)

/* No basis yet. */
#define FRESH_NEVER (INT64_MIN / 2)

typedef struct {
	uint64_t joined; /* store version of our own roster row; 0: none */
	uint64_t required_version; /* keys version that promises depend on */
	msec_t scan_basis;	   /* from the store */
	msec_t relay_basis;	   /* from the store, passed on by a peer */
	msec_t promise_basis;	   /* from the promises of all hosts */
	gboolean stopped;	   /* never fresh again */
} freshness_t;

void freshness_init(freshness_t *f);

/**
 * freshness_joined() - Record that our row is in the roster.
 * @f: the state
 * @version: store version at which this incarnation's row was committed
 *
 * No basis counts before this call, nor before the keys are complete up to
 * @version. A host that withdraws a key later finds this host in the roster,
 * and earlier withdrawals are in this host's table by then.
 */
void freshness_joined(freshness_t *f, uint64_t version);

/**
 * freshness_loaded() - Whether the state of the keys allows a promise.
 * @f: the state
 * @keys: the table
 *
 * Return: TRUE once the table holds everything committed before we joined.
 */
gboolean freshness_loaded(const freshness_t *f, const keys_t *keys);

/**
 * freshness_require() - Raise the keys version that promises depend on.
 * @f: the state
 * @version: keys version of a peer that answered, or store version at which a
 *	host left the set of hosts whose promises are needed
 *
 * Must be called before freshness_promised() for a promise in the same answer.
 */
void freshness_require(freshness_t *f, uint64_t version);

/**
 * freshness_scanned() - Record a scan of the key rows.
 * @f: the state
 * @keys: the table, after the merge
 * @sent: when the scan was sent
 */
void freshness_scanned(freshness_t *f, const keys_t *keys, msec_t sent);

/**
 * freshness_relayed() - Record the basis of a peer's scan.
 * @f: the state
 * @keys: the table
 * @sent: when our request was sent
 * @age: freshness_scan_age() of the peer when it answered
 * @version: the peer's keys version at that time
 *
 * Ignored if the keys are not complete up to @version.
 */
void freshness_relayed(freshness_t *f, const keys_t *keys, msec_t sent,
    msec_t age, uint64_t version);

/**
 * freshness_promised() - Record that every roster host has given us a promise.
 * @f: the state
 * @keys: the table
 * @since: earliest send time among the latest promises of all hosts
 *
 * Ignored if the keys are not complete up to the version that promises depend
 * on; see freshness_require().
 */
void freshness_promised(freshness_t *f, const keys_t *keys, msec_t since);

/**
 * freshness_stop() - Never be fresh again: a newer incarnation replaced ours.
 * @f: the state
 */
void freshness_stop(freshness_t *f);

/**
 * freshness_until() - Time from which on this host is no longer fresh.
 * @f: the state
 */
msec_t freshness_until(const freshness_t *f);

gboolean freshness_ok(const freshness_t *f, msec_t now);

/**
 * freshness_scan_age() - Age of our last scan, to be passed on to a peer.
 * @f: the state
 * @now: time of the answer
 *
 * It may be passed on only to a host whose incarnation is in our roster. The
 * roster comes from the same scans, so a host that has left it becomes stale.
 * For the same reason a basis that a peer passed on to us is not passed on
 * again.
 *
 * Return: the age in milliseconds, or -1 if the scan is no longer valid.
 */
msec_t freshness_scan_age(const freshness_t *f, msec_t now);

typedef enum {
	KEY_OK,
	KEY_UNKNOWN,
	KEY_WITHDRAWN,
	KEY_NOT_FRESH, /* unknown to this host now; another host may know */
} key_verdict_kind_t;

typedef struct {
	key_verdict_kind_t kind;
	const char *workspace; /* for KEY_OK; valid for ever */
} key_verdict_t;

/**
 * keys_check() - Whether a request with this key may be forwarded.
 * @keys: the table
 * @f: how fresh it is
 * @digest: digest of the request's key
 * @now: time, read for this call
 *
 * Must be called when the request is about to be sent to a backend server, not
 * only on its arrival: the request may have been queued, and its connection may
 * be old.
 */
key_verdict_t keys_check(const keys_t *keys, const freshness_t *f,
    const digest_t *digest, msec_t now);

#endif
