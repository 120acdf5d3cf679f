#ifndef HOST_TLS_RELOAD_H
#define HOST_TLS_RELOAD_H

#include "host/host.h"

/* The certificate of the callers' port, read again on SIGHUP. */

/**
 * tls_reload_init() - Read the certificate and await SIGHUP.
 * @h: the host; its callers' port is not yet open
 * @err: set if a file of the settings can't be used
 */
gboolean tls_reload_init(host_t *h, GError **err);
void tls_reload_finish(host_t *h);

#endif
