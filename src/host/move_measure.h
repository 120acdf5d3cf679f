#ifndef HOST_MOVE_MEASURE_H
#define HOST_MOVE_MEASURE_H

#include "coordination/move_room.h"
#include "host/moves.h"

/* Duration of a request on cold caches, in percent of that on warm caches. */
#define MOVE_COLD_PERCENT 250

/**
 * move_measure() - Measure the spare capacity for a move from the reports of
 * all hosts.
 * @h: the host
 * @row: the move
 * @now: present time
 *
 * Return: the measurement of the service and region with the least spare
 * capacity, among those that the move affects.
 */
move_room_t move_measure(const host_t *h, const move_row_t *row, msec_t now);

#endif
