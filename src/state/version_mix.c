#include <string.h>

#include "state/version_mix.h"

static version_credit_t *
credit_at(const version_mix_t *m, unsigned int i)
{
	return &g_array_index(m->rows, version_credit_t, i);
}

static void
credit_clear(void *p)
{
	version_credit_t *c = p;

	g_free(c->version);
}

static GArray *
rows_new(void)
{
	GArray *a = g_array_new(FALSE, TRUE, sizeof(version_credit_t));

	g_array_set_clear_func(a, credit_clear);
	return a;
}

void
version_mix_init(version_mix_t *m)
{
	m->rows = rows_new();
}

void
version_mix_finish(version_mix_t *m)
{
	g_array_free(m->rows, TRUE);
	m->rows = NULL;
}

static int64_t
kept_credit(const version_mix_t *m, const version_share_t *share)
{
	const version_credit_t *c;
	unsigned int i;

	for (i = 0; i < m->rows->len; i++) {
		c = credit_at(m, i);
		if (strcmp(c->version, share->version) == 0 &&
		    c->share_ppm == share->share_ppm &&
		    c->capped == share->capped)
			return c->credit_ppm;
	}
	return 0;
}

void
version_mix_set(version_mix_t *m, const version_share_t *shares, unsigned int n)
{
	GArray *rows = rows_new();
	version_credit_t c;
	unsigned int i;

	for (i = 0; i < n; i++) {
		c.version = g_strdup(shares[i].version);
		c.share_ppm = MIN(shares[i].share_ppm, SHARE_WHOLE);
		c.capped = shares[i].capped;
		c.credit_ppm = kept_credit(m, &shares[i]);
		g_array_append_val(rows, c);
	}
	g_array_free(m->rows, TRUE);
	m->rows = rows;
}

static gboolean
may_take(const version_credit_t *c)
{
	if (c->share_ppm == 0)
		return FALSE;
	return !c->capped || c->credit_ppm + c->share_ppm >= SHARE_WHOLE;
}

/* A capped version with enough credit goes before versions without a cap. */
static gboolean
goes_before(const version_credit_t *a, const version_credit_t *b)
{
	if (a->capped != b->capped)
		return a->capped;
	return a->credit_ppm + a->share_ppm > b->credit_ppm + b->share_ppm;
}

unsigned int
version_mix_order(const version_mix_t *m, unsigned int *order)
{
	unsigned int i, k, n = 0;

	for (i = 0; i < m->rows->len; i++) {
		if (!may_take(credit_at(m, i)))
			continue;
		k = n++;
		while (k > 0 &&
		    goes_before(credit_at(m, i), credit_at(m, order[k - 1]))) {
			order[k] = order[k - 1];
			k--;
		}
		order[k] = i;
	}
	return n;
}

void
version_mix_sent(version_mix_t *m, unsigned int row)
{
	version_credit_t *c;
	unsigned int i;

	for (i = 0; i < m->rows->len; i++) {
		c = credit_at(m, i);
		c->credit_ppm += c->share_ppm;
		if (i == row)
			c->credit_ppm -= SHARE_WHOLE;
		/* Limits how much of a missed turn is made up for later. */
		c->credit_ppm = CLAMP(c->credit_ppm, -SHARE_WHOLE, SHARE_WHOLE);
	}
}
