#ifndef TESTS_FUZZ_ROSTER_MODEL_H
#define TESTS_FUZZ_ROSTER_MODEL_H

#include <stdint.h>
#include <string.h>

#include "coordination/roster.h"

/*
 * Three hosts, each a series of processes, a store and messages that are
 * delayed, duplicated, lost and reordered, driven by bytes. The oracle checks
 * only the promise: a process that holds unexpired promises of all its peers
 * knows of every write that has taken effect.
 */

#define NAMES 3
#define PROCS 12
#define MESSAGES 64
#define WRITES 60

/* Rules that the model can break, to check that the oracle notices. */
typedef enum {
	BREAK_NONE,
	BREAK_CLEAR,	/* write before promises have expired */
	BREAK_SEND,	/* count a promise from receipt of its answer */
	BREAK_ELIGIBLE, /* write before all others have acknowledged */
	BREAK_HOLD,	/* promise while a write is in progress */
	BREAK_RETIRE,	/* delete a silent host's row at once */
	BREAK_KNOWN,	/* promise to a host that has missed a write */
} model_break_t;

typedef enum {
	MSG_ASK,
	MSG_REPLY,
	MSG_SCAN,
	MSG_NOTIFY,
	MSG_CONFIRM,
	MSG_WRITE,
	MSG_RETIRE,
	MSG_DEPARTURE,
} msg_kind_t;

typedef struct {
	gboolean present;
	uint64_t incarnation;
} store_row_t;

typedef struct {
	store_row_t rows[NAMES];
	uint64_t head;
	uint64_t writes; /* bit set of the writes in effect */
	gboolean down;
} model_store_t;

typedef struct {
	msg_kind_t kind;
	int from; /* process */
	int to;	  /* name */
	uint64_t sequence, incarnation;
	msec_t sent_at;
	roster_reply_t reply;
	model_store_t store; /* as scanned */
	uint64_t write;
	uint64_t known; /* of the sender */
} msg_t;

typedef struct {
	gboolean alive, paused;
	int name;
	roster_t roster;
	uint64_t incarnation, sequence;
	msec_t basis;	/* latest time from which its promises count */
	uint64_t known; /* bit set of writes, also if only notified */
	uint64_t seen;	/* bit set of writes known to be in effect */
	uint64_t write; /* the write in progress; 0: none */
	uint64_t confirmed[NAMES];
	uint64_t peer_known[NAMES];
	uint64_t peer_incarnation[NAMES];
} proc_t;

typedef struct {
	msec_t now;
	model_break_t broken;
	model_store_t store;
	proc_t procs[PROCS];
	int n_procs;
	msg_t messages[MESSAGES];
	int n_messages;
	int n_writes;
	int effective; /* writes that took effect */
	int promised;  /* checks of a process that held promises */
	gboolean violated;
} model_t;

static const char *const model_names[NAMES] = {"a", "b", "c"};

static roster_row_t
model_row(int name, uint64_t incarnation)
{
	roster_row_t row = {
	    model_names[name], incarnation, HOST_LIVE, "127.0.0.1:1", "r", "d"};

	return row;
}

static void
model_send(model_t *m, const msg_t *msg)
{
	if (m->n_messages < MESSAGES)
		m->messages[m->n_messages++] = *msg;
}

/* The process that listens at a host's address: the newest that is alive. */
static proc_t *
model_listener(model_t *m, int name)
{
	int i;

	for (i = m->n_procs - 1; i >= 0; i--) {
		if (m->procs[i].alive && m->procs[i].name == name)
			return &m->procs[i];
	}
	return NULL;
}

static void
model_join(model_t *m, int name)
{
	roster_row_t row;
	proc_t *p;

	if (m->store.down || m->n_procs == PROCS)
		return;
	p = &m->procs[m->n_procs++];
	memset(p, 0, sizeof(*p));
	p->alive = TRUE;
	p->name = name;
	p->incarnation = ++m->store.head;
	p->basis = ROSTER_NEVER;
	m->store.rows[name].present = TRUE;
	m->store.rows[name].incarnation = p->incarnation;
	row = model_row(name, p->incarnation);
	roster_init(&p->roster, &row);
}

