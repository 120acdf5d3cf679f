#ifndef HOST_PEERS_H
#define HOST_PEERS_H

#include "host/host.h"
#include "protocol/rpc_body.h"

/* The other entry hosts: exchanges with them, and calls to them. */

#define EXCHANGE_PERIOD_MS 500
#define EXCHANGE_TIMEOUT_MS 1500

/* What is known of one host beside its roster entry. */
typedef struct {
	host_t *host;
	char *name;
	rpc_peer_id_t rpc;
	char *address; /* of its RPC port */
	char *callers; /* its address for callers; NULL: not heard yet */
	gboolean busy; /* an exchange is under way */
	uint64_t sequence;
	msec_t sent_at;
	uint64_t asked_incarnation;
	uint64_t config_version, keys_version;
	gboolean fetching_keys;
	msec_t heard_at;
	uint64_t heard_incarnation;
	uint64_t counted_incarnation; /* whose counts and claims are kept */
	GArray *steps; /* peer_step_t: what it has confirmed of moves */
} peer_t;

typedef struct {
	GQuark move;
	uint32_t step;
	gboolean stopped;
} peer_step_t;

void peers_init(host_t *h);
void peers_finish(host_t *h);

/**
 * peers_tick() - Ask each roster host for an exchange when that is due.
 * @h: the host
 * @now: present time
 */
void peers_tick(host_t *h, msec_t now);

/**
 * peers_goodbye() - Tell the roster that this host is gone for good.
 * @h: the host, in phase HOST_ENDING; nothing it wrote is under way
 *
 * Breaks the loop once all have answered or can't be reached.
 */
void peers_goodbye(host_t *h);

/**
 * peers_scanned() - Take in the roster rows of the mirror.
 * @h: the host
 *
 * Return: every host in them, an array of replica_t that the caller frees;
 * empty until this process has joined.
 */
GArray *peers_scanned(host_t *h);

/**
 * peers_answer() - Answer a peer's exchange.
 * @h: the host
 * @id: handle of the call
 * @caller: name under which the peer has authenticated itself
 * @args: what it asks
 */
void peers_answer(host_t *h, rpc_call_id_t id, const char *caller,
    const exchange_args_t *args);

/**
 * peers_get() - What is known of a host.
 * @h: the host
 * @name: the other's name
 *
 * Return: NULL if it was never in the roster.
 */
peer_t *peers_get(const host_t *h, const char *name);

/**
 * peers_reached() - How many live hosts have the keys up to a version.
 * @h: the host
 * @version: store version
 * @hosts: set to the number of live hosts, this one included
 * @now: present time
 */
guint peers_reached(host_t *h, uint64_t version, guint *hosts, msec_t now);

/**
 * peers_call() - Make a call to a host.
 * @h: the host
 * @name: the other's name
 * @args: what to call
 * @timeout_ms: after which it fails
 * @fn: gets the outcome, later
 * @arg: for @fn
 *
 * Return: FALSE if the call could not be made; @fn does not run then.
 */
gboolean peers_call(host_t *h, const char *name, const rpc_args_t *args,
    msec_t timeout_ms, rpc_answer_t fn, void *arg);

#endif
