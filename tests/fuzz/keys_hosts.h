#ifndef FUZZ_KEYS_HOSTS_H
#define FUZZ_KEYS_HOSTS_H

#include "keys_roster.h"

/* Hosts that run the modules under test, connected as in the daemon. */

static void
proc_start(world_t *w, uint32_t id)
{
	proc_t *p;
	int i;
	uint64_t incarnation = 1;

	if (w->nprocs == PROCS)
		return;
	for (i = 0; i < w->nprocs; i++)
		incarnation += w->procs[i].self.host == id ? 1 : 0;
	p = &w->procs[w->nprocs++];
	memset(p, 0, sizeof(*p));
	p->alive = TRUE;
	p->self.host = id;
	p->self.incarnation = incarnation;
	key_sync_init(&p->sync, p->self);
	for (i = 0; i < IDS; i++)
		p->promised_at[i] = FRESH_NEVER;
}

static void
on_report(world_t *w, int p, int key, withdrawal_state_t state)
{
	switch (state) {
	case WITHDRAWAL_DONE:
		w->done[key] = TRUE; /* fall through */
	case WITHDRAWAL_ACCEPTED:
		verify(w, w->withdrawn[key] != 0,
		    "reported accepted, but not stored");
		break;
	case WITHDRAWAL_UNAVAILABLE:
	case WITHDRAWAL_FENCED:
		verify(w, !w->effect[p][key],
		    "reported as not stored, but stored");
		break;
	case WITHDRAWAL_WRITING:
	case WITHDRAWAL_UNKNOWN:
		break;
	}
}

static int
key_of(const world_t *w, int p, uint32_t id)
{
	const withdrawal_t *x =
	    withdrawals_get(&w->procs[p].sync.withdrawals, id);
	int k = 0;

	while (!digest_equal(&w->digests[k], &x->digest))
		k++;
	return k;
}

static void
store_request(world_t *w, message_t m)
{
	request_t *r = &w->procs[m.from].requests[m.key];

	m.to = -1;
	r->waiting = TRUE;
	r->write = m.kind == WRITE;
	r->id = m.id;
	r->attempt = m.attempt;
	r->limit = clock_of(w, m.from) + STORE_LIMIT_MS;
	post(w, &m);
}

static void
act_on(world_t *w, int p, const withdrawal_action_t *a)
{
	message_t m = {.from = p, .id = a->id};

	m.key = key_of(w, p, a->id);
	switch (a->kind) {
	case WITHDRAWAL_NOTIFY:
		m.kind = NOTIFY;
		for (m.to = 0; m.to < w->nprocs; m.to++) {
			if (replica_equal(w->procs[m.to].self, a->u.notify))
				post(w, &m);
		}
		break;
	case WITHDRAWAL_WRITE:
	case WITHDRAWAL_READ:
		m.kind = a->kind == WITHDRAWAL_WRITE ? WRITE : READ;
		m.attempt = a->u.attempt;
		store_request(w, m);
		break;
	case WITHDRAWAL_REPORT:
		on_report(w, p, m.key, a->u.state);
		break;
	}
}

static void
act(world_t *w, int p, GArray *out)
{
	guint i;

	for (i = 0; i < out->len; i++)
		act_on(w, p, &g_array_index(out, withdrawal_action_t, i));
	g_array_free(out, TRUE);
}

static GArray *
actions_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(withdrawal_action_t));
}

static void
withdraw(world_t *w, int p, int key)
{
	proc_t *h = &w->procs[p];
	GArray *out = actions_new();

	if (eligible(h))
		key_sync_withdraw(
		    &h->sync, &w->digests[key], clock_of(w, p), out);
	act(w, p, out);
}

/* Falsifies the state on which DONE depends, where that rule is broken. */
static void
break_done(const world_t *w, key_sync_t *s)
{
	withdrawal_t *x;
	uint32_t id;
	guint i;

	if (w->rules == BROKEN_DONE || w->rules == BROKEN_ROSTER) {
		s->view.stable_since = 0;
		s->view.read_sent = INT64_MAX - 1;
	}
	for (id = 1; id <= s->withdrawals.last_id; id++) {
		x = withdrawals_get(&s->withdrawals, id);
		if (w->rules != BROKEN_DONE || x == NULL)
			continue;
		for (i = 0; i < s->view.replicas->len; i++)
			withdrawal_confirmed(
			    x, g_array_index(s->view.replicas, replica_t, i));
	}
}

static void
request_tick(world_t *w, int p, request_t *r, GArray *out)
{
	withdrawal_t *x = withdrawals_get(&w->procs[p].sync.withdrawals, r->id);
	write_result_t lost =
	    w->rules == BROKEN_LOST ? WRITE_UNREACHABLE : WRITE_LOST;
	msec_t now = clock_of(w, p);

	if (!r->waiting || now < r->limit || x == NULL)
		return;
	r->waiting = FALSE;
	if (r->write)
		withdrawal_written(x, r->attempt, lost, 0, now, out);
	else
		withdrawal_read(
		    x, r->attempt, COMMIT_TARGET_UNREAD, 0, now, out);
}

static void
withdrawals_run(world_t *w, int p)
{
	proc_t *h = &w->procs[p];
	msec_t stable_since = h->sync.view.stable_since;
	msec_t read_sent = h->sync.view.read_sent;
	GArray *out = actions_new();
	int k;

	for (k = 0; k < KEYS; k++)
		request_tick(w, p, &h->requests[k], out);
	break_done(w, &h->sync);
	key_sync_tick(&h->sync, eligible(h), clock_of(w, p), out);
	h->sync.view.stable_since = stable_since;
	h->sync.view.read_sent = read_sent;
	act(w, p, out);
}

