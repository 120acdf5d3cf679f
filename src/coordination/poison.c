#include <string.h>

#include "coordination/poison.h"
#include "coordination/poison_death.h"
#include "coordination/poison_record.h"
#include "state/digest.h"

#define HOLD_RECHECK_MS 100 /* until a held request is checked again */
#define SWEEP_INTERVAL_MS 1000

static gboolean
same_fingerprint(gconstpointer a, gconstpointer b)
{
	return fingerprint_equal(a, b);
}

static void
death_clear(void *row)
{
	poison_death_t *d = row;

	g_array_free(d->suspects, TRUE);
}

void
poison_init(poison_t *p, uint64_t self)
{
	memset(p, 0, sizeof(*p));
	p->self = self;
	p->runs = g_array_new(FALSE, TRUE, sizeof(poison_run_t));
	p->deaths = g_array_new(FALSE, TRUE, sizeof(poison_death_t));
	g_array_set_clear_func(p->deaths, death_clear);
	p->claims = g_array_new(FALSE, TRUE, sizeof(poison_claim_t));
	p->events = g_array_new(FALSE, TRUE, sizeof(poison_event_t));
	p->records = g_hash_table_new_full(
	    fingerprint_hash, same_fingerprint, g_free, g_free);
}

void
poison_init_counted(poison_t *p, uint64_t self)
{
	poison_init(p, self);
	p->policy = POISON_COUNTED;
}

void
poison_fingerprint(const char *workspace, const char *destination,
    const char *method, const char *target, const char *body,
    fingerprint_t *out)
{
	char *text = g_strdup_printf("%s\n%s\n%s\n%s\n%s",
	    workspace != NULL ? workspace : "", destination, method, target,
	    body);
	digest_t digest;

	digest_of(text, strlen(text), &digest);
	memcpy(out->bytes, digest.bytes, sizeof(out->bytes));
	g_free(text);
}

void
poison_finish(poison_t *p)
{
	g_array_free(p->runs, TRUE);
	g_array_free(p->deaths, TRUE);
	g_array_free(p->claims, TRUE);
	g_array_free(p->events, TRUE);
	g_hash_table_destroy(p->records);
	memset(p, 0, sizeof(*p));
}

static poison_run_t *
run_at(const poison_t *p, guint i)
{
	return &g_array_index(p->runs, poison_run_t, i);
}

static void
queue_death_event(
    poison_t *p, poison_event_kind_t kind, const poison_run_t *run, msec_t now)
{
	poison_event_t event = {.kind = kind, .endpoint = run->endpoint};

	event.fingerprint = run->fingerprint;
	event.run_age_ms = now - run->began;
	g_array_append_val(p->events, event);
}

static void
refuse(poison_t *p, const fingerprint_t *f, msec_t now)
{
	poison_record_t *r = poison_record_ensure(p, f);
	poison_event_t event = {.kind = POISON_EVENT_REFUSED};

	r->refuse_ms =
	    CLAMP(r->refuse_ms * 2, POISON_REFUSE_MS, POISON_REFUSE_MAX_MS);
	r->refused = TRUE;
	r->refused_until = now + r->refuse_ms;
	event.fingerprint = *f;
	event.left_ms = r->refuse_ms;
	g_array_append_val(p->events, event);
}

static void
end_run(poison_t *p, poison_run_t *run)
{
	if (run->claimed)
		poison_queue_event(
		    p, POISON_EVENT_RELEASE, &run->fingerprint, run->endpoint);
	memset(run, 0, sizeof(*run));
}

static gboolean
record_idle(gpointer key, gpointer value, gpointer data)
{
	const poison_record_t *r = value;
	const poison_t *p = data;
	msec_t last;

	return !r->refused &&
	    p->swept_at - r->cleared_at > POISON_SUSPECT_TTL_MS &&
	    poison_death_count(p, key, &last) == 0;
}

static void
renew_claim(poison_t *p, poison_run_t *run, msec_t now)
{
	if (!run->claimed || now - run->claimed_at < POISON_CLAIM_MS / 3)
		return;
	run->claimed_at = now;
	poison_queue_event(
	    p, POISON_EVENT_CLAIM, &run->fingerprint, run->endpoint);
}

void
poison_tick(poison_t *p, msec_t now)
{
	msec_t unjudged = p->policy == POISON_COUNTED ? POISON_DETECT_COUNTED_MS
						      : POISON_DETECT_MS;
	poison_run_t *run;
	guint i;

	for (i = 0; i < p->runs->len; i++) {
		run = run_at(p, i);
		if (run->ended && now - run->ended_at > unjudged)
			end_run(p, run);
		renew_claim(p, run, now);
	}
	if (now - p->swept_at < SWEEP_INTERVAL_MS)
		return;
	p->swept_at = now;
	poison_claim_expire(p, now);
	poison_death_expire(p, now);
	g_hash_table_foreach_remove(p->records, record_idle, p);
}

