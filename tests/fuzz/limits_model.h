#ifndef TESTS_FUZZ_LIMITS_MODEL_H
#define TESTS_FUZZ_LIMITS_MODEL_H

#include <stdint.h>
#include <string.h>

#include "coordination/borrower.h"

/*
 * Three hosts that share one workspace's limit, driven by bytes. Each host is a
 * series of processes, each with its own clock. The oracle checks only the
 * promise: a bucket that starts with the whole burst, is refilled at the whole
 * rate, and gives a token to every admitted request never runs out. In other
 * words, no window w admits more than burst + rate * w requests.
 */

#define NAMES 3
#define PROCS 12
#define MESSAGES 32
#define LEASE_MS 2000
#define FRESH_MS 3000
/* A lowered limit is guaranteed this long after it is in force on all hosts. */
#define LOWERED_MS (GRANT_TTL_MS + GRANT_DRIFT_MS)

/* Rules that the model can break, to check that the oracle notices. */
typedef enum {
	BREAK_NONE,
	BREAK_EXPIRED,	 /* an expired loan returns to the lender's level */
	BREAK_TWICE,	 /* the answer to one request is applied twice */
	BREAK_WAIT,	 /* a new lender does not wait out old loans */
	BREAK_RECEIPT,	 /* a loan's lifetime counts from its receipt */
	BREAK_LEASE,	 /* the lender does not check its lease */
	BREAK_FRESH,	 /* tokens are used while the host is not fresh */
	BREAK_SETTLED,	 /* a part that grows does not wait for the others */
	BREAK_ECHO,	 /* a delegation counts from its receipt */
	BREAK_DELEGATED, /* a host uses what it has delegated */
	BREAK_FULL,	 /* a lender that starts again starts full */
} model_break_t;

/* Events; the argument selects a process, a message or an amount. */
typedef enum {
	EV_TIME,
	EV_REQUESTS,
	EV_ASK,
	EV_DELIVER,
	EV_DOUBLE,
	EV_LOSE,
	EV_PAUSE,
	EV_KILL,
	EV_JOIN,
	EV_TAKE_LEASE,
	EV_RENEW_LEASE,
	EV_FRESHEN,
	EV_CONFIG,
	EV_ADOPT,
	EV_SETTLE,
	EV_CALM,
	EV_COUNT,
} event_t;

typedef struct {
	gboolean alive, paused, superseded;
	int name;
	msec_t offset;	    /* of its clock */
	msec_t fresh_until; /* true time */
	int config;
	gboolean settled;
	borrower_t borrower;
	lender_t lender;
	msec_t valid_until; /* of its lease, on its clock */
} proc_t;

typedef struct {
	gboolean answer;
	int from, to; /* processes; @from sent the request */
	borrow_request_t request;
	borrow_answer_t reply;
} msg_t;

typedef struct {
	msec_t now;
	model_break_t broken;
	shares_t shares;
	uint32_t rand; /* state of the random numbers in model_calm() */
	borrower_config_t configs[8];
	int n_configs;
	int floor;	 /* oldest configuration that still applies */
	msec_t floor_at; /* when older ones cease to apply; 0: none */
	proc_t procs[PROCS];
	int n_procs;
	msg_t messages[MESSAGES];
	int n_messages;
	uint64_t epoch;
	int holder, previous_holder;
	msec_t lease_end;
	bucket_t oracle;
	long admitted, refused;
	gboolean violated;
} model_t;

static msec_t
model_clock(const model_t *m, const proc_t *p)
{
	return m->now + p->offset;
}

/* The most that any configuration that still applies would allow. */
static limit_t
model_allowed(const model_t *m)
{
	limit_t most = {0, 0};
	int i;

	for (i = m->floor; i < m->n_configs; i++) {
		most.rate = MAX(most.rate, m->configs[i].limit.rate);
		most.burst = MAX(most.burst, m->configs[i].limit.burst);
	}
	return most;
}

static void
model_oracle_update(model_t *m)
{
	bucket_refill(&m->oracle, 0, m->now);
	m->oracle.limit = model_allowed(m);
	bucket_refill(&m->oracle, 0, m->now);
}

/* Whether this process may still admit requests. */
static gboolean
proc_counts(const model_t *m, const proc_t *p)
{
	return p->alive && (!p->superseded || p->fresh_until > m->now);
}

static int
model_oldest_config(const model_t *m)
{
	int i, oldest = m->n_configs - 1;

	for (i = 0; i < m->n_procs; i++) {
		if (proc_counts(m, &m->procs[i]))
			oldest = MIN(oldest, m->procs[i].config);
	}
	return oldest;
}

