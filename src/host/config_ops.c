#include <string.h>

#include "base/log.h"
#include "host/config_ops.h"

#define FETCH_TIMEOUT_MS 1500

static void run_actions(host_t *h, GArray *actions);

static GArray *
actions_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(config_sync_action_t));
}

static void
learn_version(host_t *h, const config_ref_t *ref, msec_t now)
{
	GArray *out = actions_new();

	if (ref->version != 0 &&
	    !config_sync_learn(&h->config_sync, ref, now, out))
		log_event(LOG_ERROR, "config.contradiction", "version",
		    log_num((long long)ref->version), NULL);
	run_actions(h, out);
}

void
config_ops_scanned(host_t *h)
{
	const mirror_row_t *row = mirror_get(&h->mirror, ROWS_CONFIG);
	config_row_t head = {0};
	config_ref_t ref;

	if (row == NULL || !rows_decode(&row_config, row->value, &head, NULL))
		return;
	ref.version = head.version;
	ref.digest = head.digest;
	learn_version(h, &ref, clock_now());
}

void
config_ops_on_heartbeat(
    host_t *h, host_id_t id, const rpc_heartbeat_t *beat, msec_t now)
{
	replica_t replica = {id, beat->host.incarnation};
	config_ref_t ref = {.version = beat->config_version};

	memcpy(ref.digest.bytes, beat->config_digest, DIGEST_BYTES);
	config_sync_peer_version(&h->config_sync, replica, ref.version);
	learn_version(h, &ref, now);
}

/* Takes in a fetched text; it is put in force whole or not at all. */
static void
fetched(host_t *h, uint32_t attempt, const char *bytes, size_t len)
{
	gboolean usable;
	config_ref_t ref;
	char *text;

	if (!config_sync_fetched(
		&h->config_sync, attempt, bytes, len, clock_now(), &ref))
		return;
	text = g_strndup(bytes, len);
	usable = host_apply_config(h, ref.version, text);
	config_sync_parsed(&h->config_sync, &ref, usable);
	g_free(text);
}

typedef struct {
	host_t *host;
	uint32_t attempt;
} fetch_t;

static void
on_object(void *arg, const store_result_t *result, const GError *err)
{
	fetch_t *f = arg;

	if (err != NULL || result->u.object.bytes == NULL)
		config_sync_fetch_failed(
		    &f->host->config_sync, f->attempt, clock_now());
	else
		fetched(f->host, f->attempt, result->u.object.bytes,
		    result->u.object.len);
	g_free(f);
}

static void
on_text(void *arg, const rpc_result_t *result, const GError *err)
{
	fetch_t *f = arg;
	const rpc_config_t *config;

	if (err != NULL || !result->u.fetch_config.present) {
		config_sync_fetch_failed(
		    &f->host->config_sync, f->attempt, clock_now());
	} else {
		config = &result->u.fetch_config.fetch_config_result_t_u.config;
		fetched(
		    f->host, f->attempt, config->text, strlen(config->text));
	}
	g_free(f);
}

static char *
object_name(const digest_t *digest)
{
	char hex[DIGEST_HEX_CHARS + 1];

	digest_to_hex(digest, hex);
	return g_strconcat(OBJECTS_CONFIG, hex, NULL);
}

static void
fetch_store(host_t *h, const config_sync_action_t *a)
{
	char *name = object_name(&a->ref.digest);
	fetch_t *f = g_new0(fetch_t, 1);

	f->host = h;
	f->attempt = a->attempt;
	store_get_object(&h->store, name, on_object, f);
	g_free(name);
}

static void
fetch_peer(host_t *h, const config_sync_action_t *a)
{
	const char *name =
	    roster_host(&h->roster, (host_id_t)a->peer.host)->name;
	rpc_args_t args = {.proc = RPC_PROC_FETCH_CONFIG};
	fetch_t *f = g_new0(fetch_t, 1);

	f->host = h;
	f->attempt = a->attempt;
	args.u.fetch_config.config_version = a->ref.version;
	if (peers_call(h, name, &args, FETCH_TIMEOUT_MS, on_text, f))
		return;
	g_free(f);
	config_sync_fetch_failed(&h->config_sync, a->attempt, clock_now());
}

static void
run_actions(host_t *h, GArray *actions)
{
	const config_sync_action_t *a;
	guint i;

	for (i = 0; i < actions->len; i++) {
		a = &g_array_index(actions, config_sync_action_t, i);
		switch (a->kind) {
		case CONFIG_SYNC_FETCH_PEER:
			fetch_peer(h, a);
			break;
		case CONFIG_SYNC_FETCH_STORE:
			fetch_store(h, a);
			break;
		}
	}
	g_array_free(actions, TRUE);
}

void
config_ops_tick(host_t *h, msec_t now)
{
	GArray *out = actions_new();

	config_sync_tick(&h->config_sync, now, out);
	run_actions(h, out);
}

void
config_ops_serve_fetch(
    host_t *h, rpc_call_id_t call, const fetch_config_args_t *args)
{
	rpc_result_t result = {.proc = RPC_PROC_FETCH_CONFIG};
	fetch_config_result_t *r = &result.u.fetch_config;
	rpc_config_t *config = &r->fetch_config_result_t_u.config;

	if (h->catalog_text != NULL &&
	    h->config_sync.in_force.version == args->config_version) {
		r->present = TRUE;
		config->config_version = args->config_version;
		memcpy(config->digest, h->config_sync.in_force.digest.bytes,
		    RPC_DIGEST_SIZE);
		config->text = h->catalog_text;
	}
	rpc_server_answer(&h->rpc_server, call, &result);
}
