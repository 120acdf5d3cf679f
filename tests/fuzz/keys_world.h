#ifndef FUZZ_KEYS_WORLD_H
#define FUZZ_KEYS_WORLD_H

#include "keys_hosts.h"

/*
 * A few hosts with the modules under test, a fake store and a fake network,
 * driven by bytes. The oracle checks only the promise: no host accepts a key
 * once its withdrawal was reported done, nor later than 5 s after the store
 * accepted the withdrawal; and what a withdrawal reports of the store is true.
 */

static void
world_finish(world_t *w)
{
	int i;

	for (i = 0; i < w->nprocs; i++)
		key_sync_finish(&w->procs[i].sync);
}

static gboolean
is_cut(const world_t *w, const message_t *m)
{
	uint32_t from = w->procs[m->from].self.host;

	return m->to < 0 ? w->store_cut[from]
			 : w->cut[from][w->procs[m->to].self.host];
}

static void
deliver(world_t *w, message_t m)
{
	int at = m.answer ? m.from : m.to;

	if (is_cut(w, &m) || (at >= 0 && !w->procs[at].alive))
		return;
	if (at >= 0 && w->procs[at].paused)
		post_held(w, &m);
	else if (!m.answer && m.to < 0)
		at_store(w, &m);
	else if (m.kind == DEPARTURE)
		on_departure(w, &m);
	else if (!m.answer)
		at_peer(w, &m);
	else if (m.kind == SCAN)
		on_scan(w, &m);
	else if (m.kind == ASK)
		on_answer(w, &m);
	else if (m.kind == FETCH)
		key_sync_fetched(
		    &w->procs[at].sync, m.delta, m.ndelta, m.since, m.version);
	else if (m.kind == NOTIFY || m.kind == WRITE || m.kind == READ)
		on_withdrawal(w, &m);
}

static void
tick_all(world_t *w)
{
	int i;

	for (i = 0; i < w->nprocs; i++) {
		if (w->procs[i].alive && !w->procs[i].paused)
			proc_tick(w, i);
	}
}

static void
check_world(world_t *w)
{
	const proc_t *h;
	gboolean accepted;
	int i, k;

	for (i = 0; i < w->nprocs; i++) {
		h = &w->procs[i];
		for (k = 0; k < KEYS; k++) {
			if (!h->alive || h->paused)
				continue;
			accepted = keys_check(&h->sync.keys, &h->sync.fresh,
				       &w->digests[k], clock_of(w, i))
				       .kind == KEY_OK;
			verify(w, !accepted || !w->done[k],
			    "key accepted after its withdrawal was reported "
			    "done");
			verify(w,
			    !accepted || w->withdrawn[k] == 0 ||
				w->now <= w->withdrawn_at[k] + PROMISE_MS,
			    "key accepted 5 s after the store accepted its "
			    "withdrawal");
		}
	}
}

static void
run_rounds(world_t *w, int rounds)
{
	for (; rounds > 0; rounds--) {
		w->now += 200;
		tick_all(w);
		deliver_all(w);
		check_world(w);
	}
}

static void
world_init(world_t *w, rules_t rules)
{
	int i;

	memset(w, 0, sizeof(*w));
	w->rules = rules;
	w->now = 1000000;
	w->store_up = TRUE;
	for (i = 0; i < KEYS; i++) {
		digest_of(&i, sizeof(i), &w->digests[i]);
		w->issued[i] = ++w->version;
	}
	for (i = 0; i < IDS; i++)
		proc_start(w, (uint32_t)i);
	run_rounds(w, 4);
}

/* Runs one event. */
static void
world_step(world_t *w, uint8_t op, uint8_t arg)
{
	int p = arg % w->nprocs, id = arg % IDS;

	switch (op % 18) {
	case 0: /* fall through */
	case 1:
	case 2: /* fall through */
	case 3: /* rounds in which all messages are delivered */
		run_rounds(w, 1 + arg % 8);
		break;
	case 4:
		w->now += (msec_t)arg * 16;
		break;
	case 5:
		tick_all(w);
		break;
	case 6: /* fall through */
	case 7:
		if (w->nmessages > 0)
			deliver_at(w, arg % w->nmessages, op % 18 == 7);
		break;
	case 8:
		if (w->nmessages > 0)
			message_take(w, arg % w->nmessages);
		break;
	case 9:
	case 10:
		if (w->procs[p].alive && !w->procs[p].paused)
			withdraw(w, p, (arg >> 4) % KEYS);
		break;
	case 11: /* a new incarnation; the old one may still run */
		if ((arg & 0x80) == 0)
			w->procs[p].alive = FALSE;
		proc_start(w, w->procs[p].self.host);
		break;
	case 12:
		w->procs[p].paused = !w->procs[p].paused;
		break;
	case 13:
		w->store_up = !w->store_up;
		w->silent = arg & 1;
		break;
	case 14:
		w->cut[id][arg / IDS % IDS] ^= TRUE;
		break;
	case 15:
		w->store_cut[id] ^= TRUE;
		break;
	case 16: /* a graceful stop; rare, since it removes a host */
		if (arg < 0x40 && w->procs[p].alive && !w->procs[p].paused)
			proc_leave(w, p);
		break;
	case 17:
		if (w->procs[p].alive && !w->procs[p].paused)
			proc_retire(w, p, (uint32_t)(arg / 8 % IDS));
		break;
	}
	check_world(w);
}

#endif
