#include "coordination/own_row.h"

void
own_row_written(own_row_t *o, uint64_t ver)
{
	o->expected = ver;
}

own_row_verdict_t
own_row_seen(own_row_t *o, const own_row_seen_t *row)
{
	gboolean mine = !row->removed && row->incarnation == o->incarnation;

	if (row->ver < o->known_ver)
		return OWN_ROW_STANDS;
	o->known_ver = row->ver;
	o->expected = row->removed ? 0 : row->ver;
	if (!row->removed && row->incarnation > o->incarnation)
		return OWN_ROW_SUPERSEDED;
	/* A host that leaves has nothing to say in the place of another row:
	 * its join, if it is still to come, can't be performed any more. */
	if (o->leaving)
		return mine && !row->left ? OWN_ROW_WRITE : OWN_ROW_STANDS;
	return mine && !row->left ? OWN_ROW_STANDS : OWN_ROW_WRITE;
}
