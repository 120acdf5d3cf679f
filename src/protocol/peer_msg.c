#include <string.h>

#include <sodium.h>

#include "protocol/peer_msg.h"

#define MAC_BYTES 16

static void
compute_mac(
    const uint8_t *data, size_t len, const peer_secret_t *secret, uint8_t *mac)
{
	crypto_generichash(
	    mac, MAC_BYTES, data, len, secret->bytes, sizeof(secret->bytes));
}

uint32_t
peer_msg_kind(const uint8_t *data, size_t len)
{
	uint32_t word;

	if (len < sizeof(word))
		return 0;
	memcpy(&word, data, sizeof(word));
	return GUINT32_FROM_BE(word);
}

size_t
peer_msg_write(peer_msg_xdr_t xdr, void *msg, const peer_secret_t *secret,
    uint8_t *out, size_t room)
{
	size_t len = 0;
	XDR x;

	xdrmem_create(&x, (char *)out, (u_int)(room - MAC_BYTES), XDR_ENCODE);
	if (xdr(&x, msg))
		len = xdr_getpos(&x);
	xdr_destroy(&x);
	if (len == 0)
		return 0;
	compute_mac(out, len, secret, out + len);
	return len + MAC_BYTES;
}

gboolean
peer_msg_read(peer_msg_xdr_t xdr, void *msg, const peer_secret_t *secret,
    const uint8_t *data, size_t len)
{
	uint8_t mac[MAC_BYTES];
	gboolean ok;
	XDR x;

	if (len <= MAC_BYTES || len > PEER_MSG_MAX_BYTES)
		return FALSE;
	len -= MAC_BYTES;
	compute_mac(data, len, secret, mac);
	if (sodium_memcmp(mac, data + len, MAC_BYTES) != 0)
		return FALSE;
	xdrmem_create(&x, (char *)data, (u_int)len, XDR_DECODE);
	ok = xdr(&x, msg) && xdr_getpos(&x) == len;
	xdr_destroy(&x);
	return ok;
}
