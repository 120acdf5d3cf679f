#ifndef COORDINATION_ROSTER_H
#define COORDINATION_ROSTER_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"

/*
 * The hosts that may write to the store, as known to this host, and the
 * promises between them. While a promise is valid, the host that gave it
 * completes no write that the other host must know of, unless the other host
 * has confirmed it. See "Unanimity in place of the store" in docs/DESIGN.md and
 * docs/LIMITS.md.
 *
 * An incarnation is a number from the store. The transaction that writes a
 * joining host's row increments it, so a later join has a larger incarnation.
 * Every write that promises cover must be conditional on the writer's own
 * roster row.
 */

typedef uint16_t host_id_t;

/* No host. */
#define HOST_NONE UINT16_MAX

/*
 * Lifetime of a promise. The host that asked for it counts from the time at
 * which it sent its request, the host that gives it from the receipt.
 */
#define ROSTER_PROMISE_MS 3000
/* Allowance for clock drift between two hosts over ROSTER_PROMISE_MS and
 * rounding. */
#define ROSTER_PROMISE_DRIFT_MS 100
/* A host is live if it was heard from within this time. */
#define LIVE_MS 2000
/* Silence after which a host that is not on the host list is retired. */
#define SILENT_MS 10000
/* The same for a host on the host list. Must outlast a network partition. */
#define SILENT_LISTED_MS 900000

/* A time before all others. */
#define ROSTER_NEVER INT64_MIN

typedef enum {
	HOST_JOINING,
	HOST_LIVE,
	HOST_LEAVING, /* no new work; still gives and receives promises */
	HOST_GONE,    /* this incarnation has left for good */
} host_state_t;

/* A host, as described by its row in the store or by its own messages. */
typedef struct {
	const char *name;
	uint64_t incarnation;
	host_state_t state;
	const char *rpc_address; /* "IP:PORT" */
	const char *region;
	const char *domain;
} roster_row_t;

/* A peer's answer to an exchange. */
typedef struct {
	uint64_t incarnation;  /* of the peer */
	host_state_t state;    /* of the peer */
	gboolean promises;     /* it gives us a promise */
	gboolean acknowledges; /* it has our incarnation in its roster */
	gboolean superseded;   /* our incarnation has left the roster */
} roster_reply_t;

typedef struct {
	char *name, *rpc_address, *region, *domain;
	uint64_t incarnation;
	uint64_t version; /* of the row last read from the store */
	host_state_t state;
	gboolean listed; /* on the platform's host list */
	guint scan;	 /* the latest scan that had its row */
	msec_t heard_at;
	/* What the host has answered to us. */
	msec_t replied_at;  /* send time of the newest answered exchange */
	msec_t promised_at; /* send time of the newest one with a promise */
	gboolean acknowledged;
	/* What we have answered to the host. */
	uint64_t sequence;     /* of its newest exchange */
	msec_t promised_until; /* end of our promises to this incarnation */
	msec_t prior_until;    /* end of our promises to earlier incarnations */
	gboolean retiring;     /* we give it no more promises */
	gboolean retire_sent;
} roster_host_t;

typedef struct {
	GArray *hosts; /* roster_host_t; handles are stable */
	host_id_t self;
	uint64_t synced;	/* every row up to this incarnation was read */
	guint scan;		/* number of scans begun */
	msec_t acknowledged_at; /* by all hosts; ROSTER_NEVER until then */
	gboolean superseded;
} roster_t;

/**
 * roster_init() - Start with this host's row, which the store has accepted.
 * @r: memory of the caller
 * @self: this host's row; copied
 */
void roster_init(roster_t *r, const roster_row_t *self);
void roster_finish(roster_t *r);

/**
 * roster_find() - Find a host by name.
 *
 * Return: its handle, or HOST_NONE.
 */
host_id_t roster_find(const roster_t *r, const char *name);
const roster_host_t *roster_host(const roster_t *r, host_id_t id);

/*
 * A scan of all roster rows: begin, then roster_row() for each row, then end.
 * For a row that was read alone, roster_row() is called outside of a scan.
 */
void roster_scan_begin(roster_t *r);

