#include "coordination/move_room.h"

gboolean
move_room_fresh(const move_room_t *room, msec_t since, msec_t now)
{
	return room->known && room->measured_at >= since &&
	    now - room->measured_at <= MOVE_MEASURE_MAX_AGE_MS;
}

static share_t
share_that_fits(uint64_t available, uint64_t demand)
{
	if (available >= demand)
		return SHARE_ONE;
	return (share_t)(available * SHARE_ONE / demand);
}

share_t
move_room_share(const move_room_t *room)
{
	uint64_t usable, taken, demand, cold = room->cold_percent;
	share_t by_slots, by_link = SHARE_ONE;

	if (cold < MOVE_WARM_PERCENT)
		cold = MOVE_WARM_PERCENT;
	usable = (uint64_t)room->slots * MOVE_FILL_PERCENT;
	taken = ((uint64_t)room->busy + room->unmeasured) * 100;
	demand = room->demand * cold;
	by_slots = usable > taken ? share_that_fits(usable - taken, demand) : 0;
	if (room->link_demand > 0)
		by_link =
		    share_that_fits(room->link_free / 100 * MOVE_FILL_PERCENT,
			room->link_demand);
	return by_slots < by_link ? by_slots : by_link;
}
