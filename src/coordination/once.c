#include <string.h>

#include "coordination/once.h"

void
once_init(once_t *o)
{
	o->entries = g_array_new(FALSE, TRUE, sizeof(once_entry_t));
}

void
once_finish(once_t *o)
{
	g_array_free(o->entries, TRUE);
	o->entries = NULL;
}

const char *
once_reason_name(once_reason_t reason)
{
	switch (reason) {
	case ONCE_STORE_DOWN:
		return "store-unavailable";
	case ONCE_BUSY:
		return "idempotency-busy";
	case ONCE_KEY_REUSED:
		return "idempotency-key-reused";
	case ONCE_ALREADY_RUNNING:
		return "already-running";
	case ONCE_ALREADY_RAN:
		return "already-ran";
	case ONCE_ALREADY_SENT:
		return "already-sent";
	}
	return "unknown";
}

static once_entry_t *
entry_at(const once_t *o, once_id_t id)
{
	return &g_array_index(o->entries, once_entry_t, id);
}

const once_entry_t *
once_entry(const once_t *o, once_id_t id)
{
	return entry_at(o, id);
}

static gboolean
fingerprint_matches(const fingerprint_t *a, const fingerprint_t *b)
{
	return memcmp(a, b, sizeof(*a)) == 0;
}

static once_id_t
find_key(const once_t *o, const fingerprint_t *key)
{
	once_id_t id;

	for (id = 0; id < o->entries->len; id++) {
		if (entry_at(o, id)->used &&
		    fingerprint_matches(&entry_at(o, id)->key, key))
			return id;
	}
	return ONCE_NONE;
}

static gboolean
is_reusable(const once_entry_t *e, msec_t now)
{
	return !e->used ||
	    (e->phase == ONCE_DONE && now - e->since > ONCE_RETAIN_MS);
}

/* Returns the oldest entry with an answer. Its key stays protected by the row
 * in the store. */
static once_id_t
oldest_done(const once_t *o)
{
	once_id_t id, oldest = ONCE_NONE;

	for (id = 0; id < o->entries->len; id++) {
		if (entry_at(o, id)->phase != ONCE_DONE)
			continue;
		if (oldest == ONCE_NONE ||
		    entry_at(o, id)->since < entry_at(o, oldest)->since)
			oldest = id;
	}
	return oldest;
}

static once_id_t
free_entry(once_t *o, msec_t now)
{
	once_id_t id;

	for (id = 0; id < o->entries->len; id++) {
		if (is_reusable(entry_at(o, id), now))
			return id;
	}
	if (id == ONCE_ENTRIES_MAX)
		return oldest_done(o);
	g_array_set_size(o->entries, id + 1);
	return id;
}

static once_action_t
make_action(const once_t *o, once_action_kind_t kind, once_id_t id)
{
	once_action_t a = {.kind = kind, .id = id};

	if (id != ONCE_NONE)
		a.row = entry_at(o, id)->row;
	return a;
}

static once_action_t
refuse(const once_t *o, once_id_t id, once_reason_t reason, ran_t ran)
{
	once_action_t a = make_action(o, ONCE_REFUSE, id);

	a.reason = reason;
	a.ran = ran;
	return a;
}

/* Refuses a request because of the row of an earlier one with the same key. */
static once_action_t
refuse_by_row(const once_t *o, once_id_t id, const once_row_t *row,
    const fingerprint_t *request)
{
	once_action_t a;

	if (!fingerprint_matches(&row->request, request))
		return refuse(o, id, ONCE_KEY_REUSED, RAN_NO);
	switch (row->state) {
	case ONCE_ROW_RUNNING:
		return refuse(o, id, ONCE_ALREADY_RUNNING, RAN_UNKNOWN);
	case ONCE_ROW_UNKNOWN:
		return refuse(o, id, ONCE_ALREADY_SENT, RAN_UNKNOWN);
	case ONCE_ROW_RAN:
		break;
	}
	a = refuse(o, id, ONCE_ALREADY_RAN, RAN_YES);
	a.status = row->status;
	return a;
}

