#ifndef TRANSPORT_LINGER_H
#define TRANSPORT_LINGER_H

#include <event2/event.h>
#include <glib.h>

#include "base/clock.h"

/*
 * The end of a connection after its last answer. The system resets a connection
 * that is closed while input is unread or still comes, and the reset destroys
 * what the peer has not yet received. So input is read and dropped for a time.
 */

/* Time for the peer to close, once it has received all. */
#define LINGER_MAX_MS 1000
/* More time while the peer has not received all. */
#define LINGER_UNSENT_MS 10000

/* Zeroed before linger_begin(). */
typedef struct {
	struct event *input;
	int fd;
	msec_t until; /* 0: over */
} linger_t;

/**
 * linger_begin() - Send nothing more, and drop what is received.
 * @l: memory of the caller
 * @base: the event loop
 * @fd: the socket; stays the caller's, open until linger_finish()
 * @now: the time
 */
void linger_begin(linger_t *l, struct event_base *base, int fd, msec_t now);

/** linger_is_over() - Whether the peer has closed or the time is over. */
gboolean linger_is_over(const linger_t *l, msec_t now);

/** linger_finish() - Stop reading; may be called without linger_begin(). */
void linger_finish(linger_t *l);

#endif
