#include "transport/http_conn.h"

/*
 * Turns of connections that send many requests; see state/conn_turns.
 */

/* Of queued connections, before the loop looks for other events. */
#define REQUESTS_PER_ITERATION 8

static void
run_later(http_server_t *server)
{
	static const struct timeval next_iteration = {0, 0};

	if (!event_pending(server->turns_run, EV_TIMEOUT, NULL))
		event_add(server->turns_run, &next_iteration);
}

gboolean
http_turns_may_read(http_conn_t *conn)
{
	http_server_t *server = conn->server;

	if (evbuffer_get_length(bufferevent_get_input(conn->bev)) == 0 ||
	    conn_turns_may_handle(&server->turns, &conn->turns, clock_now()))
		return TRUE;
	run_later(server);
	return FALSE;
}

void
http_turns_run(evutil_socket_t fd, short what, void *arg)
{
	http_server_t *server = arg;
	turn_entry_t *entry;
	int i;

	(void)fd;
	(void)what;
	for (i = 0; i < REQUESTS_PER_ITERATION; i++) {
		entry = conn_turns_next(&server->turns);
		if (entry == NULL)
			return;
		http_conn_turn(entry->owner);
	}
	if (server->turns.waiting.length > 0)
		run_later(server);
}
