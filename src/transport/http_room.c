#include <sys/ioctl.h>

#include "transport/http_conn.h"

/*
 * Which connections a server keeps when there are more than it has places for.
 */

gboolean
http_room_has_unread(const http_conn_t *conn)
{
	int bytes = 0;

	return ioctl(bufferevent_getfd(conn->bev), FIONREAD, &bytes) == 0 &&
	    bytes > 0;
}

/* A request that has arrived, or is on its way, is served. */
static gboolean
may_close(const conn_entry_t *entry)
{
	const http_conn_t *conn = entry->owner;

	return !conn_room_is_fresh(entry, clock_now()) &&
	    (http_conn_unsent(conn) > 0 || !http_room_has_unread(conn));
}

static conn_kind_t
kind_of(const http_conn_t *conn)
{
	if (conn->in_handshake)
		return CONN_HANDSHAKE;
	if (http_conn_unsent(conn) > 0)
		return CONN_TRANSFER;
	if (conn->exchanges.length > 0 || conn->waiting != NULL || conn->last)
		return CONN_BUSY;
	if (conn->reader.has_head)
		return CONN_TRANSFER;
	return http_conn_is_receiving(conn) ? CONN_PART : CONN_IDLE;
}

/* Closes a connection that has no request, or waits for its client. */
static void
give_way(http_conn_t *conn)
{
	conn_kind_t kind = conn->place.kind;

	conn_room_remove(&conn->server->room, &conn->place);
	if (kind == CONN_TRANSFER && http_conn_unsent(conn) > 0) {
		http_conn_reset(conn);
		return;
	}
	if (conn->last)
		return;
	if (conn->in_handshake) {
		http_conn_destroy(conn);
	} else if (http_conn_is_receiving(conn)) {
		http_conn_refuse(conn, 503, "too-many-connections");
		http_conn_wake(conn);
	} else {
		http_conn_release(conn);
	}
}

/* From the loop: the connection that asks may be the one to close, and those
 * accepted in the same turn may have brought requests that are read next. */
static void
trim_later(http_server_t *server)
{
	if (conn_room_surplus(&server->room, NULL) != NULL)
		event_active(server->trimmer, EV_TIMEOUT, 0);
}

/* Accepts connections when there is room for one more; until then they wait in
 * the listening socket. */
static void
pace_accepts(http_server_t *server)
{
	msec_t wait = conn_room_wait(&server->room, clock_now());
	struct timeval tv = {wait / MSEC_PER_SEC, (wait % MSEC_PER_SEC) * 1000};

	if (server->listener == NULL)
		return;
	if (wait == 0) {
		server->accepts_paused = FALSE;
		evconnlistener_enable(server->listener);
		return;
	}
	server->accepts_paused = TRUE;
	evconnlistener_disable(server->listener);
	event_add(server->trimmer, &tv);
}

void
http_room_open(http_conn_t *conn)
{
	conn_room_add(&conn->server->room, &conn->place, clock_now());
	pace_accepts(conn->server);
	trim_later(conn->server);
}

void
http_room_update(http_conn_t *conn)
{
	conn_room_set(
	    &conn->server->room, &conn->place, kind_of(conn), clock_now());
	if (conn->place.kind == CONN_SPARE ||
	    conn->place.kind == CONN_HANDSHAKE)
		trim_later(conn->server);
	if (conn->server->accepts_paused)
		pace_accepts(conn->server);
}

void
http_room_trim(evutil_socket_t fd, short what, void *arg)
{
	http_server_t *server = arg;
	conn_entry_t *surplus;

	(void)fd;
	(void)what;
	while ((surplus = conn_room_surplus(&server->room, may_close)) != NULL)
		give_way(surplus->owner);
	if (server->accepts_paused)
		pace_accepts(server);
}

gboolean
http_room_admit(http_conn_t *conn)
{
	conn_room_t *room = &conn->server->room;
	msec_t now = clock_now();
	conn_entry_t *victim;

	if (conn->place.kind != CONN_SPARE ||
	    conn_room_admit(room, &conn->place, now))
		return TRUE;
	victim = conn_room_victim(room, may_close, now);
	if (victim == NULL)
		return FALSE;
	give_way(victim->owner);
	return conn_room_admit(room, &conn->place, now);
}
