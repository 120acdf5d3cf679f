#include <errno.h>
#include <string.h>

#include <sodium.h>

#include "base/error.h"
#include "base/log.h"
#include "transport/rpc_server.h"
#include "transport/rpc_stream.h"

#define SWEEP_MS 1000

typedef struct {
	rpc_server_t *server;
	uint64_t id;
	struct bufferevent *bev;
	record_reader_t reader;
	rpc_session_t session;
	char peer[64];
	unsigned int pending;
	size_t unfinished; /* part of the server's sum */
	msec_t opened_at;
	msec_t heard_at;
	msec_t record_at; /* when the unfinished record began */
} conn_t;

typedef struct {
	rpc_call_id_t id;
	uint64_t conn;
	uint32_t xid;
	rpc_proc_t proc;
	rpc_nonce_t session;
	uint8_t mac[RPC_MAC_SIZE];
} pending_t;

static void
conn_account(conn_t *c, size_t unfinished)
{
	c->server->unfinished += unfinished - c->unfinished;
	c->unfinished = unfinished;
}

static gboolean
is_of_conn(void *key, void *value, void *conn)
{
	(void)key;
	return ((pending_t *)value)->conn == ((conn_t *)conn)->id;
}

static void
conn_free(void *p)
{
	conn_t *c = p;

	conn_account(c, 0);
	bufferevent_free(c->bev);
	record_reader_finish(&c->reader);
	g_free(c);
}

static void
conn_close(conn_t *c)
{
	g_hash_table_foreach_remove(c->server->pending, is_of_conn, c);
	g_hash_table_remove(c->server->conns, &c->id);
}

static void
conn_refuse(conn_t *c, rpc_refusal_t reason)
{
	rpc_refusals_count(&c->server->refusals, reason, c->peer, clock_now());
	conn_close(c);
}

static void
conn_reply(conn_t *c, rpc_reply_t *reply, const uint8_t *of_call)
{
	GByteArray *out = g_byte_array_new();

	if (reply->status < RPC_STATUS_RPC_VERSION)
		rpc_reply_sign(reply, of_call, c->server->config.key);
	rpc_reply_encode(out, reply);
	rpc_stream_send(c->bev, out);
	g_byte_array_free(out, TRUE);
}

static rpc_refusal_t
refusal_of(rpc_status_t status)
{
	switch (status) {
	case RPC_STATUS_PROGRAM:
		return RPC_REFUSAL_PROGRAM;
	case RPC_STATUS_VERSION:
		return RPC_REFUSAL_VERSION;
	case RPC_STATUS_PROCEDURE:
		return RPC_REFUSAL_PROCEDURE;
	case RPC_STATUS_ARGUMENTS:
		return RPC_REFUSAL_ARGUMENTS;
	case RPC_STATUS_RPC_VERSION:
		return RPC_REFUSAL_RPC_VERSION;
	case RPC_STATUS_VERIFIER:
		return RPC_REFUSAL_VERIFIER;
	case RPC_STATUS_REPLAYED:
		return RPC_REFUSAL_REPLAYED;
	case RPC_STATUS_CREDENTIAL:
		return RPC_REFUSAL_CREDENTIAL;
	default:
		return RPC_REFUSAL_BUSY;
	}
}

static void
call_refuse(conn_t *c, const rpc_call_t *call, rpc_status_t status)
{
	rpc_reply_t reply = {0};

	rpc_refusals_count(
	    &c->server->refusals, refusal_of(status), c->peer, clock_now());
	reply.xid = call->xid;
	reply.status = status;
	if (status == RPC_STATUS_VERSION) {
		reply.low = HOST_VERSION;
		reply.high = HOST_VERSION;
	}
	memcpy(reply.session, c->session.id, RPC_NONCE_SIZE);
	conn_reply(c, &reply, call->mac);
}

static pending_t *
pending_add(conn_t *c, const rpc_call_t *call)
{
	pending_t *p = g_new0(pending_t, 1);

	p->id = ++c->server->next_id;
	p->conn = c->id;
	p->xid = call->xid;
	p->proc = (rpc_proc_t)call->proc;
	memcpy(p->session, c->session.id, RPC_NONCE_SIZE);
	memcpy(p->mac, call->mac, RPC_MAC_SIZE);
	g_hash_table_insert(c->server->pending, &p->id, p);
	c->pending++;
	return p;
}

/* Hands an authenticated call to the handler, or answers it here. */
static void
call_run(conn_t *c, const rpc_call_t *call, const char *caller)
{
	rpc_server_t *s = c->server;
	rpc_result_t empty = {.proc = RPC_PROC_NULL};
	rpc_args_t args;
	rpc_call_id_t id;

	if (c->pending >= RPC_PENDING_MAX) {
		call_refuse(c, call, RPC_STATUS_BUSY);
		return;
	}
	if (!rpc_args_decode(&args, call->proc, call->body, call->body_len)) {
		call_refuse(c, call, RPC_STATUS_ARGUMENTS);
		return;
	}
	id = pending_add(c, call)->id;
	if (args.proc == RPC_PROC_NULL)
		rpc_server_answer(s, id, &empty);
	else
		s->config.handler(s->config.arg, id, caller, &args);
	rpc_args_clear(&args);
}

