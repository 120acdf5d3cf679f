#include <sys/queue.h>

#include <string.h>

#include "transport/http_check.h"

/* Limit for one message. */

static const char token_chars[] =
    "!#$%&'*+-.^_`|~0123456789"
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";

/* Headers that make a message ambiguous if they are repeated. */
static const char *const not_repeatable[] = {"Authorization", "Content-Length",
    "Transfer-Encoding", "Host", "Idempotency-Key"};

static const char *const not_forwarded[] = {"Connection", "Keep-Alive",
    "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
    "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Host",
    "Content-Length", "Authorization"};

gboolean
http_is_token(const char *s, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (s[i] == '\0' || strchr(token_chars, s[i]) == NULL)
			return FALSE;
	}
	return len > 0;
}

static gboolean
is_in(const char *name, const char *const *list, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (g_ascii_strcasecmp(name, list[i]) == 0)
			return TRUE;
	}
	return FALSE;
}

gboolean
http_has_control(const char *text, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if ((unsigned char)text[i] < ' ' && text[i] != '\t')
			return TRUE;
		if (text[i] == 0x7f)
			return TRUE;
	}
	return FALSE;
}

static gboolean
is_repeated(const struct evkeyval *h)
{
	const struct evkeyval *other;

	if (!is_in(h->key, not_repeatable, G_N_ELEMENTS(not_repeatable)))
		return FALSE;
	for (other = TAILQ_NEXT(h, next); other != NULL;
	     other = TAILQ_NEXT(other, next)) {
		if (g_ascii_strcasecmp(h->key, other->key) == 0)
			return TRUE;
	}
	return FALSE;
}

static const char *
check_framing(const struct evkeyval *h)
{
	if (g_ascii_strcasecmp(h->key, "Content-Length") == 0 &&
	    (*h->value == '\0' || strlen(h->value) > 18 ||
		h->value[strspn(h->value, "0123456789")] != '\0'))
		return "Content-Length is not a plain number";
	if (g_ascii_strcasecmp(h->key, "Transfer-Encoding") == 0 &&
	    g_ascii_strcasecmp(h->value, "chunked") != 0)
		return "unknown Transfer-Encoding";
	return NULL;
}

const char *
http_check_target(const char *target)
{
	const char *c;

	for (c = target; *c != '\0'; c++) {
		if ((unsigned char)*c <= ' ' || *c == 0x7f)
			return "the target holds blanks or control characters";
	}
	return NULL;
}

const char *
http_check_headers(const struct evkeyvalq *headers)
{
	const struct evkeyval *h;
	const char *wrong;

	TAILQ_FOREACH(h, headers, next)
	{
		if (!http_is_token(h->key, strlen(h->key)))
			return "a header name is no token";
		if (http_has_control(h->value, strlen(h->value)))
			return "a header value holds control characters";
		if (is_repeated(h))
			return "a header that may stand once is repeated";
		wrong = check_framing(h);
		if (wrong != NULL)
			return wrong;
	}
	return NULL;
}

const char *
http_check_body(enum evhttp_cmd_type method, const struct evkeyvalq *headers)
{
	const char *length = evhttp_find_header(headers, "Content-Length");

	if (method != EVHTTP_REQ_HEAD)
		return NULL;
	if (evhttp_find_header(headers, "Transfer-Encoding") != NULL ||
	    (length != NULL && length[strspn(length, "0")] != '\0'))
		return "a HEAD request with a body";
	return NULL;
}

static gboolean
lists(const char *value, const char *token)
{
	char **parts = g_strsplit(value, ",", -1);
	gboolean found = FALSE;
	size_t i;

	for (i = 0; parts[i] != NULL && !found; i++)
		found = g_ascii_strcasecmp(g_strstrip(parts[i]), token) == 0;
	g_strfreev(parts);
	return found;
}

gboolean
http_connection_lists(const struct evkeyvalq *headers, const char *token)
{
	const struct evkeyval *h;

	TAILQ_FOREACH(h, headers, next)
	{
		if (g_ascii_strcasecmp(h->key, "Connection") == 0 &&
		    lists(h->value, token))
			return TRUE;
	}
	return FALSE;
}

const char *
http_method_name(enum evhttp_cmd_type method)
{
	static const struct {
		enum evhttp_cmd_type method;
		const char *name;
	} methods[] = {
	    {EVHTTP_REQ_GET, "GET"},
	    {EVHTTP_REQ_POST, "POST"},
	    {EVHTTP_REQ_HEAD, "HEAD"},
	    {EVHTTP_REQ_PUT, "PUT"},
	    {EVHTTP_REQ_DELETE, "DELETE"},
	    {EVHTTP_REQ_OPTIONS, "OPTIONS"},
	    {EVHTTP_REQ_PATCH, "PATCH"},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(methods); i++) {
		if (methods[i].method == method)
			return methods[i].name;
	}
	return NULL;
}

void
http_copy_end_to_end(struct evkeyvalq *to, const struct evkeyvalq *from)
{
	const struct evkeyval *h;

	TAILQ_FOREACH(h, from, next)
	{
		if (is_in(h->key, not_forwarded, G_N_ELEMENTS(not_forwarded)))
			continue;
		if (http_connection_lists(from, h->key))
			continue;
		evhttp_add_header(to, h->key, h->value);
	}
}
