#include <time.h>

#include "base/clock.h"

static int64_t
read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * MSEC_PER_SEC + ts.tv_nsec / 1000000;
}

msec_t
clock_now(void)
{
	return read_clock(CLOCK_BOOTTIME);
}

int64_t
clock_wall(void)
{
	return read_clock(CLOCK_REALTIME);
}