/* Return: FALSE once the connection has been closed. */
static gboolean
conn_record(conn_t *c)
{
	const GByteArray *record = c->reader.record;
	uint64_t id = c->id;
	rpc_server_t *s = c->server;
	rpc_caller_t caller;
	rpc_status_t status = RPC_STATUS_RPC_VERSION;
	rpc_decode_t decoded;
	rpc_nonce_t fresh;
	rpc_call_t call;

	decoded = rpc_call_decode(&call, record->data, record->len);
	if (decoded == RPC_DECODE_BAD) {
		conn_refuse(c, RPC_REFUSAL_UNDECODABLE);
		return FALSE;
	}
	randombytes_buf(fresh, sizeof(fresh));
	if (decoded == RPC_DECODE_OK)
		status = rpc_session_check(&c->session, s->config.key,
		    &s->config.self, &call, fresh, clock_now(), &caller);
	if (c->session.open)
		c->reader.limit = RPC_RECORD_MAX;
	if (status == RPC_STATUS_OK)
		call_run(c, &call, caller.name);
	else
		call_refuse(c, &call, status);
	return g_hash_table_contains(s->conns, &id);
}

static gboolean
conn_within_bounds(conn_t *c)
{
	size_t unfinished =
	    record_reader_idle(&c->reader) ? 0 : c->reader.record->len;

	conn_account(c, unfinished);
	if (c->server->unfinished > RPC_INPUT_MAX) {
		conn_refuse(c, RPC_REFUSAL_BUSY);
		return FALSE;
	}
	return TRUE;
}

static void
conn_readable(struct bufferevent *bev, void *arg)
{
	struct evbuffer *in = bufferevent_get_input(bev);
	conn_t *c = arg;
	record_status_t status;

	c->heard_at = clock_now();
	while (evbuffer_get_length(in) > 0) {
		if (record_reader_idle(&c->reader))
			c->record_at = c->heard_at;
		status = rpc_stream_read(in, &c->reader);
		if (status == RECORD_TOO_LONG) {
			conn_refuse(c, RPC_REFUSAL_TOO_LONG);
			return;
		}
		if (status == RECORD_DONE && !conn_record(c))
			return;
		if (!conn_within_bounds(c))
			return;
	}
}

static void
conn_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
		conn_close(arg);
}

static void
accepted(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *addr, int len, void *arg)
{
	rpc_server_t *s = arg;
	conn_t *c;

	(void)listener;
	c = g_new0(conn_t, 1);
	c->server = s;
	c->id = ++s->next_id;
	c->bev =
	    bufferevent_socket_new(s->config.base, fd, BEV_OPT_CLOSE_ON_FREE);
	record_reader_init(&c->reader, RPC_HELLO_MAX);
	c->opened_at = clock_now();
	c->heard_at = c->opened_at;
	rpc_addr_format(c->peer, sizeof(c->peer), addr, len);
	g_hash_table_insert(s->conns, &c->id, c);
	if (g_hash_table_size(s->conns) > RPC_CONNECTIONS_MAX) {
		conn_refuse(c, RPC_REFUSAL_CONNECTIONS);
		return;
	}
	bufferevent_setcb(c->bev, conn_readable, NULL, conn_event, c);
	rpc_stream_no_delay(c->bev);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

static gboolean
conn_is_slow(const conn_t *c, msec_t now)
{
	if (!c->session.open && now - c->opened_at > c->server->config.hello_ms)
		return TRUE;
	if (!record_reader_idle(&c->reader) &&
	    now - c->record_at > RPC_RECORD_MS)
		return TRUE;
	if (evbuffer_get_length(bufferevent_get_output(c->bev)) >
	    RPC_OUTPUT_MAX)
		return TRUE;
	return now - c->heard_at > RPC_IDLE_MS;
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
		if (conn_is_slow(l->data, now))
			conn_refuse(l->data, RPC_REFUSAL_SLOW);
	}
	g_list_free(conns);
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
	s->listener = evconnlistener_new_bind(config->base, accepted, s,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
	    -1, (struct sockaddr *)&addr.addr, addr.len);
	if (s->listener == NULL) {
		error_set(err, ERROR_UNAVAILABLE, "rpc.listen", listen, "%s",
		    g_strerror(errno));
		return FALSE;
	}
	s->conns =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, conn_free);
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
pending_reply(
    rpc_server_t *s, pending_t *p, rpc_status_t status, const GByteArray *body)
{
	conn_t *c = g_hash_table_lookup(s->conns, &p->conn);
	rpc_reply_t reply = {0};

	reply.xid = p->xid;
	reply.status = status;
	memcpy(reply.session, p->session, RPC_NONCE_SIZE);
	reply.body = body->data;
	reply.body_len = body->len;
	c->pending--;
	conn_reply(c, &reply, p->mac);
	g_hash_table_remove(s->pending, &p->id);
}

void
rpc_server_answer(rpc_server_t *s, rpc_call_id_t id, const rpc_result_t *result)
{
	pending_t *p = g_hash_table_lookup(s->pending, &id);
	GByteArray *body;
	GError *err = NULL;

	if (p == NULL)
		return;
	body = g_byte_array_new();
	if (p->proc == result->proc && rpc_result_encode(body, result, &err)) {
		pending_reply(s, p, RPC_STATUS_OK, body);
	} else {
		/* The call may have run: silence, never "not run". */
		log_event(LOG_ERROR, "rpc.answer", "error",
		    err != NULL ? err->message : "result of another procedure",
		    NULL);
		g_clear_error(&err);
		conn_close(g_hash_table_lookup(s->conns, &p->conn));
	}
	g_byte_array_free(body, TRUE);
}

void
rpc_server_refuse(rpc_server_t *s, rpc_call_id_t id)
{
	pending_t *p = g_hash_table_lookup(s->pending, &id);
	GByteArray *body;

	if (p == NULL)
		return;
	body = g_byte_array_new();
	pending_reply(s, p, RPC_STATUS_BUSY, body);
	g_byte_array_free(body, TRUE);
}
