#include <string.h>

#include "coordination/roster.h"

static roster_host_t *
host_at(const roster_t *r, host_id_t id)
{
	return &g_array_index(r->hosts, roster_host_t, id);
}

static void
host_clear(void *p)
{
	roster_host_t *h = p;

	g_free(h->name);
	g_free(h->rpc_address);
	g_free(h->region);
	g_free(h->domain);
}

static void
set_string(char **to, const char *from)
{
	if (g_strcmp0(*to, from) == 0)
		return;
	g_free(*to);
	*to = g_strdup(from);
}

static void
host_update(roster_host_t *h, const roster_row_t *row)
{
	set_string(&h->rpc_address, row->rpc_address);
	set_string(&h->region, row->region);
	set_string(&h->domain, row->domain);
	if (h->state != HOST_GONE)
		h->state = row->state;
}

/* Replaces a host's incarnation by a newer one. */
static void
host_replace(roster_host_t *h, const roster_row_t *row, msec_t now)
{
	h->prior_until = MAX(h->prior_until, h->promised_until);
	h->promised_until = ROSTER_NEVER;
	h->incarnation = row->incarnation;
	h->state = row->state;
	h->heard_at = now;
	h->replied_at = ROSTER_NEVER;
	h->promised_at = ROSTER_NEVER;
	h->acknowledged = FALSE;
	h->sequence = 0;
	h->retiring = FALSE;
	h->retire_sent = FALSE;
	host_update(h, row);
}

static host_id_t
host_add(roster_t *r, const roster_row_t *row, msec_t now)
{
	roster_host_t h;

	memset(&h, 0, sizeof(h));
	h.name = g_strdup(row->name);
	h.promised_until = ROSTER_NEVER;
	h.prior_until = ROSTER_NEVER;
	h.listed = TRUE;
	host_replace(&h, row, now);
	g_array_append_val(r->hosts, h);
	return (host_id_t)(r->hosts->len - 1);
}

void
roster_init(roster_t *r, const roster_row_t *self)
{
	memset(r, 0, sizeof(*r));
	r->hosts = g_array_new(FALSE, TRUE, sizeof(roster_host_t));
	g_array_set_clear_func(r->hosts, host_clear);
	r->acknowledged_at = ROSTER_NEVER;
	r->self = host_add(r, self, 0);
}

void
roster_finish(roster_t *r)
{
	g_array_free(r->hosts, TRUE);
}

host_id_t
roster_find(const roster_t *r, const char *name)
{
	guint i;

	for (i = 0; i < r->hosts->len; i++) {
		if (strcmp(host_at(r, i)->name, name) == 0)
			return (host_id_t)i;
	}
	return HOST_NONE;
}

const roster_host_t *
roster_host(const roster_t *r, host_id_t id)
{
	return host_at(r, id);
}

/* Records the time at which every other host has acknowledged us. */
static void
check_acknowledged(roster_t *r, msec_t now)
{
	const roster_host_t *h;
	guint i;

	if (r->acknowledged_at != ROSTER_NEVER ||
	    r->synced < host_at(r, r->self)->incarnation)
		return;
	for (i = 0; i < r->hosts->len; i++) {
		h = host_at(r, i);
		if (i != r->self && h->state != HOST_GONE && !h->acknowledged)
			return;
	}
	r->acknowledged_at = now;
}

void
roster_scan_begin(roster_t *r)
{
	r->scan++;
}

void
roster_row(roster_t *r, const roster_row_t *row, uint64_t version, msec_t now)
{
	host_id_t id = roster_find(r, row->name);
	roster_host_t *h = id == HOST_NONE ? NULL : host_at(r, id);

	/* A complete scan didn't find this incarnation: its row is gone. */
	if ((h == NULL || row->incarnation > h->incarnation) &&
	    row->incarnation <= r->synced)
		return;
	if (h != NULL && id == r->self && row->incarnation > h->incarnation) {
		r->superseded = TRUE;
		return;
	}
	if (h == NULL)
		h = host_at(r, host_add(r, row, now));
	else if (row->incarnation > h->incarnation)
		host_replace(h, row, now);
	if (row->incarnation != h->incarnation)
		return;
	h->scan = r->scan;
	if (version < h->version)
		return;
	h->version = version;
	host_update(h, row);
}

