#ifndef FLEET_ALONE_H
#define FLEET_ALONE_H

#include "coordination/fleet.h"
#include "state/registry.h"

/* Delivers a host's status to another as the summary of a domain that has only
 * this host. The domain bears the host's name. */
static inline fleet_domain_t *
deliver_alone(
    fleet_t *to, const char *from, const fleet_status_t *status, msec_t now)
{
	const fleet_ack_t ack = {0, 0};
	const fleet_listed_t listed = {fleet_short_name(registry_hash(from)),
	    fleet_short_incarnation(status->incarnation), status->ready,
	    status->leaving, status->reaches_store};
	fleet_summary_t s;
	fleet_domain_t *d;

	fleet_summary_init(&s);
	fleet_status_copy(&s.sums, status);
	fleet_amounts_sort(s.sums.demands);
	fleet_amounts_sort(s.sums.loads);
	s.domain = registry_hash(from);
	s.has_list = TRUE;
	g_array_append_val(s.list, listed);
	d = fleet_receive(to, &s, &ack, now);
	fleet_summary_finish(&s);
	return d;
}

#endif
