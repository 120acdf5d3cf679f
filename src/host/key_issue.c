#include <stdlib.h>

#include "base/log.h"
#include "host/fenced.h"
#include "host/key_ops.h"

/* Context of one store request that is made for an issue. */
typedef struct {
	key_issue_t *k;
	uint32_t attempt;
} pending_t;

static void run_action(key_issue_t *k, commit_action_t action);

static char *
row_name(const key_issue_t *k)
{
	char hex[DIGEST_HEX_CHARS + 1];

	digest_to_hex(&k->issue.digest, hex);
	return g_strconcat(ROWS_KEY, hex, NULL);
}

static pending_t *
pending_new(key_issue_t *k)
{
	pending_t *a = g_new0(pending_t, 1);

	a->k = k;
	a->attempt = k->issue.commit.attempt;
	k->pending_answers++;
	return a;
}

/* Return: TRUE if the issue is no longer wanted; it may be freed then. */
static gboolean
end_wait(key_issue_t *k)
{
	k->pending_answers--;
	if (!k->forgotten)
		return FALSE;
	key_ops_issue_free(k);
	return TRUE;
}

static void
on_written(void *arg, write_result_t result, uint64_t version)
{
	pending_t *a = arg;
	key_issue_t *k = a->k;
	uint32_t attempt = a->attempt;

	g_free(a);
	if (end_wait(k))
		return;
	run_action(
	    k, issue_written(&k->issue, attempt, result, version, clock_now()));
	mirror_scan(&k->host->mirror);
}

static void
on_read(void *arg, const store_result_t *result, const GError *err)
{
	pending_t *a = arg;
	key_issue_t *k = a->k;
	uint32_t attempt = a->attempt;
	key_store_row_t value = {0};
	commit_target_t target = COMMIT_TARGET_UNREAD;

	g_free(a);
	if (end_wait(k))
		return;
	if (err == NULL && result->u.row.value == NULL) {
		target = COMMIT_TARGET_UNCHANGED;
	} else if (err == NULL) {
		target = COMMIT_TARGET_OTHERS;
		if (rows_decode(&row_key, result->u.row.value, &value, NULL) &&
		    value.token == k->issue.token)
			target = COMMIT_TARGET_OURS;
		rows_clear(&row_key, &value);
	}
	run_action(k,
	    issue_read(&k->issue, attempt, target,
		err == NULL ? result->u.row.version : 0, clock_now()));
}

static void
write_row(key_issue_t *k)
{
	const key_store_row_t value = {k->workspace, FALSE, k->issue.token};
	char *name = row_name(k);
	char *text = rows_encode(&row_key, &value);
	const store_check_t check = {name, 0};
	const store_write_t write = {name, text};

	fenced_write(k->host, &check, 1, &write, 1, on_written, pending_new(k));
	free(text);
	g_free(name);
}

static void
read_row(key_issue_t *k)
{
	char *name = row_name(k);

	store_get(&k->host->store, name, on_read, pending_new(k));
	g_free(name);
}

static void
run_action(key_issue_t *k, commit_action_t action)
{
	switch (action) {
	case COMMIT_NOTHING:
		break;
	case COMMIT_WRITE:
		write_row(k);
		break;
	case COMMIT_READ:
		read_row(k);
		break;
	}
}

key_issue_t *
key_ops_issue(
    host_t *h, const digest_t *digest, const char *workspace, uint64_t token)
{
	key_issue_t *k = g_new0(key_issue_t, 1);

	k->host = h;
	k->workspace = g_strdup(workspace);
	run_action(k, issue_begin(&k->issue, digest, token, clock_now()));
	return k;
}

void
key_ops_issue_free(key_issue_t *k)
{
	k->forgotten = TRUE;
	if (k->pending_answers > 0)
		return;
	g_free(k->workspace);
	g_free(k);
}

void
key_ops_issue_tick(key_issue_t *k, msec_t now)
{
	guint hosts, reached;

	reached = peers_reached(k->host, k->issue.commit.version, &hosts, now);
	run_action(k, issue_tick(&k->issue, reached, hosts, now));
}
