#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "host/control.h"
#include "host/duty.h"
#include "host/fenced.h"

/* After this time without the duty, a host need not be the preferred one. */
#define PREFERRED_HOST_MS 4000

static char *
fence_name(const char *duty)
{
	return g_strconcat(ROWS_FENCE, duty, NULL);
}

static char *
renewal_name(const char *duty)
{
	return g_strconcat(ROWS_RENEWAL, duty, NULL);
}

duty_t *
duty_new(host_t *h, const char *name)
{
	duty_t *d = g_new0(duty_t, 1);

	d->host = h;
	d->name = g_strdup(name);
	lease_init(
	    &d->lease, &lease_default_terms, h->settings.id, h->incarnation);
	return d;
}

void
duty_free(duty_t *d)
{
	d->forgotten = TRUE;
	if (d->pending_answers > 0)
		return;
	g_free(d->name);
	g_free(d);
}

static void
read_rows(const duty_t *d, lease_row_t *row)
{
	char *fence_key = fence_name(d->name);
	char *renewal_key = renewal_name(d->name);
	const mirror_row_t *fence = mirror_get(&d->host->mirror, fence_key);
	const mirror_row_t *renewal = mirror_get(&d->host->mirror, renewal_key);
	renewal_row_t token = {0};
	fence_row_t value = {0};

	memset(row, 0, sizeof(*row));
	if (fence != NULL &&
	    rows_decode(&row_fence, fence->value, &value, NULL)) {
		row->fence_version = fence->version;
		g_strlcpy(row->holder, value.holder, sizeof(row->holder));
		row->incarnation = value.incarnation;
		row->epoch = value.epoch;
		row->released = value.released;
		rows_clear(&row_fence, &value);
	}
	if (renewal != NULL &&
	    rows_decode(&row_renewal, renewal->value, &token, NULL)) {
		row->renewal_version = renewal->version;
		row->token = token.token;
	}
	g_free(fence_key);
	g_free(renewal_key);
}

void
duty_scanned(duty_t *d, msec_t sent_at)
{
	lease_row_t row;

	if (!d->reading || sent_at < d->read_at)
		return;
	d->reading = FALSE;
	read_rows(d, &row);
	lease_read(&d->lease, &row, clock_now());
}

static lease_result_t
lease_result_of(write_result_t result)
{
	switch (result) {
	case WRITE_WON:
		return LEASE_WON;
	case WRITE_CONFLICT:
	case WRITE_FENCED:
	case WRITE_UNREACHABLE:
		return LEASE_CONFLICT;
	case WRITE_LOST:
		break;
	}
	return LEASE_LOST;
}

static void
on_written(void *arg, write_result_t result, uint64_t version)
{
	duty_t *d = arg;
	const lease_action_t *a = &d->action;
	uint64_t fence = a->op == LEASE_RENEW ? a->check_fence : version;
	uint64_t renewal =
	    a->op == LEASE_RELEASE ? d->lease.row.renewal_version : version;

	d->pending_answers--;
	if (d->forgotten) {
		duty_free(d);
		return;
	}
	if (a->op != LEASE_RENEW)
		log_event(LOG_INFO, "lease.write", "duty", d->name, "op",
		    a->op == LEASE_TAKE ? "take" : "release", "epoch",
		    log_num((long long)a->epoch), "won",
		    result == WRITE_WON ? "yes" : "no", NULL);
	lease_answered(
	    &d->lease, a, lease_result_of(result), fence, renewal, clock_now());
}

