#include <sys/resource.h>

#include <limits.h>

#include "base/process_limits.h"

unsigned int
process_descriptors(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur > UINT_MAX)
		return UINT_MAX;
	return (unsigned int)limit.rlim_cur;
}
