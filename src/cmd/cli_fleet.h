#ifndef CMD_CLI_FLEET_H
#define CMD_CLI_FLEET_H

#include <event2/event.h>

#include "cmd/cli_outcome.h"
#include "cmd/cli_settings.h"
#include "transport/rpc_client.h"

/* Sends operations to the fleet: to one host after the other, until one settles
 * the operation. */

/* For one host to answer. */
#define CLI_CALL_TIMEOUT_MS 10000
/* Period at which the progress of an accepted operation is read. */
#define CLI_PROGRESS_POLL_MS 250
/* Maximum time to find out whether an operation was accepted. */
#define CLI_ACCEPT_WAIT_MS 15000

typedef struct {
	struct event_base *base;
	rpc_key_t key;
	metrics_t metrics;
	rpc_client_t client;
	char **hosts;	  /* from the settings */
	guint next_host;  /* to ask first: the last that answered */
	msec_t accept_ms; /* CLI_ACCEPT_WAIT_MS */
} cli_fleet_t;

typedef struct {
	cli_tally_t tally;
	uint64_t version;
	uint32_t hosts_confirmed, hosts_total;
	char *text;	  /* text of the last answer or error; "" for none */
	const char *host; /* that took the operation */
} cli_answer_t;

/**
 * cli_fleet_init() - Prepare for calls to the fleet.
 * @f: set up here; owned by the caller
 * @s: settings, which must outlive @f
 * @err: ERROR_INVALID if the secret is not usable
 */
gboolean cli_fleet_init(cli_fleet_t *f, const cli_settings_t *s, GError **err);
void cli_fleet_finish(cli_fleet_t *f);

/**
 * cli_fleet_operate() - Ask hosts in turn until one takes the operation.
 * @f: the fleet
 * @args: the operation; has a token where repeating it would do harm
 * @a: zeroed before the first operation with a token; freed by
 *	cli_answer_clear()
 *
 * A host that answers "unknown" has taken the operation and is working
 * on it.
 */
void cli_fleet_operate(
    cli_fleet_t *f, const operate_args_t *args, cli_answer_t *a);

/**
 * cli_fleet_wait() - Wait for the end of an operation.
 * @f: the fleet
 * @args: the operation
 * @token: its token
 * @wait_sec: maximum wait for its end; acceptance is always waited for, up to
 *	CLI_ACCEPT_WAIT_MS
 * @a: what is known so far; updated
 *
 * If the host that took the operation does not know its state, the
 * operation is sent again with its token, to that host or the next one.
 */
void cli_fleet_wait(cli_fleet_t *f, const operate_args_t *args,
    const rpc_token_t token, uint32_t wait_sec, cli_answer_t *a);

/**
 * cli_fleet_pause() - Sleep.
 * @f: the fleet
 * @ms: milliseconds
 *
 * Return: FALSE if SIGINT or SIGTERM ended it early.
 */
gboolean cli_fleet_pause(cli_fleet_t *f, msec_t ms);

void cli_answer_clear(cli_answer_t *a);

#endif
