#include <sys/queue.h>

#include <string.h>

#include "transport/request_reader.h"

#define STATUS_BAD_REQUEST 400
#define STATUS_BODY_TOO_LARGE 413
#define STATUS_EXPECTATION 417
#define STATUS_FIELDS_TOO_LARGE 431

void
request_reader_init(
    request_reader_t *r, size_t max_head, size_t max_fields, size_t max_body)
{
	memset(r, 0, sizeof(*r));
	r->max_head = max_head;
	r->max_fields = max_fields;
	r->max_body = max_body;
}

void
request_reader_drop(request_reader_t *r)
{
	size_t max_head = r->max_head, max_fields = r->max_fields;
	size_t max_body = r->max_body;

	request_head_finish(&r->head);
	if (r->body != NULL)
		evbuffer_free(r->body);
	if (r->is_chunked)
		http_framing_finish(&r->chunks);
	request_reader_init(r, max_head, max_fields, max_body);
}

void
request_reader_finish(request_reader_t *r)
{
	request_reader_drop(r);
}

static request_state_t
fail(request_reader_t *r, int status, const char *wrong)
{
	r->status = status;
	r->wrong = wrong;
	return REQUEST_FAULT;
}

/* Finds the next line end behind what was searched before. */
static gboolean
find_line_end(request_reader_t *r, struct evbuffer *input, size_t *end)
{
	struct evbuffer_ptr from, lf;
	size_t n = evbuffer_get_length(input);

	if (r->scanned >= n ||
	    evbuffer_ptr_set(input, &from, r->scanned, EVBUFFER_PTR_SET) != 0)
		return FALSE;
	lf = evbuffer_search(input, "\n", 1, &from);
	r->scanned = lf.pos >= 0 ? (size_t)lf.pos + 1 : n;
	*end = (size_t)lf.pos;
	return lf.pos >= 0;
}

static gboolean
is_empty_line(struct evbuffer *input, size_t line, size_t end)
{
	struct evbuffer_ptr at;
	char c = 0;

	if (end == line)
		return TRUE;
	if (end != line + 1)
		return FALSE;
	evbuffer_ptr_set(input, &at, line, EVBUFFER_PTR_SET);
	evbuffer_copyout_from(input, &at, &c, 1);
	return c == '\r';
}

static request_state_t
start_body(request_reader_t *r)
{
	const struct evkeyvalq *headers = &r->head.headers;
	const char *length = evhttp_find_header(headers, "Content-Length");
	const char *expect = evhttp_find_header(headers, "Expect");

	r->has_head = TRUE;
	r->body = evbuffer_new();
	r->is_chunked =
	    evhttp_find_header(headers, "Transfer-Encoding") != NULL;
	if (r->is_chunked) {
		http_framing_init(&r->chunks, FALSE);
		r->chunks.state = HTTP_FRAMING_CHUNK_SIZE;
	} else if (length != NULL) {
		r->left = g_ascii_strtoull(length, NULL, 10);
	}
	if (r->left > r->max_body)
		return fail(r, STATUS_BODY_TOO_LARGE, "the body is too large");
	if (expect == NULL || r->head.minor == 0 ||
	    (!r->is_chunked && r->left == 0))
		return REQUEST_WHOLE;
	if (g_ascii_strcasecmp(expect, "100-continue") != 0)
		return fail(r, STATUS_EXPECTATION, "unknown Expect");
	r->wants_continue = TRUE;
	return REQUEST_WHOLE;
}

static request_state_t
take_head(request_reader_t *r, struct evbuffer *input, size_t len)
{
	char *bytes = g_malloc(len + 1);

	evbuffer_remove(input, bytes, len);
	r->line = r->scanned = 0;
	if (!request_head_parse(&r->head, bytes, len, r->max_fields))
		return fail(r, r->head.status, r->head.wrong);
	return start_body(r);
}

/* Return: REQUEST_WHOLE once the head is complete. */
static request_state_t
read_head(request_reader_t *r, struct evbuffer *input)
{
	size_t end;

	while (find_line_end(r, input, &end)) {
		if (end + 1 > r->max_head)
			break;
		if (!is_empty_line(input, r->line, end)) {
			r->line = end + 1;
		} else if (r->line > 0) {
			return take_head(r, input, end + 1);
		} else {
			evbuffer_drain(input, end + 1);
			r->scanned = 0;
			if (++r->empty_lines > REQUEST_EMPTY_LINES_MAX)
				return fail(r, STATUS_BAD_REQUEST,
				    "empty lines before a request");
		}
	}
	if (r->scanned > r->max_head)
		return fail(
		    r, STATUS_FIELDS_TOO_LARGE, "the head is too large");
	return REQUEST_PART;
}