static void
host_gone(roster_t *r, host_id_t id)
{
	host_at(r, id)->state = HOST_GONE;
	if (id == r->self)
		r->superseded = TRUE;
}

void
roster_scan_end(roster_t *r, uint64_t synced, msec_t now)
{
	const roster_host_t *h;
	guint i;

	for (i = 0; i < r->hosts->len; i++) {
		h = host_at(r, i);
		if (h->scan != r->scan && h->incarnation <= synced)
			host_gone(r, (host_id_t)i);
	}
	r->synced = MAX(r->synced, synced);
	check_acknowledged(r, now);
}

void
roster_gone(roster_t *r, const char *name, uint64_t incarnation, msec_t now)
{
	host_id_t id = roster_find(r, name);

	if (id == HOST_NONE || host_at(r, id)->incarnation > incarnation)
		return;
	host_gone(r, id);
	check_acknowledged(r, now);
}

void
roster_listed(roster_t *r, const char *const *names, size_t n)
{
	host_id_t id;
	size_t i;

	for (i = 0; i < r->hosts->len; i++)
		host_at(r, (host_id_t)i)->listed = FALSE;
	for (i = 0; i < n; i++) {
		id = roster_find(r, names[i]);
		if (id != HOST_NONE)
			host_at(r, id)->listed = TRUE;
	}
}

/* Whether the incarnation in @row is known to have left the roster. */
static gboolean
row_is_outdated(
    const roster_t *r, const roster_host_t *h, const roster_row_t *row)
{
	if (h != NULL && row->incarnation == h->incarnation)
		return h->state == HOST_GONE;
	if (h != NULL && row->incarnation < h->incarnation)
		return TRUE;
	return row->incarnation <= r->synced;
}

static void
host_on_message(roster_host_t *h, msec_t at)
{
	h->heard_at = MAX(h->heard_at, at);
	/* Once sent, the delete may have taken effect and can't be undone. */
	if (h->retiring && !h->retire_sent)
		h->retiring = FALSE;
}

static void
reply_fill(roster_t *r, host_id_t id, gboolean may_promise, msec_t now,
    roster_reply_t *reply)
{
	const roster_host_t *self = host_at(r, r->self);
	roster_host_t *h = host_at(r, id);

	/* Until our first scan we can't tell which hosts were retired. */
	reply->acknowledges = r->synced >= self->incarnation;
	reply->promises = reply->acknowledges && may_promise && !h->retiring &&
	    !r->superseded && self->state != HOST_GONE;
	if (reply->promises)
		h->promised_until =
		    MAX(h->promised_until, now + ROSTER_PROMISE_MS);
}

host_id_t
roster_on_request(roster_t *r, const roster_row_t *from, uint64_t sequence,
    gboolean may_promise, msec_t now, roster_reply_t *reply)
{
	host_id_t id = roster_find(r, from->name);
	roster_host_t *h = id == HOST_NONE ? NULL : host_at(r, id);

	memset(reply, 0, sizeof(*reply));
	reply->incarnation = host_at(r, r->self)->incarnation;
	reply->state = host_at(r, r->self)->state;
	if (h != NULL && id == r->self && from->incarnation > h->incarnation)
		r->superseded = TRUE;
	else if (row_is_outdated(r, h, from))
		reply->superseded = TRUE;
	if (reply->superseded || r->superseded)
		return HOST_NONE;
	if (h == NULL)
		id = host_add(r, from, now);
	else if (from->incarnation > h->incarnation)
		host_replace(h, from, now);
	h = host_at(r, id);
	if (sequence > h->sequence) {
		h->sequence = sequence;
		host_update(h, from);
		host_on_message(h, now);
	}
	reply_fill(r, id, may_promise, now, reply);
	return id;
}

