#include <string.h>

#include "transport/client_memory.h"

void
client_memory_init(client_memory_t *m, size_t limit_bytes)
{
	memset(m, 0, sizeof(*m));
	m->limit = limit_bytes;
}

void
client_memory_set(client_memory_t *m, client_memory_entry_t *entry,
    size_t bytes, gboolean has_whole_request)
{
	m->held = m->held - entry->held + bytes;
	entry->held = bytes;
	entry->has_whole_request = has_whole_request;
	if (bytes > 0 && entry->link.data == NULL) {
		entry->link.data = entry;
		g_queue_push_tail_link(&m->entries, &entry->link);
	} else if (bytes == 0 && entry->link.data != NULL) {
		g_queue_unlink(&m->entries, &entry->link);
		entry->link.data = NULL;
	}
}

void
client_memory_remove(client_memory_t *m, client_memory_entry_t *entry)
{
	client_memory_set(m, entry, 0, FALSE);
}

gboolean
client_memory_is_over(const client_memory_t *m)
{
	return m->held > m->limit;
}

client_memory_entry_t *
client_memory_victim(const client_memory_t *m)
{
	client_memory_entry_t *entry, *victim = NULL;
	const GList *link;

	if (!client_memory_is_over(m))
		return NULL;
	for (link = m->entries.head; link != NULL; link = link->next) {
		entry = link->data;
		if (!entry->has_whole_request &&
		    (victim == NULL || entry->held > victim->held))
			victim = entry;
	}
	return victim;
}
