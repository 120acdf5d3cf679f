#ifndef CMD_CLI_OUTCOME_H
#define CMD_CLI_OUTCOME_H

#include <glib.h>

#include "base/error.h"
#include "protocol/rpc_body.h"

/*
 * What is known of one operation after several hosts were asked with the same
 * token. It never says more than the answers prove.
 */

typedef enum {
	CLI_EXIT_DONE = 0,    /* done, in force; accepted if not waited for */
	CLI_EXIT_REFUSED = 1, /* refused or taken back */
	CLI_EXIT_USAGE = 2,   /* command line, settings or text invalid */
	CLI_EXIT_UNKNOWN = 3,
	CLI_EXIT_CONFLICT = 4,
	CLI_EXIT_UNREACHABLE = 5, /* no host took the operation */
} cli_exit_t;

typedef enum {
	CLI_STATE_UNREACHABLE, /* reached no host, had no effect */
	CLI_STATE_UNKNOWN,     /* may or may not have had an effect */
	CLI_STATE_ANSWERED,    /* outcome holds */
} cli_state_t;

typedef struct {
	cli_state_t state;
	operate_outcome_t outcome;
} cli_tally_t;

/**
 * cli_tally_answer() - Take a host's answer.
 * @t: zeroed before the first
 * @outcome: the answer
 *
 * Return: whether it settles the matter, so that no other host need be asked.
 */
gboolean cli_tally_answer(cli_tally_t *t, operate_outcome_t outcome);

/**
 * cli_tally_failure() - Take a call that failed.
 * @t: the tally
 * @code: of the GError
 */
void cli_tally_failure(cli_tally_t *t, error_code_t code);

/**
 * cli_tally_settled() - Whether the operation has come to its end.
 * @t: the tally
 */
gboolean cli_tally_settled(const cli_tally_t *t);

/**
 * cli_tally_word() - What to tell the operator, in one or two words.
 * @t: the tally
 */
const char *cli_tally_word(const cli_tally_t *t);

/**
 * cli_tally_exit() - Exit code.
 * @t: the tally
 * @waited: whether the operator asked to wait for the end
 */
cli_exit_t cli_tally_exit(const cli_tally_t *t, gboolean waited);

#endif
