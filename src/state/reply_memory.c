#include <string.h>

#include "state/reply_memory.h"

static void
peer_free(void *p)
{
	reply_peer_t *peer = p;

	g_free(peer->address);
	g_free(peer);
}

void
reply_memory_init(reply_memory_t *m, size_t limit)
{
	memset(m, 0, sizeof(*m));
	m->limit = limit;
	m->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
}

void
reply_memory_finish(reply_memory_t *m)
{
	g_hash_table_destroy(m->peers);
}

static reply_peer_t *
peer_ref(reply_memory_t *m, const char *address)
{
	reply_peer_t *peer = g_hash_table_lookup(m->peers, address);

	if (peer == NULL) {
		peer = g_new0(reply_peer_t, 1);
		peer->address = g_strdup(address);
		g_hash_table_insert(m->peers, peer->address, peer);
	}
	peer->refs++;
	return peer;
}

static void
set_held(reply_memory_t *m, reply_usage_t *u, size_t held)
{
	m->held = m->held - u->held + held;
	u->peer->held = u->peer->held - u->held + held;
	u->held = held;
}

static void
unqueue(reply_usage_t *u)
{
	g_queue_unlink(&u->peer->waiting[u->reads], &u->link);
}

static void
queue_last(reply_usage_t *u)
{
	u->link.data = u;
	g_queue_push_tail_link(&u->peer->waiting[u->reads], &u->link);
}

void
reply_memory_add(reply_memory_t *m, reply_usage_t *u, const char *address,
    size_t bytes, msec_t now)
{
	if (bytes == 0)
		return;
	if (u->peer == NULL)
		u->peer = peer_ref(m, address);
	if (u->held == 0) {
		u->began_at = u->taken_at = now;
		u->reads = FALSE;
		queue_last(u);
	}
	set_held(m, u, u->held + bytes);
}

void
reply_memory_take(reply_memory_t *m, reply_usage_t *u, size_t bytes, msec_t now)
{
	if (u->held <= bytes) {
		reply_memory_release(m, u);
		return;
	}
	set_held(m, u, u->held - bytes);
	unqueue(u);
	u->taken_at = now;
	u->reads = u->reads || now - u->began_at >= REPLY_PROOF_MS;
	queue_last(u);
}

void
reply_memory_release(reply_memory_t *m, reply_usage_t *u)
{
	if (u->held == 0)
		return;
	unqueue(u);
	set_held(m, u, 0);
}

void
reply_memory_detach(reply_memory_t *m, reply_usage_t *u)
{
	reply_memory_release(m, u);
	if (u->peer != NULL && --u->peer->refs == 0)
		g_hash_table_remove(m->peers, u->peer->address);
	u->peer = NULL;
}

gboolean
reply_memory_is_over(const reply_memory_t *m)
{
	return m->held > m->limit;
}

static gboolean
is_stalled(const reply_usage_t *u, msec_t now)
{
	return now - u->taken_at >= REPLY_STALLED_MS;
}

/* Whether @a gives way before @b. */
static gboolean
goes_before(const reply_usage_t *a, const reply_usage_t *b, msec_t now)
{
	gboolean stalled = is_stalled(a, now);

	if (stalled != is_stalled(b, now))
		return stalled;
	if (a->peer->held != b->peer->held)
		return a->peer->held > b->peer->held;
	if (a->reads != b->reads)
		return b->reads;
	return a->taken_at < b->taken_at;
}

reply_usage_t *
reply_memory_next(const reply_memory_t *m, msec_t now)
{
	reply_usage_t *u, *next = NULL;
	GHashTableIter it;
	gpointer value;
	size_t i;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		reply_peer_t *peer = value;

		for (i = 0; i < G_N_ELEMENTS(peer->waiting); i++) {
			u = g_queue_peek_head(&peer->waiting[i]);
			if (u != NULL &&
			    (next == NULL || goes_before(u, next, now)))
				next = u;
		}
	}
	return next;
}
