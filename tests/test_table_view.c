#include <string.h>

#include "protocol/table_view.h"
#include "suite.h"

/*
 * A step is a page: "K=V@N" is row K with value V at version N, "K-@N" its
 * removal; "^N" is the page's version, "+" says that more pages follow.
 * Changes that the view reports are written in the same way. In "read/1: ..."
 * and "changes/1: ..." versions are of era 1. Lost rows are reported at the
 * end, with the version of the older row in their place.
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
	    row->value != NULL ? row->value : "", store_era_number(row->ver));
}

static void
on_lost(void *arg, const char *key, uint64_t stored)
{
	g_string_append_printf(arg, "lost %s@%" G_GUINT64_FORMAT " ", key,
	    store_era_number(stored));
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
    /* Failures in a new era: a row goes back to an older state, stays out
     * although it was written anew, or its loss is not noticed. */
    {"the same rows in a new era",
	{"read: a=1@1 b=2@2 ^2", "read/1: a=1@1 b=2@2 ^2"}, "a=1@1 b=2@2 "},
    {"an older row comes back",
	{"read: a=1@1 ^1", "changes: a=2@5 ^5", "read/1: a=1@1 ^3"},
	"a=1@1 a=2@5 lost a@1 "},
    {"a renewed older row comes back",
	{"read: a=1@1 ^1", "changes: a=2@5 ^5", "read/1: a=1@3 ^3"},
	"a=1@1 a=2@5 lost a@3 "},
    {"a removed row comes back",
	{"read: a=1@1 ^1", "changes: a-@5 ^5", "read/1: a=1@1 ^3"},
	"a=1@1 a-@5 "},
    {"a row that a listing lacked comes back",
	{"read: a=1@1 ^1", "read: ^5", "read/1: a=1@1 ^3"}, "a=1@1 a-@5 "},
    {"a row is lost", {"read: a=1@1 b=1@2 ^2", "read/1: a=1@1 ^1"},
	"a=1@1 b=1@2 lost b@0 "},
    {"a lost row is removed",
	{"read: a=1@1 b=1@2 ^2", "read/1: a=1@1 ^1", "changes/1: b-@2 ^2"},
	"a=1@1 b=1@2 b-@2 "},
    {"an older row is written anew",
	{"read: a=1@1 ^1", "changes: a=2@5 ^5", "read/1: a=1@1 ^3",
	    "changes/1: a=1@4 ^4"},
	"a=1@1 a=2@5 a=1@4 "},
    {"another row under a version that was used",
	{"read: a=1@1 ^1", "changes: a=2@5 ^5", "read/1: a=3@4 ^4"},
	"a=1@1 a=2@5 a=3@4 "},
    {"a later row of the old era",
	{"read: a=1@1 ^1", "read/1: a=1@1 ^1", "changes: a=2@9 ^9"}, "a=1@1 "},
    {"two eras",
	{"read: a=1@1 ^1", "changes: a=2@5 ^5", "read/2: a=1@1 ^1",
	    "read/3: a=1@1 ^1"},
	"a=1@1 a=2@5 lost a@1 "},
};

static void
run(const scenario_t *p)
{
	GString *reported = g_string_new(NULL);
	table_view_t v;
	uint64_t era;
	table_page_t page;
	gboolean reading = FALSE;
	guint i;

	table_view_init(&v);
	v.holds_lost = TRUE;
	for (i = 0; i < G_N_ELEMENTS(p->steps) && p->steps[i] != NULL; i++) {
		parse_page(strchr(p->steps[i], ':') + 1, &page);
		era = strchr(p->steps[i], '/') != NULL
		    ? strtoull(strchr(p->steps[i], '/') + 1, NULL, 10)
		    : 0;
		ck_assert(table_page_set_era(&page, era));
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
	table_view_lost(&v, on_lost, reported);
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
