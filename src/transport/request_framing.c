#include <string.h>

#include "transport/request_framing.h"

#define LENGTH_DIGITS_MAX 18
#define STATUS_BAD_REQUEST 400

void
request_framing_init(request_framing_t *f, size_t max_head, guint max_fields)
{
	memset(f, 0, sizeof(*f));
	f->max_head = max_head;
	f->max_fields = max_fields;
	f->line = g_string_new(NULL);
	http_framing_init(&f->chunks, FALSE);
}

void
request_framing_finish(request_framing_t *f)
{
	g_string_free(f->line, TRUE);
	http_framing_finish(&f->chunks);
}

static void
end_request(request_framing_t *f)
{
	f->whole++;
	f->state = REQUEST_FRAMING_FIRST_LINE;
	f->left = 0;
	f->has_length = f->is_chunked = f->in_framing = FALSE;
	f->head = 0;
	f->fields = 0;
}

/* Counts bytes of a head or of trailers. Chunk sizes don't stay in memory. */
static void
count_head(request_framing_t *f, size_t bytes, guint fields)
{
	f->head += bytes;
	f->fields += fields;
	if (f->head <= f->max_head && f->fields <= f->max_fields)
		return;
	f->fault = f->fields > f->max_fields ? "too many header fields"
					     : "the head is too large";
	f->status = REQUEST_FRAMING_TOO_LARGE;
}

/* Return: the value of a line of a field, without blanks; NULL: another. */
static char *
value_of(const GString *line, const char *name)
{
	size_t n = strlen(name);

	if (g_ascii_strncasecmp(line->str, name, n) != 0 || line->str[n] != ':')
		return NULL;
	return g_strstrip(g_strdup(line->str + n + 1));
}

static void
take_length(request_framing_t *f, const char *value)
{
	size_t n = strlen(value);

	if (f->has_length || n == 0 || n > LENGTH_DIGITS_MAX ||
	    strspn(value, "0123456789") != n)
		f->fault = "Content-Length is not one plain number";
	else
		f->left = g_ascii_strtoull(value, NULL, 10);
	f->has_length = TRUE;
}

static void
take_field(request_framing_t *f)
{
	char *length = value_of(f->line, "Content-Length");
	char *coding = value_of(f->line, "Transfer-Encoding");

	if ((f->line->str[0] == ' ' || f->line->str[0] == '\t') &&
	    f->in_framing)
		f->fault = "a folded length or Transfer-Encoding";
	f->in_framing = length != NULL || coding != NULL;
	if (length != NULL)
		take_length(f, length);
	if (coding != NULL &&
	    (f->is_chunked || g_ascii_strcasecmp(coding, "chunked") != 0))
		f->fault = "Transfer-Encoding is not one \"chunked\"";
	f->is_chunked |= coding != NULL;
	g_free(length);
	g_free(coding);
}

static void
end_head(request_framing_t *f)
{
	if (f->is_chunked && f->has_length) {
		f->fault = "Content-Length beside Transfer-Encoding";
	} else if (f->is_chunked) {
		http_framing_finish(&f->chunks);
		http_framing_init(&f->chunks, FALSE);
		f->chunks.state = HTTP_FRAMING_CHUNK_SIZE;
		f->state = REQUEST_FRAMING_CHUNKS;
	} else if (f->left > 0) {
		f->state = REQUEST_FRAMING_BODY;
	} else {
		end_request(f);
	}
}

static void
take_line(request_framing_t *f)
{
	if (f->state == REQUEST_FRAMING_FIRST_LINE) {
		/* evhttp does not skip any. */
		if (f->line->len == 0) {
			f->fault = "an empty line before a request";
			f->status = STATUS_BAD_REQUEST;
		}
		f->state = REQUEST_FRAMING_FIELD;
	} else if (f->line->len == 0) {
		end_head(f);
	} else {
		count_head(f, 0, 1);
		take_field(f);
	}
}

/* Takes bytes up to the end of a line. Return: their number. */
static size_t
read_line(request_framing_t *f, const char *bytes, size_t n)
{
	const char *end = memchr(bytes, '\n', n);
	size_t used = end != NULL ? (size_t)(end - bytes) + 1 : n;
	size_t room = REQUEST_FRAMING_LINE_BYTES - f->line->len;
	size_t kept = MIN(end != NULL ? used - 1 : used, room);

	count_head(f, used, 0);
	if (memchr(bytes, '\0', used) != NULL)
		f->fault = "a NUL byte in the head";
	g_string_append_len(f->line, bytes, (gssize)kept);
	if (end == NULL || f->fault != NULL)
		return used;
	if (f->line->len > 0 && f->line->str[f->line->len - 1] == '\r')
		g_string_truncate(f->line, f->line->len - 1);
	take_line(f);
	g_string_truncate(f->line, 0);
	return used;
}

static size_t
read_body(request_framing_t *f, size_t n)
{
	size_t used = (size_t)MIN((uint64_t)n, f->left);

	f->left -= used;
	if (f->left == 0)
		end_request(f);
	return used;
}

/* Lines of chunks byte by byte: what follows the last one is no part of it. */
static size_t
read_chunks(request_framing_t *f, const char *bytes, size_t n)
{
	size_t used = 1;

	if (f->chunks.state == HTTP_FRAMING_CHUNK)
		used = (size_t)MIN((uint64_t)n, f->chunks.left);
	if (f->chunks.state == HTTP_FRAMING_TRAILER)
		count_head(f, 1, *bytes == '\n');
	if (f->fault == NULL)
		f->fault = http_framing_take(&f->chunks, bytes, used);
	/* evhttp may wait for the end of a line without a limit. */
	if (f->fault != NULL && f->status == 0)
		f->status = STATUS_BAD_REQUEST;
	if (f->chunks.state == HTTP_FRAMING_WHOLE)
		end_request(f);
	return used;
}

/* Counts all that follows a fault as part of the head. */
static void
count_faulty(request_framing_t *f, const char *bytes, size_t n)
{
	guint lines = 0;
	size_t i;

	for (i = 0; i < n; i++)
		lines += bytes[i] == '\n';
	count_head(f, n, lines);
}

void
request_framing_read(request_framing_t *f, const char *bytes, size_t n)
{
	size_t used = 0;

	while (n > 0 && f->fault == NULL) {
		switch (f->state) {
		case REQUEST_FRAMING_FIRST_LINE:
		case REQUEST_FRAMING_FIELD:
			used = read_line(f, bytes, n);
			break;
		case REQUEST_FRAMING_BODY:
			used = read_body(f, n);
			break;
		case REQUEST_FRAMING_CHUNKS:
			used = read_chunks(f, bytes, n);
			break;
		}
		bytes += used;
		n -= used;
	}
	if (n > 0 && f->status == 0)
		count_faulty(f, bytes, n);
}

gboolean
request_framing_has_whole(const request_framing_t *f)
{
	return f->whole > f->taken;
}

const char *
request_framing_take(request_framing_t *f)
{
	f->taken++;
	return f->whole < f->taken ? f->fault : NULL;
}
