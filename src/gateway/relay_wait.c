#include <sys/queue.h>

#include "base/log.h"
#include "gateway/relay_internal.h"

void
class_counters_init(class_counters_t *c, metrics_t *m)
{
	static const struct {
		const char *name, *help;
	} kinds[CLASS_EVENTS] = {
	    [CLASS_SENT] = {"sent", "requests sent to servers"},
	    [CLASS_WAITED] = {"waited", "requests that waited for a server"},
	    [CLASS_YIELDED] = {"yielded",
		"times that a request left a slot to more urgent ones"},
	    [CLASS_REJECTED] = {"rejected",
		"requests refused for lack of room"},
	};
	guint i, k;

	for (i = 0; i < URGENCY_CLASSES; i++) {
		char *name;

		for (k = 0; k < CLASS_EVENTS; k++) {
			name = g_strdup_printf(
			    "class_%u_%s_total", i, kinds[k].name);
			c->events[i][k] =
			    metrics_add(m, METRIC_COUNTER, name, kinds[k].help);
			g_free(name);
		}
		name = g_strdup_printf("class_%u_wait_ms", i);
		c->wait_ms[i] = metrics_add(m, METRIC_HISTOGRAM, name,
		    "time that a request waited for a server, ms");
		g_free(name);
	}
}

static guint
class_of(const relay_t *r)
{
	return MIN(r->job.class.type->class, URGENCY_CLASSES - 1);
}

void
relay_count_class(const relay_t *r, class_event_t event)
{
	if (r->job.class.type == NULL)
		return;
	metrics_count(r->relays->metrics,
	    r->relays->classes.events[class_of(r)][event], 1);
}

void
relay_note_yield(const relay_t *r, const char *reason)
{
	relay_count_class(r, CLASS_YIELDED);
	log_event(LOG_INFO, "request.yield", "id", r->id, "class",
	    log_num(r->job.class.type->class), "reason", reason, NULL);
}
