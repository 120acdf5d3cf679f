#include <string.h>

#include "coordination/usage_duty.h"

/* A call ends this much before the lease. */
#define GUARD_MS 100
/* The row is renewed after this part of the lease, so that one renewal may be
 * lost and repeated within it. */
#define RENEW_NUM 2
#define RENEW_DEN 5

/* The hosts of these ranks read the row often enough to see a lease end at
 * once. The others are for the case that the first can't take the duty, so they
 * read seldom. */
#define NEXT_RANKS 2

void
usage_duty_init(usage_duty_t *d, const usage_duty_conf_t *conf)
{
	memset(d, 0, sizeof(*d));
	d->conf = *conf;
}

static gboolean
names_this_host(const usage_duty_t *d, const usage_duty_row_t *row)
{
	return row->holder != 0 && row->holder == d->conf.self;
}

/* Whether nobody else can hold the duty by the row that was last seen. */
static gboolean
is_free(const usage_duty_t *d, guint rank, msec_t now)
{
	/* Of an earlier start, which has ended, or of a write of this start
	 * whose answer was lost. */
	if (names_this_host(d, &d->row) && d->row.start <= d->conf.start)
		return TRUE;
	/* Also if there is no row: the store may have lost it. */
	return now - d->seen_at >=
	    d->conf.lease_ms + d->conf.slack_ms + (msec_t)rank * USAGE_RANK_MS;
}

static msec_t
read_period(const usage_duty_t *d, guint rank)
{
	return rank < NEXT_RANKS ? d->conf.lease_ms / 3 : 2 * d->conf.lease_ms;
}

/* Whether the row has to be written for the sake of its flag. */
static gboolean
must_flag(const usage_duty_t *d, usage_duty_load_t load, msec_t now)
{
	if (load == USAGE_DUTY_PENDING)
		return d->row.quiet || d->unsure;
	/* It saves a successor the wait for open calls. */
	return load == USAGE_DUTY_IDLE && !d->conf.fenced && !d->row.quiet &&
	    now >= d->act_from;
}

usage_duty_step_t
usage_duty_next(const usage_duty_t *d, gboolean eligible, guint rank,
    usage_duty_load_t load, msec_t now)
{
	msec_t age = now - d->lease_from;

	if (d->busy)
		return USAGE_DUTY_WAIT;
	if (d->holding)
		return must_flag(d, load, now) ||
			age >= d->conf.lease_ms * RENEW_NUM / RENEW_DEN
		    ? USAGE_DUTY_RENEW
		    : USAGE_DUTY_WAIT;
	if (!eligible || rank > USAGE_RANK_MAX || now < d->barred_until)
		return USAGE_DUTY_WAIT;
	if (!d->known || now - d->read_at >= read_period(d, rank))
		return USAGE_DUTY_READ;
	return is_free(d, rank, now) ? USAGE_DUTY_TAKE : USAGE_DUTY_WAIT;
}

void
usage_duty_reading(usage_duty_t *d, msec_t now)
{
	d->busy = TRUE;
	d->writing = FALSE;
	d->read_at = now;
}

const usage_duty_row_t *
usage_duty_offer(usage_duty_t *d, usage_duty_step_t step,
    const usage_duty_offer_t *in, msec_t now)
{
	d->taking = step == USAGE_DUTY_TAKE;
	d->offered = d->row;
	if (!d->taking || d->row.holder == 0)
		d->offered.sent = MAX(in->sent, d->row.sent);
	if (d->taking) {
		/* The flag of the holder before stays: its calls may be open.
		 */
		d->offered.holder = d->conf.self;
		d->offered.start = d->conf.start;
		d->offered.epoch =
		    MAX(MAX(d->floor, d->row.epoch) + 1, in->epoch_hint);
	} else {
		d->offered.quiet =
		    in->load == USAGE_DUTY_IDLE && now >= d->act_from;
	}
	d->busy = TRUE;
	d->writing = TRUE;
	d->write_at = now;
	return &d->offered;
}

void
usage_duty_written(usage_duty_t *d, uint64_t ver, msec_t now)
{
	if (d->taking)
		d->act_from = d->conf.fenced || d->row.quiet
		    ? now
		    : now + USAGE_CALL_SETTLE_MS;
	d->row = d->offered;
	d->ver = ver;
	d->seen_at = now;
	d->lease_from = d->write_at;
	d->floor = MAX(d->floor, d->row.epoch);
	d->sent_seen = MAX(d->sent_seen, d->row.sent);
	d->holding = TRUE;
	d->busy = FALSE;
	d->taking = FALSE;
	d->unsure = FALSE;
}

void
usage_duty_failed(usage_duty_t *d)
{
	d->unsure |= d->writing;
	d->busy = FALSE;
	d->taking = FALSE;
}

gboolean
usage_duty_saw(
    usage_duty_t *d, const usage_duty_row_t *row, uint64_t ver, msec_t now)
{
	gboolean held = d->holding;

	/* A store that came back from a copy uses versions again. */
	if (!d->known || ver != d->ver || row->holder != d->row.holder ||
	    row->epoch != d->row.epoch)
		d->seen_at = now;
	if (row->holder != d->conf.self || row->start != d->conf.start ||
	    row->epoch != d->row.epoch)
		d->holding = FALSE;
	d->busy = FALSE;
	d->taking = FALSE;
	d->known = TRUE;
	d->row = *row;
	d->ver = ver;
	d->floor = MAX(d->floor, row->epoch);
	d->sent_seen = MAX(d->sent_seen, row->sent);
	return held && !d->holding;
}

msec_t
usage_duty_call_ms(const usage_duty_t *d, msec_t now)
{
	msec_t left = d->lease_from + d->conf.lease_ms - GUARD_MS - now;

	if (!d->holding || now < d->act_from || left <= 0 || d->row.quiet ||
	    d->unsure || (d->busy && d->writing && d->offered.quiet))
		return 0;
	return MIN(left, USAGE_CALL_MS);
}

void
usage_duty_refused(usage_duty_t *d, msec_t now)
{
	d->holding = FALSE;
	d->floor = MAX(d->floor, d->row.epoch) + 1;
	d->barred_until = now + d->conf.lease_ms;
}

void
usage_duty_give_up(usage_duty_t *d, msec_t now)
{
	d->holding = FALSE;
	d->barred_until = now + USAGE_GIVE_UP_MS;
}
