#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <signal.h>
#include <string.h>
#include <unistd.h>

#include <glib/gstdio.h>

#include "gateway_world.h"
#include "suite.h"

#define PORT 24800
#define SETTLED_MS 20000 /* a start on a busy machine, with sanitizers */
#define STAYS_MS 500
#define DRAIN_MS 6000 /* of the harness */
#define STOP_BOUND_MS (DRAIN_MS + 3000)

static gateway_world_t g;

/* ---- signals while the process starts ---- */

static char *fifo;

/* A host that waits in its start: nobody writes its settings. */
static pid_t
start_halfway(void)
{
	pid_t pid;

	fifo = g_strdup_printf("%s/settings", g.world.dir);
	ck_assert_int_eq(mkfifo(fifo, 0600), 0);
	pid = fork();
	if (pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		execl(HOST_PROGRAM, HOST_PROGRAM, "-c", fifo, (char *)NULL);
		_exit(127);
	}
	return pid;
}

static gboolean
reads_settings(void *arg)
{
	char *path = g_strdup_printf("/proc/%d/wchan", *(pid_t *)arg);
	char *text = NULL;
	gboolean ok = g_file_get_contents(path, &text, NULL, NULL) &&
	    (strstr(text, "fifo") != NULL || strstr(text, "partner") != NULL);

	g_free(text);
	g_free(path);
	return ok;
}

/* FAULT: a signal ended a process that had no handler yet. */
static void
signals_in_the_start(void)
{
	static const struct {
		int sig;
		gboolean ends;
	} rows[] = {
	    {SIGHUP, FALSE},
	    {SIGUSR1, FALSE},
	    {SIGTERM, TRUE},
	    {SIGINT, TRUE},
	};
	int status;
	size_t i;
	pid_t pid, ended;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		gateway_world_begin(&g, PORT, 1, NULL);
		pid = start_halfway();
		ck_assert(
		    gateway_world_wait(&g, reads_settings, &pid, SETTLED_MS));
		kill(pid, rows[i].sig);
		gateway_world_run(&g, STAYS_MS);
		ended = waitpid(pid, &status, WNOHANG);
		if (rows[i].ends)
			ck_assert_msg(ended == pid && status == 0,
			    "signal %d: wait status %d", rows[i].sig,
			    ended == pid ? status : -1);
		else
			ck_assert_msg(ended == 0, "signal %d: wait status %d",
			    rows[i].sig, status);
		if (ended == 0) {
			kill(pid, SIGKILL);
			waitpid(pid, &status, 0);
		}
		g_free(fifo);
		gateway_world_end(&g);
	}
}

/* ---- signals while the process ends ---- */

/* FAULT: a late signal ended a process whose handlers were freed. */
static void
signals_in_series_in_a_stop(void)
{
	static const int series[] = {SIGTERM, SIGHUP, SIGINT, SIGUSR1};
	msec_t until;
	int status = -1;
	size_t i = 0;
	pid_t pid;

	gateway_world_begin(&g, PORT, 1, NULL);
	gateway_world_start(&g, 0);
	pid = g.world.hosts[0].pid;
	until = clock_now() + STOP_BOUND_MS;
	while (waitpid(pid, &status, WNOHANG) == 0) {
		ck_assert_msg(clock_now() < until, "the host does not end");
		kill(pid, series[i++ % G_N_ELEMENTS(series)]);
		g_usleep(300);
		if (i % 64 == 0)
			gateway_world_run(&g, 1);
	}
	g.world.hosts[0].state = HOST_OFF;
	ck_assert_msg(status == 0, "wait status %d", status);
	gateway_world_end(&g);
}

/* ---- the settings file is read again ---- */

static const struct {
	const char *name;
	const char *text; /* NULL: removed */
	mode_t mode;
} files[] = {
    {"removed", NULL, 0},
    {"empty", "", 0600},
    {"truncated", "[host]\nid = host-0\nreg", 0600},
    {"not readable", "[host]\n", 0},
    {"no text", "\x01\xff\xfe[", 0600},
    {"out of bounds", "[host]\nid = host-0\ndrain_sec = -1\n", 0600},
};

/* SIGHUP beside a settings file that can't be used changes nothing. */
static void
unusable_settings_change_nothing(void)
{
	char *path;
	size_t i;
	int k;

	gateway_world_begin(&g, PORT, 1, NULL);
	gateway_world_start(&g, 0);
	path = g_strdup_printf("%s/host-0.ini", g.world.dir);
	for (i = 0; i < G_N_ELEMENTS(files); i++) {
		(void)g_remove(path);
		if (files[i].text != NULL) {
			g_file_set_contents(path, files[i].text, -1, NULL);
			(void)g_chmod(path, files[i].mode);
		}
		for (k = 0; k < 20; k++)
			soak_host_signal(&g.world, 0, SIGHUP);
		gateway_world_run(&g, 50);
		ck_assert_msg(gateway_world_wait_end(&g, 0, 0) == -1,
		    "%s: the host ended", files[i].name);
		gateway_world_wait_ready(&g, 0);
	}
	soak_host_signal(&g.world, 0, SIGTERM);
	ck_assert_int_eq(gateway_world_wait_end(&g, 0, STOP_BOUND_MS), 0);
	g_free(path);
	gateway_world_end(&g);
}

/* ---- a stop beside a store that fails ---- */

static const struct {
	const char *name;
	store_fault_t fault;
	gboolean ready; /* the host was ready before the fault */
} stores[] = {
    {"busy, ready", STORE_BUSY, TRUE},
    {"silent, ready", STORE_SILENT, TRUE},
    {"resets, ready", STORE_RESET, TRUE},
    {"loses answers, ready", STORE_LOSES_ANSWERS, TRUE},
    {"late, ready", STORE_LATE, TRUE},
    {"busy, not ready", STORE_BUSY, FALSE},
    {"silent, not ready", STORE_SILENT, FALSE},
    {"resets, not ready", STORE_RESET, FALSE},
    {"loses answers, joining", STORE_LOSES_ANSWERS, FALSE},
    {"slow, joining", STORE_SLOW, FALSE},
};

static gboolean
logs_start(void *arg)
{
	(void)arg;
	return gateway_world_logs(&g, 0, "event=host.started");
}

/* A stop ends in order whatever the store does. */
static void
a_stop_beside_a_store_that_fails(void)
{
	size_t i;
	int status;

	for (i = 0; i < G_N_ELEMENTS(stores); i++) {
		gateway_world_begin(&g, PORT, 1, NULL);
		if (stores[i].ready)
			gateway_world_start(&g, 0);
		g.world.store.fault[0] = stores[i].fault;
		if (!stores[i].ready) {
			soak_host_start(&g.world, 0);
			ck_assert(gateway_world_wait(
			    &g, logs_start, NULL, SETTLED_MS));
			gateway_world_run(&g, 200);
		}
		soak_host_signal(&g.world, 0, SIGTERM);
		status = gateway_world_wait_end(&g, 0, STOP_BOUND_MS);
		ck_assert_msg(
		    status == 0, "%s: wait status %d", stores[i].name, status);
		gateway_world_end(&g);
	}
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"signals in the start", signals_in_the_start},
	    {"signals in series in a stop", signals_in_series_in_a_stop},
	    {"unusable settings change nothing",
		unusable_settings_change_nothing},
	    {"a stop beside a store that fails",
		a_stop_beside_a_store_that_fails},
	};

	return suite_run("gateway stops", cases, G_N_ELEMENTS(cases));
}
