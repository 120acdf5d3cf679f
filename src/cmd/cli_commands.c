#include <string.h>

#include <sodium.h>

#include "cmd/cli_commands.h"
#include "cmd/cli_fleet.h"
#include "cmd/cli_print.h"
#include "protocol/ini.h"
#include "protocol/config_text.h"
#include "protocol/config_text_check.h"
#include "state/digest.h"
#include "state/key_text.h"

#define KEY_CHARS_MAX 256 /* of a line with a key */
#define WATCH_POLL_MS 1000

typedef struct {
	const cli_options_t *o;
	FILE *in, *out, *err;
	cli_fleet_t fleet;
} run_t;

static const cli_key_text_t no_new_key;

static void
print_lines(FILE *out, const GPtrArray *lines)
{
	guint i;

	for (i = 0; i < lines->len; i++)
		fprintf(
		    out, "greengageloom: %s\n", (const char *)lines->pdata[i]);
}

/* Return: the configuration, or NULL after printing its mistakes. */
static char *
load_config(const run_t *r, gboolean quiet)
{
	GPtrArray *warnings = g_ptr_array_new_with_free_func(g_free);
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	const char *name = r->o->operand;
	GError *err = NULL;
	char *text = ini_read_file(name, CONFIG_TEXT_MAX_BYTES, &err);
	catalog_t catalog;

	if (text == NULL) {
		g_ptr_array_add(errors, g_strdup(err->message));
		g_error_free(err);
	} else {
		catalog_init(&catalog);
		if (config_text_parse(&catalog, name, text, errors) == 0)
			config_text_warnings(&catalog, warnings);
		catalog_finish(&catalog);
	}
	if (!quiet || errors->len > 0)
		cli_print_check(r->out, r->o->json, name, errors, warnings);
	if (errors->len > 0)
		g_clear_pointer(&text, g_free);
	g_ptr_array_free(errors, TRUE);
	g_ptr_array_free(warnings, TRUE);
	return text;
}

static cli_exit_t
run_check(run_t *r)
{
	char *text = load_config(r, FALSE);
	gboolean ok = text != NULL;

	g_free(text);
	return ok ? CLI_EXIT_DONE : CLI_EXIT_USAGE;
}

/* Runs an operation with its token, and waits as the options say. */
static void
operate(run_t *r, const operate_args_t *args, const rpc_token_t token,
    cli_answer_t *a)
{
	memset(a, 0, sizeof(*a));
	cli_fleet_operate(&r->fleet, args, a);
	cli_fleet_wait(&r->fleet, args, token, r->o->wait_sec, a);
}

static cli_exit_t
exit_code_of(run_t *r, cli_answer_t *a)
{
	cli_exit_t code = cli_tally_exit(&a->tally, r->o->wait_sec > 0);

	cli_answer_clear(a);
	return code;
}

static cli_exit_t
operate_and_print(run_t *r, const operate_args_t *args, const rpc_token_t token)
{
	cli_answer_t a;

	operate(r, args, token, &a);
	cli_print_answer(r->out, r->o->json, &a, &no_new_key);
	return exit_code_of(r, &a);
}

/* Reads the state of the fleet or a host. Return: whether there was one. */
static gboolean
read_state(run_t *r, operate_op_t op, cli_answer_t *a)
{
	operate_args_t args = {.op = op};

	memset(a, 0, sizeof(*a));
	cli_fleet_operate(&r->fleet, &args, a);
	return a->tally.state == CLI_STATE_ANSWERED &&
	    a->tally.outcome == OPERATE_DONE;
}

/* A failed read changed nothing, whether or not a host received it. */
static cli_exit_t
print_read_failure(run_t *r, cli_answer_t *a)
{
	if (a->tally.state == CLI_STATE_UNKNOWN)
		a->tally.state = CLI_STATE_UNREACHABLE;
	cli_print_answer(r->out, r->o->json, a, &no_new_key);
	return exit_code_of(r, a);
}

static cli_exit_t
run_state(run_t *r, operate_op_t op)
{
	cli_answer_t a;

	if (!read_state(r, op, &a))
		return print_read_failure(r, &a);
	cli_print_state(r->out, r->o->json, a.text);
	return exit_code_of(r, &a);
}

