#include <string.h>

#include "coordination/withdrawals.h"

static void
slot_free(gpointer p)
{
	withdrawal_slot_t *slot = p;

	withdrawal_finish(&slot->w);
	g_free(slot);
}

void
withdrawals_init(withdrawals_t *s)
{
	memset(s, 0, sizeof(*s));
	s->slots = g_ptr_array_new_with_free_func(slot_free);
}

void
withdrawals_finish(withdrawals_t *s)
{
	g_ptr_array_free(s->slots, TRUE);
	memset(s, 0, sizeof(*s));
}

static withdrawal_slot_t *
slot_at(const withdrawals_t *s, guint i)
{
	return g_ptr_array_index(s->slots, i);
}

static withdrawal_t *
find_digest(const withdrawals_t *s, const digest_t *digest)
{
	guint i;

	for (i = 0; i < s->slots->len; i++) {
		if (digest_equal(&slot_at(s, i)->w.digest, digest))
			return &slot_at(s, i)->w;
	}
	return NULL;
}

uint32_t
withdrawals_start(withdrawals_t *s, keys_t *keys, const digest_t *digest,
    replica_t self, const roster_view_t *view, msec_t now, GArray *out)
{
	withdrawal_t *w = find_digest(s, digest);
	key_row_t row = {.digest = *digest, .withdrawn = TRUE};
	withdrawal_slot_t *slot;

	if (w != NULL)
		return w->id;
	keys_merge(keys, &row);
	slot = g_new0(withdrawal_slot_t, 1);
	g_ptr_array_add(s->slots, slot);
	withdrawal_begin(&slot->w, ++s->last_id, keys_find(keys, digest), self,
	    view, now, out);
	return s->last_id;
}

withdrawal_t *
withdrawals_get(const withdrawals_t *s, uint32_t id)
{
	guint i;

	for (i = 0; i < s->slots->len; i++) {
		if (slot_at(s, i)->w.id == id)
			return &slot_at(s, i)->w;
	}
	return NULL;
}

static void
adopt(withdrawals_t *s, keys_t *keys, replica_t self, const roster_view_t *view,
    msec_t now, GArray *out)
{
	const GPtrArray *pending = keys_pending(keys);
	const key_entry_t *e;
	guint i;

	for (i = 0; i < pending->len; i++) {
		e = g_ptr_array_index(pending, i);
		withdrawals_start(s, keys, &e->digest, self, view, now, out);
	}
}

/* Takes over all pending withdrawals once one has been pending for
 * WITHDRAWAL_ADOPT_MS. */
static void
adopt_when_due(withdrawals_t *s, keys_t *keys, replica_t self,
    const roster_view_t *view, msec_t now, GArray *out)
{
	if (keys_pending(keys)->len == 0) {
		s->pending_since = 0;
	} else if (s->pending_since == 0) {
		s->pending_since = now;
	} else if (now - s->pending_since >= WITHDRAWAL_ADOPT_MS) {
		adopt(s, keys, self, view, now, out);
		s->pending_since = now;
	}
}

void
withdrawals_tick(withdrawals_t *s, keys_t *keys, replica_t self,
    gboolean eligible, const roster_view_t *view, msec_t now, GArray *out)
{
	uint64_t complete = keys_complete(keys);
	withdrawal_slot_t *slot;
	guint i;

	if (eligible)
		adopt_when_due(s, keys, self, view, now, out);
	for (i = s->slots->len; i-- > 0;) {
		slot = slot_at(s, i);
		if (slot->over_at == 0) {
			withdrawal_tick(&slot->w, view, now, out);
			if (withdrawal_over(&slot->w, complete))
				slot->over_at = now;
		} else if (now - slot->over_at >= WITHDRAWAL_KEEP_MS) {
			g_ptr_array_remove_index_fast(s->slots, i);
		}
	}
}

gboolean
withdrawals_may_promise(
    const withdrawals_t *s, replica_t replica, uint64_t complete)
{
	guint i;

	for (i = 0; i < s->slots->len; i++) {
		if (withdrawal_blocks_promise(
			&slot_at(s, i)->w, replica, complete))
			return FALSE;
	}
	return TRUE;
}

gboolean
withdrawals_settled(const withdrawals_t *s)
{
	guint i;

	for (i = 0; i < s->slots->len; i++) {
		if (slot_at(s, i)->over_at == 0)
			return FALSE;
	}
	return TRUE;
}