/**
 * roster_row() - Apply a row read from the store.
 * @r: the roster
 * @row: the row
 * @version: of the row in the store; an outdated version is ignored
 * @now: present time
 */
void roster_row(
    roster_t *r, const roster_row_t *row, uint64_t version, msec_t now);

/**
 * roster_scan_end() - End a scan: hosts without a row have left the roster.
 * @r: the roster
 * @synced: largest incarnation assigned by the time the scan was answered, read
 *	in the same transaction or before it
 * @now: present time
 */
void roster_scan_end(roster_t *r, uint64_t synced, msec_t now);

/**
 * roster_gone() - Record that a host left, by its row or a departure notice.
 * @r: the roster
 * @name: the host
 * @incarnation: the one that left; later ones are not changed
 * @now: present time
 *
 * A host sends a departure notice only when it holds no leases any more and
 * none of its writes is under way.
 */
void roster_gone(
    roster_t *r, const char *name, uint64_t incarnation, msec_t now);

/**
 * roster_listed() - Apply the platform's host list.
 * @r: the roster
 * @names: hosts that the list names as live
 * @n: number of names
 */
void roster_listed(roster_t *r, const char *const *names, size_t n);

/**
 * roster_on_request() - Process a peer's request for an exchange.
 * @r: the roster
 * @from: the peer's description of itself
 * @sequence: increases with each exchange of that incarnation
 * @may_promise: false while a write of ours is under way that this incarnation
 *	has not confirmed
 * @now: time of receipt
 * @reply: set to the answer
 *
 * Return: the peer's handle, or HOST_NONE if it has left the roster.
 */
host_id_t roster_on_request(roster_t *r, const roster_row_t *from,
    uint64_t sequence, gboolean may_promise, msec_t now, roster_reply_t *reply);

/**
 * roster_on_reply() - Process a peer's answer to our exchange.
 * @r: the roster
 * @id: the peer
 * @reply: its answer
 * @sent_at: when our request was sent
 * @now: present time
 */
void roster_on_reply(roster_t *r, host_id_t id, const roster_reply_t *reply,
    msec_t sent_at, msec_t now);

/**
 * roster_tick() - Stop giving promises to hosts that have been silent too long.
 */
void roster_tick(roster_t *r, msec_t now);

/**
 * roster_may_retire() - Whether a host's row in the store may be deleted now.
 *
 * The delete must be conditional on the row's incarnation and on our own row.
 */
gboolean roster_may_retire(const roster_t *r, host_id_t id, msec_t now);

/* Record that the delete was sent, or that it certainly had no effect. */
void roster_retire_sent(roster_t *r, host_id_t id);
void roster_retire_failed(roster_t *r, host_id_t id);

/**
 * roster_live() - Whether a host was heard from recently and has not left.
 */
gboolean roster_live(const roster_t *r, host_id_t id, msec_t now);

/**
 * roster_superseded() - Whether our own incarnation has left the roster.
 *
 * If so, this process must stop serving and join again.
 */
gboolean roster_superseded(const roster_t *r);

/**
 * roster_eligible() - Whether we may take leases, withdraw keys, retire hosts.
 */
gboolean roster_eligible(const roster_t *r, msec_t now);

/**
 * roster_promised_since() - Since when we have a promise of every roster host.
 *
 * A host that is alone in the roster sends the exchange to its own address. If
 * a later incarnation runs there, that one answers.
 *
 * Return: the earliest send time among the latest promises of all other roster
 * hosts, valid for ROSTER_PROMISE_MS; ROSTER_NEVER if one is missing.
 */
msec_t roster_promised_since(const roster_t *r);

/**
 * roster_promises_end_at() - When our promises to a host expire.
 * @r: the roster
 * @id: the host
 * @confirmed: its present incarnation has confirmed what we are about to
 *	write, so that only promises to earlier incarnations count
 *
 * Valid from the time on at which roster_on_request() is called with
 *@may_promise false.
 *
 * Return: the earliest time at which the host can't rely on our promises.
 */
msec_t roster_promises_end_at(
    const roster_t *r, host_id_t id, gboolean confirmed);

#endif