/* Whether a request with this fingerprint runs here or, by its claim, on
 * another host. */
static gboolean
is_running(const poison_t *p, const fingerprint_t *f, msec_t now)
{
	const poison_run_t *run;
	guint i;

	for (i = 0; i < p->runs->len; i++) {
		run = run_at(p, i);
		if (run->used && fingerprint_equal(&run->fingerprint, f))
			return TRUE;
	}
	return poison_claim_holds(p, f, NULL, now);
}

static gboolean
has_unjudged_break(const poison_t *p, const fingerprint_t *f)
{
	const poison_run_t *run;
	guint i;

	for (i = 0; i < p->runs->len; i++) {
		run = run_at(p, i);
		if (run->used && run->broken &&
		    fingerprint_equal(&run->fingerprint, f))
			return TRUE;
	}
	return FALSE;
}

static poison_verdict_t
verdict(poison_verdict_kind_t kind, msec_t wait_ms)
{
	poison_verdict_t v = {kind, wait_ms};

	return v;
}

static poison_verdict_t
check_refused(const poison_t *p, const poison_record_t *r,
    const fingerprint_t *f, msec_t now)
{
	if (now < r->refused_until)
		return verdict(POISON_REFUSE, r->refused_until - now);
	if (is_running(p, f, now))
		return verdict(POISON_REFUSE, POISON_CLAIM_MS);
	return verdict(POISON_RUN_ALONE, 0);
}

/*
 * Judges a request under POISON_COUNTED. A request that crashes every endpoint
 * may be repeated at any host, and the endpoints are shared with other traffic
 * that must not wait for it.
 */
static poison_verdict_t
check_counted(poison_t *p, const fingerprint_t *f, msec_t now)
{
	const poison_record_t *r = poison_record_find(p, f);
	poison_verdict_t v;

	if (r && r->refused) {
		v = check_refused(p, r, f, now);
		if (v.kind == POISON_RUN_ALONE)
			v.kind = POISON_RUN;
		return v;
	}
	if (!poison_death_counted(p, f))
		return verdict(POISON_RUN, 0);
	refuse(p, f, now);
	return verdict(POISON_REFUSE, poison_record_ensure(p, f)->refuse_ms);
}

poison_verdict_t
poison_check(poison_t *p, const fingerprint_t *f, msec_t now)
{
	const poison_record_t *r;
	unsigned int deaths;
	msec_t last = 0;

	poison_tick(p, now);
	if (p->policy == POISON_COUNTED)
		return check_counted(p, f, now);
	r = poison_record_find(p, f);
	if (r && r->refused)
		return check_refused(p, r, f, now);
	if (has_unjudged_break(p, f))
		return verdict(POISON_HOLD, HOLD_RECHECK_MS);
	deaths = poison_death_count(p, f, &last);
	if (deaths == 0)
		return verdict(POISON_RUN, 0);
	if (deaths > 1 && now - last < POISON_SETTLE_MS)
		return verdict(POISON_HOLD, last + POISON_SETTLE_MS - now);
	if (poison_death_proved(p, f)) {
		refuse(p, f, now);
		return verdict(
		    POISON_REFUSE, poison_record_ensure(p, f)->refuse_ms);
	}
	if (is_running(p, f, now))
		return verdict(POISON_HOLD, HOLD_RECHECK_MS);
	return verdict(POISON_RUN_ALONE, 0);
}

static poison_run_id_t
free_run(poison_t *p)
{
	guint i;

	for (i = 0; i < p->runs->len; i++) {
		if (!run_at(p, i)->used)
			return i;
	}
	g_array_set_size(p->runs, i + 1);
	return i;
}

poison_run_id_t
poison_begin(
    poison_t *p, const fingerprint_t *f, const char *endpoint, msec_t now)
{
	const poison_record_t *r = poison_record_find(p, f);
	poison_run_id_t id = free_run(p);
	poison_run_t *run = run_at(p, id);
	msec_t last;

	run->used = TRUE;
	run->fingerprint = *f;
	run->endpoint = g_intern_string(endpoint);
	run->began = now;
	run->claimed_at = now;
	run->claimed = p->policy == POISON_ISOLATED &&
	    ((r && r->refused) || poison_death_count(p, f, &last) > 0);
	run->pending = run->claimed;
	if (run->claimed)
		poison_queue_event(p, POISON_EVENT_CLAIM, f, run->endpoint);
	return id;
}

