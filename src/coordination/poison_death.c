#include <string.h>

#include "coordination/poison_death.h"

gboolean
fingerprint_equal(const fingerprint_t *a, const fingerprint_t *b)
{
	return memcmp(a, b, sizeof(*a)) == 0;
}

static poison_death_t *
death_at(const poison_t *p, guint i)
{
	return &g_array_index(p->deaths, poison_death_t, i);
}

static poison_suspect_t *
find_suspect(const poison_death_t *d, const fingerprint_t *f)
{
	poison_suspect_t *s;
	guint i;

	for (i = 0; i < d->suspects->len; i++) {
		s = &g_array_index(d->suspects, poison_suspect_t, i);
		if (fingerprint_equal(&s->fingerprint, f))
			return s;
	}
	return NULL;
}

/*
 * Returns the death of an endpoint that is nearest to a time, or NULL. A run
 * that began after a death, once peers had received the report of it, shows
 * that the endpoint was up again.
 */
static poison_death_t *
find_death(const poison_t *p, const char *endpoint, msec_t began, msec_t at)
{
	poison_death_t *d, *nearest = NULL;
	guint i;

	for (i = 0; i < p->deaths->len; i++) {
		d = death_at(p, i);
		if (d->endpoint != endpoint ||
		    began >= d->at + POISON_CLAIM_WAIT_MS ||
		    ABS(d->at - at) >= POISON_SAME_DEATH_MS)
			continue;
		if (!nearest || ABS(d->at - at) < ABS(nearest->at - at))
			nearest = d;
	}
	return nearest;
}

static poison_death_t *
find_or_add(poison_t *p, const char *endpoint, msec_t began, msec_t at)
{
	poison_death_t *d = find_death(p, endpoint, began, at), row = {0};

	if (d)
		return d;
	row.endpoint = endpoint;
	row.at = at;
	row.suspects = g_array_new(FALSE, FALSE, sizeof(poison_suspect_t));
	g_array_append_val(p->deaths, row);
	return death_at(p, p->deaths->len - 1);
}

gboolean
poison_death_add(
    poison_t *p, const char *endpoint, const poison_suspect_t *s, msec_t at)
{
	poison_death_t *d = find_or_add(p, endpoint, s->began, at);

	if (find_suspect(d, &s->fingerprint))
		return FALSE;
	d->mixed |= d->suspects->len > 0;
	g_array_append_vals(d->suspects, s, 1);
	return TRUE;
}

void
poison_death_mixed(poison_t *p, const char *endpoint, msec_t began, msec_t at)
{
	find_or_add(p, endpoint, began, at)->mixed = TRUE;
}

unsigned int
poison_death_count(const poison_t *p, const fingerprint_t *f, msec_t *last)
{
	unsigned int n = 0;
	guint i;

	for (i = 0; i < p->deaths->len; i++) {
		if (!find_suspect(death_at(p, i), f))
			continue;
		*last = n++ == 0 ? death_at(p, i)->at
				 : MAX(*last, death_at(p, i)->at);
	}
	return n;
}

/* Whether @f is the only suspect common to both deaths. */
static gboolean
is_only_common(
    const poison_death_t *a, const poison_death_t *b, const fingerprint_t *f)
{
	const poison_suspect_t *s;
	guint i;

	for (i = 0; i < a->suspects->len; i++) {
		s = &g_array_index(a->suspects, poison_suspect_t, i);
		if (!fingerprint_equal(&s->fingerprint, f) &&
		    find_suspect(b, &s->fingerprint))
			return FALSE;
	}
	return TRUE;
}

/*
 * Whether two deaths prove @f guilty. A caller repeats a request that was a
 * bystander of one crash, and the repeat may meet a second crash under mixed
 * load. So @f must have been alone at one of the two deaths, unless both
 * requests were sent before peers could receive the report of the first death.
 */
static gboolean
proved_by(
    const poison_death_t *a, const poison_death_t *b, const fingerprint_t *f)
{
	const poison_suspect_t *in_a = find_suspect(a, f);
	const poison_suspect_t *in_b = find_suspect(b, f);
	msec_t first = MIN(a->at, b->at);

	if (!in_a || !in_b || !is_only_common(a, b, f))
		return FALSE;
	if (!a->mixed || !b->mixed)
		return TRUE;
	return in_a->began <= first + POISON_CLAIM_WAIT_MS &&
	    in_b->began <= first + POISON_CLAIM_WAIT_MS;
}

gboolean
poison_death_proved(const poison_t *p, const fingerprint_t *f)
{
	guint i, k;

	for (i = 0; i < p->deaths->len; i++) {
		for (k = 0; k < i; k++) {
			if (proved_by(death_at(p, i), death_at(p, k), f))
				return TRUE;
		}
	}
	return FALSE;
}

/* Whether @other was in flight at each death of which @f is suspected. */
static gboolean
is_always_with(
    const poison_t *p, const fingerprint_t *other, const fingerprint_t *f)
{
	const poison_death_t *d;
	guint i;

	for (i = 0; i < p->deaths->len; i++) {
		d = death_at(p, i);
		if (find_suspect(d, f) && !find_suspect(d, other))
			return FALSE;
	}
	return TRUE;
}

gboolean
poison_death_counted(const poison_t *p, const fingerprint_t *f)
{
	const poison_suspect_t *s;
	const poison_death_t *d;
	unsigned int n;
	msec_t last;
	guint i;

	n = poison_death_count(p, f, &last);
	if (n < POISON_DEATHS_ONLY_COMMON || n >= POISON_DEATHS_CERTAIN)
		return n >= POISON_DEATHS_CERTAIN;
	for (i = 0; !find_suspect(death_at(p, i), f);)
		i++;
	d = death_at(p, i);
	for (i = 0; i < d->suspects->len; i++) {
		s = &g_array_index(d->suspects, poison_suspect_t, i);
		if (!fingerprint_equal(&s->fingerprint, f) &&
		    is_always_with(p, &s->fingerprint, f))
			return FALSE;
	}
	return TRUE;
}

static void
remove_death(poison_t *p, guint i)
{
	g_array_free(death_at(p, i)->suspects, TRUE);
	g_array_remove_index_fast(p->deaths, i);
}

void
poison_death_clear(poison_t *p, const fingerprint_t *f, msec_t at)
{
	poison_suspect_t *s;
	poison_death_t *d;
	guint i;

	for (i = p->deaths->len; i > 0; i--) {
		d = death_at(p, i - 1);
		s = d->at <= at ? find_suspect(d, f) : NULL;
		if (!s)
			continue;
		*s = g_array_index(
		    d->suspects, poison_suspect_t, d->suspects->len - 1);
		g_array_set_size(d->suspects, d->suspects->len - 1);
	}
}

void
poison_death_expire(poison_t *p, msec_t now)
{
	guint i;

	for (i = p->deaths->len; i > 0; i--) {
		if (now - death_at(p, i - 1)->at > POISON_SUSPECT_TTL_MS)
			remove_death(p, i - 1);
	}
}
