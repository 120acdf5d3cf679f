#ifndef HOST_DUTY_H
#define HOST_DUTY_H

#include "coordination/lease.h"
#include "host/host.h"

/*
 * Duties: tasks that one host of the fleet performs at a time, each under a
 * lease. lease_t decides on the operations; this module performs them on the
 * lease's rows in the store.
 */

typedef struct {
	host_t *host;
	char *name; /* "moves", "lend/WORKSPACE" */
	lease_t lease;
	lease_action_t action; /* under way */
	gboolean reading; /* awaits a scan that is sent at read_at or later */
	msec_t read_at;
	msec_t not_held_since; /* 0: this host holds the duty */
	gboolean wanted;       /* this host is willing to perform it */
	guint pending_answers; /* answers of the store that are due */
	gboolean forgotten; /* no longer wanted; freed with the last answer */
} duty_t;

/**
 * duty_new() - Start to compete for a duty.
 * @h: the host, in the roster
 * @name: of the duty
 */
duty_t *duty_new(host_t *h, const char *name);
void duty_free(duty_t *d);

/**
 * duty_tick() - Perform the operation that the lease decides on.
 * @d: the duty
 * @now: present time
 */
void duty_tick(duty_t *d, msec_t now);

/**
 * duty_scanned() - The mirror has taken in a scan.
 * @d: the duty
 * @sent_at: when the scan was sent
 */
void duty_scanned(duty_t *d, msec_t sent_at);

/**
 * duty_held() - Whether this host may perform the duty at this moment.
 * @d: the duty
 * @now: read from the clock at the moment of use
 */
gboolean duty_held(const duty_t *d, msec_t now);

/**
 * duty_holder() - The host that holds a duty, as the mirror shows it.
 * @h: the host
 * @name: of the duty
 * @epoch: set to the epoch of the lease; 0 if it was never held
 *
 * Return: the holder's name, to be freed with g_free(), or NULL.
 */
char *duty_holder(const host_t *h, const char *name, uint64_t *epoch);

#endif
