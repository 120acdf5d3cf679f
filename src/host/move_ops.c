#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "host/fenced.h"
#include "host/move_ops.h"
#include "host/move_request.h"
#include "protocol/move_json.h"

/* Value of rows that only matter by their presence. */
#define PRESENT "1"

static void
op_end(move_op_t *op, move_op_state_t state, const char *why)
{
	op->state = state;
	g_free(op->why);
	op->why = g_strdup(why);
	log_event(LOG_INFO,
	    op->cancel ? "move.cancel.answered" : "move.start.answered", "move",
	    op->id, "accepted", state == MOVE_OP_ACCEPTED ? "yes" : "no",
	    "reason", why, NULL);
}

/* Waits for a scan that is sent after this call. */
static void
op_await_scan(move_op_t *op)
{
	op->state = MOVE_OP_WAITING;
	op->ended_at = clock_now();
	mirror_scan(&op->host->mirror);
}

/* Refuses the operation, unless an earlier write of it may still take effect:
 * it then waits for a scan. */
static void
op_refuse(move_op_t *op, const char *why)
{
	if (op->may_take_effect) {
		op->state = MOVE_OP_WAITING;
		op->ended_at = clock_now();
		return;
	}
	op_end(op, MOVE_OP_REFUSED, why);
}

/* Whether the mirror may be older than what the operator has been told. */
static gboolean
is_stale_mirror(const move_op_t *op)
{
	return op->host->mirror.sent_at <= op->requested_at;
}

static char *
op_key(const move_op_t *op)
{
	return g_strconcat(
	    op->cancel ? ROWS_MOVE_CANCEL : ROWS_MOVE, op->id, NULL);
}

/* Whether the operation's row is known to be in the store. */
static gboolean
is_written(const move_op_t *op)
{
	char *key = op_key(op);
	gboolean found = mirror_get(&op->host->mirror, key) != NULL;

	g_free(key);
	return found;
}

static void
on_written(void *arg, write_result_t result, uint64_t version)
{
	move_op_t *op = arg;

	(void)version;
	op->waiting = FALSE;
	if (op->forgotten) {
		move_ops_free(op);
		return;
	}
	op->ended_at = clock_now();
	switch (result) {
	case WRITE_WON:
		op_end(op, MOVE_OP_ACCEPTED, NULL);
		break;
	case WRITE_CONFLICT:
		op->state = MOVE_OP_WAITING;
		break;
	case WRITE_LOST:
		op->may_take_effect = TRUE;
		op->state = MOVE_OP_WAITING;
		break;
	case WRITE_FENCED:
		op_refuse(op, "this host was replaced");
		break;
	case WRITE_UNREACHABLE:
		op_refuse(op, "the store can't be reached");
		break;
	}
	mirror_scan(&op->host->mirror);
}

static void
op_write(move_op_t *op, const char *value)
{
	char *key = op_key(op);
	const mirror_row_t *admit =
	    mirror_get(&op->host->mirror, ROWS_MOVES_ADMIT);
	const store_check_t checks[] = {
	    {key, 0},
	    {ROWS_MOVES_ADMIT, admit != NULL ? admit->version : 0},
	};
	const store_write_t writes[] = {
	    {key, value}, {ROWS_MOVES_ADMIT, PRESENT}};
	/* A cancellation doesn't change the row of admissions. */
	size_t n = op->cancel ? 1 : 2;

	op->state = MOVE_OP_WRITING;
	op->waiting = TRUE;
	op->tries++;
	fenced_write(op->host, checks, n, writes, n, on_written, op);
	g_free(key);
}

static void
add_row(void *arg, const char *id, const mirror_row_t *row)
{
	move_row_t value;

	(void)id;
	if (move_json_decode(row->value, &value, NULL))
		g_array_append_val((GArray *)arg, value);
}

static void
write_start(move_op_t *op)
{
	host_t *h = op->host;
	GArray *rows = g_array_new(FALSE, TRUE, sizeof(move_row_t));
	GError *err = NULL;
	gboolean again, ok;
	move_row_t row;
	char *text;

	mirror_each(&h->mirror, ROWS_MOVE, add_row, rows);
	move_request_set_base(h, &op->request);
	ok = move_admit(rows, &op->request, &h->catalog.caps, clock_wall(),
	    &row, &again, &err);
	if (!ok && err->code == ERROR_CONFLICT && is_stale_mirror(op)) {
		g_error_free(err);
		op_await_scan(op);
	} else if (!ok && err->code == ERROR_CONFLICT) {
		/* The other move has changed the row of admissions, so a late
		 * write of this operation can't take effect. */
		op_end(op, MOVE_OP_CONFLICT, err->message);
		g_error_free(err);
	} else if (!ok) {
		op_refuse(op, err->message);
		g_error_free(err);
	} else if (again) {
		op_end(op, MOVE_OP_ACCEPTED, NULL);
	} else {
		text = move_json_encode(&row);
		op_write(op, text);
		free(text);
	}
	g_array_free(rows, TRUE);
}

