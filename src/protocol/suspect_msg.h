#ifndef PROTOCOL_SUSPECT_MSG_H
#define PROTOCOL_SUSPECT_MSG_H

#include "coordination/poison.h"
#include "protocol/peer_msg.h"

/* News of requests that crash backend servers, from one host to all others. */

/* Most in one datagram, with servers' names as long as they may be. */
#define SUSPECT_MSG_ROWS 32
#define SUSPECT_MSG_NAME_BYTES 128

typedef struct {
	uint64_t host;	/* who tells it */
	uint32_t count; /* of rows used */
	poison_event_t rows[SUSPECT_MSG_ROWS];
} suspect_msg_t;

/**
 * suspect_msg_encode() - Write news.
 * @msg: the news; rows whose server has too long a name are left out
 * @secret: of the hosts
 * @out: room for PEER_MSG_MAX_BYTES
 *
 * Return: bytes written.
 */
size_t suspect_msg_encode(
    suspect_msg_t *msg, const peer_secret_t *secret, uint8_t *out);

/**
 * suspect_msg_decode() - Check and read news.
 * @data: the datagram
 * @len: bytes of it
 * @secret: of the hosts
 * @msg: set on success; names of servers are interned
 */
gboolean suspect_msg_decode(const uint8_t *data, size_t len,
    const peer_secret_t *secret, suspect_msg_t *msg);

#endif
