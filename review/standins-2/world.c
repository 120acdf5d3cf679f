#include <sys/queue.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdarg.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include "world.h"

#define CALLER_BUDGET_MS 4000
#define READY_POLL_MS 50
/* Below the ports that the system gives to connections. */
#define FIRST_PORT 12000
#define PORTS 20000

static ms_t
clock_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (ms_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

ms_t
world_now(const world_t *w)
{
	return clock_ms() - w->began;
}

void
world_note(world_t *w, const char *fmt, ...)
{
	va_list ap;

	fprintf(w->record, "%8.3f ", (double)world_now(w) / 1000);
	va_start(ap, fmt);
	vfprintf(w->record, fmt, ap);
	va_end(ap);
	fputc('\n', w->record);
}

/* ---- callers ---- */

static void
on_answer(struct evhttp_request *req, void *arg)
{
	request_t *r = arg;

	r->ended_at = world_now(r->world);
	r->status = req != NULL && evhttp_request_get_response_code(req) != 0
	    ? evhttp_request_get_response_code(req)
	    : -1;
	world_note(r->world, "answer %s %d", r->id, r->status);
	if (r->world->on_answer != NULL)
		r->world->on_answer(r, req);
}

static void
send_request(request_t *r, enum evhttp_cmd_type method, const char *path)
{
	world_t *w = r->world;
	struct evhttp_request *req = evhttp_request_new(on_answer, r);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	char *budget = g_strdup_printf("%d", (int)r->budget_ms);

	r->idempotent = method == EVHTTP_REQ_GET;
	r->sent_at = world_now(w);
	g_snprintf(r->id, sizeof(r->id), "r%06u", ++w->sent);
	g_hash_table_insert(w->requests, r->id, r);
	evhttp_connection_set_timeout(r->evcon, (int)(r->budget_ms / 1000) + 1);
	evhttp_add_header(headers, "Host", "school.example");
	evhttp_add_header(headers, "X-Request-Id", r->id);
	evhttp_add_header(headers, "X-Credential", r->key);
	evhttp_add_header(headers, "X-Deadline-Ms", budget);
	if (method == EVHTTP_REQ_POST)
		evbuffer_add_printf(
		    evhttp_request_get_output_buffer(req), "seat of %s", r->id);
	world_note(w, "send %s to host %d %s %s", r->id, r->host,
	    method == EVHTTP_REQ_GET ? "GET" : "POST", path);
	g_free(budget);
	evhttp_make_request(r->evcon, req, method, path);
}

request_t *
caller_send(world_t *w, int host, enum evhttp_cmd_type method, const char *path,
    const char *key)
{
	request_t *r = g_new0(request_t, 1);

	r->world = w;
	r->host = host;
	r->key = g_strdup(key);
	r->budget_ms = CALLER_BUDGET_MS;
	r->evcon = evhttp_connection_base_new(
	    w->base, NULL, "127.0.0.1", (uint16_t)w->hosts[host].ports[0]);
	send_request(r, method, path);
	return r;
}

request_t *
caller_send_kept(request_t *before, enum evhttp_cmd_type method,
    const char *path, ms_t budget_ms, ms_t work_ms)
{
	request_t *r = g_new0(request_t, 1);

	r->world = before->world;
	r->host = before->host;
	r->key = g_strdup(before->key);
	r->budget_ms = budget_ms;
	r->work_ms = work_ms;
	r->evcon = before->evcon;
	r->shares_evcon = TRUE;
	send_request(r, method, path);
	return r;
}

static void
request_free(void *p)
{
	request_t *r = p;

	if (!r->shares_evcon)
		evhttp_connection_free(r->evcon);
	g_free(r->key);
	g_free(r);
}

/* ---- hosts ---- */

/* Holds a port that is free for both kinds of sockets. */
static int
hold_port(int held[2])
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);
	int tcp, udp, port = 0;

	do {
		sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		sin.sin_port = htons((uint16_t)g_random_int_range(
		    FIRST_PORT, FIRST_PORT + PORTS));
		tcp = socket(AF_INET, SOCK_STREAM, 0);
		udp = socket(AF_INET, SOCK_DGRAM, 0);
		if (bind(tcp, (struct sockaddr *)&sin, sizeof(sin)) == 0 &&
		    getsockname(tcp, (struct sockaddr *)&sin, &len) == 0 &&
		    bind(udp, (struct sockaddr *)&sin, sizeof(sin)) == 0)
			port = ntohs(sin.sin_port);
		if (port == 0) {
			close(tcp);
			close(udp);
		}
	} while (port == 0);
	held[0] = tcp;
	held[1] = udp;
	return port;
}

