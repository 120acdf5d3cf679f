#ifndef GATEWAY_GATEWAY_SHARES_H
#define GATEWAY_GATEWAY_SHARES_H

#include "gateway/gateway.h"

/* What the machine has, divided between the parts of an entry host. */

/** gateway_share_machine() - Set the shares, and the limits of the clients. */
void gateway_share_machine(gateway_t *g);

/**
 * gateway_port_conf() - Set the limits of a port.
 * @g: the host, after gateway_share_machine()
 * @port: DESCRIPTORS_CALLERS, DESCRIPTORS_LOOKUPS or DESCRIPTORS_OPERATORS
 * @conf: set
 */
void gateway_port_conf(
    const gateway_t *g, descriptor_use_t port, http_server_conf_t *conf);

#endif
