#include <string.h>

#include "host_world.h"
#include "suite.h"

#define PORT 25532
#define FAULT_MS 1200 /* time beside a fault: more than from scan to scan */
#define BOUND_MS 8000
#define NESTED 200000

/* What the store answers in place of its own answer. */
static const struct {
	const char *name;
	const char *head; /* before the body; NULL: @body is all */
	const char *body;
	const char *more; /* sent without end; NULL: nothing more */
} faults[] = {
    {"silent", NULL, "", NULL},
    {"no HTTP", NULL, "no answer at all\r\n\r\n", NULL},
    {"closes", NULL, NULL, NULL},
    {"half a head", NULL, "HTTP/1.1 200 OK\r\nX", NULL},
    {"half a body", NULL, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{",
	NULL},
    {"head without end", NULL, "HTTP/1.1 200 OK\r\n", "X-Filler: y\r\n"},
    {"body without end", NULL, "HTTP/1.1 200 OK\r\n\r\n", "[1,"},
    {"chunks without end", NULL,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"5\r\n[[[[[\r\n"},
    {"interim answer", NULL, "HTTP/1.1 103 Early Hints\r\n\r\n", NULL},
    {"interim answers without end", NULL, "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"500", "500 Error", "oh", NULL},
    {"503", "503 Away", "", NULL},
    {"404", "404 None", "{}", NULL},
    {"409", "409 Conflict", "{}", NULL},
    {"204", "204 Empty", "", NULL},
    {"301", "301 Moved", "{}", NULL},
    {"empty body", "200 OK", "", NULL},
    {"nested", "200 OK", "[", NULL},
    {"null", "200 OK", "null", NULL},
    {"no object", "200 OK", "[]", NULL},
    {"no members", "200 OK", "{}", NULL},
    {"number too large", "200 OK",
	"{\"version\":99999999999999999999,\"rows\":[],\"hosts\":[]}", NULL},
    {"negative", "200 OK", "{\"version\":-1,\"rows\":[],\"hosts\":[]}", NULL},
    {"real", "200 OK", "{\"version\":1.5,\"rows\":[],\"hosts\":[]}", NULL},
    {"rows of a wrong type", "200 OK",
	"{\"version\":1,\"rows\":{},\"hosts\":{}}", NULL},
    {"row of a wrong type", "200 OK",
	"{\"version\":1,\"rows\":[null],\"hosts\":[null]}", NULL},
    {"row without a key", "200 OK",
	"{\"version\":1,\"rows\":[{\"key\":\"g/a\",\"value\":\"{}\","
	"\"version\":1},{\"value\":\"{}\",\"version\":1}],"
	"\"hosts\":[{\"id\":\"x\"}]}",
	NULL},
    {"value of a wrong type", "200 OK",
	"{\"version\":1,\"rows\":[{\"key\":\"g/a\",\"value\":1,"
	"\"version\":1}],\"hosts\":[{\"id\":1,\"state\":2}],"
	"\"key\":1,\"value\":[]}",
	NULL},
    {"no UTF-8", "200 OK", "{\"version\":1,\"rows\":[],\"hosts\":\"\xff\xfe\"}",
	NULL},
    {"NUL in a text", "200 OK",
	"{\"version\":1,\"rows\":[{\"key\":\"g/a\\u0000b\",\"value\":\"\","
	"\"version\":1}],\"hosts\":[]}",
	NULL},
};

static host_world_t w;
static size_t current;
static GString *block, *body;

static void
send_more(struct bufferevent *bev, void *arg)
{
	(void)arg;
	bufferevent_write(bev, block->str, block->len);
}

static void
send_fault(raw_conn_t *conn, const char *request)
{
	bufferevent_data_cb on_read;
	bufferevent_event_cb on_event;
	char *head;

	(void)request;
	if (faults[current].body == NULL) {
		raw_reset(conn);
		return;
	}
	if (faults[current].head != NULL) {
		head = g_strdup_printf(
		    "HTTP/1.1 %s\r\nContent-Length: %zu\r\n\r\n",
		    faults[current].head, body->len);
		raw_send(conn, head);
		g_free(head);
	}
	raw_send(conn, body->str);
	if (faults[current].more == NULL)
		return;
	bufferevent_getcb(conn->bev, &on_read, NULL, &on_event, NULL);
	bufferevent_setcb(conn->bev, on_read, send_more, on_event, conn);
	send_more(conn->bev, conn);
}

static void
begin_fault(size_t i)
{
	guint k;

	current = i;
	block = g_string_new(NULL);
	while (faults[i].more != NULL && block->len < 65536)
		g_string_append(block, faults[i].more);
	body = g_string_new(faults[i].body);
	for (k = 0; strcmp(faults[i].name, "nested") == 0 && k < NESTED; k++)
		g_string_append(body, "[");
	w.store_answer = send_fault;
}

static void
end_fault(void)
{
	w.store_answer = NULL;
	g_string_free(block, TRUE);
	g_string_free(body, TRUE);
}

static gboolean
is_ended(void *arg)
{
	raw_conn_t *conn = arg;

	return raw_status(conn) != 0 || conn->closed;
}

/* Requests with a new Idempotency-Key need the store. */
static void
call_keyed(const char *what, int n)
{
	char id[32];
	raw_conn_t *conn;

	g_snprintf(id, sizeof(id), "k-%zu-%d", current, n);
	conn = host_world_call(&w, 0, "odd", id, id);
	ck_assert_msg(gateway_world_wait(&w.raw, is_ended, conn, BOUND_MS),
	    "%s: a request with a key has no end", what);
}

static void
a_store_that_cannot_be_used_ends_no_host(void)
{
	size_t i;

	host_world_begin(&w, PORT, NULL);
	host_world_serve(&w, 1);
	for (i = 0; i < G_N_ELEMENTS(faults); i++) {
		begin_fault(i);
		call_keyed(faults[i].name, 1);
		gateway_world_run(&w.raw, FAULT_MS / 4);
		host_world_stays(&w, 0, faults[i].name);
		call_keyed(faults[i].name, 2);
		host_world_wait_serving(&w, 0);
		end_fault();
	}
	gateway_world_run(&w.raw, FAULT_MS);
	host_world_wait_serving(&w, 0);
	host_world_end(&w);
}

/* The host waits beside the faults, then joins. */
static void
a_host_starts_beside_a_store_that_cannot_be_used(void)
{
	guint before;
	size_t i;

	host_world_begin(&w, PORT, NULL);
	host_world_start(&w, 0);
	for (i = 0; i < G_N_ELEMENTS(faults); i++) {
		before = w.store_requests;
		begin_fault(i);
		gateway_world_run(&w.raw, FAULT_MS);
		host_world_stays(&w, 0, faults[i].name);
		ck_assert_msg(w.store_requests > before,
		    "%s: the host asks no more", faults[i].name);
		end_fault();
	}
	host_world_configure(&w, 1);
	host_world_end(&w);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"a store that can't be used ends no host",
		a_store_that_cannot_be_used_ends_no_host},
	    {"a host starts beside a store that can't be used",
		a_host_starts_beside_a_store_that_cannot_be_used},
	};

	return suite_run("host store", cases, G_N_ELEMENTS(cases));
}
