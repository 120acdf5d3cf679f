#include <check.h>
#include <string.h>

#include <glib.h>

#include "table.h"

typedef struct {
	char *name;
	GString *input, *expected;
	gboolean in_expected; /* the line "--" has been read */
} case_t;

static void
run_case(case_t *c, char *(*run)(const char *input))
{
	char *got;

	if (c->name == NULL)
		return;
	got = run(c->input->str);
	if (strcmp(got, c->expected->str) != 0)
		ck_abort_msg("%s: expected\n%s\ngot\n%s", c->name,
		    c->expected->str, got);
	g_free(got);
	g_clear_pointer(&c->name, g_free);
	g_string_truncate(c->input, 0);
	g_string_truncate(c->expected, 0);
	c->in_expected = FALSE;
}

void
table_each(const char *file, char *(*run)(const char *input))
{
	char *path = g_strconcat(TABLES, "/", file, NULL);
	case_t c = {NULL, g_string_new(NULL), g_string_new(NULL), FALSE};
	char *text, **lines;
	int i;

	ck_assert_msg(
	    g_file_get_contents(path, &text, NULL, NULL), "no table %s", path);
	g_strchomp(text);
	lines = g_strsplit(text, "\n", -1);
	for (i = 0; lines[i] != NULL; i++) {
		if (g_str_has_prefix(lines[i], "#%"))
			continue;
		if (g_str_has_prefix(lines[i], "%% ")) {
			run_case(&c, run);
			c.name = g_strdup(lines[i] + 3);
		} else if (strcmp(lines[i], "--") == 0) {
			c.in_expected = TRUE;
		} else {
			g_string_append_printf(
			    c.in_expected ? c.expected : c.input, "%s\n",
			    lines[i]);
		}
	}
	run_case(&c, run);
	g_string_free(c.input, TRUE);
	g_string_free(c.expected, TRUE);
	g_strfreev(lines);
	g_free(text);
	g_free(path);
}
