#ifndef PROTOCOL_SUSPECT_MSG_H
#define PROTOCOL_SUSPECT_MSG_H

#include "coordination/poison.h"
#include "protocol/peer_msg.h"

/*
 * A datagram in which a host sends all others its events about requests that
 * crash backend servers.
 */

/* Maximum number of events in a datagram, even if all names are the longest. */
#define SUSPECT_MSG_ROWS 32
#define SUSPECT_MSG_NAME_BYTES 128

typedef struct {
	uint64_t host; /* whose events they are */
	gboolean
	    relay; /* a collector passes it on to the hosts of its domain */
	uint32_t count; /* number of rows in use */
	poison_event_t rows[SUSPECT_MSG_ROWS];
} suspect_msg_t;

/**
 * suspect_msg_encode() - Encode and authenticate events.
 * @msg: the events; rows whose server name is too long are removed from it
 * @secret: secret shared by the hosts
 * @out: buffer of PEER_MSG_MAX_BYTES
 *
 * Return: number of bytes written.
 */
size_t suspect_msg_encode(
    suspect_msg_t *msg, const peer_secret_t *secret, uint8_t *out);

/**
 * suspect_msg_decode() - Authenticate and decode events.
 * @data: the datagram
 * @len: its length in bytes
 * @secret: secret shared by the hosts
 * @msg: set on success; names of servers are interned strings
 */
gboolean suspect_msg_decode(const uint8_t *data, size_t len,
    const peer_secret_t *secret, suspect_msg_t *msg);

#endif
