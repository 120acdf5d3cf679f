#include "soak.h"

/*
 * What backend servers say of themselves in their answers, and whether hosts
 * keep to it. A host may have closed its connection before an answer arrived,
 * so it counts as told from the second answer on.
 */

/* Pause that a rejecting server asks for, and when it begins to bind. */
#define PAUSE_MS 1000
#define PAUSE_BINDS_MS 500
#define PAUSED_REQUESTS_MAX 2

void
soak_word_tell(soak_server_t *s, int host, gboolean pause)
{
	soak_told_t *t = &s->told[host];
	msec_t now = clock_now();

	if (s->leaving_at != 0 && ++t->leaving_answers == 2)
		t->leaving_at = now;
	if (!pause)
		return;
	if (now - t->asked_at > PAUSE_MS)
		t->pause_answers = t->paused_requests = 0;
	t->asked_at = now;
	if (++t->pause_answers >= 2) {
		t->paused_at = now;
		t->paused_until = now + PAUSE_MS;
	}
}

void
soak_word_check(soak_server_t *s, int host, const char *id)
{
	world_t *w = s->world;
	const soak_host_t *h = &w->hosts[host];
	soak_told_t *t = &s->told[host];
	msec_t now = clock_now();

	if (w->lag > 100 || h->state != HOST_RUNS)
		return;
	if (t->leaving_at != 0 && h->since < t->leaving_at &&
	    now > t->leaving_at + DRAIN_BOUND_MS)
		soak_broken(w,
		    "DRAIN request %s reached server %s %lld ms after it told "
		    "host %d that it leaves",
		    id, s->id, (long long)(now - t->leaving_at), host);
	if (now > t->paused_at + PAUSE_BINDS_MS && now < t->paused_until &&
	    h->since < t->paused_at &&
	    ++t->paused_requests > PAUSED_REQUESTS_MAX)
		soak_broken(w,
		    "BUDGET request %s is number %u that reached server %s in "
		    "a pause it asked of host %d",
		    id, t->paused_requests, s->id, host);
}
