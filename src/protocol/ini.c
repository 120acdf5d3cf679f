#include <errno.h>
#include <math.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "protocol/ini.h"
#include "protocol/config_text.h"

static void
report(const ini_t *ini, int line, const char *fmt, va_list ap)
{
	char *what = g_strdup_vprintf(fmt, ap);

	g_ptr_array_add(
	    ini->errors, g_strdup_printf("%s:%d: %s", ini->name, line, what));
	g_free(what);
}

static void report_at(const ini_t *ini, int line, const char *fmt, ...)
    G_GNUC_PRINTF(3, 4);

static void
report_at(const ini_t *ini, int line, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	report(ini, line, fmt, ap);
	va_end(ap);
}

static char *
line_name(const char *group, const char *key)
{
	if (key == NULL)
		return g_strdup(group);
	return g_strconcat(group, "\n", key, NULL);
}

static void
record_line(ini_t *ini, const char *group, const char *key, int line)
{
	char *name = line_name(group, key);
	int before = GPOINTER_TO_INT(g_hash_table_lookup(ini->lines, name));

	if (before == 0) {
		g_hash_table_insert(ini->lines, name, GINT_TO_POINTER(line));
		return;
	}
	report_at(ini, line, "repeated %s \"%s\", first on line %d",
	    key != NULL ? "key" : "group", key != NULL ? key : group, before);
	g_free(name);
}

/*
 * Scans one line and frees @group if the line begins another one. Returns the
 * current group, owned by the caller.
 */
static char *
scan_line(ini_t *ini, char *group, char *text, int line)
{
	char *end;

	g_strstrip(text);
	if (*text == '\0' || *text == '#' || *text == ';')
		return group;
	if (*text == '[') {
		end = strchr(text, ']');
		if (end == NULL || end[1] != '\0') {
			report_at(ini, line, "expected [group]");
			return group;
		}
		*end = '\0';
		g_free(group);
		record_line(ini, text + 1, NULL, line);
		return g_strdup(text + 1);
	}
	end = strchr(text, '=');
	if (end == NULL || end == text) {
		report_at(ini, line, "expected key = value");
		return group;
	}
	*end = '\0';
	g_strchomp(text);
	if (group == NULL)
		report_at(
		    ini, line, "key \"%s\" precedes the first [group]", text);
	else
		record_line(ini, group, text, line);
	return group;
}

static void
scan(ini_t *ini, const char *text)
{
	char **lines = g_strsplit(text, "\n", -1);
	char *group = NULL;
	int i;

	for (i = 0; lines[i] != NULL; i++)
		group = scan_line(ini, group, lines[i], i + 1);
	g_free(group);
	g_strfreev(lines);
}

void
ini_init(ini_t *ini, const char *name, const char *text, GPtrArray *errors)
{
	GError *err = NULL;

	ini->name = name;
	ini->errors = errors;
	ini->first = errors->len;
	ini->readable = FALSE;
	ini->file = g_key_file_new();
	ini->lines =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (!g_utf8_validate(text, -1, NULL)) {
		report_at(ini, 1, "expected UTF-8 text");
		return;
	}
	scan(ini, text);
	ini->readable = g_key_file_load_from_data(
	    ini->file, text, strlen(text), G_KEY_FILE_NONE, &err);
	if (!ini->readable && errors->len == ini->first)
		report_at(ini, 1, "%s", err->message);
	g_clear_error(&err);
}

/* Compares messages by the line number that follows the text's name. */
static gint
by_line(gconstpointer a, gconstpointer b, gpointer name)
{
	size_t skip = strlen(name) + 1;
	const char *x = *(char *const *)a + skip;
	const char *y = *(char *const *)b + skip;

	return (gint)(strtol(x, NULL, 10) - strtol(y, NULL, 10));
}

void
ini_finish(ini_t *ini)
{
	guint n = ini->errors->len - ini->first;

	if (n > 0)
		g_qsort_with_data(ini->errors->pdata + ini->first, (gint)n,
		    sizeof(gpointer), by_line, (gpointer)ini->name);
	g_key_file_free(ini->file);
	g_hash_table_destroy(ini->lines);
}

int
ini_line(const ini_t *ini, const char *group, const char *key)
{
	char *name = line_name(group, key);
	int line = GPOINTER_TO_INT(g_hash_table_lookup(ini->lines, name));

	g_free(name);
	if (line == 0 && key != NULL)
		return ini_line(ini, group, NULL);
	return line;
}

void
ini_error(
    const ini_t *ini, const char *group, const char *key, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	report(ini, ini_line(ini, group, key), fmt, ap);
	va_end(ap);
}

static gboolean
read_string(
    const ini_t *ini, const char *group, const ini_field_t *f, char *value)
{
	size_t len = strlen(value);

	if ((double)len >= f->min && (double)len <= f->max) {
		*(char **)f->out = value;
		return TRUE;
	}
	ini_error(ini, group, f->key,
	    "%s: expected %.0f to %.0f characters, found %zu", f->key, f->min,
	    f->max, len);
	return FALSE;
}