gboolean
poison_confirm(poison_t *p, poison_run_id_t id, msec_t now)
{
	poison_run_t *run = run_at(p, id);

	if (!run->pending)
		return TRUE;
	if (run->yield || now - run->began < POISON_CLAIM_WAIT_MS) {
		end_run(p, run);
		return FALSE;
	}
	run->pending = FALSE;
	run->began = now;
	return TRUE;
}

static void
answered(poison_t *p, const poison_run_t *run, msec_t now)
{
	const poison_record_t *r = poison_record_find(p, &run->fingerprint);
	msec_t last;

	poison_record_answered(p, &run->fingerprint, now);
	if (!(r && r->refused) &&
	    poison_death_count(p, &run->fingerprint, &last) == 0)
		return;
	poison_record_clear(p, &run->fingerprint, now);
	poison_queue_event(p, POISON_EVENT_CLEARED, &run->fingerprint, NULL);
}

void
poison_end(poison_t *p, poison_run_id_t id, poison_end_t end, msec_t now)
{
	poison_run_t *run = run_at(p, id);

	switch (end) {
	case POISON_ANSWERED:
		answered(p, run, now);
		end_run(p, run);
		break;
	case POISON_NOT_RUN:
		end_run(p, run);
		break;
	case POISON_BROKEN:
	case POISON_ABANDONED:
		run->ended = TRUE;
		run->ended_at = now;
		run->broken = end == POISON_BROKEN;
		if (run->broken)
			poison_queue_event(p, POISON_EVENT_PROBE,
			    &run->fingerprint, run->endpoint);
		break;
	}
}

static void
add_suspect_death(poison_t *p, const poison_run_t *run, msec_t now)
{
	poison_suspect_t s = {run->fingerprint, run->began};
	const poison_record_t *r = poison_record_find(p, &s.fingerprint);

	poison_death_add(p, run->endpoint, &s, now);
	poison_record_yield(p, &s.fingerprint);
	queue_death_event(p, POISON_EVENT_DEATH, run, now);
	if (r && r->refused && now >= r->refused_until)
		refuse(p, &s.fingerprint, now);
}

static void
add_mixed_death(poison_t *p, const poison_run_t *run, msec_t now)
{
	poison_death_mixed(p, run->endpoint, run->began, now);
	queue_death_event(p, POISON_EVENT_DEATH_MIXED, run, now);
}

static gboolean
any_broken(const poison_t *p, const char *endpoint)
{
	guint i;

	for (i = 0; i < p->runs->len; i++) {
		if (run_at(p, i)->broken && run_at(p, i)->endpoint == endpoint)
			return TRUE;
	}
	return FALSE;
}

/*
 * Judges a run whose endpoint died. A run that was abandoned is a suspect only
 * if no connection broke at the endpoint.
 */
static void
judge_run(poison_t *p, const poison_run_t *run, gboolean broken, msec_t now)
{
	gboolean answered =
	    poison_record_consume_answer(p, &run->fingerprint, now);

	if (answered || (broken && !run->broken))
		add_mixed_death(p, run, now);
	else
		add_suspect_death(p, run, now);
}

void
poison_endpoint_seen(
    poison_t *p, const char *endpoint, gboolean alive, msec_t now)
{
	poison_run_t *run;
	gboolean broken;
	guint i;

	endpoint = g_intern_string(endpoint);
	poison_tick(p, now);
	broken = any_broken(p, endpoint);
	for (i = 0; i < p->runs->len; i++) {
		run = run_at(p, i);
		if (!run->used || !run->ended || run->endpoint != endpoint)
			continue;
		if (!alive)
			judge_run(p, run, broken, now);
		end_run(p, run);
	}
}

void
poison_endpoint_answered(poison_t *p, const char *endpoint, msec_t sent_at)
{
	poison_run_t *run;
	guint i;

	endpoint = g_intern_string(endpoint);
	for (i = 0; i < p->runs->len; i++) {
		run = run_at(p, i);
		if (run->used && run->ended && run->endpoint == endpoint &&
		    run->ended_at < sent_at)
			end_run(p, run);
	}
}

gboolean
poison_endpoint_reserved(const poison_t *p, const char *endpoint, msec_t now)
{
	const poison_run_t *run;
	guint i;

	endpoint = g_intern_string(endpoint);
	for (i = 0; i < p->runs->len; i++) {
		run = run_at(p, i);
		if (run->claimed && run->endpoint == endpoint)
			return TRUE;
	}
	return poison_claim_holds(p, NULL, endpoint, now);
}

gboolean
poison_endpoint_busy(const poison_t *p, const char *endpoint)
{
	guint i;

	endpoint = g_intern_string(endpoint);
	for (i = 0; i < p->runs->len; i++) {
		if (run_at(p, i)->used && run_at(p, i)->endpoint == endpoint)
			return TRUE;
	}
	return FALSE;
}
