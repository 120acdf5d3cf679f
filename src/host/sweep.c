#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "coordination/sweep.h"
#include "host/fenced.h"
#include "host/moves.h"
#include "host/sweep.h"
#include "protocol/move_json.h"

typedef struct sweep {
	uint64_t marks_version; /* version of the row of marks, as last seen */
	msec_t marks_seen;	/* when this version was first seen */
	gboolean pushing, scanning;
	msec_t scan_at;
	guint partition; /* the next one to scan */
	guint removing;	 /* rows in the write under way */
} sweep_t;

/* The rows that one write removes. */
typedef struct {
	GPtrArray *keys;
	store_check_t checks[SWEEP_BATCH];
	store_write_t writes[SWEEP_BATCH];
	size_t nchecks, nwrites;
} batch_t;

void
sweep_init(host_t *h)
{
	h->sweep = g_new0(sweep_t, 1);
}

void
sweep_finish(host_t *h)
{
	g_free(h->sweep);
}

static void
batch_init(batch_t *b)
{
	memset(b, 0, sizeof(*b));
	b->keys = g_ptr_array_new_with_free_func(g_free);
}

static void
batch_finish(batch_t *b)
{
	g_ptr_array_free(b->keys, TRUE);
}

static const char *
batch_check(batch_t *b, const char *key, uint64_t version)
{
	char *own = g_strdup(key);

	g_ptr_array_add(b->keys, own);
	b->checks[b->nchecks++] = (store_check_t){own, version};
	return own;
}

static void
batch_remove(batch_t *b, const char *key, uint64_t version)
{
	b->writes[b->nwrites++] =
	    (store_write_t){batch_check(b, key, version), NULL};
}

static void
read_marks(const host_t *h, sweep_marks_t *marks)
{
	const mirror_row_t *row = mirror_get(&h->mirror, ROWS_MARKS);
	marks_row_t value = {0};

	marks->n = 0;
	if (row == NULL || !rows_decode(&row_marks, row->value, &value, NULL))
		return;
	sweep_parse(marks, value.versions);
	rows_clear(&row_marks, &value);
}

static void
on_pushed(void *arg, write_result_t result, uint64_t version)
{
	host_t *h = arg;

	(void)result;
	(void)version;
	h->sweep->pushing = FALSE;
}

static void
push_mark(host_t *h)
{
	const store_check_t checks[] = {
	    {ROWS_MARKS, h->sweep->marks_version},
	    {ROWS_FENCE MOVES_DUTY, lease_fence(&h->moves->duty->lease)},
	};
	store_write_t write = {ROWS_MARKS, NULL};
	sweep_marks_t marks;
	marks_row_t row;
	char *text;

	read_marks(h, &marks);
	sweep_push(&marks, h->mirror.version);
	row.versions = sweep_format(&marks);
	text = rows_encode(&row_marks, &row);
	write.value = text;
	h->sweep->pushing = TRUE;
	fenced_write(h, checks, G_N_ELEMENTS(checks), &write, 1, on_pushed, h);
	free(text);
	g_free(row.versions);
}

/* The next scan waits for this write, so that the pace bounds removals too. */
static void
on_removed(void *arg, write_result_t result, uint64_t version)
{
	host_t *h = arg;

	(void)version;
	log_event(LOG_DEBUG, "sweep.removed", "rows",
	    log_num(h->sweep->removing), "won",
	    result == WRITE_WON ? "yes" : "no", NULL);
	h->sweep->scanning = FALSE;
}

static void
batch_send(host_t *h, const batch_t *b)
{
	h->sweep->removing = (guint)b->nwrites;
	fenced_write(
	    h, b->checks, b->nchecks, b->writes, b->nwrites, on_removed, h);
}

static void
on_scanned(void *arg, const store_result_t *result, const GError *err)
{
	host_t *h = arg;
	sweep_marks_t marks;
	const store_row_t *row;
	uint64_t lapsed;
	batch_t b;
	guint i;

	h->sweep->scanning = FALSE;
	if (err != NULL)
		return;
	read_marks(h, &marks);
	lapsed = sweep_lapsed(&marks, SWEEP_ONCE_PERIODS);
	batch_init(&b);
	for (i = 0; i < result->u.scan.rows->len && b.nwrites < SWEEP_BATCH;
	     i++) {
		row = &g_array_index(result->u.scan.rows, store_row_t, i);
		if (row->value != NULL && row->version <= lapsed)
			batch_remove(&b, row->key, row->version);
	}
	/* A full batch may have left rows: scan the partition again. */
	if (b.nwrites < SWEEP_BATCH)
		h->sweep->partition =
		    (h->sweep->partition + 1) % SWEEP_PARTITIONS;
	if (b.nwrites > 0) {
		h->sweep->scanning = TRUE;
		batch_send(h, &b);
	}
	batch_finish(&b);
	/* With a short period, the next scan is due before the next tick. */
	sweep_tick(h, clock_now());
}

