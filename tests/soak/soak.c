#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <popt.h>

#include "soak.h"

#define STEP_MS 100
/* Callers fall silent for this time in the middle of a long run. */
#define QUIET_MS 6500
#define QUIET_RUN_SEC 20
#define UNREAD_CALLERS 400
/* After the last fault: time for the hosts to recover, then for the last
 * checks. */
#define RECOVERY_MS 9000
#define END_MS 4000
/* Minimum share of answered requests after the hosts have recovered. */
#define LATE_ANSWERED_SHARE_MIN 0.9

static char *program, *dir;
static int seed = 1, seconds = 30, first_port = 21000, memory_mb;
static double rate = 60;

static const struct poptOption options[] = {
    {"program", 0, POPT_ARG_STRING, &program, 0,
	"the host program greengageloomd", "FILE"},
    {"dir", 0, POPT_ARG_STRING, &dir, 0, "scratch folder for settings and logs",
	"DIR"},
    {"seed", 0, POPT_ARG_INT, &seed, 0, "seed of the random choices", "N"},
    {"seconds", 0, POPT_ARG_INT, &seconds, 0, "duration of the faults", "N"},
    {"port", 0, POPT_ARG_INT, &first_port, 0, "first port", "N"},
    {"memory", 0, POPT_ARG_INT, &memory_mb, 0,
	"peak memory of a host that a release build may have", "MB"},
    {"rate", 0, POPT_ARG_DOUBLE, &rate, 0, "requests per second", "N"},
    POPT_AUTOHELP POPT_TABLEEND,
};

static void
log_event(const world_t *w, const char *what)
{
	printf("%8.3f %s\n", (double)(clock_now() - w->began_at) / MSEC_PER_SEC,
	    what);
}

void
soak_broken(world_t *w, const char *fmt, ...)
{
	va_list ap;
	char *text;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	w->broken++;
	printf("%8.3f BROKEN %s\n",
	    (double)(clock_now() - w->began_at) / MSEC_PER_SEC, text);
	g_free(text);
}

void
soak_config(world_t *w)
{
	GString *s = g_string_new(NULL);
	int i;

	w->config += 1 + (uint64_t)g_rand_int_range(w->rand, 0, 4);
	g_string_append_printf(
	    s, "{\"version\":%d,\"routes\":[", (int)w->config);
	for (i = 0; i < SERVICES * 2; i++)
		g_string_append_printf(s,
		    "%s{\"name\":\"r-%d\",\"host\":\"soak.example\","
		    "\"prefix\":\"/s%d/%s/\",\"kind\":\"%s\","
		    "\"timeout_ms\":2500,\"target_latency_ms\":500,"
		    "\"priority\":1,\"service\":\"service-%d\","
		    "\"max_attempts\":2,\"public\":false,"
		    "\"sticky_sessions\":true,\"allowed_regions\":[]}",
		    i > 0 ? "," : "", i, i / 2, i % 2 == 0 ? "get" : "post",
		    i % 2 == 0 ? "idempotent" : "non_idempotent", i / 2);
	g_string_append(s, "],\"services\":[");
	for (i = 0; i < SERVICES; i++)
		g_string_append_printf(s,
		    "%s{\"name\":\"service-%d\",\"health_path\":\"/health\","
		    "\"max_connections\":300,\"warmup_s\":1,"
		    "\"warmup_per_s\":5}",
		    i > 0 ? "," : "", i);
	g_string_append_printf(s,
	    "],\"tenants\":[{\"name\":\"school\",\"api_keys\":[\"key-school\""
	    "%s],\"priority\":0,\"rate_per_s\":1000,\"burst\":1000},"
	    "{\"name\":\"shop\",\"api_keys\":[\"key-shop\"],\"priority\":0,"
	    "\"rate_per_s\":%d,\"burst\":%d}]}",
	    w->withdrawn ? "" : ",\"key-school-2\"", QUOTA_RATE, QUOTA_BURST);
	soak_store_put(&w->store, "op", "config", s->str);
	g_string_free(s, TRUE);
}

/* ---- faults ---- */

static int
pick_host(world_t *w)
{
	return g_rand_int_range(w->rand, 0, HOSTS);
}

