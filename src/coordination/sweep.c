#include <string.h>

#include "coordination/sweep.h"

void
sweep_push(sweep_marks_t *m, uint64_t version)
{
	if (m->n == SWEEP_MARKS_MAX)
		memmove(m->versions, m->versions + 1,
		    --m->n * sizeof(m->versions[0]));
	if (m->n > 0)
		version = MAX(version, m->versions[m->n - 1]);
	m->versions[m->n++] = version;
}

uint64_t
sweep_lapsed(const sweep_marks_t *m, guint periods)
{
	/* No period may have passed yet since the newest mark was pushed. */
	return m->n > periods ? m->versions[m->n - 1 - periods] : 0;
}

char *
sweep_format(const sweep_marks_t *m)
{
	GString *text = g_string_new(NULL);
	guint i;

	for (i = 0; i < m->n; i++)
		g_string_append_printf(text, "%s%" G_GUINT64_FORMAT,
		    i > 0 ? " " : "", (guint64)m->versions[i]);
	return g_string_free(text, FALSE);
}

static gboolean
parse_mark(sweep_marks_t *m, const char *word)
{
	guint64 version;

	if (m->n == SWEEP_MARKS_MAX ||
	    !g_ascii_string_to_unsigned(
		word, 10, 1, G_MAXINT64, &version, NULL))
		return FALSE;
	if (m->n > 0 && version < m->versions[m->n - 1])
		return FALSE;
	m->versions[m->n++] = version;
	return TRUE;
}

gboolean
sweep_parse(sweep_marks_t *m, const char *text)
{
	char **words = g_strsplit(text, " ", -1);
	gboolean ok = TRUE;
	guint i;

	m->n = 0;
	for (i = 0; ok && words[i] != NULL; i++)
		ok = parse_mark(m, words[i]);
	if (!ok)
		m->n = 0;
	g_strfreev(words);
	return ok;
}
