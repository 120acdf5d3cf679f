#ifndef CMD_CLI_COMMANDS_H
#define CMD_CLI_COMMANDS_H

#include <stdio.h>

#include "cmd/cli_outcome.h"
#include "cmd/cli_options.h"

/**
 * cli_run() - Carry out one command.
 * @o: the command line
 * @in: from which a key is read
 * @out: for answers
 * @err: for mistakes, and for what stands beside a new key
 */
cli_exit_t cli_run(const cli_options_t *o, FILE *in, FILE *out, FILE *err);

#endif
