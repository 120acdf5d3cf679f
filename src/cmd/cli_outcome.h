#ifndef CMD_CLI_OUTCOME_H
#define CMD_CLI_OUTCOME_H

#include <glib.h>

#include "base/error.h"
#include "protocol/rpc_body.h"

/*
 * Combines the answers of several hosts that were sent one operation with the
 * same token. It never claims more than the answers prove.
 */

typedef enum {
	CLI_EXIT_DONE = 0, /* done or in force; accepted, if not waited for */
	CLI_EXIT_REFUSED = 1, /* refused or taken back */
	CLI_EXIT_USAGE = 2,   /* invalid command line, settings or file */
	CLI_EXIT_UNKNOWN = 3,
	CLI_EXIT_CONFLICT = 4,
	CLI_EXIT_UNREACHABLE = 5, /* no host took the operation */
} cli_exit_t;

typedef enum {
	CLI_STATE_UNREACHABLE, /* no host was reached: no effect */
	CLI_STATE_UNKNOWN,     /* may have had an effect */
	CLI_STATE_ANSWERED,    /* @outcome is valid */
} cli_state_t;

typedef struct {
	cli_state_t state;
	operate_outcome_t outcome;
} cli_tally_t;

/**
 * cli_tally_answer() - Add a host's answer.
 * @t: the tally; zeroed before the first answer
 * @outcome: the answer
 *
 * Return: TRUE if it settles the operation, so that no other host needs to be
 * asked.
 */
gboolean cli_tally_answer(cli_tally_t *t, operate_outcome_t outcome);

/**
 * cli_tally_failure() - Add a failed call.
 * @t: the tally
 * @code: code of the GError
 */
void cli_tally_failure(cli_tally_t *t, error_code_t code);

/**
 * cli_tally_is_settled() - Has the operation ended?
 * @t: the tally
 */
gboolean cli_tally_is_settled(const cli_tally_t *t);

/**
 * cli_tally_word() - The outcome for the operator, in one or two words.
 * @t: the tally
 */
const char *cli_tally_word(const cli_tally_t *t);

/**
 * cli_tally_exit() - Exit code of the command.
 * @t: the tally
 * @waited: whether the operator asked to wait for the end
 */
cli_exit_t cli_tally_exit(const cli_tally_t *t, gboolean waited);

#endif
