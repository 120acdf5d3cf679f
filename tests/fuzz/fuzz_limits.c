#include <stdlib.h>

#include "limits_model.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static model_t m;

	model_run(&m, BREAK_NONE, data, size);
	if (m.violated)
		abort();
	return 0;
}
