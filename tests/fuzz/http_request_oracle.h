#ifndef FUZZ_HTTP_REQUEST_ORACLE_H
#define FUZZ_HTTP_REQUEST_ORACLE_H

#include "http_oracle.h"

/*
 * A strict reading of the requests on a connection by RFC 9112. What the
 * product accepts beside it:
 * - lines of a head that end with LF alone, and folded lines, which the RFC
 *   lets a server read as blanks (2.2, 5.2)
 * - blanks behind the version, which the RFC lets a server ignore (3)
 * - a request without Host, and targets of any visible characters
 * - ORACLE_EMPTY_LINES empty lines before a request (2.2)
 * - a version 1.x whose numbers have a sign, zeros or blanks in front, or more
 *   than one digit
 */

#define ORACLE_EMPTY_LINES 4

typedef struct {
	oracle_verdict_t verdict;
	GString *method, *target, *body;
	size_t end; /* where the next message begins */
	gboolean persistent;
} oracle_request_t;

static inline void
oracle_request_finish(oracle_request_t *r)
{
	g_string_free(r->method, TRUE);
	g_string_free(r->target, TRUE);
	g_string_free(r->body, TRUE);
}

/* Takes a line that ends with LF or CR LF. */
static inline gboolean
oracle_loose_line(oracle_text_t *t, const char **line, size_t *n)
{
	const char *lf = memchr(t->at, '\n', (size_t)(t->end - t->at));

	if (lf == NULL)
		return FALSE;
	*line = t->at;
	*n = (size_t)(lf - t->at);
	if (*n > 0 && lf[-1] == '\r')
		--*n;
	t->at = lf + 1;
	return TRUE;
}

static inline gboolean
oracle_version(const char *version, size_t n, int *minor)
{
	char *text = g_strndup(version, n), more;
	int major = 0;
	gboolean is_known =
	    sscanf(text, "HTTP/%d.%d%c", &major, minor, &more) == 2 &&
	    major == 1 && strlen(text) == n;

	*minor = *minor != 0;
	g_free(text);
	return is_known;
}

static inline gboolean
oracle_request_line(const char *line, size_t n, int *minor, oracle_request_t *r)
{
	const char *sp = memchr(line, ' ', n), *version;
	size_t method, target;

	while (n > 0 && line[n - 1] == ' ')
		n--;
	if (sp == NULL || sp >= line + n)
		return FALSE;
	method = (size_t)(sp - line);
	version = memchr(sp + 1, ' ', n - method - 1);
	if (version == NULL || !oracle_is_token(line, method))
		return FALSE;
	target = (size_t)(version - sp) - 1;
	if (target == 0 || !oracle_is_text(sp + 1, target) ||
	    memchr(sp + 1, '\t', target) != NULL ||
	    !oracle_version(version + 1, n - method - target - 2, minor))
		return FALSE;
	g_string_append_len(r->method, line, (gssize)method);
	g_string_append_len(r->target, sp + 1, (gssize)target);
	return TRUE;
}

/* Reads the fields of a head; folded lines are joined. */
static inline oracle_verdict_t
oracle_request_fields(oracle_text_t *t, oracle_fields_t *f)
{
	GString *field = g_string_new(NULL);
	oracle_verdict_t verdict = ORACLE_PART;
	gboolean any = FALSE;
	const char *line;
	size_t n;

	while (verdict == ORACLE_PART && oracle_loose_line(t, &line, &n)) {
		if (n > 0 && (*line == ' ' || *line == '\t')) {
			g_string_append_c(field, ' ');
			oracle_trim(&line, &n);
			g_string_append_len(field, line, (gssize)n);
			continue;
		}
		if (any && !oracle_field(field->str, field->len, FALSE, f))
			verdict = ORACLE_BROKEN;
		else if (n == 0)
			verdict = ORACLE_WHOLE;
		any = TRUE;
		g_string_truncate(field, 0);
		g_string_append_len(field, line, (gssize)n);
	}
	g_string_free(field, TRUE);
	return verdict;
}

static inline void
oracle_request(const char *bytes, size_t n, oracle_request_t *r)
{
	oracle_text_t t = {.at = bytes, .end = bytes + n};
	oracle_fields_t f = {0};
	const char *line;
	size_t len;
	int empty = 0;

	memset(r, 0, sizeof(*r));
	r->method = g_string_new(NULL);
	r->target = g_string_new(NULL);
	r->body = g_string_new(NULL);
	do {
		if (!oracle_loose_line(&t, &line, &len))
			return;
	} while (len == 0 && ++empty <= ORACLE_EMPTY_LINES);
	r->verdict = ORACLE_BROKEN;
	if (!oracle_request_line(line, len, &f.minor, r))
		return;
	r->verdict = oracle_request_fields(&t, &f);
	if (r->verdict != ORACLE_WHOLE)
		return;
	if (f.is_chunked && f.has_length)
		r->verdict = ORACLE_BROKEN;
	else if (f.is_chunked)
		r->verdict = oracle_chunks(&t, r->body);
	else if (f.has_length)
		r->verdict = oracle_sized(&t, f.length, r->body);
	r->end = (size_t)(t.at - bytes);
	r->persistent = !f.has_close && (f.minor > 0 || f.has_keep_alive);
}

#endif
