#include <rpc/rpc.h>

#include "protocol/token_msg.h"

static bool_t
xdr_msg(XDR *x, token_msg_t *m)
{
	return xdr_uint32_t(x, &m->kind) && xdr_uint32_t(x, &m->id) &&
	    xdr_uint64_t(x, &m->host) && xdr_uint64_t(x, &m->workspace) &&
	    xdr_uint32_t(x, &m->granted) && xdr_uint32_t(x, &m->wait_ms);
}

size_t
token_msg_encode(token_msg_t *msg, const beacon_secret_t *secret, uint8_t *out)
{
	size_t len = 0;
	XDR x;

	xdrmem_create(&x, (char *)out, TOKEN_MSG_BYTES, XDR_ENCODE);
	if (xdr_msg(&x, msg))
		len = xdr_getpos(&x);
	xdr_destroy(&x);
	return beacon_seal(out, len, secret);
}

gboolean
token_msg_decode(const uint8_t *data, size_t len, const beacon_secret_t *secret,
    token_msg_t *msg)
{
	gboolean ok;
	XDR x;

	len = beacon_open(data, len, secret);
	if (len == 0)
		return FALSE;
	xdrmem_create(&x, (char *)data, (u_int)len, XDR_DECODE);
	ok = xdr_msg(&x, msg) && xdr_getpos(&x) == len;
	xdr_destroy(&x);
	return ok;
}
