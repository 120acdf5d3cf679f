#include <string.h>

#include "base/log.h"
#include "host/proxy.h"
#include "host/limits.h"
#include "host/peers.h"
#include "host/slots.h"

#define DUTY_PREFIX "lend/"
/* No host can have an older version in force, so none is waited for. */
#define CONFIG_FIRST_VERSION 1

static void
share_free(void *p)
{
	limit_share_t *s = p;

	g_free(s->workspace);
	duty_free(s->duty);
	lender_finish(&s->lender);
	g_queue_free(s->waiting);
	g_free(s);
}

void
limits_init(host_t *h)
{
	h->shares =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, share_free);
}

void
limits_finish(host_t *h)
{
	g_hash_table_destroy(h->shares);
}

/* With the baseline policy the slots hold the whole limit; nothing is lent. */
static shares_t
slot_shares(const host_t *h)
{
	const shares_t fixed = {1000, 0};

	return h->settings.baseline ? fixed : borrower_shares();
}

static limit_share_t *
share_new(host_t *h, const char *workspace)
{
	limit_share_t *s = g_new0(limit_share_t, 1);
	char *duty = g_strconcat(DUTY_PREFIX, workspace, NULL);

	s->host = h;
	s->workspace = g_strdup(workspace);
	s->duty = duty_new(h, duty);
	s->duty->wanted = TRUE;
	s->waiting = g_queue_new();
	borrower_init(&s->borrower, h->roster.self, h->incarnation,
	    slot_shares(h), clock_now());
	lender_init(&s->lender);
	g_hash_table_insert(h->shares, s->workspace, s);
	g_free(duty);
	return s;
}

/* Whether all roster hosts have reported the present configuration in force. */
static gboolean
all_report_config(const host_t *h, msec_t now)
{
	const roster_host_t *row;
	const peer_t *peer;
	guint i;

	for (i = 0; i < h->roster.hosts->len; i++) {
		row = roster_host(&h->roster, (host_id_t)i);
		if (i == h->roster.self || row->state == HOST_GONE)
			continue;
		peer = peers_get(h, row->name);
		if (peer == NULL ||
		    peer->heard_incarnation != row->incarnation ||
		    peer->config_version < h->catalog.version)
			return FALSE;
	}
	return now != 0;
}

static lendable_t
lendable_part(const limit_share_t *s)
{
	const catalog_t *c = &s->host->catalog;
	const workspace_t *w =
	    catalog_workspace(c, catalog_find_workspace(c, s->workspace));

	return limit_lendable(limit_make(w->rate, w->burst),
	    slot_shares(s->host), c->caps.hosts, s->settled == c->version);
}

static void
configure_share(limit_share_t *s, const workspace_t *w, msec_t now)
{
	const host_t *h = s->host;
	const borrower_config_t config = {
	    .limit = limit_make(w->rate, w->burst),
	    .slots = h->catalog.caps.hosts,
	    .slot = h->slot,
	};

	s->present = TRUE;
	s->duty->wanted = TRUE;
	s->agreed_at = 0;
	borrower_configure(&s->borrower, &config, now);
	/* The slot may have come after the configuration was settled. */
	if (s->settled == h->catalog.version)
		borrower_settled(&s->borrower, now);
	if (s->lending != 0)
		lender_configure(&s->lender, lendable_part(s), now);
}

void
limits_configure(host_t *h)
{
	msec_t now = clock_now();
	const workspace_t *w;
	GHashTableIter iter;
	limit_share_t *s;
	gpointer value;
	guint i;

	if (h->incarnation == 0)
		return;
	g_hash_table_iter_init(&iter, h->shares);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		s = value;
		s->present = FALSE;
		s->duty->wanted = FALSE;
	}
	for (i = 0; i < h->catalog.workspaces->len; i++) {
		w = catalog_workspace(&h->catalog, (workspace_id_t)i);
		s = g_hash_table_lookup(h->shares, w->name);
		if (s == NULL)
			s = share_new(h, w->name);
		configure_share(s, w, now);
	}
}

/* Starts or stops lending when the lease is won or lost. */
static void
update_lending(limit_share_t *s, msec_t now)
{
	uint64_t epoch = lease_epoch(&s->duty->lease);
	gboolean held = s->present && duty_held(s->duty, now);

	if (held && s->lending != epoch) {
		s->lending = epoch;
		lender_start(&s->lender, epoch, lendable_part(s), now);
		log_event(LOG_INFO, "limit.lending", "workspace", s->workspace,
		    "epoch", log_num((long long)epoch), NULL);
	} else if (!held && s->lending != 0) {
		s->lending = 0;
		lender_stop(&s->lender);
	}
}

