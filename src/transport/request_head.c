#include <sys/queue.h>

#include <string.h>

#include <http_parser.h>

#include "transport/http_check.h"
#include "transport/request_head.h"

#define STATUS_BAD_REQUEST 400
#define STATUS_FIELDS_TOO_LARGE 431
#define STATUS_NOT_IMPLEMENTED 501
#define STATUS_VERSION 505
/* Fields of most requests. */
#define FIELDS_USUAL 32
#define MINOR_MAX 255
#define VERSION_DIGITS_MAX 3

/* http_parser reads the fields. The request line is read here, because
 * http_parser refuses versions with more than one digit after the point. */
static const char parser_line[] = "POST / HTTP/1.1\r\n";

/* Fields as http_parser finds them; they are terminated afterwards, because
 * the parser still reads the bytes that end them. */
typedef struct {
	size_t key, key_len, value, value_len;
} span_t;

typedef struct {
	request_head_t *head;
	GArray *spans; /* span_t */
	size_t max_fields;
	gboolean in_value; /* the name of the last field has been read */
	gboolean whole, too_many;
} index_t;

static gboolean
refuse(request_head_t *h, int status, const char *wrong)
{
	h->status = status;
	h->wrong = wrong;
	return FALSE;
}

static enum evhttp_cmd_type
method_of(const char *name)
{
	const char *known;
	unsigned int m;

	for (m = EVHTTP_REQ_GET; m <= EVHTTP_REQ_PATCH; m <<= 1) {
		known = http_method_name((enum evhttp_cmd_type)m);
		if (known != NULL && strcmp(known, name) == 0)
			return (enum evhttp_cmd_type)m;
	}
	return (enum evhttp_cmd_type)0;
}

/* Takes a number of at most VERSION_DIGITS_MAX digits. Return: it, or -1. */
static int
take_number(const char **at)
{
	int n = 0, digits;

	for (digits = 0; g_ascii_isdigit(**at); digits++) {
		if (digits == VERSION_DIGITS_MAX)
			return -1;
		n = n * 10 + g_ascii_digit_value(*(*at)++);
	}
	return digits > 0 ? n : -1;
}

static gboolean
read_version(request_head_t *h, const char *version)
{
	static const char wrong[] = "unknown version of HTTP";
	const char *at = version + strlen("HTTP/");
	int major, minor;

	h->minor = 1;
	if (!g_str_has_prefix(version, "HTTP/"))
		return refuse(h, STATUS_BAD_REQUEST, wrong);
	major = take_number(&at);
	if (major < 1 || *at++ != '.')
		return refuse(h, STATUS_BAD_REQUEST, wrong);
	minor = take_number(&at);
	if (*at != '\0' && !g_ascii_isdigit(*at))
		return refuse(h, STATUS_BAD_REQUEST, wrong);
	if (major > 1 || minor < 0 || minor > MINOR_MAX)
		return refuse(h, STATUS_VERSION, wrong);
	h->minor = MIN(minor, 1);
	return TRUE;
}

/* request-line = method SP request-target SP HTTP-version; blanks behind it are
 * ignored. */
static gboolean
read_request_line(request_head_t *h, char *line, size_t len)
{
	char *first, *last;

	while (len > 0 && line[len - 1] == ' ')
		len--;
	line[len] = '\0';
	first = strchr(line, ' ');
	last = strrchr(line, ' ');
	if (first == NULL || first == last ||
	    !http_is_token(line, (size_t)(first - line)))
		return refuse(h, STATUS_BAD_REQUEST, "invalid request line");
	*first = *last = '\0';
	h->method = method_of(line);
	h->uri = first + 1;
	if (*h->uri == '\0')
		return refuse(h, STATUS_BAD_REQUEST, "no target");
	return read_version(h, last + 1);
}

static gboolean
is_framing_field(const char *line)
{
	return g_ascii_strncasecmp(
		   line, "Content-Length", strlen("Content-Length")) == 0 ||
	    g_ascii_strncasecmp(
		line, "Transfer-Encoding", strlen("Transfer-Encoding")) == 0;
}

static gboolean
is_blank(char c)
{
	return c == ' ' || c == '\t';
}

/* Replaces the line ends within folded fields by blanks: RFC 9112, 5.2. */
static gboolean
unfold(request_head_t *h, char *fields)
{
	char *line = fields, *end;

	if (is_blank(*fields))
		return refuse(
		    h, STATUS_BAD_REQUEST, "a header name is no token");
	while ((end = strchr(line, '\n')) != NULL) {
		for (; is_blank(end[1]); end = strchr(end, '\n')) {
			if (is_framing_field(line))
				return refuse(h, STATUS_BAD_REQUEST,
				    "a folded length or Transfer-Encoding");
			*end = ' ';
			if (end[-1] == '\r')
				end[-1] = ' ';
		}
		line = end + 1;
	}
	return TRUE;
}

/* http_parser, as packaged, takes a carriage return at the start of a line for
 * the end of the head, whatever follows it. */
static gboolean
has_lone_return(const char *fields)
{
	const char *at;

	for (at = fields; (at = strchr(at, '\r')) != NULL; at++) {
		if (at[1] != '\n')
			return TRUE;
	}
	return FALSE;
}

static int
on_field(http_parser *parser, const char *at, size_t len)
{
	index_t *index = parser->data;
	span_t span = {0};

	if (index->spans->len >= index->max_fields) {
		index->too_many = TRUE;
		return -1;
	}
	span.key = (size_t)(at - index->head->bytes);
	span.key_len = len;
	g_array_append_val(index->spans, span);
	index->in_value = TRUE;
	return 0;
}

