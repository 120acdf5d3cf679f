#ifndef TRANSPORT_CLIENT_MEMORY_H
#define TRANSPORT_CLIENT_MEMORY_H

#include <glib.h>

/*
 * Memory that the requests of clients hold before they are whole, and the
 * decision which connection gives way if all together hold too much. Bodies are
 * not counted here: see body_memory.h. Pure: no clock, no socket.
 *
 * Accounting costs O(1); choosing a victim costs O(connections that hold
 * memory), and is done only over the limit.
 */

/* The memory that one connection holds; part of the connection. Zeroed before
 * its first use. */
typedef struct {
	size_t held; /* bytes */
	gboolean has_whole_request;
	void *owner; /* not used here; set by the user of the entry */
	GList link;  /* its data is NULL while nothing is held */
} client_memory_entry_t;

typedef struct {
	size_t limit; /* bytes */
	size_t held;
	GQueue entries; /* client_memory_entry_t that hold memory */
} client_memory_t;

/**
 * client_memory_init() - Initialize with nothing held.
 * @m: memory of the caller
 * @limit_bytes: most bytes that all connections hold together
 */
void client_memory_init(client_memory_t *m, size_t limit_bytes);

/**
 * client_memory_set() - Set what a connection holds.
 * @m: the memory
 * @entry: the connection's entry
 * @bytes: held now
 * @has_whole_request: a whole request of the connection is waiting or being
 *	answered, so that the connection must not be closed
 */
void client_memory_set(client_memory_t *m, client_memory_entry_t *entry,
    size_t bytes, gboolean has_whole_request);

/** client_memory_remove() - The connection holds nothing any more. */
void client_memory_remove(client_memory_t *m, client_memory_entry_t *entry);

/** client_memory_is_over() - Whether more than the limit is held. */
gboolean client_memory_is_over(const client_memory_t *m);

/**
 * client_memory_victim() - Choose the connection that gives way next.
 * @m: the memory
 *
 * Return: over the limit, the entry with most bytes that has no whole request;
 * else NULL.
 */
client_memory_entry_t *client_memory_victim(const client_memory_t *m);

#endif
