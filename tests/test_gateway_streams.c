#include <sys/prctl.h>
#include <sys/stat.h>

#include <signal.h>
#include <string.h>
#include <unistd.h>

#include <glib/gstdio.h>

#include "gateway_world.h"
#include "suite.h"

#define PORT 25900
#define BOUND_MS 5000
#define DUMPS 3000
#define SETTINGS_POLL_MS 4000 /* twice the time between two looks */

static gateway_world_t g;
static pid_t pid;
static int unread[2]; /* the host's streams; nobody reads them */

static char *
settings_path(void)
{
	return g_strdup_printf("%s/host-0.ini", g.world.dir);
}

/* Starts host 0 with its streams in a pipe, or closed. */
static void
start_host(gboolean closed)
{
	char *path = settings_path();

	/* The harness writes the settings and a log of a start of its own. */
	gateway_world_start(&g, 0);
	soak_host_signal(&g.world, 0, SIGKILL);
	ck_assert_int_ge(gateway_world_wait_end(&g, 0, BOUND_MS), 0);
	ck_assert_int_eq(pipe(unread), 0);
	pid = fork();
	if (pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(unread[1], STDOUT_FILENO);
		dup2(unread[1], STDERR_FILENO);
		closefrom(closed ? 0 : STDERR_FILENO + 1);
		execl(HOST_PROGRAM, HOST_PROGRAM, "-c", path, (char *)NULL);
		_exit(127);
	}
	g.world.hosts[0].pid = pid;
	g.world.hosts[0].state = HOST_RUNS;
	g_free(path);
	gateway_world_wait_ready(&g, 0);
}

static gboolean
is_answered(void *arg)
{
	return raw_status(arg) != 0;
}

static void
check_serves(const char *what)
{
	raw_conn_t *conn =
	    raw_connect(&g, gateway_world_port(&g, 0, PORT_CALLERS));

	raw_get(conn, "alive");
	ck_assert_msg(gateway_world_wait(&g, is_answered, conn, BOUND_MS),
	    "%s: no answer", what);
	ck_assert_msg(
	    gateway_world_wait_end(&g, 0, 0) == -1, "%s: the host ended", what);
}

static void
end(void)
{
	gateway_world_end(&g);
	close(unread[0]);
	close(unread[1]);
}

/* FAULT: SIGUSR1 stopped a host whose standard error nobody read. */
static void
dumps_that_nobody_reads(void)
{
	int i;

	gateway_world_begin(&g, PORT, 4, NULL);
	start_host(FALSE);
	for (i = 0; i < DUMPS; i++) {
		kill(pid, SIGUSR1);
		if (i % 50 == 0)
			gateway_world_run(&g, 10);
	}
	check_serves("dumps");
	end();
}

/* FAULT: a host whose standard streams are closed wrote into its sockets. */
static void
closed_streams(void)
{
	gateway_world_begin(&g, PORT, 4, NULL);
	start_host(TRUE);
	kill(pid, SIGUSR1);
	kill(pid, SIGHUP);
	gateway_world_run(&g, 200);
	check_serves("closed streams");
	end();
}

/* FAULT: a host waited for the writer of a pipe in place of its settings. */
static void
settings_that_are_a_pipe(void)
{
	char *path;

	gateway_world_begin(&g, PORT, 4, NULL);
	start_host(FALSE);
	path = settings_path();
	ck_assert_int_eq(g_unlink(path), 0);
	ck_assert_int_eq(mkfifo(path, 0600), 0);
	gateway_world_run(&g, SETTINGS_POLL_MS);
	check_serves("a pipe for settings");
	kill(pid, SIGHUP);
	gateway_world_run(&g, 200);
	check_serves("SIGHUP with a pipe for settings");
	g_free(path);
	end();
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"dumps that nobody reads", dumps_that_nobody_reads},
	    {"closed streams", closed_streams},
	    {"settings that are a pipe", settings_that_are_a_pipe},
	};

	return suite_run("gateway streams", cases, G_N_ELEMENTS(cases));
}
