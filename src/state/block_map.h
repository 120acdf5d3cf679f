#ifndef STATE_BLOCK_MAP_H
#define STATE_BLOCK_MAP_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/*
 * Maps the IPv4 prefix (block) of a client's address to the site that serves
 * it. Blocks don't overlap. A map has a version. Change sets are numbered; each
 * is applied completely or not at all, in order and once.
 */

/* Most blocks of a map: the number of /24 prefixes. */
#define BLOCKS_MAX (1u << 24)
#define BLOCK_SITES_MAX 255
/* No site; in a change: removes the block. */
#define BLOCK_SITE_NONE 255

typedef uint8_t site_id_t;

typedef struct {
	uint32_t address; /* first address, host byte order */
	uint8_t length;	  /* of the prefix, 0..32 bits */
	site_id_t site;
} block_t;

typedef struct {
	uint64_t version;
	uint32_t *addresses; /* ascending */
	uint8_t *lengths;
	site_id_t *sites;
	size_t n;
	/* by upper 16 bits of an address: index of the first block that begins
	 * there or later */
	uint32_t *index;
} block_map_t;

/** block_map_init() - Set up an empty map of version 0. */
void block_map_init(block_map_t *m);

void block_map_finish(block_map_t *m);

/**
 * block_map_load() - Replace all blocks.
 * @m: the map; unchanged on error
 * @version: version of the new content
 * @blocks: sorted by address, without overlap
 * @n: number of blocks
 * @err: ERROR_INVALID if blocks are out of order, malformed or too many
 */
gboolean block_map_load(block_map_t *m, uint64_t version, const block_t *blocks,
    size_t n, GError **err);

/**
 * block_map_apply() - Apply a change set.
 * @m: the map; unchanged on error
 * @version: number of the set; must be the version of the map plus 1
 * @changes: sorted by address, then length; each adds a block, gives it
 *	another site, or removes it (BLOCK_SITE_NONE)
 * @n: number of changes
 * @err: ERROR_CONFLICT for another number; ERROR_INVALID if blocks would
 *	overlap, a removed block does not exist, or a change is malformed
 *
 * A set that only changes sites is applied in place; others copy the map.
 */
gboolean block_map_apply(block_map_t *m, uint64_t version,
    const block_t *changes, size_t n, GError **err);

/**
 * block_map_find() - Find the site of a client.
 * @m: the map
 * @address: address of the client, host byte order
 *
 * Return: the site, or BLOCK_SITE_NONE if no block contains the address.
 */
site_id_t block_map_find(const block_map_t *m, uint32_t address);

/** block_map_get() - Get block number @i in the order of addresses. */
block_t block_map_get(const block_map_t *m, size_t i);

#endif