/* Prints the state if it differs from the last one printed. */
static void
show_change(run_t *r, char **last)
{
	cli_answer_t a;

	if (!read_state(r, OPERATE_STATUS, &a)) {
		print_read_failure(r, &a);
		return;
	}
	if (g_strcmp0(*last, a.text) != 0) {
		cli_print_state(r->out, r->o->json, a.text);
		fputs(r->o->json ? "" : "\n", r->out);
		fflush(r->out);
		g_free(*last);
		*last = g_strdup(a.text);
	}
	cli_answer_clear(&a);
}

static cli_exit_t
run_watch(run_t *r)
{
	char *last = NULL;
	uint32_t i = 0;

	do {
		show_change(r, &last);
		i++;
	} while ((r->o->count == 0 || i < r->o->count) &&
	    cli_fleet_pause(&r->fleet, WATCH_POLL_MS));
	g_free(last);
	return CLI_EXIT_DONE;
}

static cli_exit_t
run_apply(run_t *r)
{
	operate_args_t args = {.op = OPERATE_APPLY};
	operate_apply_t *apply = &args.operate_args_t_u.apply;
	char *text = load_config(r, TRUE);
	cli_exit_t code;
	cli_answer_t a;

	if (text == NULL)
		return CLI_EXIT_USAGE;
	apply->base_version = r->o->base;
	if (!r->o->has_base) {
		if (!read_state(r, OPERATE_STATUS, &a)) {
			g_free(text);
			return print_read_failure(r, &a);
		}
		apply->base_version = a.version;
		cli_answer_clear(&a);
	}
	apply->text = text;
	randombytes_buf(apply->token, RPC_TOKEN_SIZE);
	code = operate_and_print(r, &args, apply->token);
	g_free(text);
	return code;
}

static void
print_new_key(
    run_t *r, const cli_answer_t *a, const char *key, const digest_t *digest)
{
	char hex[DIGEST_HEX_CHARS + 1];
	cli_key_text_t shown = {NULL, hex};
	gboolean may_exist = a->tally.state == CLI_STATE_UNKNOWN ||
	    (a->tally.state == CLI_STATE_ANSWERED &&
		a->tally.outcome != OPERATE_REFUSED &&
		a->tally.outcome != OPERATE_CONFLICT);

	digest_to_hex(digest, hex);
	if (r->o->json) {
		shown.key = may_exist ? key : NULL;
		cli_print_answer(r->out, TRUE, a, &shown);
		return;
	}
	if (may_exist)
		fprintf(r->out, "%s\n", key);
	cli_print_answer(r->err, FALSE, a, &shown);
}

static cli_exit_t
run_key_issue(run_t *r)
{
	char key[KEY_TEXT_CHARS + 1];
	operate_args_t args = {.op = OPERATE_KEY_ISSUE};
	operate_key_issue_t *issue = &args.operate_args_t_u.key_issue;
	uint8_t secret[KEY_RANDOM_BYTES];
	digest_t digest;
	cli_answer_t a;

	randombytes_buf(secret, sizeof(secret));
	key_text_make(secret, key);
	digest_of(key, strlen(key), &digest);
	issue->workspace = r->o->operand;
	memcpy(issue->digest, digest.bytes, sizeof(issue->digest));
	randombytes_buf(issue->token, RPC_TOKEN_SIZE);
	operate(r, &args, issue->token, &a);
	print_new_key(r, &a, key, &digest);
	sodium_memzero(key, sizeof(key));
	sodium_memzero(secret, sizeof(secret));
	return exit_code_of(r, &a);
}

/* Accepts a digest in hexadecimal, else a key, from the operand or @in. */
static gboolean
read_key_digest(run_t *r, digest_t *digest)
{
	char line[KEY_CHARS_MAX];
	const char *key = r->o->operand;
	gboolean ok;

	if (strcmp(key, "-") == 0) {
		if (fgets(line, sizeof(line), r->in) == NULL)
			line[0] = '\0';
		line[strcspn(line, "\r\n")] = '\0';
		key = line;
	}
	ok = digest_from_hex(key, digest);
	/* Only valid keys: withdrawing a mistyped key would have no effect. */
	if (!ok && key_text_valid(key)) {
		digest_of(key, strlen(key), digest);
		ok = TRUE;
	}
	sodium_memzero(line, sizeof(line));
	return ok;
}

