#include "protocol/token_msg.h"

static bool_t
xdr_msg(XDR *x, void *msg)
{
	token_msg_t *m = msg;

	return xdr_uint32_t(x, &m->kind) && xdr_uint32_t(x, &m->id) &&
	    xdr_uint64_t(x, &m->host) && xdr_uint64_t(x, &m->name) &&
	    xdr_uint32_t(x, &m->granted) && xdr_uint32_t(x, &m->wait_ms) &&
	    xdr_uint32_t(x, &m->is_server) && xdr_uint32_t(x, &m->rate) &&
	    xdr_uint32_t(x, &m->age_ms) && xdr_uint32_t(x, &m->offloaded);
}

size_t
token_msg_encode(token_msg_t *msg, const peer_secret_t *secret, uint8_t *out)
{
	return peer_msg_write(xdr_msg, msg, secret, out, TOKEN_MSG_BYTES);
}

gboolean
token_msg_decode(const uint8_t *data, size_t len, const peer_secret_t *secret,
    token_msg_t *msg)
{
	return peer_msg_read(xdr_msg, msg, secret, data, len);
}
