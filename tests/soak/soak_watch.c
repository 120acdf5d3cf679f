#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "soak.h"

/* What a host's process takes: memory, descriptors, processor time. */

#define EVERY_MS 200
#define FILES_MAX 3900
/* Requests have ended this long after callers fall silent; then a host may use
 * half of a core for the time after it. */
#define SETTLED_MS 3000
#define SETTLED_AT_END_MS 300
#define MEASURE_MS 3000
#define CORE_SHARE_MAX 0.5

static char *
read_proc(const soak_host_t *h, const char *name)
{
	char *path = g_strdup_printf("/proc/%d/%s", (int)h->pid, name);
	char *text = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		text = NULL;
	g_free(path);
	return text;
}

static void
check_memory(world_t *w, int host)
{
	char *text = read_proc(&w->hosts[host], "status");
	const char *line = text != NULL ? strstr(text, "VmHWM:") : NULL;
	long kb = line != NULL ? strtol(line + strlen("VmHWM:"), NULL, 10) : 0;

	if (kb > w->memory_mb * 1024L && w->peak_kb <= w->memory_mb * 1024L)
		soak_broken(w, "MEMORY host %d has held %ld KB", host, kb);
	w->peak_kb = MAX(w->peak_kb, kb);
	g_free(text);
}

static void
check_files(world_t *w, int host)
{
	char *path = g_strdup_printf("/proc/%d/fd", (int)w->hosts[host].pid);
	DIR *dir = opendir(path);
	int n = -2; /* "." and ".." */

	while (dir != NULL && readdir(dir) != NULL)
		n++;
	if (dir != NULL)
		closedir(dir);
	if (n >= FILES_MAX)
		soak_broken(w, "FILES host %d has %d descriptors", host, n);
	g_free(path);
}

/* Return: seconds of processor time so far, or a negative number. */
static double
processor_sec(const soak_host_t *h)
{
	char *text = read_proc(h, "stat");
	const char *at = text != NULL ? strrchr(text, ')') : NULL;
	unsigned long user, system;
	double sec = -1;

	if (at != NULL &&
	    sscanf(at + 1,
		" %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu "
		"%lu",
		&user, &system) == 2)
		sec = (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
	g_free(text);
	return sec;
}

static gboolean
may_measure(const world_t *w, msec_t now)
{
	if (now > w->ends_at + SETTLED_AT_END_MS)
		return TRUE;
	return now > w->quiet_at + SETTLED_MS && now < w->quiet_until;
}

static void
check_processor(world_t *w, int host)
{
	soak_host_t *h = &w->hosts[host];
	msec_t now = clock_now();
	double used, sec;

	if (h->state != HOST_RUNS || !may_measure(w, now) ||
	    h->since > h->quiet_since) {
		h->quiet_since = 0;
		if (h->state != HOST_RUNS || !may_measure(w, now))
			return;
	}
	if (h->quiet_since == 0) {
		h->quiet_since = now;
		h->quiet_sec = processor_sec(h);
	}
	if (now - h->quiet_since < MEASURE_MS)
		return;
	used = processor_sec(h) - h->quiet_sec;
	sec = (double)(now - h->quiet_since) / MSEC_PER_SEC;
	h->quiet_since = 0;
	if (h->quiet_sec >= 0 && used > CORE_SHARE_MAX * sec)
		soak_broken(w,
		    "PROCESSOR host %d used %.1f s in %.1f s without requests",
		    host, used, sec);
}

void
soak_watch(world_t *w)
{
	static msec_t watched_at;
	msec_t now = clock_now();
	int h;

	if (now - watched_at < EVERY_MS)
		return;
	watched_at = now;
	for (h = 0; h < HOSTS; h++) {
		if (w->hosts[h].state == HOST_OFF)
			continue;
		if (w->memory_mb > 0)
			check_memory(w, h);
		check_files(w, h);
		check_processor(w, h);
	}
}
