#include <math.h>
#include <string.h>

#include "coordination/urgency.h"
#include "state/placing.h"

/* Types of one service; further ones replace those unseen for longest. */
#define TYPES_MAX 64
#define WORKSPACES_MAX 512
/* Weight of a new sample in the mean run time. */
#define RUN_SMOOTHING 0.05
/* The short run time of a type is this quantile: about what a request takes at
 * a server that knows its object. One that takes longer is rarely in time
 * anyway. */
#define SHORT_QUANTILE 0.3
#define SHORT_STEP 0.05
/* Free slots kept for the urgent types, in standard deviations of the number of
 * slots that they occupy (square-root staffing). */
#define RESERVE_DEVIATIONS 1.5
/* Least part of the objective of an urgent type for which its requests may
 * queue at a server. */
#define SLACK_PART_MIN 0.25
/* Least depth of any class. */
#define DEPTH_MIN 0.34
/* A type or a workspace that is sent less often than this part of what is sent
 * of all requests has no bound until it is: twice the quarter that counts as
 * starvation, as hosts decide by few requests. */
#define FAIR_PART 0.5
/* Requests from which on that is judged. */
#define FAIR_REQUESTS_MIN 4.0
/* Where requests cost about the same, slots that are kept for urgent types
 * refuse as many requests as they serve. They are kept only as far as the
 * urgent types are in time less often than this type: not for less than the
 * first part, and whole from the second on, at which the less urgent type
 * counts as preferred. */
#define SHORTFALL_MIN 0.05
#define SHORTFALL_MAX 0.15
/* A request of a type that takes this many times as long as an urgent one makes
 * room for several when it yields, so that the reserve is always whole. */
#define COSTLY_FACTOR 2.0
/* Requests that ended, from which on the shares are compared. */
#define ENDED_MIN 8.0

static void
service_free(void *p)
{
	urgency_service_t *s = p;

	g_ptr_array_free(s->types, TRUE);
	g_hash_table_destroy(s->workspaces);
	g_free(s);
}

void
urgency_init(urgency_t *u)
{
	u->manifest = NULL;
	u->routes = g_array_new(FALSE, FALSE, sizeof(int64_t));
	u->workspaces = g_array_new(FALSE, FALSE, sizeof(int64_t));
	u->services = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, service_free);
}

void
urgency_finish(urgency_t *u)
{
	manifest_unref(u->manifest);
	g_array_free(u->routes, TRUE);
	g_array_free(u->workspaces, TRUE);
	g_hash_table_destroy(u->services);
}

/* Return: where the priority is, or is to be inserted. */
static guint
rank_of(const GArray *priorities, int64_t priority)
{
	guint i = 0;

	while (i < priorities->len &&
	    g_array_index(priorities, int64_t, i) < priority)
		i++;
	return i;
}

static void
add_priority(GArray *priorities, int64_t priority)
{
	guint i = rank_of(priorities, priority);

	if (i == priorities->len ||
	    g_array_index(priorities, int64_t, i) != priority)
		g_array_insert_val(priorities, i, priority);
}

static void
set_manifest(urgency_t *u, manifest_t *m)
{
	guint i;

	manifest_unref(u->manifest);
	u->manifest = manifest_ref(m);
	g_array_set_size(u->routes, 0);
	g_array_set_size(u->workspaces, 0);
	for (i = 0; i < m->routes->len; i++) {
		const manifest_route_t *r = g_ptr_array_index(m->routes, i);

		add_priority(u->routes, r->priority);
	}
	for (i = 0; i < m->workspaces->len; i++) {
		const manifest_workspace_t *w =
		    g_ptr_array_index(m->workspaces, i);

		add_priority(u->workspaces, w->priority);
	}
}

static void
decay_in(urgency_count_t *c, msec_t window_ms, msec_t now)
{
	double part;

	if (now <= c->at)
		return;
	part = exp(-(double)(now - c->at) / (double)window_ms);
	c->offered *= part;
	c->sent *= part;
	c->at = now;
}

static void
decay(urgency_count_t *c, msec_t now)
{
	decay_in(c, URGENCY_WINDOW_MS, now);
}

static urgency_service_t *
find_service(urgency_t *u, const char *name)
{
	urgency_service_t *s = g_hash_table_lookup(u->services, name);

	if (s != NULL)
		return s;
	s = g_new0(urgency_service_t, 1);
	s->types = g_ptr_array_new_with_free_func(g_free);
	s->workspaces =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	g_hash_table_insert(u->services, g_strdup(name), s);
	return s;
}

