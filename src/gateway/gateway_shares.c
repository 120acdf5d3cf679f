#include <string.h>

#include "base/process_limits.h"
#include "gateway/gateway_shares.h"

/* Time for a caller to send a whole request. */
#define RECEIVE_TIMEOUT_MS 30000
/* Memory of answers of the store while they arrive. */
#define STORE_MEMORY_BYTES (16 * 1024 * 1024)
#define ADMIN_MAX_CONNECTIONS 200
#define ADMIN_MAX_BODY_BYTES 4096
/* Of heads, bodies and replies, each, of look-ups or of
 * operators' requests. */
#define ADMIN_MEMORY_BYTES (4 * 1024 * 1024)
#define ADMIN_KINDS 3
#define BYTES_PER_MIB (1024 * 1024)

static void
share_descriptors(gateway_t *g)
{
	descriptor_shares(g->descriptors,
	    MIN(process_descriptors(), (guint)g->settings->max_descriptors),
	    DESCRIPTOR_USE(DESCRIPTORS_STORE) |
		DESCRIPTOR_USE(DESCRIPTORS_OPERATORS) |
		DESCRIPTOR_USE(DESCRIPTORS_LOOKUPS) |
		DESCRIPTOR_USE(DESCRIPTORS_SERVERS) |
		DESCRIPTOR_USE(DESCRIPTORS_CALLERS));
	http_client_limit_open(
	    g->server_client, g->descriptors[DESCRIPTORS_SERVERS]);
	http_client_limit_open(
	    g->store_client, g->descriptors[DESCRIPTORS_STORE]);
}

static void
share_memory(gateway_t *g)
{
	const gateway_settings_t *s = g->settings;
	const size_t wanted[MEMORY_USES] = {
	    [MEMORY_BODIES] = (size_t)s->body_memory_bytes,
	    [MEMORY_ANSWERS] = (size_t)s->answer_memory_bytes,
	    [MEMORY_REPLIES] = (size_t)s->reply_memory_bytes,
	    [MEMORY_HEADS] = (size_t)s->request_memory_bytes,
	    [MEMORY_STORE] = STORE_MEMORY_BYTES,
	    [MEMORY_LOOKUPS] = ADMIN_KINDS * ADMIN_MEMORY_BYTES,
	    [MEMORY_OPERATORS] = ADMIN_KINDS * ADMIN_MEMORY_BYTES,
	};

	memory_shares(g->memory, wanted, (guint64)s->memory_mb * BYTES_PER_MIB);
	http_client_limit_memory(g->server_client, g->memory[MEMORY_ANSWERS]);
	http_client_limit_memory(g->store_client, g->memory[MEMORY_STORE]);
}

void
gateway_share_machine(gateway_t *g)
{
	share_descriptors(g);
	share_memory(g);
}

static void
set_memory(const gateway_t *g, http_server_conf_t *conf, descriptor_use_t port)
{
	size_t each;

	if (port == DESCRIPTORS_CALLERS) {
		conf->request_memory_bytes = g->memory[MEMORY_HEADS];
		conf->body_memory_bytes = g->memory[MEMORY_BODIES];
		conf->reply_memory_bytes = g->memory[MEMORY_REPLIES];
		conf->max_body_bytes = conf->body_memory_bytes;
		return;
	}
	each = g->memory[port == DESCRIPTORS_LOOKUPS ? MEMORY_LOOKUPS
						     : MEMORY_OPERATORS] /
	    ADMIN_KINDS;
	conf->request_memory_bytes =
	    MIN((size_t)g->settings->request_memory_bytes, each);
	conf->body_memory_bytes = conf->reply_memory_bytes = each;
	conf->max_body_bytes = ADMIN_MAX_BODY_BYTES;
}

void
gateway_port_conf(
    const gateway_t *g, descriptor_use_t port, http_server_conf_t *conf)
{
	const gateway_settings_t *s = g->settings;

	memset(conf, 0, sizeof(*conf));
	conf->max_head_bytes = (size_t)s->max_header_bytes;
	conf->max_head_fields = (unsigned int)s->max_header_fields;
	conf->receive_ms = RECEIVE_TIMEOUT_MS;
	conf->max_connections = port_shares(g->descriptors[port],
	    port == DESCRIPTORS_CALLERS ? (guint)s->max_connections
					: ADMIN_MAX_CONNECTIONS,
	    &conf->spare_connections);
	conf->unread_memory_bytes = unread_share(
	    (guint64)s->memory_mb * BYTES_PER_MIB, port == DESCRIPTORS_CALLERS);
	set_memory(g, conf, port);
}
