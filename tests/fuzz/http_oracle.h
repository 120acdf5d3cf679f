#ifndef FUZZ_HTTP_ORACLE_H
#define FUZZ_HTTP_ORACLE_H

#include <string.h>

#include <glib.h>

/*
 * A strict reading of RFC 9112, without the product's code. What the RFC lets a
 * recipient accept but the product refuses counts as broken:
 * - answers: lines that end with LF alone, folded lines, interim answers (1xx),
 *   repeated lengths that are equal, codings other than one "chunked", a coding
 *   beside a length, chunk extensions, lengths over 18 digits and chunk sizes
 *   over 15 digits.
 */

typedef enum {
	ORACLE_PART, /* valid so far */
	ORACLE_WHOLE,
	ORACLE_BROKEN,
} oracle_verdict_t;

typedef struct {
	const char *at, *end;
	gboolean short_of; /* more bytes are needed */
} oracle_text_t;

/* The framing that the fields of a head name. */
typedef struct {
	int minor; /* of the version */
	gboolean has_length, is_chunked, has_close, has_keep_alive;
	guint64 length;
} oracle_fields_t;

typedef struct {
	oracle_verdict_t verdict;
	int status;
	GString *body;
	guint64 length; /* that the head names; 0: none */
	size_t end;	/* where the next message begins */
	gboolean until_close, persistent;
} oracle_answer_t;

static inline gboolean
oracle_is_token(const char *s, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (!g_ascii_isalnum(s[i]) &&
		    (s[i] == '\0' || strchr("!#$%&'*+-.^_`|~", s[i]) == NULL))
			return FALSE;
	}
	return n > 0;
}

/* VCHAR, obs-text, blank and tab. */
static inline gboolean
oracle_is_text(const char *s, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if ((s[i] >= 0 && s[i] < ' ' && s[i] != '\t') || s[i] == 0x7f)
			return FALSE;
	}
	return TRUE;
}

/* Takes a line that ends with CR LF. Return: FALSE if there is none yet, or if
 * it ends with LF alone; @t->short_of tells which. */
static inline gboolean
oracle_line(oracle_text_t *t, const char **line, size_t *n)
{
	const char *lf = memchr(t->at, '\n', (size_t)(t->end - t->at));

	t->short_of = lf == NULL;
	if (lf == NULL || lf == t->at || lf[-1] != '\r')
		return FALSE;
	*line = t->at;
	*n = (size_t)(lf - t->at) - 1;
	t->at = lf + 1;
	return TRUE;
}

static inline gboolean
oracle_digits(const char *s, size_t n, guint64 base, size_t max, guint64 *value)
{
	size_t i;

	*value = 0;
	for (i = 0; i < n; i++) {
		if (base == 16 ? !g_ascii_isxdigit(s[i])
			       : !g_ascii_isdigit(s[i]))
			return FALSE;
		*value = *value * base + (guint64)g_ascii_xdigit_value(s[i]);
	}
	return n > 0 && n <= max;
}

static inline gboolean
oracle_same(const char *s, size_t n, const char *text)
{
	return n == strlen(text) && g_ascii_strncasecmp(s, text, n) == 0;
}

static inline void
oracle_trim(const char **s, size_t *n)
{
	while (*n > 0 && (**s == ' ' || **s == '\t')) {
		(*s)++;
		(*n)--;
	}
	while (*n > 0 && ((*s)[*n - 1] == ' ' || (*s)[*n - 1] == '\t'))
		(*n)--;
}

static inline gboolean
oracle_lists(const char *value, size_t n, const char *token)
{
	char *text = g_strndup(value, n), **parts = g_strsplit(text, ",", -1);
	gboolean found = FALSE;
	size_t i;

	for (i = 0; parts[i] != NULL; i++)
		found |= g_ascii_strcasecmp(g_strstrip(parts[i]), token) == 0;
	g_strfreev(parts);
	g_free(text);
	return found;
}

/* Reads one field. Return: whether it is valid. */
static inline gboolean
oracle_field(
    const char *line, size_t n, gboolean in_trailer, oracle_fields_t *f)
{
	const char *colon = memchr(line, ':', n), *value;
	size_t name, len;
	gboolean length, coding;

	if (colon == NULL)
		return FALSE;
	name = (size_t)(colon - line);
	value = colon + 1;
	len = n - name - 1;
	if (!oracle_is_token(line, name) || !oracle_is_text(value, len))
		return FALSE;
	oracle_trim(&value, &len);
	length = oracle_same(line, name, "Content-Length");
	coding = oracle_same(line, name, "Transfer-Encoding");
	if (in_trailer)
		return !length && !coding;
	if (oracle_same(line, name, "Connection")) {
		f->has_close |= oracle_lists(value, len, "close");
		f->has_keep_alive |= oracle_lists(value, len, "keep-alive");
	}
	if (length) {
		if (f->has_length ||
		    !oracle_digits(value, len, 10, 18, &f->length))
			return FALSE;
		f->has_length = TRUE;
	}
	if (coding) {
		if (f->is_chunked || f->minor == 0 ||
		    !oracle_same(value, len, "chunked"))
			return FALSE;
		f->is_chunked = TRUE;
	}
	return TRUE;
}

