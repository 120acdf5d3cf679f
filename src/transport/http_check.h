#ifndef TRANSPORT_HTTP_CHECK_H
#define TRANSPORT_HTTP_CHECK_H

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>

/*
 * Checks of requests that evhttp accepts but that must not reach a backend
 * server: targets that end the request line, contradictory lengths, unknown
 * transfer codings, header names that are not tokens.
 */

/** http_is_token() - Whether @len bytes are a token of RFC 9110. */
gboolean http_is_token(const char *s, size_t len);

/** http_has_control() - Whether control characters other than a tab occur. */
gboolean http_has_control(const char *text, size_t len);

/**
 * http_check_target() - Check the target of a request.
 * @target: as evhttp parsed it: all between the first and the last blank of
 *	the request line
 *
 * Return: NULL if it is valid, else a static text that says what is wrong.
 */
const char *http_check_target(const char *target);

/**
 * http_check_headers() - Check the headers of a request.
 * @headers: as evhttp parsed them
 *
 * Return: NULL if they are valid, else a static text that says what is wrong.
 */
const char *http_check_headers(const struct evkeyvalq *headers);

/**
 * http_check_body() - Check that a request's body is read as such.
 * @method: evhttp's constant
 * @headers: as evhttp parsed them
 *
 * evhttp doesn't read the body of a HEAD, and takes it for the next request.
 *
 * Return: NULL if it is, else a static text that says what is wrong.
 */
const char *http_check_body(
    enum evhttp_cmd_type method, const struct evkeyvalq *headers);

/**
 * http_connection_lists() - Whether a Connection header lists a token.
 * @headers: of a message
 * @token: an option, or the name of a hop-by-hop header; in any case of letters
 */
gboolean http_connection_lists(
    const struct evkeyvalq *headers, const char *token);

/**
 * http_method_name() - Name of an HTTP method.
 * @method: evhttp's constant
 *
 * Return: the name, or NULL if the server does not accept this method.
 */
const char *http_method_name(enum evhttp_cmd_type method);

/**
 * http_copy_end_to_end() - Copy the headers that may be forwarded.
 * @to: headers to which they are added
 * @from: headers of the received message
 *
 * Skips hop-by-hop headers, those listed in Connection, Expect, Host,
 * Content-Length, Authorization and Proxy-Authorization.
 */
void http_copy_end_to_end(struct evkeyvalq *to, const struct evkeyvalq *from);

#endif
