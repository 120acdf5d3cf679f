#ifndef STATE_SERVER_WORD_H
#define STATE_SERVER_WORD_H

#include <glib.h>

#include "base/clock.h"

/*
 * What one start of a backend server said of itself in its answers to this
 * host: that it leaves, which holds until it starts again, and that it wants no
 * requests for a time. After such a pause it gets one request at a time until
 * it answers one, so that callers don't return to it all at once.
 *
 * Load: the servers of a service are stopped in turn, or all of them ask for a
 * pause at the same time, for longer than callers wait.
 */

/* Longest pause that a server may ask for. */
#define SERVER_PAUSE_MAX_MS 3600000

typedef struct {
	gboolean leaving;
	msec_t pause_until; /* 0: it asked for none */
	gboolean returning; /* nothing was answered since the pause */
} server_word_t;

/**
 * server_word_leave() - The server says that it leaves.
 *
 * Return: whether that is new.
 */
gboolean server_word_leave(server_word_t *w);

/**
 * server_word_pause() - The server asks for a pause.
 * @w: its word
 * @ms: from now on; a pause never gets shorter
 * @now: time
 *
 * Return: whether there was none.
 */
gboolean server_word_pause(server_word_t *w, msec_t ms, msec_t now);

/** server_word_answered() - The server answered a request that it took. */
void server_word_answered(server_word_t *w, msec_t now);

/** server_word_pause_left() - Time until its pause ends; 0: it has none. */
msec_t server_word_pause_left(const server_word_t *w, msec_t now);

/**
 * server_word_allows() - Whether the server may get a request now.
 * @w: its word
 * @in_flight: requests of this host at the server
 * @now: time
 */
gboolean server_word_allows(
    const server_word_t *w, guint in_flight, msec_t now);

#endif
