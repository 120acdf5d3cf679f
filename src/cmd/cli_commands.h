#ifndef CMD_CLI_COMMANDS_H
#define CMD_CLI_COMMANDS_H

#include <stdio.h>

#include "cmd/cli_outcome.h"
#include "cmd/cli_options.h"

/**
 * cli_run() - Run one command.
 * @o: the command line
 * @in: stream from which a key is read
 * @out: stream for answers
 * @err: stream for errors, and for the outcome when a key is printed
 */
cli_exit_t cli_run(const cli_options_t *o, FILE *in, FILE *out, FILE *err);

#endif