static const move_row_t *
row_of(const move_op_t *op)
{
	const GArray *moves = op->host->moves->in_force.moves;
	const move_row_t *row;
	guint i;

	for (i = 0; i < moves->len; i++) {
		row = &g_array_index(moves, move_local_t, i).row;
		if (row->step > 0 && strcmp(row->id, op->id) == 0)
			return row;
	}
	return NULL;
}

static void
write_cancel(move_op_t *op)
{
	const move_row_t *row = row_of(op);

	if (is_written(op))
		op_end(op, MOVE_OP_ACCEPTED, NULL);
	else if (row == NULL)
		op_end(op, MOVE_OP_REFUSED, "no such move");
	else if (move_is_final(row))
		op_refuse(op, "the move has ended");
	else
		op_write(op, PRESENT);
}

void
move_ops_tick(move_op_t *op)
{
	if (op->state != MOVE_OP_WAITING)
		return;
	if (op->host->mirror.sent_at <= op->ended_at) {
		if (op->tries == 0 &&
		    clock_now() - op->requested_at > MOVE_FIRST_SCAN_MS)
			op_end(
			    op, MOVE_OP_REFUSED, "the store can't be reached");
		return;
	}
	if (is_written(op))
		op_end(op, MOVE_OP_ACCEPTED, NULL);
	else if (op->tries >= MOVE_ADMIT_TRIES && !op->may_take_effect)
		op_end(
		    op, MOVE_OP_REFUSED, "other operators keep changing moves");
	else if (op->cancel)
		write_cancel(op);
	else
		write_start(op);
}

static move_op_t *
op_new(host_t *h, const char *id)
{
	move_op_t *op = g_new0(move_op_t, 1);

	op->host = h;
	op->requested_at = clock_now();
	op->id = g_strdup(id);
	op->request.id = op->id;
	return op;
}

move_op_t *
move_ops_start(host_t *h, const operate_move_start_t *a, const char *id)
{
	move_op_t *op = op_new(h, id);
	const char *why = move_request_fill(h, a, &op->request);

	if (why != NULL)
		op_end(op, MOVE_OP_REFUSED, why);
	else
		write_start(op);
	return op;
}

move_op_t *
move_ops_cancel(host_t *h, const char *id)
{
	move_op_t *op = op_new(h, id);

	op->cancel = TRUE;
	if (row_of(op) != NULL) {
		write_cancel(op);
		return op;
	}
	/* The move may have been started after the last scan. */
	op_await_scan(op);
	return op;
}

void
move_ops_free(move_op_t *op)
{
	op->forgotten = TRUE;
	if (op->waiting)
		return;
	move_request_finish(&op->request);
	g_free(op->id);
	g_free(op->why);
	g_free(op);
}

static operate_outcome_t
outcome_of(const move_op_t *op, const move_row_t *row)
{
	switch (op->state) {
	case MOVE_OP_ACCEPTED:
		break;
	case MOVE_OP_CONFLICT:
		return OPERATE_CONFLICT;
	case MOVE_OP_REFUSED:
		return OPERATE_REFUSED;
	case MOVE_OP_WRITING:
	case MOVE_OP_WAITING:
		return OPERATE_UNKNOWN;
	}
	if (row == NULL || !move_is_final(row))
		return OPERATE_ACCEPTED;
	if (op->cancel) /* completed before it could be taken back */
		return row->state == MOVE_DONE ? OPERATE_REFUSED : OPERATE_DONE;
	return row->state == MOVE_DONE ? OPERATE_DONE : OPERATE_TAKEN_BACK;
}

/* Number of hosts that have the move's present step in force; @hosts is set to
 * the number of all hosts that have not left. */
static guint
confirmed(const host_t *h, const move_row_t *row, guint *hosts)
{
	const roster_host_t *host;
	const peer_step_t *step;
	const peer_t *peer;
	guint i, k, n = 1;

	*hosts = 1;
	for (i = 0; i < h->roster.hosts->len; i++) {
		host = roster_host(&h->roster, (host_id_t)i);
		peer = peers_get(h, host->name);
		if (i == h->roster.self || host->state == HOST_GONE)
			continue;
		(*hosts)++;
		for (k = 0; peer != NULL && k < peer->steps->len; k++) {
			step = &g_array_index(peer->steps, peer_step_t, k);
			if (step->move == g_quark_try_string(row->id) &&
			    step->step >= row->step)
				n++;
		}
	}
	return n;
}

void
move_ops_describe(const move_op_t *op, operate_result_t *r)
{
	const move_row_t *row = row_of(op);
	guint hosts;

	r->outcome = outcome_of(op, row);
	if (op->state == MOVE_OP_ACCEPTED && row != NULL) {
		r->result_version = row->step;
		r->hosts_confirmed = confirmed(op->host, row, &hosts);
		r->hosts_total = hosts;
		r->text = g_strdup_printf("move %s %s, share %u of %d%s%s",
		    row->id, move_state_name(row->state), move_share(row),
		    SHARE_ONE, row->reason != MOVE_REASON_NONE ? ", " : "",
		    row->reason != MOVE_REASON_NONE
			? move_reason_name(row->reason)
			: "");
	} else {
		r->text = op->why != NULL ? g_strdup(op->why)
					  : g_strdup_printf("move %s", op->id);
	}
}
