#ifndef BASE_ERROR_H
#define BASE_ERROR_H

#include <glib.h>

/* What an error means to the code that handles it. */
typedef enum {
	ERROR_INVALID,	   /* the input is wrong; the same call fails again */
	ERROR_CONFLICT,	   /* another change was made first */
	ERROR_UNAVAILABLE, /* had no effect; may succeed later */
	ERROR_UNKNOWN,	   /* may or may not have had an effect */
	ERROR_DENIED,	   /* not authenticated or not allowed */
	ERROR_LIMIT,	   /* a limit of this process was reached */
} error_code_t;

#define ERROR_DOMAIN (error_domain())

GQuark error_domain(void);

/**
 * error_set() - Create an error that names the step and the peer.
 * @err: set to the error; NULL discards it
 * @code: what the error means to the caller
 * @step: the operation that failed, for instance "store.txn"
 * @peer: address or file name that the operation concerned; "-" for none
 * @fmt: printf format of the description
 */
void error_set(GError **err, error_code_t code, const char *step,
    const char *peer, const char *fmt, ...) G_GNUC_PRINTF(5, 6);

#endif
