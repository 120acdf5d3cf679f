#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdio.h>

/*
 * One line of key=value pairs for each event. Values are quoted and escaped,
 * so that nothing a caller sends can forge a line.
 */

typedef enum {
	LOG_DEBUG,
	LOG_INFO,
	LOG_WARN,
	LOG_ERROR,
} log_level_t;

/**
 * log_open() - Set where lines go and which are dropped.
 * @out: stream, owned by the caller; NULL silences the logger
 * @min: least level that is written
 */
void log_open(FILE *out, log_level_t min);

/**
 * log_bound() - Bound the volume, and never wait for the reader.
 * @lines_per_sec: most lines in a second; 0: no bound, lines may wait
 *
 * Lines over the bound, and lines that a full pipe can't take, are left out
 * and counted; the next line that is written is preceded by their number.
 * Errors are left out only where the pipe is full.
 */
void log_bound(unsigned int lines_per_sec);

/**
 * log_level_parse() - Read a level's name.
 * @name: "debug", "info", "warn" or "error"
 * @level: set on success
 *
 * Return: 0, or -1 for another name.
 */
int log_level_parse(const char *name, log_level_t *level);

/**
 * log_event() - Write one line.
 * @level: its level
 * @event: dotted name of the event, for instance "lease.lost"
 * @...: pairs of (const char *key, const char *value), ended by NULL; a NULL
 *	value is written as "-"
 */
void log_event(log_level_t level, const char *event, ...)
    __attribute__((sentinel));

/**
 * log_num() - Render a number as a value of log_event().
 * @n: the number
 *
 * Return: text that stays valid for the next seven calls.
 */
const char *log_num(long long n);

#endif
