#include <string.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "host/settings.h"
#include "suite.h"
#include "table.h"

/* Returns the errors of a settings file, with "t" instead of its path. */
static char *
check_settings(const char *text)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	char *path = g_strdup("/tmp/settings-XXXXXX");
	GString *out = g_string_new(NULL);
	const char *line;
	settings_t s;
	guint i;

	g_close(g_mkstemp(path), NULL);
	ck_assert(g_file_set_contents(path, text, -1, NULL));
	if (settings_init(&s, path, errors))
		g_string_append(out, "ok\n");
	for (i = 0; i < errors->len; i++) {
		line = g_ptr_array_index(errors, i);
		ck_assert(g_str_has_prefix(line, path));
		g_string_append_printf(out, "t%s\n", line + strlen(path));
	}
	settings_finish(&s);
	g_unlink(path);
	g_free(path);
	g_ptr_array_free(errors, TRUE);
	return g_string_free(out, FALSE);
}

static void
settings_are_checked(void)
{
	table_each("settings.txt", check_settings);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"settings are checked", settings_are_checked},
	};

	return suite_run("settings", cases, sizeof(cases) / sizeof(cases[0]));
}
