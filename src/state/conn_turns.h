#ifndef STATE_CONN_TURNS_H
#define STATE_CONN_TURNS_H

#include <glib.h>

#include "base/clock.h"

/*
 * The order in which the requests of a port's connections are handled. The
 * first TURNS_BURST requests of a connection in TURNS_WINDOW_MS are handled as
 * they arrive. What it sends beyond them waits in a queue, one request of each
 * connection in turn, so that a connection with few requests does not wait for
 * one with many. Each operation costs O(1).
 */

#define TURNS_WINDOW_MS 1000

/* A client may send so many requests ahead. */
#define TURNS_BURST 16

/* Part of the connection; zeroed before its first use. */
typedef struct {
	gboolean is_queued;
	gboolean is_next;  /* its next request may be handled */
	guint handled;	   /* requests in the window */
	msec_t window_end; /* 0: no request yet */
	void *owner;	   /* not used here; set by the user of the entry */
	GList link;
} turn_entry_t;

typedef struct {
	GQueue waiting; /* turn_entry_t */
} conn_turns_t;

/** conn_turns_init() - Initialize without connections. */
void conn_turns_init(conn_turns_t *turns);

/**
 * conn_turns_may_handle() - Whether a connection's next request has its turn.
 * @turns: of the port
 * @entry: the connection, which has input; queued unless it has its turn
 * @now: current time
 */
gboolean conn_turns_may_handle(
    conn_turns_t *turns, turn_entry_t *entry, msec_t now);

/** conn_turns_note() - A request of the connection is handled. */
void conn_turns_note(turn_entry_t *entry);

/**
 * conn_turns_next() - Take the connection that has its turn out of the queue.
 *
 * Return: NULL if none waits.
 */
turn_entry_t *conn_turns_next(conn_turns_t *turns);

/** conn_turns_remove() - The connection ends, or its input is dropped. */
void conn_turns_remove(conn_turns_t *turns, turn_entry_t *entry);

#endif
