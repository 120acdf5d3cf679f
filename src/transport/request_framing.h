#ifndef TRANSPORT_REQUEST_FRAMING_H
#define TRANSPORT_REQUEST_FRAMING_H

#include "transport/http_framing.h"

/*
 * Reads the bytes of the requests on a connection beside evhttp, which takes a
 * line of a head to end at a NUL byte, and a body for whole whose chunks don't
 * fit their sizes. All else of a head is checked by http_check.h.
 */

/* Bytes of a line that are looked at. */
#define REQUEST_FRAMING_LINE_BYTES 128
/* Status of a refusal for a head, or trailers, over the limits. */
#define REQUEST_FRAMING_TOO_LARGE 431

typedef enum {
	REQUEST_FRAMING_FIRST_LINE,
	REQUEST_FRAMING_FIELD,
	REQUEST_FRAMING_BODY,
	REQUEST_FRAMING_CHUNKS,
} request_framing_state_t;

/* Initialised by request_framing_init(); owns what it points to. */
typedef struct {
	request_framing_state_t state;
	GString *line;	       /* the start of the incomplete line */
	http_framing_t chunks; /* of a chunked body */
	uint64_t left;	       /* bytes of the body that are to come */
	gboolean has_length, is_chunked;
	gboolean in_framing; /* the last field was one of these */
	guint whole, taken;  /* requests that were read, and taken */
	/* The limits, and the head of the incomplete request with its trailers.
	 */
	size_t max_head, head;	  /* bytes */
	guint max_fields, fields; /* number */
	const char *fault;	  /* of the first request that is not whole */
	int status;		  /* of a refusal for @fault */
} request_framing_t;

/**
 * request_framing_init() - Expect requests.
 * @f: memory of the caller; end with request_framing_finish()
 * @max_head: most bytes of the head of a request and its trailers
 * @max_fields: most fields in them
 */
void request_framing_init(
    request_framing_t *f, size_t max_head, guint max_fields);
void request_framing_finish(request_framing_t *f);

/**
 * request_framing_read() - Read bytes of the connection as they arrive.
 * @f: the framing
 * @bytes: what follows the bytes that were read before
 * @n: their number
 */
void request_framing_read(request_framing_t *f, const char *bytes, size_t n);

/** request_framing_has_whole() - Whether a whole request was not taken yet. */
gboolean request_framing_has_whole(const request_framing_t *f);

/**
 * request_framing_take() - Take the next request.
 * @f: the framing
 *
 * Return: NULL, or a static text that says why the request is invalid.
 */
const char *request_framing_take(request_framing_t *f);

#endif
