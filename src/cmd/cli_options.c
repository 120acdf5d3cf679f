#include <inttypes.h>
#include <string.h>

#include <popt.h>

#include "base/error.h"
#include "cmd/cli_options.h"

/* One bit per option. Sets of bits hold the options that were given and those
 * that a command requires or allows. */
enum {
	OPT_HELP = 1 << 0,
	OPT_VERSION = 1 << 1,
	OPT_JSON = 1 << 2,
	OPT_CONFIG = 1 << 3,
	OPT_HOST = 1 << 4,
	OPT_SECRET = 1 << 5,
	OPT_WAIT = 1 << 6,
	OPT_BASE = 1 << 7,
	OPT_FROM = 1 << 8,
	OPT_TO = 1 << 9,
	OPT_SHARE = 1 << 10,
	OPT_WITHIN = 1 << 11,
	OPT_COUNT = 1 << 12,
};

#define OPT_ANY (OPT_HELP | OPT_JSON)
#define OPT_FLEET (OPT_ANY | OPT_CONFIG | OPT_HOST | OPT_SECRET)
#define OPT_MOVE (OPT_FLEET | OPT_WAIT | OPT_WITHIN)

static const struct poptOption options[] = {
    {"help", 'h', POPT_ARG_NONE, NULL, OPT_HELP, "show this help", NULL},
    {"version", 'V', POPT_ARG_NONE, NULL, OPT_VERSION, "show the version",
	NULL},
    {"json", 'j', POPT_ARG_NONE, NULL, OPT_JSON, "answer in JSON", NULL},
    {"config", 'c', POPT_ARG_STRING, NULL, OPT_CONFIG,
	"settings file, " CLI_CONFIG_DEFAULT " unless given", "FILE"},
    {"host", 'H', POPT_ARG_STRING, NULL, OPT_HOST,
	"ask this host only, instead of those in the settings", "IP:PORT"},
    {"secret-file", 's', POPT_ARG_STRING, NULL, OPT_SECRET,
	"file with the fleet secret", "FILE"},
    {"wait", 'w', POPT_ARG_STRING, NULL, OPT_WAIT,
	"maximum wait for completion; always waits for acceptance", "SEC"},
    {"base", 'b', POPT_ARG_STRING, NULL, OPT_BASE,
	"version that FILE is based on; the current one unless given", "N"},
    {"from", 0, POPT_ARG_STRING, NULL, OPT_FROM, "region to move from", "R"},
    {"to", 0, POPT_ARG_STRING, NULL, OPT_TO, "region or version to move to",
	"R|VERSION"},
    {"share", 0, POPT_ARG_STRING, NULL, OPT_SHARE,
	"share of the traffic, for instance 12.5%", "P"},
    {"within", 0, POPT_ARG_STRING, NULL, OPT_WITHIN,
	"time limit, after which the move is taken back", "SEC"},
    {"count", 'n', POPT_ARG_STRING, NULL, OPT_COUNT,
	"stop after reading the state N times", "N"},
    POPT_TABLEEND};

static const struct {
	cli_verb_t verb;
	const char *word, *second; /* of the command line */
	const char *operand;	   /* NULL: the command has none */
	const char *synopsis;	   /* its required options, for the usage */
	const char *help;
	int required, allowed;
} verbs[] = {
    {CLI_CHECK, "check", NULL, "FILE", "",
	"check a configuration file, change nothing", 0, OPT_ANY},
    {CLI_APPLY, "apply", NULL, "FILE", "", "put a configuration file in force",
	0, OPT_FLEET | OPT_WAIT | OPT_BASE},
    {CLI_STATUS, "status", NULL, NULL, "", "show the fleet's state", 0,
	OPT_FLEET},
    {CLI_WATCH, "watch", NULL, NULL, "", "show each change of the state", 0,
	OPT_FLEET | OPT_COUNT},
    {CLI_KEY_ISSUE, "key", "issue", "WORKSPACE", "",
	"issue a key for a workspace and print it once", 0,
	OPT_FLEET | OPT_WAIT},
    {CLI_KEY_WITHDRAW, "key", "withdraw", "KEY|DIGEST|-", "",
	"withdraw a key; - reads it from standard input", 0,
	OPT_FLEET | OPT_WAIT},
    {CLI_SHIFT, "shift", NULL, "SERVICE", " --from R --to R --share P",
	"move a share of a service's traffic to another region",
	OPT_FROM | OPT_TO | OPT_SHARE,
	OPT_MOVE | OPT_FROM | OPT_TO | OPT_SHARE},
    {CLI_DRAIN, "drain", NULL, "TARGET", "",
	"take a region, failure domain, endpoint or host out of service", 0,
	OPT_MOVE},
    {CLI_ROLLOUT, "rollout", NULL, "SERVICE", " --to VERSION --within SEC",
	"introduce a new version next to the old one", OPT_TO | OPT_WITHIN,
	OPT_MOVE | OPT_TO},
    {CLI_CANCEL, "cancel", NULL, "MOVE", "", "take a move back", 0,
	OPT_FLEET | OPT_WAIT},
    {CLI_DUMP, "dump", NULL, "HOST", "",
	"show all of one host's state; HOST is its IP:PORT", 0,
	OPT_ANY | OPT_CONFIG | OPT_SECRET},
};

