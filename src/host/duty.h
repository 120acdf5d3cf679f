#ifndef HOST_DUTY_H
#define HOST_DUTY_H

#include "coordination/lease.h"
#include "host/host.h"

/*
 * Duties that one host of the fleet does at a time, each under a lease whose
 * rows are kept here. The lease decides; this carries its operations out.
 */

typedef struct {
	host_t *host;
	char *name; /* "moves", "lend/WORKSPACE" */
	lease_t lease;
	lease_action_t action; /* under way */
	gboolean reading;      /* awaits a scan sent after read_at */
	msec_t read_at;
	msec_t free_since; /* nobody was seen to hold it; 0: somebody is */
	gboolean wanted;   /* this host would do it */
	guint waiting;	   /* answers of the store that will come */
	gboolean forgotten;
} duty_t;

/**
 * duty_new() - Start to compete for a duty.
 * @h: the host, in the roster
 * @name: of the duty
 */
duty_t *duty_new(host_t *h, const char *name);
void duty_free(duty_t *d);

/**
 * duty_tick() - Do what the lease wants.
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
 * duty_held() - May the duty be done at this moment?
 * @d: the duty
 * @now: read from the clock at the moment of use
 */
gboolean duty_held(const duty_t *d, msec_t now);

/**
 * duty_holder() - Who holds a duty, by the mirror.
 * @h: the host
 * @name: of the duty
 * @epoch: set to the epoch of the lease; 0 where it was never held
 *
 * Return: the holder's name, to be freed with g_free(), or NULL.
 */
char *duty_holder(const host_t *h, const char *name, uint64_t *epoch);

#endif
