#include <string.h>

#include "protocol/suspect_msg.h"

static bool_t
xdr_ms(XDR *x, msec_t *ms)
{
	uint32_t word = (uint32_t)CLAMP(*ms, 0, G_MAXINT32);
	bool_t ok = xdr_uint32_t(x, &word);

	*ms = word;
	return ok;
}

static bool_t
xdr_name(XDR *x, const char **name)
{
	char buf[SUSPECT_MSG_NAME_BYTES + 1] = "";
	char *text = buf;

	if (x->x_op == XDR_ENCODE && *name != NULL)
		g_strlcpy(buf, *name, sizeof(buf));
	if (!xdr_string(x, &text, SUSPECT_MSG_NAME_BYTES))
		return FALSE;
	if (x->x_op == XDR_DECODE)
		*name = *text != '\0' ? g_intern_string(text) : NULL;
	return TRUE;
}

static bool_t
xdr_row(XDR *x, poison_event_t *event)
{
	uint32_t kind = (uint32_t)event->kind;

	if (!xdr_uint32_t(x, &kind) || kind >= POISON_EVENT_PROBE ||
	    !xdr_opaque(
		x, (char *)event->fingerprint.bytes, POISON_DIGEST_SIZE) ||
	    !xdr_name(x, &event->endpoint) || !xdr_ms(x, &event->age_ms) ||
	    !xdr_ms(x, &event->run_age_ms) || !xdr_ms(x, &event->left_ms))
		return FALSE;
	event->kind = (poison_event_kind_t)kind;
	return TRUE;
}

static bool_t
xdr_msg(XDR *x, void *msg)
{
	suspect_msg_t *m = msg;
	uint32_t kind = PEER_SUSPECTS, relay = m->relay ? 1 : 0, i;

	if (!xdr_uint32_t(x, &kind) || kind != PEER_SUSPECTS ||
	    !xdr_uint64_t(x, &m->host) || !xdr_uint32_t(x, &relay) ||
	    !xdr_uint32_t(x, &m->count) || m->count > SUSPECT_MSG_ROWS)
		return FALSE;
	m->relay = relay != 0;
	for (i = 0; i < m->count; i++) {
		if (!xdr_row(x, &m->rows[i]))
			return FALSE;
	}
	return TRUE;
}

size_t
suspect_msg_encode(
    suspect_msg_t *msg, const peer_secret_t *secret, uint8_t *out)
{
	uint32_t i, kept = 0;

	for (i = 0; i < msg->count; i++) {
		const char *name = msg->rows[i].endpoint;

		if (name == NULL || strlen(name) <= SUSPECT_MSG_NAME_BYTES)
			msg->rows[kept++] = msg->rows[i];
	}
	msg->count = kept;
	return peer_msg_write(xdr_msg, msg, secret, out, PEER_MSG_MAX_BYTES);
}

gboolean
suspect_msg_decode(const uint8_t *data, size_t len, const peer_secret_t *secret,
    suspect_msg_t *msg)
{
	memset(msg, 0, sizeof(*msg));
	return peer_msg_read(xdr_msg, msg, secret, data, len);
}
