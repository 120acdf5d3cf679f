#include <string.h>

#include "transport/http_check.h"
#include "transport/http_framing.h"

#define STATUS_MIN 100
#define STATUS_MAX 599
#define STATUS_OK 200
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304
/* Digits of the largest body or chunk that is accepted, below 2^63 bytes. */
#define LENGTH_DIGITS_MAX 18
#define CHUNK_DIGITS_MAX 15
#define CHUNK_LINE_MAX_BYTES (CHUNK_DIGITS_MAX + 2)

void
http_framing_init(http_framing_t *f, gboolean to_head)
{
	memset(f, 0, sizeof(*f));
	f->to_head = to_head;
	f->line = g_string_new(NULL);
}

void
http_framing_finish(http_framing_t *f)
{
	g_string_free(f->line, TRUE);
	f->line = NULL;
}

/* status-line = "HTTP/1." DIGIT SP 3DIGIT SP [ reason-phrase ] */
static const char *
take_status_line(http_framing_t *f, const char *line, size_t len)
{
	static const char pattern[] = "HTTP/1.d ddd ";
	size_t i;

	for (i = 0; i < strlen(pattern); i++) {
		if (i >= len ||
		    (pattern[i] == 'd' ? !g_ascii_isdigit(line[i])
				       : line[i] != pattern[i]))
			return "invalid status line";
	}
	if (http_has_control(line, len))
		return "control characters in the status line";
	f->minor = g_ascii_digit_value(line[strlen("HTTP/1.")]);
	f->status = (int)g_ascii_strtoll(line + strlen("HTTP/1.d "), NULL, 10);
	if (f->status < STATUS_MIN || f->status > STATUS_MAX)
		return "invalid status code";
	f->state = HTTP_FRAMING_FIELD;
	return NULL;
}

static gboolean
is_named(const char *line, size_t name_len, const char *name)
{
	return name_len == strlen(name) &&
	    g_ascii_strncasecmp(line, name, name_len) == 0;
}

static const char *
take_length(http_framing_t *f, const char *value, size_t len)
{
	size_t i;

	if (f->has_length)
		return "repeated Content-Length";
	if (len == 0 || len > LENGTH_DIGITS_MAX)
		return "Content-Length is not a plain number";
	for (i = 0; i < len; i++) {
		if (!g_ascii_isdigit(value[i]))
			return "Content-Length is not a plain number";
		f->left =
		    f->left * 10 + (uint64_t)g_ascii_digit_value(value[i]);
	}
	f->has_length = TRUE;
	return NULL;
}

static const char *
take_coding(http_framing_t *f, const char *value, size_t len)
{
	if (f->is_chunked)
		return "repeated Transfer-Encoding";
	if (!is_named(value, len, "chunked"))
		return "unknown Transfer-Encoding";
	if (f->minor == 0)
		return "Transfer-Encoding in HTTP/1.0";
	f->is_chunked = TRUE;
	return NULL;
}

static gboolean
is_blank(char c)
{
	return c == ' ' || c == '\t';
}

/* field-line = field-name ":" OWS field-value OWS; a folded line starts with a
 * blank, so its name is no token. */
static const char *
take_field(http_framing_t *f, const char *line, size_t len)
{
	const char *colon = memchr(line, ':', len), *value;
	size_t name_len;

	if (colon == NULL)
		return "a header without a colon";
	name_len = (size_t)(colon - line);
	if (!http_is_token(line, name_len))
		return "a header name is no token";
	value = colon + 1;
	len -= name_len + 1;
	if (http_has_control(value, len))
		return "a header value holds control characters";
	while (len > 0 && is_blank(*value)) {
		value++;
		len--;
	}
	while (len > 0 && is_blank(value[len - 1]))
		len--;
	if (is_named(line, name_len, "Content-Length"))
		return f->state == HTTP_FRAMING_TRAILER
		    ? "Content-Length in a trailer"
		    : take_length(f, value, len);
	if (is_named(line, name_len, "Transfer-Encoding"))
		return f->state == HTTP_FRAMING_TRAILER
		    ? "Transfer-Encoding in a trailer"
		    : take_coding(f, value, len);
	return NULL;
}

static gboolean
has_body(const http_framing_t *f)
{
	return !f->to_head && f->status >= STATUS_OK &&
	    f->status != STATUS_NO_CONTENT && f->status != STATUS_NOT_MODIFIED;
}

/* Decides from the whole head how the body is framed: RFC 9112, 6.3. */
static const char *
end_head(http_framing_t *f)
{
	if (f->has_length && f->is_chunked)
		return "Content-Length beside Transfer-Encoding";
	if (!has_body(f) || (f->has_length && f->left == 0))
		f->state = HTTP_FRAMING_WHOLE;
	else if (f->is_chunked)
		f->state = HTTP_FRAMING_CHUNK_SIZE;
	else if (f->has_length)
		f->state = HTTP_FRAMING_BODY;
	else
		f->state = HTTP_FRAMING_UNTIL_CLOSE;
	return NULL;
}

