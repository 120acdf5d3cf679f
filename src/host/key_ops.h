#ifndef HOST_KEY_OPS_H
#define HOST_KEY_OPS_H

#include "coordination/issue.h"
#include "host/host.h"
#include "host/peers.h"

/* Keys: their exchange between hosts, their issue and withdrawal. */

/* One issue of a key. It is kept for a while after its end, so that its outcome
 * can still be queried. */
typedef struct {
	host_t *host;
	issue_t issue;
	char *workspace;
	guint pending_answers; /* store answers outstanding */
	gboolean forgotten; /* no longer wanted; freed with the last answer */
} key_issue_t;

/**
 * key_ops_on_heartbeat() - Take in a peer's answer to an exchange.
 * @h: the host, whose roster is already updated with the answer
 * @peer: the peer, with the send time of this host's exchange
 * @beat: its heartbeat
 *
 * Fetches the rows that the peer has and this host does not.
 */
void key_ops_on_heartbeat(host_t *h, peer_t *peer, const rpc_heartbeat_t *beat);

/**
 * key_ops_tick() - Continue the withdrawals under way.
 * @h: the host
 * @now: present time
 */
void key_ops_tick(host_t *h, msec_t now);

/**
 * key_ops_withdraw() - Start an operator's withdrawal of a key.
 * @h: the host, eligible to write
 * @digest: digest of the key
 *
 * Return: id of the withdrawal.
 */
uint32_t key_ops_withdraw(host_t *h, const digest_t *digest);

/**
 * key_ops_issue() - Start an operator's issue of a key.
 * @h: the host
 * @digest: digest of the key
 * @workspace: the workspace that it is for
 * @token: random; a retry repeats it
 *
 * Return: the issue, to be freed with key_ops_issue_free().
 */
key_issue_t *key_ops_issue(
    host_t *h, const digest_t *digest, const char *workspace, uint64_t token);
void key_ops_issue_free(key_issue_t *k);

/**
 * key_ops_issue_tick() - Continue an issue.
 * @k: the issue
 * @now: present time
 */
void key_ops_issue_tick(key_issue_t *k, msec_t now);

/* Answer the WITHDRAW and FETCH_KEYS calls of peers. */
void key_ops_serve_withdraw(
    host_t *h, rpc_call_id_t call, const withdraw_args_t *args);
void key_ops_serve_fetch(
    host_t *h, rpc_call_id_t call, const fetch_keys_args_t *args);

#endif
