#ifndef PROTOCOL_USAGE_MSG_H
#define PROTOCOL_USAGE_MSG_H

#include "coordination/usage_counts.h"
#include "protocol/peer_msg.h"

/*
 * Datagrams with counts of a window: from a host to the collectors of its
 * failure domain, or from a collector that can't reach the store to those of
 * the other domains. The acting collector acknowledges the former.
 */

/* Cells of a datagram; they fit even if all names are the longest. */
#define USAGE_MSG_CELLS 50

typedef struct {
	uint64_t sender; /* hash of the host that sent it */
	int64_t window;
	uint32_t revision; /* of the sender's counts of the window */
	uint32_t part;	   /* number of the datagram of this revision */
	gboolean acknowledge;
	uint32_t count; /* number of cells in use */
	usage_cell_t cells[USAGE_MSG_CELLS];
	char names[USAGE_MSG_CELLS][USAGE_NAME_BYTES + 1]; /* if decoded */
} usage_msg_t;

/** usage_msg_encode() - Encode counts. Return: bytes written. */
size_t usage_msg_encode(
    usage_msg_t *msg, const peer_secret_t *secret, uint8_t *out);

/** usage_msg_decode() - Decode counts; names point into @msg. */
gboolean usage_msg_decode(const uint8_t *data, size_t len,
    const peer_secret_t *secret, usage_msg_t *msg);

typedef struct {
	uint64_t sender; /* hash of the collector */
	uint64_t start;	 /* of the host whose counts are acknowledged */
	int64_t window;
	uint32_t revision, part;
} usage_ack_t;

size_t usage_ack_encode(
    usage_ack_t *ack, const peer_secret_t *secret, uint8_t *out);
gboolean usage_ack_decode(const uint8_t *data, size_t len,
    const peer_secret_t *secret, usage_ack_t *ack);

#endif
