#ifndef FUZZ_CONFIG_HOSTS_H
#define FUZZ_CONFIG_HOSTS_H

#include "coordination/apply.h"
#include "coordination/config_sync.h"

/* The fake store and the hosts, which run the modules under test. */

enum {
	HOSTS = 3,
	APPLIES = 6,
	MESSAGES = 96,
	VERSIONS = 16,
	OPS = 96
};

#define STORE_LIMIT_MS 400

/* Rules that a self-test breaks to check that the oracle notices. */
typedef enum {
	RULES_KEPT,
	BROKEN_LOST,	  /* a lost answer counts as no effect */
	BROKEN_READ_BACK, /* the token is read back at the head */
	BROKEN_LOWER,	  /* a host forgets its version in force */
	BROKEN_DIGEST,	  /* a text's digest is not verified */
	BROKEN_COUNT,	  /* every host counts as up to date */
} rules_t;

typedef enum {
	PUT,
	WRITE,
	READ,
	HEAD,
	PEER_VERSION,
	FETCH_PEER,
	FETCH_STORE
} kind_t;

typedef struct {
	kind_t kind;
	gboolean answer, ok;
	int from, to;	      /* asking host; asked host, or -1 for the store */
	uint64_t incarnation; /* of the asking host */
	int apply;
	uint32_t attempt;
	write_result_t result;
	apply_rows_t rows;
	config_ref_t ref;
	uint64_t text; /* token of its apply, in place of bytes */
} message_t;

typedef struct {
	gboolean paused;
	uint64_t incarnation, text;
	config_sync_t config_sync;
} host_t;

typedef struct {
	int host;
	uint64_t incarnation;
	apply_t a;
	gboolean waiting, write, conflict, failed, effect;
	msec_t limit;
} task_t;

typedef struct {
	rules_t rules;
	msec_t now;
	gboolean store_up, silent, cut[HOSTS];
	gboolean garbled;		 /* fetched texts are wrong */
	uint64_t head, tokens[VERSIONS]; /* token of each version's apply */
	host_t hosts[HOSTS];
	task_t tasks[APPLIES + 2]; /* the index starts at 1 */
	int ntasks;
	message_t messages[MESSAGES];
	int nmessages;
	const char *violation;
} world_t;

#include "net.h"

static void
ask(world_t *w, message_t m)
{
	m.incarnation = w->hosts[m.from].incarnation;
	post(w, &m);
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
			    w->hosts[i].config_sync.in_force.version >=
				t->a.version,
			    "reported in force, but not on every host");
		break;
	case APPLY_ACCEPTED:
		verify(w, token == t->a.token,
		    "reported accepted, but not stored");
		break;
	case APPLY_CONFLICT:
		verify(w, t->a.head_version != t->a.base,
		    "conflict with its own write");
		t->conflict = TRUE;
		break;
	case APPLY_FAILED:
		t->failed = TRUE;
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
	message_t m = {.from = t->host, .to = -1};
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
		ask(w, m);
	}
	g_array_free(out, TRUE);
}

static void
fetch(world_t *w, int host, GArray *out)
{
	message_t m = {.from = host};
	const config_sync_action_t *a;
	guint i;

	for (i = 0; i < out->len; i++) {
		a = &g_array_index(out, config_sync_action_t, i);
		m.kind = a->kind == CONFIG_SYNC_FETCH_PEER ? FETCH_PEER
							   : FETCH_STORE;
		m.to = m.kind == FETCH_PEER ? (int)a->peer.host : -1;
		m.attempt = a->attempt;
		m.ref = a->ref;
		ask(w, m);
	}
	g_array_free(out, TRUE);
}