static void
model_ask(model_t *m, int from)
{
	proc_t *p = &m->procs[from];
	msg_t msg = {.kind = MSG_ASK, .from = from, .sent_at = m->now};
	int to;

	msg.sequence = ++p->sequence;
	msg.known = p->known;
	for (to = 0; to < NAMES; to++) {
		msg.to = to;
		if (roster_find(&p->roster, model_names[to]) != HOST_NONE)
			model_send(m, &msg);
	}
}

static void
model_scan(model_t *m, int from)
{
	msg_t msg = {.kind = MSG_SCAN, .from = from, .store = m->store};

	if (!m->store.down)
		model_send(m, &msg);
}

static void
model_begin_write(model_t *m, int from)
{
	proc_t *p = &m->procs[from];
	msg_t msg = {.kind = MSG_NOTIFY, .from = from};
	int to;

	if (p->write == 0 && m->n_writes < WRITES) {
		p->write = UINT64_C(1) << m->n_writes++;
		p->known |= p->write;
		memset(p->confirmed, 0, sizeof(p->confirmed));
	}
	msg.write = p->write;
	for (to = 0; to < NAMES; to++) {
		msg.to = to;
		if (to != p->name)
			model_send(m, &msg);
	}
}

static gboolean
model_write_clear(const model_t *m, const proc_t *p)
{
	const roster_host_t *h;
	gboolean confirmed;
	host_id_t id;
	int i;

	if (m->broken != BREAK_ELIGIBLE && !roster_eligible(&p->roster, m->now))
		return FALSE;
	for (i = 0; i < NAMES; i++) {
		id = roster_find(&p->roster, model_names[i]);
		if (i == p->name || id == HOST_NONE || m->broken == BREAK_CLEAR)
			continue;
		h = roster_host(&p->roster, id);
		confirmed = p->confirmed[i] == h->incarnation;
		if (m->now < roster_promises_end_at(&p->roster, id, confirmed))
			return FALSE;
	}
	return TRUE;
}

static void
model_write(model_t *m, int from)
{
	msg_t msg = {.kind = MSG_WRITE, .from = from};

	msg.write = m->procs[from].write;
	if (msg.write != 0 && model_write_clear(m, &m->procs[from]))
		model_send(m, &msg);
}

static void
model_retire(model_t *m, int from, int to)
{
	proc_t *p = &m->procs[from];
	msg_t msg = {.kind = MSG_RETIRE, .from = from, .to = to};
	host_id_t id = roster_find(&p->roster, model_names[to]);

	roster_tick(&p->roster, m->now);
	if (id == HOST_NONE || id == p->roster.self)
		return;
	msg.incarnation = roster_host(&p->roster, id)->incarnation;
	if (!roster_may_retire(&p->roster, id, m->now) &&
	    m->broken != BREAK_RETIRE)
		return;
	roster_retire_sent(&p->roster, id);
	model_send(m, &msg);
}

/* Whether this incarnation of a peer has shown that it knows all writes that
 * this process has seen. */
static gboolean
model_peer_knows(
    const model_t *m, const proc_t *p, int name, uint64_t incarnation)
{
	if (m->broken == BREAK_KNOWN)
		return TRUE;
	return p->peer_incarnation[name] == incarnation &&
	    (p->seen & ~p->peer_known[name]) == 0;
}

static void
model_depart(model_t *m, int from)
{
	proc_t *p = &m->procs[from];
	msg_t msg = {.kind = MSG_DEPARTURE, .from = from};
	store_row_t *row = &m->store.rows[p->name];
	host_id_t id;

	if (p->write != 0)
		return;
	if (!m->store.down && row->incarnation == p->incarnation)
		row->present = FALSE;
	msg.incarnation = p->incarnation;
	for (msg.to = 0; msg.to < NAMES; msg.to++) {
		id = roster_find(&p->roster, model_names[msg.to]);
		if (id != HOST_NONE &&
		    model_peer_knows(
			m, p, msg.to, roster_host(&p->roster, id)->incarnation))
			model_send(m, &msg);
	}
	p->alive = FALSE;
}

