#ifndef PROTOCOL_BEACON_H
#define PROTOCOL_BEACON_H

#include "coordination/fleet.h"
#include "protocol/peer_msg.h"

/* A host's status (fleet_status_t) as a datagram to its collectors. */

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

/** beacon_xdr_status() - Encode or decode a status without its kind. */
bool_t beacon_xdr_status(XDR *x, fleet_status_t *status);

/** beacon_status_bytes() - Size of an encoded status. */
size_t beacon_status_bytes(const fleet_status_t *status);

#endif
