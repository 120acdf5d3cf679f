#ifndef STATE_BLOCK_CODEC_H
#define STATE_BLOCK_CODEC_H

#include "state/block_map.h"

/*
 * Encoding of a block map's snapshots and change sets: a header (magic, kind,
 * version, count); for each block its prefix length, its site, and its
 * distance from the previous block as a varint, in units of its own size; and
 * a BLAKE2b-256 hash of all these bytes.
 */

typedef enum {
	BLOCK_SNAPSHOT = 's',
	BLOCK_CHANGES = 'c',
} block_kind_t;

/**
 * block_snapshot_encode() - Append the snapshot of a map.
 * @m: the map
 * @out: array to which the snapshot is appended
 */
void block_snapshot_encode(const block_map_t *m, GByteArray *out);

/**
 * block_snapshot_load() - Replace a map by a snapshot.
 * @m: the map; unchanged on error
 * @data: bytes of the snapshot
 * @len: number of bytes
 * @err: ERROR_INVALID if the bytes are damaged or not a snapshot
 */
gboolean block_snapshot_load(
    block_map_t *m, const uint8_t *data, size_t len, GError **err);

/**
 * block_changes_encode() - Append a change set.
 * @version: number of the set
 * @changes: sorted as block_map_apply() requires
 * @n: number of changes
 * @out: array to which the set is appended
 */
void block_changes_encode(
    uint64_t version, const block_t *changes, size_t n, GByteArray *out);

/**
 * block_changes_apply() - Apply an encoded change set.
 * @m: the map; unchanged on error
 * @data: bytes of the set
 * @len: number of bytes
 * @err: ERROR_INVALID if the bytes are damaged, or the error of
 *	block_map_apply()
 */
gboolean block_changes_apply(
    block_map_t *m, const uint8_t *data, size_t len, GError **err);

#endif
