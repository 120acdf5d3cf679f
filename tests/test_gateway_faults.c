#include <string.h>

#include "gateway_world.h"
#include "suite.h"

#define PORT 24600
#define CALLERS 12
#define BLOCK_BYTES 65536
#define BOUND_MS 8000 /* the route's time-out, twice, on a busy machine */

/* FAULT, LOST: the host ended when a server's answer could not be used. */
static const struct {
	const char *name;
	const char *start; /* NULL: closes without an answer */
	const char *more;  /* sent without end; NULL: nothing more */
} answers[] = {
    {"no answer", "", NULL},
    {"closed", NULL, NULL},
    {"half a head", "HTTP/1.1 200 OK\r\nX", NULL},
    {"half a body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", NULL},
    {"no protocol", "no answer at all\r\n\r\n", NULL},
    {"length twice",
	"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy",
	NULL},
    {"chunk size",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", NULL},
    {"interim answer", "HTTP/1.1 103 Early Hints\r\n\r\n", NULL},
    {"line without end", "", "x"},
    {"headers without end", "HTTP/1.1 200 OK\r\n", "X-Filler: y\r\n"},
    {"chunk size without end",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
    {"body without end", "HTTP/1.1 200 OK\r\n\r\n", "first"},
    {"chunks without end",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"5\r\nfirst\r\n"},
};

static gateway_world_t g;
static size_t current;
static GString *block;

static void
send_more(struct bufferevent *bev, void *arg)
{
	(void)arg;
	bufferevent_write(bev, block->str, block->len);
}

static void
serve_fault(raw_conn_t *conn, const char *id, const char *request)
{
	bufferevent_event_cb on_event;

	if (g_str_has_prefix(id, "ready")) {
		raw_reply_whole(conn, id, request);
		return;
	}
	if (answers[current].start == NULL) {
		raw_reset(conn);
		return;
	}
	raw_send(conn, answers[current].start);
	if (answers[current].more == NULL)
		return;
	bufferevent_getcb(conn->bev, NULL, NULL, &on_event, NULL);
	bufferevent_setcb(conn->bev, NULL, send_more, on_event, conn);
	send_more(conn->bev, conn);
}

static gboolean
all_answered(void *arg)
{
	raw_conn_t **callers = arg;
	int i;

	for (i = 0; i < CALLERS; i++) {
		if (raw_status(callers[i]) == 0)
			return FALSE;
	}
	return TRUE;
}

static void
play_answers(size_t i)
{
	raw_conn_t *callers[CALLERS];
	char id[32];
	int k;

	current = i;
	block = g_string_new(NULL);
	while (answers[i].more != NULL && block->len < BLOCK_BYTES)
		g_string_append(block, answers[i].more);
	gateway_world_begin(&g, PORT, 4, serve_fault);
	gateway_world_start(&g, 0);
	for (k = 0; k < CALLERS; k++) {
		g_snprintf(id, sizeof(id), "f-%d", k);
		callers[k] =
		    raw_connect(&g, gateway_world_port(&g, 0, PORT_CALLERS));
		raw_get(callers[k], id);
	}
	ck_assert_msg(gateway_world_wait(&g, all_answered, callers, BOUND_MS),
	    "%s: a request ended without an answer", answers[i].name);
	ck_assert_msg(gateway_world_wait_end(&g, 0, 0) == -1,
	    "%s: the host ended", answers[i].name);
	ck_assert_msg(g.requests > CALLERS, "%s: %u requests reached servers",
	    answers[i].name, g.requests);
	gateway_world_end(&g);
	g_string_free(block, TRUE);
}

static void
unusable_answers_do_not_end_the_host(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(answers); i++)
		play_answers(i);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"unusable answers do not end the host",
		unusable_answers_do_not_end_the_host},
	};

	return suite_run("gateway faults", cases, G_N_ELEMENTS(cases));
}