/* As deploy/host.ini is filled in for a small deployment. */
static void
write_settings(world_t *w, int host)
{
	host_t *h = &w->hosts[host];
	GString *text = g_string_new(NULL);
	GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);
	int i;

	g_string_append_printf(text,
	    "[host]\nid = front-%s-%d\nregion = %s\nfailure_domain = %s\n"
	    "callers = 127.0.0.1:%d\nlookups = 127.0.0.1:%d\n"
	    "operators = 127.0.0.1:%d\npeers = 127.0.0.1:%d\n"
	    "drain_sec = 6\n\n[store]\nkind = table\n"
	    "address = 127.0.0.1:%d\n\n[domains]\n",
	    h->zone, host + 1, h->region, h->zone, h->ports[0], h->ports[1],
	    h->ports[2], h->ports[3], w->store.ports[host]);
	for (i = 0; i < w->nhosts; i++) {
		if (!g_hash_table_add(zones, w->hosts[i].zone))
			continue;
		g_string_append_printf(
		    text, "%s = %s\n", w->hosts[i].zone, w->hosts[i].region);
	}
	g_hash_table_destroy(zones);
	g_string_append(text,
	    "\n[bounds]\nrate_overage = 0.1\nrate_slack = 20\n"
	    "rate_window_sec = 5\nretry_ratio = 0.2\nretry_extra = 56\n"
	    "cold_overage = 1.5\ncold_slack = 5\n\n[limits]\n"
	    "link_mbps = 1000.0\ncpu_share = 0.2\n\n[log]\nlevel = info\n");
	h->settings = g_strdup_printf("%s/host-%d.ini", w->dir, host);
	g_file_set_contents(h->settings, text->str, -1, NULL);
	g_string_free(text, TRUE);
}

