#ifndef PROTOCOL_BEACON_H
#define PROTOCOL_BEACON_H

#include <stddef.h>

#include "coordination/fleet.h"

/*
 * A host's news as a datagram: XDR, then a keyed hash by the secret that
 * hosts share. What comes from nobody who holds the secret is dropped.
 */

#define BEACON_MAX_BYTES 8192
#define BEACON_SECRET_BYTES 32
/* Most workspaces and servers told in one beacon. */
#define BEACON_DEMANDS_MAX 256
#define BEACON_LOADS_MAX 1024

typedef struct {
	uint8_t bytes[BEACON_SECRET_BYTES];
} beacon_secret_t;

/** beacon_seal() - Append the keyed hash of @len bytes; return the sum. */
size_t beacon_seal(uint8_t *data, size_t len, const beacon_secret_t *secret);

/** beacon_open() - Bytes before the keyed hash; 0 if it does not fit. */
size_t beacon_open(
    const uint8_t *data, size_t len, const beacon_secret_t *secret);

/* The first word of a datagram tells what it is. */
typedef enum {
	PEER_BEACON = 1,
	PEER_TOKEN_ASK,
	PEER_TOKEN_ANSWER,
	PEER_TABLE,
} peer_kind_t;

/** beacon_kind() - First word of a datagram; 0 if there is none. */
uint32_t beacon_kind(const uint8_t *data, size_t len);

/**
 * beacon_encode() - Write news.
 * @news: the news
 * @secret: of the hosts
 * @out: room for BEACON_MAX_BYTES
 *
 * Return: bytes written; 0 if it does not fit.
 */
size_t beacon_encode(
    fleet_news_t *news, const beacon_secret_t *secret, uint8_t *out);

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
    const beacon_secret_t *secret, fleet_news_t *news);

#endif
