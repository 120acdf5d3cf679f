#include <stdlib.h>
#include <string.h>

#include "coordination/fleet_status.h"

void
fleet_status_init(fleet_status_t *s)
{
	memset(s, 0, sizeof(*s));
	s->demands = g_array_new(FALSE, TRUE, sizeof(fleet_amount_t));
	s->loads = g_array_new(FALSE, TRUE, sizeof(fleet_amount_t));
}

void
fleet_status_finish(fleet_status_t *s)
{
	g_array_free(s->demands, TRUE);
	g_array_free(s->loads, TRUE);
}

static void
copy_array(GArray *to, const GArray *from)
{
	g_array_set_size(to, 0);
	g_array_append_vals(to, from->data, from->len);
}

void
fleet_status_copy(fleet_status_t *to, const fleet_status_t *from)
{
	GArray *demands = to->demands, *loads = to->loads;

	*to = *from;
	to->demands = demands;
	to->loads = loads;
	copy_array(demands, from->demands);
	copy_array(loads, from->loads);
}

void
fleet_summary_init(fleet_summary_t *s)
{
	memset(s, 0, sizeof(*s));
	fleet_status_init(&s->sums);
	s->list = g_array_new(FALSE, TRUE, sizeof(fleet_listed_t));
}

void
fleet_summary_finish(fleet_summary_t *s)
{
	fleet_status_finish(&s->sums);
	g_array_free(s->list, TRUE);
}

uint32_t
fleet_name(uint64_t hash)
{
	return (uint32_t)(hash & ((UINT32_C(1) << FLEET_NAME_BITS) - 1));
}

uint32_t
fleet_short_name(uint64_t hash)
{
	return (uint32_t)hash;
}

uint32_t
fleet_short_incarnation(uint64_t incarnation)
{
	return (uint32_t)(incarnation &
	    ((UINT32_C(1) << FLEET_INCARNATION_BITS) - 1));
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
	const fleet_amount_t *x = a, *y = b;

	return x->name < y->name ? -1 : x->name > y->name;
}

uint32_t
fleet_amount(const GArray *amounts, uint64_t hash)
{
	const fleet_amount_t wanted = {fleet_name(hash), 0};
	const fleet_amount_t *found = amounts->len == 0
	    ? NULL
	    : bsearch(&wanted, amounts->data, amounts->len, sizeof(wanted),
		  compare_names);

	return found != NULL ? found->amount : 0;
}

static uint32_t
merge_amounts(uint32_t a, uint32_t b, fleet_merge_t how)
{
	switch (how) {
	case FLEET_ADD:
	case FLEET_ADD_KNOWN:
		return MIN(a + b, FLEET_AMOUNT_MAX);
	case FLEET_SUBTRACT:
		return a > b ? a - b : 0;
	case FLEET_MAX:
		break;
	}
	return MAX(a, b);
}

void
fleet_amounts_sort(GArray *amounts)
{
	fleet_amount_t *a, *last;
	guint i, kept = 0;

	g_array_sort(amounts, compare_names);
	for (i = 0; i < amounts->len; i++) {
		a = &g_array_index(amounts, fleet_amount_t, i);
		last = kept > 0
		    ? &g_array_index(amounts, fleet_amount_t, kept - 1)
		    : NULL;
		if (last != NULL && last->name == a->name)
			last->amount =
			    merge_amounts(last->amount, a->amount, FLEET_ADD);
		else
			g_array_index(amounts, fleet_amount_t, kept++) = *a;
	}
	g_array_set_size(amounts, kept);
}

/* Return: an entry, or one that comes after all others. */
static fleet_amount_t
amount_at(const GArray *amounts, guint i)
{
	return i < amounts->len ? g_array_index(amounts, fleet_amount_t, i)
				: (fleet_amount_t){G_MAXUINT32, 0};
}

void
fleet_amounts_merge(GArray *to, const GArray *from, fleet_merge_t how)
{
	GArray *all = g_array_sized_new(
	    FALSE, TRUE, sizeof(fleet_amount_t), to->len + from->len);
	guint i = 0, k = 0;

	while (i < to->len || k < from->len) {
		const fleet_amount_t a = amount_at(to, i);
		const fleet_amount_t b = amount_at(from, k);
		fleet_amount_t merged = {MIN(a.name, b.name), 0};

		merged.amount =
		    merge_amounts(a.name == merged.name ? a.amount : 0,
			b.name == merged.name ? b.amount : 0, how);
		if (merged.amount > 0 && all->len < FLEET_AMOUNTS_MAX)
			g_array_append_val(all, merged);
		i += a.name == merged.name;
		k += b.name == merged.name;
	}
	copy_array(to, all);
	g_array_free(all, TRUE);
}

fleet_shift_t *
fleet_shift_of(const fleet_status_t *s, uint32_t service, uint32_t to)
{
	guint i;

	for (i = 0; i < s->nshifts; i++) {
		if (s->shifts[i].service == service && s->shifts[i].to == to)
			return (fleet_shift_t *)&s->shifts[i];
	}
	return NULL;
}

static void
merge_count(uint32_t *to, uint32_t from, fleet_merge_t how)
{
	switch (how) {
	case FLEET_ADD:
	case FLEET_ADD_KNOWN:
		*to += from;
		break;
	case FLEET_SUBTRACT:
		*to -= MIN(*to, from);
		break;
	case FLEET_MAX:
		*to = MAX(*to, from);
		break;
	}
}

static void
merge_counts(judge_count_t *to, const judge_count_t *from, fleet_merge_t how)
{
	int m;

	merge_count(&to->requests, from->requests, how);
	for (m = 0; m < JUDGE_METRICS; m++)
		merge_count(&to->bad[m], from->bad[m], how);
}

void
fleet_shifts_merge(
    fleet_status_t *to, const fleet_status_t *from, fleet_merge_t how)
{
	guint i, r;

	for (i = 0; i < from->nshifts; i++) {
		const fleet_shift_t *add = &from->shifts[i];
		fleet_shift_t *sum = fleet_shift_of(to, add->service, add->to);

		if (sum == NULL) {
			if (how == FLEET_SUBTRACT || how == FLEET_ADD_KNOWN ||
			    to->nshifts == FLEET_SHIFTS_MAX)
				continue;
			sum = &to->shifts[to->nshifts++];
			*sum = (fleet_shift_t){
			    .service = add->service, .to = add->to};
		}
		merge_count(&sum->old_running, add->old_running, how);
		merge_count(&sum->new_running, add->new_running, how);
		for (r = 0; r < FLEET_SHIFT_ROUTES; r++) {
			merge_counts(&sum->routes[r].new_version,
			    &add->routes[r].new_version, how);
			merge_counts(&sum->routes[r].old_version,
			    &add->routes[r].old_version, how);
		}
	}
}
