#include "config_world.h"

/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	if (world_run(data, size, RULES_KEPT) != NULL)
		abort();
	return 0;
}
