#include <string.h>

#include "coordination/fleet_members.h"

void
fleet_members_init(fleet_members_t *m)
{
	memset(m, 0, sizeof(*m));
	m->seeds = g_array_new(FALSE, FALSE, sizeof(uint64_t));
}

void
fleet_members_finish(fleet_members_t *m)
{
	g_array_free(m->seeds, TRUE);
}

static void
add(fleet_members_t *m, uint64_t seed, uint64_t *sum)
{
	g_array_append_val(m->seeds, seed);
	*sum += seed * (seed | 1);
}

static gboolean
has_joined(msec_t joined_at, msec_t now)
{
	return now - joined_at >= MEMBERS_JOIN_MS;
}

void
fleet_members_update(fleet_members_t *m, const fleet_t *fleet, msec_t now)
{
	uint64_t sum = 0;
	guint i;

	g_array_set_size(m->seeds, 0);
	for (i = 0; i < fleet->hosts->len; i++) {
		const fleet_host_t *h = g_ptr_array_index(fleet->hosts, i);

		if (has_joined(h->joined_at, now))
			add(m, h->seed, &sum);
	}
	for (i = 0; i < fleet->departed->len; i++) {
		const fleet_departed_t *d =
		    &g_array_index(fleet->departed, fleet_departed_t, i);

		if (has_joined(d->joined_at, now) &&
		    now - d->left_at < MEMBERS_RETIRE_MS)
			add(m, d->seed, &sum);
	}
	m->self = fleet->joined && has_joined(fleet->joined_at, now);
	if (m->self)
		add(m, fleet->self, &sum);
	if (m->updated_at == 0 || sum != m->sum) {
		m->generation++;
		m->changed_at = now;
	}
	m->sum = sum;
	m->updated_at = now;
}

gboolean
fleet_members_may_use(
    const fleet_members_t *m, const fleet_t *fleet, msec_t now)
{
	return m->self && now - m->updated_at < MEMBERS_UPDATE_MS &&
	    now - m->changed_at >= MEMBERS_SETTLE_MS && fleet->synced_at != 0 &&
	    now - fleet->synced_at < MEMBERS_VIEW_MS;
}

gboolean
fleet_members_keeps(msec_t left_ms)
{
	return left_ms < MEMBERS_RETIRE_MS - MEMBERS_JOIN_MS;
}
