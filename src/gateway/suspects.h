#ifndef GATEWAY_SUSPECTS_H
#define GATEWAY_SUSPECTS_H

#include "base/metrics.h"
#include "coordination/poison.h"
#include "gateway/server_words.h"
#include "gateway/view.h"
#include "protocol/suspect_msg.h"
#include "transport/http_client.h"

/*
 * Finds requests that crash backend servers, together with the other hosts.
 * When a connection breaks during a request, the server's entry, its later
 * answers or else a probe show whether the server has died. Owns the probes.
 */

/* Sends reports to every other host. */
typedef void (*suspects_send_t)(void *arg, suspect_msg_t *msg);

typedef struct {
	view_t *view;
	http_client_t *http;
	poison_t poison;
	GPtrArray *crash_checks; /* crash_check_t: servers that may have died */
	GArray *resend;		 /* poison_event_t, to be sent a second time */
	struct event *timer;
	suspects_send_t send;
	void *send_arg;
	metrics_t *metrics;
	server_words_t words; /* in answers to requests and probes */
	metric_id_t deaths, probes;
} suspects_t;

/** suspects_init() - @view, @http, @base and @metrics must outlive @s. */
void suspects_init(suspects_t *s, view_t *view, http_client_t *http,
    struct event_base *base, metrics_t *metrics);
void suspects_finish(suspects_t *s);

/**
 * suspects_check() - Whether a request may run.
 *
 * Return: 0 if it may run, else the time for which it is still refused, ms.
 */
msec_t suspects_check(suspects_t *s, const fingerprint_t *fingerprint);

/**
 * suspects_sent() - Record that a request is sent to a server.
 *
 * Return: a handle for suspects_ended().
 */
poison_run_id_t suspects_sent(
    suspects_t *s, const fingerprint_t *fingerprint, const backend_t *server);

/**
 * suspects_ended() - Record that a request has ended at a server.
 * @s: the state
 * @run: from suspects_sent()
 * @server: where it ran
 * @end: how it ended
 * @sent_at: when it was sent
 */
void suspects_ended(suspects_t *s, poison_run_id_t run, backend_t *server,
    dispatch_end_t end, msec_t sent_at);

/** suspects_resend() - Report refused requests again, as a host has started. */
void suspects_resend(suspects_t *s);

/** suspects_receive() - Take in the reports of another host. */
void suspects_receive(suspects_t *s, const suspect_msg_t *msg);

#endif
