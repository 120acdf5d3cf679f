#ifndef CMD_CLI_SETTINGS_H
#define CMD_CLI_SETTINGS_H

#include <glib.h>

#include "cmd/cli_options.h"

/* Where the fleet is and how to be let in: settings file and options. */
typedef struct {
	char **hosts; /* "IP:PORT" of RPC, in the order of asking */
	char *secret_file;
} cli_settings_t;

/**
 * cli_settings_init() - Read the settings file, then let options go first.
 * @s: filled in; cli_settings_finish() is due either way
 * @o: the command line
 * @errors: takes a line (char *) for each mistake
 *
 * The file is not read where options give both the host and the secret.
 */
gboolean cli_settings_init(
    cli_settings_t *s, const cli_options_t *o, GPtrArray *errors);
void cli_settings_finish(cli_settings_t *s);

#endif