static once_action_t
begin_repeat(const once_t *o, once_id_t id, const fingerprint_t *request)
{
	const once_entry_t *e = entry_at(o, id);

	if (!fingerprint_matches(&e->row.request, request))
		return refuse(o, ONCE_NONE, ONCE_KEY_REUSED, RAN_NO);
	/* The claim is to be released; its row may still be in the store. */
	if (e->abandoned || e->phase == ONCE_RELEASING)
		return refuse(o, ONCE_NONE, ONCE_BUSY, RAN_NO);
	if (e->row.state == ONCE_ROW_RAN)
		return make_action(o, ONCE_REPLAY, id);
	return refuse_by_row(o, ONCE_NONE, &e->row, request);
}

once_action_t
once_begin(once_t *o, const fingerprint_t *key, const fingerprint_t *request,
    uint64_t token, msec_t now)
{
	once_id_t id = find_key(o, key);
	once_entry_t *e;

	if (id != ONCE_NONE && !is_reusable(entry_at(o, id), now))
		return begin_repeat(o, id, request);
	if (id == ONCE_NONE)
		id = free_entry(o, now);
	if (id == ONCE_NONE)
		return refuse(o, id, ONCE_BUSY, RAN_NO);
	e = entry_at(o, id);
	memset(e, 0, sizeof(*e));
	e->used = TRUE;
	e->key = *key;
	e->phase = ONCE_CLAIMING;
	e->claims = 1;
	e->row.token = token;
	e->row.request = *request;
	e->row.state = ONCE_ROW_RUNNING;
	e->since = now;
	return make_action(o, ONCE_CLAIM, id);
}

static void
entry_reset(once_entry_t *e)
{
	memset(e, 0, sizeof(*e));
}

/* Removes the row of a claim that was not used, as it may be in the store. */
static once_action_t
release(const once_t *o, once_id_t id)
{
	entry_at(o, id)->phase = ONCE_RELEASING;
	return make_action(o, ONCE_RELEASE, id);
}

/* Refuses the request and leaves the release due (once_release_due()). If no
 * caller waits any more, releases the claim at once. */
static once_action_t
refuse_and_release(const once_t *o, once_id_t id)
{
	once_entry_t *e = entry_at(o, id);

	if (e->abandoned)
		return release(o, id);
	e->abandoned = TRUE;
	e->phase = ONCE_RELEASING;
	return refuse(o, id, ONCE_STORE_DOWN, RAN_NO);
}

gboolean
once_release_due(const once_t *o, once_id_t id)
{
	return id != ONCE_NONE && entry_at(o, id)->used &&
	    entry_at(o, id)->phase == ONCE_RELEASING;
}

static once_action_t
run(const once_t *o, once_id_t id, msec_t now)
{
	if (entry_at(o, id)->abandoned)
		return release(o, id);
	if (now - entry_at(o, id)->since > ONCE_CLAIM_MS)
		return refuse_and_release(o, id);
	entry_at(o, id)->phase = ONCE_RUNNING;
	return make_action(o, ONCE_RUN, id);
}

static once_action_t
row_found(const once_t *o, once_id_t id, const once_row_t *row, msec_t now)
{
	once_entry_t *e = entry_at(o, id);
	once_action_t a;

	if (row->token == e->row.token)
		return run(o, id, now);
	a = make_action(o, ONCE_NOTHING, ONCE_NONE);
	if (!e->abandoned)
		a = refuse_by_row(o, ONCE_NONE, row, &e->row.request);
	entry_reset(e);
	return a;
}

static once_action_t
retry_claim(const once_t *o, once_id_t id)
{
	once_entry_t *e = entry_at(o, id);

	if (e->abandoned || e->claims >= ONCE_CLAIM_TRIES)
		return refuse_and_release(o, id);
	e->claims++;
	e->phase = ONCE_CLAIMING;
	return make_action(o, ONCE_CLAIM, id);
}