/* Reads fields up to the empty line. */
static inline oracle_verdict_t
oracle_fields(oracle_text_t *t, gboolean in_trailer, oracle_fields_t *f)
{
	const char *line;
	size_t n;

	while (oracle_line(t, &line, &n)) {
		if (n == 0)
			return ORACLE_WHOLE;
		if (!oracle_field(line, n, in_trailer, f))
			return ORACLE_BROKEN;
	}
	return t->short_of ? ORACLE_PART : ORACLE_BROKEN;
}

static inline oracle_verdict_t
oracle_chunks(oracle_text_t *t, GString *body)
{
	oracle_fields_t none = {0};
	const char *line;
	guint64 size;
	size_t n;

	for (;;) {
		if (!oracle_line(t, &line, &n))
			return t->short_of && t->end - t->at <= 17
			    ? ORACLE_PART
			    : ORACLE_BROKEN;
		if (!oracle_digits(line, n, 16, 15, &size))
			return ORACLE_BROKEN;
		if (size == 0)
			return oracle_fields(t, TRUE, &none);
		n = (size_t)MIN(size, (guint64)(t->end - t->at));
		g_string_append_len(body, t->at, (gssize)n);
		t->at += n;
		if (!oracle_line(t, &line, &n))
			return t->short_of && t->end - t->at <= 17
			    ? ORACLE_PART
			    : ORACLE_BROKEN;
		if (n > 0)
			return ORACLE_BROKEN;
	}
}

static inline oracle_verdict_t
oracle_sized(oracle_text_t *t, guint64 length, GString *body)
{
	size_t n = (size_t)MIN(length, (guint64)(t->end - t->at));

	g_string_append_len(body, t->at, (gssize)n);
	t->at += n;
	return n == length ? ORACLE_WHOLE : ORACLE_PART;
}

/* Return: whether the line is HTTP/1.D SP 3DIGIT SP reason. */
static inline gboolean
oracle_status_line(const char *line, size_t n, int *minor, int *status)
{
	guint64 value;

	if (n < 13 || memcmp(line, "HTTP/1.", 7) != 0 ||
	    !g_ascii_isdigit(line[7]) || line[8] != ' ' || line[12] != ' ' ||
	    !oracle_digits(line + 9, 3, 10, 3, &value) ||
	    !oracle_is_text(line, n))
		return FALSE;
	*minor = line[7] - '0';
	*status = (int)value;
	return *status >= 100 && *status <= 599;
}

static inline oracle_verdict_t
oracle_answer_body(oracle_text_t *t, gboolean to_head, gboolean closed,
    const oracle_fields_t *f, oracle_answer_t *a)
{
	if (to_head || a->status == 204 || a->status == 304)
		return ORACLE_WHOLE;
	if (f->is_chunked)
		return oracle_chunks(t, a->body);
	if (f->has_length)
		return oracle_sized(t, f->length, a->body);
	a->until_close = TRUE;
	g_string_append_len(a->body, t->at, t->end - t->at);
	t->at = t->end;
	return closed ? ORACLE_WHOLE : ORACLE_PART;
}

/**
 * oracle_answer() - Read an answer.
 * @bytes: from its first byte
 * @n: their number
 * @to_head: it answers a HEAD
 * @closed: the server has closed the connection in order behind the bytes
 * @a: what it says; its body is the caller's
 */
static inline void
oracle_answer(const char *bytes, size_t n, gboolean to_head, gboolean closed,
    oracle_answer_t *a)
{
	oracle_text_t t = {.at = bytes, .end = bytes + n};
	oracle_fields_t f = {0};
	const char *line;
	size_t len;

	memset(a, 0, sizeof(*a));
	a->body = g_string_new(NULL);
	if (!oracle_line(&t, &line, &len)) {
		a->verdict = t.short_of ? ORACLE_PART : ORACLE_BROKEN;
		return;
	}
	a->verdict = ORACLE_BROKEN;
	if (!oracle_status_line(line, len, &f.minor, &a->status))
		return;
	a->verdict = oracle_fields(&t, FALSE, &f);
	if (a->verdict != ORACLE_WHOLE)
		return;
	if (a->status < 200 || (f.is_chunked && f.has_length))
		a->verdict = ORACLE_BROKEN;
	else
		a->verdict = oracle_answer_body(&t, to_head, closed, &f, a);
	a->end = (size_t)(t.at - bytes);
	a->length = f.length;
	a->persistent = f.minor > 0 && !f.has_close && !a->until_close;
}

#endif
