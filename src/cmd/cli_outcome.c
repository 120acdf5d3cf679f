#include "cmd/cli_outcome.h"

gboolean
cli_tally_answer(cli_tally_t *t, operate_outcome_t outcome)
{
	if (outcome == OPERATE_UNKNOWN) {
		if (t->state == CLI_STATE_UNREACHABLE)
			t->state = CLI_STATE_UNKNOWN;
		return FALSE;
	}
	/*
	 * A refusal is valid for the host that sent it, not for a host whose
	 * answer was lost. An accepted operation is neither refused nor in
	 * conflict later.
	 */
	if (outcome == OPERATE_REFUSED && t->state != CLI_STATE_UNREACHABLE)
		return FALSE;
	if (outcome == OPERATE_CONFLICT && t->state == CLI_STATE_ANSWERED)
		return FALSE;
	t->state = CLI_STATE_ANSWERED;
	t->outcome = outcome;
	return TRUE;
}

void
cli_tally_failure(cli_tally_t *t, error_code_t code)
{
	if (code == ERROR_UNKNOWN && t->state == CLI_STATE_UNREACHABLE)
		t->state = CLI_STATE_UNKNOWN;
}

gboolean
cli_tally_is_settled(const cli_tally_t *t)
{
	return t->state == CLI_STATE_ANSWERED && t->outcome != OPERATE_ACCEPTED;
}

const char *
cli_tally_word(const cli_tally_t *t)
{
	static const char *const words[] = {
	    [OPERATE_ACCEPTED] = "accepted",
	    [OPERATE_IN_FORCE] = "in force",
	    [OPERATE_DONE] = "done",
	    [OPERATE_TAKEN_BACK] = "taken back",
	    [OPERATE_CONFLICT] = "conflict",
	    [OPERATE_REFUSED] = "refused",
	    [OPERATE_UNKNOWN] = "unknown",
	};

	switch (t->state) {
	case CLI_STATE_UNREACHABLE:
		return "unreachable";
	case CLI_STATE_UNKNOWN:
		return "unknown";
	case CLI_STATE_ANSWERED:
		break;
	}
	return words[t->outcome];
}

static cli_exit_t
exit_of(operate_outcome_t outcome, gboolean waited)
{
	switch (outcome) {
	case OPERATE_ACCEPTED:
		return waited ? CLI_EXIT_UNKNOWN : CLI_EXIT_DONE;
	case OPERATE_IN_FORCE:
	case OPERATE_DONE:
		return CLI_EXIT_DONE;
	case OPERATE_TAKEN_BACK:
	case OPERATE_REFUSED:
		return CLI_EXIT_REFUSED;
	case OPERATE_CONFLICT:
		return CLI_EXIT_CONFLICT;
	case OPERATE_UNKNOWN:
		break;
	}
	return CLI_EXIT_UNKNOWN;
}

cli_exit_t
cli_tally_exit(const cli_tally_t *t, gboolean waited)
{
	switch (t->state) {
	case CLI_STATE_UNREACHABLE:
		return CLI_EXIT_UNREACHABLE;
	case CLI_STATE_UNKNOWN:
		return CLI_EXIT_UNKNOWN;
	case CLI_STATE_ANSWERED:
		break;
	}
	return exit_of(t->outcome, waited);
}