static void
deliver_ask(model_t *m, const msg_t *msg, proc_t *to)
{
	const proc_t *p = &m->procs[msg->from];
	roster_row_t row = model_row(p->name, p->incarnation);
	gboolean may_promise = to->write == 0 || m->broken == BREAK_HOLD ||
	    to->confirmed[p->name] == p->incarnation;
	msg_t out = *msg;

	if (p->incarnation >= to->peer_incarnation[p->name]) {
		to->peer_incarnation[p->name] = p->incarnation;
		to->peer_known[p->name] = msg->known;
	}
	may_promise =
	    may_promise && model_peer_knows(m, to, p->name, p->incarnation);

	roster_on_request(
	    &to->roster, &row, msg->sequence, may_promise, m->now, &out.reply);
	out.kind = MSG_REPLY;
	model_send(m, &out);
}

static void
deliver_reply(model_t *m, const msg_t *msg)
{
	proc_t *p = &m->procs[msg->from];
	msec_t sent_at = m->broken == BREAK_SEND ? m->now : msg->sent_at;
	host_id_t id = roster_find(&p->roster, model_names[msg->to]);

	roster_on_reply(&p->roster, id, &msg->reply, sent_at, m->now);
}

static void
deliver_scan(model_t *m, const msg_t *msg)
{
	proc_t *p = &m->procs[msg->from];
	roster_row_t row;
	int i;

	roster_scan_begin(&p->roster);
	for (i = 0; i < NAMES; i++) {
		row = model_row(i, msg->store.rows[i].incarnation);
		if (msg->store.rows[i].present)
			roster_row(&p->roster, &row, 0, m->now);
	}
	roster_scan_end(&p->roster, msg->store.head, m->now);
	p->known |= msg->store.writes;
	p->seen |= msg->store.writes;
}

static void
deliver_write(model_t *m, const msg_t *msg)
{
	proc_t *p = &m->procs[msg->from];
	const store_row_t *own = &m->store.rows[p->name];

	if (own->present && own->incarnation == p->incarnation) {
		m->effective += (m->store.writes & msg->write) == 0;
		m->store.writes |= msg->write;
	}
	if (p->write == msg->write) {
		p->seen |= p->write;
		p->write = 0;
	}
}

static void
deliver_retire(model_t *m, const msg_t *msg)
{
	const proc_t *p = &m->procs[msg->from];
	const store_row_t *own = &m->store.rows[p->name];
	store_row_t *row = &m->store.rows[msg->to];

	if (own->present && own->incarnation == p->incarnation &&
	    row->incarnation == msg->incarnation)
		row->present = FALSE;
}

/* Delivers a message. Return: FALSE if its receiver is unreachable. */
static gboolean
model_deliver(model_t *m, const msg_t *msg)
{
	proc_t *from = &m->procs[msg->from];
	proc_t *to = model_listener(m, msg->to);
	msg_t out = *msg;

	switch (msg->kind) {
	case MSG_ASK:
		if (to == NULL || to->paused)
			return FALSE;
		deliver_ask(m, msg, to);
		return TRUE;
	case MSG_NOTIFY:
		if (to == NULL || to->paused)
			return FALSE;
		to->known |= msg->write;
		out.kind = MSG_CONFIRM;
		out.incarnation = to->incarnation;
		model_send(m, &out);
		return TRUE;
	case MSG_DEPARTURE:
		if (to == NULL || to->paused)
			return FALSE;
		roster_gone(&to->roster, model_names[from->name],
		    msg->incarnation, m->now);
		return TRUE;
	case MSG_REPLY:
	case MSG_SCAN:
	case MSG_CONFIRM:
		if (!from->alive || from->paused)
			return FALSE;
		if (msg->kind == MSG_REPLY)
			deliver_reply(m, msg);
		else if (msg->kind == MSG_SCAN)
			deliver_scan(m, msg);
		else if (from->write == msg->write)
			from->confirmed[msg->to] = msg->incarnation;
		return TRUE;
	case MSG_WRITE:
	case MSG_RETIRE:
		if (m->store.down)
			return FALSE;
		if (msg->kind == MSG_WRITE)
			deliver_write(m, msg);
		else
			deliver_retire(m, msg);
		return TRUE;
	}
	return FALSE;
}

static void
model_remove_message(model_t *m, int i)
{
	m->n_messages--;
	memmove(&m->messages[i], &m->messages[i + 1],
	    (size_t)(m->n_messages - i) * sizeof(msg_t));
}

