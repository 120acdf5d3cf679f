#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdio.h>

/*
 * Writes one line of key=value pairs for each event. Values are quoted and
 * escaped, so that a caller's input can't forge a line, and cut if they are
 * long. Writing never blocks: a line that a full pipe can't take is dropped and
 * counted.
 */

typedef enum {
	LOG_DEBUG,
	LOG_INFO,
	LOG_WARN,
	LOG_ERROR,
} log_level_t;

/**
 * log_open() - Set the output stream and the lowest level.
 * @out: stream, owned by the caller; NULL turns logging off
 * @min: lowest level that is written
 */
void log_open(FILE *out, log_level_t min);

/**
 * log_set_rate_limit() - Limit the number of lines.
 * @lines_per_sec: most lines in a second; 0: no limit
 *
 * Lines above the limit are dropped and counted. The next line that is written
 * is preceded by their number. Lines of level error are not limited.
 */
void log_set_rate_limit(unsigned int lines_per_sec);

/**
 * log_level_parse() - Parse the name of a level.
 * @name: "debug", "info", "warn" or "error"
 * @level: set on success
 *
 * Return: 0, or -1 for another name.
 */
int log_level_parse(const char *name, log_level_t *level);

/**
 * log_event() - Write one line.
 * @level: level of the event
 * @event: dotted name of the event, for instance "lease.lost"
 * @...: pairs of (const char *key, const char *value), ended by NULL; a NULL
 *	value is written as "-"
 */
void log_event(log_level_t level, const char *event, ...)
    __attribute__((sentinel));

/**
 * log_text() - Write a text of several lines that was asked for.
 * @fd: where to
 * @text: the text
 *
 * Never blocks: what a full pipe can't take is left out, and a line of the log
 * (log.text_cut) counts its bytes.
 */
void log_text(int fd, const char *text);

/**
 * log_num() - Format a number as a value of log_event().
 * @n: the number
 *
 * Return: text in a static buffer, valid for the next seven calls.
 */
const char *log_num(long long n);

#endif
