#include "base/process_limits.h"
#include "host/host.h"

#define BYTES_PER_MIB (1024 * 1024)
/* Replies that wait for callers to read them. */
#define REPLY_MEMORY_BYTES (64 * 1024 * 1024)
/* Heads, bodies and replies at the operators' port, together. */
#define OPERATOR_MEMORY_BYTES (48 * 1024 * 1024)

void
host_share_machine(host_t *h)
{
	const settings_t *s = &h->settings;
	const size_t wanted[MEMORY_USES] = {
	    [MEMORY_BODIES] = (size_t)s->body_memory_bytes,
	    [MEMORY_ANSWERS] = HTTP_ANSWER_MEMORY_BYTES,
	    [MEMORY_REPLIES] = REPLY_MEMORY_BYTES,
	    [MEMORY_HEADS] = (size_t)s->request_memory_bytes,
	    [MEMORY_STORE] = HTTP_ANSWER_MEMORY_BYTES,
	    [MEMORY_OPERATORS] = OPERATOR_MEMORY_BYTES,
	    [MEMORY_TLS] = s->certificate != NULL
		? tls_memory_wanted((guint)s->max_connections)
		: 0,
	};

	memory_shares(h->memory, wanted, (guint64)s->memory_mb * BYTES_PER_MIB);
	descriptor_shares(h->descriptors, process_descriptors(),
	    DESCRIPTOR_USE(DESCRIPTORS_STORE) |
		DESCRIPTOR_USE(DESCRIPTORS_OPERATORS) |
		DESCRIPTOR_USE(DESCRIPTORS_HOSTS) |
		DESCRIPTOR_USE(DESCRIPTORS_SERVERS) |
		DESCRIPTOR_USE(DESCRIPTORS_CALLERS));
}