/* Begins an operator's change; a token used before means a repeated request. */
static void
apply_new(world_t *w, int host, uint64_t base, uint64_t token)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(apply_action_t));
	config_ref_t ref = ref_of(base + 1, token);
	task_t *t = &w->tasks[w->ntasks + 1];

	if (w->ntasks == APPLIES || base + 1 >= VERSIONS) {
		g_array_free(out, TRUE);
		return;
	}
	w->ntasks++;
	t->host = host;
	t->incarnation = w->hosts[host].incarnation;
	apply_begin(
	    &t->a, (uint32_t)w->ntasks, base, &ref.digest, token, w->now, out);
	act(w, t, out);
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
			    w->rules == BROKEN_LOST ? WRITE_UNREACHABLE
						    : WRITE_LOST,
			    w->now, out);
		else
			apply_read(
			    &t->a, t->a.commit.attempt, NULL, w->now, out);
	}
	for (i = 0; i < HOSTS; i++)
		live[i] = (replica_t){i, w->hosts[i].incarnation};
	in_force = w->rules == BROKEN_COUNT
	    ? HOSTS
	    : progress_count(&w->hosts[t->host].config_sync.peers, live, HOSTS,
		  t->a.version);
	apply_tick(&t->a, in_force, HOSTS, w->now, out);
	act(w, t, out);
}

static void
host_tick(world_t *w, int i)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(config_sync_action_t));
	host_t *h = &w->hosts[i];
	message_t m = {.kind = HEAD, .from = i, .to = -1};
	int t;

	ask(w, m);
	m.kind = PEER_VERSION;
	for (m.to = 0; m.to < HOSTS; m.to++)
		ask(w, m);
	config_sync_tick(&h->config_sync, w->now, out);
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
	w->tasks[m->apply].effect = TRUE;
	m->result = WRITE_WON;
}

static void
store_read(const world_t *w, message_t *m)
{
	uint64_t version = w->tasks[m->apply].a.version;

	if (w->rules == BROKEN_READ_BACK)
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
		m.result = WRITE_UNREACHABLE;
	} else if (m.kind == WRITE) {
		store_write(w, &m);
	} else if (m.kind == READ) {
		store_read(w, &m);
	} else if (m.kind == HEAD) {
		m.ref = ref_of(w->head, w->tokens[w->head]);
	}
	post(w, &m);
}

static void
at_peer(world_t *w, message_t m)
{
	const host_t *h = &w->hosts[m.to];

	m.answer = TRUE;
	m.ok = TRUE;
	m.text = h->text + (w->garbled ? 1 : 0);
	if (m.kind == PEER_VERSION)
		m.ref = h->config_sync.in_force;
	m.rows.head = h->incarnation;
	post(w, &m);
}

/* Applies a fetched text. The token in it stands for its bytes. */
static void
on_text(world_t *w, const message_t *m)
{
	host_t *h = &w->hosts[m->from];
	uint64_t before = h->config_sync.in_force.version;
	config_ref_t ref;
	gboolean fetched;

	if (w->rules == BROKEN_DIGEST && m->text != 0)
		h->config_sync.wanted = ref_of(m->ref.version, m->text);
	fetched = config_sync_fetched(&h->config_sync, m->attempt, &m->text,
	    sizeof(m->text), w->now, &ref);
	if (!fetched || !config_sync_parsed(&h->config_sync, &ref, TRUE))
		return;
	h->text = m->text;
	verify(w, ref.version > before, "a lower version came into force");
	verify(w, w->tokens[ref.version] == m->text,
	    "text in force is not the accepted one");
}

static void
on_ref(world_t *w, const message_t *m)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(config_sync_action_t));
	config_sync_t *s = &w->hosts[m->from].config_sync;
	uint64_t before = s->in_force.version;

	if (w->rules == BROKEN_LOWER && m->ref.version != 0) {
		s->in_force.version = 0;
		s->wanted.version = 0;
	}
	if (m->kind == PEER_VERSION)
		config_sync_peer_version(s,
		    (replica_t){(uint32_t)m->to, m->rows.head}, m->ref.version);
	verify(w, !m->ok || config_sync_learn(s, &m->ref, w->now, out),
	    "two texts for one version");
	verify(
	    w, s->in_force.version >= before, "version in force was lowered");
	fetch(w, m->from, out);
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

#endif
