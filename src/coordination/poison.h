#ifndef COORDINATION_POISON_H
#define COORDINATION_POISON_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"

/*
 * Finds poison requests: requests that crash every backend server that runs
 * them.
 *
 * When an endpoint dies, every request in flight on it becomes a suspect,
 * except those whose fingerprint was answered recently. A suspect runs at most
 * once at a time in the fleet and alone on its endpoint, as far as the hosts'
 * events have reached each other. A suspect that is the only one common to two
 * deaths is refused for a while and then tried once. Any answer clears it.
 *
 * Where endpoints are shared with traffic that this fleet can't hold back,
 * suspects are only counted: they run like other requests until they have been
 * in flight at the death of POISON_DEATHS_ONLY_COMMON endpoints.
 */

#define POISON_DIGEST_SIZE 32

#define POISON_CLAIM_WAIT_MS 200 /* for peers to receive a claim and object */
#define POISON_SETTLE_MS 500	 /* for peers to report the same death */
/* Deaths of an endpoint that are closer together than this count as one, except
 * for a run that began between them. */
#define POISON_SAME_DEATH_MS 3000
#define POISON_SUSPECT_TTL_MS 600000
#define POISON_REFUSE_MS 60000 /* first refusal; doubled by each trial */
#define POISON_REFUSE_MAX_MS 960000
#define POISON_CLAIM_MS 30000	   /* life of a claim that is not renewed */
#define POISON_ANSWER_TTL_MS 60000 /* an answer exempts from suspicion */
#define POISON_DETECT_MS 2000 /* for an endpoint to be found dead or alive */
/* The same under POISON_COUNTED, where the endpoint's registry entry has to
 * lapse first: three report intervals and one read of the store. */
#define POISON_DETECT_COUNTED_MS 6000
/* Number of deaths that proves a suspect if no other suspect is common to all
 * of them, and number that proves any suspect: a bystander is answered before
 * it has seen that many. */
#define POISON_DEATHS_ONLY_COMMON 3
#define POISON_DEATHS_CERTAIN 5

typedef enum {
	POISON_ISOLATED, /* suspects run alone on an endpoint */
	POISON_COUNTED,	 /* suspects run among others */
} poison_policy_t;

/* Digest of workspace, destination, method, target and the body's digest. */
typedef struct {
	uint8_t bytes[POISON_DIGEST_SIZE];
} fingerprint_t;

typedef enum {
	POISON_RUN,
	POISON_RUN_ALONE, /* on an endpoint without other requests */
	POISON_HOLD,	  /* the same runs or is judged: check later */
	POISON_REFUSE,
} poison_verdict_kind_t;

typedef struct {
	poison_verdict_kind_t kind;
	msec_t wait_ms; /* for hold and refuse */
} poison_verdict_t;

typedef enum {
	POISON_ANSWERED,  /* a complete answer from the endpoint's program */
	POISON_NOT_RUN,	  /* connection refused, or rejected under overload */
	POISON_BROKEN,	  /* connection ended before a complete answer */
	POISON_ABANDONED, /* abandoned; the endpoint may still run it */
} poison_end_t;

/* Events sent to peers, and the probe, which this host carries out itself. */
typedef enum {
	POISON_EVENT_DEATH, /* the endpoint died with the request in flight */
	POISON_EVENT_DEATH_MIXED, /* it died with other requests in flight as
				     well */
	POISON_EVENT_CLEARED,	  /* the request was answered */
	POISON_EVENT_CLAIM,	/* a suspect is about to run on the endpoint */
	POISON_EVENT_RELEASE,	/* the suspect has ended */
	POISON_EVENT_OBJECTION, /* objection to a claim */
	POISON_EVENT_REFUSED,	/* refuse the request for @left_ms */
	POISON_EVENT_PROBE,	/* not sent: connect to the endpoint at once */
} poison_event_kind_t;

typedef struct {
	poison_event_kind_t kind;
	fingerprint_t fingerprint;
	const char *endpoint; /* interned; NULL if the kind has none */
	msec_t age_ms;	      /* since it happened */
	msec_t run_age_ms;    /* for both kinds of death: since it was sent */
	msec_t left_ms;
} poison_event_t;

typedef struct {
	fingerprint_t fingerprint;
	msec_t began;
} poison_suspect_t;

typedef struct {
	const char *endpoint;
	msec_t at;
	gboolean mixed;	  /* other requests, cleared or not, were in flight */
	GArray *suspects; /* poison_suspect_t */
} poison_death_t;

typedef struct {
	gboolean used;
	fingerprint_t fingerprint;
	const char *endpoint;
	msec_t began;
	gboolean claimed;  /* as a suspect; the claim was sent to peers */
	gboolean pending;  /* claimed and not yet sent */
	msec_t claimed_at; /* when the claim was last sent */
	gboolean yield;	   /* the pending claim must be given up */
	gboolean ended;	   /* broken or abandoned; kept until judged */
	gboolean broken;
	msec_t ended_at;
} poison_run_t;

/* What is known of a fingerprint that is or was a suspect. */
typedef struct {
	gboolean cleared;
	msec_t cleared_at;
	gboolean refused;
	msec_t refused_until;
	msec_t refuse_ms;
} poison_record_t;

/* A suspect that runs, or is about to, on another host. */
typedef struct {
	fingerprint_t fingerprint;
	uint64_t peer;
	const char *endpoint;
	msec_t until;
} poison_claim_t;

#define POISON_ANSWERED_ROWS 1024

typedef struct {
	gboolean used;
	fingerprint_t fingerprint;
	msec_t at;
} poison_answered_t;

