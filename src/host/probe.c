#include <string.h>

#include <jansson.h>

#include "base/log.h"
#include "host/poison_sync.h"
#include "host/probe.h"

#define PROBE_PATH "/health"
#define PROBE_TIMEOUT_MS 800
#define PROBE_MAX_BYTES 4096
/* Most probes of a crash check, which ends at the first probe that shows
 * whether the process is alive. It follows a request whose connection broke. */
#define CRASH_CHECK_TRIES 4

typedef struct {
	host_t *host;
	char *endpoint; /* a name, as the catalog may change during the probe */
	msec_t sent_at;
	unsigned tries; /* left, on new connections; 0: periodic probe */
} probe_t;

static void probe_one(host_t *h, const endpoint_t *e, unsigned tries);

static void
probe_free(void *arg)
{
	probe_t *p = arg;

	g_free(p->endpoint);
	g_free(p);
}

void
probe_init(host_t *h)
{
	h->probes = g_hash_table_new_full(NULL, NULL, probe_free, NULL);
}

void
probe_finish(host_t *h)
{
	g_hash_table_destroy(h->probes);
}

static void
take_report(const probe_t *p, const json_t *root)
{
	endpoint_id_t id =
	    catalog_find_endpoint(&p->host->catalog, p->endpoint);
	const char *health = json_string_value(json_object_get(root, "health"));
	const json_t *running = json_object_get(root, "running");
	const json_t *slots = json_object_get(root, "slots");
	endpoint_report_t report = {.taken_at = p->sent_at};

	if (id == ID_NONE || health == NULL)
		return;
	report.healthy = strcmp(health, "bad") != 0;
	report.draining = strcmp(health, "draining") == 0;
	if (json_is_number(running) && json_is_number(slots) &&
	    json_number_value(slots) > 0)
		report.load =
		    json_number_value(running) / json_number_value(slots);
	endpoint_stats_report(&p->host->stats, id, &report);
}

/*
 * A dying process may still accept a connection and close it without an answer,
 * which doesn't show whether it is alive. Once it has restarted, its death
 * can't be detected any more, so the check is repeated at once.
 */
static void
repeat_crash_check(const probe_t *p)
{
	endpoint_id_t id =
	    catalog_find_endpoint(&p->host->catalog, p->endpoint);

	if (p->tries > 1 && id != ID_NONE)
		probe_one(p->host, catalog_endpoint(&p->host->catalog, id),
		    p->tries - 1);
}

static void
on_done(void *arg, http_outcome_t outcome, int status,
    const struct evkeyvalq *headers, struct evbuffer *body)
{
	probe_t *p = arg;
	host_t *h = p->host;
	json_t *root = NULL;
	size_t len;

	(void)headers;
	if (outcome == HTTP_ANSWERED && status == HTTP_OK) {
		len = evbuffer_get_length(body);
		root = json_loadb((const char *)evbuffer_pullup(body, -1), len,
		    JSON_REJECT_DUPLICATES, NULL);
	}
	if (root != NULL)
		take_report(p, root);
	else
		metrics_count(&h->metrics, h->m.probes_failed, 1);
	if (outcome == HTTP_ANSWERED || outcome == HTTP_NOT_SENT) {
		poison_endpoint_seen(&h->poison, p->endpoint,
		    outcome == HTTP_ANSWERED, clock_now());
		poison_sync_flush(h);
	} else {
		repeat_crash_check(p);
	}
	json_decref(root);
	g_hash_table_remove(h->probes, p);
}

static void
probe_one(host_t *h, const endpoint_t *e, unsigned tries)
{
	http_request_t request = {
	    .address = e->address,
	    .method = EVHTTP_REQ_GET,
	    .path = PROBE_PATH,
	    .timeout_ms = PROBE_TIMEOUT_MS,
	    .max_body = PROBE_MAX_BYTES,
	    .new_connection = tries > 0,
	};
	http_handler_t handler = {.on_done = on_done};
	probe_t *p = g_new0(probe_t, 1);

	p->host = h;
	p->endpoint = g_strdup(e->name);
	p->sent_at = clock_now();
	p->tries = tries;
	handler.arg = p;
	if (http_call(h->http, &request, &handler) != NULL)
		g_hash_table_add(h->probes, p);
	else
		probe_free(p);
}

void
probe_all(host_t *h)
{
	guint i;

	if (h->first_probe_at == 0 && h->catalog.version != 0)
		h->first_probe_at = clock_now();
	for (i = 0; i < h->catalog.endpoints->len; i++)
		probe_one(
		    h, catalog_endpoint(&h->catalog, (endpoint_id_t)i), 0);
}

gboolean
probe_health_known(const host_t *h, msec_t now)
{
	return h->first_probe_at != 0 &&
	    (g_hash_table_size(h->probes) == 0 ||
		now - h->first_probe_at >= PROBE_TIMEOUT_MS);
}

void
probe_endpoint(host_t *h, const char *name)
{
	endpoint_id_t id = catalog_find_endpoint(&h->catalog, name);

	/* Idle connections may belong to the process that has died, so a crash
	 * check opens new ones. */
	if (id != ID_NONE)
		probe_one(
		    h, catalog_endpoint(&h->catalog, id), CRASH_CHECK_TRIES);
}
