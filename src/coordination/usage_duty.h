#ifndef COORDINATION_USAGE_DUTY_H
#define COORDINATION_USAGE_DUTY_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"

/*
 * Decides which host reports the usage, and when it may call the platform. The
 * duty is one row of the store. Its holder renews it with conditional writes,
 * each of which names the version that it replaces; every other write of the
 * holder is a part of such a transaction, so that a write that is performed
 * late fails once another host has the duty. Time is this host's monotonic
 * clock.
 *
 * A lease counts from the moment at which its write was sent. Others measure it
 * from the moment at which they first saw the version that the write made, so
 * they see it end later than the holder does. No clocks are compared.
 */

/* Longest time after the end of a call within which the platform may still
 * execute it. It is documented only as seconds; this is the longest delay of a
 * late write in the soak test. */
#define USAGE_CALL_SETTLE_MS 6000
/* Longest time of one call. */
#define USAGE_CALL_MS 1000
/* A host of this rank or a lower one follows the duty's row. */
#define USAGE_RANK_MAX 3
/* Additional wait for each rank. */
#define USAGE_RANK_MS 1000
/* A holder whose calls got no response gives the duty up for this long. */
#define USAGE_GIVE_UP_MS 30000

/* The duty's row. */
typedef struct {
	uint64_t holder; /* hash of the host's name; 0: there is no row */
	uint64_t start;	 /* incarnation of the host */
	uint64_t epoch;	 /* the token of its calls */
	/* No call is open, and none is made before the row is written again
	 * without this flag. */
	gboolean quiet;
	int64_t sent; /* the reports up to this window were accepted */
} usage_duty_row_t;

typedef struct {
	uint64_t self, start;
	msec_t lease_ms;
	msec_t slack_ms; /* added to the lease of others */
	/* The platform refuses calls whose token is lower than one before. If
	 * it does not, a new holder waits until open calls are over. */
	gboolean fenced;
} usage_duty_conf_t;

typedef enum {
	USAGE_DUTY_WAIT,
	USAGE_DUTY_READ,  /* read the row */
	USAGE_DUTY_TAKE,  /* write the row with a new epoch */
	USAGE_DUTY_RENEW, /* write the row again */
} usage_duty_step_t;

typedef struct {
	usage_duty_conf_t conf;
	gboolean known; /* the row has been read */
	usage_duty_row_t row;
	uint64_t ver;	/* of the row; 0: there is none */
	msec_t seen_at; /* when this version was first seen */
	msec_t read_at;
	gboolean busy;	  /* a read or write of the row is in flight */
	gboolean writing; /* it is a write */
	/* A write that may still be performed may set the flag quiet, so there
	 * is no call before the next write that is known to be performed. */
	gboolean unsure;
	usage_duty_row_t offered;
	gboolean taking;
	msec_t write_at; /* when the write in flight was sent */
	gboolean holding;
	msec_t lease_from; /* when the last write that succeeded was sent */
	msec_t act_from;   /* no call before it */
	uint64_t floor;	   /* highest epoch that was seen */
	int64_t sent_seen; /* highest window that was seen as accepted */
	msec_t barred_until;
} usage_duty_t;

typedef enum {
	USAGE_DUTY_IDLE,    /* nothing, and no call may be open */
	USAGE_DUTY_OPEN,    /* nothing, but a call may be open */
	USAGE_DUTY_PENDING, /* reports to send */
} usage_duty_load_t;

typedef struct {
	/* A new epoch is no lower. The time of day in seconds keeps it from
	 * going back if the store does. */
	uint64_t epoch_hint;
	/* The reports up to this window were accepted. For USAGE_DUTY_TAKE it
	 * is used only if there is no row. */
	int64_t sent;
	/* A call counts as open until it ends with a response, or for
	 * USAGE_CALL_SETTLE_MS after it ended without one. */
	usage_duty_load_t load;
} usage_duty_offer_t;

void usage_duty_init(usage_duty_t *d, const usage_duty_conf_t *conf);

/**
 * usage_duty_next() - What to do about the row now.
 * @d: the state
 * @eligible: this host is ready, reaches the store and is not leaving
 * @rank: of this host among those that may take the duty
 * @load: what the holder has to do
 * @now: time
 */
usage_duty_step_t usage_duty_next(const usage_duty_t *d, gboolean eligible,
    guint rank, usage_duty_load_t load, msec_t now);

/** usage_duty_reading() - A read of the row begins. */
void usage_duty_reading(usage_duty_t *d, msec_t now);

/**
 * usage_duty_offer() - A write of the row begins.
 * @d: the state
 * @step: USAGE_DUTY_TAKE or USAGE_DUTY_RENEW
 * @in: what is written
 * @now: time
 *
 * Return: the row to write at version @d->ver, valid until the next call.
 */
const usage_duty_row_t *usage_duty_offer(usage_duty_t *d,
    usage_duty_step_t step, const usage_duty_offer_t *in, msec_t now);

/** usage_duty_written() - The write in flight was performed. */
void usage_duty_written(usage_duty_t *d, uint64_t ver, msec_t now);

/**
 * usage_duty_failed() - The call in flight has no usable answer.
 *
 * A write may still be performed, as long as its condition holds.
 */
void usage_duty_failed(usage_duty_t *d);

/**
 * usage_duty_saw() - The row as the store has it, read or in a conflict.
 * @d: the state
 * @row: the row; @row->holder is 0 if there is none
 * @ver: its version; 0: there is none
 * @now: time
 *
 * Return: whether this host has lost the duty by it.
 */
gboolean usage_duty_saw(
    usage_duty_t *d, const usage_duty_row_t *row, uint64_t ver, msec_t now);

/**
 * usage_duty_call_ms() - Whether the holder may call the platform.
 * @d: the state
 * @now: the clock at the moment of use
 *
 * Return: the longest time that the call may take; 0: it may not call.
 */
msec_t usage_duty_call_ms(const usage_duty_t *d, msec_t now);

/** usage_duty_refused() - The platform has seen a higher token. */
void usage_duty_refused(usage_duty_t *d, msec_t now);

/** usage_duty_give_up() - Leave the duty to another host for a time. */
void usage_duty_give_up(usage_duty_t *d, msec_t now);

#endif
