#ifndef GATEWAY_RELAY_INTERNAL_H
#define GATEWAY_RELAY_INTERNAL_H

#include "coordination/attempt.h"
#include "coordination/answer_origin.h"
#include "gateway/relay.h"
#include "platform/wire_http.h"

/*
 * Internal to the relay: relay.c starts a request, relay_try.c sends it to
 * servers, relay_wait.c lets it wait for one, relay_limit.c keeps to the limits
 * that these name, relay_reply.c answers it. The function that ends a relay
 * frees it, so a relay must not be used after a call that may end it.
 */

#define STATUS_OVER_RATE 429
#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
#define STATUS_GATEWAY_TIMEOUT 504
#define STATUS_SERVER_ERROR 500

/* Retry-After of a host that stops: the caller goes to another host. */
#define RELAY_LEAVING_RETRY_MS 100

typedef struct {
	relays_t *relays;
	http_exchange_t *x;
	wire_request_t request; /* strings belong to the exchange */
	char *id;		/* for the log; outlives the exchange */
	admission_t admission;
	dispatch_job_t job;
	attempt_t attempt;
	fingerprint_t fingerprint;
	gboolean idempotent;
	msec_t began_at;
	msec_t wait_ms; /* time until a refused caller may try again */
	attempt_action_t first_action; /* done once the token is granted */
	struct event *timer;
	token_request_t *token_request; /* in flight, or NULL */

	urgency_wait_t wait;
	gboolean has_token; /* of its workspace's rate */

	backend_t *placed; /* reference; a token for it is requested */
	guint limit_asks;  /* tokens of servers that were requested */

	/* The try in flight. */
	http_call_t *call;
	gboolean first_request; /* no other was sent on its connection */
	backend_t *server;
	poison_run_id_t run;
	gboolean server_has_room; /* according to its last answer */
	msec_t sent_at;
	int64_t sent_wall;   /* for the usage; 0: not counted */
	double server_queue; /* requests waiting there, by the answer */
	double server_slots; /* 0: not known */

	/* The answer for the caller; valid while its callback runs. */
	int status;
	const struct evkeyvalq *answer_headers;
	struct evbuffer *answer_body;
	const char *unusable_reason; /* why it can't be passed on, or NULL */
} relay_t;

/** relay_free() - Free a request that was answered or given up. */
void relay_free(relay_t *r);

/** relay_log_end() - Log the outcome of a request and what decided it. */
void relay_log_end(
    const relay_t *r, int status, const char *outcome, const char *reason);

/** relay_reply_own() - Answer from this host. A status below 500, or 503, says
 * that the request did not run.
 */
void relay_reply_own(
    relay_t *r, int status, msec_t retry_ms, const char *reason);

/** relay_reply_answer() - Pass the server's answer on to the caller. */
void relay_reply_answer(relay_t *r);

/** relay_reply_refused() - Answer with the reason why the attempt failed. */
void relay_reply_refused(relay_t *r, const attempt_action_t *action);

/** relay_event() - Build an event about the try in flight. */
attempt_event_t relay_event(const relay_t *r, attempt_event_kind_t kind);

/** relay_step() - Pass an event to the attempt and do what it decides. */
void relay_step(relay_t *r, const attempt_event_t *e);

/** relay_act() - Do what the attempt decided. */
void relay_act(relay_t *r, attempt_action_t action);

/** relay_choose_server() - Choose a server for the next try. */
void relay_choose_server(relay_t *r);

/** relay_read_limit() - Take over what an answer says of its server's limit. */
void relay_read_limit(relay_t *r, backend_t *server, const wire_answer_t *a);

/** relay_send_within_limit() - Send to a server once its limit allows it. */
void relay_send_within_limit(relay_t *r, backend_t *server);

/** relay_count_class() - Count an event of the request's class, if any. */
void relay_count_class(const relay_t *r, class_event_t event);

/** relay_wait_init() - Set up the queue; @relays->base is set. */
void relay_wait_init(relays_t *relays);
void relay_wait_finish(relays_t *relays);

/**
 * relay_place() - Choose a server, unless a waiting request has precedence.
 */
placing_t relay_place(relay_t *r);

/**
 * relay_wait() - Let a request wait that could not be placed.
 * @r: the request
 * @p: from relay_place()
 *
 * Return: FALSE if it is to be refused.
 */
gboolean relay_wait(relay_t *r, const placing_t *p);

/** relay_wait_ended() - Record that the request is sent or refused. */
void relay_wait_ended(relay_t *r);

/** relay_wait_wake() - A server has answered: look at the waiting requests. */
void relay_wait_wake(relays_t *relays);

/** relay_send_with_token() - Take the token that a request needs and send it,
 * if a server has room for it.
 */
void relay_send_with_token(relay_t *r);

/** relay_cancel_try() - Cancel the try in flight. */
void relay_cancel_try(relay_t *r, dispatch_end_t end);

#endif
