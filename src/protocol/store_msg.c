#include <string.h>

#include <jansson.h>

#include "base/error.h"
#include "protocol/store_msg.h"

static gboolean
malformed(GError **err, const char *what)
{
	error_set(err, ERROR_INVALID, "store.decode", "store", "%s", what);
	return FALSE;
}

static json_t *
load(const char *text, size_t len, GError **err)
{
	json_error_t why;
	json_t *root = json_loadb(text, len, JSON_REJECT_DUPLICATES, &why);

	if (root == NULL || !json_is_object(root)) {
		malformed(err, root == NULL ? why.text : "expected an object");
		json_decref(root);
		return NULL;
	}
	return root;
}

char *
store_msg_txn(const store_txn_t *txn)
{
	json_t *checks = json_array(), *writes = json_array();
	json_t *root = json_object();
	char *text;
	size_t i;

	for (i = 0; i < txn->nchecks; i++)
		json_array_append_new(checks,
		    json_pack("{s:s, s:I}", "key", txn->checks[i].key,
			"version", (json_int_t)txn->checks[i].version));
	for (i = 0; i < txn->nwrites; i++)
		json_array_append_new(writes,
		    json_pack("{s:s, s:s?}", "key", txn->writes[i].key, "value",
			txn->writes[i].value));
	json_object_set_new(root, "checks", checks);
	json_object_set_new(root, "writes", writes);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static gboolean
get_version(const json_t *object, uint64_t *version)
{
	const json_t *v = json_object_get(object, "version");

	if (!json_is_integer(v) || json_integer_value(v) < 0)
		return FALSE;
	*version = (uint64_t)json_integer_value(v);
	return TRUE;
}

gboolean
store_msg_txn_answer(
    const char *text, size_t len, uint64_t *version, GError **err)
{
	json_t *root = load(text, len, err);
	gboolean ok;

	if (root == NULL)
		return FALSE;
	ok = get_version(root, version);
	json_decref(root);
	return ok ? TRUE : malformed(err, "expected a version");
}

static gboolean
get_row(const json_t *object, store_row_t *row)
{
	const json_t *key = json_object_get(object, "key");
	const json_t *value = json_object_get(object, "value");

	if (!json_is_string(key) || !get_version(object, &row->version) ||
	    !(json_is_string(value) || json_is_null(value)))
		return FALSE;
	row->key = g_strdup(json_string_value(key));
	row->value = g_strdup(json_string_value(value));
	return TRUE;
}

gboolean
store_msg_row(const char *text, size_t len, store_row_t *row, GError **err)
{
	json_t *root = load(text, len, err);
	gboolean ok;

	if (root == NULL)
		return FALSE;
	ok = get_row(root, row);
	json_decref(root);
	return ok ? TRUE : malformed(err, "expected key, value and version");
}

void
store_row_clear(void *p)
{
	store_row_t *row = p;

	g_free(row->key);
	g_free(row->value);
}

void
store_scan_clear(store_scan_t *scan)
{
	if (scan->rows != NULL)
		g_array_free(scan->rows, TRUE);
	scan->rows = NULL;
}

static gboolean
get_rows(const json_t *array, GArray *rows)
{
	const json_t *object;
	store_row_t row;
	size_t i;

	json_array_foreach(array, i, object)
	{
		if (!get_row(object, &row))
			return FALSE;
		g_array_append_val(rows, row);
	}
	return TRUE;
}

gboolean
store_msg_scan(const char *text, size_t len, store_scan_t *scan, GError **err)
{
	json_t *root = load(text, len, err);
	const json_t *array;
	gboolean ok;

	if (root == NULL)
		return FALSE;
	array = json_object_get(root, "rows");
	scan->rows = g_array_new(FALSE, TRUE, sizeof(store_row_t));
	g_array_set_clear_func(scan->rows, store_row_clear);
	ok = json_is_array(array) && get_version(root, &scan->version) &&
	    get_rows(array, scan->rows);
	json_decref(root);
	if (ok)
		return TRUE;
	store_scan_clear(scan);
	return malformed(err, "expected version and rows");
}

static void
listed_host_clear(void *p)
{
	listed_host_t *host = p;

	g_free(host->id);
}

static gboolean
get_hosts(const json_t *array, GArray *hosts)
{
	const json_t *object;
	const char *id, *state;
	listed_host_t host;
	size_t i;

	json_array_foreach(array, i, object)
	{
		id = json_string_value(json_object_get(object, "id"));
		state = json_string_value(json_object_get(object, "state"));
		if (id == NULL || state == NULL)
			return FALSE;
		host.id = g_strdup(id);
		host.leaving = strcmp(state, "leaving") == 0;
		g_array_append_val(hosts, host);
	}
	return TRUE;
}

GArray *
store_msg_hosts(const char *text, size_t len, GError **err)
{
	json_t *root = load(text, len, err);
	const json_t *array;
	GArray *hosts;
	gboolean ok;

	if (root == NULL)
		return NULL;
	array = json_object_get(root, "hosts");
	hosts = g_array_new(FALSE, TRUE, sizeof(listed_host_t));
	g_array_set_clear_func(hosts, listed_host_clear);
	ok = json_is_array(array) && get_hosts(array, hosts);
	json_decref(root);
	if (ok)
		return hosts;
	g_array_free(hosts, TRUE);
	malformed(err, "expected hosts with id and state");
	return NULL;
}
