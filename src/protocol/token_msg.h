#ifndef PROTOCOL_TOKEN_MSG_H
#define PROTOCOL_TOKEN_MSG_H

#include "protocol/peer_msg.h"

/* A host asks another for a token of a workspace, and is answered. */

/* With its seal. */
#define TOKEN_MSG_BYTES 64

typedef struct {
	uint32_t kind; /* PEER_TOKEN_REQUEST or PEER_TOKEN_ANSWER */
	uint32_t id;   /* of the question */
	uint64_t host; /* who asked */
	uint64_t workspace;
	uint32_t granted; /* of an answer: whether */
	uint32_t wait_ms; /* of an answer: else, when there may be one */
} token_msg_t;

/** token_msg_encode() - Return: bytes written to @out, TOKEN_MSG_BYTES. */
size_t token_msg_encode(
    token_msg_t *msg, const peer_secret_t *secret, uint8_t *out);

gboolean token_msg_decode(const uint8_t *data, size_t len,
    const peer_secret_t *secret, token_msg_t *msg);

#endif
