#include <sys/ioctl.h>

#include "base/log.h"
#include "transport/http_conn.h"

/*
 * What clients send behind requests that are being handled, or before their
 * handshake has its turn, stays in the sockets. The memory for it is bounded by
 * resets: the bytes of a socket can't be dropped otherwise.
 */

typedef struct {
	http_conn_t *conn;
	size_t bytes;
} unread_t;

/* Bytes in the socket, if nothing is read from it at present. */
static size_t
unread_bytes(const http_conn_t *conn)
{
	int bytes = 0;

	if (conn->released ||
	    (conn->first_bytes == NULL && !http_conn_is_input_full(conn)) ||
	    ioctl(bufferevent_getfd(conn->bev), FIONREAD, &bytes) != 0)
		return 0;
	return (size_t)bytes;
}

static int
compare_bytes(const void *a, const void *b)
{
	size_t x = ((const unread_t *)a)->bytes;
	size_t y = ((const unread_t *)b)->bytes;

	return x < y ? 1 : x > y ? -1 : 0;
}

static void
reset(const unread_t *unread)
{
	http_server_t *server = unread->conn->server;
	long long left_out = log_bound_take(&server->unread_log, clock_now());

	if (left_out >= 0)
		log_event(LOG_WARN, "caller.unread_reset", "bytes",
		    log_num((long long)unread->bytes), "all_bytes",
		    log_num((long long)server->unread), "left_out",
		    log_num(left_out), NULL);
	http_conn_reset(unread->conn);
	http_conn_destroy(unread->conn);
}

void
http_unread_limit(http_server_t *server)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(unread_t));
	GHashTableIter it;
	gpointer key;
	unread_t u;
	guint i;

	server->unread = 0;
	g_hash_table_iter_init(&it, server->conns);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		u = (unread_t){key, unread_bytes(key)};
		if (u.bytes == 0)
			continue;
		server->unread += u.bytes;
		g_array_append_val(all, u);
	}
	if (server->unread > server->conf.unread_memory_bytes)
		g_array_sort(all, compare_bytes);
	for (i = 0; server->unread > server->conf.unread_memory_bytes; i++) {
		u = g_array_index(all, unread_t, i);
		reset(&u);
		server->unread -= u.bytes;
	}
	g_array_free(all, TRUE);
}
