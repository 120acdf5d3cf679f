#ifndef COORDINATION_CONFSPREAD_H
#define COORDINATION_CONFSPREAD_H

#include <stdint.h>

#include <glib.h>

#include "coordination/progress.h"
#include "state/digest.h"

/*
 * How this host follows the accepted configuration. It learns of versions
 * from the store's head row and from peers, fetches the text from a peer that
 * has just this version in force or from the object store, and puts it in
 * force whole or not at all. What is in force never goes to a lower version.
 */

#define CONFSPREAD_FETCH_LIMIT_MS 2000
#define CONFSPREAD_BACKOFF_MIN_MS 100
#define CONFSPREAD_BACKOFF_MAX_MS 1600

/* An accepted configuration: its version names one text only. */
typedef struct {
	uint64_t version; /* 0: none */
	digest_t digest;
} config_ref_t;

typedef struct {
	config_ref_t in_force;
	config_ref_t wanted; /* highest that is known to be accepted */
	uint64_t unusable;   /* highest whose text did not parse here */
	progress_t peers;    /* versions that the other hosts have told */
	gboolean fetching;
	uint32_t attempt;
	uint32_t failures; /* in a row, for the wanted version */
	msec_t limit;	   /* of the fetch under way */
	msec_t retry_at;
} confspread_t;

typedef enum {
	CONFSPREAD_FETCH_PEER,	/* ask a host for the version's text */
	CONFSPREAD_FETCH_STORE, /* get the object with the digest */
} confspread_action_kind_t;

/* Answered by confspread_fetched() or confspread_fetch_failed(). */
typedef struct {
	confspread_action_kind_t kind;
	uint32_t attempt;
	config_ref_t ref;
	replica_t peer; /* for FETCH_PEER */
} confspread_action_t;

void confspread_init(confspread_t *s);
void confspread_finish(confspread_t *s);

/**
 * confspread_learn() - A version is known to be accepted.
 * @s: the state
 * @ref: from the store's head row, or in force at a peer
 * @now: time
 * @out: confspread_action_t are appended
 *
 * Return: FALSE if @ref contradicts what is known of the same version.
 */
gboolean confspread_learn(
    confspread_t *s, const config_ref_t *ref, msec_t now, GArray *out);

/**
 * confspread_peer() - A peer has told what it has in force.
 * @s: the state
 * @peer: the peer
 * @version: the version; to be passed to confspread_learn() as well
 */
void confspread_peer(confspread_t *s, replica_t peer, uint64_t version);

/**
 * confspread_fetched() - A text has come.
 * @s: the state
 * @attempt: from the action
 * @text: the bytes
 * @len: how many
 * @now: time
 * @ref: set to the version whose text it is
 *
 * Return: TRUE if it is the text wanted: the caller parses it and calls
 * confspread_parsed() before any other event. Else it counts as a failure.
 */
gboolean confspread_fetched(confspread_t *s, uint32_t attempt, const void *text,
    size_t len, msec_t now, config_ref_t *ref);

void confspread_fetch_failed(confspread_t *s, uint32_t attempt, msec_t now);

/**
 * confspread_parsed() - The text was parsed.
 * @s: the state
 * @ref: from confspread_fetched()
 * @usable: whether it parsed; if not, this version is not tried again
 *
 * Return: TRUE if it is now in force here.
 */
gboolean confspread_parsed(
    confspread_t *s, const config_ref_t *ref, gboolean usable);

/**
 * confspread_tick() - Time has passed.
 * @s: the state
 * @now: time
 * @out: confspread_action_t are appended
 */
void confspread_tick(confspread_t *s, msec_t now, GArray *out);

#endif
