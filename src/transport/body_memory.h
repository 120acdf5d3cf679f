#ifndef TRANSPORT_BODY_MEMORY_H
#define TRANSPORT_BODY_MEMORY_H

#include <glib.h>

/*
 * Memory for requests while they are received and answered. Addresses share it
 * by a dynamic threshold: one address may hold at most BODY_MEMORY_SHARE times
 * the memory that is still free. A single address can take 8/9 of the memory;
 * two that want equally much can take 8/17 each. Some memory therefore stays
 * free for addresses that hold little.
 */
#define BODY_MEMORY_SHARE 8

/* A client address, without the port, and the memory its requests hold. */
typedef struct {
	char *address;
	size_t held; /* bytes, of all its requests */
	guint refs;  /* connections that refer to it */
} body_peer_t;

typedef struct {
	size_t limit; /* bytes */
	size_t held;
	GHashTable *peers; /* address to body_peer_t */
} body_memory_t;

/* The memory that one connection holds. */
typedef struct {
	body_peer_t *peer; /* NULL until the first bytes are received */
	size_t held;	   /* bytes */
} body_usage_t;

/**
 * body_memory_init() - Initialize with no memory held.
 * @m: memory of the caller
 * @limit: most bytes held by all requests together
 */
void body_memory_init(body_memory_t *m, size_t limit);

/** body_memory_finish() - Free; every usage must have been detached before. */
void body_memory_finish(body_memory_t *m);

/**
 * body_memory_take() - Account for received bytes.
 * @m: the memory
 * @usage: the connection's usage, zeroed before its first bytes
 * @fd: the connection's socket; its peer address is read at the first bytes
 * @bytes: number of bytes received
 */
void body_memory_take(
    body_memory_t *m, body_usage_t *usage, int fd, size_t bytes);

/** body_memory_release() - Give back the memory of a finished request. */
void body_memory_release(body_memory_t *m, body_usage_t *usage);

/** body_memory_detach() - Release the memory of a connection that ends. */
void body_memory_detach(body_memory_t *m, body_usage_t *usage);

/**
 * body_memory_is_over() - Whether an address holds more than it may.
 * @m: the memory
 * @usage: usage of a connection from this address, after body_memory_take()
 *
 * Return: TRUE if the address exceeds its threshold or the total limit is
 * exceeded; requests of the address must then be refused.
 */
gboolean body_memory_is_over(const body_memory_t *m, const body_usage_t *usage);

#endif
