#ifndef PROTOCOL_INI_H
#define PROTOCOL_INI_H

#include <glib.h>

#include "base/log.h"

/*
 * INI texts that are checked as a whole: every error is reported with its line
 * number. Values come from GKeyFile. A separate pass over the lines records
 * the line of each key and finds duplicates, which GKeyFile would merge.
 */

typedef struct {
	const char *name; /* of the text, for error messages */
	GKeyFile *file;
	GHashTable *lines; /* from "group\nkey" or "group" to line number */
	GPtrArray *errors; /* char *; owned by the caller of ini_init() */
	guint first;	   /* index of the first error of this text */
	gboolean readable; /* GKeyFile has parsed it: values can be read */
} ini_t;

/**
 * ini_init() - Parse a text.
 * @ini: memory provided by the caller
 * @name: name of the text, for error messages; must outlive @ini
 * @text: the text, NUL-terminated
 * @errors: array of char *; one message is appended for each error; must
 *	outlive @ini
 *
 * If the text is not in INI format, @readable stays FALSE. After other errors
 * the text is readable, so that further errors can be found.
 */
void ini_init(
    ini_t *ini, const char *name, const char *text, GPtrArray *errors);

/**
 * ini_open() - Read and parse a file.
 * @ini: memory provided by the caller
 * @path: path of the file, also its name in error messages; must outlive @ini
 * @max: maximum size of the file in bytes
 * @errors: as for ini_init()
 *
 * Return: whether the file was read. If not, the reason is appended to @errors,
 * and ini_finish() must not be called.
 */
gboolean ini_open(ini_t *ini, const char *path, size_t max, GPtrArray *errors);

/**
 * ini_finish() - Sort the errors by line number and free everything else.
 * @ini: the text
 */
void ini_finish(ini_t *ini);

/**
 * ini_line() - Line number of a key or group.
 * @ini: the text
 * @group: the group
 * @key: the key, or NULL for the group itself
 *
 * Return: the line number, from 1; the group's line if the key is absent; 0 if
 * the group is absent too.
 */
int ini_line(const ini_t *ini, const char *group, const char *key);

/**
 * ini_error() - Report an error at a key or group.
 * @ini: the text
 * @group: the group
 * @key: the key, or NULL for the group itself
 * @fmt: printf format: what was found and what was expected
 */
void ini_error(const ini_t *ini, const char *group, const char *key,
    const char *fmt, ...) G_GNUC_PRINTF(4, 5);

typedef enum {
	INI_STRING,
	INI_NUMBER,  /* integer, stored as int64_t */
	INI_DECIMAL, /* stored as double */
	INI_FLAG,    /* yes or no, stored as gboolean */
} ini_kind_t;

/* One key of a group, and where its value is stored. */
typedef struct {
	const char *key;
	ini_kind_t kind;
	gboolean required;
	double min, max; /* of the number, or of the string's length */
	void *out; /* char **, int64_t *, double * or gboolean *; unchanged
		      if an optional key is absent */
} ini_field_t;

/**
 * ini_group() - Read the keys of a group.
 * @ini: the text
 * @group: the group; a missing group reads as one without keys
 * @fields: the known keys
 * @n: number of fields
 *
 * Reports each unknown key, each missing required key and each invalid value.
 * Strings are allocated; the caller frees them with g_free().
 */
void ini_group(
    const ini_t *ini, const char *group, const ini_field_t *fields, size_t n);

/**
 * ini_address() - Report an error unless a value is "IP:PORT" or NULL.
 * @ini: the text
 * @group: its group
 * @key: its key
 * @address: the value
 */
void ini_address(
    const ini_t *ini, const char *group, const char *key, const char *address);

/**
 * ini_log_level() - Parse the name of a log level.
 * @ini: the text
 * @group: its group
 * @key: its key
 * @name: the value, or NULL
 * @level: set if the name is valid
 */
void ini_log_level(const ini_t *ini, const char *group, const char *key,
    const char *name, log_level_t *level);

/**
 * ini_groups() - Report each group with an unknown name.
 * @ini: the text
 * @known: the known names
 * @n: number of names
 */
void ini_groups(const ini_t *ini, const char *const *known, size_t n);

/**
 * ini_read_file() - Read a whole file as text.
 * @path: its path
 * @max: maximum size in bytes
 * @err: set on failure
 *
 * Return: the text, to be freed with g_free(), or NULL.
 */
char *ini_read_file(const char *path, size_t max, GError **err);

#endif