static cli_exit_t
run_key_withdraw(run_t *r)
{
	operate_args_t args = {.op = OPERATE_KEY_WITHDRAW};
	operate_key_withdraw_t *w = &args.operate_args_t_u.key_withdraw;
	digest_t digest;

	if (!read_key_digest(r, &digest)) {
		fputs("greengageloom: expected a key or its digest in "
		      "hexadecimal\n",
		    r->err);
		return CLI_EXIT_USAGE;
	}
	memcpy(w->digest, digest.bytes, sizeof(w->digest));
	randombytes_buf(w->token, RPC_TOKEN_SIZE);
	return operate_and_print(r, &args, w->token);
}

static cli_exit_t
run_move(run_t *r, rpc_move_kind_t kind)
{
	operate_args_t args = {.op = OPERATE_MOVE_START};
	operate_move_start_t *m = &args.operate_args_t_u.move_start;
	char nothing[] = "";

	m->kind = kind;
	m->service = kind == RPC_MOVE_DRAIN ? nothing : r->o->operand;
	m->from = kind == RPC_MOVE_DRAIN ? r->o->operand : r->o->from;
	m->to = r->o->to;
	if (m->from == NULL)
		m->from = nothing;
	if (m->to == NULL)
		m->to = nothing;
	m->share_permille = r->o->share_permille;
	m->within_sec = r->o->within_sec;
	randombytes_buf(m->token, RPC_TOKEN_SIZE);
	return operate_and_print(r, &args, m->token);
}

static cli_exit_t
run_cancel(run_t *r)
{
	operate_args_t args = {.op = OPERATE_MOVE_CANCEL};
	operate_move_cancel_t *c = &args.operate_args_t_u.move_cancel;

	c->move = r->o->operand;
	randombytes_buf(c->token, RPC_TOKEN_SIZE);
	return operate_and_print(r, &args, c->token);
}

static cli_exit_t
run_with_fleet(run_t *r)
{
	switch (r->o->verb) {
	case CLI_APPLY:
		return run_apply(r);
	case CLI_STATUS:
		return run_state(r, OPERATE_STATUS);
	case CLI_WATCH:
		return run_watch(r);
	case CLI_KEY_ISSUE:
		return run_key_issue(r);
	case CLI_KEY_WITHDRAW:
		return run_key_withdraw(r);
	case CLI_SHIFT:
		return run_move(r, RPC_MOVE_SHIFT);
	case CLI_DRAIN:
		return run_move(r, RPC_MOVE_DRAIN);
	case CLI_ROLLOUT:
		return run_move(r, RPC_MOVE_ROLLOUT);
	case CLI_CANCEL:
		return run_cancel(r);
	case CLI_DUMP:
		return run_state(r, OPERATE_DUMP);
	case CLI_HELP:
	case CLI_VERSION:
	case CLI_CHECK:
		break;
	}
	return CLI_EXIT_USAGE;
}

static cli_exit_t
run_with_settings(run_t *r)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	cli_exit_t code = CLI_EXIT_USAGE;
	cli_settings_t settings;
	GError *err = NULL;

	if (cli_settings_init(&settings, r->o, errors)) {
		if (cli_fleet_init(&r->fleet, &settings, &err)) {
			code = run_with_fleet(r);
			cli_fleet_finish(&r->fleet);
		} else {
			g_ptr_array_add(errors, g_strdup(err->message));
			g_error_free(err);
		}
	}
	print_lines(r->err, errors);
	cli_settings_finish(&settings);
	g_ptr_array_free(errors, TRUE);
	return code;
}

cli_exit_t
cli_run(const cli_options_t *o, FILE *in, FILE *out, FILE *err)
{
	run_t r = {o, in, out, err, {0}};
	char *usage;

	switch (o->verb) {
	case CLI_HELP:
		usage = cli_usage(o->topic);
		fputs(usage, out);
		g_free(usage);
		return CLI_EXIT_DONE;
	case CLI_VERSION:
		fprintf(out, "greengageloom %s\n", GREENGAGELOOM_VERSION);
		return CLI_EXIT_DONE;
	case CLI_CHECK:
		return run_check(&r);
	default:
		return run_with_settings(&r);
	}
}
