#ifndef COORDINATION_CONFIG_SYNC_H
#define COORDINATION_CONFIG_SYNC_H

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

#define CONFIG_SYNC_FETCH_TIMEOUT_MS 2000
#define CONFIG_SYNC_BACKOFF_MIN_MS 100
#define CONFIG_SYNC_BACKOFF_MAX_MS 1600

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
} config_sync_t;

typedef enum {
	CONFIG_SYNC_FETCH_PEER,	 /* ask a host for the version's text */
	CONFIG_SYNC_FETCH_STORE, /* get the object with this digest */
} config_sync_action_kind_t;

/*
 * An action; the caller reports its outcome by config_sync_fetched() or
 * config_sync_fetch_failed().
 */
typedef struct {
	config_sync_action_kind_t kind;
	uint32_t attempt;
	config_ref_t ref;
	replica_t peer; /* for FETCH_PEER */
} config_sync_action_t;

void config_sync_init(config_sync_t *s);
void config_sync_finish(config_sync_t *s);

/**
 * config_sync_learn() - Learn of an accepted version.
 * @s: the state
 * @ref: the version in the store's head row or in force on a peer
 * @now: time
 * @out: config_sync_action_t are appended
 *
 * Return: FALSE if another digest is known for the same version.
 */
gboolean config_sync_learn(
    config_sync_t *s, const config_ref_t *ref, msec_t now, GArray *out);

/**
 * config_sync_peer_version() - Record the version that a peer has in force.
 * @s: the state
 * @peer: the peer
 * @version: the version; the caller also passes it to config_sync_learn()
 */
void config_sync_peer_version(
    config_sync_t *s, replica_t peer, uint64_t version);

/**
 * config_sync_fetched() - Check a fetched text.
 * @s: the state
 * @attempt: from the action
 * @text: the bytes
 * @len: number of bytes
 * @now: time
 * @ref: set to the version that the text belongs to
 *
 * Return: TRUE if it is the wanted text. The caller then parses it and calls
 * config_sync_parsed() before any other event. Otherwise the fetch has failed.
 */
gboolean config_sync_fetched(config_sync_t *s, uint32_t attempt,
    const void *text, size_t len, msec_t now, config_ref_t *ref);

void config_sync_fetch_failed(config_sync_t *s, uint32_t attempt, msec_t now);

/**
 * config_sync_parsed() - Record whether the fetched text parsed.
 * @s: the state
 * @ref: from config_sync_fetched()
 * @usable: whether the text parsed; if not, this version is not fetched again
 *
 * Return: TRUE if the version is now in force on this host.
 */
gboolean config_sync_parsed(
    config_sync_t *s, const config_ref_t *ref, gboolean usable);

/**
 * config_sync_tick() - Process the passage of time.
 * @s: the state
 * @now: time
 * @out: config_sync_action_t are appended
 */
void config_sync_tick(config_sync_t *s, msec_t now, GArray *out);

#endif
