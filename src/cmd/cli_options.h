#ifndef CMD_CLI_OPTIONS_H
#define CMD_CLI_OPTIONS_H

#include <stdint.h>

#include <glib.h>

/* Command line of the operator's command. */

#define CLI_CONFIG_DEFAULT "/etc/greengageloom/operator.ini"
/* Default wait for apply and keys; moves are not waited for. */
#define CLI_WAIT_SEC 15
#define CLI_WITHIN_MAX_SEC (30 * 24 * 3600)

typedef enum {
	CLI_HELP,
	CLI_VERSION,
	CLI_CHECK,
	CLI_APPLY,
	CLI_STATUS,
	CLI_WATCH,
	CLI_KEY_ISSUE,
	CLI_KEY_WITHDRAW,
	CLI_SHIFT,
	CLI_DRAIN,
	CLI_ROLLOUT,
	CLI_CANCEL,
	CLI_DUMP,
} cli_verb_t;

typedef struct {
	cli_verb_t verb;
	cli_verb_t topic; /* of CLI_HELP; CLI_HELP for all commands */
	gboolean json;
	char *config;	   /* NULL unless given */
	char *host;	   /* NULL unless given */
	char *secret_file; /* NULL unless given */
	uint32_t wait_sec;
	char *operand; /* file, service, target, move, key or host */
	gboolean has_base;
	uint64_t base; /* version that the configuration file is based on */
	char *from, *to;
	uint32_t share_permille;
	uint32_t within_sec; /* 0: no limit */
	uint32_t count;	     /* reads of watch; 0: until interrupted */
} cli_options_t;

/**
 * cli_options_parse() - Parse the command line.
 * @o: set; call cli_options_finish() in either case
 * @argc: number of words, including the program's name
 * @argv: the words
 * @err: ERROR_INVALID, with the word that is wrong and why
 */
gboolean cli_options_parse(
    cli_options_t *o, int argc, const char **argv, GError **err);
void cli_options_finish(cli_options_t *o);

/**
 * cli_usage() - Help text for one command or all of them.
 * @topic: the command, or CLI_HELP
 *
 * Return: the text; free with g_free().
 */
char *cli_usage(cli_verb_t topic);

#endif