typedef struct {
	uint64_t self; /* this host's id among the peers; not 0 */
	poison_policy_t policy;
	GArray *runs;	     /* poison_run_t, by handle */
	GArray *deaths;	     /* poison_death_t */
	GArray *claims;	     /* poison_claim_t */
	GHashTable *records; /* fingerprint_t to poison_record_t */
	GArray *events;	     /* poison_event_t, to be sent or carried out */
	msec_t swept_at;
	poison_answered_t answered[POISON_ANSWERED_ROWS];
} poison_t;

typedef uint32_t poison_run_id_t;

/**
 * poison_init() - Initialise with the policy POISON_ISOLATED.
 * @p: the state
 * @self: this host, as peers identify it in poison_receive(); not 0
 */
void poison_init(poison_t *p, uint64_t self);
void poison_finish(poison_t *p);

/**
 * poison_init_counted() - Initialise with the policy POISON_COUNTED.
 * @p: the state
 * @self: as for poison_init()
 *
 * Then poison_check() never returns POISON_HOLD or POISON_RUN_ALONE, and
 * poison_confirm() need not be called.
 */
void poison_init_counted(poison_t *p, uint64_t self);

/**
 * poison_fingerprint() - Compute the fingerprint of a request.
 * @workspace: of the caller, or NULL
 * @destination: name of what callers ask for: a service, or a route that may
 *	lead to several services
 * @method: of the request
 * @target: path and query
 * @body: hexadecimal digest of the body
 * @out: set
 */
void poison_fingerprint(const char *workspace, const char *destination,
    const char *method, const char *target, const char *body,
    fingerprint_t *out);

/**
 * poison_check() - Judge a request before it is sent.
 * @p: the state
 * @f: its fingerprint
 * @now: time
 */
poison_verdict_t poison_check(poison_t *p, const fingerprint_t *f, msec_t now);

/**
 * poison_begin() - Record a request as sent, or claim the endpoint for it.
 * @p: the state
 * @f: its fingerprint, just checked
 * @endpoint: name of the endpoint
 * @now: time
 *
 * After POISON_RUN_ALONE the request must not be sent before
 * POISON_CLAIM_WAIT_MS have passed and poison_confirm() has returned TRUE.
 *
 * Return: handle for poison_confirm() and poison_end().
 */
poison_run_id_t poison_begin(
    poison_t *p, const fingerprint_t *f, const char *endpoint, msec_t now);

/**
 * poison_confirm() - Check whether a claim is still valid.
 * @p: the state
 * @run: from poison_begin(); no longer valid if the result is FALSE
 * @now: time
 *
 * Return: TRUE: send the request now; FALSE: call poison_check() again.
 */
gboolean poison_confirm(poison_t *p, poison_run_id_t run, msec_t now);

/**
 * poison_end() - Record the end of a request.
 * @p: the state
 * @run: from poison_begin(); no longer valid
 * @end: how
 * @now: time
 */
void poison_end(poison_t *p, poison_run_id_t run, poison_end_t end, msec_t now);

/**
 * poison_tick() - Renew claims and drop expired state.
 * @p: the state
 * @now: time
 *
 * Called about once a second.
 */
void poison_tick(poison_t *p, msec_t now);

/**
 * poison_endpoint_seen() - Record whether an endpoint accepts connections.
 * @p: the state
 * @endpoint: its name
 * @alive: FALSE if a connection was refused or a restart was seen
 * @now: time
 *
 * If a dead endpoint has broken requests, a death is recorded and they all
 * become suspects, except those answered recently.
 */
void poison_endpoint_seen(
    poison_t *p, const char *endpoint, gboolean alive, msec_t now);

/**
 * poison_endpoint_answered() - Record that an endpoint answered a request.
 * @p: the state
 * @endpoint: its name
 * @sent_at: when that request was sent
 *
 * Requests that broke before @sent_at did not end the endpoint.
 */
void poison_endpoint_answered(
    poison_t *p, const char *endpoint, msec_t sent_at);

/**
 * poison_endpoint_reserved() - Whether a suspect has an endpoint to itself.
 * @p: the state
 * @endpoint: its name
 * @now: time
 *
 * Return: TRUE while no other request may be sent there.
 */
gboolean poison_endpoint_reserved(
    const poison_t *p, const char *endpoint, msec_t now);

/**
 * poison_endpoint_busy() - Whether this host has requests on an endpoint.
 * @p: the state
 * @endpoint: its name
 */
gboolean poison_endpoint_busy(const poison_t *p, const char *endpoint);

/**
 * poison_next_event() - Take the next event from the queue.
 * @p: the state
 * @event: set to the event
 *
 * Return: FALSE if the queue is empty.
 */
gboolean poison_next_event(poison_t *p, poison_event_t *event);

/**
 * poison_receive() - Process a peer's event.
 * @p: the state
 * @peer: the sender; not 0
 * @event: the event; its endpoint is copied
 * @now: time
 */
void poison_receive(
    poison_t *p, uint64_t peer, const poison_event_t *event, msec_t now);

/**
 * poison_resend_refusal() - Queue the event of a refusal once more.
 * @p: the state
 * @f: its fingerprint
 * @now: time
 *
 * For a peer that lets the request run because it has restarted since the
 * refusal.
 */
void poison_resend_refusal(poison_t *p, const fingerprint_t *f, msec_t now);

/** poison_resend_refusals() - The same for all refused fingerprints. */
void poison_resend_refusals(poison_t *p, msec_t now);

/**
 * poison_peer_gone() - Drop the claims of a host that died.
 * @p: the state
 * @peer: the host
 */
void poison_peer_gone(poison_t *p, uint64_t peer);

#endif
