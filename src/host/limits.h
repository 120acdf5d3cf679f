#ifndef HOST_LIMITS_H
#define HOST_LIMITS_H

#include "coordination/borrower.h"
#include "coordination/lender.h"
#include "host/duty.h"
#include "host/host.h"

/* Rate and burst of the workspaces: this host's shares, and its lending. */

/* One workspace's limit as this host takes part in it. */
typedef struct limit_share {
	host_t *host;
	char *workspace;
	duty_t *duty; /* to lend for it */
	borrower_t borrower;
	lender_t lender;
	uint64_t lending; /* epoch under which we lend; 0: we don't */
	uint64_t settled; /* configuration known to be in force everywhere */
	msec_t agreed_at; /* all roster hosts told of it; 0: not yet */
	GQueue *waiting;  /* carry_t, in order of arrival */
	msec_t pump_at;	  /* when the first of them is worth a try */
	gboolean present; /* in the configuration in force */
} limit_share_t;

void limits_init(host_t *h);
void limits_finish(host_t *h);

/**
 * limits_configure() - A configuration has come into force, or a slot.
 * @h: the host
 */
void limits_configure(host_t *h);

/**
 * limits_tick() - Borrow, lend, hold leases.
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
 * @c: the carry
 * @retry_ms: set for ADMIT_REFUSE
 *
 * Return: ADMIT; ADMIT_REFUSE; ADMIT_STALE; or ADMIT_WAIT, after which
 * carry_admitted() or carry_over_rate() is called, or limits_forget() is due.
 */
admit_kind_t limits_admit(carry_t *c, msec_t *retry_ms);

/**
 * limits_forget() - A waiting request is not to be admitted any more.
 * @c: the carry
 */
void limits_forget(carry_t *c);

/**
 * limits_withholds() - Must a host get no vouch, for the sake of a lease?
 * @h: the host
 * @name: the other host
 */
gboolean limits_withholds(const host_t *h, const char *name);

/**
 * limits_ask() - Send a question to the workspace's lender, if one is known.
 * @s: the share; the answer comes to limits_take_answer()
 * @q: the question
 * @now: present time
 */
void limits_ask(limit_share_t *s, const borrow_request_t *q, msec_t now);

/**
 * limits_take_answer() - Take tokens in, and let waiting requests go.
 * @s: the share
 * @answer: of the lender
 */
void limits_take_answer(limit_share_t *s, const borrow_answer_t *answer);

/* Answers BORROW of a peer. */
void limits_serve_borrow(host_t *h, rpc_call_id_t call, const char *caller,
    const borrow_args_t *args);

#endif
