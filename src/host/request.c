#include <sys/queue.h>

#include <stdlib.h>
#include <string.h>

#include "host/request.h"
#include "state/key_text.h"
#include "transport/http_check.h"

#define BEARER "Bearer "
#define TIMEOUT_MAX_MS 3600000
#define IDEMPOTENCY_KEY_MAX_CHARS 255

/* Whether a backend server may interpret a path differently than this host,
 * which matches it with routes. */
static gboolean
is_ambiguous(const char *path)
{
	char *plain = evhttp_uridecode(path, 0, NULL);
	gboolean bad;

	if (plain == NULL)
		return TRUE;
	bad = strstr(plain, "/../") != NULL || strstr(plain, "/./") != NULL ||
	    strstr(plain, "//") != NULL || g_str_has_suffix(plain, "/..") ||
	    g_str_has_suffix(plain, "/.") || strchr(plain, '\\') != NULL ||
	    strcasestr(path, "%2f") != NULL || strcasestr(path, "%00") != NULL;
	free(plain);
	return bad;
}

static gboolean
read_target(request_t *r, const struct evhttp_uri *uri, refusal_t *why)
{
	const char *path = evhttp_uri_get_path(uri);
	const char *query = evhttp_uri_get_query(uri);
	const char *rest;

	if (path == NULL || !g_str_has_prefix(path, REQUEST_CALL_PREFIX) ||
	    is_ambiguous(path)) {
		*why = REFUSAL_BAD_REQUEST;
		return FALSE;
	}
	path += strlen(REQUEST_CALL_PREFIX);
	rest = strchr(path, '/');
	r->service = rest != NULL ? g_strndup(path, (gsize)(rest - path))
				  : g_strdup(path);
	r->path = g_strdup(rest != NULL ? rest : "/");
	r->target = query != NULL ? g_strconcat(r->path, "?", query, NULL)
				  : g_strdup(r->path);
	return TRUE;
}

static gboolean
read_key(request_t *r, const struct evkeyvalq *headers, refusal_t *why)
{
	const char *value = evhttp_find_header(headers, "Authorization");

	if (value == NULL)
		return TRUE;
	if (g_ascii_strncasecmp(value, BEARER, strlen(BEARER)) != 0) {
		*why = REFUSAL_KEY_MISSING;
		return FALSE;
	}
	value += strlen(BEARER);
	value += strspn(value, " ");
	digest_of(value, strlen(value), &r->key);
	r->has_key = TRUE;
	return TRUE;
}

static gboolean
read_options(request_t *r, const struct evkeyvalq *headers, refusal_t *why)
{
	const char *value =
	    evhttp_find_header(headers, REQUEST_DEADLINE_HEADER);
	guint64 ms = 0;

	*why = REFUSAL_BAD_REQUEST;
	if (value != NULL &&
	    !g_ascii_string_to_unsigned(
		value, 10, 1, TIMEOUT_MAX_MS, &ms, NULL))
		return FALSE;
	r->timeout_ms = (msec_t)ms;
	value = evhttp_find_header(headers, "Idempotency-Key");
	if (value != NULL &&
	    (*value == '\0' || strlen(value) > IDEMPOTENCY_KEY_MAX_CHARS))
		return FALSE;
	r->idempotency_key = g_strdup(value);
	return TRUE;
}

static gboolean
holds_key(const char *text)
{
	char *plain = evhttp_uridecode(text, 1, NULL);
	gboolean found = plain == NULL ||
	    key_text_find(plain, strlen(plain)) != NULL ||
	    key_text_find(text, strlen(text)) != NULL;

	free(plain);
	return found;
}

/* A key may be in Authorization only: anywhere else it would be forwarded. */
static gboolean
is_free_of_keys(const request_t *r, refusal_t *why)
{
	size_t len = evbuffer_get_length(r->body);
	const char *bytes = (const char *)evbuffer_pullup(r->body, -1);
	const struct evkeyval *h;

	*why = REFUSAL_KEY_IN_REQUEST;
	if (holds_key(r->target) ||
	    (len > 0 && key_text_find(bytes, len) != NULL))
		return FALSE;
	TAILQ_FOREACH(h, &r->headers, next)
	{
		if (holds_key(h->value) || holds_key(h->key))
			return FALSE;
	}
	return TRUE;
}

/* Removes headers that only entry hosts may set for backend servers. */
static void
drop_own_headers(struct evkeyvalq *headers)
{
	const struct evkeyval *h, *after;

	for (h = TAILQ_FIRST(headers); h != NULL; h = after) {
		after = TAILQ_NEXT(h, next);
		if (g_ascii_strncasecmp(h->key, "Greengageloom-",
			strlen("Greengageloom-")) == 0 ||
		    g_ascii_strcasecmp(h->key, REQUEST_ID_HEADER) == 0)
			evhttp_remove_header(headers, h->key);
	}
}

gboolean
request_init(request_t *r, http_exchange_t *x, refusal_t *why)
{
	const struct evkeyvalq *headers = http_exchange_headers(x);
	struct evbuffer *body = http_exchange_body(x);
	size_t len = evbuffer_get_length(body);

	memset(r, 0, sizeof(*r));
	TAILQ_INIT(&r->headers);
	r->body = evbuffer_new();
	r->method = http_exchange_method(x);
	r->method_name = http_method_name(r->method);
	*why = REFUSAL_BAD_REQUEST;
	digest_of(evbuffer_pullup(body, -1), len, &r->body_digest);
	evbuffer_add_buffer(r->body, body);
	http_copy_end_to_end(&r->headers, headers);
	drop_own_headers(&r->headers);
	if (r->method_name != NULL &&
	    read_target(r, http_exchange_target(x), why) &&
	    read_key(r, headers, why) && read_options(r, headers, why) &&
	    is_free_of_keys(r, why))
		return TRUE;
	request_finish(r);
	return FALSE;
}

void
request_finish(request_t *r)
{
	g_free(r->service);
	g_free(r->target);
	g_free(r->path);
	g_free(r->idempotency_key);
	evhttp_clear_headers(&r->headers);
	evbuffer_free(r->body);
	memset(r, 0, sizeof(*r));
}
