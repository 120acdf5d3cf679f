#ifndef FUZZ_KEYS_STORE_H
#define FUZZ_KEYS_STORE_H

#include "coordination/key_sync.h"

/* The types of the fuzzed world, its fake store and its messages. */

enum {
	IDS = 3,
	KEYS = 2,
	PROCS = 6,
	MESSAGES = 160,
	OPS = 64
};

#define PROMISE_MS 5000
#define STORE_LIMIT_MS 400

/* Rules that a self-test breaks to check that the oracle notices. */
typedef enum {
	RULES_KEPT,
	BROKEN_PROMISE,	  /* promises to hosts that have not confirmed */
	BROKEN_RECEIPT,	  /* a basis counts from receipt of the answer */
	BROKEN_RELAY,	  /* a relayed basis counts without the peer's keys */
	BROKEN_REQUIRED,  /* a promise counts without the peer's keys */
	BROKEN_DONE,	  /* done without confirmations */
	BROKEN_ROSTER,	  /* done with an old view of the roster */
	BROKEN_LOST,	  /* a lost answer counts as no effect */
	BROKEN_DEPARTURE, /* a departure without its keys version */
	BROKEN_MEMBER,	  /* a relayed basis for a host not in the roster */
	BROKEN_DRIFT,	  /* clocks drift more than is allowed for */
} rules_t;

typedef enum {
	SCAN,
	WRITE,
	READ,
	JOIN,
	ASK,
	NOTIFY,
	FETCH,
	LEAVE,
	DEPARTURE,
	RETIRE
} message_kind_t;

typedef struct {
	message_kind_t kind;
	gboolean answer;
	int from, to;	  /* processes of the request; to is -1 for the store */
	replica_t target; /* of RETIRE */
	msec_t sent;	  /* on the clock of the asking process */
	int key;
	uint32_t id, attempt;
	uint64_t since, version; /* of keys: requested from; complete up to */
	uint64_t issued[KEYS], withdrawn[KEYS], roster[IDS], rows[IDS];
	write_result_t result;
	commit_target_t target_row;
	gboolean knows;
	key_sync_status_t status;
	key_row_t delta[2 * KEYS];
	guint ndelta;
} message_t;

/* A store operation in progress for a key. */
typedef struct {
	gboolean waiting, write;
	uint32_t id, attempt;
	msec_t limit;
} request_t;

typedef struct {
	gboolean alive, paused;
	replica_t self;
	key_sync_t sync;
	uint64_t roster[IDS];
	msec_t promised_at[IDS];
	gboolean acked[IDS];
	uint64_t retiring[IDS]; /* incarnation to retire; gets no promise */
	msec_t retiring_since[IDS];
	request_t requests[KEYS];
} proc_t;

typedef struct {
	rules_t rules;
	msec_t now;
	gboolean store_up;
	gboolean silent; /* while down, it does not answer */
	gboolean cut[IDS][IDS], store_cut[IDS];
	uint64_t version, issued[KEYS], withdrawn[KEYS], roster[IDS], rows[IDS];
	uint64_t joined[IDS]; /* largest incarnation that has joined */
	msec_t withdrawn_at[KEYS];
	gboolean effect[PROCS][KEYS], done[KEYS];
	digest_t digests[KEYS];
	proc_t procs[PROCS];
	int nprocs;
	message_t messages[MESSAGES];
	int nmessages;
	const char *violation;
} world_t;

#include "net.h"

/* Each process has its own clock; every second one is fast by a fiftieth. */
static msec_t
clock_of(const world_t *w, int p)
{
	msec_t fast = w->now / (w->rules == BROKEN_DRIFT ? 3 : 50);

	return w->now + (msec_t)p * 100000 + (p % 2 != 0 ? fast : 0);
}

static void
store_write(world_t *w, message_t *m)
{
	const replica_t *self = &w->procs[m->from].self;

	if (w->roster[self->host] != self->incarnation) {
		m->result = WRITE_FENCED;
		return;
	}
	if (w->withdrawn[m->key] == 0) {
		w->withdrawn[m->key] = ++w->version;
		w->withdrawn_at[m->key] = w->now;
		w->effect[m->from][m->key] = TRUE;
	}
	m->version = w->withdrawn[m->key];
	m->result = WRITE_WON;
}

static void
store_join(world_t *w, const message_t *m)
{
	const replica_t *self = &w->procs[m->from].self;

	if (w->joined[self->host] < self->incarnation) {
		w->joined[self->host] = self->incarnation;
		w->roster[self->host] = self->incarnation;
		w->rows[self->host] = ++w->version;
	}
}

static void
roster_remove(world_t *w, uint32_t id)
{
	w->roster[id] = 0;
	w->rows[id] = ++w->version;
}

/* A host that is in the roster may remove itself or another host. */
static void
store_remove(world_t *w, const message_t *m)
{
	const replica_t *self = &w->procs[m->from].self;

	if (w->roster[self->host] == self->incarnation &&
	    w->roster[m->target.host] == m->target.incarnation)
		roster_remove(w, m->target.host);
}

static void
at_store(world_t *w, message_t *m)
{
	if (!w->store_up) {
		if (w->silent || m->kind != WRITE)
			return;
		m->result = WRITE_UNREACHABLE;
	} else if (m->kind == WRITE) {
		store_write(w, m);
	} else if (m->kind == JOIN) {
		store_join(w, m);
	} else if (m->kind == LEAVE || m->kind == RETIRE) {
		store_remove(w, m);
	} else if (m->kind == READ) {
		m->version = w->withdrawn[m->key];
		m->target_row = m->version != 0 ? COMMIT_TARGET_OURS
						: COMMIT_TARGET_UNCHANGED;
	}
	if (m->kind == SCAN) {
		m->version = w->version;
		memcpy(m->issued, w->issued, sizeof(m->issued));
		memcpy(m->withdrawn, w->withdrawn, sizeof(m->withdrawn));
		memcpy(m->roster, w->roster, sizeof(m->roster));
		memcpy(m->rows, w->rows, sizeof(m->rows));
	}
	m->answer = TRUE;
	post(w, m);
}

#endif
