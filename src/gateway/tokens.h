#ifndef GATEWAY_TOKENS_H
#define GATEWAY_TOKENS_H

#include <event2/event.h>

#include "gateway/view.h"
#include "protocol/token_msg.h"
#include "transport/datagram.h"

/*
 * Gets the token of a workspace's rate, or of the limit that a backend server
 * names, that a request needs: from this host if it is the lender, else by a
 * datagram to the lender of the region and then to its deputy. If the lender
 * had no token, it is not asked again before there may be one: a workspace at
 * many times its rate must not overload its lender.
 */

/* Result of a request; called once unless the request was cancelled. Only for
 * a server's limit, @answer->limit and @answer->offloaded are set, and only if
 * a lender has answered. */
typedef void (*token_done_t)(void *arg, const server_limit_answer_t *answer);

typedef struct token_request token_request_t;

typedef struct {
	view_t *view;
	struct event_base *base;
	datagram_t *socket;
	const peer_secret_t *secret;
	GHashTable *pending; /* id to token_request_t, in flight */
	GHashTable *silent;  /* seed of a host to when it may be asked again */
	GHashTable *exhausted; /* name to when it may have a token */
	uint32_t last_id;
	uint64_t requests_sent, unanswered;
} tokens_t;

void tokens_init(tokens_t *t, view_t *view, struct event_base *base,
    datagram_t *socket, const peer_secret_t *secret);
void tokens_finish(tokens_t *t);

/**
 * tokens_take() - Take a token of a workspace, from this host or a lender.
 * @t: the state
 * @workspace: hash of the workspace's name
 * @done: may be called before this returns
 * @arg: its argument
 *
 * Return: the request in flight, or NULL if @done was called.
 */
token_request_t *tokens_take(
    tokens_t *t, uint64_t workspace, token_done_t done, void *arg);

/**
 * tokens_take_of_server() - The same for a request to a server.
 * @limit: the limit that the server names
 * @region: the server's region; must outlive the request
 */
token_request_t *tokens_take_of_server(tokens_t *t, const server_limit_t *limit,
    const char *region, token_done_t done, void *arg);
void tokens_cancel(token_request_t *request);

/** tokens_receive() - Handle a request or an answer of a peer. */
void tokens_receive(tokens_t *t, const token_msg_t *msg);

#endif
