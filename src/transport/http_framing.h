#ifndef TRANSPORT_HTTP_FRAMING_H
#define TRANSPORT_HTTP_FRAMING_H

#include <stdint.h>

#include <glib.h>

/*
 * Strict reading of the bytes of an answer, by RFC 9112. evhttp reads the same
 * bytes, but accepts more: header names that are not tokens, lengths and status
 * codes that are not plain numbers, transfer codings that it doesn't know,
 * chunk sizes that don't fit the chunks. An answer with such a fault is not
 * used.
 */

/* Limit of the lines of a head and of its trailers together, bytes. */
#define HTTP_FRAMING_HEAD_MAX_BYTES 65536

typedef enum {
	HTTP_FRAMING_STATUS_LINE,
	HTTP_FRAMING_FIELD,
	HTTP_FRAMING_BODY, /* with a length */
	HTTP_FRAMING_CHUNK_SIZE,
	HTTP_FRAMING_CHUNK,
	HTTP_FRAMING_CHUNK_END,
	HTTP_FRAMING_TRAILER,
	HTTP_FRAMING_UNTIL_CLOSE, /* a body that ends with its connection */
	HTTP_FRAMING_WHOLE,
	HTTP_FRAMING_INVALID,
} http_framing_state_t;

/* Initialised by the caller's http_framing_init(); owns @line. */
typedef struct {
	http_framing_state_t state;
	gboolean to_head; /* the answer to a HEAD request */
	GString *line;	  /* the incomplete line at the end */
	size_t head;	  /* bytes of the lines of head and trailers */
	uint64_t left;	  /* bytes of the body or chunk that are to come */
	int status;
	int minor; /* of the version HTTP/1.x */
	gboolean has_length, is_chunked;
	const char *fault; /* of an invalid answer: what is wrong */
} http_framing_t;

/**
 * http_framing_init() - Expect an answer.
 * @f: memory of the caller; end with http_framing_finish()
 * @to_head: the request is a HEAD, so that no body follows
 */
void http_framing_init(http_framing_t *f, gboolean to_head);
void http_framing_finish(http_framing_t *f);

/**
 * http_framing_take() - Read bytes of the answer as they arrive.
 * @f: the framing
 * @bytes: what follows the bytes that were read before
 * @n: their number
 *
 * Bytes behind a whole answer are ignored.
 *
 * Return: NULL, or a static text that says why the answer is invalid.
 */
const char *http_framing_take(http_framing_t *f, const char *bytes, size_t n);

/**
 * http_framing_skip() - Pass over bytes of which only the number matters.
 * @f: the framing
 * @n: their number
 *
 * Return: FALSE if http_framing_take() has to read them.
 */
gboolean http_framing_skip(http_framing_t *f, size_t n);

/**
 * http_framing_may_end() - Whether the answer is whole if nothing follows.
 * @f: the framing
 */
gboolean http_framing_may_end(const http_framing_t *f);

#endif
