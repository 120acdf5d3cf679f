#ifndef COORDINATION_ROSTER_H
#define COORDINATION_ROSTER_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"

/*
 * The hosts that may write to the store, as this host knows them, and the
 * vouches between them. See "Unanimity in place of the store" in
 * docs/DESIGN.md and docs/LIMITS.md.
 *
 * An incarnation is a number from the store, raised by one in the transaction
 * that writes a joining host's row, so a later join has a larger one. Every
 * write that a vouch is about must be conditional on the writer's own roster
 * row.
 */

typedef uint16_t host_id_t;

/* No host. */
#define HOST_NONE UINT16_MAX

/* How long a vouch lasts: from the asker's send, and the answerer's receipt. */
#define VOUCH_MS 3000
/* Difference that two clocks may gather over VOUCH_MS, and rounding. */
#define VOUCH_DRIFT_MS 100
/* A host that was heard within this is live. */
#define LIVE_MS 2000
/* Silence after which a host missing from the host list is retired. */
#define SILENT_MS 10000
/* The same for one that the host list still names: outlasts a cut link. */
#define SILENT_LISTED_MS 900000

/* A time before all others. */
#define ROSTER_NEVER INT64_MIN

typedef enum {
	HOST_JOINING,
	HOST_LIVE,
	HOST_LEAVING, /* takes no new work; still vouches and is asked to */
	HOST_GONE,    /* this incarnation has left for ever */
} host_state_t;

/* What the store's row or a peer's own message says of a host. */
typedef struct {
	const char *name;
	uint64_t incarnation;
	host_state_t state;
	const char *rpc_address; /* "IP:PORT" */
	const char *region;
	const char *domain;
} roster_row_t;

/* What a peer says to an exchange that it was asked for. */
typedef struct {
	uint64_t incarnation; /* of the peer */
	host_state_t state;   /* of the peer */
	gboolean vouches;
	gboolean acknowledges; /* it has our incarnation in its roster */
	gboolean superseded;   /* our incarnation has left the roster */
} roster_reply_t;

typedef struct {
	char *name, *rpc_address, *region, *domain;
	uint64_t incarnation;
	uint64_t version; /* of the row last read from the store */
	host_state_t state;
	gboolean listed; /* named by the platform's host list */
	guint scan;	 /* the scan that last saw its row */
	msec_t heard_at;
	/* It about us. */
	msec_t replied_at; /* send time of the newest exchange it answered */
	msec_t vouched_at; /* send time of the newest vouch */
	gboolean acknowledged;
	/* We about it. */
	uint64_t sequence;  /* of its newest exchange */
	msec_t vouch_until; /* of this incarnation */
	msec_t prior_until; /* of earlier incarnations */
	gboolean retiring;  /* we no longer vouch for it */
	gboolean retire_sent;
} roster_host_t;

typedef struct {
	GArray *hosts; /* roster_host_t; handles are stable */
	host_id_t self;
	uint64_t synced; /* every row up to this incarnation was read */
	guint scan;
	msec_t acknowledged_at; /* by all; ROSTER_NEVER until then */
	gboolean superseded;
} roster_t;

/**
 * roster_init() - Start from one's own row, as the store has accepted it.
 * @r: memory of the caller
 * @self: own row; copied
 */
void roster_init(roster_t *r, const roster_row_t *self);
void roster_finish(roster_t *r);

/**
 * roster_find() - Look a host up by name.
 *
 * Return: its handle, or HOST_NONE.
 */
host_id_t roster_find(const roster_t *r, const char *name);
const roster_host_t *roster_host(const roster_t *r, host_id_t id);

/*
 * A scan of all roster rows: begin, each row, end. Rows that were read alone
 * are given to roster_row() outside of a scan.
 */
void roster_scan_begin(roster_t *r);

/**
 * roster_row() - Take in a row read from the store.
 * @r: the roster
 * @row: what it says
 * @version: of the row in the store; an older one than was seen is dropped
 * @now: present time
 */
void roster_row(
    roster_t *r, const roster_row_t *row, uint64_t version, msec_t now);

/**
 * roster_scan_end() - All rows were given.
 * @r: the roster
 * @synced: largest incarnation given out by the time the scan was answered,
 *	read in the same transaction or before it
 * @now: present time
 */
void roster_scan_end(roster_t *r, uint64_t synced, msec_t now);

/**
 * roster_gone() - A host has left: its row is gone or it said goodbye.
 * @r: the roster
 * @name: the host
 * @incarnation: which one; later ones are not touched
 * @now: present time
 *
 * A host says goodbye only when it holds nothing any more and none of its
 * writes is under way.
 */
void roster_gone(
    roster_t *r, const char *name, uint64_t incarnation, msec_t now);

/**
 * roster_listed() - Take in the platform's host list.
 * @r: the roster
 * @names: hosts it names as live
 * @n: their number
 */
void roster_listed(roster_t *r, const char *const *names, size_t n);

/**
 * roster_asked() - A peer asks for an exchange.
 * @r: the roster
 * @from: what it says of itself
 * @sequence: grows with each exchange of that incarnation
 * @may_vouch: false while a write of ours is under way that this incarnation
 *	has not been told of
 * @now: time of receipt
 * @reply: what to answer
 *
 * Return: the peer's handle, or HOST_NONE if it has left the roster.
 */
host_id_t roster_asked(roster_t *r, const roster_row_t *from, uint64_t sequence,
    gboolean may_vouch, msec_t now, roster_reply_t *reply);

/**
 * roster_replied() - A peer has answered an exchange of ours.
 * @r: the roster
 * @id: the peer
 * @reply: its answer
 * @sent_at: when our question was sent
 * @now: present time
 */
void roster_replied(roster_t *r, host_id_t id, const roster_reply_t *reply,
    msec_t sent_at, msec_t now);

/**
 * roster_tick() - Stop vouching for hosts that have long been silent.
 */
void roster_tick(roster_t *r, msec_t now);

/**
 * roster_may_retire() - May the store row of a host be deleted now?
 *
 * The delete is conditional on the row's incarnation and on our own row.
 */
gboolean roster_may_retire(const roster_t *r, host_id_t id, msec_t now);

/* The delete was sent; it surely did not take effect. */
void roster_retire_sent(roster_t *r, host_id_t id);
void roster_retire_failed(roster_t *r, host_id_t id);

/**
 * roster_live() - Has the host been heard lately and not left?
 */
gboolean roster_live(const roster_t *r, host_id_t id, msec_t now);

/**
 * roster_superseded() - Has our own incarnation left the roster?
 *
 * If so this process must serve nothing more and join anew.
 */
gboolean roster_superseded(const roster_t *r);

/**
 * roster_eligible() - May this host take leases, withdraw keys, retire hosts?
 */
gboolean roster_eligible(const roster_t *r, msec_t now);

/**
 * roster_vouched_since() - Since when has every roster host vouched for us?
 *
 * A host alone asks its own address: a later incarnation there would answer.
 *
 * Return: the earliest send time among the latest vouches of all roster
 * hosts but us, good until VOUCH_MS later; ROSTER_NEVER if one is missing.
 */
msec_t roster_vouched_since(const roster_t *r);

/**
 * roster_clear_at() - When do our vouches for a host run out?
 * @r: the roster
 * @id: the host
 * @told: its present incarnation has confirmed what we are about to write, so
 *	that only earlier ones count
 *
 * Holds from the moment on at which roster_asked() gets @may_vouch false.
 *
 * Return: earliest time at which it can't rely on us any more.
 */
msec_t roster_clear_at(const roster_t *r, host_id_t id, gboolean told);

#endif
