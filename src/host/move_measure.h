#ifndef HOST_MOVE_MEASURE_H
#define HOST_MOVE_MEASURE_H

#include "coordination/move_room.h"
#include "host/moves.h"

/* Duration of a request on cold caches, of one on warm ones, percent. */
#define MOVE_COLD_PERCENT 250

/**
 * move_measure() - Room for a move by what all hosts have told.
 * @h: the host
 * @row: the move
 * @now: present time
 *
 * Return: of all services and regions that it touches the one with least room.
 */
move_room_t move_measure(const host_t *h, const move_row_t *row, msec_t now);

#endif
