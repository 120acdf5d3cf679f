#ifndef CMD_CLI_PRINT_H
#define CMD_CLI_PRINT_H

#include <stdio.h>

#include "cmd/cli_fleet.h"

/* How answers are written for people and for programs. */

/* A key that was made here; both NULL for other operations. */
typedef struct {
	const char *key;
	const char *digest; /* in hexadecimal */
} cli_key_text_t;

/**
 * cli_print_answer() - Write one operation's outcome.
 * @out: where to
 * @json: as one JSON object, else as one line
 * @a: the answer
 * @key: shown in JSON; members may be NULL
 */
void cli_print_answer(
    FILE *out, gboolean json, const cli_answer_t *a, const cli_key_text_t *key);

/**
 * cli_print_state() - Write a host's JSON, for status and dump.
 * @out: where to
 * @json: as it came, else one "path value" line for each leaf
 * @text: the host's JSON
 */
void cli_print_state(FILE *out, gboolean json, const char *text);

/**
 * cli_print_check() - Write what was found in a text.
 * @out: where to
 * @json: as one JSON object, else a line each
 * @name: of the text
 * @errors: char * each
 * @warnings: char * each
 */
void cli_print_check(FILE *out, gboolean json, const char *name,
    const GPtrArray *errors, const GPtrArray *warnings);

#endif
