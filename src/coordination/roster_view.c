#include "coordination/roster_view.h"

gboolean
replica_equal(replica_t a, replica_t b)
{
	return a.host == b.host && a.incarnation == b.incarnation;
}

void
roster_view_init(roster_view_t *v)
{
	v->replicas = g_array_new(FALSE, FALSE, sizeof(replica_t));
	v->read_sent = INT64_MIN / 2;
	v->stable_since = INT64_MAX;
}

void
roster_view_finish(roster_view_t *v)
{
	g_array_free(v->replicas, TRUE);
}

static gint
replica_order(gconstpointer a, gconstpointer b)
{
	const replica_t *x = a, *y = b;

	if (x->host != y->host)
		return x->host < y->host ? -1 : 1;
	if (x->incarnation != y->incarnation)
		return x->incarnation < y->incarnation ? -1 : 1;
	return 0;
}

static gboolean
same_set(const GArray *a, const GArray *b)
{
	guint i;

	if (a->len != b->len)
		return FALSE;
	for (i = 0; i < a->len; i++) {
		if (!replica_equal(g_array_index(a, replica_t, i),
			g_array_index(b, replica_t, i)))
			return FALSE;
	}
	return TRUE;
}

void
roster_view_read(roster_view_t *v, const replica_t *replicas, guint n,
    msec_t sent, msec_t now)
{
	GArray *next;

	if (sent <= v->read_sent)
		return;
	next = g_array_new(FALSE, FALSE, sizeof(replica_t));
	if (n > 0)
		g_array_append_vals(next, replicas, n);
	g_array_sort(next, replica_order);
	if (!same_set(next, v->replicas) ||
	    now - v->read_sent > ROSTER_VIEW_GAP_MS)
		v->stable_since = now;
	g_array_free(v->replicas, TRUE);
	v->replicas = next;
	v->read_sent = sent;
}

gboolean
roster_view_has(const roster_view_t *v, replica_t replica)
{
	guint i;

	for (i = 0; i < v->replicas->len; i++) {
		if (replica_equal(
			g_array_index(v->replicas, replica_t, i), replica))
			return TRUE;
	}
	return FALSE;
}
