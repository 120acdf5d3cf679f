#include <string.h>

#include <sodium.h>

#include "base/error.h"
#include "transport/rpc_outgoing.h"
#include "transport/rpc_peer.h"

static void
timer_set(struct event *timer, msec_t ms)
{
	struct timeval tv = {ms / MSEC_PER_SEC, (ms % MSEC_PER_SEC) * 1000};

	evtimer_add(timer, &tv);
}

static void
on_call_timeout(evutil_socket_t fd, short what, void *arg)
{
	rpc_outgoing_t *call = arg;
	rpc_peer_t *p = call->peer;

	(void)fd;
	(void)what;
	if (call->body != NULL) {
		g_queue_remove(&p->waiting, call);
		rpc_outgoing_fail(call, ERROR_UNAVAILABLE,
		    "no connection before the deadline; not sent");
	} else {
		g_hash_table_remove(p->sent, GUINT_TO_POINTER(call->xid));
		rpc_outgoing_fail(
		    call, ERROR_UNKNOWN, "no answer before the deadline");
	}
}

/*
 * Fails the calls that were sent, with ERROR_UNKNOWN. Unless waiting is 0, also
 * fails the calls that wait to be sent, with the given code.
 */
static void
fail_all(rpc_peer_t *p, int waiting, error_code_t code, const char *why)
{
	GList *sent = g_hash_table_get_values(p->sent);
	GList *queued = NULL;
	GList *l;

	g_hash_table_remove_all(p->sent);
	if (waiting != 0) {
		queued = p->waiting.head;
		g_queue_init(&p->waiting);
	}
	for (l = sent; l != NULL; l = l->next)
		rpc_outgoing_fail(l->data, ERROR_UNKNOWN, why);
	for (l = queued; l != NULL; l = l->next)
		rpc_outgoing_fail(l->data, code, why);
	g_list_free(sent);
	g_list_free(queued);
}

static void
disconnect(rpc_peer_t *p)
{
	if (p->bev == NULL)
		return;
	bufferevent_free(p->bev);
	p->bev = NULL;
	record_reader_finish(&p->reader);
}

/*
 * Closes the connection and starts the backoff. If no session was open, no
 * waiting call was written; each of them fails with the given code. Otherwise
 * the waiting calls stay queued for the next connection.
 */
static void
drop_connection(rpc_peer_t *p, error_code_t code, const char *why)
{
	int opening = p->state != RPC_PEER_OPEN;
	msec_t jitter = randombytes_uniform(RPC_BACKOFF_MIN_MS);

	disconnect(p);
	p->state = RPC_PEER_BACKOFF;
	timer_set(p->timer, p->backoff_ms + jitter);
	p->backoff_ms = MIN(2 * p->backoff_ms, RPC_BACKOFF_MAX_MS);
	fail_all(p, opening, code, why);
}

static gboolean
send_call(rpc_peer_t *p, rpc_call_t *call, const rpc_nonce_t session)
{
	const rpc_client_config_t *config = &p->client->config;
	GByteArray *out;
	rpc_cred_t cred;

	memcpy(cred.session, session, RPC_NONCE_SIZE);
	randombytes_buf(cred.nonce, RPC_NONCE_SIZE);
	cred.caller = (char *)config->id;
	cred.callee = p->address;
	cred.elapsed_ms = (uint64_t)(clock_now() - p->session_at);
	call->xid = ++p->last_xid;
	call->program = HOST_PROGRAM;
	call->version = config->version;
	if (!rpc_call_sign(call, &cred, config->key, NULL))
		return FALSE;
	out = g_byte_array_new();
	rpc_call_encode(out, call);
	rpc_stream_send(p->bev, out);
	g_byte_array_free(out, TRUE);
	return TRUE;
}

static void
send_hello(rpc_peer_t *p)
{
	static const rpc_nonce_t no_session;
	rpc_call_t call = {0};

	p->state = RPC_PEER_HELLO;
	timer_set(p->timer, RPC_CONNECT_MS);
	call.proc = RPC_PROC_NULL;
	if (!send_call(p, &call, no_session)) {
		drop_connection(
		    p, ERROR_INVALID, "this caller's name is too long");
		return;
	}
	p->hello_xid = call.xid;
	memcpy(p->hello_mac, call.mac, RPC_MAC_SIZE);
}

