#include <sys/queue.h>

#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <sodium.h>

#include "coordination/lookup.h"
#include "coordination/roster.h"
#include "host/lookups.h"
#include "host/moves.h"
#include "host/refusal.h"
#include "state/digest.h"

/* A host's row as look-ups need it. */
typedef struct {
	lookup_host_t host; /* names and address owned */
	host_id_t id;	    /* HOST_NONE: not in the roster yet */
} entry_t;

typedef struct lookups {
	GArray *entries;	  /* entry_t */
	gboolean stale;		  /* a row has changed */
	uint64_t catalog_version; /* whose regions the entries refer to */
} lookups_t;

static void
entry_clear(void *p)
{
	entry_t *e = p;

	g_free((char *)(uintptr_t)e->host.name);
	g_free((char *)(uintptr_t)e->host.address);
	g_free((char *)(uintptr_t)e->host.domain);
}

void
lookups_init(host_t *h)
{
	h->lookups = g_new0(lookups_t, 1);
	h->lookups->entries = g_array_new(FALSE, TRUE, sizeof(entry_t));
	h->lookups->stale = TRUE;
	g_array_set_clear_func(h->lookups->entries, entry_clear);
}

void
lookups_finish(host_t *h)
{
	g_array_free(h->lookups->entries, TRUE);
	g_free(h->lookups);
}

void
lookups_scanned(host_t *h, const GArray *rows)
{
	guint i;

	for (i = 0; i < rows->len && !h->lookups->stale; i++)
		h->lookups->stale = g_str_has_prefix(
		    g_array_index(rows, store_row_t, i).key, ROWS_HOST);
}

static void
add_entry(void *arg, const char *name, const mirror_row_t *row)
{
	const host_t *h = arg;
	host_row_t value = {0};
	entry_t e = {.id = HOST_NONE};

	if (!rows_decode(&row_host, row->value, &value, NULL))
		return;
	if (value.state == HOST_LIVE) {
		e.host.name = g_strdup(name);
		e.host.address = g_strdup(value.callers);
		e.host.domain = g_strdup(value.domain);
		e.host.region = catalog_find_region(&h->catalog, value.region);
		if (h->incarnation != 0)
			e.id = roster_find(&h->roster, name);
		/* The roster may take in the row later than the mirror. */
		if (e.id == HOST_NONE)
			h->lookups->stale = TRUE;
		g_array_append_val(h->lookups->entries, e);
	}
	rows_clear(&row_host, &value);
}

static void
refresh_entries(host_t *h)
{
	lookups_t *l = h->lookups;

	if (!l->stale && l->catalog_version == h->catalog.version)
		return;
	l->stale = FALSE;
	l->catalog_version = h->catalog.version;
	g_array_set_size(l->entries, 0);
	mirror_each(&h->mirror, ROWS_HOST, add_entry, h);
}

/* Whether the host is live and the platform does not list it as leaving. */
static gboolean
is_available(const host_t *h, const entry_t *e, msec_t now)
{
	return e->id != HOST_NONE &&
	    !g_hash_table_contains(h->leaving, e->host.name) &&
	    (e->id == h->roster.self || roster_live(&h->roster, e->id, now));
}

/* The hosts that an answer may name, as lookup_host_t whose strings belong to
 * the entries. */
static GArray *
collect_available(host_t *h)
{
	GArray *found = g_array_new(FALSE, TRUE, sizeof(lookup_host_t));
	msec_t now = clock_now();
	const entry_t *e;
	guint i;

	refresh_entries(h);
	for (i = 0; i < h->lookups->entries->len; i++) {
		e = &g_array_index(h->lookups->entries, entry_t, i);
		if (is_available(h, e, now))
			g_array_append_val(found, e->host);
	}
	return found;
}

/* The workspace of the caller's key, or the service if there is no known key;
 * @part is set to the workspace's part of the sum of all rates, else to 1. */