static void
model_time(model_t *m, msec_t elapsed)
{
	int oldest = model_oldest_config(m);
	msec_t end = m->now + elapsed;

	if (m->floor < oldest && m->floor_at == 0)
		m->floor_at = m->now + LOWERED_MS;
	if (m->floor_at != 0 && end >= m->floor_at) {
		m->now = MAX(m->now, m->floor_at);
		bucket_refill(&m->oracle, 0, m->now);
		m->floor = oldest;
		m->floor_at = 0;
		model_oracle_update(m);
	}
	m->now = end;
	bucket_refill(&m->oracle, 0, m->now);
}

static void
model_config(model_t *m, int arg)
{
	static const struct {
		double rate, burst;
		uint16_t slots;
	} rows[] = {{100, 20, 3}, {100, 20, 30}, {50, 60, 3}, {400, 9, 4},
	    {10, 100, 3}, {200, 40, 3}, {50, 60, 100}};
	borrower_config_t *c = &m->configs[m->n_configs];

	if (m->n_configs == (int)G_N_ELEMENTS(m->configs))
		return;
	arg %= (int)G_N_ELEMENTS(rows);
	c->limit = limit_make(rows[arg].rate, rows[arg].burst);
	c->slots = rows[arg].slots;
	c->slot = SLOT_NONE;
	m->n_configs++;
	m->floor_at = 0;
	model_oracle_update(m);
}

static lendable_t
proc_lent(const model_t *m, const proc_t *p)
{
	const borrower_config_t *c = &m->configs[p->config];

	return limit_lendable(c->limit, m->shares, c->slots, p->settled);
}

/* Whether this process may use the host's slot by now. */
static gboolean
proc_has_slot(const model_t *m, const proc_t *p)
{
	const proc_t *q;

	for (q = m->procs; q < p; q++) {
		if (q->name == p->name && q->alive && q->fresh_until > m->now &&
		    m->broken != BREAK_FRESH)
			return FALSE;
	}
	return !p->superseded;
}

/* Advances the lender to now; under BREAK_EXPIRED it takes back expired loans.
 */
static void
proc_advance(const model_t *m, proc_t *p)
{
	msec_t now = model_clock(m, p);
	utoken_t expired = 0;
	const loan_t *l;
	guint i;

	if (m->broken != BREAK_EXPIRED || p->lender.epoch == 0)
		return;
	for (i = 0; i < p->lender.loans->len; i++) {
		l = &g_array_index(p->lender.loans, loan_t, i);
		if (l->expires_at <= now)
			expired += (utoken_t)l->lent * UTOKEN;
	}
	lender_level(&p->lender, now);
	p->lender.bucket.level += expired;
}

static void
proc_configure(model_t *m, proc_t *p)
{
	borrower_config_t c = m->configs[p->config];

	c.slot = proc_has_slot(m, p) ? (uint16_t)p->name : SLOT_NONE;
	borrower_configure(&p->borrower, &c, model_clock(m, p));
	proc_advance(m, p);
	lender_configure(&p->lender, proc_lent(m, p), model_clock(m, p));
}

static void
proc_adopt(model_t *m, proc_t *p)
{
	if (p->config < m->n_configs - 1) {
		p->config = m->n_configs - 1;
		p->settled = FALSE;
	}
	proc_configure(m, p);
}

static void
model_settle(model_t *m, proc_t *p)
{
	if (p->config > model_oldest_config(m) && m->broken != BREAK_SETTLED)
		return;
	p->settled = TRUE;
	borrower_settled(&p->borrower, model_clock(m, p));
	if (m->broken == BREAK_SETTLED)
		p->borrower.settle_at = 0;
	proc_configure(m, p);
	borrower_settled(&p->borrower, model_clock(m, p));
}

static void
model_join(model_t *m, int name)
{
	proc_t *p;
	int i;

	if (m->n_procs == PROCS)
		return;
	for (i = 0; i < m->n_procs; i++)
		m->procs[i].superseded |= m->procs[i].name == name;
	p = &m->procs[m->n_procs++];
	memset(p, 0, sizeof(*p));
	p->alive = TRUE;
	p->name = name;
	p->offset = INT64_C(100000) * m->n_procs;
	p->fresh_until = m->now + FRESH_MS;
	p->config = m->n_configs - 1;
	borrower_init(&p->borrower, (host_id_t)name, (uint64_t)m->n_procs,
	    m->shares, model_clock(m, p));
	lender_init(&p->lender);
	proc_configure(m, p);
}

