#ifndef FUZZ_CONFIG_WORLD_H
#define FUZZ_CONFIG_WORLD_H

#include "config_hosts.h"

/*
 * Hosts that follow the configuration and operators who change it, over a
 * fake store and network, driven by bytes. The oracle checks the promise: the
 * reported state of a change is true and stays true, at most one change
 * follows a base version, and no host returns to a lower version.
 */

static void
deliver(world_t *w, message_t m)
{
	gboolean cut = w->cut[m.from] || (m.to >= 0 && w->cut[m.to]);
	int at = m.answer ? m.from : m.to;

	if (m.answer && m.incarnation != w->hosts[m.from].incarnation)
		return;
	if (cut && m.to != m.from)
		return;
	if (at >= 0 && w->hosts[at].paused)
		post_held(w, &m);
	else if (!m.answer && m.to < 0)
		at_store(w, m);
	else if (!m.answer)
		at_peer(w, m);
	else if (m.kind <= READ)
		on_apply(w, &m);
	else if (m.kind == HEAD || m.kind == PEER_VERSION)
		on_ref(w, &m);
	else
		on_text(w, &m);
}

static void
tick_all(world_t *w)
{
	int i;

	for (i = 0; i < HOSTS; i++) {
		if (!w->hosts[i].paused)
			host_tick(w, i);
	}
}

static void
run_round(world_t *w)
{
	w->now += 200;
	tick_all(w);
	deliver_all(w);
}

static void
host_restart(host_t *h)
{
	config_sync_finish(&h->config_sync);
	config_sync_init(&h->config_sync);
	h->incarnation++;
	h->text = 0;
	h->paused = FALSE;
}

static void
check_world(world_t *w)
{
	const task_t *t;
	int i;

	for (i = 1; i <= w->ntasks; i++) {
		t = &w->tasks[i];
		verify(w, !t->conflict || w->tokens[t->a.version] != t->a.token,
		    "reported a conflict, but took effect");
		verify(w, !t->failed || !t->effect,
		    "reported failed, but took effect");
	}
}

/* Runs one event. */
static void
world_step(world_t *w, uint8_t op, uint8_t arg)
{
	int h = arg % HOSTS, i;

	switch (op % 14) {
	case 0: /* fall through */
	case 1:
		for (i = 0; i <= arg % 8; i++)
			run_round(w);
		break;
	case 2:
		w->now += (msec_t)arg * 16;
		break;
	case 3:
		tick_all(w);
		break;
	case 4: /* fall through */
	case 5:
		if (w->nmessages > 0)
			deliver_at(w, arg % w->nmessages, op % 14 == 5);
		break;
	case 6: /* fall through */
	case 7:
		apply_new(w, h, w->head - MIN(w->head, arg / HOSTS % 2),
		    (uint64_t)w->ntasks + 1);
		break;
	case 8:
		host_restart(&w->hosts[h]);
		break;
	case 9:
		w->hosts[h].paused = !w->hosts[h].paused;
		break;
	case 10:
		w->store_up = !w->store_up;
		w->silent = arg & 1;
		break;
	case 11:
		w->cut[h] = !w->cut[h];
		break;
	case 12:
		i = 1 + arg / HOSTS % MAX(w->ntasks, 1);
		if (i <= w->ntasks)
			apply_new(
			    w, h, w->tasks[i].a.base, w->tasks[i].a.token);
		break;
	case 13:
		w->garbled = !w->garbled;
		break;
	}
	check_world(w);
}

static void
world_init(world_t *w, rules_t rules)
{
	int i;

	memset(w, 0, sizeof(*w));
	w->rules = rules;
	w->store_up = TRUE;
	for (i = 0; i < HOSTS; i++) {
		config_sync_init(&w->hosts[i].config_sync);
		w->hosts[i].incarnation = 1;
	}
}

static void
world_finish(world_t *w)
{
	int i;

	for (i = 0; i < HOSTS; i++)
		config_sync_finish(&w->hosts[i].config_sync);
}

#endif
