#include <string.h>

#include "base/log.h"
#include "gateway/control_bytes.h"

#define BITS_PER_BYTE 8
#define BITS_PER_MBIT 1e6
/* A second is logged if the bytes take more than this fraction of the link. */
#define LOGGED_SHARE 0.25

void
control_bytes_init(control_bytes_t *c, double link_mbps, metrics_t *m)
{
	memset(c, 0, sizeof(*c));
	c->link_mbps = link_mbps;
	c->metrics = m;
	c->domain = metrics_add(m, METRIC_COUNTER, "control_bytes_domain_total",
	    "bytes sent within the domain");
	c->region = metrics_add(m, METRIC_COUNTER, "control_bytes_region_total",
	    "bytes sent to other domains of the region");
	c->fleet = metrics_add(m, METRIC_COUNTER, "control_bytes_fleet_total",
	    "bytes sent to other regions");
	c->table = metrics_add(m, METRIC_COUNTER, "control_bytes_table_total",
	    "bytes of these that are changes of the store's tables");
}

void
control_bytes_sent(control_bytes_t *c, const fleet_t *self,
    const fleet_host_t *to, size_t len, gboolean is_table)
{
	metric_id_t hop = c->fleet;

	if (to->domain_seed == self->domain)
		hop = c->domain;
	else if (strcmp(to->region, self->region) == 0)
		hop = c->region;
	metrics_count(c->metrics, hop, (int64_t)len);
	if (is_table) {
		metrics_count(c->metrics, c->table, (int64_t)len);
		c->table_bytes += len;
	}
	c->bytes += len;
	c->datagrams++;
}

void
control_bytes_tick(control_bytes_t *c, msec_t now)
{
	double allowed;

	if (now - c->since < MSEC_PER_SEC)
		return;
	allowed = c->link_mbps * BITS_PER_MBIT / BITS_PER_BYTE * LOGGED_SHARE *
	    (double)(now - c->since) / MSEC_PER_SEC;
	if (c->since != 0 && (double)c->bytes > allowed)
		log_event(LOG_WARN, "control.heavy", "bytes",
		    log_num((long long)c->bytes), "table_bytes",
		    log_num((long long)c->table_bytes), "datagrams",
		    log_num((long long)c->datagrams), "during_ms",
		    log_num(now - c->since), "link_mbps",
		    log_num((long long)c->link_mbps), NULL);
	c->since = now;
	c->bytes = c->table_bytes = c->datagrams = 0;
}
