#include <string.h>

#include "protocol/usage_msg.h"

static bool_t
xdr_cell(XDR *x, usage_msg_t *m, uint32_t i)
{
	usage_cell_t *c = &m->cells[i];
	char *name = m->names[i];

	if (x->x_op == XDR_ENCODE)
		g_strlcpy(name, c->workspace, USAGE_NAME_BYTES + 1);
	c->workspace = name;
	return xdr_uint64_t(x, &c->source.host) &&
	    xdr_uint64_t(x, &c->source.start) &&
	    xdr_string(x, &name, USAGE_NAME_BYTES) &&
	    xdr_uint32_t(x, &c->counted) && xdr_uint32_t(x, &c->taken_back);
}

static bool_t
xdr_msg(XDR *x, void *msg)
{
	usage_msg_t *m = msg;
	uint32_t kind = PEER_USAGE, acknowledge = m->acknowledge ? 1 : 0, i;

	if (!xdr_uint32_t(x, &kind) || kind != PEER_USAGE ||
	    !xdr_uint64_t(x, &m->sender) || !xdr_int64_t(x, &m->window) ||
	    !xdr_uint32_t(x, &m->revision) || !xdr_uint32_t(x, &m->part) ||
	    !xdr_uint32_t(x, &acknowledge) || !xdr_uint32_t(x, &m->count) ||
	    m->count > USAGE_MSG_CELLS)
		return FALSE;
	m->acknowledge = acknowledge != 0;
	for (i = 0; i < m->count; i++) {
		if (!xdr_cell(x, m, i))
			return FALSE;
	}
	return TRUE;
}

size_t
usage_msg_encode(usage_msg_t *msg, const peer_secret_t *secret, uint8_t *out)
{
	return peer_msg_write(xdr_msg, msg, secret, out, PEER_MSG_MAX_BYTES);
}

gboolean
usage_msg_decode(const uint8_t *data, size_t len, const peer_secret_t *secret,
    usage_msg_t *msg)
{
	memset(msg, 0, sizeof(*msg));
	return peer_msg_read(xdr_msg, msg, secret, data, len);
}

static bool_t
xdr_ack(XDR *x, void *msg)
{
	usage_ack_t *a = msg;
	uint32_t kind = PEER_USAGE_ACK;

	return xdr_uint32_t(x, &kind) && kind == PEER_USAGE_ACK &&
	    xdr_uint64_t(x, &a->sender) && xdr_uint64_t(x, &a->start) &&
	    xdr_int64_t(x, &a->window) && xdr_uint32_t(x, &a->revision) &&
	    xdr_uint32_t(x, &a->part);
}

size_t
usage_ack_encode(usage_ack_t *ack, const peer_secret_t *secret, uint8_t *out)
{
	return peer_msg_write(xdr_ack, ack, secret, out, PEER_MSG_MAX_BYTES);
}

gboolean
usage_ack_decode(const uint8_t *data, size_t len, const peer_secret_t *secret,
    usage_ack_t *ack)
{
	memset(ack, 0, sizeof(*ack));
	return peer_msg_read(xdr_ack, ack, secret, data, len);
}
