#ifndef TRANSPORT_REQUEST_READER_H
#define TRANSPORT_REQUEST_READER_H

#include <stdint.h>

#include <event2/buffer.h>
#include <glib.h>

#include "transport/http_framing.h"
#include "transport/request_head.h"

/*
 * Reads requests from the input of a connection, strictly by RFC 9112. An
 * incomplete head stays in the input; the reader holds only numbers for it. A
 * body is moved out of the input as it arrives.
 */

/* Empty lines before a request that are ignored: RFC 9112, 2.2. */
#define REQUEST_EMPTY_LINES_MAX 4

typedef enum {
	REQUEST_PART, /* more bytes are needed */
	REQUEST_WHOLE,
	REQUEST_FAULT, /* see @status and @wrong; nothing more is read */
} request_state_t;

/* Initialised by request_reader_init(). */
typedef struct {
	size_t max_head, max_fields, max_body;
	/* Of the head while it is incomplete, as offsets in the input. */
	size_t line, scanned;
	int empty_lines;
	gboolean has_head;
	request_head_t head;
	struct evbuffer *body; /* NULL before the head is complete */
	uint64_t left;	       /* of a body with a length */
	gboolean is_chunked;
	http_framing_t chunks;
	size_t chunk_bytes;	 /* of all chunks, with their lines */
	gboolean wants_continue; /* the client waits with the body */
	int status;
	const char *wrong;
} request_reader_t;

/**
 * request_reader_init() - Expect requests.
 * @r: memory of the caller; end with request_reader_finish()
 * @max_head: bytes of the request line and the fields
 * @max_fields: number of fields
 * @max_body: bytes
 */
void request_reader_init(
    request_reader_t *r, size_t max_head, size_t max_fields, size_t max_body);
void request_reader_finish(request_reader_t *r);

/**
 * request_reader_read() - Read on in the current request.
 * @r: the reader
 * @input: of the connection; what was read is removed
 */
request_state_t request_reader_read(
    request_reader_t *r, struct evbuffer *input);

/**
 * request_reader_take() - Hand over a whole request and expect the next one.
 * @r: the reader
 * @head: set; to be ended with request_head_finish()
 * @body: set; to be freed
 */
void request_reader_take(
    request_reader_t *r, request_head_t *head, struct evbuffer **body);

/** request_reader_drop() - Forget the current request. */
void request_reader_drop(request_reader_t *r);

/** request_reader_has_begun() - Whether a part of a request has arrived. */
gboolean request_reader_has_begun(
    const request_reader_t *r, const struct evbuffer *input);

/** request_reader_head_held() - Bytes of an incomplete head, or of the head of
 * an incomplete request. */
size_t request_reader_head_held(
    const request_reader_t *r, const struct evbuffer *input);

/** request_reader_held() - Bytes of the current request beside the input.
 * The lines of chunks count, too: small chunks cost time. */
size_t request_reader_held(const request_reader_t *r);

#endif
