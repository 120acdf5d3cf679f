#ifndef TRANSPORT_RPC_SERVER_H
#define TRANSPORT_RPC_SERVER_H

#include <event2/event.h>
#include <event2/listener.h>

#include "protocol/rpc_auth.h"
#include "protocol/rpc_body.h"
#include "state/conn_room.h"
#include "transport/rpc_refusal.h"

/*
 * The RPC port of a host. The handler gets only calls that are authenticated,
 * not too old, not replayed, and whose arguments could be decoded. It answers
 * each call by its handle, now or later. If the connection is closed before
 * that, the answer is discarded.
 */

#define RPC_CONNECTIONS_MAX 1024 /* with a session */
#define RPC_PENDING_MAX 256	 /* unanswered calls of one connection */
#define RPC_HELLO_MAX 1024  /* bytes of a record while no session is open */
#define RPC_HELLO_MS 5000   /* time limit for opening a session */
#define RPC_RECORD_MS 10000 /* time limit for receiving one record */
#define RPC_IDLE_MS 600000  /* silence after which a connection is closed */
#define RPC_OUTPUT_MAX \
	(4 * RPC_RECORD_MAX) /* answers not yet sent, bytes per connection */
#define RPC_INPUT_MAX \
	(64 * RPC_RECORD_MAX) /* unfinished records, bytes in all */

typedef uint64_t rpc_call_id_t;

/**
 * rpc_handler_t - Handle one call.
 * @arg: as configured
 * @id: handle by which the call is answered, exactly once
 * @caller: name that the caller states; authenticated
 * @args: valid only until the handler returns
 */
typedef void (*rpc_handler_t)(
    void *arg, rpc_call_id_t id, const char *caller, const rpc_args_t *args);

typedef struct {
	struct event_base *base;
	const rpc_key_t *key;
	rpc_identity_t self;
	metrics_t *metrics;
	rpc_handler_t handler;
	void *arg;
	msec_t hello_ms; /* time limit for opening a session; 0: RPC_HELLO_MS */
	/* Connections without a session; the oldest is closed for a new one. 0:
	 * RPC_CONNECTIONS_MAX */
	guint max_strangers;
} rpc_server_config_t;

typedef struct {
	rpc_server_config_t config;
	struct evconnlistener *listener;
	struct event *sweep;
	GHashTable *conns;   /* id to rpc_conn_t */
	conn_room_t room;    /* spare ones have no session */
	GHashTable *pending; /* rpc_call_id_t to rpc_pending_t */
	uint64_t next_id;
	size_t unfinished; /* bytes of unfinished records, all connections */
	rpc_refusals_t refusals;
} rpc_server_t;

/**
 * rpc_server_init() - Start to listen.
 * @s: memory of the caller
 * @config: copied; what it points to must outlive the server
 * @listen: "IP:PORT"; port 0 chooses a free port
 * @err: ERROR_INVALID if the address can't be parsed, ERROR_UNAVAILABLE if it
 *	can't be bound
 */
gboolean rpc_server_init(rpc_server_t *s, const rpc_server_config_t *config,
    const char *listen, GError **err);

/**
 * rpc_server_finish() - Close all connections; pending calls get no answer.
 * @s: the server
 */
void rpc_server_finish(rpc_server_t *s);

uint16_t rpc_server_port(const rpc_server_t *s);

/**
 * rpc_server_stop() - Accept no more connections; open ones continue.
 * @s: the server
 */
void rpc_server_stop(rpc_server_t *s);

/**
 * rpc_server_answer() - Answer a call.
 * @s: the server
 * @id: its handle; an unknown one is ignored
 * @result: result of the call's procedure
 */
void rpc_server_answer(
    rpc_server_t *s, rpc_call_id_t id, const rpc_result_t *result);

/**
 * rpc_server_refuse() - Answer that a call was not run and had no effect.
 * @s: the server
 * @id: its handle; an unknown one is ignored
 */
void rpc_server_refuse(rpc_server_t *s, rpc_call_id_t id);

#endif
