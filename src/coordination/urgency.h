#ifndef COORDINATION_URGENCY_H
#define COORDINATION_URGENCY_H

#include "coordination/admission.h"
#include "state/registry.h"

/*
 * Priority classes. Where a manifest has routes or workspaces of different
 * priorities, a less urgent request leaves the slots of a server free that the
 * more urgent types of the same service need. The need is learned from the
 * requests of this host: a type's part of the work, which is its number of
 * requests times their run time. Parts are used, as one of 100 hosts sees only
 * a few requests of a type per second; the amount of work follows from the load
 * that servers report. All of it is lost with a restart and learned again
 * within URGENCY_WINDOW_MS; until then all types are treated alike.
 *
 * The loads to handle: long requests without haste that occupy the slots needed
 * by short urgent ones, at times at several times their usual rate.
 */

/* Requests are counted with a weight that falls to 1/e within this time: a few
 * tens of requests of each type, and less than the period of usual bursts. */
#define URGENCY_WINDOW_MS 8000
/* The same for the share of requests that are in time: of a type, a host sees
 * some tens of requests in it. */
#define URGENCY_ENDED_WINDOW_MS 8000
/* Classes that have counters of their own; the last one collects the rest. */
#define URGENCY_CLASSES 6

/* Requests of a type or of a workspace, as a decaying count. */
typedef struct {
	double offered; /* sent or refused for lack of room */
	double sent;
	msec_t at; /* time up to which both have decayed */
} urgency_count_t;

/* Requests of a route and of workspaces of one priority, for one service. */
typedef struct {
	uint64_t route; /* hash of its name */
	guint class;	/* rank of its priority; 0 is the most urgent */
	msec_t objective_ms;
	urgency_count_t count;
	/* Requests that ended; @sent counts those in time. */
	urgency_count_t ended;
	double run_ms;	 /* mean run time at a server; 0: none known */
	double short_ms; /* run time that a part of the requests keeps to */
} urgency_type_t;

typedef struct {
	GPtrArray *types;	/* urgency_type_t */
	GHashTable *workspaces; /* hash of the name to urgency_count_t */
} urgency_service_t;

typedef struct {
	manifest_t *manifest; /* reference; the priorities are its own */
	GArray *routes;	      /* distinct priorities, int64_t, ascending */
	GArray *workspaces;
	GHashTable *services; /* name to urgency_service_t */
} urgency_t;

/* What is known of one request. @type is NULL if all types are treated alike;
 * types and services are kept until urgency_finish(). */
typedef struct {
	urgency_service_t *service;
	urgency_type_t *type;
	uint64_t workspace; /* hash of its name; 0: none */
} urgency_class_t;

void urgency_init(urgency_t *u);
void urgency_finish(urgency_t *u);

/**
 * urgency_classify() - Find the class of a request.
 * @u: the state
 * @a: its admission
 * @now: time
 *
 * A workspace's priority takes precedence: routes of equal workspaces are
 * compared by their own. A request without a workspace counts as one of the
 * least urgent workspace.
 */
urgency_class_t urgency_classify(
    urgency_t *u, const admission_t *a, msec_t now);

/**
 * urgency_depth() - Most requests per slot at a server that gets the request.
 * @c: the class of the request
 * @load: requests for each slot of the service
 * @slots: of a server
 * @now: time
 *
 * Return: 0 if the class sets no bound.
 */
double urgency_depth(
    const urgency_class_t *c, double load, double slots, msec_t now);

/** urgency_is_mixed() - Whether requests of several classes were seen. */
gboolean urgency_is_mixed(const urgency_service_t *s);

/** urgency_sent() - Count a request that is sent to a server. */
void urgency_sent(const urgency_class_t *c, msec_t now);

/** urgency_refused() - Count a request that is refused for lack of room. */
void urgency_refused(const urgency_class_t *c, msec_t now);

/**
 * urgency_ended() - Count a request that was answered.
 * @c: its class
 * @in_time: within its objective
 * @now: time
 */
void urgency_ended(const urgency_class_t *c, gboolean in_time, msec_t now);

/** urgency_ran() - Learn from the answer to a request how long it ran. */
void urgency_ran(const urgency_class_t *c, double run_ms);

#endif
