#ifndef PROTOCOL_BEACON_H
#define PROTOCOL_BEACON_H

#include "coordination/fleet.h"
#include "protocol/peer_msg.h"

/* A host's status (fleet_status_t) as a datagram. */

/* Maximum number of workspaces and of servers in one beacon. */
#define BEACON_DEMANDS_MAX 256
#define BEACON_LOADS_MAX 1024

/**
 * beacon_encode() - Encode and authenticate a beacon.
 * @status: status of this host
 * @secret: secret shared by the hosts
 * @out: buffer of PEER_MSG_MAX_BYTES
 *
 * Return: number of bytes written, or 0 if the beacon does not fit.
 */
size_t beacon_encode(
    fleet_status_t *status, const peer_secret_t *secret, uint8_t *out);

/**
 * beacon_decode() - Authenticate and decode a beacon.
 * @data: the datagram
 * @len: its length in bytes
 * @secret: secret shared by the hosts
 * @status: initialized by the caller; filled in on success
 *
 * Return: whether the datagram is a valid beacon.
 */
gboolean beacon_decode(const uint8_t *data, size_t len,
    const peer_secret_t *secret, fleet_status_t *status);

#endif
