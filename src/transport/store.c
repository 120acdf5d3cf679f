#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "transport/store.h"

typedef struct {
	store_t *store;
	store_done_t done;
	void *arg;
	store_result_t result;
	char *key;	    /* of the row requested with store_get() */
	GError *send_error; /* set if the request could not be sent */
} store_call_t;

static const char *
step_name(store_op_t op)
{
	switch (op) {
	case STORE_ROW:
		return "store.get";
	case STORE_TXN:
		return "store.txn";
	case STORE_SCAN:
		return "store.scan";
	case STORE_OBJECT:
		return "store.get_object";
	case STORE_PUT:
		return "store.put_object";
	case STORE_HOSTS:
		return "store.hosts";
	}
	return "store";
}

static gboolean
is_write(store_op_t op)
{
	return op == STORE_TXN || op == STORE_PUT;
}

void
store_init(store_t *store, store_kind_t kind, struct event_base *base,
    http_client_t *http, const char *address)
{
	memset(store, 0, sizeof(*store));
	store->kind = kind;
	store->base = base;
	store->http = http;
	store->address = g_strdup(address);
}

void
store_finish(store_t *store)
{
	g_free(store->address);
}

static void
clear_result(store_result_t *r)
{
	switch (r->op) {
	case STORE_ROW:
		store_row_clear(&r->u.row);
		break;
	case STORE_SCAN:
		store_scan_clear(&r->u.scan);
		break;
	case STORE_HOSTS:
		if (r->u.hosts != NULL)
			g_array_free(r->u.hosts, TRUE);
		break;
	case STORE_TXN:
	case STORE_OBJECT:
	case STORE_PUT:
		break;
	}
}

static void
finish_call(store_call_t *call, const GError *err)
{
	call->store->calls--;
	call->done(call->arg, &call->result, err);
	clear_result(&call->result);
	g_free(call->key);
	g_clear_error(&call->send_error);
	g_free(call);
}

static void
set_error(
    const store_call_t *call, GError **err, error_code_t code, const char *what)
{
	error_set(err, code, step_name(call->result.op), call->store->address,
	    "%s", what);
}

static void
check_outcome(const store_call_t *call, http_outcome_t outcome, GError **err)
{
	gboolean write = is_write(call->result.op);

	switch (outcome) {
	case HTTP_ANSWERED:
		break;
	case HTTP_NOT_SENT:
		set_error(call, err, ERROR_UNAVAILABLE, "not reached");
		break;
	case HTTP_NO_FILE:
		set_error(call, err, ERROR_UNAVAILABLE, "no descriptor free");
		break;
	case HTTP_NO_MEMORY:
	case HTTP_BROKEN:
		set_error(call, err, write ? ERROR_UNKNOWN : ERROR_UNAVAILABLE,
		    "connection broken");
		break;
	case HTTP_TIMED_OUT:
		set_error(call, err, write ? ERROR_UNKNOWN : ERROR_UNAVAILABLE,
		    "no answer");
		break;
	}
}

static void
check_status(const store_call_t *call, int status, GError **err)
{
	if (status == HTTP_OK)
		return;
	if (status == 409)
		set_error(call, err, ERROR_CONFLICT, "a check failed");
	else if (status == HTTP_SERVUNAVAIL)
		set_error(
		    call, err, ERROR_UNAVAILABLE, "temporarily unavailable");
	else if (status >= 500)
		set_error(call, err,
		    is_write(call->result.op) ? ERROR_UNKNOWN
					      : ERROR_UNAVAILABLE,
		    "server error");
	else
		set_error(call, err, ERROR_INVALID, "request rejected");
}

static void
decode(store_call_t *call, const char *text, size_t len, GError **err)
{
	store_result_t *r = &call->result;

	switch (r->op) {
	case STORE_ROW:
		store_msg_row(text, len, &r->u.row, err);
		break;
	case STORE_TXN:
		store_msg_txn_answer(text, len, &r->u.version, err);
		break;
	case STORE_SCAN:
		store_msg_scan(text, len, &r->u.scan, err);
		break;
	case STORE_OBJECT:
		r->u.object.bytes = text;
		r->u.object.len = len;
		break;
	case STORE_HOSTS:
		r->u.hosts = store_msg_hosts(text, len, err);
		break;
	case STORE_PUT:
		break;
	}
}

/* A transaction whose answer can't be parsed may have taken effect. */
static void
mark_unknown(const store_call_t *call, GError *err)
{
	if (err != NULL && err->code == ERROR_INVALID &&
	    call->result.op == STORE_TXN)
		err->code = ERROR_UNKNOWN;
}

/* A missing row or object is a valid result, not an error. */
static gboolean
is_absent(store_call_t *call, int status)
{
	if (status != HTTP_NOTFOUND)
		return FALSE;
	if (call->result.op == STORE_ROW) {
		call->result.u.row.key = g_strdup(call->key);
		return TRUE;
	}
	return call->result.op == STORE_OBJECT;
}

