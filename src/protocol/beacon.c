#include "protocol/beacon.h"

#define FLAG_READY 1
#define FLAG_LEAVING 2
#define FLAG_REACHES_STORE 4
/* Sizes in the encoding. */
#define STATUS_HEAD_BYTES 52
#define AMOUNT_BYTES 4
#define SHIFT_MAX_BYTES (20 + FLEET_SHIFT_ROUTES * 24)

static bool_t
xdr_amounts(XDR *x, GArray *amounts)
{
	u_int n = amounts->len, i;
	fleet_amount_t *a;
	uint32_t word;

	if (!xdr_u_int(x, &n) || n > FLEET_AMOUNTS_MAX)
		return FALSE;
	if (x->x_op == XDR_DECODE)
		g_array_set_size(amounts, n);
	for (i = 0; i < n; i++) {
		a = &g_array_index(amounts, fleet_amount_t, i);
		word = a->name << (32 - FLEET_NAME_BITS) |
		    MIN(a->amount, FLEET_AMOUNT_MAX);
		if (!xdr_uint32_t(x, &word))
			return FALSE;
		a->name = word >> (32 - FLEET_NAME_BITS);
		a->amount = word & FLEET_AMOUNT_MAX;
	}
	return TRUE;
}

static bool_t
xdr_count(XDR *x, judge_count_t *c)
{
	u_int m;

	if (!xdr_uint32_t(x, &c->requests))
		return FALSE;
	for (m = 0; m < JUDGE_METRICS; m++) {
		if (!xdr_uint32_t(x, &c->bad[m]))
			return FALSE;
	}
	return TRUE;
}

/* A bit mask says which routes follow. Routes without requests are omitted. */
static bool_t
xdr_shift(XDR *x, fleet_shift_t *s)
{
	uint32_t mask = 0;
	u_int i;

	for (i = 0; i < FLEET_SHIFT_ROUTES; i++) {
		if (s->routes[i].new_version.requests +
			s->routes[i].old_version.requests >
		    0)
			mask |= UINT32_C(1) << i;
	}
	if (!xdr_uint32_t(x, &s->service) || !xdr_uint32_t(x, &s->to) ||
	    !xdr_uint32_t(x, &s->old_running) ||
	    !xdr_uint32_t(x, &s->new_running) || !xdr_uint32_t(x, &mask))
		return FALSE;
	for (i = 0; i < FLEET_SHIFT_ROUTES; i++) {
		if ((mask >> i & 1) != 0 &&
		    (!xdr_count(x, &s->routes[i].new_version) ||
			!xdr_count(x, &s->routes[i].old_version)))
			return FALSE;
	}
	return TRUE;
}

bool_t
beacon_xdr_status(XDR *x, fleet_status_t *status)
{
	uint32_t flags = (status->ready ? FLAG_READY : 0) |
	    (status->leaving ? FLAG_LEAVING : 0) |
	    (status->reaches_store ? FLAG_REACHES_STORE : 0);
	u_int i;

	if (!xdr_uint64_t(x, &status->host) ||
	    !xdr_uint64_t(x, &status->incarnation) ||
	    !xdr_uint32_t(x, &status->seq) || !xdr_uint32_t(x, &flags) ||
	    !xdr_uint64_t(x, &status->config) ||
	    !xdr_uint64_t(x, &status->orders) ||
	    !xdr_amounts(x, status->demands) ||
	    !xdr_amounts(x, status->loads) || !xdr_u_int(x, &status->nshifts) ||
	    status->nshifts > FLEET_SHIFTS_MAX)
		return FALSE;
	status->ready = (flags & FLAG_READY) != 0;
	status->leaving = (flags & FLAG_LEAVING) != 0;
	status->reaches_store = (flags & FLAG_REACHES_STORE) != 0;
	for (i = 0; i < status->nshifts; i++) {
		if (!xdr_shift(x, &status->shifts[i]))
			return FALSE;
	}
	return TRUE;
}

size_t
beacon_status_bytes(const fleet_status_t *status)
{
	return STATUS_HEAD_BYTES +
	    AMOUNT_BYTES * (status->demands->len + status->loads->len) +
	    SHIFT_MAX_BYTES * status->nshifts;
}

static bool_t
xdr_msg(XDR *x, void *msg)
{
	uint32_t kind = PEER_BEACON;

	return xdr_uint32_t(x, &kind) && kind == PEER_BEACON &&
	    beacon_xdr_status(x, msg);
}

size_t
beacon_encode(fleet_status_t *status, const peer_secret_t *secret, uint8_t *out)
{
	return peer_msg_write(xdr_msg, status, secret, out, PEER_MSG_MAX_BYTES);
}

gboolean
beacon_decode(const uint8_t *data, size_t len, const peer_secret_t *secret,
    fleet_status_t *status)
{
	return peer_msg_read(xdr_msg, status, secret, data, len);
}
