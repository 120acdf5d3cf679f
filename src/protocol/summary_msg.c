#include <string.h>

#include "protocol/beacon.h"
#include "protocol/summary_msg.h"

#define FLAG_STOPPING 1
#define LISTED_READY 1
#define LISTED_LEAVING 2
#define LISTED_REACHES_STORE 4
/* Sizes in the encoding. */
#define HEAD_BYTES 64
#define SUMMARY_HEAD_BYTES 24
#define LISTED_BYTES 8

/* A datagram: parts to encode, or summaries to decode into. */
typedef struct {
	summary_msg_t head;
	const GArray *parts;
	guint first;
	uint32_t count;
	GArray *decoded;
} datagram_body_t;

static bool_t
xdr_listed(XDR *x, fleet_listed_t *l)
{
	uint32_t word = l->incarnation << 4 | (l->ready ? LISTED_READY : 0) |
	    (l->leaving ? LISTED_LEAVING : 0) |
	    (l->reaches_store ? LISTED_REACHES_STORE : 0);

	if (!xdr_uint32_t(x, &l->name) || !xdr_uint32_t(x, &word))
		return FALSE;
	l->incarnation = word >> 4;
	l->ready = (word & LISTED_READY) != 0;
	l->leaving = (word & LISTED_LEAVING) != 0;
	l->reaches_store = (word & LISTED_REACHES_STORE) != 0;
	return TRUE;
}

static bool_t
xdr_list(XDR *x, GArray *list)
{
	u_int n = list->len, i;

	if (!xdr_u_int(x, &n) || n > FLEET_LIST_MAX)
		return FALSE;
	if (x->x_op == XDR_DECODE)
		g_array_set_size(list, n);
	for (i = 0; i < n; i++) {
		if (!xdr_listed(x, &g_array_index(list, fleet_listed_t, i)))
			return FALSE;
	}
	return TRUE;
}

static bool_t
xdr_summary(XDR *x, fleet_summary_t *s, gboolean with_list)
{
	uint32_t has_list = with_list ? 1 : 0;

	if (!xdr_uint64_t(x, &s->domain) || !xdr_uint32_t(x, &s->listed) ||
	    !xdr_uint32_t(x, &s->list_ver) || !xdr_uint32_t(x, &has_list) ||
	    (has_list != 0 && !xdr_list(x, s->list)) ||
	    !beacon_xdr_status(x, &s->sums))
		return FALSE;
	if (x->x_op == XDR_DECODE)
		s->has_list = has_list != 0;
	return TRUE;
}

static bool_t
xdr_head(XDR *x, datagram_body_t *b)
{
	uint32_t kind = PEER_SUMMARIES;
	uint32_t flags = b->head.stopping ? FLAG_STOPPING : 0;

	if (!xdr_uint32_t(x, &kind) || kind != PEER_SUMMARIES ||
	    !xdr_uint64_t(x, &b->head.sender) || !xdr_uint32_t(x, &flags) ||
	    !xdr_uint64_t(x, &b->head.ack.incarnation) ||
	    !xdr_uint32_t(x, &b->head.ack.seq) || !xdr_uint32_t(x, &b->count) ||
	    b->count > SUMMARY_MSG_MAX)
		return FALSE;
	b->head.stopping = (flags & FLAG_STOPPING) != 0;
	return TRUE;
}

static bool_t
xdr_body(XDR *x, void *msg)
{
	datagram_body_t *b = msg;
	uint32_t i;

	if (!xdr_head(x, b))
		return FALSE;
	for (i = 0; i < b->count; i++) {
		const summary_part_t *part;
		fleet_summary_t added;

		if (x->x_op == XDR_ENCODE) {
			part = &g_array_index(
			    b->parts, summary_part_t, b->first + i);
			if (!xdr_summary(x, part->summary, part->with_list))
				return FALSE;
			continue;
		}
		fleet_summary_init(&added);
		g_array_append_val(b->decoded, added);
		if (!xdr_summary(x,
			&g_array_index(
			    b->decoded, fleet_summary_t, b->decoded->len - 1),
			FALSE))
			return FALSE;
	}
	return TRUE;
}

static size_t
part_bytes(const summary_part_t *part)
{
	return SUMMARY_HEAD_BYTES +
	    (part->with_list ? LISTED_BYTES * part->summary->list->len : 0) +
	    beacon_status_bytes(&part->summary->sums);
}

guint
summary_msg_encode(const summary_msg_t *msg, const GArray *parts, guint first,
    const peer_secret_t *secret, uint8_t *out, size_t *len)
{
	size_t room = PEER_MSG_MAX_BYTES - HEAD_BYTES, need;
	datagram_body_t body = {*msg, parts, first, 0, NULL};
	guint i;

	for (i = first; i < parts->len && i - first < SUMMARY_MSG_MAX; i++) {
		const summary_part_t *part =
		    &g_array_index(parts, summary_part_t, i);
		GArray *loads = part->summary->sums.loads;

		need = part_bytes(part);
		if (need > room && i == first) {
			g_array_set_size(loads,
			    loads->len -
				(guint)MIN(loads->len, (need - room) / 4 + 1));
			need = MIN(part_bytes(part), room);
		}
		if (need > room)
			break;
		room -= need;
	}
	body.count = i - first;
	*len = peer_msg_write(xdr_body, &body, secret, out, PEER_MSG_MAX_BYTES);
	return i;
}

gboolean
summary_msg_decode(const uint8_t *data, size_t len, const peer_secret_t *secret,
    summary_msg_t *msg, GArray *summaries)
{
	datagram_body_t body = {.decoded = summaries};
	guint before = summaries->len, i;
	gboolean ok = peer_msg_read(xdr_body, &body, secret, data, len);

	*msg = body.head;
	for (i = before; i < summaries->len; i++) {
		fleet_summary_t *s =
		    &g_array_index(summaries, fleet_summary_t, i);

		if (ok) {
			fleet_amounts_sort(s->sums.demands);
			fleet_amounts_sort(s->sums.loads);
		} else {
			fleet_summary_finish(s);
		}
	}
	if (!ok)
		g_array_set_size(summaries, before);
	return ok;
}