static urgency_type_t *
find_type(urgency_service_t *s, uint64_t route, guint class, msec_t now)
{
	urgency_type_t *t, *oldest = NULL;
	guint i;

	for (i = 0; i < s->types->len; i++) {
		t = g_ptr_array_index(s->types, i);
		if (t->route == route && t->class == class)
			return t;
		if (oldest == NULL || t->count.at < oldest->count.at)
			oldest = t;
	}
	if (s->types->len < TYPES_MAX) {
		t = g_new0(urgency_type_t, 1);
		g_ptr_array_add(s->types, t);
	} else {
		/* Requests of it in flight are then counted for the new type.
		 */
		t = oldest;
		memset(t, 0, sizeof(*t));
	}
	t->route = route;
	t->class = class;
	t->count.at = t->ended.at = now;
	return t;
}

urgency_class_t
urgency_classify(urgency_t *u, const admission_t *a, msec_t now)
{
	urgency_class_t c = {.workspace = 0};
	guint class;

	if (a->manifest == NULL)
		return c;
	if (u->manifest != a->manifest)
		set_manifest(u, a->manifest);
	if (u->routes->len * MAX(u->workspaces->len, 1) <= 1)
		return c;
	class = a->workspace != NULL
	    ? rank_of(u->workspaces, a->workspace->priority)
	    : MAX(u->workspaces->len, 1) - 1;
	class = class * u->routes->len + rank_of(u->routes, a->route->priority);
	c.service = find_service(u, a->service->name);
	c.type =
	    find_type(c.service, registry_hash(a->route->name), class, now);
	c.type->objective_ms = a->route->objective_ms;
	if (a->workspace != NULL)
		c.workspace = registry_hash(a->workspace->name);
	return c;
}

/* The requests of a service, as far as run times are known. */
typedef struct {
	double offered, sent; /* requests of all types */
	double urgent_work;   /* of the more urgent types */
	double work;	      /* of all types */
	double run_ms;	      /* mean of all requests */
	double urgent_run_ms; /* mean of the more urgent requests */
	double slack_ms;      /* mean of the more urgent requests */
} demand_t;

static double
slack_of(const urgency_type_t *t)
{
	double objective = (double)t->objective_ms;

	return MAX(objective - t->short_ms, SLACK_PART_MIN * objective);
}

static demand_t
demand_of(const urgency_service_t *s, guint class, msec_t now)
{
	demand_t d = {0};
	double urgent = 0, known = 0;
	guint i;

	for (i = 0; i < s->types->len; i++) {
		urgency_type_t *t = g_ptr_array_index(s->types, i);
		double n;

		decay(&t->count, now);
		d.offered += t->count.offered;
		d.sent += t->count.sent;
		if (t->run_ms <= 0)
			continue;
		/* Also what was refused of the more urgent types needs slots.
		 */
		n = t->class < class ? t->count.offered : t->count.sent;
		known += n;
		d.work += n * t->run_ms;
		if (t->class < class) {
			urgent += n;
			d.urgent_work += n * t->run_ms;
			d.slack_ms += n * slack_of(t);
		}
	}
	d.run_ms = known > 0 ? d.work / known : 0;
	d.slack_ms = urgent > 0 ? d.slack_ms / urgent : 0;
	d.urgent_run_ms = urgent > 0 ? d.urgent_work / urgent : 0;
	return d;
}

/* Whether the requests counted are sent much less often than all. */
static gboolean
is_deprived(const urgency_count_t *c, const demand_t *d)
{
	return c != NULL && c->offered >= FAIR_REQUESTS_MIN &&
	    c->sent * d->offered < FAIR_PART * d->sent * c->offered;
}

static double
part_between(double value, double from, double to)
{
	return CLAMP((value - from) / (to - from), 0, 1);
}

