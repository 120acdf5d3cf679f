#include "state/conn_turns.h"

void
conn_turns_init(conn_turns_t *turns)
{
	g_queue_init(&turns->waiting);
}

gboolean
conn_turns_may_handle(conn_turns_t *turns, turn_entry_t *entry, msec_t now)
{
	if (entry->is_queued)
		return FALSE;
	if (now >= entry->window_end) {
		entry->window_end = now + TURNS_WINDOW_MS;
		entry->handled = 0;
	}
	if (entry->is_next || entry->handled < TURNS_BURST)
		return TRUE;
	entry->is_queued = TRUE;
	entry->link.data = entry;
	g_queue_push_tail_link(&turns->waiting, &entry->link);
	return FALSE;
}

void
conn_turns_note(turn_entry_t *entry)
{
	entry->handled++;
	entry->is_next = FALSE;
}

turn_entry_t *
conn_turns_next(conn_turns_t *turns)
{
	GList *first = turns->waiting.head;
	turn_entry_t *entry;

	if (first == NULL)
		return NULL;
	entry = first->data;
	conn_turns_remove(turns, entry);
	entry->is_next = TRUE;
	return entry;
}

void
conn_turns_remove(conn_turns_t *turns, turn_entry_t *entry)
{
	if (entry->is_queued)
		g_queue_unlink(&turns->waiting, &entry->link);
	entry->is_queued = FALSE;
	entry->is_next = FALSE;
}
