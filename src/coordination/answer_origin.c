#include <string.h>

#include "coordination/answer_origin.h"

gboolean
answer_is_own(
    const answer_origin_t *a, const char *sent_id, answer_id_rule_t rule)
{
	if (a->id != NULL)
		return sent_id != NULL && strcmp(a->id, sent_id) == 0;
	if (a->not_run)
		return a->first_request;
	return rule == ANSWER_ID_OPTIONAL;
}
