#include <signal.h>
#include <stdio.h>

#include "soak.h"

/* Signals in series, to any number of hosts at once. */

#define STARTS 0 /* in the place of a signal: start the host */
/* A process that has started this long ago handles signals. */
#define HANDLES_MS 400

static const struct {
	int first, next; /* next: -1: nothing */
	int after_max_ms;
} kinds[] = {
    {SIGTERM, SIGTERM, 3000},
    {SIGTERM, SIGHUP, 3000},
    {SIGTERM, SIGKILL, 5000},
    {SIGKILL, STARTS, 200},
    {SIGTERM, STARTS, 6000},
    {SIGHUP, SIGHUP, 300},
    {SIGHUP, SIGTERM, 300},
    {SIGHUP, SIGKILL, 100},
    {SIGSTOP, SIGKILL, 2000},
    {SIGKILL, -1, 1},
    {SIGTERM, -1, 1},
};

static struct {
	msec_t at; /* 0: none */
	int sig;
} due[HOSTS];

static void
begin(world_t *w, int host)
{
	int k = g_rand_int_range(w->further, 0, (gint32)G_N_ELEMENTS(kinds));
	int after = g_rand_int_range(w->further, 0, kinds[k].after_max_ms);
	const soak_host_t *h = &w->hosts[host];

	if (h->state != HOST_RUNS || clock_now() - h->since < HANDLES_MS ||
	    due[host].at != 0)
		return;
	printf("%8.3f series of signals %d, %d to host %d\n",
	    (double)(clock_now() - w->began_at) / MSEC_PER_SEC, kinds[k].first,
	    kinds[k].next, host);
	soak_host_signal(w, host, kinds[k].first);
	if (kinds[k].next < 0)
		return;
	due[host].at = clock_now() + after;
	due[host].sig = kinds[k].next;
}

static void
go_on(world_t *w, int host)
{
	gboolean off = w->hosts[host].state == HOST_OFF;

	if (due[host].at == 0 || clock_now() < due[host].at)
		return;
	if (due[host].sig == STARTS && !off)
		return; /* as soon as it has ended */
	due[host].at = 0;
	if (due[host].sig == STARTS)
		soak_host_start(w, host);
	else if (!off)
		soak_host_signal(w, host, due[host].sig);
}

void
soak_series(world_t *w)
{
	msec_t now = clock_now();
	int h, n;

	for (h = 0; h < HOSTS; h++)
		go_on(w, h);
	if (now > w->stops_at || now < w->began_at + SETTLE_MS ||
	    g_rand_int_range(w->further, 0, 25) != 0)
		return;
	for (n = g_rand_int_range(w->further, 1, HOSTS + 1); n > 0; n--)
		begin(w, g_rand_int_range(w->further, 0, HOSTS));
}
