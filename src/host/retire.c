#include "base/log.h"
#include "host/fenced.h"
#include "host/join.h"
#include "host/moves.h"
#include "host/retire.h"

#define LIST_PERIOD_MS 2000
#define RETIRE_PERIOD_MS 500

typedef struct {
	host_t *host;
	char *name;
	uint64_t incarnation;
} retirement_t;

static void
on_deleted(void *arg, write_result_t result, uint64_t version)
{
	retirement_t *r = arg;
	host_t *h = r->host;
	host_id_t id = roster_find(&h->roster, r->name);

	(void)version;
	log_event(LOG_WARN, "host.retired", "host", r->name, "incarnation",
	    log_num((long long)r->incarnation), "won",
	    result == WRITE_WON ? "yes" : "no", NULL);
	if (id != HOST_NONE &&
	    (result == WRITE_CONFLICT || result == WRITE_UNREACHABLE ||
		result == WRITE_FENCED))
		roster_retire_failed(&h->roster, id);
	mirror_scan(&h->mirror);
	g_free(r->name);
	g_free(r);
}

static void
retire(host_t *h, host_id_t id)
{
	const roster_host_t *row = roster_host(&h->roster, id);
	char *key = join_row_key(row->name);
	const store_check_t check = {key, row->version};
	const store_write_t write = {key, NULL};
	retirement_t *r = g_new0(retirement_t, 1);

	r->host = h;
	r->name = g_strdup(row->name);
	r->incarnation = row->incarnation;
	roster_retire_sent(&h->roster, id);
	fenced_write(h, &check, 1, &write, 1, on_deleted, r);
	g_free(key);
}

void
retire_tick(host_t *h, msec_t now)
{
	guint i;

	if (now < h->retire_at || !roster_eligible(&h->roster, now))
		return;
	h->retire_at = now + RETIRE_PERIOD_MS;
	for (i = 0; i < h->roster.hosts->len; i++) {
		if (roster_may_retire(&h->roster, (host_id_t)i, now))
			retire(h, (host_id_t)i);
	}
}

static void
on_listed(void *arg, const store_result_t *result, const GError *err)
{
	host_t *h = arg;
	GPtrArray *names;
	const listed_host_t *host;
	guint i;

	h->listing = FALSE;
	h->listed = TRUE;
	if (err != NULL)
		return;
	names = g_ptr_array_new();
	g_hash_table_remove_all(h->leaving);
	for (i = 0; i < result->u.hosts->len; i++) {
		host = &g_array_index(result->u.hosts, listed_host_t, i);
		g_ptr_array_add(names, host->id);
		if (host->leaving)
			g_hash_table_add(h->leaving, g_strdup(host->id));
	}
	roster_listed(
	    &h->roster, (const char *const *)names->pdata, names->len);
	g_ptr_array_free(names, TRUE);
	h->moves->tick_at = 0; /* so that it marks endpoints that leave */
}

void
retire_fetch_listed(host_t *h, msec_t now)
{
	if (h->listing || now < h->list_at)
		return;
	h->list_at = now + LIST_PERIOD_MS;
	h->listing = TRUE;
	store_hosts(&h->store, on_listed, h);
}