static void
update_settled(limit_share_t *s, msec_t now)
{
	uint64_t version = s->host->catalog.version;
	gboolean first = version == CONFIG_FIRST_VERSION;

	if (!s->present || s->settled == version)
		return;
	if (!first && !all_report_config(s->host, now)) {
		s->agreed_at = 0;
		return;
	}
	/* A host that left the roster with an older version in force may still
	 * count as fresh for FRESH_LAPSE_MS. */
	if (s->agreed_at == 0)
		s->agreed_at = now;
	if (!first && now - s->agreed_at <= FRESH_LAPSE_MS)
		return;
	s->agreed_at = 0;
	s->settled = version;
	borrower_settled(&s->borrower, now);
	if (s->lending != 0)
		lender_configure(&s->lender, lendable_part(s), now);
}

/* Admits waiting requests, in the order in which they came. */
static void
admit_waiting(limit_share_t *s, msec_t now)
{
	gboolean fresh = freshness_ok(&s->host->key_sync.fresh, now);
	proxy_request_t *pr;
	admit_t a;

	while ((pr = g_queue_peek_head(s->waiting)) != NULL) {
		a = borrower_admit(
		    &s->borrower, pr->arrived_at, TRUE, fresh, clock_now());
		if (a.kind == ADMIT_WAIT) {
			s->retry_at = a.until;
			return;
		}
		g_queue_pop_head(s->waiting);
		pr->share = NULL;
		proxy_admitted(pr, a.kind, a.until - now);
	}
	s->retry_at = INT64_MAX;
}

/* Refuses waiting requests whose caller's deadline has passed. */
static void
refuse_overdue(limit_share_t *s, msec_t now)
{
	GList *link = s->waiting->head, *next;
	proxy_request_t *pr;

	for (; link != NULL; link = next) {
		next = link->next;
		pr = link->data;
		if (pr->request.timeout_ms == 0 ||
		    now < pr->arrived_at + pr->request.timeout_ms)
			continue;
		limits_forget(pr);
		proxy_refuse(pr, REFUSAL_DEADLINE, RUN_NOT, 0);
	}
}

void
limits_take_answer(limit_share_t *s, const borrow_answer_t *answer)
{
	msec_t now = clock_now();

	if (borrower_answered(&s->borrower, answer, now))
		admit_waiting(s, now);
}

static void
tick_share(limit_share_t *s, msec_t now)
{
	borrow_request_t q;

	duty_tick(s->duty, now);
	update_lending(s, now);
	update_settled(s, now);
	if (s->present &&
	    borrower_ask(&s->borrower,
		freshness_ok(&s->host->key_sync.fresh, now), now, &q))
		limits_request_tokens(s, &q, now);
	refuse_overdue(s, now);
	if (s->waiting->length > 0 && now >= s->retry_at)
		admit_waiting(s, now);
}

void
limits_tick(host_t *h, msec_t now)
{
	GHashTableIter iter;
	gpointer value;

	slots_tick(h, now);
	g_hash_table_iter_init(&iter, h->shares);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		tick_share(value, now);
}

void
limits_scanned(host_t *h, msec_t sent_at)
{
	GHashTableIter iter;
	limit_share_t *s;
	uint64_t epoch;
	gpointer value;

	g_hash_table_iter_init(&iter, h->shares);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		s = value;
		duty_scanned(s->duty, sent_at);
		/* A newer lender ends the wait for an earlier one. */
		g_free(duty_holder(h, s->duty->name, &epoch));
		borrower_epoch(&s->borrower, epoch, clock_now());
	}
}

admit_kind_t
limits_admit(proxy_request_t *pr, msec_t *retry_ms)
{
	host_t *h = pr->host;
	limit_share_t *s = g_hash_table_lookup(h->shares, pr->workspace);
	msec_t now = clock_now();
	borrow_request_t q;
	admit_t a;

	if (s == NULL || !s->present)
		return ADMIT_STALE;
	a = borrower_admit(&s->borrower, pr->arrived_at, FALSE,
	    freshness_ok(&h->key_sync.fresh, now), now);
	*retry_ms = MAX(a.until - now, 1);
	if (a.kind == ADMIT_WAIT) {
		pr->share = s;
		g_queue_push_tail(s->waiting, pr);
		s->retry_at = s->waiting->length > 1 ? MIN(s->retry_at, a.until)
						     : a.until;
	}
	if (borrower_ask(&s->borrower,
		freshness_ok(&s->host->key_sync.fresh, now), now, &q))
		limits_request_tokens(s, &q, now);
	return a.kind;
}

void
limits_forget(proxy_request_t *pr)
{
	limit_share_t *s = pr->share;

	if (s == NULL)
		return;
	pr->share = NULL;
	g_queue_remove(s->waiting, pr);
	borrower_cancel(&s->borrower);
}

gboolean
limits_withholds(const host_t *h, const char *name)
{
	GHashTableIter iter;
	const char *holder;
	gpointer value;

	g_hash_table_iter_init(&iter, h->shares);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		holder =
		    lease_withholds(&((limit_share_t *)value)->duty->lease);
		if (holder != NULL && strcmp(holder, name) == 0)
			return TRUE;
	}
	return FALSE;
}
