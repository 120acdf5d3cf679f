#ifndef TRANSPORT_REQUEST_HEAD_H
#define TRANSPORT_REQUEST_HEAD_H

#include <stddef.h>

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>

/*
 * The head of a request: its raw bytes, and an index of its fields into them.
 * The fields are strings within the bytes, in one array, so that a head takes
 * two allocations however many fields it has.
 */

/* Zeroed, or filled by request_head_parse(). */
typedef struct {
	char *bytes;
	size_t len;
	enum evhttp_cmd_type method; /* 0: one that is not supported */
	const char *uri;	     /* as sent */
	struct evhttp_uri *target;
	int minor; /* 0 for HTTP/1.0, 1 for later versions of HTTP/1 */
	struct evkeyvalq headers;
	struct evkeyval *fields; /* the elements of @headers */
	int status;		 /* of a refusal */
	const char *wrong;	 /* why it is refused; NULL: it is valid */
} request_head_t;

/**
 * request_head_parse() - Check and index a head.
 * @h: zeroed; end with request_head_finish()
 * @bytes: the head with its empty line, from g_malloc(), with room for one byte
 *	more; becomes the head's
 * @len: their number
 * @max_fields: number of fields that are allowed
 *
 * Return: FALSE if it is refused; then @h->status and @h->wrong are set, and
 * @h->method and @h->minor as far as they were read.
 */
gboolean request_head_parse(
    request_head_t *h, char *bytes, size_t len, size_t max_fields);

/** request_head_finish() - Free what it owns, and zero it. */
void request_head_finish(request_head_t *h);

/** request_head_held() - Bytes of memory that it holds. */
size_t request_head_held(const request_head_t *h);

/** request_head_closes() - Whether the connection ends with this request. */
gboolean request_head_closes(const request_head_t *h);

#endif
