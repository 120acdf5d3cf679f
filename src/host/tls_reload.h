#ifndef HOST_TLS_RELOAD_H
#define HOST_TLS_RELOAD_H

#include "host/host.h"

/* Loads the certificate of the callers' port, and reloads it on SIGHUP. */

/**
 * tls_reload_init() - Load the certificate, and install the SIGHUP handler.
 * @h: the host; its callers' port is not yet open
 * @err: set if a certificate or key file can't be used
 */
gboolean tls_reload_init(host_t *h, GError **err);
void tls_reload_finish(host_t *h);

#endif
