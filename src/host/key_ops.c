#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "host/fenced.h"
#include "host/key_ops.h"

#define NOTIFY_TIMEOUT_MS 1000
#define FETCH_TIMEOUT_MS 2000
/* Maximum number of stored rows in one answer to FETCH_KEYS. */
#define FETCH_ROWS_MAX 1000

/* Context of one call or store request that is made for a withdrawal. */
typedef struct {
	host_t *host;
	uint32_t id;
	uint32_t attempt;
	replica_t replica;
} withdrawal_call_t;

static void run_actions(host_t *h, GArray *actions);

static GArray *
actions_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(withdrawal_action_t));
}

static withdrawal_call_t *
withdrawal_call_new(host_t *h, const withdrawal_action_t *a)
{
	withdrawal_call_t *p = g_new0(withdrawal_call_t, 1);

	p->host = h;
	p->id = a->id;
	if (a->kind == WITHDRAWAL_NOTIFY)
		p->replica = a->u.notify;
	else
		p->attempt = a->u.attempt;
	return p;
}

static char *
key_row_name(const digest_t *digest)
{
	char hex[DIGEST_HEX_CHARS + 1];

	digest_to_hex(digest, hex);
	return g_strconcat(ROWS_KEY, hex, NULL);
}

static GArray *
decode_keys(const rpc_key_row_t *rows, guint n)
{
	GArray *keys = g_array_new(FALSE, TRUE, sizeof(key_row_t));
	key_row_t row;
	guint i;

	for (i = 0; i < n; i++) {
		memcpy(row.digest.bytes, rows[i].digest, DIGEST_BYTES);
		row.workspace =
		    *rows[i].workspace != '\0' ? rows[i].workspace : NULL;
		row.version = rows[i].store_version;
		row.withdrawn = rows[i].withdrawn;
		g_array_append_val(keys, row);
	}
	return keys;
}

typedef struct {
	peer_t *peer;
	uint64_t since;
} fetch_t;

static void fetch_from(host_t *h, peer_t *peer);

static void
on_fetched(void *arg, const rpc_result_t *result, const GError *err)
{
	fetch_t *f = arg;
	peer_t *peer = f->peer;
	host_t *h = peer->host;
	const fetch_keys_result_t *r;
	GArray *keys;

	peer->fetching_keys = FALSE;
	if (err == NULL) {
		r = &result->u.fetch_keys;
		keys = decode_keys(r->keys.keys_val, r->keys.keys_len);
		key_sync_fetched(&h->key_sync,
		    (const key_row_t *)(const void *)keys->data, keys->len,
		    f->since, r->keys_version);
		g_array_free(keys, TRUE);
		if (r->more)
			fetch_from(h, peer);
	}
	g_free(f);
}

static void
fetch_from(host_t *h, peer_t *peer)
{
	rpc_args_t args = {.proc = RPC_PROC_FETCH_KEYS};
	fetch_t *f = g_new0(fetch_t, 1);

	f->peer = peer;
	f->since = keys_complete(&h->key_sync.keys);
	args.u.fetch_keys.since = f->since;
	peer->fetching_keys =
	    peers_call(h, peer->name, &args, FETCH_TIMEOUT_MS, on_fetched, f);
	if (!peer->fetching_keys)
		g_free(f);
}

void
key_ops_on_heartbeat(host_t *h, peer_t *peer, const rpc_heartbeat_t *beat)
{
	msec_t since = roster_promised_since(&h->roster);
	const key_sync_status_t status = {
	    .version = beat->keys_version,
	    .scan_age = beat->store_age_ms,
	};

	if (key_sync_on_answer(&h->key_sync, &status, peer->sent_at,
		since == ROSTER_NEVER ? FRESH_NEVER : since) &&
	    !peer->fetching_keys)
		fetch_from(h, peer);
}

static void
on_notified(void *arg, const rpc_result_t *result, const GError *err)
{
	withdrawal_call_t *p = arg;
	withdrawal_t *w =
	    withdrawals_get(&p->host->key_sync.withdrawals, p->id);

	/* Another incarnation's answer does not confirm for this one. */
	if (err == NULL && w != NULL && result->u.withdraw.confirmed &&
	    result->u.withdraw.incarnation == p->replica.incarnation)
		withdrawal_confirmed(w, p->replica);
	g_free(p);
}

static void
notify(host_t *h, const withdrawal_action_t *a, const withdrawal_t *w)
{
	const char *name =
	    roster_host(&h->roster, (host_id_t)a->u.notify.host)->name;
	rpc_args_t args = {.proc = RPC_PROC_WITHDRAW};
	rpc_withdrawal_t row = {.store_version = 0};
	withdrawal_call_t *p = withdrawal_call_new(h, a);

	memcpy(row.digest, w->digest.bytes, DIGEST_BYTES);
	args.u.withdraw.keys.keys_len = 1;
	args.u.withdraw.keys.keys_val = &row;
	if (!peers_call(h, name, &args, NOTIFY_TIMEOUT_MS, on_notified, p))
		g_free(p);
}

static void
on_row_written(void *arg, write_result_t result, uint64_t version)
{
	withdrawal_call_t *p = arg;
	withdrawal_t *w =
	    withdrawals_get(&p->host->key_sync.withdrawals, p->id);
	GArray *out = actions_new();

	if (w != NULL)
		withdrawal_written(
		    w, p->attempt, result, version, clock_now(), out);
	run_actions(p->host, out);
	mirror_scan(&p->host->mirror);
	g_free(p);
}

/* The write has a condition: the store still has the row version that the
 * mirror has. If the store has a newer one, the write ends as a conflict. */
