#ifndef COORDINATION_POISON_DEATH_H
#define COORDINATION_POISON_DEATH_H

#include "coordination/poison.h"

/*
 * Deaths of endpoints with the requests that were in flight on them, and the
 * judgement of suspects by these deaths.
 */

gboolean fingerprint_equal(const fingerprint_t *a, const fingerprint_t *b);

/**
 * poison_death_add() - Add a suspect to a death.
 * @p: the state
 * @endpoint: interned name
 * @s: the suspect
 * @at: when the endpoint died
 *
 * Return: FALSE if the suspect was recorded already.
 */
gboolean poison_death_add(
    poison_t *p, const char *endpoint, const poison_suspect_t *s, msec_t at);

/**
 * poison_death_mixed() - Record that other requests were in flight as well.
 * @p: the state
 * @endpoint: interned name
 * @began: when the other request was sent
 * @at: when the endpoint died
 */
void poison_death_mixed(
    poison_t *p, const char *endpoint, msec_t began, msec_t at);

/**
 * poison_death_count() - Count the deaths that a fingerprint is suspected of.
 * @p: the state
 * @f: the fingerprint
 * @last: set to the time of the last one
 */
unsigned int poison_death_count(
    const poison_t *p, const fingerprint_t *f, msec_t *last);

/**
 * poison_death_proved() - Whether two deaths prove a fingerprint guilty.
 * @p: the state
 * @f: the fingerprint
 */
gboolean poison_death_proved(const poison_t *p, const fingerprint_t *f);

/**
 * poison_death_counted() - Whether enough deaths prove a fingerprint guilty.
 * @p: the state
 * @f: the fingerprint
 *
 * POISON_DEATHS_ONLY_COMMON deaths are enough if no other suspect is common to
 * all of them; POISON_DEATHS_CERTAIN are enough in any case.
 */
gboolean poison_death_counted(const poison_t *p, const fingerprint_t *f);

/**
 * poison_death_clear() - Remove a fingerprint from the deaths up to a time.
 * @p: the state
 * @f: the fingerprint
 * @at: when it was answered
 */
void poison_death_clear(poison_t *p, const fingerprint_t *f, msec_t at);

/**
 * poison_death_expire() - Drop deaths older than POISON_SUSPECT_TTL_MS.
 * @p: the state
 * @now: time
 */
void poison_death_expire(poison_t *p, msec_t now);

#endif