static void
model_check(model_t *m)
{
	msec_t since;
	proc_t *p;
	int i;

	for (i = 0; i < m->n_procs; i++) {
		p = &m->procs[i];
		if (!p->alive)
			continue;
		since = roster_promised_since(&p->roster);
		if (!p->paused)
			p->basis = MAX(p->basis, since);
		if (roster_superseded(&p->roster) || p->basis == ROSTER_NEVER ||
		    m->now - p->basis >= ROSTER_PROMISE_MS)
			continue;
		m->promised++;
		if ((m->store.writes & ~p->known) != 0)
			m->violated = TRUE;
	}
}

/* Rounds without faults: all hosts send requests, delivered in order. */
static void
model_calm(model_t *m, int rounds)
{
	msg_t msg;
	int i, left;

	while (rounds-- > 0) {
		m->now += ROSTER_PROMISE_MS / 4;
		for (i = 0; i < m->n_procs; i++) {
			if (!m->procs[i].alive || m->procs[i].paused)
				continue;
			model_scan(m, i);
			model_ask(m, i);
		}
		for (left = 4 * MESSAGES; m->n_messages > 0 && left > 0;
		     left--) {
			msg = m->messages[0];
			model_remove_message(m, 0);
			model_deliver(m, &msg);
			model_check(m);
		}
	}
}

static void
model_listed(model_t *m, int without)
{
	const char *names[NAMES];
	size_t n = 0;
	int i;

	for (i = 0; i < NAMES; i++) {
		if (i != without)
			names[n++] = model_names[i];
	}
	for (i = 0; i < m->n_procs; i++) {
		if (m->procs[i].alive)
			roster_listed(&m->procs[i].roster, names, n);
	}
}

static void
model_message(model_t *m, int op, int arg)
{
	msg_t msg;
	int i;

	if (m->n_messages == 0)
		return;
	i = arg % m->n_messages;
	msg = m->messages[i];
	if (op != 3)
		model_remove_message(m, i);
	if (op != 4)
		model_deliver(m, &msg);
}

static void
model_proc_event(model_t *m, int op, int i, int arg)
{
	proc_t *p = &m->procs[i];

	if (!p->alive)
		return;
	if (op == 5) {
		p->paused = !p->paused;
		return;
	}
	if (op == 6) {
		p->alive = FALSE;
		return;
	}
	if (p->paused)
		return;
	if (op == 1)
		model_ask(m, i);
	else if (op == 8)
		model_scan(m, i);
	else if (op == 9)
		model_begin_write(m, i);
	else if (op == 10)
		model_write(m, i);
	else if (op == 11)
		model_retire(m, i, arg / PROCS % NAMES);
	else if (op == 12)
		model_depart(m, i);
}

static void
model_event(model_t *m, int op, int arg)
{
	switch (op) {
	case 0:
		m->now += arg * 8;
		break;
	case 2:
	case 3:
	case 4:
		model_message(m, op, arg);
		break;
	case 7:
		model_join(m, arg % NAMES);
		break;
	case 13:
		m->store.down = !m->store.down;
		break;
	case 14:
		model_listed(m, arg % (NAMES + 1));
		m->now += SILENT_MS / 2;
		break;
	case 15:
		model_calm(m, 1 + arg % 8);
		break;
	default:
		if (m->n_procs > 0)
			model_proc_event(m, op, arg % m->n_procs, arg);
	}
	model_check(m);
}

/**
 * model_run() - Drive the hosts by bytes.
 * @m: memory of the caller; holds the counts and the verdict afterwards
 * @broken: rule to break
 * @data: pairs of event and argument
 * @size: bytes
 */
static void
model_run(model_t *m, model_break_t broken, const uint8_t *data, size_t size)
{
	size_t i;

	memset(m, 0, sizeof(*m));
	m->broken = broken;
	m->now = 1000;
	for (i = 0; i < NAMES; i++)
		model_join(m, (int)i);
	model_calm(m, 6);
	for (i = 0; i + 1 < size && !m->violated; i += 2)
		model_event(m, data[i] % 16, data[i + 1]);
	for (i = 0; i < (size_t)m->n_procs; i++)
		roster_finish(&m->procs[i].roster);
}

#endif