static void
proc_tick(world_t *w, int p)
{
	message_t m = {.from = p, .to = -1, .sent = clock_of(w, p)};
	proc_t *h = &w->procs[p];
	int i;

	m.kind = JOIN;
	if (h->sync.fresh.joined == 0)
		post(w, &m);
	m.kind = SCAN;
	m.since = keys_complete(&h->sync.keys);
	post(w, &m);
	m.kind = ASK;
	for (i = 0; i < w->nprocs; i++) {
		m.to = i;
		if (w->procs[i].self.host != h->self.host)
			post(w, &m);
	}
	withdrawals_run(w, p);
}

static key_sync_status_t
status_for(const world_t *w, int p, replica_t asker)
{
	const proc_t *h = &w->procs[p];
	key_sync_status_t status =
	    key_sync_answer(&h->sync, asker, clock_of(w, p));

	if (w->rules == BROKEN_MEMBER)
		status.scan_age =
		    freshness_scan_age(&h->sync.fresh, clock_of(w, p));
	if (w->rules == BROKEN_PROMISE)
		status.may_promise =
		    freshness_loaded(&h->sync.fresh, &h->sync.keys) &&
		    in_roster(h, asker);
	if (h->retiring[asker.host] == asker.incarnation)
		status.may_promise = FALSE;
	return status;
}

static void
at_peer(world_t *w, message_t *m)
{
	proc_t *h = &w->procs[m->to];
	replica_t asker = w->procs[m->from].self;
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(key_row_t));

	if (m->kind == ASK) {
		m->status = status_for(w, m->to, asker);
		m->knows = in_roster(h, asker);
	} else if (m->kind == NOTIFY) {
		key_sync_withdrawal_received(&h->sync, &w->digests[m->key]);
	} else {
		m->version = keys_delta(&h->sync.keys, m->since, 1, rows);
		m->ndelta = rows->len;
		if (rows->len > 0)
			memcpy(m->delta, rows->data,
			    rows->len * sizeof(key_row_t));
	}
	g_array_free(rows, TRUE);
	m->answer = TRUE;
	post(w, m);
}

static msec_t
basis_of(const world_t *w, const message_t *m)
{
	return w->rules == BROKEN_RECEIPT ? clock_of(w, m->from) : m->sent;
}

static guint
rows_of(const world_t *w, const message_t *m, key_row_t *rows)
{
	guint n = 0;
	int k;

	for (k = 0; k < KEYS; k++) {
		if (m->issued[k] > m->since)
			rows[n++] = (key_row_t){
			    w->digests[k], "w", m->issued[k], FALSE};
		if (m->withdrawn[k] > m->since)
			rows[n++] = (key_row_t){
			    w->digests[k], "w", m->withdrawn[k], TRUE};
	}
	return n;
}

static void
on_scan(world_t *w, const message_t *m)
{
	proc_t *h = &w->procs[m->from];
	key_row_t rows[2 * KEYS];
	replica_t roster[IDS];
	key_sync_scan_t scan = {.rows = rows, .roster = roster};
	uint32_t i;

	for (i = 0; i < IDS; i++) {
		if (m->roster[i] != 0)
			roster[scan.nroster++] = (replica_t){i, m->roster[i]};
		if (m->version >= h->sync.view_version)
			roster_set(h, i, m->roster[i]);
	}
	scan.nrows = rows_of(w, m, rows);
	scan.since = m->since;
	scan.upto = m->version;
	if (m->roster[h->self.host] == h->self.incarnation)
		scan.joined = m->rows[h->self.host];
	scan.sent = basis_of(w, m);
	key_sync_scanned(&h->sync, &scan, clock_of(w, m->from));
}

/* Records a basis that the broken rule would not have allowed. */
static void
break_sources(const world_t *w, key_sync_t *s, const message_t *m, msec_t since)
{
	if (w->rules == BROKEN_RELAY)
		freshness_relayed(
		    &s->fresh, &s->keys, m->sent, m->status.scan_age, 0);
	if (w->rules == BROKEN_REQUIRED) {
		s->fresh.required_version = 0;
		freshness_promised(&s->fresh, &s->keys, since);
	}
}

static void
on_answer(world_t *w, const message_t *m)
{
	proc_t *h = &w->procs[m->from];
	replica_t peer = w->procs[m->to].self;
	message_t fetch = {.kind = FETCH, .from = m->from, .to = m->to};
	msec_t since;

	if (in_roster(h, peer)) {
		h->acked[peer.host] = m->knows;
		if (m->status.may_promise)
			h->promised_at[peer.host] =
			    MAX(h->promised_at[peer.host], basis_of(w, m));
	}
	since = promised_since(h);
	fetch.since = keys_complete(&h->sync.keys);
	if (key_sync_on_answer(&h->sync, &m->status, basis_of(w, m), since))
		post(w, &fetch);
	break_sources(w, &h->sync, m, since);
}

static void
on_withdrawal(world_t *w, const message_t *m)
{
	proc_t *h = &w->procs[m->from];
	withdrawal_t *x = withdrawals_get(&h->sync.withdrawals, m->id);
	msec_t now = clock_of(w, m->from);
	GArray *out;

	if (x == NULL)
		return;
	out = actions_new();
	if (m->attempt == h->requests[m->key].attempt)
		h->requests[m->key].waiting = FALSE;
	if (m->kind == NOTIFY)
		withdrawal_confirmed(x, w->procs[m->to].self);
	else if (m->kind == WRITE)
		withdrawal_written(
		    x, m->attempt, m->result, m->version, now, out);
	else
		withdrawal_read(
		    x, m->attempt, m->target_row, m->version, now, out);
	act(w, m->from, out);
}

#endif