static void
write_lease(duty_t *d)
{
	const lease_action_t *a = &d->action;
	const fence_row_t fence = {
	    .holder = d->host->settings.id,
	    .incarnation = d->host->incarnation,
	    .epoch = a->epoch,
	    .released = a->op == LEASE_RELEASE,
	};
	const renewal_row_t renewal = {a->token};
	char *fence_key = fence_name(d->name);
	char *renewal_key = renewal_name(d->name);
	char *fence_text = rows_encode(&row_fence, &fence);
	char *renewal_text = rows_encode(&row_renewal, &renewal);
	store_check_t checks[2] = {
	    {fence_key, a->check_fence}, {renewal_key, a->check_renewal}};
	store_write_t writes[2];
	size_t n = 0;

	if (a->op != LEASE_RENEW)
		writes[n++] = (store_write_t){fence_key, fence_text};
	if (a->op != LEASE_RELEASE)
		writes[n++] = (store_write_t){renewal_key, renewal_text};
	d->pending_answers++;
	fenced_write(d->host, checks,
	    a->check_renewal == LEASE_ANY_VERSION ? 1 : 2, writes, n,
	    on_written, d);
	free(fence_text);
	free(renewal_text);
	g_free(fence_key);
	g_free(renewal_key);
}

/*
 * Each duty prefers one of the live hosts, chosen by a hash so that duties are
 * spread. After PREFERRED_HOST_MS any host may take it.
 */
static gboolean
is_preferred_host(const duty_t *d, msec_t now)
{
	const roster_t *r = &d->host->roster;
	const char *best = NULL, *name;
	guint i, hash, most = 0;
	char *duty_and_host;

	for (i = 0; i < r->hosts->len; i++) {
		if (i != r->self && !roster_live(r, (host_id_t)i, now))
			continue;
		name = roster_host(r, (host_id_t)i)->name;
		duty_and_host = g_strconcat(d->name, "@", name, NULL);
		hash = g_str_hash(duty_and_host) * 2654435761U;
		g_free(duty_and_host);
		if (best == NULL || hash > most) {
			best = name;
			most = hash;
		}
	}
	return best != NULL && strcmp(best, d->host->settings.id) == 0;
}

static gboolean
is_eligible(duty_t *d, msec_t now)
{
	host_t *h = d->host;

	if (!d->wanted || h->phase != HOST_SERVING ||
	    !roster_eligible(&h->roster, now))
		return FALSE;
	if (duty_held(d, now)) {
		d->not_held_since = 0;
		return TRUE;
	}
	if (d->not_held_since == 0)
		d->not_held_since = now;
	return is_preferred_host(d, now) ||
	    now - d->not_held_since > PREFERRED_HOST_MS;
}

static msec_t
promise_expires_at(const duty_t *d)
{
	const roster_t *r = &d->host->roster;
	host_id_t holder = roster_find(r, d->lease.row.holder);

	if (holder == HOST_NONE || holder == r->self)
		return LEASE_NEVER;
	return roster_promises_end_at(r, holder, FALSE);
}

void
duty_tick(duty_t *d, msec_t now)
{
	msec_t since = roster_promised_since(&d->host->roster);
	const lease_input_t in = {
	    .now = now,
	    .eligible = is_eligible(d, now),
	    .promised_since = since == ROSTER_NEVER ? LEASE_NEVER : since,
	    .promises_end_at = promise_expires_at(d),
	};

	lease_action_t action = lease_tick(&d->lease, &in);

	if (action.op != LEASE_NONE)
		d->action = action;
	switch (action.op) {
	case LEASE_NONE:
		break;
	case LEASE_READ:
		d->reading = TRUE;
		d->read_at = now;
		if (!d->lease.known)
			control_scan_soon(d->host, now);
		break;
	case LEASE_TAKE:
	case LEASE_RENEW:
	case LEASE_RELEASE:
		write_lease(d);
		break;
	}
}

gboolean
duty_held(const duty_t *d, msec_t now)
{
	return lease_valid(&d->lease, now);
}

char *
duty_holder(const host_t *h, const char *name, uint64_t *epoch)
{
	char *key = fence_name(name);
	const mirror_row_t *row = mirror_get(&h->mirror, key);
	fence_row_t value = {0};
	char *holder = NULL;

	*epoch = 0;
	if (row != NULL && rows_decode(&row_fence, row->value, &value, NULL)) {
		*epoch = value.epoch;
		if (!value.released)
			holder = g_strdup(value.holder);
		rows_clear(&row_fence, &value);
	}
	g_free(key);
	return holder;
}
