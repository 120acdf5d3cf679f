#ifndef CMD_CLI_FLEET_H
#define CMD_CLI_FLEET_H

#include <event2/event.h>

#include "cmd/cli_outcome.h"
#include "cmd/cli_settings.h"
#include "transport/rpc_client.h"

/* Operations on the fleet: one host after another until one settles it. */

#define CLI_CALL_MS 10000   /* for one host's answer */
#define CLI_PROGRESS_MS 250 /* between looks at what was accepted */
#define CLI_ACCEPT_MS 15000 /* to learn whether it was accepted */

typedef struct {
	struct event_base *base;
	rpc_key_t key;
	metrics_t metrics;
	rpc_client_t client;
	char **hosts;	  /* of the settings */
	guint at;	  /* host to ask first: the last that answered */
	msec_t accept_ms; /* CLI_ACCEPT_MS */
} cli_fleet_t;

typedef struct {
	cli_tally_t tally;
	uint64_t version;
	uint32_t hosts_confirmed, hosts_total;
	char *text; /* of the last answer, or the last error; "" for none */
	const char *host; /* that gave it */
} cli_answer_t;

/**
 * cli_fleet_init() - Get ready to call.
 * @f: memory of the caller
 * @s: settings, which must outlive @f
 * @err: ERROR_INVALID for the secret
 */
gboolean cli_fleet_init(cli_fleet_t *f, const cli_settings_t *s, GError **err);
void cli_fleet_finish(cli_fleet_t *f);

/**
 * cli_fleet_operate() - Ask hosts in turn until one takes the operation.
 * @f: the fleet
 * @args: the operation; it carries a token wherever a repeat could harm
 * @a: zeroed before the first operation with a token; cli_answer_clear()
 *
 * A host that answers "unknown" has taken it and is at work on it.
 */
void cli_fleet_operate(
    cli_fleet_t *f, const operate_args_t *args, cli_answer_t *a);

/**
 * cli_fleet_wait() - Follow an operation.
 * @f: the fleet
 * @args: the operation
 * @token: its token
 * @wait_sec: longest wait for its end; acceptance is waited for in any case,
 *	for CLI_ACCEPT_MS
 * @a: what is known, brought up to date
 *
 * Where the host that took it can't tell, the operation is sent again with
 * its token, to that host or the next.
 */
void cli_fleet_wait(cli_fleet_t *f, const operate_args_t *args,
    const rpc_token_t token, uint32_t wait_sec, cli_answer_t *a);

/**
 * cli_fleet_pause() - Let time pass.
 * @f: the fleet
 * @ms: milliseconds
 *
 * Return: FALSE where SIGINT or SIGTERM ended it.
 */
gboolean cli_fleet_pause(cli_fleet_t *f, msec_t ms);

void cli_answer_clear(cli_answer_t *a);

#endif
