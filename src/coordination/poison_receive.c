#include "coordination/poison.h"
#include "coordination/poison_death.h"
#include "coordination/poison_record.h"

gboolean
poison_next_event(poison_t *p, poison_event_t *event)
{
	if (p->events->len == 0)
		return FALSE;
	*event = g_array_index(p->events, poison_event_t, 0);
	g_array_remove_index(p->events, 0);
	return TRUE;
}

static void
receive_death(
    poison_t *p, const poison_event_t *event, const char *endpoint, msec_t now)
{
	const fingerprint_t *f = &event->fingerprint;
	const poison_record_t *r = poison_record_find(p, f);
	poison_suspect_t s = {*f, now - event->run_age_ms};
	msec_t at = now - event->age_ms;

	if (r && r->cleared && r->cleared_at >= at)
		return;
	if (poison_record_consume_answer(p, f, now)) {
		poison_death_mixed(p, endpoint, s.began, at);
		poison_record_clear(p, f, now);
		poison_queue_event(p, POISON_EVENT_CLEARED, f, NULL);
		return;
	}
	poison_death_add(p, endpoint, &s, at);
	poison_record_yield(p, f);
}

void
poison_resend_refusal(poison_t *p, const fingerprint_t *f, msec_t now)
{
	const poison_record_t *r = poison_record_find(p, f);
	poison_event_t event = {
	    .kind = POISON_EVENT_REFUSED, .fingerprint = *f};

	if (!r || !r->refused || now >= r->refused_until)
		return;
	event.left_ms = r->refused_until - now;
	g_array_append_val(p->events, event);
}

void
poison_resend_refusals(poison_t *p, msec_t now)
{
	GHashTableIter it;
	gpointer fingerprint_key;

	g_hash_table_iter_init(&it, p->records);
	while (g_hash_table_iter_next(&it, &fingerprint_key, NULL))
		poison_resend_refusal(p, fingerprint_key, now);
}

static void
receive_refusal(poison_t *p, const poison_event_t *event, msec_t now)
{
	poison_record_t *r = poison_record_ensure(p, &event->fingerprint);

	if (r->cleared && r->cleared_at >= now - event->age_ms)
		return;
	poison_record_yield(p, &event->fingerprint);
	if (!r->refused)
		r->refused_until = now;
	r->refused = TRUE;
	r->refused_until =
	    MAX(r->refused_until, now - event->age_ms + event->left_ms);
	r->refuse_ms = MAX(r->refuse_ms, event->left_ms);
}

/*
 * Resolves two claims made at once: the host with the lower id keeps its claim.
 * A request in flight is not cancelled; the peer has to choose another
 * endpoint.
 */
static void
object_to_claim(poison_t *p, uint64_t peer, const poison_event_t *event,
    const char *endpoint)
{
	gboolean object = FALSE;
	poison_run_t *run;
	guint i;

	for (i = 0; i < p->runs->len; i++) {
		run = &g_array_index(p->runs, poison_run_t, i);
		if (!run->used)
			continue;
		if (run->endpoint != endpoint &&
		    !fingerprint_equal(&run->fingerprint, &event->fingerprint))
			continue;
		if (run->pending && peer < p->self)
			run->yield = TRUE;
		else
			object = TRUE;
	}
	if (object)
		poison_queue_event(
		    p, POISON_EVENT_OBJECTION, &event->fingerprint, endpoint);
}

static void
receive_objection(
    poison_t *p, const poison_event_t *event, const char *endpoint)
{
	poison_run_t *run;
	guint i;

	for (i = 0; i < p->runs->len; i++) {
		run = &g_array_index(p->runs, poison_run_t, i);
		if (run->pending && run->endpoint == endpoint &&
		    fingerprint_equal(&run->fingerprint, &event->fingerprint))
			run->yield = TRUE;
	}
}

void
poison_receive(
    poison_t *p, uint64_t peer, const poison_event_t *event, msec_t now)
{
	const char *endpoint = g_intern_string(event->endpoint);

	switch (event->kind) {
	case POISON_EVENT_DEATH:
		receive_death(p, event, endpoint, now);
		break;
	case POISON_EVENT_DEATH_MIXED:
		poison_death_mixed(
		    p, endpoint, now - event->run_age_ms, now - event->age_ms);
		break;
	case POISON_EVENT_CLEARED:
		poison_record_clear(
		    p, &event->fingerprint, now - event->age_ms);
		break;
	case POISON_EVENT_CLAIM:
		poison_claim_drop(p, &event->fingerprint, peer);
		poison_claim_add(p, &event->fingerprint, peer, endpoint, now);
		object_to_claim(p, peer, event, endpoint);
		break;
	case POISON_EVENT_RELEASE:
		poison_claim_drop(p, &event->fingerprint, peer);
		break;
	case POISON_EVENT_OBJECTION:
		receive_objection(p, event, endpoint);
		break;
	case POISON_EVENT_REFUSED:
		receive_refusal(p, event, now);
		break;
	case POISON_EVENT_PROBE:
		break;
	}
}

void
poison_peer_gone(poison_t *p, uint64_t peer)
{
	poison_claim_drop(p, NULL, peer);
}
