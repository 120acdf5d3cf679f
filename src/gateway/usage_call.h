#ifndef GATEWAY_USAGE_CALL_H
#define GATEWAY_USAGE_CALL_H

#include "gateway/usage_report.h"

/* The calls to the platform by the holder of the duty, one at a time. */

/** usage_call() - Send the next report, if it is stored and may be sent now. */
void usage_call(usage_report_t *r);

/** usage_report_of() - The stored report of a window, or NULL. */
const char *usage_report_of(const usage_report_t *r, int64_t window);

/** usage_report_note_lost() - Log and count that the duty was lost or left. */
void usage_report_note_lost(usage_report_t *r, const char *why);

#endif
