#ifndef PROTOCOL_BEACON_H
#define PROTOCOL_BEACON_H

#include "coordination/fleet.h"
#include "protocol/peer_msg.h"

/* A host's news as a datagram. */

/* Most workspaces and servers told in one beacon. */
#define BEACON_DEMANDS_MAX 256
#define BEACON_LOADS_MAX 1024

/**
 * beacon_encode() - Write news.
 * @news: the news
 * @secret: of the hosts
 * @out: room for PEER_MSG_MAX_BYTES
 *
 * Return: bytes written; 0 if it does not fit.
 */
size_t beacon_encode(
    fleet_status_t *news, const peer_secret_t *secret, uint8_t *out);

/**
 * beacon_decode() - Check and read news.
 * @data: the datagram
 * @len: bytes of it
 * @secret: of the hosts
 * @news: initialised; filled on success
 *
 * Return: whether it is a sound beacon.
 */
gboolean beacon_decode(const uint8_t *data, size_t len,
    const peer_secret_t *secret, fleet_status_t *news);

#endif
