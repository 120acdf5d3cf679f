#ifndef HOST_LIMITS_H
#define HOST_LIMITS_H

#include "coordination/borrower.h"
#include "coordination/lender.h"
#include "host/duty.h"
#include "host/host.h"

/* Rate and burst of the workspaces: this host's shares and its lending. */

/* This host's part in the limit of one workspace. */
typedef struct limit_share {
	host_t *host;
	char *workspace;
	duty_t *duty; /* lending the workspace's tokens */
	borrower_t borrower;
	lender_t lender;
	uint64_t lending; /* epoch under which this host lends; 0: none */
	uint64_t settled; /* configuration version in force on all hosts */
	msec_t agreed_at; /* all roster hosts reported it; 0: not yet */
	GQueue *waiting;  /* proxy_request_t, in order of arrival */
	msec_t retry_at;  /* when to try the first of them again */
	gboolean present; /* in the configuration in force */
} limit_share_t;

void limits_init(host_t *h);
void limits_finish(host_t *h);

/**
 * limits_configure() - Apply a new configuration or a new slot.
 * @h: the host
 */
void limits_configure(host_t *h);

/**
 * limits_tick() - Run borrowing, lending and their leases.
 * @h: the host
 * @now: present time
 */
void limits_tick(host_t *h, msec_t now);

/**
 * limits_scanned() - The mirror has taken in a scan.
 * @h: the host
 * @sent_at: when the scan was sent
 */
void limits_scanned(host_t *h, msec_t sent_at);

/**
 * limits_admit() - Decide on a request of a workspace.
 * @pr: the request
 * @retry_ms: set for ADMIT_REFUSE
 *
 * Return: ADMIT; ADMIT_REFUSE; ADMIT_STALE; or ADMIT_WAIT. After ADMIT_WAIT
 * proxy_admitted() or proxy_refuse() is called later, unless the caller calls
 * limits_forget() before.
 */
admit_kind_t limits_admit(proxy_request_t *pr, msec_t *retry_ms);

/**
 * limits_forget() - Remove a request from those that wait for tokens.
 * @pr: the request; nothing happens if it does not wait
 */
void limits_forget(proxy_request_t *pr);

/**
 * limits_withholds() - Whether a lease forbids a promise to a host.
 * @h: the host
 * @name: the other host
 */
gboolean limits_withholds(const host_t *h, const char *name);

/**
 * limits_request_tokens() - Send a request to the workspace's lender, if known.
 * @s: the share; the answer comes to limits_take_answer()
 * @q: the request
 * @now: present time
 */
void limits_request_tokens(
    limit_share_t *s, const borrow_request_t *q, msec_t now);

/**
 * limits_take_answer() - Take in tokens, and admit waiting requests.
 * @s: the share
 * @answer: of the lender
 */
void limits_take_answer(limit_share_t *s, const borrow_answer_t *answer);

/* Answers a peer's BORROW call. */
void limits_serve_borrow(host_t *h, rpc_call_id_t call, const char *caller,
    const borrow_args_t *args);

#endif
