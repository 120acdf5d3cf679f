#ifndef FUZZ_CONFIG_WORLD_H
#define FUZZ_CONFIG_WORLD_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/apply.h"
#include "coordination/confspread.h"

/*
 * Hosts that follow the configuration and operators who change it, over a
 * fake store and network, driven by bytes. The oracle knows the promise: what
 * is reported of a change is so and stays so, one change follows a base, and
 * no host goes back.
 */

enum {
	HOSTS = 3,
	APPLIES = 6,
	MESSAGES = 96,
	VERSIONS = 16,
	OPS = 96
};

#define STORE_LIMIT_MS 400

/* Rules that a self-test breaks, to see that the oracle notices. */
typedef enum {
	RULES_KEPT,
	BROKEN_LOST,   /* a lost answer is taken for no effect */
	BROKEN_PLACE,  /* only the head's token is read back */
	BROKEN_LOWER,  /* a host forgets what it has in force */
	BROKEN_DIGEST, /* a text's digest is not verified */
	BROKEN_COUNT,  /* every host counts as having it in force */
} rules_t;

typedef enum {
	PUT,
	WRITE,
	READ,
	HEAD,
	TELL,
	FETCH_PEER,
	FETCH_STORE
} kind_t;

typedef struct {
	kind_t kind;
	gboolean answer, ok;
	int host, peer;	      /* who asks; of whom, or -1 for the store */
	uint64_t incarnation; /* of who asks */
	int apply;
	uint32_t attempt;
	write_result_t result;
	apply_rows_t rows;
	config_ref_t ref;
	uint64_t text; /* number of the apply that brought it */
} message_t;

typedef struct {
	gboolean paused;
	uint64_t incarnation, text;
	confspread_t spread;
} host_t;

typedef struct {
	int host;
	uint64_t incarnation;
	apply_t a;
	gboolean waiting, write, refused;
	msec_t limit;
} task_t;

typedef struct {
	rules_t rules;
	msec_t now;
	gboolean store_up, silent, cut[HOSTS];
	gboolean garbled;		 /* texts are not those asked for */
	uint64_t head, tokens[VERSIONS]; /* token: number of the apply */
	host_t hosts[HOSTS];
	task_t tasks[APPLIES + 1];
	int ntasks;
	message_t messages[MESSAGES];
	int nmessages;
	const char *violation;
} world_t;

static void
verify(world_t *w, gboolean holds, const char *what)
{
	if (!holds && w->violation == NULL)
		w->violation = what;
}

static void
post(world_t *w, message_t m)
{
	if (w->nmessages == MESSAGES)
		return;
	m.incarnation = w->hosts[m.host].incarnation;
	w->messages[w->nmessages++] = m;
}

static config_ref_t
ref_of(uint64_t version, uint64_t text)
{
	config_ref_t ref = {.version = version};

	digest_of(&text, sizeof(text), &ref.digest);
	return ref;
}

static void
on_report(world_t *w, task_t *t, apply_state_t state)
{
	uint64_t token = w->tokens[t->a.version];
	int i;

	switch (state) {
	case APPLY_IN_FORCE:
		for (i = 0; i < HOSTS; i++)
			verify(w,
			    w->hosts[i].spread.in_force.version >= t->a.version,
			    "in force, not everywhere");
		break;
	case APPLY_ACCEPTED:
		verify(w, token == t->a.token, "accepted, but it is not");
		break;
	case APPLY_CONFLICT:
		verify(w, t->a.theirs != t->a.base, "conflict with itself");
		t->refused = TRUE;
		break;
	case APPLY_FAILED:
		t->refused = TRUE;
		break;
	case APPLY_WRITING:
	case APPLY_UNKNOWN:
		break;
	}
}

static void
act(world_t *w, task_t *t, GArray *out)
{
	static const kind_t kinds[] = {PUT, WRITE, READ};
	message_t m = {.host = t->host, .peer = -1};
	const apply_action_t *a;
	guint i;

	for (i = 0; i < out->len; i++) {
		a = &g_array_index(out, apply_action_t, i);
		if (a->kind == APPLY_REPORT) {
			on_report(w, t, a->u.state);
			continue;
		}
		m.kind = kinds[a->kind];
		m.apply = (int)a->id;
		m.attempt = a->u.attempt;
		t->waiting = TRUE;
		t->write = a->kind == APPLY_WRITE;
		t->limit = w->now + STORE_LIMIT_MS;
		post(w, m);
	}
	g_array_free(out, TRUE);
}

static void
fetch(world_t *w, int host, GArray *out)
{
	message_t m = {.host = host};
	const confspread_action_t *a;
	guint i;

	for (i = 0; i < out->len; i++) {
		a = &g_array_index(out, confspread_action_t, i);
		m.kind =
		    a->kind == CONFSPREAD_FETCH_PEER ? FETCH_PEER : FETCH_STORE;
		m.peer = m.kind == FETCH_PEER ? (int)a->peer.host : -1;
		m.attempt = a->attempt;
		m.ref = a->ref;
		post(w, m);
	}
	g_array_free(out, TRUE);
}