static void
proc_take_lease(model_t *m, int i)
{
	proc_t *p = &m->procs[i];

	if (m->now < m->lease_end || p->superseded)
		return;
	m->previous_holder = m->holder;
	m->holder = i;
	m->epoch++;
	m->lease_end = m->now + LEASE_MS;
	p->valid_until = model_clock(m, p) + LEASE_MS;
	lender_start(&p->lender, m->epoch, proc_lent(m, p), model_clock(m, p));
	if (m->broken == BREAK_WAIT)
		p->lender.prior_until = 0;
}

/* A lapsed lease is valid again under the same epoch if no other took it. */
static void
proc_renew_lease(model_t *m, int i)
{
	proc_t *p = &m->procs[i];

	if (i != m->holder || p->superseded)
		return;
	if (m->now >= m->lease_end) {
		if (m->broken == BREAK_FULL)
			p->lender.newest_epoch = 0;
		lender_start(
		    &p->lender, m->epoch, proc_lent(m, p), model_clock(m, p));
	}
	m->lease_end = m->now + LEASE_MS;
	p->valid_until = model_clock(m, p) + LEASE_MS;
}

static void
proc_requests(model_t *m, proc_t *p, int n)
{
	gboolean fresh = p->fresh_until > m->now || m->broken == BREAK_FRESH;
	msec_t now = model_clock(m, p);
	admit_t verdict;

	while (n-- > 0) {
		verdict = borrower_admit(&p->borrower, now, FALSE, fresh, now);
		/* Waiting requests are tried again with the next answer. */
		if (verdict.kind != ADMIT) {
			m->refused += verdict.kind == ADMIT_REFUSE;
			continue;
		}
		m->admitted++;
		if (!bucket_take(&m->oracle, UTOKEN))
			m->violated = TRUE;
	}
}

static void
proc_retry_waiting(model_t *m, proc_t *p)
{
	gboolean fresh = p->fresh_until > m->now || m->broken == BREAK_FRESH;
	msec_t now = model_clock(m, p);
	uint32_t n = p->borrower.waiting;
	admit_t verdict;

	while (n-- > 0) {
		verdict = borrower_admit(
		    &p->borrower, now - WAIT_MAX_MS, TRUE, fresh, now);
		if (verdict.kind != ADMIT)
			continue;
		m->admitted++;
		if (!bucket_take(&m->oracle, UTOKEN))
			m->violated = TRUE;
	}
}

static void
proc_ask(model_t *m, int i, gboolean previous_holder)
{
	proc_t *p = &m->procs[i];
	msg_t msg = {
	    .from = i, .to = previous_holder ? m->previous_holder : m->holder};

	if (msg.to < 0 || m->n_messages == MESSAGES ||
	    !borrower_ask(&p->borrower,
		p->fresh_until > m->now || m->broken == BREAK_FRESH,
		model_clock(m, p), &msg.request))
		return;
	if (m->broken == BREAK_DELEGATED && msg.request.delegated.burst > 0)
		bucket_init(&p->borrower.reserve, msg.request.delegated,
		    model_clock(m, p));
	m->messages[m->n_messages++] = msg;
}

static gboolean
deliver_request(model_t *m, msg_t *msg)
{
	proc_t *p = &m->procs[msg->to];
	msec_t now = model_clock(m, p), valid = p->valid_until;

	if (!p->alive || p->paused)
		return FALSE;
	if (m->broken == BREAK_LEASE)
		valid = INT64_MAX;
	proc_advance(m, p);
	if (m->broken == BREAK_ECHO)
		msg->request.echo = now;
	msg->answer = TRUE;
	return lender_borrow(&p->lender, &msg->request, valid, now,
		   &msg->reply) == LEND_ANSWERED;
}

static void
deliver_answer(model_t *m, const msg_t *msg)
{
	proc_t *p = &m->procs[msg->from];
	msec_t now = model_clock(m, p);

	if (!p->alive || p->paused)
		return;
	if (m->broken == BREAK_TWICE &&
	    msg->reply.sequence == p->borrower.sequence)
		p->borrower.asking = TRUE;
	if (borrower_answered(&p->borrower, &msg->reply, now) &&
	    m->broken == BREAK_RECEIPT)
		p->borrower.holding.expires_at = now + GRANT_TTL_MS;
	proc_retry_waiting(m, p);
}

