#include <string.h>

#include "protocol/table_view.h"
#include "suite.h"

/*
 * A step is a page: "K=V@N" is row K with value V at version N, "K-@N" its
 * removal; "^N" is the page's version, "+" says that more pages follow.
 * Changes that the view reports are written in the same way.
 */
typedef struct {
	const char *name;
	const char *steps[6]; /* "read: ..." or "changes: ..." */
	const char *reported;
} scenario_t;

static void
parse_row(const char *word, table_page_t *page)
{
	const char *at = strchr(word, '@');
	table_row_t *row = table_page_add(page);

	row->key = g_strndup(word, 1);
	row->ver = strtoull(at + 1, NULL, 10);
	if (word[1] == '=') {
		row->value = g_strndup(word + 2, (gsize)(at - word - 2));
		row->len = strlen(row->value);
	}
}

static void
parse_page(const char *text, table_page_t *page)
{
	char **words = g_strsplit(text, " ", -1);
	guint i;

	table_page_init(page);
	for (i = 0; words[i] != NULL; i++) {
		if (words[i][0] == '^')
			page->ver = strtoull(words[i] + 1, NULL, 10);
		else if (words[i][0] == '+')
			page->more = TRUE;
		else if (words[i][0] != '\0')
			parse_row(words[i], page);
	}
	g_strfreev(words);
}

static void
on_change(void *arg, const table_row_t *row)
{
	GString *reported = arg;

	g_string_append_printf(reported, "%s%s%s@%" G_GUINT64_FORMAT " ",
	    row->key, row->value != NULL ? "=" : "-",
	    row->value != NULL ? row->value : "", row->ver);
}

static const scenario_t scenarios[] = {
    {"rows and changes",
	{"read: a=1@1 b=1@2 ^2", "changes: a=2@3 ^3", "changes: b-@4 ^4"},
	"a=1@1 b=1@2 a=2@3 b-@4 "},
    {"the same page twice",
	{"read: a=1@1 ^1", "changes: a=2@3 ^3", "changes: a=2@3 ^3"},
	"a=1@1 a=2@3 "},
    {"an old page",
	{"read: a=1@1 ^1", "changes: a=2@3 ^3", "changes: a=1@1 ^1"},
	"a=1@1 a=2@3 "},
    {"several changes of a row in a page",
	{"read: a=1@1 ^1", "changes: a=2@3 a=3@4 b=1@5 a=4@6 ^6"},
	"a=1@1 b=1@5 a=4@6 "},
    {"a full read lacks a row", {"read: a=1@1 b=1@2 ^2", "read: a=1@1 ^9"},
	"a=1@1 b=1@2 b-@9 "},
    {"an old read removes no newer row",
	{"read: a=1@1 ^1", "changes: b=1@5 ^5", "read: a=1@1 ^3"},
	"a=1@1 b=1@5 "},
    {"a read of several pages", {"read: a=1@1 + ^2", "read: b=1@2 ^3"},
	"a=1@1 b=1@2 "},
    {"a removed row is added again",
	{"read: a=1@1 ^1", "changes: a-@2 ^2", "changes: a=2@3 ^3", "read: ^4"},
	"a=1@1 a-@2 a=2@3 a-@4 "},
    {"a missed removal is reported once",
	{"read: a=1@1 ^1", "read: ^4", "read: ^5"}, "a=1@1 a-@4 "},
};

static void
run(const scenario_t *p)
{
	GString *reported = g_string_new(NULL);
	table_view_t v;
	table_page_t page;
	gboolean reading = FALSE;
	guint i;

	table_view_init(&v);
	for (i = 0; i < G_N_ELEMENTS(p->steps) && p->steps[i] != NULL; i++) {
		parse_page(strchr(p->steps[i], ':') + 1, &page);
		if (g_str_has_prefix(p->steps[i], "read")) {
			if (!reading)
				table_view_begin(&v);
			table_view_page(&v, &page, on_change, reported);
			reading = page.more;
		} else {
			table_view_changes(&v, &page, on_change, reported);
		}
		table_page_finish(&page);
	}
	ck_assert_msg(strcmp(reported->str, p->reported) == 0,
	    "%s: reported %s", p->name, reported->str);
	table_view_finish(&v);
	g_string_free(reported, TRUE);
}

static void
test_scenarios(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(scenarios); i++)
		run(&scenarios[i]);
}

static const suite_case_t cases[] = {
    {"reported changes of pages", test_scenarios},
};

int
main(void)
{
	return suite_run("table_view", cases, G_N_ELEMENTS(cases));
}
