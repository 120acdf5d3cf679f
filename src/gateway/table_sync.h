#ifndef GATEWAY_TABLE_SYNC_H
#define GATEWAY_TABLE_SYNC_H

#include "gateway/status_sync.h"

/*
 * Changes of the store's tables, from the host that read them to all hosts of
 * its region: to the collectors, and from each of them to the hosts of its
 * domain.
 */

/** table_sync_send() - Send changes that this host read. @arg: status_sync_t */
void table_sync_send(void *arg, table_update_t *update);

/** table_sync_receive() - Take in a datagram with changes, and pass it on. */
void table_sync_receive(status_sync_t *s, const uint8_t *data, size_t len);

#endif
