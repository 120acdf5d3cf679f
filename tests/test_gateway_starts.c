#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include "gateway_world.h"
#include "suite.h"

#define PORT 24830
#define SETTLED_MS 20000 /* a start on a busy machine, with sanitizers */
#define STAYS_MS 500

static gateway_world_t g;

static int
hold(int which)
{
	struct sockaddr_in at = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)gateway_world_port(&g, 0, which))};
	gboolean udp = which == PORT_PEERS;
	int one = 1;
	int fd =
	    socket(AF_INET, (udp ? SOCK_DGRAM : SOCK_STREAM) | SOCK_CLOEXEC, 0);

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (!udp)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
	if (!udp)
		ck_assert_int_eq(listen(fd, 1), 0);
	return fd;
}

static gboolean
logs_wait(void *arg)
{
	(void)arg;
	return gateway_world_logs(&g, 0, "event=host.start.waits");
}

/* FAULT: a start ended as the process before it still held a port. */
static void
a_start_waits_for_its_ports(void)
{
	static const int which[] = {
	    PORT_CALLERS, PORT_LOOKUPS, PORT_OPERATORS, PORT_PEERS};
	size_t i;
	int fd;

	for (i = 0; i < G_N_ELEMENTS(which); i++) {
		gateway_world_begin(&g, PORT, 1, NULL);
		fd = hold(which[i]);
		soak_host_start(&g.world, 0);
		gateway_world_wait(&g, logs_wait, NULL, SETTLED_MS / 4);
		ck_assert_msg(gateway_world_wait_end(&g, 0, STAYS_MS) == -1,
		    "port %d: the host ended", which[i]);
		close(fd);
		gateway_world_wait_ready(&g, 0);
		gateway_world_end(&g);
	}
}

/* FAULT: the same, with a stop that lasts as long as it may. */
static void
a_host_follows_one_that_stops(void)
{
	raw_conn_t *open;
	int status;
	pid_t before;

	gateway_world_begin(&g, PORT, 1, NULL);
	gateway_world_start(&g, 0);
	open = raw_connect(&g, gateway_world_port(&g, 0, PORT_CALLERS));
	raw_send(open, "GET /get/x HTTP/1.1\r\n");
	gateway_world_run(&g, 100);
	before = g.world.hosts[0].pid;
	kill(before, SIGTERM);
	soak_host_start(&g.world, 0);
	while (waitpid(before, &status, WNOHANG) == 0)
		gateway_world_run(&g, 50);
	ck_assert_int_eq(status, 0);
	gateway_world_wait_ready(&g, 0);
	ck_assert_int_eq(gateway_world_wait_end(&g, 0, 0), -1);
	gateway_world_end(&g);
}

static void
waiting_for_a_port_ends(void)
{
	static const struct {
		int sig; /* 0: none */
		int exit_status;
	} rows[] = {{SIGTERM, 0}, {SIGINT, 0}, {0, 1}};
	int fd, status;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		gateway_world_begin(&g, PORT, 1, NULL);
		fd = hold(PORT_CALLERS);
		soak_host_start(&g.world, 0);
		ck_assert(gateway_world_wait(&g, logs_wait, NULL, SETTLED_MS));
		if (rows[i].sig != 0)
			kill(g.world.hosts[0].pid, rows[i].sig);
		status = gateway_world_wait_end(
		    &g, 0, rows[i].sig != 0 ? STAYS_MS * 4 : SETTLED_MS);
		ck_assert_msg(status != -1 && WIFEXITED(status) &&
			WEXITSTATUS(status) == rows[i].exit_status,
		    "signal %d: wait status %d", rows[i].sig, status);
		ck_assert_int_eq(
		    gateway_world_logs(&g, 0, "event=host.start.failed"),
		    rows[i].sig == 0);
		close(fd);
		gateway_world_end(&g);
	}
}

/* ---- hosts of src/host ---- */

/* Starts one whose store is away; it logs where the gateway's host 0 does. */
static pid_t
start_other(void)
{
	char *ini = g_strdup_printf("%s/other.ini", g.world.dir);
	char *secret = g_strdup_printf("%s/secret", g.world.dir);
	char *log = g_strdup_printf("%s/host-0.log", g.world.dir);
	char *text = g_strdup_printf("[host]\nid = one\nregion = north\n"
				     "failure_domain = zone-0\n"
				     "callers = 127.0.0.1:%d\n"
				     "rpc = 127.0.0.1:%d\n"
				     "operators = 127.0.0.1:%d\n"
				     "drain_sec = 2\n"
				     "[store]\naddress = 127.0.0.1:%d\n"
				     "[fleet]\nsecret_file = %s\n",
	    gateway_world_port(&g, 0, PORT_CALLERS),
	    gateway_world_port(&g, 0, PORT_LOOKUPS),
	    gateway_world_port(&g, 0, PORT_OPERATORS),
	    gateway_world_port(&g, 0, PORT_PEERS), secret);
	pid_t pid;
	int fd;

	g_file_set_contents(ini, text, -1, NULL);
	g_file_set_contents(secret,
	    "000102030405060708090a0b0c0d0e0f1011121314151617", -1, NULL);
	pid = fork();
	if (pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
		dup2(fd, STDERR_FILENO);
		execl(HOST_PROGRAM, HOST_PROGRAM, "-c", ini, (char *)NULL);
		_exit(127);
	}
	g.world.hosts[0].pid = pid;
	g.world.hosts[0].state = HOST_RUNS;
	g_free(text);
	g_free(log);
	g_free(secret);
	g_free(ini);
	return pid;
}

static gboolean
logs_started(void *arg)
{
	(void)arg;
	return gateway_world_logs(&g, 0, "event=host.started");
}

/* FAULT: the same with src/host; then a stop before it has joined. */
static void
another_host_waits_for_its_ports(void)
{
	static const int which[] = {PORT_CALLERS, PORT_LOOKUPS, PORT_OPERATORS};
	size_t i;
	int fd, status;
	pid_t pid;

	for (i = 0; i < G_N_ELEMENTS(which); i++) {
		gateway_world_begin(&g, PORT, 1, NULL);
		fd = hold(which[i]);
		pid = start_other();
		ck_assert_msg(
		    gateway_world_wait(&g, logs_wait, NULL, SETTLED_MS),
		    "port %d: no wait", which[i]);
		close(fd);
		ck_assert_msg(
		    gateway_world_wait(&g, logs_started, NULL, SETTLED_MS),
		    "port %d: no start", which[i]);
		kill(pid, SIGHUP);
		gateway_world_run(&g, STAYS_MS);
		ck_assert_int_eq(gateway_world_wait_end(&g, 0, 0), -1);
		kill(pid, SIGTERM);
		status = gateway_world_wait_end(&g, 0, SETTLED_MS);
		ck_assert_msg(
		    status == 0, "port %d: wait status %d", which[i], status);
		gateway_world_end(&g);
	}
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"a start waits for its ports", a_start_waits_for_its_ports},
	    {"a host follows one that stops", a_host_follows_one_that_stops},
	    {"waiting for a port ends", waiting_for_a_port_ends},
	    {"another host waits for its ports",
		another_host_waits_for_its_ports},
	};

	return suite_run("gateway starts", cases, G_N_ELEMENTS(cases));
}
