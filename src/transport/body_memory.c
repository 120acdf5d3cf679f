#include <sys/socket.h>

#include <netdb.h>
#include <string.h>

#include "transport/body_memory.h"

static void
peer_free(void *p)
{
	body_peer_t *peer = p;

	g_free(peer->address);
	g_free(peer);
}

void
body_memory_init(body_memory_t *m, size_t limit)
{
	memset(m, 0, sizeof(*m));
	m->limit = limit;
	m->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
}

void
body_memory_finish(body_memory_t *m)
{
	g_hash_table_destroy(m->peers);
}

/* Numeric address of the peer, without the port; "" if unknown. */
static char *
address_of(int fd)
{
	struct sockaddr_storage from = {0};
	char host[NI_MAXHOST] = "";
	socklen_t len = sizeof(from);

	if (getpeername(fd, (struct sockaddr *)&from, &len) == 0)
		getnameinfo((struct sockaddr *)&from, len, host, sizeof(host),
		    NULL, 0, NI_NUMERICHOST);
	return g_strdup(host);
}

static body_peer_t *
peer_ref(body_memory_t *m, int fd)
{
	char *address = address_of(fd);
	body_peer_t *peer = g_hash_table_lookup(m->peers, address);

	if (peer == NULL) {
		peer = g_new0(body_peer_t, 1);
		peer->address = g_strdup(address);
		g_hash_table_insert(m->peers, peer->address, peer);
	}
	peer->refs++;
	g_free(address);
	return peer;
}

void
body_memory_take(body_memory_t *m, body_usage_t *usage, int fd, size_t bytes)
{
	if (usage->peer == NULL)
		usage->peer = peer_ref(m, fd);
	usage->held += bytes;
	usage->peer->held += bytes;
	m->held += bytes;
}

void
body_memory_release(body_memory_t *m, body_usage_t *usage)
{
	m->held -= usage->held;
	if (usage->peer != NULL)
		usage->peer->held -= usage->held;
	usage->held = 0;
}

void
body_memory_detach(body_memory_t *m, body_usage_t *usage)
{
	body_memory_release(m, usage);
	if (usage->peer != NULL && --usage->peer->refs == 0)
		g_hash_table_remove(m->peers, usage->peer->address);
	usage->peer = NULL;
}

gboolean
body_memory_is_over(const body_memory_t *m, const body_usage_t *usage)
{
	return m->held > m->limit ||
	    usage->peer->held > BODY_MEMORY_SHARE * (m->limit - m->held);
}