/* Signals go to at most one host at a time. */
static gboolean
all_run(const world_t *w)
{
	int h;

	for (h = 0; h < HOSTS; h++) {
		if (w->hosts[h].state != HOST_RUNS)
			return FALSE;
	}
	return TRUE;
}

static void
fault_host(world_t *w)
{
	static const struct {
		int sig;
		const char *what;
	} kinds[] = {{SIGKILL, "host killed"}, {SIGTERM, "host stopped"},
	    {SIGSTOP, "host paused"}, {SIGHUP, "host reloads its settings"}};
	int kind = g_rand_int_range(w->rand, 0, (gint32)G_N_ELEMENTS(kinds));

	if (!all_run(w))
		return;
	log_event(w, kinds[kind].what);
	soak_host_signal(w, pick_host(w), kinds[kind].sig);
}

static void
fault_store(world_t *w)
{
	static const char *const names[] = {"store healthy", "store busy",
	    "store silent", "store resets connections", "store loses answers",
	    "store slow"};
	store_fault_t fault = (store_fault_t)g_rand_int_range(
	    w->rand, STORE_BUSY, STORE_SLOW + 1);
	gboolean all = g_rand_int_range(w->rand, 0, 3) == 0;
	int h = pick_host(w), i;

	log_event(w, names[fault]);
	for (i = 0; i < HOSTS; i++) {
		if (!all && i != h)
			continue;
		w->store.fault[i] = fault;
		w->hosts[i].undisturbed_since = 0;
	}
}

static void
clear_store_faults(world_t *w)
{
	int h;

	for (h = 0; h < HOSTS; h++) {
		if (w->store.fault[h] != STORE_HEALTHY) {
			w->store.fault[h] = STORE_HEALTHY;
			w->hosts[h].undisturbed_since = clock_now();
		}
	}
}

static soak_server_t *
pick_server(world_t *w)
{
	soak_server_t *s =
	    &w->servers[g_rand_int_range(w->rand, 0, w->nservers)];

	return s->listed && !s->draining ? s : NULL;
}

static int
count_servers(const world_t *w, int service)
{
	int i, n = 0;

	for (i = 0; i < w->nservers; i++)
		n += w->servers[i].listed && !w->servers[i].draining &&
		    w->servers[i].service == service;
	return n;
}

static void
fault_server(world_t *w)
{
	soak_server_t *s = pick_server(w);

	if (s == NULL)
		return;
	log_event(w, "server fault");
	soak_server_fault(s,
	    (server_fault_t)g_rand_int_range(
		w->rand, SERVER_SLOW, SERVER_DOWN + 1));
}

static void
clear_server_faults(world_t *w)
{
	int i;

	for (i = 0; i < w->nservers; i++) {
		soak_server_fault(&w->servers[i], SERVER_HEALTHY);
		w->servers[i].shape = BYTES_SOUND;
	}
}

/* Starts a server and removes another one, with or without a drain before. */
static void
replace_server(world_t *w)
{
	soak_server_t *s = pick_server(w);

	if (s == NULL || count_servers(w, s->service) < 3)
		return;
	log_event(w, "server replaced");
	soak_server_start(w, s->service, s->domain, s->version);
	if (g_rand_boolean(w->rand)) {
		s->draining = TRUE;
		soak_server_write(s, TRUE);
	} else {
		soak_server_write(s, FALSE);
	}
}

static void
change_drain(world_t *w)
{
	char key[32];
	int i;

	if (w->drained < 0) {
		log_event(w, "domain drained");
		w->drained = g_rand_int_range(w->rand, 0, 4);
		g_snprintf(key, sizeof(key), "evacuate/zone-%d", w->drained);
		soak_store_put(&w->store, "op", key, "{}");
	} else {
		log_event(w, "domain drain cancelled");
		g_snprintf(key, sizeof(key), "evacuate/zone-%d", w->drained);
		soak_store_put(&w->store, "op", key, NULL);
		w->drained = -1;
	}
	for (i = 0; i < w->nservers; i++)
		w->servers[i].drained_at =
		    w->servers[i].domain == w->drained ? clock_now() : 0;
}

static void
change_config(world_t *w)
{
	gboolean withdrawn = g_rand_boolean(w->rand);

	log_event(w, "config changed");
	if (withdrawn != w->withdrawn)
		w->key_changed_at = clock_now();
	w->withdrawn = withdrawn;
	soak_config(w);
}

