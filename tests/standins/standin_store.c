/*
 * Stands in for the platform: table service, object store and host list, in
 * memory, in the format of docs/PLATFORM.md. Faults are set by requests:
 *   GET /control?mode=ok      serve
 *   GET /control?mode=down    close each connection before any effect
 *   GET /control?mode=lose    take effect, then close without an answer
 *   GET /control?mode=refuse  answer 503 before any effect
 *   GET /control?delay_ms=N   answer after N ms
 *   GET /control?hosts=a,b,-c hosts that /v1/hosts lists ("-": leaving)
 *   GET /control?count=P      number of rows below prefix P
 *   GET /control              counts of reads and writes
 */
#include <sys/queue.h>

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <jansson.h>

typedef struct {
	char *value; /* NULL: deleted */
	uint64_t version;
} row_t;

typedef enum {
	MODE_OK,
	MODE_DOWN,
	MODE_LOSE,
	MODE_REFUSE,
} fault_mode_t;

static struct event_base *base;
static GTree *rows;	    /* key to row_t */
static GHashTable *objects; /* name to GBytes */
static uint64_t version;
static uint64_t reads, writes;
static fault_mode_t mode;
static int delay_ms;
static char *host_list;

static void
row_free(void *p)
{
	row_t *row = p;

	g_free(row->value);
	g_free(row);
}

static gint
key_cmp(gconstpointer a, gconstpointer b, gpointer unused)
{
	(void)unused;
	return strcmp(a, b);
}

typedef struct {
	struct evhttp_request *req;
	int status;
	char *text;
	size_t len;
	fault_mode_t mode;
} answer_t;

static void
send_answer(evutil_socket_t fd, short what, void *arg)
{
	answer_t *a = arg;
	struct evbuffer *body;

	(void)fd;
	(void)what;
	if (a->mode == MODE_LOSE || a->mode == MODE_DOWN) {
		evhttp_connection_free(evhttp_request_get_connection(a->req));
	} else {
		body = evbuffer_new();
		evbuffer_add(body, a->text, a->len);
		evhttp_send_reply(a->req, a->status, "-", body);
		evbuffer_free(body);
	}
	free(a->text);
	g_free(a);
}

/* Takes ownership of @text, which must be allocated with malloc(). */
static void
answer(struct evhttp_request *req, int status, char *text, size_t len)
{
	struct timeval tv = {delay_ms / 1000, (delay_ms % 1000) * 1000};
	answer_t *a = g_new0(answer_t, 1);

	a->req = req;
	a->status = status;
	a->text = text;
	a->len = len;
	a->mode = mode;
	event_base_once(base, -1, EV_TIMEOUT, send_answer, a, &tv);
}

static void
answer_json(struct evhttp_request *req, int status, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	answer(req, status, text, strlen(text));
}

static json_t *
row_json(const char *key, const row_t *row)
{
	return json_pack("{s:s, s:s?, s:I}", "key", key, "value", row->value,
	    "version", (json_int_t)row->version);
}

static void
get_row(struct evhttp_request *req, const char *key)
{
	const row_t *row = g_tree_lookup(rows, key);

	reads++;
	if (row == NULL || row->value == NULL)
		answer_json(req, 404, json_object());
	else
		answer_json(req, 200, row_json(key, row));
}

typedef struct {
	const char *prefix;
	uint64_t since;
	json_t *found;
} scan_t;

static gboolean
scan_row(gpointer key, gpointer value, gpointer arg)
{
	scan_t *scan = arg;
	const row_t *row = value;

	/* A scan from the beginning does not need deleted rows. */
	if (row->value == NULL && scan->since == 0)
		return FALSE;
	if (g_str_has_prefix(key, scan->prefix) && row->version > scan->since)
		json_array_append_new(scan->found, row_json(key, row));
	return FALSE;
}

static void
scan_rows(struct evhttp_request *req, const char *query)
{
	struct evkeyvalq args;
	const char *since;
	scan_t scan = {0};

	reads++;
	evhttp_parse_query_str(query != NULL ? query : "", &args);
	scan.prefix = evhttp_find_header(&args, "prefix");
	if (scan.prefix == NULL)
		scan.prefix = "";
	since = evhttp_find_header(&args, "since");
	scan.since = since != NULL ? strtoull(since, NULL, 10) : 0;
	scan.found = json_array();
	g_tree_foreach(rows, scan_row, &scan);
	answer_json(req, 200,
	    json_pack("{s:I, s:o}", "version", (json_int_t)version, "rows",
		scan.found));
	evhttp_clear_headers(&args);
}

static gboolean
checks_pass(json_t *checks)
{
	const row_t *row;
	json_t *check;
	uint64_t have;
	size_t i;

	json_array_foreach(checks, i, check)
	{
		row = g_tree_lookup(
		    rows, json_string_value(json_object_get(check, "key")));
		have = row != NULL && row->value != NULL ? row->version : 0;
		if (have !=
		    (uint64_t)json_integer_value(
			json_object_get(check, "version")))
			return FALSE;
	}
	return TRUE;
}

static void
apply_writes(json_t *list)
{
	json_t *write;
	row_t *row;
	size_t i;

	version++;
	json_array_foreach(list, i, write)
	{
		row = g_new0(row_t, 1);
		row->value = g_strdup(
		    json_string_value(json_object_get(write, "value")));
		row->version = version;
		g_tree_replace(rows,
		    g_strdup(json_string_value(json_object_get(write, "key"))),
		    row);
	}
}

