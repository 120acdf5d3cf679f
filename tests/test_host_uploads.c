#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "host_world.h"
#include "suite.h"

/*
 * GUARDS: a part of a server's answer passes as a whole one. The server answers
 * while a long upload is still written to it, and resets the connection.
 */

#define PORT 25600
#define CALLERS 8 /* half of them on an idempotent route */
#define UPLOAD_BYTES 4000000
#define BOUND_MS 15000

static const struct {
	const char *name;
	const char *answer;
	gboolean resets;
} answers[] = {
    {"200 without a length", "HTTP/1.1 200 OK\r\n\r\npart", TRUE},
    {"200 without a length, to be closed",
	"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart", TRUE},
    {"200 in HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\npart", TRUE},
    {"200 without a body", "HTTP/1.1 200 OK\r\n\r\n", TRUE},
    {"200 with a part of its length",
	"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", TRUE},
    {"200 with a part of its chunks",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	TRUE},
    {"status 000", "HTTP/1.1 000 None\r\nContent-Length: 5\r\n\r\nwhole",
	FALSE},
    {"status 000 without a length", "HTTP/1.1 000 None\r\n\r\npart", TRUE},
    {"status 000, chunks",
	"HTTP/1.1 000 None\r\nTransfer-Encoding: chunked\r\n\r\n"
	"4\r\npart\r\n0\r\n\r\n",
	FALSE},
};

static host_world_t w;
static size_t current;
static gboolean whole; /* the answer follows a whole request */
static char *upload;
static guint answered;

static void
reset_sent(struct bufferevent *bev, void *arg)
{
	(void)bev;
	raw_reset(arg);
}

static void
answer(raw_conn_t *conn)
{
	bufferevent_event_cb on_event;
	bufferevent_data_cb on_read;

	answered++;
	bufferevent_getcb(conn->bev, &on_read, NULL, &on_event, NULL);
	if (answers[current].resets)
		bufferevent_setcb(
		    conn->bev, on_read, reset_sent, on_event, conn);
	raw_send(conn, answers[current].answer);
}

static gboolean
answer_early(raw_conn_t *conn)
{
	if (whole || conn->server > 1 ||
	    strstr(conn->in->str, "/upload") == NULL)
		return FALSE;
	answer(conn);
	return TRUE;
}

static void
answer_whole(raw_conn_t *conn, const char *id, const char *request)
{
	(void)id;
	(void)request;
	answer(conn);
}

static gboolean
all_ended(void *arg)
{
	raw_conn_t **callers = arg;
	int i;

	for (i = 0; i < CALLERS; i++) {
		if (raw_status(callers[i]) == 0 && !callers[i]->closed)
			return FALSE;
	}
	return TRUE;
}

/* Whether a caller takes what it got for a whole answer of the server. */
static gboolean
is_complete(const raw_conn_t *conn)
{
	const char *head = conn->in->str, *body = strstr(head, "\r\n\r\n");
	const char *length = strstr(head, "Content-Length: ");

	if (body == NULL || raw_status(conn) >= 500)
		return FALSE;
	body += 4;
	if (length != NULL && length < body)
		return strlen(body) >=
		    strtoul(length + strlen("Content-Length: "), NULL, 10);
	if (strstr(head, "Transfer-Encoding: chunked") != NULL)
		return g_str_has_suffix(body, "0\r\n\r\n");
	return conn->closed && !conn->reset;
}

static int
play(size_t i)
{
	raw_conn_t *callers[CALLERS];
	char *text;
	int k, complete = 0, refused = 0;

	current = i;
	answered = 0;
	for (k = 0; k < CALLERS; k++) {
		callers[k] =
		    raw_connect(&w.raw, host_world_port(&w, 0, HOST_CALLERS));
		text = g_strdup_printf("POST /call/odd/%s/upload-%zu-%d-%d "
				       "HTTP/1.1\r\nHost: h\r\n"
				       "Content-Length: %d\r\n\r\n",
		    k % 2 == 0 ? "get" : "post", i, whole, k,
		    whole ? 1 : UPLOAD_BYTES);
		raw_send(callers[k], text);
		bufferevent_write(
		    callers[k]->bev, upload, whole ? 1 : UPLOAD_BYTES);
		g_free(text);
	}
	ck_assert_msg(gateway_world_wait(&w.raw, all_ended, callers, BOUND_MS),
	    "%s: a request has no end", answers[i].name);
	gateway_world_run(&w.raw, 100);
	host_world_stays(&w, 0, answers[i].name);
	for (k = 0; k < CALLERS; k++) {
		complete += is_complete(callers[k]);
		refused += raw_status(callers[k]) >= 500;
	}
	printf("%s, %s: %u answers of servers; of %d callers %d got a whole "
	       "answer, %d a refusal\n",
	    answers[i].name, whole ? "whole request" : "early", answered,
	    CALLERS, complete, refused);
	return complete;
}

static void
parts_do_not_pass_as_whole(void)
{
	size_t i;
	int complete = 0, round;

	upload = g_malloc0(UPLOAD_BYTES);
	for (round = 0; round < 2; round++) {
		whole = round == 1;
		host_world_begin(&w, PORT, answer_whole);
		w.raw.early = answer_early;
		host_world_serve(&w, 1);
		for (i = 0; i < G_N_ELEMENTS(answers); i++)
			complete += play(i);
		host_world_end(&w);
	}
	ck_assert_msg(complete == 0, "%d callers got a whole answer", complete);
	g_free(upload);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"parts do not pass as whole", parts_do_not_pass_as_whole},
	};

	return suite_run("host uploads", cases, G_N_ELEMENTS(cases));
}