/* Which part of the reserve is held for the more urgent types, 0..1. */
static double
reserve_part(const urgency_class_t *c, const demand_t *d, msec_t now)
{
	urgency_count_t urgent = {0}, *own = &c->type->ended;
	double shortfall, costly;
	guint i;

	costly =
	    part_between(c->type->run_ms / d->urgent_run_ms, 1, COSTLY_FACTOR);

	for (i = 0; i < c->service->types->len; i++) {
		urgency_type_t *t = g_ptr_array_index(c->service->types, i);

		decay_in(&t->ended, URGENCY_ENDED_WINDOW_MS, now);
		if (t->class >= c->type->class)
			continue;
		urgent.offered += t->ended.offered;
		urgent.sent += t->ended.sent;
	}
	if (urgent.offered < ENDED_MIN || own->offered < ENDED_MIN)
		return costly;
	shortfall = own->sent / own->offered - urgent.sent / urgent.offered;
	return MAX(
	    part_between(shortfall, SHORTFALL_MIN, SHORTFALL_MAX), costly);
}

double
urgency_depth(const urgency_class_t *c, double load, double slots, msec_t now)
{
	double part, reserve, held, depth;
	demand_t d;

	if (c->type == NULL || c->type->class == 0)
		return 0;
	d = demand_of(c->service, c->type->class, now);
	if (d.urgent_work <= 0 || is_deprived(&c->type->count, &d) ||
	    is_deprived(
		g_hash_table_lookup(c->service->workspaces, &c->workspace), &d))
		return 0;
	held = reserve_part(c, &d, now);
	if (held <= 0)
		return 0;
	part = d.urgent_work / d.work * MIN(load, 1);
	reserve = part + RESERVE_DEVIATIONS * sqrt(part / slots);
	depth = MAX(1 + d.slack_ms / d.run_ms - reserve, DEPTH_MIN);
	return depth + (1 - held) * MAX(PLACING_OVERLOAD_DEPTH - depth, 0);
}

gboolean
urgency_is_mixed(const urgency_service_t *s)
{
	const urgency_type_t *first = g_ptr_array_index(s->types, 0);
	guint i = 1;

	while (i < s->types->len) {
		const urgency_type_t *t = g_ptr_array_index(s->types, i++);

		if (t->class != first->class)
			return TRUE;
	}
	return FALSE;
}

static void
count(urgency_count_t *c, gboolean sent, msec_t now)
{
	decay(c, now);
	c->offered += 1;
	c->sent += sent;
}

static gboolean
is_unseen(gpointer key, gpointer value, gpointer arg)
{
	urgency_count_t *c = value;

	(void)key;
	decay(c, *(const msec_t *)arg);
	return c->offered < 1;
}

static void
count_request(const urgency_class_t *c, gboolean sent, msec_t now)
{
	GHashTable *all;
	urgency_count_t *w;
	uint64_t *key;

	if (c->type == NULL)
		return;
	count(&c->type->count, sent, now);
	if (c->workspace == 0)
		return;
	all = c->service->workspaces;
	w = g_hash_table_lookup(all, &c->workspace);
	if (w == NULL) {
		if (g_hash_table_size(all) >= WORKSPACES_MAX)
			g_hash_table_foreach_remove(all, is_unseen, &now);
		if (g_hash_table_size(all) >= WORKSPACES_MAX)
			return;
		key = g_new(uint64_t, 1);
		*key = c->workspace;
		w = g_new0(urgency_count_t, 1);
		w->at = now;
		g_hash_table_insert(all, key, w);
	}
	count(w, sent, now);
}

void
urgency_sent(const urgency_class_t *c, msec_t now)
{
	count_request(c, TRUE, now);
}

void
urgency_ended(const urgency_class_t *c, gboolean in_time, msec_t now)
{
	if (c->type == NULL)
		return;
	decay_in(&c->type->ended, URGENCY_ENDED_WINDOW_MS, now);
	c->type->ended.offered += 1;
	c->type->ended.sent += in_time;
}

void
urgency_refused(const urgency_class_t *c, msec_t now)
{
	urgency_ended(c, FALSE, now);
	count_request(c, FALSE, now);
}

void
urgency_ran(const urgency_class_t *c, double run_ms)
{
	urgency_type_t *t = c->type;

	if (t == NULL)
		return;
	if (t->run_ms <= 0) {
		t->run_ms = run_ms;
		t->short_ms = run_ms;
		return;
	}
	t->run_ms += RUN_SMOOTHING * (run_ms - t->run_ms);
	t->short_ms += t->short_ms * SHORT_STEP *
	    (run_ms > t->short_ms ? SHORT_QUANTILE : SHORT_QUANTILE - 1);
}
