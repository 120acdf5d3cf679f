#ifndef COORDINATION_CONFSPREAD_H
#define COORDINATION_CONFSPREAD_H

#include <stdint.h>

#include <glib.h>

#include "coordination/progress.h"
#include "state/digest.h"

/*
 * How this host follows the accepted configuration. It learns of versions from
 * the store's head row and from peers. It fetches the text from a peer that has
 * exactly this version in force, or from the object store, and puts it in force
 * as a whole or not at all. The version in force never decreases.
 */

#define CONFSPREAD_FETCH_LIMIT_MS 2000
#define CONFSPREAD_BACKOFF_MIN_MS 100
#define CONFSPREAD_BACKOFF_MAX_MS 1600

/* An accepted configuration. A version always stands for the same text. */
typedef struct {
	uint64_t version; /* 0: none */
	digest_t digest;
} config_ref_t;

typedef struct {
	config_ref_t in_force;
	config_ref_t wanted; /* highest version known to be accepted */
	uint64_t unusable;   /* highest version that failed to parse here */
	progress_t peers;    /* versions that the other hosts reported */
	gboolean fetching;
	uint32_t attempt;
	uint32_t failures;     /* in a row, for the wanted version */
	msec_t fetch_deadline; /* time at which the current fetch has failed */
	msec_t retry_at;
} confspread_t;

typedef enum {
	CONFSPREAD_FETCH_PEER,	/* ask a host for the version's text */
	CONFSPREAD_FETCH_STORE, /* get the object with this digest */
} confspread_action_kind_t;

/*
 * An action; the caller reports its outcome by confspread_fetched() or
 * confspread_fetch_failed().
 */
typedef struct {
	confspread_action_kind_t kind;
	uint32_t attempt;
	config_ref_t ref;
	replica_t peer; /* for FETCH_PEER */
} confspread_action_t;

void confspread_init(confspread_t *s);
void confspread_finish(confspread_t *s);

/**
 * confspread_learn() - Learn of an accepted version.
 * @s: the state
 * @ref: the version in the store's head row or in force on a peer
 * @now: time
 * @out: confspread_action_t are appended
 *
 * Return: FALSE if another digest is known for the same version.
 */
gboolean confspread_learn(
    confspread_t *s, const config_ref_t *ref, msec_t now, GArray *out);

/**
 * confspread_peer() - Record the version that a peer has in force.
 * @s: the state
 * @peer: the peer
 * @version: the version; the caller also passes it to confspread_learn()
 */
void confspread_peer(confspread_t *s, replica_t peer, uint64_t version);

/**
 * confspread_fetched() - Check a fetched text.
 * @s: the state
 * @attempt: from the action
 * @text: the bytes
 * @len: number of bytes
 * @now: time
 * @ref: set to the version that the text belongs to
 *
 * Return: TRUE if it is the wanted text. The caller then parses it and calls
 * confspread_parsed() before any other event. Otherwise the fetch has failed.
 */
gboolean confspread_fetched(confspread_t *s, uint32_t attempt, const void *text,
    size_t len, msec_t now, config_ref_t *ref);

void confspread_fetch_failed(confspread_t *s, uint32_t attempt, msec_t now);

/**
 * confspread_parsed() - Record whether the fetched text parsed.
 * @s: the state
 * @ref: from confspread_fetched()
 * @usable: whether the text parsed; if not, this version is not fetched again
 *
 * Return: TRUE if the version is now in force on this host.
 */
gboolean confspread_parsed(
    confspread_t *s, const config_ref_t *ref, gboolean usable);

/**
 * confspread_tick() - Process the passage of time.
 * @s: the state
 * @now: time
 * @out: confspread_action_t are appended
 */
void confspread_tick(confspread_t *s, msec_t now, GArray *out);

#endif
