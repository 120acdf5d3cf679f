#ifndef TESTS_PLACING_MODEL_H
#define TESTS_PLACING_MODEL_H

#include <glib.h>

/*
 * Simulates a service under load whose requests several hosts place. A server
 * has slots, a queue and a cache of a bounded number of objects. A caller whose
 * request is refused sends it again once. A host knows its own requests, what
 * servers report with their answers, and the loads that other hosts report.
 */

typedef enum {
	MODEL_RANDOM,	    /* any server */
	MODEL_LEAST_LOADED, /* the least loaded server */
	MODEL_HASH,	    /* the object's top-scored server, even if full */
	MODEL_NO_OBJECTIVE, /* as hosts do, without the latency objective */
	MODEL_PLACING,	    /* as hosts do */
} model_policy_t;

typedef struct {
	double rate; /* callers per second */
	model_policy_t policy;
	gboolean offloads; /* busy servers offload objects */
	double restricted; /* part of callers for the first two servers */
	guint32 seed;
} model_setup_t;

typedef struct {
	guint requests, within_objective, late, refused;
} model_result_t;

void placing_model_run(const model_setup_t *setup, model_result_t *result);

/**
 * placing_model_value() - Value of the answers per request. A late answer
 * counts a fifth of one in time.
 */
double placing_model_value(const model_result_t *r);

/**
 * placing_model_limit() - Upper bound of placing_model_value(): every server
 * has every object cached, and one queue for all servers runs only requests
 * that are still in time.
 */
double placing_model_limit(double rate);

#endif
