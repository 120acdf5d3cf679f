#ifndef PROTOCOL_SUMMARY_MSG_H
#define PROTOCOL_SUMMARY_MSG_H

#include "coordination/fleet.h"
#include "protocol/peer_msg.h"

/*
 * Summaries of failure domains in a datagram: the own one, which a collector
 * sends to the collectors of the other domains, or those of all domains, which
 * it sends to the hosts of its own.
 */

/* Maximum number of summaries in a datagram. */
#define SUMMARY_MSG_MAX 32

typedef struct {
	uint64_t sender;   /* hash of the collector's name */
	gboolean stopping; /* it acts as collector no longer */
	fleet_ack_t ack;   /* status of the receiver in the sender's summary */
} summary_msg_t;

/* A summary to be encoded. */
typedef struct {
	fleet_summary_t *summary;
	gboolean with_list;
} summary_part_t;

/**
 * summary_msg_encode() - Encode as many summaries as fit in one datagram.
 * @msg: the head
 * @parts: summary_part_t
 * @first: index of the first one to encode
 * @secret: secret shared by the hosts
 * @out: buffer of PEER_MSG_MAX_BYTES
 * @len: set to the number of bytes written
 *
 * A summary that is too big for a datagram of its own loses as many of its
 * loads as necessary.
 *
 * Return: index of the next one to encode.
 */
guint summary_msg_encode(const summary_msg_t *msg, const GArray *parts,
    guint first, const peer_secret_t *secret, uint8_t *out, size_t *len);

/**
 * summary_msg_decode() - Authenticate and decode a datagram.
 * @data: the datagram
 * @len: its length in bytes
 * @secret: secret shared by the hosts
 * @msg: set on success
 * @summaries: fleet_summary_t are appended on success; to be finished
 *
 * Return: whether the datagram is valid.
 */
gboolean summary_msg_decode(const uint8_t *data, size_t len,
    const peer_secret_t *secret, summary_msg_t *msg, GArray *summaries);

#endif
