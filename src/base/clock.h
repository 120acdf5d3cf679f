#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

/* Milliseconds of a monotonic clock that also advances during suspend. */
typedef int64_t msec_t;

#define MSEC_PER_SEC 1000

/**
 * clock_now() - Read the monotonic clock.
 *
 * Callers that check a lease or grant read the clock at that moment. They don't
 * use the time at which the event loop last woke up, since the process may have
 * been paused in between.
 *
 * Return: milliseconds since boot.
 */
msec_t clock_now(void);

/**
 * clock_wall() - Read the time of day.
 *
 * For logs, audit and the windows of usage reports. No lease depends on it.
 *
 * Return: milliseconds since the Unix epoch.
 */
int64_t clock_wall(void);

#endif
