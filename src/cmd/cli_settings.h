#ifndef CMD_CLI_SETTINGS_H
#define CMD_CLI_SETTINGS_H

#include <glib.h>

#include "cmd/cli_options.h"

/* Addresses of the fleet and its secret, from settings file and options. */
typedef struct {
	char **hosts; /* "IP:PORT" for RPC, in the order of the calls */
	char *secret_file;
} cli_settings_t;

/**
 * cli_settings_init() - Read the settings file; options take precedence.
 * @s: set; call cli_settings_finish() in either case
 * @o: the command line
 * @errors: gets a line (char *) for each mistake
 *
 * The file is not read if options give both the host and the secret, unless
 * --config is given.
 */
gboolean cli_settings_init(
    cli_settings_t *s, const cli_options_t *o, GPtrArray *errors);
void cli_settings_finish(cli_settings_t *s);

#endif
