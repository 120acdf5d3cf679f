#ifndef GATEWAY_STORE_SYNC_ROWS_H
#define GATEWAY_STORE_SYNC_ROWS_H

#include "gateway/store_sync.h"

/*
 * Applies new and changed rows to the view. A row that says more than that a
 * server is alive is also queued for the hosts that do not read the table.
 */

/** store_sync_take_order() - Apply a row of the orders; @arg is the
 * store_sync_t.
 */
void store_sync_take_order(void *arg, const table_row_t *row);

/** store_sync_take_server() - Apply a backend server's entry. */
void store_sync_take_server(void *arg, const table_row_t *row);

/** store_sync_take_fleet() - Apply a row of the hosts' own table. */
void store_sync_take_fleet(void *arg, const table_row_t *row);

#endif
