#include <string.h>

#include "coordination/poison_death.h"
#include "coordination/poison_record.h"

guint
fingerprint_hash(gconstpointer f)
{
	guint h;

	memcpy(&h, f, sizeof(h));
	return h;
}

poison_record_t *
poison_record_find(const poison_t *p, const fingerprint_t *f)
{
	return g_hash_table_lookup(p->records, f);
}

poison_record_t *
poison_record_ensure(poison_t *p, const fingerprint_t *f)
{
	poison_record_t *r = poison_record_find(p, f);

	if (r)
		return r;
	r = g_new0(poison_record_t, 1);
	g_hash_table_insert(p->records, g_memdup2(f, sizeof(*f)), r);
	return r;
}

void
poison_queue_event(poison_t *p, poison_event_kind_t kind,
    const fingerprint_t *f, const char *endpoint)
{
	poison_event_t event = {.kind = kind, .endpoint = endpoint};

	event.fingerprint = *f;
	g_array_append_val(p->events, event);
}

/* Finds the row for a recent answer; rows are indexed by the fingerprint's
 * first bytes. */
static poison_answered_t *
answered_row(poison_t *p, const fingerprint_t *f)
{
	return &p->answered[fingerprint_hash(f) % POISON_ANSWERED_ROWS];
}

void
poison_record_answered(poison_t *p, const fingerprint_t *f, msec_t now)
{
	poison_answered_t *row = answered_row(p, f);

	row->used = TRUE;
	row->fingerprint = *f;
	row->at = now;
}

gboolean
poison_record_consume_answer(poison_t *p, const fingerprint_t *f, msec_t now)
{
	poison_answered_t *row = answered_row(p, f);

	if (!row->used || !fingerprint_equal(&row->fingerprint, f))
		return FALSE;
	row->used = FALSE;
	return now - row->at <= POISON_ANSWER_TTL_MS;
}

void
poison_record_clear(poison_t *p, const fingerprint_t *f, msec_t at)
{
	poison_record_t *r = poison_record_ensure(p, f);

	poison_death_clear(p, f, at);
	r->cleared = TRUE;
	r->cleared_at = MAX(r->cleared_at, at);
	r->refused = FALSE;
	r->refuse_ms = 0;
}

void
poison_record_yield(poison_t *p, const fingerprint_t *f)
{
	poison_run_t *run;
	guint i;

	for (i = 0; i < p->runs->len; i++) {
		run = &g_array_index(p->runs, poison_run_t, i);
		if (run->pending && fingerprint_equal(&run->fingerprint, f))
			run->yield = TRUE;
	}
}

static poison_claim_t *
claim_at(const poison_t *p, guint i)
{
	return &g_array_index(p->claims, poison_claim_t, i);
}

void
poison_claim_add(poison_t *p, const fingerprint_t *f, uint64_t peer,
    const char *endpoint, msec_t now)
{
	poison_claim_t c = {*f, peer, endpoint, now + POISON_CLAIM_MS};

	g_array_append_val(p->claims, c);
}

void
poison_claim_drop(poison_t *p, const fingerprint_t *f, uint64_t peer)
{
	const poison_claim_t *c;
	guint i;

	for (i = p->claims->len; i > 0; i--) {
		c = claim_at(p, i - 1);
		if (c->peer == peer &&
		    (!f || fingerprint_equal(&c->fingerprint, f)))
			g_array_remove_index_fast(p->claims, i - 1);
	}
}

void
poison_claim_expire(poison_t *p, msec_t now)
{
	guint i;

	for (i = p->claims->len; i > 0; i--) {
		if (now >= claim_at(p, i - 1)->until)
			g_array_remove_index_fast(p->claims, i - 1);
	}
}

gboolean
poison_claim_holds(
    const poison_t *p, const fingerprint_t *f, const char *endpoint, msec_t now)
{
	const poison_claim_t *c;
	guint i;

	for (i = 0; i < p->claims->len; i++) {
		c = claim_at(p, i);
		if (now < c->until && (!endpoint || c->endpoint == endpoint) &&
		    (!f || fingerprint_equal(&c->fingerprint, f)))
			return TRUE;
	}
	return FALSE;
}