static void
run_txn(struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	json_t *root =
	    json_loadb((const char *)evbuffer_pullup(in, -1), len, 0, NULL);

	writes++;
	if (root == NULL) {
		answer_json(req, 400, json_object());
		return;
	}
	if (checks_pass(json_object_get(root, "checks"))) {
		apply_writes(json_object_get(root, "writes"));
		answer_json(req, 200,
		    json_pack("{s:I}", "version", (json_int_t)version));
	} else {
		answer_json(req, 409, json_object());
	}
	json_decref(root);
}

static void
serve_object(struct evhttp_request *req, const char *name)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	GBytes *bytes;
	gsize size;
	const void *data;

	if (evhttp_request_get_command(req) == EVHTTP_REQ_PUT) {
		writes++;
		g_hash_table_replace(objects, g_strdup(name),
		    g_bytes_new(evbuffer_pullup(in, -1), len));
		answer_json(req, 200, json_object());
		return;
	}
	reads++;
	bytes = g_hash_table_lookup(objects, name);
	if (bytes == NULL) {
		answer_json(req, 404, json_object());
		return;
	}
	data = g_bytes_get_data(bytes, &size);
	answer(req, 200, memcpy(malloc(size + 1), data, size), size);
}

static void
list_hosts(struct evhttp_request *req)
{
	char **names = g_strsplit(host_list != NULL ? host_list : "", ",", -1);
	json_t *hosts = json_array();
	gboolean leaving;
	size_t i;

	reads++;
	for (i = 0; names[i] != NULL; i++) {
		if (*names[i] == '\0')
			continue;
		leaving = names[i][0] == '-';
		json_array_append_new(hosts,
		    json_pack("{s:s, s:s}", "id", names[i] + leaving, "state",
			leaving ? "leaving" : "live"));
	}
	g_strfreev(names);
	answer_json(req, 200, json_pack("{s:o}", "hosts", hosts));
}

static void
set_mode(const char *name)
{
	static const char *const names[] = {"ok", "down", "lose", "refuse"};
	int i;

	for (i = 0; i < 4; i++) {
		if (strcmp(name, names[i]) == 0)
			mode = (fault_mode_t)i;
	}
}

static size_t
count_rows(const char *prefix)
{
	scan_t scan = {prefix, 0, json_array()};
	size_t n;

	g_tree_foreach(rows, scan_row, &scan);
	n = json_array_size(scan.found);
	json_decref(scan.found);
	return n;
}

static void
control(struct evhttp_request *req, const char *query)
{
	struct evkeyvalq args;
	struct evbuffer *body = evbuffer_new();
	const char *value;

	evhttp_parse_query_str(query != NULL ? query : "", &args);
	value = evhttp_find_header(&args, "mode");
	if (value != NULL)
		set_mode(value);
	value = evhttp_find_header(&args, "delay_ms");
	if (value != NULL)
		delay_ms = atoi(value);
	value = evhttp_find_header(&args, "hosts");
	if (value != NULL) {
		g_free(host_list);
		host_list = g_strdup(value);
	}
	value = evhttp_find_header(&args, "count");
	if (value != NULL)
		evbuffer_add_printf(body, "rows=%zu ", count_rows(value));
	evhttp_clear_headers(&args);
	evbuffer_add_printf(body,
	    "reads=%" G_GUINT64_FORMAT " writes=%" G_GUINT64_FORMAT "\n",
	    (guint64)reads, (guint64)writes);
	evhttp_send_reply(req, 200, "OK", body);
	evbuffer_free(body);
}

static void
serve(struct evhttp_request *req, void *unused)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
	char *path = evhttp_uridecode(evhttp_uri_get_path(uri), 0, NULL);
	const char *query = evhttp_uri_get_query(uri);

	(void)unused;
	if (strcmp(path, "/control") == 0)
		control(req, query);
	else if (mode == MODE_DOWN)
		answer(req, 500, strdup(""), 0);
	else if (mode == MODE_REFUSE)
		answer_json(req, 503, json_object());
	else if (g_str_has_prefix(path, "/v1/rows/"))
		get_row(req, path + strlen("/v1/rows/"));
	else if (strcmp(path, "/v1/scan") == 0)
		scan_rows(req, query);
	else if (strcmp(path, "/v1/txn") == 0)
		run_txn(req);
	else if (g_str_has_prefix(path, "/v1/objects/"))
		serve_object(req, path + strlen("/v1/objects/"));
	else if (strcmp(path, "/v1/hosts") == 0)
		list_hosts(req);
	else
		answer_json(req, 404, json_object());
	free(path);
}

static void
stop(evutil_socket_t sig, short what, void *arg)
{
	(void)sig;
	(void)what;
	(void)arg;
	event_base_loopbreak(base);
}

int
main(int argc, char **argv)
{
	struct evhttp *http;
	struct event *term;

	if (argc != 2) {
		fprintf(stderr, "usage: %s PORT\n", argv[0]);
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	base = event_base_new();
	rows = g_tree_new_full(key_cmp, NULL, g_free, row_free);
	objects = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	http = evhttp_new(base);
	evhttp_set_gencb(http, serve, NULL);
	if (evhttp_bind_socket(http, "127.0.0.1", (uint16_t)atoi(argv[1])) !=
	    0) {
		fprintf(stderr, "standin_store: port %s is taken\n", argv[1]);
		return 1;
	}
	term = evsignal_new(base, SIGTERM, stop, NULL);
	event_add(term, NULL);
	event_base_dispatch(base);
	event_free(term);
	evhttp_free(http);
	g_tree_destroy(rows);
	g_hash_table_destroy(objects);
	g_free(host_list);
	event_base_free(base);
	return 0;
}
