#include "base/log_bound.h"

long long
log_bound_take(log_bound_t *b, msec_t now)
{
	long long left_out = b->left_out;

	if (now / MSEC_PER_SEC != b->second)
		b->lines = 0;
	b->second = now / MSEC_PER_SEC;
	if (b->lines >= LOG_BOUND_LINES_PER_SEC) {
		b->left_out++;
		return -1;
	}
	b->lines++;
	b->left_out = 0;
	return left_out;
}
