#include <string.h>

#include "state/conn_room.h"

void
conn_room_init(
    conn_room_t *room, guint limit, guint spare_limit, guint handshake_limit)
{
	memset(room, 0, sizeof(*room));
	room->limit = limit;
	room->spare_limit = spare_limit;
	room->handshake_limit = handshake_limit;
}

static void
put(conn_room_t *room, conn_entry_t *entry, conn_kind_t kind, msec_t now)
{
	if (entry->kind != CONN_OUT)
		g_queue_unlink(&room->kinds[entry->kind], &entry->link);
	entry->kind = kind;
	entry->since = now;
	entry->bytes = 0;
	entry->in_handshake = kind == CONN_HANDSHAKE;
	entry->link.data = entry;
	if (kind != CONN_OUT)
		g_queue_push_tail_link(&room->kinds[kind], &entry->link);
}

static void
move(conn_room_t *room, conn_entry_t *entry, conn_kind_t kind, msec_t now)
{
	if (entry->kind != kind)
		put(room, entry, kind, now);
}

guint
conn_room_count(const conn_room_t *room)
{
	return room->kinds[CONN_IDLE].length +
	    room->kinds[CONN_HANDSHAKE].length + room->kinds[CONN_PART].length +
	    room->kinds[CONN_TRANSFER].length + room->kinds[CONN_BUSY].length;
}

static gboolean
is_full(const conn_room_t *room)
{
	return conn_room_count(room) >= room->limit;
}

void
conn_room_add(conn_room_t *room, conn_entry_t *entry, msec_t now)
{
	move(room, entry, is_full(room) ? CONN_SPARE : CONN_IDLE, now);
}

void
conn_room_add_spare(conn_room_t *room, conn_entry_t *entry, msec_t now)
{
	move(room, entry, CONN_SPARE, now);
}

void
conn_room_set(
    conn_room_t *room, conn_entry_t *entry, conn_kind_t kind, msec_t now)
{
	gboolean in_handshake = kind == CONN_HANDSHAKE;

	if (kind == CONN_OUT ||
	    (entry->kind != CONN_SPARE && entry->kind != CONN_OUT)) {
		move(room, entry, kind, now);
	} else if (entry->kind == CONN_SPARE &&
	    entry->in_handshake != in_handshake) {
		put(room, entry, CONN_SPARE, now);
		entry->in_handshake = in_handshake;
	}
}

void
conn_room_transferred(
    conn_room_t *room, conn_entry_t *entry, size_t bytes, msec_t now)
{
	if (entry->kind != CONN_TRANSFER)
		return;
	entry->bytes += bytes;
	if (entry->bytes >= CONN_STALL_BYTES)
		put(room, entry, CONN_TRANSFER, now);
}

void
conn_room_remove(conn_room_t *room, conn_entry_t *entry)
{
	move(room, entry, CONN_OUT, 0);
}

/* When a connection may be closed for another one. */
static msec_t
fresh_until(const conn_entry_t *entry)
{
	return entry->since +
	    (entry->in_handshake ? CONN_ANSWER_MS : CONN_FIRST_MS);
}

gboolean
conn_room_is_fresh(const conn_entry_t *entry, msec_t now)
{
	return now < fresh_until(entry);
}

msec_t
conn_room_wait(const conn_room_t *room, msec_t now)
{
	const GQueue *spare = &room->kinds[CONN_SPARE];
	msec_t until = G_MAXINT64;
	const GList *at;

	if (spare->length < room->spare_limit)
		return 0;
	for (at = spare->head; at != NULL; at = at->next)
		until = MIN(until, fresh_until(at->data));
	return MAX(until - now, spare->length > room->spare_limit ? 1 : 0);
}

gboolean
conn_room_may_handshake(const conn_room_t *room, msec_t now)
{
	const GQueue *handshakes = &room->kinds[CONN_HANDSHAKE];

	if (handshakes->length != room->handshake_limit)
		return handshakes->length < room->handshake_limit;
	return handshakes->length > 0 &&
	    !conn_room_is_fresh(handshakes->head->data, now);
}

static conn_entry_t *
first_of(const GQueue *kind, gboolean (*may_close)(const conn_entry_t *entry))
{
	const GList *at;

	for (at = kind->head; at != NULL; at = at->next) {
		if (may_close == NULL || may_close(at->data))
			return at->data;
	}
	return NULL;
}

conn_entry_t *
conn_room_surplus(
    const conn_room_t *room, gboolean (*may_close)(const conn_entry_t *entry))
{
	const GQueue *spare = &room->kinds[CONN_SPARE];
	const GQueue *handshakes = &room->kinds[CONN_HANDSHAKE];

	if (handshakes->length > room->handshake_limit)
		return first_of(handshakes, may_close);
	return spare->length > room->spare_limit ? first_of(spare, may_close)
						 : NULL;
}

/* The longest of a kind, if it has had its time. */
static conn_entry_t *
overdue(const conn_room_t *room, conn_kind_t kind, msec_t now)
{
	conn_entry_t *entry = first_of(&room->kinds[kind], NULL);

	return entry != NULL && now - entry->since >= CONN_PART_MS ? entry
								   : NULL;
}

static conn_entry_t *
stalled(const conn_room_t *room,
    gboolean (*may_close)(const conn_entry_t *entry), msec_t now)
{
	const GQueue *transfers = &room->kinds[CONN_TRANSFER];
	conn_entry_t *entry = first_of(transfers, may_close);
	gboolean too_many = transfers->length > room->limit * 3 / 4;

	return entry != NULL &&
		(too_many || now - entry->since >= CONN_STALL_MS)
	    ? entry
	    : NULL;
}

conn_entry_t *
conn_room_victim(const conn_room_t *room,
    gboolean (*may_close)(const conn_entry_t *entry), msec_t now)
{
	conn_entry_t *entry = first_of(&room->kinds[CONN_IDLE], may_close);

	if (entry == NULL)
		entry = overdue(room, CONN_HANDSHAKE, now);
	if (entry == NULL)
		entry = overdue(room, CONN_PART, now);
	if (entry == NULL)
		entry = stalled(room, may_close, now);
	return entry;
}

gboolean
conn_room_admit(conn_room_t *room, conn_entry_t *entry, msec_t now)
{
	if (is_full(room))
		return FALSE;
	move(room, entry, CONN_BUSY, now);
	return TRUE;
}
