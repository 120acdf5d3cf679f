#ifndef COORDINATION_POISON_RECORD_H
#define COORDINATION_POISON_RECORD_H

#include "coordination/poison.h"

/*
 * Records of suspects, recent answers, claims of peers, and the queue of
 * events.
 */

guint fingerprint_hash(gconstpointer f);

poison_record_t *poison_record_find(const poison_t *p, const fingerprint_t *f);

/**
 * poison_record_ensure() - Find a record, or add an empty one.
 * @p: the state
 * @f: the fingerprint
 */
poison_record_t *poison_record_ensure(poison_t *p, const fingerprint_t *f);

/**
 * poison_record_clear() - Clear a fingerprint of all suspicion.
 * @p: the state
 * @f: the fingerprint
 * @at: when it was answered; later deaths still count
 */
void poison_record_clear(poison_t *p, const fingerprint_t *f, msec_t at);

void poison_record_answered(poison_t *p, const fingerprint_t *f, msec_t now);

/**
 * poison_record_consume_answer() - Consume a recent answer.
 * @p: the state
 * @f: the fingerprint
 * @now: time
 *
 * An answer exempts from suspicion in one crash only, because a request may
 * begin to crash endpoints that used to answer it.
 *
 * Return: whether this host got an answer to the fingerprint within
 * POISON_ANSWER_TTL_MS.
 */
gboolean poison_record_consume_answer(
    poison_t *p, const fingerprint_t *f, msec_t now);

/**
 * poison_record_yield() - Give up the pending claims for a fingerprint.
 * @p: the state
 * @f: the fingerprint
 */
void poison_record_yield(poison_t *p, const fingerprint_t *f);

void poison_claim_add(poison_t *p, const fingerprint_t *f, uint64_t peer,
    const char *endpoint, msec_t now);

/**
 * poison_claim_drop() - Drop claims of a peer.
 * @p: the state
 * @f: for this fingerprint; NULL for any
 * @peer: the peer
 */
void poison_claim_drop(poison_t *p, const fingerprint_t *f, uint64_t peer);

void poison_claim_expire(poison_t *p, msec_t now);

/**
 * poison_claim_holds() - Whether a peer has such a claim.
 * @p: the state
 * @f: for this fingerprint; NULL for any
 * @endpoint: on this endpoint, interned; NULL for any
 * @now: time
 */
gboolean poison_claim_holds(const poison_t *p, const fingerprint_t *f,
    const char *endpoint, msec_t now);

/**
 * poison_queue_event() - Queue an event.
 * @p: the state
 * @kind: what has just happened
 * @f: the fingerprint
 * @endpoint: interned, or NULL
 */
void poison_queue_event(poison_t *p, poison_event_kind_t kind,
    const fingerprint_t *f, const char *endpoint);

#endif
