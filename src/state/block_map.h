#ifndef STATE_BLOCK_MAP_H
#define STATE_BLOCK_MAP_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/*
 * Which site serves a client, by the IPv4 prefix (block) of its address.
 * Blocks don't overlap. A map has a version; change sets are numbered and are
 * applied whole, in order and once.
 */

/* Most blocks of a map: as many as there are /24 prefixes. */
#define BLOCKS_MAX (1u << 24)
/* Most sites. */
#define BLOCK_SITES_MAX 255
/* No site; in a change: the block is removed. */
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
	uint32_t *first; /* by upper half of an address: where to search */
} block_map_t;

/** block_map_init() - An empty map of version 0. */
void block_map_init(block_map_t *m);

void block_map_finish(block_map_t *m);

/**
 * block_map_load() - Replace all blocks.
 * @m: the map; unchanged on error
 * @version: of the new content
 * @blocks: sorted by address, without overlap
 * @n: how many
 * @err: ERROR_INVALID for blocks out of order, malformed or too many
 */
gboolean block_map_load(block_map_t *m, uint64_t version, const block_t *blocks,
    size_t n, GError **err);

/**
 * block_map_apply() - Apply a change set.
 * @m: the map; unchanged on error
 * @version: number of the set: one above the map's
 * @changes: sorted by address, then length; each adds a block, gives it
 *	another site, or removes it (BLOCK_SITE_NONE)
 * @n: how many
 * @err: ERROR_CONFLICT for another number; ERROR_INVALID where the outcome
 *	would overlap, a removed block is absent, or a change is malformed
 *
 * Changes of site only are made in place; others copy the map.
 */
gboolean block_map_apply(block_map_t *m, uint64_t version,
    const block_t *changes, size_t n, GError **err);

/**
 * block_map_find() - The site of a client.
 * @m: the map
 * @address: of the client, host byte order
 *
 * Return: the site, or BLOCK_SITE_NONE where no block holds the address.
 */
site_id_t block_map_find(const block_map_t *m, uint32_t address);

/** block_map_get() - Block number @i, by address. */
block_t block_map_get(const block_map_t *m, size_t i);

#endif