static void
on_done(void *arg, http_outcome_t outcome, int status,
    const struct evkeyvalq *headers, struct evbuffer *body)
{
	store_call_t *call = arg;
	GError *err = NULL;
	size_t len;

	(void)headers;
	check_outcome(call, outcome, &err);
	if (err == NULL)
		call->store->answered_at = clock_now();
	if (err == NULL && !is_absent(call, status)) {
		check_status(call, status, &err);
		if (err == NULL) {
			len = evbuffer_get_length(body);
			decode(call, (const char *)evbuffer_pullup(body, -1),
			    len, &err);
			mark_unknown(call, err);
		}
	}
	finish_call(call, err);
	g_clear_error(&err);
}

static void
on_send_error(evutil_socket_t fd, short what, void *arg)
{
	store_call_t *call = arg;

	(void)fd;
	(void)what;
	finish_call(call, call->send_error);
}

static void
fail_unsent(store_call_t *call, error_code_t code, const char *what)
{
	struct timeval now = {0, 0};

	set_error(call, &call->send_error, code, what);
	event_base_once(
	    call->store->base, -1, EV_TIMEOUT, on_send_error, call, &now);
}

static store_call_t *
call_new(store_t *store, store_op_t op, store_done_t done, void *arg)
{
	store_call_t *call = g_new0(store_call_t, 1);

	call->store = store;
	call->done = done;
	call->arg = arg;
	call->result.op = op;
	call->result.sent_at = clock_now();
	store->calls++;
	if (is_write(op))
		store->writes++;
	else
		store->reads++;
	return call;
}

static void
send_call(store_call_t *call, enum evhttp_cmd_type method, const char *path,
    struct evbuffer *body)
{
	http_request_t request = {
	    .address = call->store->address,
	    .method = method,
	    .path = path,
	    .body = body,
	    .timeout_ms = STORE_TIMEOUT_MS,
	    .max_body = STORE_ANSWER_MAX_BYTES,
	};
	http_handler_t handler = {.on_done = on_done, .arg = call};

	if (call->store->calls > STORE_MAX_CALLS) {
		fail_unsent(
		    call, ERROR_UNAVAILABLE, "too many calls in progress");
		return;
	}
	if (http_call(call->store->http, &request, &handler) == NULL)
		fail_unsent(call, ERROR_INVALID, "expected IP:PORT");
}

void
store_get(store_t *store, const char *key, store_done_t done, void *arg)
{
	store_call_t *call = call_new(store, STORE_ROW, done, arg);
	char *name = evhttp_uriencode(key, -1, 0);
	char *path = g_strconcat("/v1/rows/", name, NULL);

	call->key = g_strdup(key);
	send_call(call, EVHTTP_REQ_GET, path, NULL);
	g_free(path);
	free(name);
}

void
store_scan(store_t *store, const char *prefix, uint64_t since,
    store_done_t done, void *arg)
{
	store_call_t *call = call_new(store, STORE_SCAN, done, arg);
	char *name = evhttp_uriencode(prefix, -1, 0);
	char *path =
	    g_strdup_printf("/v1/scan?prefix=%s&since=%" G_GUINT64_FORMAT, name,
		(guint64)since);

	send_call(call, EVHTTP_REQ_GET, path, NULL);
	g_free(path);
	free(name);
}

void
store_txn(store_t *store, const store_txn_t *txn, store_done_t done, void *arg)
{
	store_call_t *call = call_new(store, STORE_TXN, done, arg);
	struct evbuffer *body = evbuffer_new();
	char *text = store_msg_txn(txn);

	evbuffer_add(body, text, strlen(text));
	send_call(call, EVHTTP_REQ_POST, "/v1/txn", body);
	evbuffer_free(body);
	free(text);
}

static void
object_call(store_call_t *call, const char *name, enum evhttp_cmd_type method,
    struct evbuffer *body)
{
	char *safe = evhttp_uriencode(name, -1, 0);
	char *path = g_strconcat("/v1/objects/", safe, NULL);

	send_call(call, method, path, body);
	g_free(path);
	free(safe);
}

void
store_put_object(store_t *store, const char *name, const char *bytes,
    size_t len, store_done_t done, void *arg)
{
	struct evbuffer *body = evbuffer_new();

	evbuffer_add(body, bytes, len);
	object_call(
	    call_new(store, STORE_PUT, done, arg), name, EVHTTP_REQ_PUT, body);
	evbuffer_free(body);
}

void
store_get_object(store_t *store, const char *name, store_done_t done, void *arg)
{
	object_call(call_new(store, STORE_OBJECT, done, arg), name,
	    EVHTTP_REQ_GET, NULL);
}

void
store_hosts(store_t *store, store_done_t done, void *arg)
{
	send_call(call_new(store, STORE_HOSTS, done, arg), EVHTTP_REQ_GET,
	    "/v1/hosts", NULL);
}
