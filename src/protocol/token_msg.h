#ifndef PROTOCOL_TOKEN_MSG_H
#define PROTOCOL_TOKEN_MSG_H

#include "protocol/peer_msg.h"

/* A host's request to another for a token of a workspace's rate, or of the
 * limit that a backend server names, and the answer. */

/* Size of a datagram, including its hash. */
#define TOKEN_MSG_BYTES 64

typedef struct {
	uint32_t kind;	  /* PEER_TOKEN_REQUEST or PEER_TOKEN_ANSWER */
	uint32_t id;	  /* of the request; repeated in the answer */
	uint64_t host;	  /* host that sent the request */
	uint64_t name;	  /* of the workspace, or of the server's limit */
	uint32_t granted; /* in an answer: whether the token is granted */
	uint32_t wait_ms; /* in an answer without a token: when to ask again */
	/* Of a server's limit, as far as the sender knows. */
	uint32_t is_server;
	uint32_t rate;	    /* thousandths of a request per second */
	uint32_t age_ms;    /* time since the server named it */
	uint32_t offloaded; /* in an answer: thousandths of its objects */
} token_msg_t;

/**
 * token_msg_encode() - Encode into @out, a buffer of TOKEN_MSG_BYTES.
 *
 * Return: number of bytes written.
 */
size_t token_msg_encode(
    token_msg_t *msg, const peer_secret_t *secret, uint8_t *out);

gboolean token_msg_decode(const uint8_t *data, size_t len,
    const peer_secret_t *secret, token_msg_t *msg);

#endif