static const char *
affinity_of(host_t *h, http_exchange_t *x, const char *service, double *part)
{
	const char *value =
	    evhttp_find_header(http_exchange_headers(x), "Authorization");
	const key_entry_t *entry;
	workspace_id_t id;
	double sum = 0;
	digest_t key;
	guint i;

	*part = 1;
	if (value == NULL ||
	    g_ascii_strncasecmp(value, "Bearer ", strlen("Bearer ")) != 0)
		return service;
	value += strlen("Bearer ");
	digest_of(value, strlen(value), &key);
	entry = keys_find(&h->key_sync.keys, &key);
	if (entry == NULL || entry->workspace == 0 || entry->withdrawn)
		return service;
	id = catalog_find_workspace(
	    &h->catalog, g_quark_to_string(entry->workspace));
	if (id == ID_NONE)
		return service;
	for (i = 0; i < h->catalog.workspaces->len; i++)
		sum += catalog_workspace(&h->catalog, (workspace_id_t)i)->rate;
	*part = catalog_workspace(&h->catalog, id)->rate / sum;
	return g_quark_to_string(entry->workspace);
}

static void
send_hosts(http_exchange_t *x, const char *service, uint32_t ttl_sec,
    const GArray *found)
{
	json_t *list = json_array();
	json_t *root = json_pack("{s:s, s:i, s:o}", "service", service,
	    "ttl_sec", (int)ttl_sec, "hosts", list);
	struct evbuffer *body = evbuffer_new();
	const lookup_host_t *host;
	struct evkeyvalq headers;
	char cache[32], *text;
	guint i;

	for (i = 0; i < found->len; i++) {
		host = &g_array_index(found, lookup_host_t, i);
		json_array_append_new(list,
		    json_pack("{s:s, s:s, s:i}", "host", host->name, "address",
			host->address, "weight", (int)host->weight));
	}
	TAILQ_INIT(&headers);
	g_snprintf(cache, sizeof(cache), "max-age=%u", ttl_sec);
	evhttp_add_header(&headers, "Cache-Control", cache);
	evhttp_add_header(&headers, "Content-Type", "application/json");
	text = json_dumps(root, JSON_COMPACT);
	evbuffer_add_printf(body, "%s\n", text);
	http_reply(x, HTTP_OK, &headers, body);
	evhttp_clear_headers(&headers);
	evbuffer_free(body);
	json_decref(root);
	free(text);
}

static region_id_t
requested_region(host_t *h, http_exchange_t *x)
{
	const struct evhttp_uri *uri = http_exchange_target(x);
	const char *query = evhttp_uri_get_query(uri);
	const char *name = NULL;
	struct evkeyvalq args;
	region_id_t id;

	TAILQ_INIT(&args);
	if (query != NULL && evhttp_parse_query_str(query, &args) == 0)
		name = evhttp_find_header(&args, "region");
	id = name != NULL ? catalog_find_region(&h->catalog, name) : ID_NONE;
	evhttp_clear_headers(&args);
	if (id != ID_NONE)
		return id;
	return catalog_find_region(&h->catalog, h->settings.region);
}

void
lookups_serve(host_t *h, http_exchange_t *x)
{
	const struct evhttp_uri *uri = http_exchange_target(x);
	const char *service = evhttp_uri_get_path(uri) + strlen(LOOKUPS_PREFIX);
	GArray *found;
	lookup_query_t q = {.catalog = &h->catalog};

	metrics_count(&h->metrics, h->m.lookups, 1);
	if (h->phase == HOST_STARTING) {
		refusal_send(x, REFUSAL_NOT_READY, RUN_NOT, MSEC_PER_SEC);
		return;
	}
	if (catalog_find_service(&h->catalog, service) == ID_NONE) {
		refusal_send(x, REFUSAL_UNKNOWN_SERVICE, RUN_NOT, 0);
		return;
	}
	found = collect_available(h);
	q.from = requested_region(h, x);
	q.affinity = affinity_of(h, x, service, &q.part);
	moves_order_lookup(h, service, &q, found);
	g_array_set_size(found,
	    (guint)lookup_select((lookup_host_t *)(void *)found->data,
		found->len, randombytes_random()));
	send_hosts(x, service, h->catalog.caps.lookup_ttl_sec, found);
	g_array_free(found, TRUE);
}