static void
apply_new(world_t *w, int host, uint64_t base)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(apply_action_t));
	config_ref_t ref;
	task_t *t;

	if (w->ntasks < APPLIES && base + 1 < VERSIONS) {
		t = &w->tasks[++w->ntasks];
		t->host = host;
		t->incarnation = w->hosts[host].incarnation;
		ref = ref_of(base + 1, (uint64_t)w->ntasks);
		apply_begin(&t->a, (uint32_t)w->ntasks, base, &ref.digest,
		    (uint64_t)w->ntasks, w->now, out);
		act(w, t, out);
	} else {
		g_array_free(out, TRUE);
	}
}

static void
task_tick(world_t *w, task_t *t)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(apply_action_t));
	replica_t live[HOSTS];
	uint32_t i;
	guint in_force;

	if (t->waiting && w->now >= t->limit) {
		t->waiting = FALSE;
		if (!t->a.uploaded)
			apply_put_done(&t->a, FALSE, w->now, out);
		else if (t->write)
			apply_written(&t->a, t->a.commit.attempt,
			    w->rules == BROKEN_LOST ? WRITE_DOWN : WRITE_LOST,
			    w->now, out);
		else
			apply_read(
			    &t->a, t->a.commit.attempt, NULL, w->now, out);
	}
	for (i = 0; i < HOSTS; i++)
		live[i] = (replica_t){i, w->hosts[i].incarnation};
	in_force = w->rules == BROKEN_COUNT
	    ? HOSTS
	    : progress_count(
		  &w->hosts[t->host].spread.peers, live, HOSTS, t->a.version);
	apply_tick(&t->a, in_force, HOSTS, w->now, out);
	act(w, t, out);
}

static void
host_tick(world_t *w, int i)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(confspread_action_t));
	host_t *h = &w->hosts[i];
	message_t m = {.kind = HEAD, .host = i, .peer = -1};
	int t;

	post(w, m);
	m.kind = TELL;
	for (m.peer = 0; m.peer < HOSTS; m.peer++)
		post(w, m);
	confspread_tick(&h->spread, w->now, out);
	fetch(w, i, out);
	for (t = 1; t <= w->ntasks; t++) {
		if (w->tasks[t].host == i &&
		    w->tasks[t].incarnation == h->incarnation)
			task_tick(w, &w->tasks[t]);
	}
}

static void
store_write(world_t *w, message_t *m)
{
	const apply_t *a = &w->tasks[m->apply].a;

	m->result = WRITE_CONFLICT;
	if (w->head != a->base)
		return;
	w->head = a->version;
	w->tokens[w->head] = a->token;
	m->result = WRITE_WON;
}

static void
store_read(const world_t *w, message_t *m)
{
	uint64_t version = w->tasks[m->apply].a.version;

	if (w->rules == BROKEN_PLACE)
		version = MAX(version, w->head);
	m->rows.head = w->head;
	m->rows.token = w->tokens[version];
	m->rows.taken = m->rows.token != 0;
}

static void
at_store(world_t *w, message_t m)
{
	m.answer = TRUE;
	m.ok = w->store_up;
	if (m.kind == FETCH_STORE)
		m.text = w->tokens[m.ref.version] + (w->garbled ? 1 : 0);
	if (!w->store_up) {
		if (w->silent || m.kind == READ)
			return;
		m.result = WRITE_DOWN;
	} else if (m.kind == WRITE) {
		store_write(w, &m);
	} else if (m.kind == READ) {
		store_read(w, &m);
	} else if (m.kind == HEAD) {
		m.ref = ref_of(w->head, w->tokens[w->head]);
	}
	post(w, m);
}

static void
at_peer(world_t *w, message_t m)
{
	const host_t *h = &w->hosts[m.peer];

	m.answer = TRUE;
	m.ok = TRUE;
	m.text = h->text + (w->garbled ? 1 : 0);
	if (m.kind == TELL)
		m.ref = h->spread.in_force;
	m.rows.head = h->incarnation;
	post(w, m);
}

/* The number that a text holds stands for its bytes. */
static void
on_text(world_t *w, const message_t *m)
{
	host_t *h = &w->hosts[m->host];
	uint64_t before = h->spread.in_force.version;
	config_ref_t ref;
	gboolean fetched;

	if (w->rules == BROKEN_DIGEST && m->text != 0)
		h->spread.wanted = ref_of(m->ref.version, m->text);
	fetched = confspread_fetched(
	    &h->spread, m->attempt, &m->text, sizeof(m->text), w->now, &ref);
	if (!fetched || !confspread_parsed(&h->spread, &ref, TRUE))
		return;
	h->text = m->text;
	verify(w, ref.version > before, "a lower version in force");
	verify(w, w->tokens[ref.version] == m->text, "not what was accepted");
}

