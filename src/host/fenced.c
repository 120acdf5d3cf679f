#include <string.h>

#include "base/error.h"
#include "host/fenced.h"
#include "host/join.h"

typedef struct {
	host_t *host;
	fenced_done_t done;
	void *arg;
	uint64_t own_version; /* of our roster row, as checked */
} write_t;

static void
finish(write_t *w, write_result_t result, uint64_t version)
{
	w->done(w->arg, result, version);
	g_free(w);
}

/* A check failed. If our roster row has changed, this incarnation is fenced;
 * otherwise another check has failed. */
static void
on_own_row(void *arg, const store_result_t *result, const GError *err)
{
	write_t *w = arg;

	if (err != NULL)
		finish(w, WRITE_LOST, 0);
	else if (result->u.row.version != w->own_version)
		finish(w, WRITE_FENCED, 0);
	else
		finish(w, WRITE_CONFLICT, 0);
}

static void
on_written(void *arg, const store_result_t *result, const GError *err)
{
	write_t *w = arg;
	char *own;

	if (err == NULL) {
		finish(w, WRITE_WON, result->u.version);
		return;
	}
	switch ((error_code_t)err->code) {
	case ERROR_CONFLICT:
		own = join_row_key(w->host->settings.id);
		store_get(&w->host->store, own, on_own_row, w);
		g_free(own);
		break;
	case ERROR_UNAVAILABLE:
	case ERROR_INVALID:
	case ERROR_DENIED:
	case ERROR_LIMIT:
		finish(w, WRITE_UNREACHABLE, 0);
		break;
	case ERROR_UNKNOWN:
		finish(w, WRITE_LOST, 0);
		break;
	}
}

void
fenced_write(host_t *h, const store_check_t *checks, size_t nchecks,
    const store_write_t *writes, size_t nwrites, fenced_done_t done, void *arg)
{
	store_check_t all[FENCED_CHECKS_MAX + 1];
	store_txn_t txn = {all, nchecks + 1, writes, nwrites};
	char *own = join_row_key(h->settings.id);
	write_t *w = g_new0(write_t, 1);

	g_assert(nchecks <= FENCED_CHECKS_MAX);
	w->host = h;
	w->done = done;
	w->arg = arg;
	w->own_version = h->row_version;
	all[0].key = own;
	all[0].version = h->row_version;
	memcpy(all + 1, checks, nchecks * sizeof(*checks));
	store_txn(&h->store, &txn, on_written, w);
	g_free(own);
}
