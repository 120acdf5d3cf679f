#include "coordination/store_era.h"

store_era_verdict_t
store_era_seen(store_era_t *e, uint64_t era)
{
	if (!e->known) {
		e->known = TRUE;
		e->era = era;
		return STORE_ERA_SAME;
	}
	if (era == e->era)
		return STORE_ERA_SAME;
	if (era < e->era)
		return STORE_ERA_OLDER;
	e->era = era;
	return STORE_ERA_NEWER;
}

static void
set_state(era_row_t *k, uint64_t ver, uint64_t content)
{
	if (k->ver != 0 && k->content != content)
		k->earlier[k->next++ % ERA_ROW_EARLIER] =
		    (era_row_state_t){k->ver, k->content};
	k->ver = ver;
	k->content = content;
	k->copy_ver = 0;
}

/*
 * A host that does not read the table itself is not told of writes that only
 * renew a row. So an older state counts from its version on, up to the next.
 */
static gboolean
had_state(const era_row_t *k, uint64_t ver, uint64_t content)
{
	guint i;

	for (i = 0; i < MIN(k->next, ERA_ROW_EARLIER); i++) {
		if (k->earlier[i].content == content &&
		    store_era_number(k->earlier[i].ver) <=
			store_era_number(ver))
			return TRUE;
	}
	return FALSE;
}

era_row_verdict_t
era_row_seen(era_row_t *k, uint64_t ver, uint64_t content, uint64_t copy_end)
{
	uint64_t known = store_era_number(k->ver);

	if (k->ver != 0 && ver <= k->ver)
		return ERA_ROW_OLD;
	if (k->ver == 0 || store_era_of(ver) == store_era_of(k->ver) ||
	    ver > copy_end) {
		set_state(k, ver, content);
		return ERA_ROW_CHANGED;
	}
	if (content == k->content && store_era_number(ver) == known) {
		k->ver = ver;
		return ERA_ROW_SAME;
	}
	if (store_era_number(ver) < known && had_state(k, ver, content)) {
		k->copy_ver = ver;
		return ERA_ROW_COPY;
	}
	set_state(k, ver, content);
	return ERA_ROW_CHANGED;
}

gboolean
era_row_missing(era_row_t *k, uint64_t ver, gboolean hold)
{
	if (k->content == 0 || k->ver > ver)
		return FALSE;
	if (hold && store_era_of(k->ver) < store_era_of(ver)) {
		k->copy_ver = 0;
		return FALSE;
	}
	set_state(k, ver, 0);
	return TRUE;
}

gboolean
era_row_is_lost(const era_row_t *k, uint64_t era)
{
	return k->content != 0 && store_era_of(k->ver) < era;
}