static void
on_ref(world_t *w, const message_t *m)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(confspread_action_t));
	confspread_t *s = &w->hosts[m->host].spread;
	uint64_t before = s->in_force.version;

	if (w->rules == BROKEN_LOWER && m->ref.version != 0) {
		s->in_force.version = 0;
		s->wanted.version = 0;
	}
	if (m->kind == TELL)
		confspread_peer(s, (replica_t){(uint32_t)m->peer, m->rows.head},
		    m->ref.version);
	verify(w, !m->ok || confspread_learn(s, &m->ref, w->now, out),
	    "two texts of one version");
	verify(w, s->in_force.version >= before, "a version forgotten");
	fetch(w, m->host, out);
}

static void
on_apply(world_t *w, const message_t *m)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(apply_action_t));
	task_t *t = &w->tasks[m->apply];

	if (m->attempt == t->a.commit.attempt)
		t->waiting = FALSE;
	if (m->kind == PUT)
		apply_put_done(&t->a, m->ok, w->now, out);
	else if (m->kind == WRITE)
		apply_written(&t->a, m->attempt, m->result, w->now, out);
	else
		apply_read(&t->a, m->attempt, &m->rows, w->now, out);
	act(w, t, out);
}

static void
deliver(world_t *w, message_t m)
{
	gboolean cut = w->cut[m.host] || (m.peer >= 0 && w->cut[m.peer]);
	int at = m.answer ? m.host : m.peer;

	if (m.answer && m.incarnation != w->hosts[m.host].incarnation)
		return;
	if ((cut && m.peer != m.host) || (at >= 0 && w->hosts[at].paused))
		return;
	if (!m.answer && m.peer < 0)
		at_store(w, m);
	else if (!m.answer)
		at_peer(w, m);
	else if (m.kind <= READ)
		on_apply(w, &m);
	else if (m.kind == HEAD || m.kind == TELL)
		on_ref(w, &m);
	else
		on_text(w, &m);
}

/* A request to the store goes over one TCP connection: never doubled. */
static void
deliver_at(world_t *w, int i, gboolean twice)
{
	message_t m = w->messages[i];

	if (!twice || (m.peer < 0 && !m.answer)) {
		w->nmessages--;
		w->messages[i] = w->messages[w->nmessages];
	}
	deliver(w, m);
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
round_of(world_t *w)
{
	int i, n, hops;

	w->now += 200;
	tick_all(w);
	for (hops = 0; hops < 4; hops++) {
		n = w->nmessages;
		for (i = 0; i < n; i++)
			deliver(w, w->messages[i]);
		w->nmessages -= n;
		memmove(w->messages, w->messages + n,
		    (size_t)w->nmessages * sizeof(message_t));
	}
}

static void
host_restart(host_t *h)
{
	confspread_finish(&h->spread);
	confspread_init(&h->spread);
	h->incarnation++;
	h->text = 0;
	h->paused = FALSE;
}

static void
judge(world_t *w)
{
	const task_t *t;
	int i;

	for (i = 1; i <= w->ntasks; i++) {
		t = &w->tasks[i];
		verify(w, !t->refused || w->tokens[t->a.version] != t->a.token,
		    "refused, yet it took effect");
	}
}

/* Carries out one event. */
static void
world_step(world_t *w, uint8_t op, uint8_t arg)
{
	int h = arg % HOSTS, i;

	switch (op % 13) {
	case 0: /* fall through */
	case 1:
		for (i = 0; i <= arg % 8; i++)
			round_of(w);
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
			deliver_at(w, arg % w->nmessages, op % 13 == 5);
		break;
	case 6: /* fall through */
	case 7:
		apply_new(w, h, w->head - MIN(w->head, arg / HOSTS % 2));
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
		w->garbled = !w->garbled;
		break;
	}
	judge(w);
}

static void
world_init(world_t *w, rules_t rules)
{
	int i;

	memset(w, 0, sizeof(*w));
	w->rules = rules;
	w->store_up = TRUE;
	for (i = 0; i < HOSTS; i++) {
		confspread_init(&w->hosts[i].spread);
		w->hosts[i].incarnation = 1;
	}
}

static void
world_finish(world_t *w)
{
	int i;

	for (i = 0; i < HOSTS; i++)
		confspread_finish(&w->hosts[i].spread);
}

/* Runs a whole input; returns what was violated, or NULL. */
static const char *
world_run(const uint8_t *data, size_t size, rules_t rules)
{
	world_t *w = g_new(world_t, 1);
	const char *violation;
	size_t i;

	world_init(w, rules);
	for (i = 0; i + 1 < size && i < 2 * OPS && w->violation == NULL; i += 2)
		world_step(w, data[i], data[i + 1]);
	violation = w->violation;
	world_finish(w);
	g_free(w);
	return violation;
}

#endif