static int
on_value(http_parser *parser, const char *at, size_t len)
{
	index_t *index = parser->data;
	span_t *span =
	    &g_array_index(index->spans, span_t, index->spans->len - 1);

	while (len > 0 && is_blank(*at)) {
		at++;
		len--;
	}
	while (len > 0 && is_blank(at[len - 1]))
		len--;
	span->value = (size_t)(at - index->head->bytes);
	span->value_len = len;
	index->in_value = FALSE;
	return 0;
}

/* Return: 1, so that the parser expects no body. */
static int
on_headers_complete(http_parser *parser)
{
	index_t *index = parser->data;

	index->whole = TRUE;
	return 1;
}

static const http_parser_settings settings = {
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_headers_complete,
};

static gboolean
refuse_fields(request_head_t *h, const index_t *index, enum http_errno error)
{
	if (index->too_many || error == HPE_HEADER_OVERFLOW)
		return refuse(h, STATUS_FIELDS_TOO_LARGE, "too many headers");
	switch (error) {
	case HPE_UNEXPECTED_CONTENT_LENGTH:
		return refuse(h, STATUS_BAD_REQUEST,
		    "a header that may stand once is repeated");
	case HPE_INVALID_CONTENT_LENGTH:
		return refuse(h, STATUS_BAD_REQUEST,
		    "Content-Length is not a plain number");
	case HPE_INVALID_TRANSFER_ENCODING:
		return refuse(
		    h, STATUS_BAD_REQUEST, "unknown Transfer-Encoding");
	default:
		return refuse(h, STATUS_BAD_REQUEST,
		    index->in_value ? "a header value holds control characters"
				    : "a header name is no token");
	}
}

static void
add_fields(request_head_t *h, const index_t *index)
{
	guint i;

	if (index->spans->len == 0)
		return;
	h->fields = g_new0(struct evkeyval, index->spans->len);
	for (i = 0; i < index->spans->len; i++) {
		const span_t *span = &g_array_index(index->spans, span_t, i);

		h->fields[i].key = h->bytes + span->key;
		h->fields[i].key[span->key_len] = '\0';
		h->fields[i].value = h->bytes + span->value;
		h->fields[i].value[span->value_len] = '\0';
		TAILQ_INSERT_TAIL(&h->headers, &h->fields[i], next);
	}
}

static gboolean
index_fields(request_head_t *h, char *fields, size_t max_fields)
{
	index_t index = {.head = h, .max_fields = max_fields};
	http_parser parser;
	enum http_errno error;
	gboolean ok;

	index.spans =
	    g_array_sized_new(FALSE, FALSE, sizeof(span_t), FIELDS_USUAL);

	http_parser_init(&parser, HTTP_REQUEST);
	parser.data = &index;
	http_parser_execute(
	    &parser, &settings, parser_line, strlen(parser_line));
	http_parser_execute(
	    &parser, &settings, fields, (size_t)(h->bytes + h->len - fields));
	error = HTTP_PARSER_ERRNO(&parser);
	ok =
	    (error == HPE_OK && index.whole) || refuse_fields(h, &index, error);
	if (ok)
		add_fields(h, &index);
	g_array_free(index.spans, TRUE);
	return ok;
}

/* Return: NULL, or what is wrong with a request that could be read. */
static const char *
check(const request_head_t *h)
{
	const char *wrong = http_check_headers(&h->headers);

	if (wrong == NULL && h->minor == 0 &&
	    evhttp_find_header(&h->headers, "Transfer-Encoding") != NULL)
		wrong = "Transfer-Encoding in HTTP/1.0";
	if (wrong == NULL)
		wrong = http_check_target(h->uri);
	if (wrong == NULL)
		wrong = http_check_body(h->method, &h->headers);
	return wrong;
}

gboolean
request_head_parse(
    request_head_t *h, char *bytes, size_t len, size_t max_fields)
{
	char *line_end = memchr(bytes, '\n', len);
	char *fields = line_end + 1;
	const char *wrong;

	h->bytes = bytes;
	h->len = len;
	h->minor = 1;
	TAILQ_INIT(&h->headers);
	bytes[len] = '\0';
	if (memchr(bytes, '\0', len) != NULL)
		return refuse(h, STATUS_BAD_REQUEST, "a NUL byte in the head");
	if (line_end > bytes && line_end[-1] == '\r')
		line_end--;
	if (!read_request_line(h, bytes, (size_t)(line_end - bytes)) ||
	    !unfold(h, fields))
		return FALSE;
	if (has_lone_return(fields))
		return refuse(h, STATUS_BAD_REQUEST,
		    "a header value holds control characters");
	if (!index_fields(h, fields, max_fields))
		return FALSE;
	wrong = check(h);
	if (wrong != NULL)
		return refuse(h, STATUS_BAD_REQUEST, wrong);
	if (h->method == 0)
		return refuse(
		    h, STATUS_NOT_IMPLEMENTED, "the method is not supported");
	h->target =
	    evhttp_uri_parse_with_flags(h->uri, EVHTTP_URI_NONCONFORMANT);
	if (h->target == NULL)
		return refuse(h, STATUS_BAD_REQUEST, "invalid target");
	return TRUE;
}

void
request_head_finish(request_head_t *h)
{
	if (h->target != NULL)
		evhttp_uri_free(h->target);
	g_free(h->fields);
	g_free(h->bytes);
	memset(h, 0, sizeof(*h));
}

size_t
request_head_held(const request_head_t *h)
{
	size_t n = 0;
	const struct evkeyval *f;

	if (h->bytes == NULL)
		return 0;
	TAILQ_FOREACH(f, &h->headers, next)
	n += sizeof(*f);
	return h->len + n;
}

gboolean
request_head_closes(const request_head_t *h)
{
	return http_connection_lists(&h->headers, "close") ||
	    (h->minor == 0 &&
		!http_connection_lists(&h->headers, "keep-alive"));
}
