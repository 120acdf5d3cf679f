#ifndef TRANSPORT_BODY_MEMORY_H
#define TRANSPORT_BODY_MEMORY_H

#include <glib.h>

/*
 * Memory that requests take while they come in and are answered, shared by
 * dynamic thresholds: an address may hold BODY_MEMORY_SHARE times what is left
 * of it, alone eight ninths, beside another that wants as much 8/17. So there
 * is always some left for an address that holds little.
 */
#define BODY_MEMORY_SHARE 8

/* An address that requests come from. */
typedef struct {
	char *address;
	size_t held; /* bytes, of all its requests */
	guint refs;
} body_peer_t;

typedef struct {
	size_t bound; /* bytes */
	size_t held;
	GHashTable *peers; /* address to body_peer_t */
} body_memory_t;

/* What one connection holds of it. */
typedef struct {
	body_peer_t *peer; /* NULL: nothing has come yet */
	size_t held;	   /* bytes */
} body_part_t;

/**
 * body_memory_init() - Start with nothing held.
 * @m: memory of the caller
 * @bound: bytes in all
 */
void body_memory_init(body_memory_t *m, size_t bound);

/** body_memory_finish() - To be called once every part was dropped. */
void body_memory_finish(body_memory_t *m);

/**
 * body_memory_take() - Bytes have come in.
 * @m: the memory
 * @part: zeroed before its first bytes
 * @fd: the connection, asked for its peer's address at the first bytes
 * @bytes: how many
 */
void body_memory_take(
    body_memory_t *m, body_part_t *part, int fd, size_t bytes);

/** body_memory_release() - A request no longer takes memory. */
void body_memory_release(body_memory_t *m, body_part_t *part);

/** body_memory_drop() - A connection is over. */
void body_memory_drop(body_memory_t *m, body_part_t *part);

/**
 * body_memory_over() - Must the address of a part give some back?
 * @m: the memory
 * @part: has taken some
 */
gboolean body_memory_over(const body_memory_t *m, const body_part_t *part);

#endif
