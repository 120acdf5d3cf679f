/*
 * Gets one URL over HTTP and prints the body: standin_get IP:PORT PATH.
 * The exit status is 0 for an answer with a status below 400, otherwise 1.
 */
#include <stdio.h>

#include <event2/event.h>

#include "transport/http_client.h"

static int exit_status = 1;

static void
on_done(void *arg, http_outcome_t outcome, int status,
    const struct evkeyvalq *headers, struct evbuffer *body)
{
	(void)headers;
	if (outcome == HTTP_ANSWERED) {
		fwrite(evbuffer_pullup(body, -1), 1, evbuffer_get_length(body),
		    stdout);
		exit_status = status < 400 ? 0 : 1;
	}
	event_base_loopbreak(arg);
}

int
main(int argc, char **argv)
{
	struct event_base *base = event_base_new();
	http_client_t *http = http_client_new(base, 1);
	http_handler_t handler = {.on_done = on_done, .arg = base};
	http_request_t request = {
	    .method = EVHTTP_REQ_GET,
	    .timeout_ms = 3000,
	};

	if (argc == 3) {
		request.address = argv[1];
		request.path = argv[2];
		if (http_call(http, &request, &handler) != NULL)
			event_base_dispatch(base);
	}
	http_client_free(http);
	event_base_free(base);
	return exit_status;
}
