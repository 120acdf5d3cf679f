#ifndef BASE_ERROR_H
#define BASE_ERROR_H

#include <glib.h>

/* What an error means to whoever handles it. */
typedef enum {
	ERROR_INVALID,	   /* the input is wrong; the same call fails again */
	ERROR_CONFLICT,	   /* somebody else's change came first */
	ERROR_UNAVAILABLE, /* did not take effect; may work later */
	ERROR_UNKNOWN,	   /* may or may not have taken effect */
	ERROR_DENIED,	   /* not authenticated or not allowed */
	ERROR_LIMIT,	   /* a bound of this process was reached */
} error_code_t;

#define ERROR_DOMAIN (error_domain())

GQuark error_domain(void);

/**
 * error_set() - Make an error that carries the step and the peer.
 * @err: where to put it; NULL discards it
 * @code: what it means to the caller
 * @step: what was being done, for instance "store.txn"
 * @peer: with whom ("-" for nobody), an address or a file name
 * @fmt: printf format of what went wrong
 */
void error_set(GError **err, error_code_t code, const char *step,
    const char *peer, const char *fmt, ...) G_GNUC_PRINTF(5, 6);

#endif