static void
forge_row(world_t *w)
{
	static const char *const values[] = {"{",
	    "{\"service\":\"service-0\",\"address\":\"127.0.0.1:1\"}",
	    "{\"service\":7}", "[]"};

	log_event(w, "forged row");
	soak_store_put(&w->store, "servers", "i-forged",
	    values[g_rand_int_range(w->rand, 0, (gint32)G_N_ELEMENTS(values))]);
}

static void
drop_history(world_t *w)
{
	log_event(w, "store history dropped");
	soak_store_drop_history(&w->store);
}

static void
recover_hosts(world_t *w)
{
	msec_t now = clock_now();
	int h;

	for (h = 0; h < HOSTS; h++) {
		soak_host_t *host = &w->hosts[h];

		if (host->state == HOST_PAUSED && now - host->since > 2500)
			soak_host_signal(w, h, SIGCONT);
		else if (host->state == HOST_OFF && now - host->since > 700)
			soak_host_start(w, h);
	}
}

/* Large answers of all, to many callers of one host that don't read. */
static void
burst(world_t *w)
{
	int i;

	log_event(w, "large answers, unread");
	for (i = 0; i < BYTES_SERVERS; i++)
		w->bytes[i]->shape = BYTES_LARGE;
	w->unread = UNREAD_CALLERS;
}

/* Shapes of answers, and writes of the store that happen late. */
static void
inject_further(world_t *w)
{
	int h = g_rand_int_range(w->further, 0, HOSTS);

	if (w->plan.bytes && g_rand_int_range(w->further, 0, 6) == 0)
		w->bytes[g_rand_int_range(w->further, 0, BYTES_SERVERS)]
		    ->shape = (soak_shape_t)g_rand_int_range(
		    w->further, BYTES_SOUND, BYTES_SHAPES);
	if (w->plan.bytes && g_rand_int_range(w->further, 0, 100) == 0)
		burst(w);
	if (!w->plan.late || g_rand_int_range(w->further, 0, 50) != 0)
		return;
	log_event(w, "store writes late");
	w->store.fault[h] = STORE_LATE;
	w->hosts[h].undisturbed_since = 0;
}

static void
inject_fault(world_t *w)
{
	static void (*const kinds[])(world_t * w) = {fault_host, fault_host,
	    fault_store, fault_server, fault_server, replace_server,
	    change_drain, change_config, forge_row, drop_history};

	kinds[g_rand_int_range(w->rand, 0, (gint32)G_N_ELEMENTS(kinds))](w);
}

static void
on_step(evutil_socket_t fd, short what, void *arg)
{
	static gboolean cleared;
	world_t *w = arg;
	msec_t now = clock_now();

	(void)fd;
	(void)what;
	soak_hosts_watch(w);
	recover_hosts(w);
	soak_watch(w);
	if (w->plan.series)
		soak_series(w);
	if (now > w->ends_at + END_MS) {
		event_base_loopbreak(w->base);
	} else if (now < w->stops_at && now > w->began_at + SETTLE_MS) {
		if (w->seed >= SOAK_FIRST_FURTHER)
			inject_further(w);
		if (g_rand_int_range(w->rand, 0, 8) == 0)
			inject_fault(w);
		if (g_rand_int_range(w->rand, 0, 30) == 0)
			clear_store_faults(w);
		if (g_rand_int_range(w->rand, 0, 40) == 0)
			clear_server_faults(w);
	} else if (now >= w->stops_at && !cleared) {
		cleared = TRUE;
		log_event(w, "all faults cleared");
		clear_store_faults(w);
		clear_server_faults(w);
		if (w->drained >= 0)
			change_drain(w);
	}
}

