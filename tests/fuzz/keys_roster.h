#ifndef FUZZ_KEYS_ROSTER_H
#define FUZZ_KEYS_ROSTER_H

#include "keys_store.h"

/* The roster of a fuzzed host, as far as its keys depend on it. */

static gboolean
in_roster(const proc_t *h, replica_t who)
{
	return h->roster[who.host] == who.incarnation;
}

static gboolean
eligible(const proc_t *p)
{
	uint32_t i;

	for (i = 0; i < IDS; i++) {
		if (i != p->self.host && p->roster[i] != 0 && !p->acked[i])
			return FALSE;
	}
	return freshness_loaded(&p->sync.fresh, &p->sync.keys);
}

static void
roster_set(proc_t *h, uint32_t id, uint64_t incarnation)
{
	if (incarnation == h->roster[id])
		return;
	h->roster[id] = incarnation;
	h->promised_at[id] = FRESH_NEVER;
	h->acked[id] = FALSE;
}

static void
on_departure(world_t *w, const message_t *m)
{
	proc_t *h = &w->procs[m->to];
	replica_t peer = w->procs[m->from].self;

	if (!in_roster(h, peer))
		return;
	roster_set(h, peer.host, 0);
	if (w->rules != BROKEN_DEPARTURE)
		key_sync_peer_departed(&h->sync, m->version);
}

/* Stops promises to a host, and retires it once earlier ones have lapsed. */
static void
proc_retire(world_t *w, int p, uint32_t id)
{
	proc_t *h = &w->procs[p];
	message_t m = {.kind = RETIRE, .from = p, .to = -1};
	msec_t now = clock_of(w, p);

	if (id == h->self.host || h->roster[id] == 0 || !eligible(h))
		return;
	if (h->retiring[id] != h->roster[id]) {
		h->retiring[id] = h->roster[id];
		h->retiring_since[id] = now;
	} else if (now - h->retiring_since[id] >= FRESH_LAPSE_MS) {
		m.target = (replica_t){id, h->roster[id]};
		post(w, &m);
	}
}

/* Leaves the roster, if all of its withdrawals are settled. */
static void
proc_leave(world_t *w, int p)
{
	message_t m = {.kind = DEPARTURE, .from = p};

	if (!withdrawals_settled(&w->procs[p].sync.withdrawals))
		return;
	m.version = keys_complete(&w->procs[p].sync.keys);
	for (m.to = 0; m.to < w->nprocs; m.to++) {
		if (in_roster(&w->procs[p], w->procs[m.to].self))
			post(w, &m);
	}
	m.kind = LEAVE;
	m.to = -1;
	m.target = w->procs[p].self;
	post(w, &m);
	w->procs[p].alive = FALSE;
}

/* The oldest of the peers' latest promises. FRESH_NEVER for a sole host: in
 * this model it gets no promises. */
static msec_t
promised_since(const proc_t *h)
{
	msec_t since = INT64_MAX;
	uint32_t i;

	for (i = 0; i < IDS; i++) {
		if (i != h->self.host && h->roster[i] != 0)
			since = MIN(since, h->promised_at[i]);
	}
	return since == INT64_MAX ? FRESH_NEVER : since;
}

#endif
