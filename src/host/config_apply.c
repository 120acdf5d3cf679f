#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "host/config_ops.h"
#include "host/fenced.h"

/* Context of one store request that is made for a change. */
typedef struct {
	config_apply_t *a;
	uint32_t attempt;
	apply_rows_t rows;
} pending_t;

static void run_actions(config_apply_t *a, GArray *actions);

static GArray *
actions_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(apply_action_t));
}

static pending_t *
pending_new(config_apply_t *a, uint32_t attempt)
{
	pending_t *pending = g_new0(pending_t, 1);

	pending->a = a;
	pending->attempt = attempt;
	a->pending_answers++;
	return pending;
}

/* Counts an answer of the store as received. Return: TRUE if the change is no
 * longer wanted; @a may have been freed. */
static gboolean
answer_received(config_apply_t *a)
{
	a->pending_answers--;
	if (!a->forgotten)
		return FALSE;
	config_ops_apply_free(a);
	return TRUE;
}

static char *
version_row_name(uint64_t version)
{
	return g_strdup_printf(
	    ROWS_CONFIG_VERSION "%" G_GUINT64_FORMAT, (guint64)version);
}

static void
on_put(void *arg, const store_result_t *result, const GError *err)
{
	config_apply_t *a = arg;
	GArray *out;

	(void)result;
	if (answer_received(a))
		return;
	out = actions_new();
	apply_put_done(&a->apply, err == NULL, clock_now(), out);
	run_actions(a, out);
}

static void
put_text(config_apply_t *a)
{
	char hex[DIGEST_HEX_CHARS + 1];
	char *name;

	digest_to_hex(&a->apply.digest, hex);
	name = g_strconcat(OBJECTS_CONFIG, hex, NULL);
	a->pending_answers++;
	store_put_object(
	    &a->host->store, name, a->text, strlen(a->text), on_put, a);
	g_free(name);
}

static void
on_written(void *arg, write_result_t result, uint64_t version)
{
	pending_t *pending = arg;
	config_apply_t *a = pending->a;
	uint32_t attempt = pending->attempt;
	GArray *out;

	(void)version;
	g_free(pending);
	if (answer_received(a))
		return;
	out = actions_new();
	apply_written(&a->apply, attempt, result, clock_now(), out);
	run_actions(a, out);
	mirror_scan(&a->host->mirror);
}

/* Returns the store version of the head row if that row names the change's
 * base; 0 if the base is 0 and no head row is known. Otherwise returns a store
 * version that no row has, so that the check of the write fails. */
static uint64_t
base_row_version(const config_apply_t *a)
{
	const mirror_row_t *row = mirror_get(&a->host->mirror, ROWS_CONFIG);
	config_row_t head = {0};

	if (row == NULL || !rows_decode(&row_config, row->value, &head, NULL))
		return a->apply.base == 0 ? 0 : UINT64_MAX >> 1;
	return head.version == a->apply.base ? row->version : UINT64_MAX >> 1;
}

static void
write_rows(config_apply_t *a, uint32_t attempt)
{
	const config_row_t value = {
	    a->apply.version, a->apply.digest, a->apply.token};
	char *name = version_row_name(a->apply.version);
	char *text = rows_encode(&row_config, &value);
	const store_check_t checks[] = {
	    {ROWS_CONFIG, base_row_version(a)},
	    {name, 0},
	};
	const store_write_t writes[] = {{ROWS_CONFIG, text}, {name, text}};

	fenced_write(a->host, checks, G_N_ELEMENTS(checks), writes,
	    G_N_ELEMENTS(writes), on_written, pending_new(a, attempt));
	free(text);
	g_free(name);
}

static void
finish_read(pending_t *pending, gboolean ok)
{
	config_apply_t *a = pending->a;
	GArray *out;

	if (!answer_received(a)) {
		out = actions_new();
		apply_read(&a->apply, pending->attempt,
		    ok ? &pending->rows : NULL, clock_now(), out);
		run_actions(a, out);
	}
	g_free(pending);
}

static void
on_version_row(void *arg, const store_result_t *result, const GError *err)
{
	pending_t *pending = arg;
	config_row_t value = {0};

	if (err == NULL && result->u.row.value != NULL) {
		pending->rows.taken = TRUE;
		rows_decode(&row_config, result->u.row.value, &value, NULL);
		pending->rows.token = value.token;
	}
	finish_read(pending, err == NULL);
}

/*
 * The head row is read before the version's own row. A version that the head
 * row shows as accepted has its own row by then, so the two reads can't
 * contradict each other.
 */
static void
on_head(void *arg, const store_result_t *result, const GError *err)
{
	pending_t *pending = arg;
	config_row_t head = {0};
	char *name;

	if (err != NULL) {
		finish_read(pending, FALSE);
		return;
	}
	if (result->u.row.value != NULL)
		rows_decode(&row_config, result->u.row.value, &head, NULL);
	pending->rows.head = head.version;
	name = version_row_name(pending->a->apply.version);
	store_get(&pending->a->host->store, name, on_version_row, pending);
	g_free(name);
}

static void
report(const config_apply_t *a)
{
	log_event(LOG_INFO, "config.apply", "version",
	    log_num((long long)a->apply.version), "state",
	    apply_state_name(a->apply.state), NULL);
}

static void
run_actions(config_apply_t *a, GArray *actions)
{
	const apply_action_t *action;
	guint i;

	for (i = 0; i < actions->len; i++) {
		action = &g_array_index(actions, apply_action_t, i);
		switch (action->kind) {
		case APPLY_PUT:
			put_text(a);
			break;
		case APPLY_WRITE:
			write_rows(a, action->u.attempt);
			break;
		case APPLY_READ:
			store_get(&a->host->store, ROWS_CONFIG, on_head,
			    pending_new(a, action->u.attempt));
			break;
		case APPLY_REPORT:
			report(a);
			break;
		}
	}
	g_array_free(actions, TRUE);
}

config_apply_t *
config_ops_apply(host_t *h, uint64_t base, const char *text, uint64_t token)
{
	config_apply_t *a = g_new0(config_apply_t, 1);
	GArray *out = actions_new();
	digest_t digest;

	a->host = h;
	a->text = g_strdup(text);
	digest_of(text, strlen(text), &digest);
	apply_begin(&a->apply, 0, base, &digest, token, clock_now(), out);
	run_actions(a, out);
	return a;
}

void
config_ops_apply_free(config_apply_t *a)
{
	a->forgotten = TRUE;
	if (a->pending_answers > 0)
		return;
	g_free(a->text);
	g_free(a);
}

static guint
count_in_force(config_apply_t *a, guint *hosts, msec_t now)
{
	host_t *h = a->host;
	const roster_host_t *row;
	guint i, n = 0;
	peer_t *peer;

	*hosts = 1;
	n = h->config_sync.in_force.version >= a->apply.version ? 1 : 0;
	for (i = 0; i < h->roster.hosts->len; i++) {
		if (i == h->roster.self ||
		    !roster_live(&h->roster, (host_id_t)i, now))
			continue;
		row = roster_host(&h->roster, (host_id_t)i);
		peer = peers_get(h, row->name);
		(*hosts)++;
		if (peer != NULL && peer->config_version >= a->apply.version)
			n++;
	}
	return n;
}

void
config_ops_apply_tick(config_apply_t *a, msec_t now)
{
	GArray *out = actions_new();
	guint hosts, n;

	n = count_in_force(a, &hosts, now);
	apply_tick(&a->apply, n, hosts, now, out);
	run_actions(a, out);
}
