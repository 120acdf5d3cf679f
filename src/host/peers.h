#ifndef HOST_PEERS_H
#define HOST_PEERS_H

#include "host/host.h"
#include "protocol/rpc_body.h"

/* The other entry hosts: exchanges with them, and calls to them. */

#define EXCHANGE_PERIOD_MS 500
#define EXCHANGE_TIMEOUT_MS 1500

/* What this host knows of another host besides its roster entry. */
typedef struct {
	host_t *host;
	char *name;
	rpc_peer_id_t rpc;
	char *address; /* of its RPC port */
	char *callers; /* its address for callers; NULL: not known yet */
	gboolean busy; /* an exchange is under way */
	uint64_t sequence;
	msec_t sent_at;
	uint64_t asked_incarnation;
	uint64_t config_version, keys_version;
	gboolean fetching_keys;
	msec_t heard_at;
	uint64_t heard_incarnation;
	uint64_t counted_incarnation; /* whose counts and claims are kept */
	GArray *steps; /* peer_step_t: steps of moves that it has confirmed */
} peer_t;

typedef struct {
	GQuark move;
	uint32_t step;
	gboolean stopped;
} peer_step_t;

void peers_init(host_t *h);
void peers_finish(host_t *h);

/**
 * peers_tick() - Start an exchange with each roster host when it is due.
 * @h: the host
 * @now: present time
 */
void peers_tick(host_t *h, msec_t now);

/**
 * peers_send_departure() - Send all hosts the departure notice of this host.
 * @h: the host, in phase HOST_ENDING; none of its writes is under way
 *
 * Breaks the event loop once all hosts have answered or can't be reached.
 */
void peers_send_departure(host_t *h);

/**
 * peers_scanned() - Apply the roster rows of the mirror.
 * @h: the host
 *
 * Return: all hosts in these rows, an array of replica_t that the caller frees;
 *	empty until this process has joined.
 */
GArray *peers_scanned(host_t *h);

/**
 * peers_answer() - Answer a peer's exchange.
 * @h: the host
 * @id: handle of the call
 * @caller: name that the peer has authenticated as
 * @args: its arguments
 */
void peers_answer(host_t *h, rpc_call_id_t id, const char *caller,
    const exchange_args_t *args);

/**
 * peers_get() - Find what is known of a host.
 * @h: the host
 * @name: the other's name
 *
 * Return: NULL if it was never in the roster.
 */
peer_t *peers_get(const host_t *h, const char *name);

/**
 * peers_reached() - Count the live hosts that have the keys up to a version.
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
 * @timeout_ms: time after which the call fails
 * @fn: gets the outcome, after this function returns
 * @arg: for @fn
 *
 * Return: FALSE if the call could not be made; @fn does not run then.
 */
gboolean peers_call(host_t *h, const char *name, const rpc_args_t *args,
    msec_t timeout_ms, rpc_answer_t fn, void *arg);

#endif