/* evhttp does not read chunk extensions. */
static const char *
take_chunk_size(http_framing_t *f, const char *line, size_t len)
{
	size_t i;

	if (len == 0 || len > CHUNK_DIGITS_MAX)
		return "invalid chunk size";
	f->left = 0;
	for (i = 0; i < len; i++) {
		if (!g_ascii_isxdigit(line[i]))
			return "invalid chunk size";
		f->left =
		    f->left * 16 + (uint64_t)g_ascii_xdigit_value(line[i]);
	}
	f->state = f->left > 0 ? HTTP_FRAMING_CHUNK : HTTP_FRAMING_TRAILER;
	return NULL;
}

static const char *
take_line(http_framing_t *f, const char *line, size_t len)
{
	switch (f->state) {
	case HTTP_FRAMING_STATUS_LINE:
		return take_status_line(f, line, len);
	case HTTP_FRAMING_FIELD:
		return len > 0 ? take_field(f, line, len) : end_head(f);
	case HTTP_FRAMING_CHUNK_SIZE:
		return take_chunk_size(f, line, len);
	case HTTP_FRAMING_CHUNK_END:
		if (len > 0)
			return "a chunk is longer than its size";
		f->state = HTTP_FRAMING_CHUNK_SIZE;
		return NULL;
	case HTTP_FRAMING_TRAILER:
		if (len > 0)
			return take_field(f, line, len);
		f->state = HTTP_FRAMING_WHOLE;
		return NULL;
	case HTTP_FRAMING_BODY:
	case HTTP_FRAMING_CHUNK:
	case HTTP_FRAMING_UNTIL_CLOSE:
	case HTTP_FRAMING_WHOLE:
	case HTTP_FRAMING_INVALID:
		break;
	}
	return NULL;
}

/* Whether a line may go on for @n bytes. Counts them. */
static gboolean
fits(http_framing_t *f, size_t n)
{
	if (f->state == HTTP_FRAMING_CHUNK_SIZE ||
	    f->state == HTTP_FRAMING_CHUNK_END)
		return f->line->len + n <= CHUNK_LINE_MAX_BYTES;
	f->head += n;
	return f->head <= HTTP_FRAMING_HEAD_MAX_BYTES;
}

/* Takes bytes up to the end of a line. Return: their number. */
static size_t
read_line(http_framing_t *f, const char *bytes, size_t n)
{
	const char *end = memchr(bytes, '\n', n);
	size_t used = end != NULL ? (size_t)(end - bytes) + 1 : n;
	GString *line = f->line;

	if (!fits(f, used)) {
		f->fault = "a line is too long";
		return used;
	}
	g_string_append_len(line, bytes, (gssize)used);
	if (end == NULL)
		return used;
	if (line->len < 2 || line->str[line->len - 2] != '\r')
		f->fault = "a line does not end with CR LF";
	else
		f->fault = take_line(f, line->str, line->len - 2);
	g_string_truncate(line, 0);
	return used;
}

static size_t
skip_data(http_framing_t *f, size_t n)
{
	size_t used = (size_t)MIN((uint64_t)n, f->left);

	f->left -= used;
	if (f->left == 0)
		f->state = f->state == HTTP_FRAMING_BODY
		    ? HTTP_FRAMING_WHOLE
		    : HTTP_FRAMING_CHUNK_END;
	return used;
}

gboolean
http_framing_skip(http_framing_t *f, size_t n)
{
	switch (f->state) {
	case HTTP_FRAMING_BODY:
	case HTTP_FRAMING_CHUNK:
		if (n > f->left)
			return FALSE;
		skip_data(f, n);
		return TRUE;
	case HTTP_FRAMING_UNTIL_CLOSE:
	case HTTP_FRAMING_WHOLE:
		return TRUE;
	default:
		return FALSE;
	}
}

const char *
http_framing_take(http_framing_t *f, const char *bytes, size_t n)
{
	size_t used;

	while (n > 0 && f->fault == NULL) {
		switch (f->state) {
		case HTTP_FRAMING_BODY:
		case HTTP_FRAMING_CHUNK:
			used = skip_data(f, n);
			break;
		case HTTP_FRAMING_UNTIL_CLOSE:
		case HTTP_FRAMING_WHOLE:
			return NULL;
		default:
			used = read_line(f, bytes, n);
			break;
		}
		bytes += used;
		n -= used;
	}
	if (f->fault != NULL)
		f->state = HTTP_FRAMING_INVALID;
	return f->fault;
}

gboolean
http_framing_may_end(const http_framing_t *f)
{
	return f->state == HTTP_FRAMING_WHOLE ||
	    f->state == HTTP_FRAMING_UNTIL_CLOSE;
}
