#include <string.h>

#include <sodium.h>

#include "transport/rpc_conn.h"
#include "transport/rpc_stream.h"

static void
conn_account(rpc_conn_t *c, size_t unfinished)
{
	c->server->unfinished += unfinished - c->unfinished;
	c->unfinished = unfinished;
}

static gboolean
belongs_to_conn(void *key, void *value, void *conn)
{
	(void)key;
	return ((rpc_pending_t *)value)->conn == ((rpc_conn_t *)conn)->id;
}

void
rpc_conn_free(void *p)
{
	rpc_conn_t *c = p;

	conn_account(c, 0);
	conn_room_remove(&c->server->room, &c->place);
	bufferevent_free(c->bev);
	record_reader_finish(&c->reader);
	g_free(c);
}

void
rpc_conn_close(rpc_conn_t *c)
{
	g_hash_table_foreach_remove(c->server->pending, belongs_to_conn, c);
	g_hash_table_remove(c->server->conns, &c->id);
}

void
rpc_conn_refuse(rpc_conn_t *c, rpc_refusal_t reason)
{
	rpc_refusals_count(&c->server->refusals, reason, c->peer, clock_now());
	rpc_conn_close(c);
}

void
rpc_conn_reply(rpc_conn_t *c, rpc_reply_t *reply, const uint8_t *of_call)
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
call_refuse(rpc_conn_t *c, const rpc_call_t *call, rpc_status_t status)
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
	rpc_conn_reply(c, &reply, call->mac);
}

static rpc_pending_t *
pending_add(rpc_conn_t *c, const rpc_call_t *call)
{
	rpc_pending_t *p = g_new0(rpc_pending_t, 1);

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

/*
 * Passes an authenticated call to the handler. A null call and a call that is
 * refused are answered here.
 */
static void
call_dispatch(rpc_conn_t *c, const rpc_call_t *call, const char *caller)
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

/* Handles a complete record. Returns FALSE if the connection was closed. */
static gboolean
conn_take_record(rpc_conn_t *c)
{
	const GByteArray *record = c->reader.record;
	uint64_t id = c->id;
	rpc_server_t *s = c->server;
	rpc_caller_t caller;
	rpc_status_t status = RPC_STATUS_RPC_VERSION;
	rpc_decode_t decoded;
	rpc_nonce_t new_session;
	rpc_call_t call;

	decoded = rpc_call_decode(&call, record->data, record->len);
	if (decoded == RPC_DECODE_BAD) {
		rpc_conn_refuse(c, RPC_REFUSAL_UNDECODABLE);
		return FALSE;
	}
	randombytes_buf(new_session, sizeof(new_session));
	if (decoded == RPC_DECODE_OK)
		status = rpc_session_check(&c->session, s->config.key,
		    &s->config.self, &call, new_session, clock_now(), &caller);
	if (c->session.open) {
		c->reader.limit = RPC_RECORD_MAX;
		if (c->place.kind == CONN_SPARE &&
		    !conn_room_admit(&s->room, &c->place, clock_now())) {
			rpc_conn_refuse(c, RPC_REFUSAL_CONNECTIONS);
			return FALSE;
		}
	}
	if (status == RPC_STATUS_OK)
		call_dispatch(c, &call, caller.name);
	else
		call_refuse(c, &call, status);
	return g_hash_table_contains(s->conns, &id);
}

static gboolean
conn_within_limits(rpc_conn_t *c)
{
	size_t unfinished =
	    record_reader_idle(&c->reader) ? 0 : c->reader.record->len;

	conn_account(c, unfinished);
	if (c->server->unfinished > RPC_INPUT_MAX) {
		rpc_conn_refuse(c, RPC_REFUSAL_BUSY);
		return FALSE;
	}
	return TRUE;
}

static void
conn_readable(struct bufferevent *bev, void *arg)
{
	struct evbuffer *in = bufferevent_get_input(bev);
	rpc_conn_t *c = arg;
	record_status_t status;

	c->heard_at = clock_now();
	while (evbuffer_get_length(in) > 0) {
		if (record_reader_idle(&c->reader))
			c->record_at = c->heard_at;
		status = rpc_stream_read(in, &c->reader);
		if (status == RECORD_TOO_LONG || status == RECORD_EMPTY) {
			rpc_conn_refuse(c,
			    status == RECORD_EMPTY ? RPC_REFUSAL_UNDECODABLE
						   : RPC_REFUSAL_TOO_LONG);
			return;
		}
		if (status == RECORD_DONE && !conn_take_record(c))
			return;
		if (!conn_within_limits(c))
			return;
	}
}

static void
conn_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
		rpc_conn_close(arg);
}

rpc_conn_t *
rpc_conn_new(
    rpc_server_t *s, evutil_socket_t fd, const struct sockaddr *addr, int len)
{
	rpc_conn_t *c = g_new0(rpc_conn_t, 1);

	c->server = s;
	c->id = ++s->next_id;
	c->bev =
	    bufferevent_socket_new(s->config.base, fd, BEV_OPT_CLOSE_ON_FREE);
	record_reader_init(&c->reader, RPC_HELLO_MAX);
	c->opened_at = clock_now();
	c->heard_at = c->opened_at;
	c->place.owner = c;
	rpc_addr_format(c->peer, sizeof(c->peer), addr, len);
	bufferevent_setcb(c->bev, conn_readable, NULL, conn_event, c);
	rpc_stream_no_delay(c->bev);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	return c;
}

gboolean
rpc_conn_is_slow(const rpc_conn_t *c, msec_t now)
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