static void
send_waiting(rpc_peer_t *p)
{
	rpc_call_t msg;
	rpc_outgoing_t *call;

	while (p->state == RPC_PEER_OPEN &&
	    (call = g_queue_pop_head(&p->waiting)) != NULL) {
		memset(&msg, 0, sizeof(msg));
		msg.proc = call->proc;
		msg.body = call->body->data;
		msg.body_len = call->body->len;
		send_call(p, &msg, p->session);
		call->xid = msg.xid;
		memcpy(call->mac, msg.mac, RPC_MAC_SIZE);
		g_byte_array_free(call->body, TRUE);
		call->body = NULL;
		g_hash_table_insert(p->sent, GUINT_TO_POINTER(call->xid), call);
	}
}

static void
on_hello_answer(rpc_peer_t *p, const rpc_reply_t *reply)
{
	if (reply->status >= RPC_STATUS_RPC_VERSION) {
		drop_connection(
		    p, ERROR_DENIED, rpc_status_name(reply->status));
		return;
	}
	if (!rpc_reply_check(reply, p->hello_mac, p->client->config.key)) {
		metrics_count(p->client->config.metrics, p->client->forged, 1);
		drop_connection(
		    p, ERROR_DENIED, "the peer does not know the secret");
		return;
	}
	if (reply->status != RPC_STATUS_OK) {
		drop_connection(p, rpc_outgoing_code(reply->status),
		    rpc_status_name(reply->status));
		return;
	}
	memcpy(p->session, reply->session, RPC_NONCE_SIZE);
	p->session_at = clock_now();
	p->state = RPC_PEER_OPEN;
	p->backoff_ms = RPC_BACKOFF_MIN_MS;
	evtimer_del(p->timer);
	send_waiting(p);
}

static void
on_call_answer(rpc_peer_t *p, const rpc_reply_t *reply)
{
	rpc_client_t *c = p->client;
	void *key = GUINT_TO_POINTER(reply->xid);
	rpc_outgoing_t *call = g_hash_table_lookup(p->sent, key);

	if (call == NULL) {
		metrics_count(c->config.metrics, c->late, 1);
		return;
	}
	if (reply->status >= RPC_STATUS_RPC_VERSION) {
		drop_connection(
		    p, ERROR_UNKNOWN, rpc_status_name(reply->status));
		return;
	}
	if (!rpc_reply_check(reply, call->mac, c->config.key)) {
		metrics_count(c->config.metrics, c->forged, 1);
		drop_connection(
		    p, ERROR_UNKNOWN, "an answer is not authenticated");
		return;
	}
	g_hash_table_remove(p->sent, key);
	rpc_outgoing_answer(call, reply);
}

static void
handle_record(rpc_peer_t *p)
{
	rpc_reply_t reply;

	if (!rpc_reply_decode(
		&reply, p->reader.record->data, p->reader.record->len)) {
		metrics_count(p->client->config.metrics, p->client->forged, 1);
		drop_connection(
		    p, ERROR_UNAVAILABLE, "a record is not an answer");
	} else if (p->state == RPC_PEER_HELLO && reply.xid == p->hello_xid) {
		on_hello_answer(p, &reply);
	} else {
		on_call_answer(p, &reply);
	}
}

static void
on_readable(struct bufferevent *bev, void *arg)
{
	rpc_peer_t *p = arg;
	record_status_t status = RECORD_DONE;

	while (p->bev == bev && status == RECORD_DONE) {
		status =
		    rpc_stream_read(bufferevent_get_input(bev), &p->reader);
		if (status == RECORD_TOO_LONG)
			drop_connection(
			    p, ERROR_UNAVAILABLE, "an answer is too long");
		else if (status == RECORD_EMPTY)
			drop_connection(p, ERROR_UNAVAILABLE,
			    "an answer has too many empty fragments");
		else if (status == RECORD_DONE)
			handle_record(p);
	}
}

