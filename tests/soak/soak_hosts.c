#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include "soak.h"

/* Extra time that a graceful stop may take on a busy machine. */
#define DRAIN_SLACK_MS 1500
#define SITE_FILES 4100

const char *
soak_region(int domain)
{
	return domain < 2 ? "north" : "south";
}

static char *
write_settings(const world_t *w, int host)
{
	char *path = g_strdup_printf("%s/host-%d.ini", w->dir, host);
	int port = w->port + host * PORTS_OF_HOST;
	char *text = g_strdup_printf(
	    "[host]\nid = host-%d\nregion = %s\n"
	    "failure_domain = zone-%d\ncallers = 127.0.0.1:%d\n"
	    "lookups = 127.0.0.1:%d\noperators = 127.0.0.1:%d\n"
	    "peers = 127.0.0.1:%d\ndrain_sec = %d\n"
	    "[store]\nkind = table\naddress = 127.0.0.1:%d\n"
	    "[domains]\nzone-0 = north\nzone-1 = north\nzone-2 = south\n"
	    "zone-3 = south\n"
	    "[bounds]\nrate_overage = 0.1\nrate_slack = 20\n"
	    "retry_ratio = 0.2\nretry_extra = 50\ncold_overage = 1.5\n"
	    "cold_slack = 5\n%s",
	    host, soak_region(host), host, port + PORT_CALLERS,
	    port + PORT_LOOKUPS, port + PORT_OPERATORS, port + PORT_PEERS,
	    DRAIN_SEC, port + PORT_STORE,
	    w->settings != NULL ? w->settings : "");

	g_file_set_contents(path, text, -1, NULL);
	g_free(text);
	return path;
}

void
soak_host_start(world_t *w, int host)
{
	soak_host_t *h = &w->hosts[host];
	char *settings = write_settings(w, host);
	const struct rlimit files = {SITE_FILES, SITE_FILES};
	char *log = g_strdup_printf("%s/host-%d.log", w->dir, host);
	pid_t pid = fork();
	int fd;

	if (pid == 0) {
		/* A test that fails leaves no host behind. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (w->plan.limits)
			setrlimit(RLIMIT_NOFILE, &files);
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		closefrom(STDERR_FILENO + 1);
		execl(w->program, w->program, "-c", settings, (char *)NULL);
		_exit(127);
	}
	h->pid = pid;
	h->state = HOST_RUNS;
	h->since = clock_now();
	h->undisturbed_since = h->calm_since = h->since;
	h->stopped_at = h->quiet_since = 0;
	h->killed = FALSE;
	g_free(settings);
	g_free(log);
}

void
soak_host_signal(world_t *w, int host, int sig)
{
	soak_host_t *h = &w->hosts[host];

	if (h->state == HOST_OFF)
		return;
	kill(h->pid, sig);
	if (h->state == HOST_STOPS && sig != SIGKILL)
		return;
	h->since = clock_now();
	switch (sig) {
	case SIGTERM:
		h->state = HOST_STOPS;
		h->stopped_at = h->since;
		break;
	case SIGSTOP:
		h->state = HOST_PAUSED;
		h->undisturbed_since = h->calm_since = 0;
		break;
	case SIGCONT:
		h->state = HOST_RUNS;
		h->undisturbed_since = h->calm_since = h->since;
		break;
	case SIGKILL:
		h->killed = TRUE;
		h->undisturbed_since = h->calm_since = 0;
		break;
	default:
		break;
	}
}

static void
ended(world_t *w, int host, int status, gboolean killed)
{
	soak_host_t *h = &w->hosts[host];

	if (h->state == HOST_STOPS && !killed &&
	    (!WIFEXITED(status) || WEXITSTATUS(status) != 0))
		soak_broken(w, "LOST host %d stopped with wait status %d", host,
		    status);
	if (h->state != HOST_STOPS && !killed)
		soak_broken(w, "host %d exited by itself, wait status %d", host,
		    status);
	h->state = HOST_OFF;
	h->undisturbed_since = 0;
	h->since = clock_now();
}

void
soak_hosts_watch(world_t *w)
{
	soak_host_t *h;
	int host, status;

	for (host = 0; host < HOSTS; host++) {
		h = &w->hosts[host];
		if (h->state == HOST_OFF)
			continue;
		if (waitpid(h->pid, &status, WNOHANG) == h->pid)
			ended(w, host, status,
			    h->killed && WIFSIGNALED(status) &&
				WTERMSIG(status) == SIGKILL);
		else if (h->state == HOST_STOPS &&
		    clock_now() > h->stopped_at + DRAIN_SEC * MSEC_PER_SEC +
			    DRAIN_SLACK_MS &&
		    !h->killed) {
			soak_broken(w,
			    "host %d did not stop within its drain time", host);
			soak_host_signal(w, host, SIGKILL);
		}
	}
}

void
soak_hosts_finish(world_t *w)
{
	int host, status;

	for (host = 0; host < HOSTS; host++) {
		if (w->hosts[host].state == HOST_OFF)
			continue;
		kill(w->hosts[host].pid, SIGKILL);
		waitpid(w->hosts[host].pid, &status, 0);
	}
}

gboolean
soak_all_undisturbed(const world_t *w, msec_t ms)
{
	msec_t now = clock_now();
	int host;

	for (host = 0; host < HOSTS; host++) {
		const soak_host_t *h = &w->hosts[host];

		if (h->undisturbed_since == 0 ||
		    now - h->undisturbed_since < ms)
			return FALSE;
	}
	return TRUE;
}
