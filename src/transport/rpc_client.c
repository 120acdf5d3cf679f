#include <string.h>

#include "base/error.h"
#include "transport/rpc_peer.h"

static void
reap(evutil_socket_t fd, short what, void *arg)
{
	rpc_client_t *c = arg;

	(void)fd;
	(void)what;
	g_ptr_array_set_size(c->removed, 0);
}

static void
free_peer(void *p)
{
	rpc_peer_free(p);
}

void
rpc_client_init(rpc_client_t *c, const rpc_client_config_t *config)
{
	memset(c, 0, sizeof(*c));
	c->config = *config;
	c->peers = g_hash_table_new(g_direct_hash, g_direct_equal);
	c->removed = g_ptr_array_new_with_free_func(free_peer);
	c->reaper = evtimer_new(config->base, reap, c);
	c->late = metrics_add(config->metrics, METRIC_COUNTER,
	    "rpc_late_answers_total",
	    "Answers that match no outstanding call.");
	c->forged = metrics_add(config->metrics, METRIC_COUNTER,
	    "rpc_forged_answers_total",
	    "Answers that are not authenticated or can't be read.");
	c->connects = metrics_add(config->metrics, METRIC_COUNTER,
	    "rpc_connects_total", "Connections opened to peers.");
}

void
rpc_client_finish(rpc_client_t *c)
{
	GList *ids = g_hash_table_get_keys(c->peers);
	GList *l;

	for (l = ids; l != NULL; l = l->next)
		rpc_client_remove_peer(c, GPOINTER_TO_UINT(l->data));
	g_list_free(ids);
	g_ptr_array_free(c->removed, TRUE);
	g_hash_table_destroy(c->peers);
	event_free(c->reaper);
}

static gboolean
has_address(void *key, void *peer, void *address)
{
	(void)key;
	return strcmp(((rpc_peer_t *)peer)->address, address) == 0;
}

gboolean
rpc_client_peer(
    rpc_client_t *c, const char *address, rpc_peer_id_t *id, GError **err)
{
	rpc_peer_t *p =
	    g_hash_table_find(c->peers, has_address, (char *)address);
	rpc_addr_t addr;

	if (p == NULL) {
		if (!rpc_addr_parse(&addr, address, err))
			return FALSE;
		p = rpc_peer_new(c, address, &addr);
		p->id = ++c->next_peer;
		g_hash_table_insert(c->peers, GUINT_TO_POINTER(p->id), p);
	}
	*id = p->id;
	return TRUE;
}

void
rpc_client_remove_peer(rpc_client_t *c, rpc_peer_id_t id)
{
	rpc_peer_t *p = g_hash_table_lookup(c->peers, GUINT_TO_POINTER(id));
	struct timeval now = {0, 0};

	if (p == NULL)
		return;
	g_hash_table_remove(c->peers, GUINT_TO_POINTER(id));
	/* Freed from the event loop: a callback of the peer may be running. */
	g_ptr_array_add(c->removed, p);
	rpc_peer_close(p);
	evtimer_add(c->reaper, &now);
}

gboolean
rpc_client_call(rpc_client_t *c, rpc_peer_id_t id, const rpc_args_t *args,
    msec_t timeout_ms, rpc_answer_t fn, void *arg, GError **err)
{
	rpc_peer_t *p = g_hash_table_lookup(c->peers, GUINT_TO_POINTER(id));
	GByteArray *body;

	if (p == NULL) {
		error_set(err, ERROR_INVALID, "rpc.call", "-", "no such peer");
		return FALSE;
	}
	if (rpc_peer_outstanding(p) >= RPC_CALLS_MAX) {
		error_set(err, ERROR_LIMIT, "rpc.call", p->address,
		    "%d calls are outstanding", RPC_CALLS_MAX);
		return FALSE;
	}
	body = g_byte_array_new();
	if (!rpc_args_encode(body, args, err)) {
		g_byte_array_free(body, TRUE);
		return FALSE;
	}
	rpc_peer_call(p, args->proc, body, timeout_ms, fn, arg);
	return TRUE;
}
