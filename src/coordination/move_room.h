#ifndef COORDINATION_MOVE_ROOM_H
#define COORDINATION_MOVE_ROOM_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"
#include "state/split.h"

/* Maximum age of a measurement on which a step may be based. */
#define MOVE_MEASURE_MAX_AGE_MS (5 * MSEC_PER_SEC)
/* Part of the slots that may be in use after a step, and part of the free link
 * capacity that a step may use. */
#define MOVE_FILL_PERCENT 80
/* Duration of a request on warm caches, in the unit of cold_percent. */
#define MOVE_WARM_PERCENT 100

/* The side that would receive the next step, and what it would receive. */
typedef struct {
	gboolean known;	     /* every part of it was measured */
	msec_t measured_at;  /* of the oldest part, on this host's clock */
	uint32_t slots;	     /* healthy slots of the receiving side */
	uint32_t busy;	     /* concurrent requests measured there */
	uint32_t unmeasured; /* concurrent requests that other steps send
			    there and that busy does not include yet */
	uint32_t demand;     /* concurrent requests of all that may be moved */
	uint32_t cold_percent; /* duration on cold caches, % of warm ones */
	uint64_t link_free;   /* bits per second; ignored if link_demand is 0 */
	uint64_t link_demand; /* bits per second of all that may be moved;
				 0: no link is crossed */
} move_room_t;

/**
 * move_room_fresh() - Whether a step may be based on a measurement.
 * @room: the measurement
 * @since: the measurement must not be older than this time
 * @now: time
 */
gboolean move_room_fresh(const move_room_t *room, msec_t since, msec_t now);

/**
 * move_room_share() - How much more may be sent to the receiving side.
 * @room: a measurement that passed move_room_fresh()
 *
 * Return: share of the demand, 0..SHARE_ONE, rounded down.
 */
share_t move_room_share(const move_room_t *room);

#endif
