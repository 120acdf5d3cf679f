#ifndef STATE_CONN_ROOM_H
#define STATE_CONN_ROOM_H

#include <glib.h>

#include "base/clock.h"

/*
 * Room for the connections of a port, and the decision which of them gives way
 * when there is none. A connection over the limit is a spare one. Once it has
 * brought a request, it takes the place of the connection that has waited
 * longest without one:
 *
 * 1. of those that sent nothing since their last request;
 * 2. of those that began a handshake, or a head, CONN_PART_MS ago or longer;
 * 3. of those that wait for their client to send a body or to read replies, if
 *    that has not gone on for CONN_STALL_MS, or if they have more than three
 *    quarters of the places.
 *
 * Other connections with a request keep their places. Over the limit on spare
 * ones, or on handshakes, the oldest is closed. A connection is not closed for
 * another one until it has had CONN_FIRST_MS for its request, or CONN_ANSWER_MS
 * in a handshake; meanwhile, the owner accepts, or begins, no more. Each
 * operation costs O(1), apart from conn_room_wait(), which looks at all spare
 * ones, and from connections that the owner refuses to close.
 */

/* A client sends its request right behind the connect, or behind a reply. */
#define CONN_FIRST_MS 20

/* A far client answers the server's part of a handshake, a lost packet
 * included. */
#define CONN_ANSWER_MS 500

/* Time for a handshake, or a head that arrives in several parts. */
#define CONN_PART_MS 1000

/* A client that transfers less of a body or a reply in this time has stalled.
 */
#define CONN_STALL_MS 5000
#define CONN_STALL_BYTES 16384

typedef enum {
	CONN_OUT,	/* does not count: not added, or being closed */
	CONN_SPARE,	/* over the limit; has brought no request yet */
	CONN_IDLE,	/* waits for a request */
	CONN_HANDSHAKE, /* of TLS */
	CONN_PART,	/* a part of a head has arrived */
	CONN_TRANSFER,	/* the client sends a body, or reads replies */
	CONN_BUSY,	/* has a request otherwise */
	CONN_KINDS,
} conn_kind_t;

/* Part of the connection; zeroed before its first use. */
typedef struct {
	conn_kind_t kind;
	msec_t since; /* when it became of this kind, or its transfer went on */
	size_t bytes; /* of its transfer, since then */
	gboolean in_handshake; /* a spare one may be, too */
	void *owner;	       /* not used here; set by the user of the entry */
	GList link;
} conn_entry_t;

typedef struct {
	guint limit; /* connections, without spare ones */
	guint spare_limit, handshake_limit;
	GQueue kinds[CONN_KINDS]; /* conn_entry_t, longest of its kind first */
} conn_room_t;

/**
 * conn_room_init() - Initialize without connections.
 * @room: memory of the caller
 * @limit: most connections that may wait or have requests
 * @spare_limit: most connections beside them that have brought no request
 * @handshake_limit: most of them in a handshake
 */
void conn_room_init(
    conn_room_t *room, guint limit, guint spare_limit, guint handshake_limit);

/** conn_room_add() - Add a connection: CONN_IDLE, or CONN_SPARE if full. */
void conn_room_add(conn_room_t *room, conn_entry_t *entry, msec_t now);

/** conn_room_add_spare() - Add a connection that must be admitted. */
void conn_room_add_spare(conn_room_t *room, conn_entry_t *entry, msec_t now);

/**
 * conn_room_set() - Set what a connection does.
 * @room: the room
 * @entry: the connection
 * @kind: a spare connection stays so until conn_room_admit(), or CONN_OUT
 * @now: current time
 */
void conn_room_set(
    conn_room_t *room, conn_entry_t *entry, conn_kind_t kind, msec_t now);

/**
 * conn_room_transferred() - A part of a body has arrived, or of replies is
 * read.
 * @room: the room
 * @entry: the connection
 * @bytes: of that part
 * @now: current time
 */
void conn_room_transferred(
    conn_room_t *room, conn_entry_t *entry, size_t bytes, msec_t now);

/** conn_room_remove() - The connection ends. */
void conn_room_remove(conn_room_t *room, conn_entry_t *entry);

/** conn_room_count() - Connections that may wait or have requests. */
guint conn_room_count(const conn_room_t *room);

/**
 * conn_room_is_fresh() - Whether a request may be on its way.
 * @entry: CONN_SPARE, CONN_IDLE or CONN_HANDSHAKE
 * @now: current time
 */
gboolean conn_room_is_fresh(const conn_entry_t *entry, msec_t now);

/**
 * conn_room_wait() - Time until another connection may be accepted, ms.
 * @room: the room
 * @now: current time
 *
 * It is accepted if a spare one can be closed for it, or none need be.
 */
msec_t conn_room_wait(const conn_room_t *room, msec_t now);

/** conn_room_may_handshake() - Whether another handshake may begin. */
gboolean conn_room_may_handshake(const conn_room_t *room, msec_t now);

/**
 * conn_room_surplus() - Choose the connection to close if there are too many.
 * @room: the room
 * @may_close: whether this one can be closed now; NULL: each can
 *
 * Return: the oldest handshake or spare connection; NULL if neither are too
 * many.
 */
conn_entry_t *conn_room_surplus(
    const conn_room_t *room, gboolean (*may_close)(const conn_entry_t *entry));

/**
 * conn_room_victim() - Choose the connection that gives way to a request.
 * @room: the room
 * @may_close: whether this one can be closed now; NULL: each can
 * @now: current time
 *
 * Return: NULL if none gives way.
 */
conn_entry_t *conn_room_victim(const conn_room_t *room,
    gboolean (*may_close)(const conn_entry_t *entry), msec_t now);

/**
 * conn_room_admit() - Give a spare connection with a request a place.
 * @room: the room
 * @entry: the connection; becomes CONN_BUSY
 * @now: current time
 *
 * Return: FALSE if there is no place.
 */
gboolean conn_room_admit(conn_room_t *room, conn_entry_t *entry, msec_t now);

#endif
