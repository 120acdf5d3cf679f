#ifndef GATEWAY_STORE_SYNC_WRITE_H
#define GATEWAY_STORE_SYNC_WRITE_H

#include "gateway/store_sync.h"

/* Rows that this host writes: its own, and those of shifts while it holds the
 * duty. */

/** store_sync_on_join_timer() - Timer: write this host's row, or the fleet's
 * secret, once the fleet's table was listed.
 */
void store_sync_on_join_timer(evutil_socket_t fd, short what, void *arg);

/**
 * store_sync_take_own_row() - Write this host's row again if it was
 * overwritten.
 * @s: the sync
 * @r: the row as it was read
 * @ver: its version
 */
void store_sync_take_own_row(
    store_sync_t *s, const fleet_rows_t *r, uint64_t ver);

/** store_sync_write_soon() - Write what is due of the own row and secret. */
void store_sync_write_soon(store_sync_t *s);

/** store_sync_write_shift() - Write a shift's row and its status. */
void store_sync_write_shift(store_sync_t *s, const shift_write_t *write);

/** store_sync_cancel_writes() - Cancel the writes in flight. */
void store_sync_cancel_writes(store_sync_t *s);

#endif
