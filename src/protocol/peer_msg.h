#ifndef PROTOCOL_PEER_MSG_H
#define PROTOCOL_PEER_MSG_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <rpc/rpc.h>

/*
 * Datagrams between hosts: a message in XDR, followed by its hash, which is
 * keyed with the secret that the hosts share. Datagrams whose sender does not
 * hold the secret are dropped.
 */

#define PEER_MSG_MAX_BYTES 8192
#define PEER_SECRET_BYTES 32

typedef struct {
	uint8_t bytes[PEER_SECRET_BYTES];
} peer_secret_t;

/* Kind of a datagram, in its first 32-bit word. */
typedef enum {
	PEER_BEACON = 1,
	PEER_TOKEN_REQUEST,
	PEER_TOKEN_ANSWER,
	PEER_TABLE,
	PEER_SUSPECTS,
	PEER_SUMMARIES,
	PEER_USAGE,
	PEER_USAGE_ACK,
} peer_kind_t;

/* Encodes or decodes a message, beginning with its kind. */
typedef bool_t (*peer_msg_xdr_t)(XDR *x, void *msg);

/** peer_msg_kind() - Kind of a datagram; 0 if it is too short to have one. */
uint32_t peer_msg_kind(const uint8_t *data, size_t len);

/**
 * peer_msg_write() - Encode a message and append its hash.
 * @xdr: encodes the message
 * @msg: the message
 * @secret: secret shared by the hosts
 * @out: buffer for the datagram
 * @room: size of the buffer in bytes, at most PEER_MSG_MAX_BYTES
 *
 * Return: number of bytes written, or 0 if the message does not fit.
 */
size_t peer_msg_write(peer_msg_xdr_t xdr, void *msg,
    const peer_secret_t *secret, uint8_t *out, size_t room);

/**
 * peer_msg_read() - Check the hash of a message and decode it.
 * @xdr: decodes the message
 * @msg: filled in; on failure possibly in part
 * @secret: secret shared by the hosts
 * @data: the datagram
 * @len: its length in bytes
 *
 * Return: whether the hash is correct and decoding used every byte.
 */
gboolean peer_msg_read(peer_msg_xdr_t xdr, void *msg,
    const peer_secret_t *secret, const uint8_t *data, size_t len);

#endif
