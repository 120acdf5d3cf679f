#include <fcntl.h>
#include <stdio.h>
#include <unistd.h>

#include <event2/event.h>
#include <popt.h>
#include <sodium.h>

#include "base/fatal_signal.h"
#include "base/log.h"
#include "base/start_signals.h"
#include "gateway/gateway.h"
#include "host/host.h"
#include "protocol/config_text.h"
#include "transport/ports_wait.h"

#define EXIT_USAGE 2
/* Two processes with one name take over from each other with longer and longer
 * pauses. */
#define ANEW_PAUSE_MS 1000
#define ANEW_PAUSE_MAX_MS 32000

static char *config_path, *listen_address, *level_name;
static int check_only, show_version;

static const struct poptOption options[] = {
    {"config", 'c', POPT_ARG_STRING, &config_path, 0, "settings file", "FILE"},
    {"check", 0, POPT_ARG_NONE, &check_only, 0,
	"check the settings file and exit", NULL},
    {"listen", 'l', POPT_ARG_STRING, &listen_address, 0,
	"address for callers, instead of the one in the settings", "IP:PORT"},
    {"log-level", 0, POPT_ARG_STRING, &level_name, 0,
	"debug, info, warn or error, instead of the one in the settings",
	"LEVEL"},
    {"version", 'V', POPT_ARG_NONE, &show_version, 0, "print the version",
	NULL},
    POPT_AUTOHELP POPT_TABLEEND,
};

static int
fail_usage(poptContext ctx, const char *what)
{
	fprintf(stderr, "greengageloomd: %s\n", what);
	poptPrintUsage(ctx, stderr, 0);
	return EXIT_USAGE;
}

static void
print_errors(GPtrArray *errors)
{
	guint i;

	for (i = 0; i < errors->len; i++)
		fprintf(stderr, "%s\n", (char *)g_ptr_array_index(errors, i));
	g_ptr_array_free(errors, TRUE);
}

static gboolean
load_settings(settings_t *s)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	gboolean ok = settings_init(s, config_path, errors);

	print_errors(errors);
	return ok;
}

static void
report_failure(GError *err)
{
	log_event(LOG_ERROR, "host.start.failed", "error", err->message, NULL);
	g_error_free(err);
}

static int
run_host(settings_t *s)
{
	const port_t ports[] = {
	    {s->callers, FALSE},
	    {s->rpc, FALSE},
	    {s->operators, FALSE},
	};
	GError *err = NULL;
	host_t host;
	int status = 1;

	if (!ports_wait(ports, G_N_ELEMENTS(ports), s->drain_ms, &err)) {
		report_failure(err);
		return status;
	}
	if (host_init(&host, s, &err))
		status = host_run(&host);
	else
		report_failure(err);
	host_finish(&host);
	return status;
}

/* Makes the host anew whenever another process has taken its place. */
static int
run(settings_t *s)
{
	msec_t pause_ms = ANEW_PAUSE_MS;
	int status;

	log_open(stderr, s->log_level);
	fatal_signal_report(STDERR_FILENO);
	while ((status = run_host(s)) == HOST_RESTART) {
		log_event(LOG_WARN, "host.starts_anew", "pause_ms",
		    log_num(pause_ms), NULL);
		g_usleep((gulong)pause_ms * 1000);
		pause_ms = MIN(2 * pause_ms, ANEW_PAUSE_MAX_MS);
	}
	return status;
}

static int
run_gateway(gateway_settings_t *s)
{
	const port_t ports[] = {
	    {s->callers, FALSE},
	    {s->lookups, FALSE},
	    {s->operators, FALSE},
	    {s->peers, TRUE},
	};
	GError *err = NULL;
	gateway_t g;
	int status = 1;

	log_open(stdout, s->log_level);
	fatal_signal_report(STDOUT_FILENO);
	log_set_rate_limit((unsigned int)s->log_lines);
	if (!ports_wait(ports, G_N_ELEMENTS(ports), s->drain_ms, &err)) {
		report_failure(err);
		return status;
	}
	if (gateway_init(&g, s, config_path, &err))
		status = gateway_run(&g);
	else
		report_failure(err);
	gateway_finish(&g);
	return status;
}

/* Runs a host whose fleet keeps its state in a table store. */
static int
start_gateway(poptContext ctx)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	gateway_settings_t s;
	int status = EXIT_USAGE;
	gboolean ok = gateway_settings_init(&s, config_path, errors);

	print_errors(errors);
	if (ok && level_name != NULL &&
	    log_level_parse(level_name, &s.log_level) != 0) {
		status = fail_usage(ctx, "unknown --log-level");
	} else if (ok && check_only) {
		printf("%s: ok\n", config_path);
		status = 0;
	} else if (ok) {
		status = run_gateway(&s);
	}
	gateway_settings_finish(&s);
	return status;
}

static int
start(poptContext ctx)
{
	settings_t s;
	int status;

	if (config_path == NULL)
		return fail_usage(ctx, "--config is needed");
	if (gateway_settings_match(config_path))
		return start_gateway(ctx);
	if (!load_settings(&s)) {
		settings_finish(&s);
		return EXIT_USAGE;
	}
	if (listen_address != NULL && !address_is_valid(listen_address)) {
		settings_finish(&s);
		return fail_usage(ctx, "--listen: expected IP:PORT");
	}
	if (listen_address != NULL) {
		g_free(s.callers);
		s.callers = g_strdup(listen_address);
	}
	if (level_name != NULL &&
	    log_level_parse(level_name, &s.log_level) != 0) {
		settings_finish(&s);
		return fail_usage(ctx, "unknown --log-level");
	}
	if (check_only) {
		printf("%s: ok\n", config_path);
		settings_finish(&s);
		return 0;
	}
	status = run(&s);
	settings_finish(&s);
	return status;
}

/* Sockets of the process must not take the place of its standard streams. */
static void
open_standard_streams(void)
{
	int fd;

	do {
		fd = open("/dev/null", O_RDWR);
	} while (fd >= 0 && fd <= STDERR_FILENO);
	if (fd >= 0)
		close(fd);
}

/* libevent would write to standard error, which may be a full pipe. */
static void
log_libevent(int severity, const char *message)
{
	log_event(severity >= EVENT_LOG_ERR ? LOG_ERROR : LOG_WARN,
	    "libevent.message", "text", message, NULL);
}

int
main(int argc, char **argv)
{
	poptContext ctx;
	int rc, status;

	open_standard_streams();
	start_signals_init();
	event_set_log_callback(log_libevent);
	ctx = poptGetContext(NULL, argc, (const char **)argv, options, 0);
	rc = poptGetNextOpt(ctx);
	if (sodium_init() < 0)
		return 1;
	if (rc < -1)
		status = fail_usage(ctx, poptStrerror(rc));
	else if (poptPeekArg(ctx) != NULL)
		status = fail_usage(ctx, "unexpected argument");
	else if (show_version)
		status =
		    printf("greengageloomd %s\n", GREENGAGELOOM_VERSION) < 0;
	else
		status = start(ctx);
	poptFreeContext(ctx);
	return status;
}