typedef struct {
	const host_t *host;
	batch_t *batch;
	uint64_t lapsed;
} move_scan_t;

/* Adds the rows of an ended move to the batch, if the batch is empty. */
static void
collect_move(void *arg, const char *id, const mirror_row_t *row)
{
	move_scan_t *scan = arg;
	char *cancel_key = g_strconcat(ROWS_MOVE_CANCEL, id, NULL);
	char *key = g_strconcat(ROWS_MOVE, id, NULL);
	const mirror_row_t *cancel =
	    mirror_get(&scan->host->mirror, cancel_key);
	move_row_t move;

	/* A completed move stays in force through its row, which is kept. */
	if (scan->batch->nwrites == 0 && row->version <= scan->lapsed &&
	    (cancel == NULL || cancel->version <= scan->lapsed) &&
	    move_json_decode(row->value, &move, NULL) &&
	    (move.state == MOVE_TAKEN_BACK ||
		(move.state == MOVE_DONE && cancel != NULL))) {
		if (cancel != NULL)
			batch_remove(scan->batch, cancel_key, cancel->version);
		else
			batch_check(scan->batch, cancel_key, 0);
		if (move.state == MOVE_TAKEN_BACK)
			batch_remove(scan->batch, key, row->version);
	}
	g_free(cancel_key);
	g_free(key);
}

/* Removes the rows of one move. Returns whether there was one to remove. */
static gboolean
remove_move(host_t *h, const sweep_marks_t *marks)
{
	const mirror_row_t *admit = mirror_get(&h->mirror, ROWS_MOVES_ADMIT);
	move_scan_t scan = {.host = h};
	gboolean found;
	batch_t b;

	scan.lapsed = sweep_lapsed(marks, SWEEP_MOVE_PERIODS);
	scan.batch = &b;
	if (scan.lapsed == 0 || admit == NULL)
		return FALSE;
	batch_init(&b);
	mirror_each(&h->mirror, ROWS_MOVE, collect_move, &scan);
	found = b.nwrites > 0;
	if (found) {
		/* Makes a start or cancellation under way fail. */
		b.writes[b.nwrites++] = (store_write_t){
		    batch_check(&b, ROWS_MOVES_ADMIT, admit->version), "1"};
		batch_check(&b, ROWS_FENCE MOVES_DUTY,
		    lease_fence(&h->moves->duty->lease));
		batch_send(h, &b);
	}
	batch_finish(&b);
	return found;
}

static void
scan_next(host_t *h, msec_t now)
{
	sweep_t *s = h->sweep;
	sweep_marks_t marks;
	char *prefix;

	s->scan_at = now + h->settings.mark_ms / SWEEP_SCANS_PER_MARK;
	s->scanning = TRUE;
	read_marks(h, &marks);
	if (remove_move(h, &marks))
		return;
	if (sweep_lapsed(&marks, SWEEP_ONCE_PERIODS) == 0) {
		s->scanning = FALSE;
		return;
	}
	prefix = g_strdup_printf(
	    "%s%0*x", ROWS_ONCE, SWEEP_PARTITION_CHARS, s->partition);
	store_scan(&h->store, prefix, 0, on_scanned, h);
	g_free(prefix);
}

static void
observe_marks(const host_t *h, msec_t now)
{
	const mirror_row_t *row = mirror_get(&h->mirror, ROWS_MARKS);
	uint64_t version = row != NULL ? row->version : 0;
	sweep_t *s = h->sweep;

	if (s->marks_seen != 0 && version == s->marks_version)
		return;
	s->marks_version = version;
	s->marks_seen = now;
}

void
sweep_tick(host_t *h, msec_t now)
{
	sweep_t *s = h->sweep;

	if (h->mirror.version == 0)
		return;
	observe_marks(h, now);
	if (h->moves->duty == NULL || !duty_held(h->moves->duty, now))
		return;
	if (!s->pushing && now - s->marks_seen >= h->settings.mark_ms)
		push_mark(h);
	if (!s->scanning && now >= s->scan_at)
		scan_next(h, now);
}