static void
read_number(const ini_t *ini, const char *group, const ini_field_t *f,
    const char *value)
{
	gboolean whole = f->kind == INI_NUMBER;
	int64_t n = 0;
	double d = 0;
	char *end;

	errno = 0;
	if (whole) {
		n = strtoll(value, &end, 10);
		d = (double)n;
	} else {
		d = strtod(value, &end);
	}
	if (errno != 0 || end == value || *end != '\0' || !isfinite(d) ||
	    d < f->min || d > f->max) {
		ini_error(ini, group, f->key,
		    "%s: expected a %snumber from %g to %g, found \"%s\"",
		    f->key, whole ? "whole " : "", f->min, f->max, value);
		return;
	}
	if (whole)
		*(int64_t *)f->out = n;
	else
		*(double *)f->out = d;
}

static void
read_flag(const ini_t *ini, const char *group, const ini_field_t *f,
    const char *value)
{
	if (strcmp(value, "yes") == 0)
		*(gboolean *)f->out = TRUE;
	else if (strcmp(value, "no") == 0)
		*(gboolean *)f->out = FALSE;
	else
		ini_error(ini, group, f->key,
		    "%s: expected yes or no, found \"%s\"", f->key, value);
}

static void
read_field(const ini_t *ini, const char *group, const ini_field_t *f)
{
	char *value = g_key_file_get_string(ini->file, group, f->key, NULL);

	if (value == NULL) {
		if (f->required)
			ini_error(ini, group, f->key, "[%s] lacks \"%s\"",
			    group, f->key);
		return;
	}
	g_strchomp(value);
	switch (f->kind) {
	case INI_STRING:
		if (read_string(ini, group, f, value))
			return;
		break;
	case INI_NUMBER:
	case INI_DECIMAL:
		read_number(ini, group, f, value);
		break;
	case INI_FLAG:
		read_flag(ini, group, f, value);
		break;
	}
	g_free(value);
}

static void
report_unknown(
    const ini_t *ini, const char *group, const ini_field_t *fields, size_t n)
{
	char **keys = g_key_file_get_keys(ini->file, group, NULL, NULL);
	size_t i, k;

	for (k = 0; keys != NULL && keys[k] != NULL; k++) {
		for (i = 0; i < n; i++) {
			if (strcmp(keys[k], fields[i].key) == 0)
				break;
		}
		if (i == n)
			ini_error(ini, group, keys[k],
			    "unknown key \"%s\" in [%s]", keys[k], group);
	}
	g_strfreev(keys);
}

void
ini_group(
    const ini_t *ini, const char *group, const ini_field_t *fields, size_t n)
{
	size_t i;

	report_unknown(ini, group, fields, n);
	for (i = 0; i < n; i++)
		read_field(ini, group, &fields[i]);
}

void
ini_address(
    const ini_t *ini, const char *group, const char *key, const char *address)
{
	if (address != NULL && !address_is_valid(address))
		ini_error(ini, group, key, "%s: expected IP:PORT, found \"%s\"",
		    key, address);
}

void
ini_log_level(const ini_t *ini, const char *group, const char *key,
    const char *name, log_level_t *level)
{
	if (name != NULL && log_level_parse(name, level) != 0)
		ini_error(ini, group, key,
		    "%s: expected debug, info, warn or error, found \"%s\"",
		    key, name);
}

void
ini_groups(const ini_t *ini, const char *const *known, size_t n)
{
	char **names = g_key_file_get_groups(ini->file, NULL);
	size_t i, k;

	for (i = 0; names[i] != NULL; i++) {
		for (k = 0; k < n && strcmp(names[i], known[k]) != 0;)
			k++;
		if (k == n)
			ini_error(ini, names[i], NULL, "unknown group [%s]",
			    names[i]);
	}
	g_strfreev(names);
}

char *
ini_read_file(const char *path, size_t max, GError **err)
{
	GError *cause = NULL;
	char *text;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, &cause)) {
		error_set(err, ERROR_INVALID, "file.read", path, "%s",
		    cause->message);
		g_error_free(cause);
		return NULL;
	}
	if (len > max || memchr(text, '\0', len) != NULL) {
		error_set(err, ERROR_INVALID, "file.read", path,
		    "expected text of at most %zu bytes", max);
		g_free(text);
		return NULL;
	}
	return text;
}

gboolean
ini_open(ini_t *ini, const char *path, size_t max, GPtrArray *errors)
{
	GError *err = NULL;
	char *text = ini_read_file(path, max, &err);

	if (text == NULL) {
		g_ptr_array_add(errors, g_strdup(err->message));
		g_error_free(err);
		return FALSE;
	}
	ini_init(ini, path, text, errors);
	g_free(text);
	return TRUE;
}
