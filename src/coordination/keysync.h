#ifndef COORDINATION_KEYSYNC_H
#define COORDINATION_KEYSYNC_H

#include "coordination/withdrawals.h"

/*
 * The keys of one host: what it takes in from the store and from its peers,
 * and what it says of them, in the order on which the promises rest. See
 * docs/KEYS.md.
 */

typedef struct {
	replica_t self;
	keys_t keys;
	freshness_t fresh;
	roster_view_t view; /* of the same scans as the keys */
	uint64_t view_version;
	withdrawals_t withdrawals;
} keysync_t;

/* One scan of the store: key rows that changed, and the whole roster. */
typedef struct {
	const key_row_t *rows;
	guint nrows;
	const replica_t *roster;
	guint nroster;
	uint64_t since, upto; /* versions: asked for, reached */
	uint64_t joined;      /* at which our roster row came; 0: not there */
	msec_t sent;
} keysync_scan_t;

/* What a host says of its keys when a peer asks. */
typedef struct {
	uint64_t version; /* keys version */
	msec_t scan_age;  /* in milliseconds; -1 for none */
	gboolean vouch;	  /* may the roster vouch, as far as keys go? */
} keysync_word_t;

void keysync_init(keysync_t *s, replica_t self);
void keysync_finish(keysync_t *s);

/**
 * keysync_scanned() - A scan was answered.
 * @s: the state
 * @scan: what it brought
 * @now: time
 */
void keysync_scanned(keysync_t *s, const keysync_scan_t *scan, msec_t now);

/**
 * keysync_say() - Answer a peer's exchange.
 * @s: the state
 * @asker: the peer
 * @now: time of the answer
 */
keysync_word_t keysync_say(const keysync_t *s, replica_t asker, msec_t now);

/**
 * keysync_heard() - A peer has answered our exchange.
 * @s: the state
 * @word: what it said
 * @sent: when we asked
 * @vouched_since: earliest send time among the latest vouches of all roster
 *	hosts, this answer included; FRESH_NEVER if one is missing
 *
 * Return: TRUE if the peer's keys are ahead: fetch them from it, from
 * keys_complete() on.
 */
gboolean keysync_heard(keysync_t *s, const keysync_word_t *word, msec_t sent,
    msec_t vouched_since);

/**
 * keysync_fetched() - Rows from keys_delta() of a peer have come.
 * @s: the state
 * @rows: the rows
 * @n: how many
 * @since: version that was asked for
 * @upto: version that the peer gave with them
 */
void keysync_fetched(keysync_t *s, const key_row_t *rows, guint n,
    uint64_t since, uint64_t upto);

/**
 * keysync_told() - A peer tells a withdrawal; confirm it on return.
 * @s: the state
 * @digest: digest of the key
 */
void keysync_told(keysync_t *s, const digest_t *digest);

/**
 * keysync_goodbye() - A peer has left the roster by its own word.
 * @s: the state
 * @version: the keys version that its goodbye carries
 *
 * Own goodbyes: only after withdrawals_settled(), and only to hosts that are
 * in the view.
 */
void keysync_goodbye(keysync_t *s, uint64_t version);

/* Withdrawals of this host; see withdrawals_take() and withdrawals_tick(). */
uint32_t keysync_withdraw(
    keysync_t *s, const digest_t *digest, msec_t now, GArray *out);
void keysync_tick(keysync_t *s, gboolean eligible, msec_t now, GArray *out);

#endif
