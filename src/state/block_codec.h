#ifndef STATE_BLOCK_CODEC_H
#define STATE_BLOCK_CODEC_H

#include "state/block_map.h"

/*
 * Bytes of a block map's snapshot and of its change sets: a header (magic,
 * kind, version, count), for each block its prefix length, site and the
 * distance from the block before in units of its own size as a varint, and
 * a BLAKE2b-256 hash of all that.
 */

typedef enum {
	BLOCK_SNAPSHOT = 's',
	BLOCK_CHANGES = 'c',
} block_kind_t;

/**
 * block_snapshot_encode() - Append the snapshot of a map.
 * @m: the map
 * @out: where to append
 */
void block_snapshot_encode(const block_map_t *m, GByteArray *out);

/**
 * block_snapshot_load() - Replace a map by a snapshot.
 * @m: the map; unchanged on error
 * @data: bytes of the snapshot
 * @len: how many
 * @err: ERROR_INVALID for bytes that are damaged or no snapshot
 */
gboolean block_snapshot_load(
    block_map_t *m, const uint8_t *data, size_t len, GError **err);

/**
 * block_changes_encode() - Append a change set.
 * @version: number of the set
 * @changes: sorted as block_map_apply() asks
 * @n: how many
 * @out: where to append
 */
void block_changes_encode(
    uint64_t version, const block_t *changes, size_t n, GByteArray *out);

/**
 * block_changes_apply() - Apply an encoded change set.
 * @m: the map; unchanged on error
 * @data: bytes of the set
 * @len: how many
 * @err: ERROR_INVALID for damaged bytes, or that of block_map_apply()
 */
gboolean block_changes_apply(
    block_map_t *m, const uint8_t *data, size_t len, GError **err);

#endif