static once_action_t
claim_failed(const once_t *o, once_id_t id)
{
	once_entry_t *e = entry_at(o, id);
	once_action_t a = make_action(o, ONCE_NOTHING, ONCE_NONE);

	/* An earlier claim whose answer was lost may still take effect. */
	if (e->claims > 1)
		return refuse_and_release(o, id);
	if (!e->abandoned)
		a = refuse(o, ONCE_NONE, ONCE_STORE_DOWN, RAN_NO);
	entry_reset(e);
	return a;
}

static once_action_t
abandon(const once_t *o, once_id_t id)
{
	entry_at(o, id)->abandoned = TRUE;
	return make_action(o, ONCE_NOTHING, id);
}

static once_action_t
claiming_step(const once_t *o, once_id_t id, const once_event_t *ev, msec_t now)
{
	switch (ev->kind) {
	case ONCE_CLAIM_DONE:
		return run(o, id, now);
	case ONCE_CLAIM_TAKEN:
	case ONCE_CLAIM_UNKNOWN:
		entry_at(o, id)->phase = ONCE_READING;
		return make_action(o, ONCE_READ_BACK, id);
	case ONCE_CLAIM_FAILED:
		return claim_failed(o, id);
	case ONCE_GIVEN_UP:
		return abandon(o, id);
	default:
		return make_action(o, ONCE_NOTHING, id);
	}
}

static once_action_t
reading_step(const once_t *o, once_id_t id, const once_event_t *ev, msec_t now)
{
	switch (ev->kind) {
	case ONCE_READ_ROW:
		return row_found(o, id, &ev->u.row, now);
	case ONCE_READ_ABSENT:
		return retry_claim(o, id);
	case ONCE_READ_FAILED:
		return refuse_and_release(o, id);
	case ONCE_GIVEN_UP:
		return abandon(o, id);
	default:
		return make_action(o, ONCE_NOTHING, id);
	}
}

static once_action_t
running_step(const once_t *o, once_id_t id, const once_event_t *ev, msec_t now)
{
	once_entry_t *e = entry_at(o, id);

	if (ev->kind != ONCE_RUN_ENDED)
		return make_action(o, ONCE_NOTHING, id);
	e->since = now;
	if (ev->u.ended.ran == RAN_NO)
		return release(o, id);
	e->row.state =
	    ev->u.ended.ran == RAN_YES ? ONCE_ROW_RAN : ONCE_ROW_UNKNOWN;
	e->row.status = ev->u.ended.status;
	e->phase = ONCE_RECORDING;
	return make_action(o, ONCE_RECORD, id);
}

static once_action_t
writing_step(const once_t *o, once_id_t id, const once_event_t *ev)
{
	once_entry_t *e = entry_at(o, id);
	once_action_t a;

	if (ev->kind == ONCE_WRITE_FAILED) {
		a = make_action(o,
		    e->phase == ONCE_RECORDING ? ONCE_RECORD : ONCE_RELEASE,
		    id);
		a.after_ms = ONCE_WRITE_RETRY_MS;
		return a;
	}
	if (ev->kind != ONCE_WRITE_DONE)
		return make_action(o, ONCE_NOTHING, id);
	if (e->phase == ONCE_RECORDING)
		e->phase = ONCE_DONE;
	else
		entry_reset(e);
	return make_action(o, ONCE_NOTHING, ONCE_NONE);
}

once_action_t
once_step(once_t *o, once_id_t id, const once_event_t *e, msec_t now)
{
	switch (entry_at(o, id)->phase) {
	case ONCE_CLAIMING:
		return claiming_step(o, id, e, now);
	case ONCE_READING:
		return reading_step(o, id, e, now);
	case ONCE_RUNNING:
		return running_step(o, id, e, now);
	case ONCE_RECORDING:
	case ONCE_RELEASING:
		return writing_step(o, id, e);
	case ONCE_DONE:
		break;
	}
	return make_action(o, ONCE_NOTHING, id);
}
