#ifndef COORDINATION_ANSWER_ORIGIN_H
#define COORDINATION_ANSWER_ORIGIN_H

#include <glib.h>

/*
 * Whether an answer belongs to the request that waits for one on its
 * connection. A faulty server may write an earlier answer once more on a kept
 * connection. A refusal says that the request did not run, so it must not be
 * believed for a request that may be running.
 */

typedef struct {
	const char *id;		/* request id that the answer names, or NULL */
	gboolean not_run;	/* it says that the request did not run */
	gboolean first_request; /* no other was sent on the connection */
} answer_origin_t;

typedef enum {
	ANSWER_ID_REQUIRED, /* every server names the request */
	ANSWER_ID_OPTIONAL, /* some don't; they answer in order */
} answer_id_rule_t;

/**
 * answer_is_own() - Decide about an answer.
 * @a: the answer
 * @sent_id: request id that was sent, or NULL
 * @rule: what servers do
 *
 * Return: FALSE if the answer may belong to another request. What became of the
 * request that was sent is then unknown.
 */
gboolean answer_is_own(
    const answer_origin_t *a, const char *sent_id, answer_id_rule_t rule);

#endif