static gboolean
usage_error(GError **err, const char *word, const char *what)
{
	error_set(err, ERROR_INVALID, "command line", word, "%s", what);
	return FALSE;
}

static gboolean
parse_number(
    const char *text, uint64_t min, uint64_t max, uint64_t *n, GError **err)
{
	char what[96];

	if (g_ascii_string_to_unsigned(text, 10, min, max, n, NULL))
		return TRUE;
	g_snprintf(what, sizeof(what),
	    "expected a whole number from %" PRIu64 " to %" PRIu64, min, max);
	return usage_error(err, text, what);
}

static gboolean
parse_uint32(
    const char *text, uint32_t min, uint32_t max, uint32_t *n, GError **err)
{
	uint64_t wide = 0;

	if (!parse_number(text, min, max, &wide, err))
		return FALSE;
	*n = (uint32_t)wide;
	return TRUE;
}

/* Parses a percentage with at most one decimal, with or without "%". */
static gboolean
parse_share(const char *text, uint32_t *permille, GError **err)
{
	const char *p = text;
	uint32_t n = 0;

	while (g_ascii_isdigit(*p) && n <= 100)
		n = n * 10 + (uint32_t)(*p++ - '0');
	n *= 10;
	if (p > text && *p == '.' && g_ascii_isdigit(p[1])) {
		n += (uint32_t)(p[1] - '0');
		p += 2;
	}
	if (*p == '%')
		p++;
	if (*p != '\0' || n == 0 || n > 1000)
		return usage_error(err, text,
		    "expected a percentage from 0.1% to 100%, "
		    "with at most one decimal");
	*permille = n;
	return TRUE;
}

static gboolean
set_string(char **field, const char *value, GError **err)
{
	if (*value == '\0')
		return usage_error(err, "\"\"", "expected a value");
	g_free(*field);
	*field = g_strdup(value);
	return TRUE;
}

static gboolean
set_option(cli_options_t *o, int option, const char *value, GError **err)
{
	switch (option) {
	case OPT_JSON:
		o->json = TRUE;
		return TRUE;
	case OPT_CONFIG:
		return set_string(&o->config, value, err);
	case OPT_HOST:
		return set_string(&o->host, value, err);
	case OPT_SECRET:
		return set_string(&o->secret_file, value, err);
	case OPT_WAIT:
		return parse_uint32(value, 0, 86400, &o->wait_sec, err);
	case OPT_BASE:
		o->has_base = TRUE;
		return parse_number(value, 0, INT64_MAX, &o->base, err);
	case OPT_FROM:
		return set_string(&o->from, value, err);
	case OPT_TO:
		return set_string(&o->to, value, err);
	case OPT_SHARE:
		return parse_share(value, &o->share_permille, err);
	case OPT_WITHIN:
		return parse_uint32(
		    value, 1, CLI_WITHIN_MAX_SEC, &o->within_sec, err);
	case OPT_COUNT:
		return parse_uint32(value, 1, INT32_MAX, &o->count, err);
	default:
		return TRUE;
	}
}

/* Return: the row of a command in verbs[], or -1. */
static int
find_verb(const char *word, const char *second)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(verbs); i++) {
		if (g_strcmp0(verbs[i].word, word) == 0 &&
		    (verbs[i].second == NULL ||
			g_strcmp0(verbs[i].second, second) == 0))
			return (int)i;
	}
	return -1;
}

/* Sets an error that names the first option in @bits. */
static gboolean
option_error(GError **err, int bits, const char *what)
{
	const struct poptOption *p = options;
	char name[32];

	while ((p->val & bits) == 0)
		p++;
	g_snprintf(name, sizeof(name), "--%s", p->longName);
	return usage_error(err, name, what);
}

static gboolean
check_options(int row, int seen_options, GError **err)
{
	int not_allowed = seen_options & ~verbs[row].allowed;
	int missing = verbs[row].required & ~seen_options;

	if (not_allowed != 0)
		return option_error(err, not_allowed,
		    "this option does not apply to the command");
	if (missing != 0)
		return option_error(err, missing, "this option is required");
	return TRUE;
}

