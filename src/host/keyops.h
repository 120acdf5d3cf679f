#ifndef HOST_KEYOPS_H
#define HOST_KEYOPS_H

#include "coordination/issue.h"
#include "host/host.h"
#include "host/peers.h"

/* Keys: their spread between hosts, issue and withdrawal. */

/* One issue under way; kept for a while after its end. */
typedef struct {
	host_t *host;
	issue_t issue;
	char *workspace;
	guint waiting;	    /* answers of the store that will come */
	gboolean forgotten; /* to be freed with the last of them */
} key_issue_t;

/**
 * keyops_heard() - A peer has answered our exchange.
 * @h: the host, whose roster has taken in the answer
 * @peer: the peer, with the send time of the question
 * @beat: what it said
 *
 * Rows that it has beyond ours are fetched from it.
 */
void keyops_heard(host_t *h, peer_t *peer, const rpc_heartbeat_t *beat);

/**
 * keyops_tick() - Go on with what is under way.
 * @h: the host
 * @now: present time
 */
void keyops_tick(host_t *h, msec_t now);

/**
 * keyops_withdraw() - Take an operator's withdrawal.
 * @h: the host, eligible to write
 * @digest: digest of the key
 *
 * Return: its id among the withdrawals.
 */
uint32_t keyops_withdraw(host_t *h, const digest_t *digest);

/**
 * keyops_issue() - Take an operator's issue.
 * @h: the host
 * @digest: digest of the key
 * @workspace: for which it is
 * @token: random; repeated by a retry
 *
 * Return: the issue, to be freed with keyops_issue_free().
 */
key_issue_t *keyops_issue(
    host_t *h, const digest_t *digest, const char *workspace, uint64_t token);
void keyops_issue_free(key_issue_t *k);

/**
 * keyops_issue_tick() - Go on with an issue.
 * @k: the issue
 * @now: present time
 */
void keyops_issue_tick(key_issue_t *k, msec_t now);

/* Answers to WITHDRAW and FETCH_KEYS of peers. */
void keyops_serve_withdraw(
    host_t *h, rpc_call_id_t call, const withdraw_args_t *args);
void keyops_serve_fetch(
    host_t *h, rpc_call_id_t call, const fetch_keys_args_t *args);

#endif
