#include "base/log.h"
#include "gateway/pace_log.h"

static const char *const state_names[] = {
    [PACE_OPEN] = "open",
    [PACE_HELD] = "held",
    [PACE_COLD] = "cold",
    [PACE_OPENING] = "opening",
};

static void
on_changed(
    void *arg, const backend_t *b, pace_state_t before, pace_change_t change)
{
	pace_log_t *l = arg;

	if (before == PACE_OPEN)
		metrics_count(l->metrics, l->begun, 1);
	if (change == PACE_BACK)
		metrics_count(l->metrics, l->back, 1);
	if (change == PACE_OPENED)
		metrics_count(l->metrics, l->opened, 1);
	log_event(LOG_INFO, "server.pace", "server", b->id, "state",
	    state_names[b->pace.state], "was", state_names[before], "back",
	    change == PACE_BACK ? "1" : "0", "part_percent",
	    log_num((int64_t)(100 * b->pace.part)), "in_flight",
	    log_num(b->own), NULL);
}

void
pace_log_init(pace_log_t *l, dispatch_pace_t *pace, metrics_t *m)
{
	l->metrics = m;
	l->begun = metrics_add(m, METRIC_COUNTER, "server_paces_begun_total",
	    "backend servers that were limited because they were new or back");
	l->back = metrics_add(m, METRIC_COUNTER, "server_paces_back_total",
	    "steps back of such limits");
	l->opened = metrics_add(m, METRIC_COUNTER, "server_paces_opened_total",
	    "backend servers that got their whole share again");
	pace->changed = on_changed;
	pace->arg = l;
}
