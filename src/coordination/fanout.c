#include <string.h>

#include "coordination/fanout.h"

/* Fraction of the link that changes of tables may take. */
#define LINK_SHARE 0.25
/* Bytes that accrue in this time may be sent at once. */
#define BURST_SEC 1.0
#define BYTES_PER_MBIT 125000.0

void
fanout_init(fanout_t *f, double link_mbps, msec_t now)
{
	double rate = link_mbps * BYTES_PER_MBIT * LINK_SHARE;

	memset(f, 0, sizeof(*f));
	bucket_init(&f->bytes, limit_make(rate, rate * BURST_SEC), now);
}

gboolean
fanout_advances(fanout_t *f, uint32_t table, uint64_t from, uint64_t to)
{
	fanout_passed_t *p;

	if (table >= FANOUT_TABLES_MAX || to == 0)
		return FALSE;
	p = &f->passed[table];
	if (to < p->from || (to <= p->to && from >= p->from))
		return FALSE;
	if (from > p->to) {
		*p = (fanout_passed_t){from, to};
		return TRUE;
	}
	p->from = MIN(p->from, from);
	p->to = MAX(p->to, to);
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