static void
write_row(host_t *h, const withdrawal_action_t *a, const withdrawal_t *w)
{
	char *name = key_row_name(&w->digest);
	const mirror_row_t *before = mirror_get(&h->mirror, name);
	key_store_row_t value = {.token = h->token};
	store_check_t check = {name, 0};
	store_write_t write = {name, NULL};
	char *text;

	if (before != NULL &&
	    rows_decode(&row_key, before->value, &value, NULL))
		check.version = before->version;
	value.withdrawn = TRUE;
	text = rows_encode(&row_key, &value);
	write.value = text;
	fenced_write(
	    h, &check, 1, &write, 1, on_row_written, withdrawal_call_new(h, a));
	rows_clear(&row_key, &value);
	free(text);
	g_free(name);
}

static void
on_row_read(void *arg, const store_result_t *result, const GError *err)
{
	withdrawal_call_t *p = arg;
	withdrawal_t *w =
	    withdrawals_get(&p->host->key_sync.withdrawals, p->id);
	GArray *out = actions_new();
	key_store_row_t value = {0};
	commit_target_t target = COMMIT_TARGET_UNREAD;

	if (err == NULL) {
		target = COMMIT_TARGET_UNCHANGED;
		if (result->u.row.value != NULL &&
		    rows_decode(&row_key, result->u.row.value, &value, NULL))
			target = value.withdrawn ? COMMIT_TARGET_OURS
						 : COMMIT_TARGET_UNCHANGED;
		rows_clear(&row_key, &value);
	}
	if (w != NULL)
		withdrawal_read(w, p->attempt, target,
		    err == NULL ? result->u.row.version : 0, clock_now(), out);
	run_actions(p->host, out);
	g_free(p);
}

static void
read_row(host_t *h, const withdrawal_action_t *a, const withdrawal_t *w)
{
	char *name = key_row_name(&w->digest);

	store_get(&h->store, name, on_row_read, withdrawal_call_new(h, a));
	/* The next write checks the version that the mirror has. */
	mirror_scan(&h->mirror);
	g_free(name);
}

static void
report(const withdrawal_t *w)
{
	char hex[DIGEST_HEX_CHARS + 1];

	digest_to_hex(&w->digest, hex);
	log_event(LOG_INFO, "key.withdrawal", "digest", hex, "state",
	    withdrawal_state_name(w->state), NULL);
}

static void
run_actions(host_t *h, GArray *actions)
{
	const withdrawal_action_t *a;
	const withdrawal_t *w;
	guint i;

	for (i = 0; i < actions->len; i++) {
		a = &g_array_index(actions, withdrawal_action_t, i);
		w = withdrawals_get(&h->key_sync.withdrawals, a->id);
		if (w == NULL)
			continue;
		switch (a->kind) {
		case WITHDRAWAL_NOTIFY:
			notify(h, a, w);
			break;
		case WITHDRAWAL_WRITE:
			write_row(h, a, w);
			break;
		case WITHDRAWAL_READ:
			read_row(h, a, w);
			break;
		case WITHDRAWAL_REPORT:
			report(w);
			break;
		}
	}
	g_array_free(actions, TRUE);
}

uint32_t
key_ops_withdraw(host_t *h, const digest_t *digest)
{
	GArray *out = actions_new();
	uint32_t id = key_sync_withdraw(&h->key_sync, digest, clock_now(), out);

	run_actions(h, out);
	return id;
}

void
key_ops_tick(host_t *h, msec_t now)
{
	GArray *out = actions_new();

	key_sync_tick(&h->key_sync, roster_eligible(&h->roster, now), now, out);
	run_actions(h, out);
}

void
key_ops_serve_withdraw(
    host_t *h, rpc_call_id_t call, const withdraw_args_t *args)
{
	rpc_result_t result = {.proc = RPC_PROC_WITHDRAW};
	digest_t digest;
	guint i;

	for (i = 0; i < args->keys.keys_len; i++) {
		memcpy(
		    digest.bytes, args->keys.keys_val[i].digest, DIGEST_BYTES);
		key_sync_withdrawal_received(&h->key_sync, &digest);
	}
	result.u.withdraw.confirmed = TRUE;
	result.u.withdraw.incarnation = h->incarnation;
	result.u.withdraw.keys_version = keys_complete(&h->key_sync.keys);
	rpc_server_answer(&h->rpc_server, call, &result);
}

void
key_ops_serve_fetch(
    host_t *h, rpc_call_id_t call, const fetch_keys_args_t *args)
{
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(key_row_t));
	GArray *out = g_array_new(FALSE, TRUE, sizeof(rpc_key_row_t));
	rpc_result_t result = {.proc = RPC_PROC_FETCH_KEYS};
	fetch_keys_result_t *r = &result.u.fetch_keys;
	const key_row_t *row;
	rpc_key_row_t wire;
	guint i;

	r->keys_version =
	    keys_delta(&h->key_sync.keys, args->since, FETCH_ROWS_MAX, rows);
	r->more = r->keys_version < keys_complete(&h->key_sync.keys);
	for (i = 0; i < rows->len && i < RPC_KEYS_MAX; i++) {
		row = &g_array_index(rows, key_row_t, i);
		memcpy(wire.digest, row->digest.bytes, DIGEST_BYTES);
		wire.workspace =
		    (char *)(uintptr_t)(row->workspace != NULL ? row->workspace
							       : "");
		wire.withdrawn = row->withdrawn;
		wire.store_version = row->version;
		g_array_append_val(out, wire);
	}
	r->keys.keys_len = out->len;
	r->keys.keys_val = (rpc_key_row_t *)(void *)out->data;
	rpc_server_answer(&h->rpc_server, call, &result);
	g_array_free(out, TRUE);
	g_array_free(rows, TRUE);
}
