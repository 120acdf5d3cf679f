#ifndef PROTOCOL_PEER_MSG_H
#define PROTOCOL_PEER_MSG_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <rpc/rpc.h>

/*
 * Datagrams between hosts: XDR, then a keyed hash by the secret that hosts
 * share. What comes from nobody who holds the secret is dropped.
 */

#define PEER_MSG_MAX_BYTES 8192
#define PEER_SECRET_BYTES 32

typedef struct {
	uint8_t bytes[PEER_SECRET_BYTES];
} peer_secret_t;

/* The first word of a datagram tells what it is. */
typedef enum {
	PEER_BEACON = 1,
	PEER_TOKEN_REQUEST,
	PEER_TOKEN_ANSWER,
	PEER_TABLE,
	PEER_SUSPECTS,
} peer_kind_t;

/* Writes or reads a message, its kind first. */
typedef bool_t (*peer_msg_xdr_t)(XDR *x, void *msg);

/** peer_msg_kind() - First word of a datagram; 0 if there is none. */
uint32_t peer_msg_kind(const uint8_t *data, size_t len);

/**
 * peer_msg_write() - Write and seal a message.
 * @xdr: writes it
 * @msg: the message
 * @secret: of the hosts
 * @out: the datagram
 * @room: bytes of it, PEER_MSG_MAX_BYTES at most
 *
 * Return: bytes written; 0 if it does not fit.
 */
size_t peer_msg_write(peer_msg_xdr_t xdr, void *msg,
    const peer_secret_t *secret, uint8_t *out, size_t room);

/**
 * peer_msg_read() - Check and read a message.
 * @xdr: reads it
 * @msg: filled; on failure perhaps in part
 * @secret: of the hosts
 * @data: the datagram
 * @len: bytes of it
 *
 * Return: whether it was sealed with the secret and has nothing left over.
 */
gboolean peer_msg_read(peer_msg_xdr_t xdr, void *msg,
    const peer_secret_t *secret, const uint8_t *data, size_t len);

#endif