static void
on_connection_event(struct bufferevent *bev, short what, void *arg)
{
	rpc_peer_t *p = arg;
	char why[96];

	if ((what & BEV_EVENT_CONNECTED) != 0) {
		metrics_count(
		    p->client->config.metrics, p->client->connects, 1);
		rpc_stream_no_delay(bev);
		send_hello(p);
	} else if ((what & BEV_EVENT_EOF) != 0) {
		drop_connection(
		    p, ERROR_UNAVAILABLE, "the peer closed the connection");
	} else {
		g_snprintf(why, sizeof(why), "connection failed: %s",
		    evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
		drop_connection(p, ERROR_UNAVAILABLE, why);
	}
}

static void
connect_peer(rpc_peer_t *p)
{
	p->state = RPC_PEER_CONNECTING;
	p->last_xid = 0;
	p->bev = bufferevent_socket_new(
	    p->client->config.base, -1, BEV_OPT_CLOSE_ON_FREE);
	record_reader_init(&p->reader, RPC_RECORD_MAX);
	bufferevent_setcb(p->bev, on_readable, NULL, on_connection_event, p);
	bufferevent_enable(p->bev, EV_READ | EV_WRITE);
	timer_set(p->timer, RPC_CONNECT_MS);
	bufferevent_socket_connect(
	    p->bev, (struct sockaddr *)&p->addr.addr, p->addr.len);
}

/* Sends the waiting calls, or opens the connection or session they need. */
static void
send_or_connect(rpc_peer_t *p)
{
	if (g_queue_is_empty(&p->waiting))
		return;
	if (p->state == RPC_PEER_IDLE)
		timer_set(p->timer, 0);
	else if (p->state != RPC_PEER_OPEN)
		return;
	else if (clock_now() - p->session_at > RPC_SESSION_MS)
		send_hello(p);
	else
		send_waiting(p);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	rpc_peer_t *p = arg;

	(void)fd;
	(void)what;
	switch (p->state) {
	case RPC_PEER_CONNECTING:
	case RPC_PEER_HELLO:
		drop_connection(p, ERROR_UNAVAILABLE,
		    "no session before the time-out; not sent");
		break;
	case RPC_PEER_IDLE:
	case RPC_PEER_BACKOFF:
		p->state = RPC_PEER_IDLE;
		if (!g_queue_is_empty(&p->waiting))
			connect_peer(p);
		break;
	case RPC_PEER_OPEN:
	case RPC_PEER_REMOVED:
		break;
	}
}

rpc_peer_t *
rpc_peer_new(rpc_client_t *c, const char *address, const rpc_addr_t *addr)
{
	rpc_peer_t *p = g_new0(rpc_peer_t, 1);

	p->client = c;
	p->address = g_strdup(address);
	p->addr = *addr;
	p->backoff_ms = RPC_BACKOFF_MIN_MS;
	p->timer = evtimer_new(c->config.base, on_timer, p);
	p->sent = g_hash_table_new(g_direct_hash, g_direct_equal);
	g_queue_init(&p->waiting);
	return p;
}

void
rpc_peer_close(rpc_peer_t *p)
{
	disconnect(p);
	p->state = RPC_PEER_REMOVED;
	evtimer_del(p->timer);
	fail_all(p, 1, ERROR_UNAVAILABLE, "the peer is no longer in use");
}

void
rpc_peer_free(rpc_peer_t *p)
{
	event_free(p->timer);
	g_hash_table_destroy(p->sent);
	g_free(p->address);
	g_free(p);
}

guint
rpc_peer_outstanding(const rpc_peer_t *p)
{
	return g_queue_get_length((GQueue *)&p->waiting) +
	    g_hash_table_size(p->sent);
}

void
rpc_peer_call(rpc_peer_t *p, rpc_proc_t proc, GByteArray *body,
    msec_t timeout_ms, rpc_answer_t fn, void *arg)
{
	rpc_outgoing_t *call = g_new0(rpc_outgoing_t, 1);

	call->peer = p;
	call->proc = proc;
	call->body = body;
	call->fn = fn;
	call->arg = arg;
	call->deadline =
	    evtimer_new(p->client->config.base, on_call_timeout, call);
	timer_set(call->deadline, timeout_ms);
	g_queue_push_tail(&p->waiting, call);
	send_or_connect(p);
}
