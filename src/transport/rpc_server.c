#include <errno.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "transport/rpc_conn.h"
#include "transport/rpc_stream.h"

#define SWEEP_MS 1000

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *addr, int len, void *arg)
{
	rpc_server_t *s = arg;
	rpc_conn_t *c = rpc_conn_new(s, fd, addr, len);
	const conn_entry_t *surplus;

	(void)listener;
	g_hash_table_insert(s->conns, &c->id, c);
	conn_room_add_spare(&s->room, &c->place, c->opened_at);
	surplus = conn_room_surplus(&s->room, NULL);
	if (surplus != NULL)
		rpc_conn_refuse(surplus->owner, RPC_REFUSAL_CONNECTIONS);
}

/* No descriptor is free: the connection waits in the listening socket, which
 * would be reported without end. The sweep enables it again. */
static void
on_accept_error(struct evconnlistener *listener, void *arg)
{
	int error = errno;

	(void)arg;
	evconnlistener_disable(listener);
	log_event(
	    LOG_WARN, "rpc.not_accepted", "error", g_strerror(error), NULL);
}

static void
sweep(evutil_socket_t fd, short what, void *arg)
{
	rpc_server_t *s = arg;
	GList *conns = g_hash_table_get_values(s->conns);
	msec_t now = clock_now();
	GList *l;

	(void)fd;
	(void)what;
	for (l = conns; l != NULL; l = l->next) {
		if (rpc_conn_is_slow(l->data, now))
			rpc_conn_refuse(l->data, RPC_REFUSAL_SLOW);
	}
	g_list_free(conns);
	if (s->listener != NULL)
		evconnlistener_enable(s->listener);
}

gboolean
rpc_server_init(rpc_server_t *s, const rpc_server_config_t *config,
    const char *listen, GError **err)
{
	struct timeval every = {SWEEP_MS / MSEC_PER_SEC, 0};
	rpc_addr_t addr;

	memset(s, 0, sizeof(*s));
	if (!rpc_addr_parse(&addr, listen, err))
		return FALSE;
	s->config = *config;
	if (s->config.hello_ms == 0)
		s->config.hello_ms = RPC_HELLO_MS;
	conn_room_init(&s->room, RPC_CONNECTIONS_MAX,
	    config->max_strangers > 0 ? config->max_strangers
				      : RPC_CONNECTIONS_MAX,
	    RPC_CONNECTIONS_MAX);
	s->listener = evconnlistener_new_bind(config->base, on_accept, s,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
	    -1, (struct sockaddr *)&addr.addr, addr.len);
	if (s->listener == NULL) {
		error_set(err, ERROR_UNAVAILABLE, "rpc.listen", listen, "%s",
		    g_strerror(errno));
		return FALSE;
	}
	evconnlistener_set_error_cb(s->listener, on_accept_error);
	s->conns = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, rpc_conn_free);
	s->pending =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	rpc_refusals_init(&s->refusals, config->metrics);
	s->sweep = event_new(config->base, -1, EV_PERSIST, sweep, s);
	event_add(s->sweep, &every);
	return TRUE;
}

void
rpc_server_finish(rpc_server_t *s)
{
	rpc_server_stop(s);
	event_free(s->sweep);
	g_hash_table_destroy(s->pending);
	g_hash_table_destroy(s->conns);
}

uint16_t
rpc_server_port(const rpc_server_t *s)
{
	return rpc_addr_port(evconnlistener_get_fd(s->listener));
}

void
rpc_server_stop(rpc_server_t *s)
{
	if (s->listener != NULL)
		evconnlistener_free(s->listener);
	s->listener = NULL;
}

static void
pending_reply(rpc_server_t *s, rpc_pending_t *p, rpc_status_t status,
    const GByteArray *body)
{
	rpc_conn_t *c = g_hash_table_lookup(s->conns, &p->conn);
	rpc_reply_t reply = {0};

	reply.xid = p->xid;
	reply.status = status;
	memcpy(reply.session, p->session, RPC_NONCE_SIZE);
	reply.body = body->data;
	reply.body_len = body->len;
	c->pending--;
	rpc_conn_reply(c, &reply, p->mac);
	g_hash_table_remove(s->pending, &p->id);
}

void
rpc_server_answer(rpc_server_t *s, rpc_call_id_t id, const rpc_result_t *result)
{
	rpc_pending_t *p = g_hash_table_lookup(s->pending, &id);
	GByteArray *body;
	GError *err = NULL;

	if (p == NULL)
		return;
	body = g_byte_array_new();
	if (p->proc == result->proc && rpc_result_encode(body, result, &err)) {
		pending_reply(s, p, RPC_STATUS_OK, body);
	} else {
		/* The call may have run: send no answer rather than "not run".
		 */
		log_event(LOG_ERROR, "rpc.answer", "error",
		    err != NULL ? err->message : "result of another procedure",
		    NULL);
		g_clear_error(&err);
		rpc_conn_close(g_hash_table_lookup(s->conns, &p->conn));
	}
	g_byte_array_free(body, TRUE);
}

void
rpc_server_refuse(rpc_server_t *s, rpc_call_id_t id)
{
	rpc_pending_t *p = g_hash_table_lookup(s->pending, &id);
	GByteArray *body;

	if (p == NULL)
		return;
	body = g_byte_array_new();
	pending_reply(s, p, RPC_STATUS_BUSY, body);
	g_byte_array_free(body, TRUE);
}