void
roster_on_reply(roster_t *r, host_id_t id, const roster_reply_t *reply,
    msec_t sent_at, msec_t now)
{
	roster_host_t *h = host_at(r, id);
	roster_row_t row = {h->name, reply->incarnation, reply->state,
	    h->rpc_address, h->region, h->domain};

	if (reply->superseded ||
	    (id == r->self && reply->incarnation > h->incarnation)) {
		r->superseded = TRUE;
		return;
	}
	if (row_is_outdated(r, h, &row))
		return;
	if (reply->incarnation > h->incarnation)
		host_replace(h, &row, sent_at);
	if (sent_at >= h->replied_at) {
		h->replied_at = sent_at;
		h->state = id == r->self ? h->state : reply->state;
	}
	host_on_message(h, sent_at);
	h->acknowledged = h->acknowledged || reply->acknowledges;
	if (reply->promises)
		h->promised_at = MAX(h->promised_at, sent_at);
	check_acknowledged(r, now);
}

void
roster_tick(roster_t *r, msec_t now)
{
	roster_host_t *h;
	msec_t timeout;
	guint i;

	for (i = 0; i < r->hosts->len; i++) {
		h = host_at(r, i);
		timeout = h->listed ? SILENT_LISTED_MS : SILENT_MS;
		if (i != r->self && h->state != HOST_GONE &&
		    now - h->heard_at >= timeout)
			h->retiring = TRUE;
	}
}

gboolean
roster_may_retire(const roster_t *r, host_id_t id, msec_t now)
{
	const roster_host_t *h = host_at(r, id);

	if (id == r->self || !roster_eligible(r, now))
		return FALSE;
	if (h->state == HOST_GONE)
		return r->scan > 0 && h->scan == r->scan;
	return h->retiring && now >= roster_promises_end_at(r, id, FALSE);
}

void
roster_retire_sent(roster_t *r, host_id_t id)
{
	host_at(r, id)->retire_sent = TRUE;
}

void
roster_retire_failed(roster_t *r, host_id_t id)
{
	host_at(r, id)->retire_sent = FALSE;
}

gboolean
roster_live(const roster_t *r, host_id_t id, msec_t now)
{
	const roster_host_t *h = host_at(r, id);

	if (h->state == HOST_GONE)
		return FALSE;
	return id == r->self || now - h->heard_at < LIVE_MS;
}

gboolean
roster_superseded(const roster_t *r)
{
	return r->superseded;
}

gboolean
roster_eligible(const roster_t *r, msec_t now)
{
	/*
	 * Before a host acknowledged us, it may have relied on the promises of
	 * the other hosts alone. These must have expired.
	 */
	return !r->superseded && r->acknowledged_at != ROSTER_NEVER &&
	    now >=
	    r->acknowledged_at + ROSTER_PROMISE_MS + ROSTER_PROMISE_DRIFT_MS;
}

msec_t
roster_promised_since(const roster_t *r)
{
	const roster_host_t *self = host_at(r, r->self), *h;
	msec_t since = INT64_MAX;
	guint i;

	if (r->superseded || r->synced < self->incarnation)
		return ROSTER_NEVER;
	for (i = 0; i < r->hosts->len; i++) {
		h = host_at(r, i);
		if (i != r->self && h->state != HOST_GONE)
			since = MIN(since, h->promised_at);
	}
	return since == INT64_MAX ? self->promised_at : since;
}

msec_t
roster_promises_end_at(const roster_t *r, host_id_t id, gboolean confirmed)
{
	const roster_host_t *h = host_at(r, id);
	msec_t until = h->prior_until;

	if (!confirmed && h->state != HOST_GONE)
		until = MAX(until, h->promised_until);
	return until == ROSTER_NEVER ? until : until + ROSTER_PROMISE_DRIFT_MS;
}
