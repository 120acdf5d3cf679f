#ifndef HOST_CONFIG_OPS_H
#define HOST_CONFIG_OPS_H

#include "coordination/apply.h"
#include "host/host.h"
#include "host/peers.h"

/* The configuration: exchange between hosts, and operators' changes of it. */

/* An operator's change; kept for a while after its end, for its outcome. */
typedef struct {
	host_t *host;
	apply_t apply;
	char *text;
	guint pending_answers; /* answers of the store that are due */
	gboolean forgotten; /* no longer wanted; freed with the last answer */
} config_apply_t;

/**
 * config_ops_scanned() - Take in the head row of the mirror.
 * @h: the host
 */
void config_ops_scanned(host_t *h);

/**
 * config_ops_on_heartbeat() - Take in the version that a peer has in force.
 * @h: the host
 * @id: the peer
 * @beat: its heartbeat
 * @now: present time
 */
void config_ops_on_heartbeat(
    host_t *h, host_id_t id, const rpc_heartbeat_t *beat, msec_t now);

/**
 * config_ops_tick() - Fetch a wanted configuration when that is due.
 * @h: the host
 * @now: present time
 */
void config_ops_tick(host_t *h, msec_t now);

/**
 * config_ops_apply() - Start an operator's change.
 * @h: the host
 * @base: version that the operator has changed
 * @text: the new text, already checked; copied
 * @token: random; a retry repeats it
 *
 * Return: the change, to be freed with config_ops_apply_free().
 */
config_apply_t *config_ops_apply(
    host_t *h, uint64_t base, const char *text, uint64_t token);
void config_ops_apply_free(config_apply_t *a);

/**
 * config_ops_apply_tick() - Continue a change.
 * @a: the change
 * @now: present time
 */
void config_ops_apply_tick(config_apply_t *a, msec_t now);

/* Answers a peer's FETCH_CONFIG call. */
void config_ops_serve_fetch(
    host_t *h, rpc_call_id_t call, const fetch_config_args_t *args);

#endif
