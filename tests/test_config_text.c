#include <string.h>

#include "protocol/config_text.h"
#include "suite.h"
#include "table.h"

static char *
parse(const char *text)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	GString *out = g_string_new(NULL);
	catalog_t c;
	guint i;

	catalog_init(&c);
	if (config_text_parse(&c, "t", text, errors) == 0)
		g_string_append(out, "ok\n");
	for (i = 0; i < errors->len; i++)
		g_string_append_printf(
		    out, "%s\n", (char *)g_ptr_array_index(errors, i));
	catalog_finish(&c);
	g_ptr_array_free(errors, TRUE);
	return g_string_free(out, FALSE);
}

static void
config_texts_are_checked(void)
{
	table_each("text.txt", parse);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"configuration texts are checked", config_texts_are_checked},
	};

	return suite_run(
	    "config_text", cases, sizeof(cases) / sizeof(cases[0]));
}
