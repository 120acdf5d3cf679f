#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

/* Milliseconds of a monotonic clock that goes on while suspended. */
typedef int64_t msec_t;

#define MSEC_PER_SEC 1000

/**
 * clock_now() - Read the clock.
 *
 * Read at the moment of use: a lease or grant is never judged by the time at
 * which the loop last woke up, since the process may have been paused.
 *
 * Return: milliseconds since boot.
 */
msec_t clock_now(void);

/**
 * clock_wall() - Read the time of day.
 *
 * For logs and audit only; no decision rests on it.
 *
 * Return: milliseconds since the Unix epoch.
 */
int64_t clock_wall(void);

#endif
