#ifndef CMD_CLI_PRINT_H
#define CMD_CLI_PRINT_H

#include <stdio.h>

#include "cmd/cli_fleet.h"

/* Output of answers, for people and as JSON. */

/* A key that this command has generated; both fields are NULL for other
 * operations. */
typedef struct {
	const char *key;
	const char *digest; /* in hexadecimal */
} cli_key_text_t;

/**
 * cli_print_answer() - Print the outcome of an operation.
 * @out: stream to print to
 * @json: as one JSON object, else as one line
 * @a: the outcome
 * @key: shown in JSON; members may be NULL
 */
void cli_print_answer(
    FILE *out, gboolean json, const cli_answer_t *a, const cli_key_text_t *key);

/**
 * cli_print_state() - Print a host's JSON, for status and dump.
 * @out: stream to print to
 * @json: print it unchanged, else one "path value" line for each leaf
 * @text: the host's JSON
 */
void cli_print_state(FILE *out, gboolean json, const char *text);

/**
 * cli_print_check() - Print the mistakes in a configuration file.
 * @out: stream to print to
 * @json: as one JSON object, else one line each
 * @name: name of the file
 * @errors: array of char *
 * @warnings: array of char *
 */
void cli_print_check(FILE *out, gboolean json, const char *name,
    const GPtrArray *errors, const GPtrArray *warnings);

#endif