static int
report_result(world_t *w)
{
	printf("seed %u: sent %u, answered %u, refused %u, failed %u, cut %u, "
	       "unreached %u, hung up %u; answered at the end %u of %u\n",
	    w->seed, w->sent, w->answered, w->refused, w->failed, w->cut,
	    w->unreached, w->hung_up, w->late_answered, w->late_sent);
	printf("seed %u: raw callers sent %u, success %u, closed %u; servers "
	       "spoiled %u, without end %u, large %u\n",
	    w->seed, w->raw_sent, w->raw_answered, w->raw_closed, w->spoiled,
	    w->endless, w->large);
	if (w->late_sent == 0 ||
	    w->late_answered < LATE_ANSWERED_SHARE_MIN * w->late_sent)
		soak_broken(
		    w, "RECOVER too few requests answered after the faults");
	printf("seed %u: %s, peak %ld KB\n", w->seed,
	    w->broken == 0 ? "promises kept" : "promises broken", w->peak_kb);
	return w->broken == 0 ? 0 : 1;
}

static gboolean
plays(world_t *w)
{
	return g_rand_int_range(w->further, 0, 4) != 0 &&
	    w->seed >= SOAK_FIRST_FURTHER;
}

static void
make_plan(world_t *w)
{
	w->plan = (soak_plan_t){.bytes = plays(w)};
	w->plan.leavers = plays(w);
	w->plan.late = plays(w);
	w->plan.series = plays(w);
	w->plan.limits = plays(w);
	w->plan.pause = plays(w) && seconds >= QUIET_RUN_SEC;
	printf("seed %u: bytes %d, leavers %d, late %d, series %d, limits %d, "
	       "pause %d\n",
	    w->seed, w->plan.bytes, w->plan.leavers, w->plan.late,
	    w->plan.series, w->plan.limits, w->plan.pause);
	if (!w->plan.pause)
		return;
	w->quiet_at = (w->began_at + w->stops_at) / 2;
	w->quiet_until = w->quiet_at + QUIET_MS;
}

static int
run(world_t *w)
{
	const struct timeval step = {0, STEP_MS * 1000};
	struct event *stepper;
	int i, status;

	w->base = event_base_new();
	w->rand = g_rand_new_with_seed(w->seed);
	w->requests =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	w->quota_runs = g_array_new(FALSE, FALSE, sizeof(msec_t));
	w->drained = -1;
	w->began_at = clock_now();
	w->stops_at = w->began_at + SETTLE_MS + seconds * MSEC_PER_SEC;
	w->ends_at = w->stops_at + RECOVERY_MS;
	w->further = g_rand_new_with_seed(w->seed);
	make_plan(w);
	soak_store_init(&w->store, w);
	w->store.late = w->further;
	soak_config(w);
	for (i = 0; i < SERVICES * 4; i++)
		soak_server_start(w, i % SERVICES, i / SERVICES, "v1");
	for (i = 0; w->plan.bytes && i < BYTES_SERVERS; i++) {
		w->bytes[i] = &w->servers[w->nservers];
		soak_server_start_bytes(w, i % SERVICES, i);
	}
	for (i = 0; i < HOSTS; i++)
		soak_host_start(w, i);
	soak_callers_init(w);
	if (w->plan.leavers)
		soak_leavers_init(w);
	stepper = event_new(w->base, -1, EV_PERSIST, on_step, w);
	event_add(stepper, &step);
	event_base_dispatch(w->base);
	status = report_result(w);
	soak_hosts_finish(w);
	event_free(stepper);
	if (w->plan.leavers)
		soak_leavers_finish(w);
	soak_callers_finish(w);
	soak_servers_finish(w);
	soak_store_finish(&w->store);
	g_array_free(w->quota_runs, TRUE);
	g_hash_table_destroy(w->requests);
	g_rand_free(w->rand);
	g_rand_free(w->further);
	event_base_free(w->base);
	return status;
}

int
main(int argc, char **argv)
{
	poptContext ctx =
	    poptGetContext(NULL, argc, (const char **)argv, options, 0);
	world_t *w;
	int status;

	if (poptGetNextOpt(ctx) < -1 || program == NULL || dir == NULL) {
		poptPrintUsage(ctx, stderr, 0);
		return 2;
	}
	g_mkdir_with_parents(dir, 0700);
	setvbuf(stdout, NULL, _IOLBF, 0);
	signal(SIGPIPE, SIG_IGN);
	w = g_new0(world_t, 1);
	w->program = program;
	w->dir = dir;
	w->seed = (uint32_t)seed;
	w->port = first_port;
	w->rate = rate;
	w->memory_mb = memory_mb;
	status = run(w);
	g_free(w);
	poptFreeContext(ctx);
	return status;
}
