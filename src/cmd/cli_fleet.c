#include <signal.h>
#include <string.h>

#include <sodium.h>

#include "cmd/cli_fleet.h"

#define CALLER_ID "operator"

typedef enum {
	ATTEMPT_RUNNING,
	ATTEMPT_FAILED,	 /* the call failed */
	ATTEMPT_REFUSED, /* refused, which does not settle the operation */
	ATTEMPT_TAKEN,
} attempt_state_t;

typedef struct {
	cli_answer_t *answer;
	attempt_state_t state;
} attempt_t;

gboolean
cli_fleet_init(cli_fleet_t *f, const cli_settings_t *s, GError **err)
{
	rpc_client_config_t config = {0};

	memset(f, 0, sizeof(*f));
	if (!rpc_key_load(&f->key, s->secret_file, err))
		return FALSE;
	f->hosts = s->hosts;
	f->accept_ms = CLI_ACCEPT_WAIT_MS;
	f->base = event_base_new();
	metrics_init(&f->metrics);
	config.base = f->base;
	config.key = &f->key;
	config.id = CALLER_ID;
	config.metrics = &f->metrics;
	config.version = HOST_VERSION;
	rpc_client_init(&f->client, &config);
	return TRUE;
}

void
cli_fleet_finish(cli_fleet_t *f)
{
	rpc_client_finish(&f->client);
	metrics_finish(&f->metrics);
	event_base_free(f->base);
	rpc_key_finish(&f->key);
}

void
cli_answer_clear(cli_answer_t *a)
{
	g_free(a->text);
	memset(a, 0, sizeof(*a));
}

static void
set_text(cli_answer_t *a, const char *text)
{
	g_free(a->text);
	a->text = g_strdup(text);
}

static void
take_result(attempt_t *t, const operate_result_t *r)
{
	cli_answer_t *a = t->answer;
	gboolean settled = cli_tally_answer(&a->tally, r->outcome);

	t->state = settled || r->outcome == OPERATE_UNKNOWN ? ATTEMPT_TAKEN
							    : ATTEMPT_REFUSED;
	set_text(a, r->text);
	if (!settled)
		return;
	a->version = r->result_version;
	a->hosts_confirmed = r->hosts_confirmed;
	a->hosts_total = r->hosts_total;
}

static void
on_answer(void *arg, const rpc_result_t *result, const GError *err)
{
	attempt_t *t = arg;

	if (result != NULL) {
		take_result(t, &result->u.operate);
		return;
	}
	t->state = ATTEMPT_FAILED;
	cli_tally_failure(&t->answer->tally, (error_code_t)err->code);
	/* A host's answer says more than the error of a call to another one. */
	if (t->answer->text == NULL)
		set_text(t->answer, err->message);
}

static attempt_state_t
ask_host(cli_fleet_t *f, const operate_args_t *args, cli_answer_t *a)
{
	const char *host = f->hosts[f->next_host];
	attempt_t t = {a, ATTEMPT_RUNNING};
	rpc_args_t call = {.proc = RPC_PROC_OPERATE};
	GError *err = NULL;
	rpc_peer_id_t peer;

	call.u.operate = *args;
	if (!rpc_client_peer(&f->client, host, &peer, &err) ||
	    !rpc_client_call(&f->client, peer, &call, CLI_CALL_TIMEOUT_MS,
		on_answer, &t, &err)) {
		on_answer(&t, NULL, err);
		g_error_free(err);
	}
	while (t.state == ATTEMPT_RUNNING)
		event_base_loop(f->base, EVLOOP_ONCE);
	if (t.state == ATTEMPT_TAKEN)
		a->host = host;
	return t.state;
}

void
cli_fleet_operate(cli_fleet_t *f, const operate_args_t *args, cli_answer_t *a)
{
	guint n = g_strv_length(f->hosts);
	guint i;

	for (i = 0; i < n; i++) {
		if (ask_host(f, args, a) == ATTEMPT_TAKEN)
			return;
		f->next_host = (f->next_host + 1) % n;
	}
}

static void
on_pause_end(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	*(gboolean *)arg = (what & EV_SIGNAL) == 0;
}

gboolean
cli_fleet_pause(cli_fleet_t *f, msec_t ms)
{
	struct timeval tv = {ms / MSEC_PER_SEC, (ms % MSEC_PER_SEC) * 1000};
	gboolean ended = -1;
	struct event *events[] = {
	    evsignal_new(f->base, SIGINT, on_pause_end, &ended),
	    evsignal_new(f->base, SIGTERM, on_pause_end, &ended),
	    evtimer_new(f->base, on_pause_end, &ended),
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(events); i++)
		event_add(events[i], i == 2 ? &tv : NULL);
	while (ended == -1)
		event_base_loop(f->base, EVLOOP_ONCE);
	for (i = 0; i < G_N_ELEMENTS(events); i++)
		event_free(events[i]);
	return ended;
}

static gboolean
should_wait(const cli_fleet_t *f, const cli_answer_t *a, msec_t waited,
    uint32_t wait_sec)
{
	switch (a->tally.state) {
	case CLI_STATE_UNREACHABLE:
		return FALSE;
	case CLI_STATE_UNKNOWN:
		if (waited < f->accept_ms)
			return TRUE;
		break;
	case CLI_STATE_ANSWERED:
		break;
	}
	return !cli_tally_is_settled(&a->tally) &&
	    waited < (msec_t)wait_sec * MSEC_PER_SEC;
}

void
cli_fleet_wait(cli_fleet_t *f, const operate_args_t *args,
    const rpc_token_t token, uint32_t wait_sec, cli_answer_t *a)
{
	operate_args_t progress = {.op = OPERATE_PROGRESS};
	msec_t began_at = clock_now();
	attempt_state_t state;

	memcpy(progress.operate_args_t_u.progress.token, token, RPC_TOKEN_SIZE);
	while (should_wait(f, a, clock_now() - began_at, wait_sec)) {
		if (!cli_fleet_pause(f, CLI_PROGRESS_POLL_MS))
			return;
		state = ask_host(f, &progress, a);
		if (state != ATTEMPT_TAKEN)
			f->next_host =
			    (f->next_host + 1) % g_strv_length(f->hosts);
		if (state != ATTEMPT_TAKEN ||
		    a->tally.state == CLI_STATE_UNKNOWN)
			cli_fleet_operate(f, args, a);
	}
}
