#include <signal.h>
#include <stdio.h>

#include "cmd/cli_commands.h"

int
main(int argc, const char **argv)
{
	cli_exit_t code = CLI_EXIT_USAGE;
	cli_options_t options;
	GError *err = NULL;

	signal(SIGPIPE, SIG_IGN);
	if (cli_options_parse(&options, argc, argv, &err)) {
		code = cli_run(&options, stdin, stdout, stderr);
	} else {
		fprintf(stderr, "greengageloom: %s\n", err->message);
		g_error_free(err);
	}
	cli_options_finish(&options);
	return code;
}
