#include <string.h>

#include "coordination/fanout.h"

/* Fraction of the link that changes of tables may take. */
#define LINK_SHARE 0.25
/* Bytes that accrue in this time may be sent at once. */
#define BURST_SEC 1.0
/* An update without changes is passed on again after this time, which is
 * shorter than the interval of a reader: it tells the hosts of the domain that
 * their tables are up to date, else each of them asks the store. */
#define REPEAT_MS 600
#define BYTES_PER_MBIT 125000.0

void
fanout_init(fanout_t *f, double link_mbps, msec_t now)
{
	double rate = link_mbps * BYTES_PER_MBIT * LINK_SHARE;

	memset(f, 0, sizeof(*f));
	bucket_init(&f->bytes, limit_make(rate, rate * BURST_SEC), now);
}

gboolean
fanout_is_due(
    fanout_t *f, uint32_t table, uint64_t from, uint64_t to, msec_t now)
{
	fanout_passed_t *p;
	gboolean known;

	if (table >= FANOUT_TABLES_MAX || to == 0)
		return FALSE;
	p = &f->passed[table];
	if (to < p->from)
		return FALSE;
	known = to <= p->to && from >= p->from;
	if (known && (to < p->to || now - p->at < REPEAT_MS))
		return FALSE;
	if (from > p->to) {
		*p = (fanout_passed_t){from, to, now};
		return TRUE;
	}
	p->from = MIN(p->from, from);
	p->to = MAX(p->to, to);
	p->at = now;
	return TRUE;
}

static gboolean
take(fanout_t *f, size_t bytes, guint receivers)
{
	return bucket_take(&f->bytes, (utoken_t)bytes * receivers * UTOKEN);
}

fanout_verdict_t
fanout_choose(fanout_t *f, size_t rows_bytes, size_t notice_bytes,
    guint receivers, msec_t now)
{
	bucket_refill(&f->bytes, 0, now);
	if (take(f, rows_bytes, receivers))
		return FANOUT_ROWS;
	return take(f, notice_bytes, receivers) ? FANOUT_NOTICE
						: FANOUT_NOTHING;
}