/* Parses the words that are not options: the command and its operand. */
static gboolean
parse_words(
    cli_options_t *o, const char **words, int seen_options, GError **err)
{
	const char *first = words != NULL ? words[0] : NULL;
	const char *second = first != NULL ? words[1] : NULL;
	int row = find_verb(first, second);
	const char *operand, *rest;

	if ((seen_options & OPT_HELP) != 0) {
		o->verb = CLI_HELP;
		o->topic = row >= 0 ? verbs[row].verb : CLI_HELP;
		return TRUE;
	}
	if ((seen_options & OPT_VERSION) != 0) {
		o->verb = CLI_VERSION;
		return TRUE;
	}
	if (words == NULL || row < 0)
		return usage_error(err, first != NULL ? first : "-",
		    "expected a command; see --help");
	o->verb = verbs[row].verb;
	words += verbs[row].second != NULL ? 2 : 1;
	operand = verbs[row].operand != NULL ? words[0] : NULL;
	if (verbs[row].operand != NULL && operand == NULL)
		return usage_error(
		    err, first, "an operand is missing; see --help");
	rest = operand != NULL ? words[1] : words[0];
	if (rest != NULL)
		return usage_error(err, rest, "unexpected word");
	if (operand != NULL && !set_string(&o->operand, operand, err))
		return FALSE;
	return check_options(row, seen_options, err);
}

/* Whether a command waits for its outcome without --wait. */
static gboolean
waits_by_default(cli_verb_t verb)
{
	return verb == CLI_APPLY || verb == CLI_KEY_ISSUE ||
	    verb == CLI_KEY_WITHDRAW;
}

gboolean
cli_options_parse(cli_options_t *o, int argc, const char **argv, GError **err)
{
	poptContext ctx;
	gboolean ok = TRUE;
	int option, seen_options = 0;
	char *value;

	memset(o, 0, sizeof(*o));
	ctx = poptGetContext("greengageloom", argc, argv, options, 0);
	while (ok && (option = poptGetNextOpt(ctx)) > 0) {
		value = poptGetOptArg(ctx);
		if ((seen_options & option) != 0)
			ok = option_error(err, option, "given more than once");
		else
			ok = set_option(o, option, value, err);
		seen_options |= option;
		free(value);
	}
	if (ok && option < -1)
		ok = usage_error(
		    err, poptBadOption(ctx, 0), poptStrerror(option));
	ok = ok && parse_words(o, poptGetArgs(ctx), seen_options, err);
	poptFreeContext(ctx);
	if ((seen_options & OPT_WAIT) == 0 && waits_by_default(o->verb))
		o->wait_sec = CLI_WAIT_SEC;
	return ok;
}

void
cli_options_finish(cli_options_t *o)
{
	g_free(o->config);
	g_free(o->host);
	g_free(o->secret_file);
	g_free(o->operand);
	g_free(o->from);
	g_free(o->to);
	memset(o, 0, sizeof(*o));
}

static void
append_options(GString *out, int allowed)
{
	const struct poptOption *p;
	char *left;

	g_string_append(out, "options:\n");
	for (p = options; p->longName != NULL; p++) {
		if ((p->val & allowed) == 0)
			continue;
		left = g_strdup_printf("--%s%s%s", p->longName,
		    p->argDescrip != NULL ? " " : "",
		    p->argDescrip != NULL ? p->argDescrip : "");
		g_string_append_printf(out, "  %-22s %s\n", left, p->descrip);
		g_free(left);
	}
}

static void
append_verb(GString *out, size_t row, const char *indent)
{
	g_string_append_printf(out, "%sgreengageloom %s%s%s%s%s%s\n", indent,
	    verbs[row].word, verbs[row].second != NULL ? " " : "",
	    verbs[row].second != NULL ? verbs[row].second : "",
	    verbs[row].operand != NULL ? " " : "",
	    verbs[row].operand != NULL ? verbs[row].operand : "",
	    verbs[row].synopsis);
}

char *
cli_usage(cli_verb_t topic)
{
	GString *out = g_string_new("usage:\n");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(verbs); i++) {
		if (topic != CLI_HELP && verbs[i].verb != topic)
			continue;
		append_verb(out, i, "  ");
		g_string_append_printf(out, "      %s\n", verbs[i].help);
		if (topic != CLI_HELP)
			append_options(out, verbs[i].allowed);
	}
	if (topic == CLI_HELP)
		append_options(out, ~0);
	return g_string_free(out, FALSE);
}
