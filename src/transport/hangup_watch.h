#ifndef TRANSPORT_HANGUP_WATCH_H
#define TRANSPORT_HANGUP_WATCH_H

#include <event2/event.h>
#include <glib.h>

/*
 * Notices that the peer of a connection has closed or reset it while nothing is
 * read from the connection. libevent's EV_CLOSED sees a close, but no reset: a
 * reset is reported as EV_READ and EV_WRITE, at each turn of the loop. The
 * watch therefore has an epoll instance of its own, in which only hang-ups are
 * of interest and each is reported once.
 */

typedef struct {
	int epoll;
	struct event *ready; /* the epoll instance has something to report */
	void (*gone)(void *arg);
} hangup_watch_t;

/**
 * hangup_watch_init() - Start without connections.
 * @w: memory of the caller; end with hangup_watch_finish()
 * @base: the event loop
 * @gone: called with the connection's @arg once its peer is gone; may remove
 *	any connection
 * @err: set on failure
 */
gboolean hangup_watch_init(hangup_watch_t *w, struct event_base *base,
    void (*gone)(void *arg), GError **err);

/** hangup_watch_finish() - End; also after a failure of hangup_watch_init(). */
void hangup_watch_finish(hangup_watch_t *w);

/**
 * hangup_watch_add() - Watch a connection.
 * @w: the watch
 * @fd: its socket; to be removed before it is closed
 * @arg: passed to the callback
 *
 * Return: FALSE if the system refused it; errno says why.
 */
gboolean hangup_watch_add(hangup_watch_t *w, int fd, void *arg);

/** hangup_watch_remove() - No longer watch a connection. */
void hangup_watch_remove(hangup_watch_t *w, int fd);

#endif
