#ifndef STATE_REPLY_MEMORY_H
#define STATE_REPLY_MEMORY_H

#include <glib.h>

#include "base/clock.h"

/*
 * Memory for replies that wait for their callers to read them, and the decision
 * which of them gives way if all together hold too much. In this order:
 *
 * 1. Replies whose callers took nothing for REPLY_STALLED_MS.
 * 2. Those of the address that holds most, so that no address pushes out
 *    others that hold less.
 * 3. Of these, replies whose callers have not shown that they read: the socket
 *    takes the first part of a reply at once, also if nobody reads it.
 * 4. Of these, the one of which nothing was taken for longest.
 *
 * Accounting costs O(1); choosing costs O(addresses), and is done only over the
 * limit.
 */

#define REPLY_STALLED_MS 1000
/* A caller that takes a part later than this after the start reads. */
#define REPLY_PROOF_MS 200

/* A caller's address, without the port, and what its replies hold. */
typedef struct {
	char *address;
	size_t held; /* bytes */
	guint refs;  /* connections that refer to it */
	/* reply_usage_t, longest untouched first; [1]: the caller reads */
	GQueue waiting[2];
} reply_peer_t;

typedef struct {
	size_t limit; /* bytes */
	size_t held;
	GHashTable *peers; /* address to reply_peer_t */
} reply_memory_t;

/* The memory of the reply on one connection; zeroed before its first one. */
typedef struct {
	reply_peer_t *peer; /* NULL until the first bytes */
	size_t held;	    /* bytes */
	msec_t began_at;    /* since when bytes wait */
	msec_t taken_at;    /* when the caller last took a part */
	gboolean reads; /* a part was taken REPLY_PROOF_MS after the start */
	void *owner;
	GList link;
} reply_usage_t;

/**
 * reply_memory_init() - Initialize with nothing held.
 * @m: memory of the caller
 * @limit: most bytes that all replies hold together
 */
void reply_memory_init(reply_memory_t *m, size_t limit);

/** reply_memory_finish() - Free; every usage must have been detached before. */
void reply_memory_finish(reply_memory_t *m);

/**
 * reply_memory_add() - Account for bytes that begin to wait.
 * @m: the memory
 * @u: usage of the connection; its owner is set
 * @address: of the caller; read at the first bytes only
 * @bytes: number of bytes
 * @now: current time
 */
void reply_memory_add(reply_memory_t *m, reply_usage_t *u, const char *address,
    size_t bytes, msec_t now);

/** reply_memory_take() - Account for bytes that left for the caller. */
void reply_memory_take(
    reply_memory_t *m, reply_usage_t *u, size_t bytes, msec_t now);

/** reply_memory_release() - Nothing waits on the connection any more. */
void reply_memory_release(reply_memory_t *m, reply_usage_t *u);

/** reply_memory_detach() - Release the memory of a connection that ends. */
void reply_memory_detach(reply_memory_t *m, reply_usage_t *u);

/** reply_memory_is_over() - Whether replies must give way. */
gboolean reply_memory_is_over(const reply_memory_t *m);

/**
 * reply_memory_next() - Choose the reply that gives way next.
 * @m: the memory
 * @now: current time
 *
 * Return: its usage; NULL if none waits.
 */
reply_usage_t *reply_memory_next(const reply_memory_t *m, msec_t now);

#endif
