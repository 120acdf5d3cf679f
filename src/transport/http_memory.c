#include "base/log.h"
#include "transport/http_conn.h"

/*
 * The bytes that clients make the server hold. All that a connection holds of
 * requests, whole or not, passes http_memory_count().
 */

/* Heads, and what was sent behind a request that is being answered. */
static void
count_head(http_conn_t *conn)
{
	client_memory_t *m = &conn->server->heads;
	gboolean whole = conn->exchanges.length > 0 || conn->waiting != NULL;

	if (conn->last || conn->dead || conn->released)
		client_memory_remove(m, &conn->head);
	else
		client_memory_set(m, &conn->head,
		    request_reader_head_held(
			&conn->reader, bufferevent_get_input(conn->bev)),
		    whole);
}

void
http_memory_count(http_conn_t *conn)
{
	body_memory_t *m = &conn->server->bodies;
	size_t held = conn->request_bytes + request_reader_held(&conn->reader) +
	    evbuffer_get_length(bufferevent_get_input(conn->bev));

	count_head(conn);
	if (held == conn->body.held)
		return;
	if (held > conn->body.held)
		conn_room_transferred(&conn->server->room, &conn->place,
		    held - conn->body.held, clock_now());
	body_memory_release(m, &conn->body);
	if (held > 0)
		body_memory_take(
		    m, &conn->body, bufferevent_getfd(conn->bev), held);
}

/* The request that holds most among those still received from an address. */
static http_conn_t *
largest_of(const http_server_t *server, const body_peer_t *peer)
{
	http_conn_t *conn, *largest = NULL;
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, server->conns);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		conn = key;
		if (conn->body.peer == peer && http_conn_is_receiving(conn) &&
		    (largest == NULL || conn->body.held > largest->body.held))
			largest = conn;
	}
	return largest;
}

void
http_memory_note_refused(http_conn_t *conn, const char *reason)
{
	http_server_t *server = conn->server;
	long long left_out = log_bound_take(&server->refused_log, clock_now());

	server->refused_heads++;
	if (left_out < 0)
		return;
	log_event(LOG_WARN, "caller.head_refused", "reason", reason, "bytes",
	    log_num((long long)conn->head.held), "all_bytes",
	    log_num((long long)server->heads.held), "left_out",
	    log_num(left_out), NULL);
}

static void
enforce_heads(http_server_t *server)
{
	client_memory_entry_t *victim;
	http_conn_t *conn;

	while ((victim = client_memory_victim(&server->heads)) != NULL) {
		conn = victim->owner;
		http_memory_note_refused(conn, "request-memory-full");
		http_conn_refuse(conn, 503, "request-memory-full");
		http_conn_wake(conn);
	}
}

void
http_memory_enforce(http_conn_t *conn)
{
	http_server_t *server = conn->server;
	http_conn_t *largest;

	enforce_heads(server);

	while (conn->body.peer != NULL &&
	    body_memory_is_over(&server->bodies, &conn->body)) {
		largest = largest_of(server, conn->body.peer);
		if (largest == NULL)
			return;
		http_conn_refuse(largest, 503, "body-memory-full");
		http_conn_wake(largest);
	}
}

void
http_memory_hold_reply(http_conn_t *conn, size_t bytes)
{
	const struct timeval now = {0, 0};
	http_server_t *server = conn->server;
	const body_peer_t *peer = conn->body.peer;

	reply_memory_add(&server->replies, &conn->reply,
	    peer != NULL ? peer->address : "", bytes, clock_now());
	/* From the loop: the handler still uses the connection. */
	if (reply_memory_is_over(&server->replies))
		event_add(server->reliever, &now);
}

/* Replies are added to the output, and leave it as the client reads. */
void
http_memory_on_output(
    struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *arg)
{
	http_conn_t *conn = arg;

	(void)buffer;
	if (info->n_deleted > 0) {
		reply_memory_take(&conn->server->replies, &conn->reply,
		    info->n_deleted, clock_now());
		conn_room_transferred(&conn->server->room, &conn->place,
		    info->n_deleted, clock_now());
	}
	if (info->n_added > 0 && !conn->moving)
		http_memory_hold_reply(conn, info->n_added);
}

/* The client gets a reset: a part of a reply can't pass as the whole. */
static void
give_up_reply(http_conn_t *conn)
{
	http_server_t *server = conn->server;
	const reply_usage_t *u = &conn->reply;
	msec_t now = clock_now();
	long long left_out = log_bound_take(&server->given_up_log, now);

	server->replies_given_up++;
	if (left_out >= 0)
		log_event(LOG_WARN, "caller.reply_given_up", "address",
		    u->peer->address, "bytes", log_num((long long)u->held),
		    "waited_ms", log_num(now - u->began_at), "untaken_ms",
		    log_num(now - u->taken_at), "reads", log_num(u->reads),
		    "left_out", log_num(left_out), NULL);
	http_conn_reset(conn);
	http_conn_destroy(conn);
}

void
http_memory_relieve(http_server_t *server)
{
	reply_usage_t *u;

	while (reply_memory_is_over(&server->replies)) {
		u = reply_memory_next(&server->replies, clock_now());
		if (u == NULL)
			return;
		give_up_reply(u->owner);
	}
}
