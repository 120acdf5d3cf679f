#include "coordination/progress.h"

void
progress_init(progress_t *p)
{
	p->rows = g_array_new(FALSE, FALSE, sizeof(progress_row_t));
}

void
progress_finish(progress_t *p)
{
	g_array_free(p->rows, TRUE);
}

static progress_row_t *
find_host(const progress_t *p, uint32_t host)
{
	progress_row_t *row;
	guint i;

	for (i = 0; i < p->rows->len; i++) {
		row = &g_array_index(p->rows, progress_row_t, i);
		if (row->replica.host == host)
			return row;
	}
	return NULL;
}

void
progress_report(progress_t *p, replica_t replica, uint64_t version)
{
	progress_row_t *row = find_host(p, replica.host);
	progress_row_t new_row = {replica, version};

	if (row == NULL)
		g_array_append_val(p->rows, new_row);
	else if (row->replica.incarnation < replica.incarnation)
		*row = new_row;
	else if (row->replica.incarnation == replica.incarnation)
		row->version = MAX(row->version, version);
}

uint64_t
progress_version(const progress_t *p, replica_t replica)
{
	const progress_row_t *row = find_host(p, replica.host);

	if (row == NULL || !replica_equal(row->replica, replica))
		return 0;
	return row->version;
}

guint
progress_count(
    const progress_t *p, const replica_t *replicas, guint n, uint64_t version)
{
	guint i, count = 0;

	for (i = 0; i < n; i++) {
		if (progress_version(p, replicas[i]) >= version)
			count++;
	}
	return count;
}
