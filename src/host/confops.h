#ifndef HOST_CONFOPS_H
#define HOST_CONFOPS_H

#include "coordination/apply.h"
#include "host/host.h"
#include "host/peers.h"

/* The operators' text: its spread between hosts, and changes of it. */

/* One change under way; kept for a while after its end. */
typedef struct {
	host_t *host;
	apply_t apply;
	char *text;
	guint waiting;	    /* answers that will come */
	gboolean forgotten; /* to be freed with the last of them */
} conf_apply_t;

/**
 * confops_scanned() - The mirror may hold a newer head row.
 * @h: the host
 */
void confops_scanned(host_t *h);

/**
 * confops_heard() - A peer has told what it has in force.
 * @h: the host
 * @id: the peer
 * @beat: what it said
 * @now: present time
 */
void confops_heard(
    host_t *h, host_id_t id, const rpc_heartbeat_t *beat, msec_t now);

/**
 * confops_tick() - Fetch what is wanted.
 * @h: the host
 * @now: present time
 */
void confops_tick(host_t *h, msec_t now);

/**
 * confops_apply() - Take an operator's change.
 * @h: the host
 * @base: version that was changed
 * @text: the new text, already checked; copied
 * @token: random; repeated by a retry
 *
 * Return: the change, to be freed with confops_apply_free().
 */
conf_apply_t *confops_apply(
    host_t *h, uint64_t base, const char *text, uint64_t token);
void confops_apply_free(conf_apply_t *a);

/**
 * confops_apply_tick() - Go on with a change.
 * @a: the change
 * @now: present time
 */
void confops_apply_tick(conf_apply_t *a, msec_t now);

/* Answers FETCH_CONFIG of a peer. */
void confops_serve_fetch(
    host_t *h, rpc_call_id_t call, const fetch_config_args_t *args);

#endif
