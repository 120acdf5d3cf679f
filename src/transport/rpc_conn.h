#ifndef TRANSPORT_RPC_CONN_H
#define TRANSPORT_RPC_CONN_H

#include <event2/bufferevent.h>

#include "protocol/record_mark.h"
#include "transport/rpc_server.h"

/*
 * One connection of the RPC server: reads records, checks calls and passes
 * them to the handler.
 */

typedef struct {
	rpc_server_t *server;
	uint64_t id;
	struct bufferevent *bev;
	conn_entry_t place; /* among the server's connections */
	record_reader_t reader;
	rpc_session_t session;
	char peer[64];
	unsigned int pending; /* unanswered calls */
	/* Bytes of the unfinished record; counted in rpc_server_t.unfinished
	 * too. */
	size_t unfinished;
	msec_t opened_at;
	msec_t heard_at;  /* last input */
	msec_t record_at; /* start of the unfinished record */
} rpc_conn_t;

/* An unanswered call: the data that its reply needs. */
typedef struct {
	rpc_call_id_t id;
	uint64_t conn; /* id of the connection */
	uint32_t xid;
	rpc_proc_t proc;
	rpc_nonce_t session;
	uint8_t mac[RPC_MAC_SIZE]; /* verifier of the call */
} rpc_pending_t;

rpc_conn_t *rpc_conn_new(
    rpc_server_t *s, evutil_socket_t fd, const struct sockaddr *addr, int len);

/* Frees a connection; destructor of the values of rpc_server_t.conns. */
void rpc_conn_free(void *conn);

/**
 * rpc_conn_close() - Close a connection and discard its unanswered calls.
 * @c: the connection; freed
 */
void rpc_conn_close(rpc_conn_t *c);

/**
 * rpc_conn_refuse() - Close a connection and count the reason.
 * @c: the connection; freed
 * @reason: the reason
 */
void rpc_conn_refuse(rpc_conn_t *c, rpc_refusal_t reason);

/**
 * rpc_conn_reply() - Send a reply, signed unless its status is a denial.
 * @c: the connection
 * @reply: the reply
 * @of_call: verifier of the call that it answers
 */
void rpc_conn_reply(rpc_conn_t *c, rpc_reply_t *reply, const uint8_t *of_call);

/**
 * rpc_conn_is_slow() - Whether a connection exceeds a limit on time or output.
 * @c: the connection
 * @now: current time, ms
 */
gboolean rpc_conn_is_slow(const rpc_conn_t *c, msec_t now);

#endif
