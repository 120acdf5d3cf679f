#include "base/log.h"
#include "gateway/relay_internal.h"

/* A request asks for tokens of this number of servers at most. */
#define LIMIT_ASKS_MAX 3

void
relay_read_limit(relay_t *r, backend_t *server, const wire_answer_t *a)
{
	relays_t *relays = r->relays;
	char rate[G_ASCII_DTOSTR_BUF_SIZE];

	switch (a->limit) {
	case WIRE_LIMIT_NAMED:
		metrics_count(relays->metrics, relays->limits_named, 1);
		if (backend_limit(server, a->limit_rate, clock_now()))
			log_event(LOG_INFO, "server.limit", "server",
			    server->id, "rate",
			    g_ascii_formatd(
				rate, sizeof(rate), "%.3f", a->limit_rate),
			    "id", r->id, NULL);
		break;
	case WIRE_LIMIT_INVALID:
		metrics_count(relays->metrics, relays->limits_invalid, 1);
		log_event(LOG_WARN, "server.limit_refused", "server",
		    server->id, "id", r->id, NULL);
		break;
	case WIRE_LIMIT_NONE:
		if (backend_unlimit(server))
			log_event(LOG_INFO, "server.limit_ended", "server",
			    server->id, "id", r->id, NULL);
		break;
	}
}

static void
send_placed(relay_t *r, backend_t *server)
{
	attempt_event_t e;

	r->server = server;
	r->sent_at = clock_now();
	e = relay_event(r, ATTEMPT_PLACED);
	relay_step(r, &e);
}

static void
on_token(void *arg, const server_limit_answer_t *answer)
{
	relay_t *r = arg;
	backend_t *server = r->placed;
	msec_t now = clock_now();

	r->token_request = NULL;
	r->placed = NULL;
	if (answer->limit.server != 0 && server->limit_at != 0) {
		backend_limit(server, answer->limit.rate, answer->limit.at);
		server->limit_offloaded = answer->offloaded;
	}
	if (!answer->granted) {
		metrics_count(r->relays->metrics, r->relays->limits_reached, 1);
		server->limited_until = now + answer->wait_ms;
		log_event(LOG_DEBUG, "request.limited", "id", r->id, "server",
		    server->id, "wait_ms", log_num(answer->wait_ms), NULL);
	}
	/* The server may have left while the token was under way. */
	if (answer->granted &&
	    dispatch_may_send(&r->relays->view->dispatch, &r->job, server, now))
		send_placed(r, server);
	else
		relay_choose_server(r);
	backend_unref(server);
}

void
relay_send_within_limit(relay_t *r, backend_t *server)
{
	const server_limit_t limit = {
	    .server = backend_limit_id(server),
	    .rate = server->limit_rate,
	    .at = server->limit_at,
	};
	token_request_t *token;

	if (server->limit_at == 0) {
		send_placed(r, server);
		return;
	}
	if (r->limit_asks++ >= LIMIT_ASKS_MAX) {
		attempt_event_t e = relay_event(r, ATTEMPT_NO_SERVER);

		r->wait_ms = dispatch_retry_ms(FALSE);
		relay_step(r, &e);
		return;
	}
	r->placed = backend_ref(server);
	/* The callback may run before this returns and end the request, so @r
	 * is used only if there is a token request. */
	token = tokens_take_of_server(
	    r->relays->tokens, &limit, server->region, on_token, r);
	if (token != NULL)
		r->token_request = token;
}