void
world_start_host(world_t *w, int host)
{
	host_t *h = &w->hosts[host];
	char *log = g_strdup_printf("%s/host-%d.log", w->dir, host);
	pid_t pid;
	int fd, i;

	/* Its ports are held until its first start. */
	for (i = 0; i < 8 && h->held[0] != 0; i++)
		close(h->held[i]);
	h->held[0] = 0;
	pid = fork();
	if (pid == 0) {
		/* A case that fails leaves no host behind. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		for (fd = STDERR_FILENO + 1; fd < 1024; fd++)
			close(fd);
		execl(w->program, w->program, "-c", h->settings, (char *)NULL);
		_exit(127);
	}
	h->pid = pid;
	world_note(w, "host %d starts, process %d", host, (int)pid);
	g_free(log);
}

void
world_signal(world_t *w, int host, int sig)
{
	host_t *h = &w->hosts[host];

	if (h->pid == 0)
		return;
	kill(h->pid, sig);
	world_note(w, "host %d gets signal %d", host, sig);
	if (sig != SIGKILL)
		return;
	waitpid(h->pid, NULL, 0);
	h->pid = 0;
}

typedef struct {
	int left;
} ready_t;

static void
on_ready(struct evhttp_request *req, void *arg)
{
	ready_t *ready = arg;

	if (req != NULL && evhttp_request_get_response_code(req) == 200)
		ready->left--;
}

gboolean
world_wait_ready(world_t *w, ms_t ms)
{
	ms_t until = world_now(w) + ms;
	struct evhttp_connection *evcons[WORLD_HOSTS_MAX];
	struct evhttp_request *req;
	ready_t ready;
	int i;

	do {
		ready.left = w->nhosts;
		for (i = 0; i < w->nhosts; i++) {
			evcons[i] = evhttp_connection_base_new(w->base, NULL,
			    "127.0.0.1", (uint16_t)w->hosts[i].ports[2]);
			req = evhttp_request_new(on_ready, &ready);
			evhttp_add_header(
			    evhttp_request_get_output_headers(req), "Host",
			    "host");
			evhttp_make_request(
			    evcons[i], req, EVHTTP_REQ_GET, "/ready");
		}
		world_run(w, READY_POLL_MS);
		for (i = 0; i < w->nhosts; i++)
			evhttp_connection_free(evcons[i]);
	} while (ready.left > 0 && world_now(w) < until);
	return ready.left == 0;
}

/* ---- the whole ---- */

void
world_run(world_t *w, ms_t ms)
{
	struct timeval tv = {ms / 1000, ms % 1000 * 1000};

	event_base_loopexit(w->base, &tv);
	event_base_dispatch(w->base);
}

typedef struct {
	void (*fn)(void *arg);
	void *arg;
} later_t;

static void
on_later(evutil_socket_t fd, short what, void *arg)
{
	later_t *later = arg;

	(void)fd;
	(void)what;
	later->fn(later->arg);
	g_free(later);
}

void
world_at(world_t *w, ms_t ms, void (*fn)(void *arg), void *arg)
{
	struct timeval tv = {ms / 1000, ms % 1000 * 1000};
	later_t *later = g_new0(later_t, 1);

	later->fn = fn;
	later->arg = arg;
	event_base_once(w->base, -1, EV_TIMEOUT, on_later, later, &tv);
}

void
world_init(world_t *w, char **argv, const place_t *places, int hosts)
{
	int i, k;

	memset(w, 0, sizeof(*w));
	signal(SIGPIPE, SIG_IGN);
	/* Ends with the script, and the hosts with it. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	w->base = event_base_new();
	w->program = argv[1];
	w->dir = g_strdup(argv[2]);
	w->record = fopen(argv[3], "w");
	if (w->record == NULL)
		g_error("cannot write %s", argv[3]);
	w->began = clock_ms();
	w->nhosts = hosts;
	w->servers = g_ptr_array_new();
	w->requests =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, request_free);
	store_init(&w->store, w, hosts);
	for (i = 0; i < hosts; i++) {
		w->hosts[i].zone = g_strdup(places[i].zone);
		w->hosts[i].region = g_strdup(places[i].region);
		for (k = 0; k < 4; k++)
			w->hosts[i].ports[k] =
			    hold_port(&w->hosts[i].held[2 * k]);
	}
	for (i = 0; i < hosts; i++)
		write_settings(w, i);
}

void
world_finish(world_t *w)
{
	guint i;
	int k;

	for (k = 0; k < w->nhosts; k++) {
		world_signal(w, k, SIGKILL);
		g_free(w->hosts[k].zone);
		g_free(w->hosts[k].region);
		g_free(w->hosts[k].settings);
	}
	for (i = 0; i < w->servers->len; i++) {
		server_t *s = g_ptr_array_index(w->servers, i);

		server_end(s);
		g_ptr_array_free(s->runs, TRUE);
		g_free(s->id);
		g_free(s->service);
		g_free(s->zone);
		g_free(s->version);
		g_free(s);
	}
	g_hash_table_destroy(w->requests);
	g_ptr_array_free(w->servers, TRUE);
	store_finish(&w->store);
	event_base_free(w->base);
	fclose(w->record);
	g_free(w->dir);
}
