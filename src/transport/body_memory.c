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
body_memory_init(body_memory_t *m, size_t bound)
{
	memset(m, 0, sizeof(*m));
	m->bound = bound;
	m->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
}

void
body_memory_finish(body_memory_t *m)
{
	g_hash_table_destroy(m->peers);
}

/* Without the port. */
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
peer_join(body_memory_t *m, int fd)
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
body_memory_take(body_memory_t *m, body_part_t *part, int fd, size_t bytes)
{
	if (part->peer == NULL)
		part->peer = peer_join(m, fd);
	part->held += bytes;
	part->peer->held += bytes;
	m->held += bytes;
}

void
body_memory_release(body_memory_t *m, body_part_t *part)
{
	m->held -= part->held;
	if (part->peer != NULL)
		part->peer->held -= part->held;
	part->held = 0;
}

void
body_memory_drop(body_memory_t *m, body_part_t *part)
{
	body_memory_release(m, part);
	if (part->peer != NULL && --part->peer->refs == 0)
		g_hash_table_remove(m->peers, part->peer->address);
	part->peer = NULL;
}

gboolean
body_memory_over(const body_memory_t *m, const body_part_t *part)
{
	return m->held > m->bound ||
	    part->peer->held > BODY_MEMORY_SHARE * (m->bound - m->held);
}