static void
model_message(model_t *m, event_t op, int arg)
{
	msg_t msg;
	int i;

	if (m->n_messages == 0)
		return;
	i = arg % m->n_messages;
	msg = m->messages[i];
	if (op != EV_DOUBLE) {
		m->n_messages--;
		memmove(&m->messages[i], &m->messages[i + 1],
		    (size_t)(m->n_messages - i) * sizeof(msg_t));
	}
	if (op == EV_LOSE)
		return;
	if (msg.answer)
		deliver_answer(m, &msg);
	else if (deliver_request(m, &msg) && m->n_messages < MESSAGES)
		m->messages[m->n_messages++] = msg;
}

/* A period without faults, with fewer than @load requests a step and host. */
static void
model_calm(model_t *m, int steps, int load)
{
	int i, left;

	while (steps-- > 0) {
		model_time(m, 25);
		for (i = 0; i < m->n_procs; i++) {
			proc_t *p = &m->procs[i];

			if (!p->alive || p->paused || p->superseded)
				continue;
			p->fresh_until = m->now + FRESH_MS;
			proc_adopt(m, p);
			model_settle(m, p);
			proc_take_lease(m, i);
			proc_renew_lease(m, i);
			m->rand = m->rand * 1103515245 + 12345;
			proc_requests(
			    m, p, load == 0 ? 0 : (int)(m->rand >> 16) % load);
			proc_ask(m, i, FALSE);
		}
		for (left = 2 * MESSAGES; m->n_messages > 0 && left > 0; left--)
			model_message(m, EV_DELIVER, 0);
	}
}

static void
model_proc_event(model_t *m, event_t op, int i, int arg)
{
	proc_t *p = &m->procs[i];

	if (!p->alive || (p->paused && op != EV_PAUSE && op != EV_KILL))
		return;
	if (op == EV_REQUESTS) {
		proc_retry_waiting(m, p);
		proc_requests(m, p, arg / PROCS);
	} else if (op == EV_ASK)
		proc_ask(m, i, arg >= 192);
	else if (op == EV_PAUSE)
		p->paused = !p->paused;
	else if (op == EV_KILL)
		p->alive = FALSE;
	else if (op == EV_TAKE_LEASE)
		proc_take_lease(m, i);
	else if (op == EV_RENEW_LEASE)
		proc_renew_lease(m, i);
	else if (op == EV_FRESHEN && !p->superseded)
		p->fresh_until = m->now + FRESH_MS;
	else if (op == EV_ADOPT)
		proc_adopt(m, p);
	else if (op == EV_SETTLE)
		model_settle(m, p);
}

static void
model_event(model_t *m, event_t op, int arg)
{
	switch (op) {
	case EV_TIME:
		model_time(m, arg * 2);
		break;
	case EV_DELIVER:
	case EV_DOUBLE:
	case EV_LOSE:
		model_message(m, op, arg);
		break;
	case EV_JOIN:
		model_join(m, arg % NAMES);
		break;
	case EV_CONFIG:
		model_config(m, arg);
		break;
	case EV_CALM:
		model_calm(m, 1 + arg % 16, arg / 32);
		break;
	default:
		model_proc_event(m, op, arg % m->n_procs, arg);
	}
}

/* Starts three hosts and lets them borrow tokens for a while. */
static void
model_init(model_t *m, model_break_t broken, int config)
{
	int i;

	memset(m, 0, sizeof(*m));
	m->broken = broken;
	m->shares = borrower_shares();
	m->now = 1000;
	m->holder = m->previous_holder = -1;
	model_config(m, config);
	bucket_init(&m->oracle, model_allowed(m), m->now);
	m->oracle.level = m->oracle.limit.burst;
	for (i = 0; i < NAMES; i++)
		model_join(m, i);
	model_calm(m, 2, 1);
	model_time(m, GRANT_TTL_MS + GRANT_DRIFT_MS);
	model_calm(m, 12, 2);
}

static void
model_finish(model_t *m)
{
	int i;

	for (i = 0; i < m->n_procs; i++)
		lender_finish(&m->procs[i].lender);
}

/**
 * model_run() - Drive the hosts by bytes.
 * @m: memory of the caller; holds the counts and the verdict afterwards
 * @broken: rule to break
 * @data: first configuration, then pairs of event and argument
 * @size: bytes
 */
static void
model_run(model_t *m, model_break_t broken, const uint8_t *data, size_t size)
{
	size_t i;

	model_init(m, broken, size > 0 ? data[0] : 0);
	for (i = 1; i + 1 < size && !m->violated; i += 2)
		model_event(m, data[i] % EV_COUNT, data[i + 1]);
	model_finish(m);
}

#endif
