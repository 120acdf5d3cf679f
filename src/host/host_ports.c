#include <sys/queue.h>

#include <string.h>

#include "host/proxy.h"
#include "host/config_ops.h"
#include "host/dump.h"
#include "host/poison_sync.h"
#include "host/host.h"
#include "host/key_ops.h"
#include "host/limits.h"
#include "host/lookups.h"
#include "host/operate.h"
#include "host/peers.h"
#include "host/tls_reload.h"

#define RECEIVE_MS 30000
/* Heads, bodies and replies share the operators' memory. */
#define OPERATOR_KINDS 3
#define BYTES_PER_MIB (1024 * 1024)

static void
serve_callers(void *arg, http_exchange_t *x)
{
	const struct evhttp_uri *uri = http_exchange_target(x);
	const char *path = evhttp_uri_get_path(uri);

	if (path != NULL && g_str_has_prefix(path, LOOKUPS_PREFIX))
		lookups_serve(arg, x);
	else
		proxy_begin(arg, x);
}

static char *
refuse_body(const char *reason)
{
	return refusal_body(reason, RUN_NOT);
}

static void
serve_rpc(
    void *arg, rpc_call_id_t id, const char *caller, const rpc_args_t *args)
{
	host_t *h = arg;

	if (h->incarnation == 0 && args->proc != RPC_PROC_OPERATE) {
		rpc_server_refuse(&h->rpc_server, id);
		return;
	}
	switch (args->proc) {
	case RPC_PROC_EXCHANGE:
		peers_answer(h, id, caller, &args->u.exchange);
		break;
	case RPC_PROC_WITHDRAW:
		key_ops_serve_withdraw(h, id, &args->u.withdraw);
		break;
	case RPC_PROC_FETCH_KEYS:
		key_ops_serve_fetch(h, id, &args->u.fetch_keys);
		break;
	case RPC_PROC_FETCH_CONFIG:
		config_ops_serve_fetch(h, id, &args->u.fetch_config);
		break;
	case RPC_PROC_OPERATE:
		operate_serve(h, id, &args->u.operate);
		break;
	case RPC_PROC_BORROW:
		limits_serve_borrow(h, id, caller, &args->u.borrow);
		break;
	case RPC_PROC_SUSPECT:
		poison_sync_serve(h, id, caller, &args->u.suspect);
		break;
	case RPC_PROC_NULL:
		rpc_server_refuse(&h->rpc_server, id);
		break;
	}
}

static gboolean
open_rpc(host_t *h, GError **err)
{
	const rpc_client_config_t client = {
	    .base = h->base,
	    .key = &h->rpc_key,
	    .id = h->settings.id,
	    .metrics = &h->metrics,
	    .version = HOST_VERSION,
	};
	const rpc_server_config_t server = {
	    .base = h->base,
	    .key = &h->rpc_key,
	    .self = {h->settings.id, h->settings.rpc},
	    .metrics = &h->metrics,
	    .handler = serve_rpc,
	    .arg = h,
	    .max_strangers = h->descriptors[DESCRIPTORS_HOSTS],
	};

	if (!rpc_key_load(&h->rpc_key, h->settings.secret_file, err))
		return FALSE;
	rpc_client_init(&h->rpc_client, &client);
	h->rpc_open =
	    rpc_server_init(&h->rpc_server, &server, h->settings.rpc, err);
	if (!h->rpc_open)
		rpc_client_finish(&h->rpc_client);
	return h->rpc_open;
}

/* Limits of both HTTP ports, without those on memory and connections. */
static http_server_conf_t
common_conf(const settings_t *s)
{
	const http_server_conf_t conf = {
	    .max_head_bytes = (size_t)s->max_header_bytes,
	    .max_head_fields = (unsigned int)s->max_header_fields,
	    .max_body_bytes = (size_t)s->max_body_bytes,
	    .receive_ms = RECEIVE_MS,
	};

	return conf;
}

static size_t
unread_memory(const settings_t *s, gboolean is_callers)
{
	return unread_share((guint64)s->memory_mb * BYTES_PER_MIB, is_callers);
}

static gboolean
open_callers(host_t *h, GError **err)
{
	const settings_t *s = &h->settings;
	http_server_conf_t conf = common_conf(s);

	conf.address = s->callers;
	conf.tls = h->tls;
	conf.request_memory_bytes = h->memory[MEMORY_HEADS];
	conf.unread_memory_bytes = unread_memory(s, TRUE);
	conf.body_memory_bytes = h->memory[MEMORY_BODIES];
	conf.reply_memory_bytes = h->memory[MEMORY_REPLIES];
	conf.max_connections = port_shares(h->descriptors[DESCRIPTORS_CALLERS],
	    (guint)s->max_connections, &conf.spare_connections);
	if (conf.tls != NULL)
		conf.max_connections = tls_shares(h->memory[MEMORY_TLS],
		    conf.max_connections, &conf.max_handshakes);
	h->callers =
	    http_server_new(h->base, &conf, serve_callers, refuse_body, h, err);
	return h->callers != NULL;
}

static gboolean
open_operators(host_t *h, GError **err)
{
	const settings_t *s = &h->settings;
	http_server_conf_t conf = common_conf(s);
	size_t each = h->memory[MEMORY_OPERATORS] / OPERATOR_KINDS;

	conf.address = s->operators;
	conf.request_memory_bytes = each;
	conf.unread_memory_bytes = unread_memory(s, FALSE);
	conf.body_memory_bytes = each;
	conf.reply_memory_bytes = each;
	conf.max_connections =
	    port_shares(h->descriptors[DESCRIPTORS_OPERATORS],
		(guint)s->max_connections, &conf.spare_connections);
	h->operators =
	    http_server_new(h->base, &conf, dump_serve, refuse_body, h, err);
	return h->operators != NULL;
}

gboolean
host_open_ports(host_t *h, GError **err)
{
	return open_rpc(h, err) && tls_reload_init(h, err) &&
	    open_callers(h, err) && open_operators(h, err);
}