/* Copies: the blocks of the input are only partly filled, and would stay
 * allocated as a whole for as long as the body is held. */
static request_state_t
read_sized(request_reader_t *r, struct evbuffer *input)
{
	struct evbuffer_iovec part;
	size_t n;

	while (r->left > 0 && evbuffer_peek(input, -1, NULL, &part, 1) > 0) {
		n = (size_t)MIN((uint64_t)part.iov_len, r->left);
		evbuffer_add(r->body, part.iov_base, n);
		evbuffer_drain(input, n);
		r->left -= n;
	}
	return r->left == 0 ? REQUEST_WHOLE : REQUEST_PART;
}

/* Takes bytes of one line or chunk. Return: their number; 0: a fault. */
static size_t
take_chunk_part(request_reader_t *r, const char *bytes, size_t n)
{
	const char *end, *fault;

	if (r->chunks.state == HTTP_FRAMING_CHUNK) {
		n = (size_t)MIN((uint64_t)n, r->chunks.left);
		if (evbuffer_get_length(r->body) + n > r->max_body) {
			fail(r, STATUS_BODY_TOO_LARGE, "the body is too large");
			return 0;
		}
		evbuffer_add(r->body, bytes, n);
		http_framing_skip(&r->chunks, n);
		return n;
	}
	end = memchr(bytes, '\n', n);
	if (end != NULL)
		n = (size_t)(end - bytes) + 1;
	fault = http_framing_take(&r->chunks, bytes, n);
	if (fault != NULL)
		fail(r, STATUS_BAD_REQUEST, fault);
	else if (r->chunks.head > r->max_head)
		fail(r, STATUS_FIELDS_TOO_LARGE, "the trailer is too large");
	return r->wrong == NULL ? n : 0;
}

/* Trailer fields are checked and dropped. Data is copied from the input in
 * whole blocks: with chunks of some bytes, operations on the input for each of
 * them took most of the time. */
static request_state_t
read_chunks(request_reader_t *r, struct evbuffer *input)
{
	struct evbuffer_iovec part;
	size_t at, n;

	while (r->chunks.state != HTTP_FRAMING_WHOLE &&
	    evbuffer_peek(input, -1, NULL, &part, 1) > 0) {
		for (at = 0;
		     at < part.iov_len && r->chunks.state != HTTP_FRAMING_WHOLE;
		     at += n) {
			n = take_chunk_part(r, (const char *)part.iov_base + at,
			    part.iov_len - at);
			if (n == 0)
				return REQUEST_FAULT;
		}
		evbuffer_drain(input, at);
		r->chunk_bytes += at;
	}
	return r->chunks.state == HTTP_FRAMING_WHOLE ? REQUEST_WHOLE
						     : REQUEST_PART;
}

request_state_t
request_reader_read(request_reader_t *r, struct evbuffer *input)
{
	request_state_t state;

	if (r->wrong != NULL)
		return REQUEST_FAULT;
	if (!r->has_head) {
		state = read_head(r, input);
		if (state != REQUEST_WHOLE)
			return state;
	}
	if (evbuffer_get_length(input) > 0)
		r->wants_continue = FALSE;
	return r->is_chunked ? read_chunks(r, input) : read_sized(r, input);
}

void
request_reader_take(
    request_reader_t *r, request_head_t *head, struct evbuffer **body)
{
	*head = r->head;
	*body = r->body;
	memset(&r->head, 0, sizeof(r->head));
	r->body = NULL;
	/* The list's head has moved. */
	if (TAILQ_EMPTY(&head->headers))
		TAILQ_INIT(&head->headers);
	else
		head->headers.tqh_first->next.tqe_prev =
		    &head->headers.tqh_first;
	request_reader_drop(r);
}

gboolean
request_reader_has_begun(
    const request_reader_t *r, const struct evbuffer *input)
{
	return r->has_head || r->empty_lines > 0 ||
	    evbuffer_get_length(input) > 0;
}

size_t
request_reader_head_held(
    const request_reader_t *r, const struct evbuffer *input)
{
	return r->has_head ? request_head_held(&r->head)
			   : evbuffer_get_length(input);
}

size_t
request_reader_held(const request_reader_t *r)
{
	size_t body = r->body != NULL ? evbuffer_get_length(r->body) : 0;

	return request_head_held(&r->head) + MAX(body, r->chunk_bytes);
}
