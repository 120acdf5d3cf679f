#include <string.h>

#include "protocol/record_mark.h"

#define LAST_FRAGMENT 0x80000000U

void
record_reader_init(record_reader_t *r, uint32_t limit)
{
	memset(r, 0, sizeof(*r));
	r->record = g_byte_array_new();
	r->limit = limit;
}

void
record_reader_finish(record_reader_t *r)
{
	g_byte_array_free(r->record, TRUE);
	r->record = NULL;
}

gboolean
record_reader_idle(const record_reader_t *r)
{
	return r->done || (r->record->len == 0 && r->mark_len == 0);
}

static void
start_record(record_reader_t *r)
{
	g_byte_array_set_size(r->record, 0);
	r->done = FALSE;
	r->mark_len = 0;
	r->empty = 0;
	r->left = 0;
}

/* Reads one byte of the mark. After its last byte, checks the length in it. */
static record_status_t
read_mark(record_reader_t *r, uint8_t byte)
{
	uint32_t mark;

	r->mark[r->mark_len++] = byte;
	if (r->mark_len < RECORD_MARK_SIZE)
		return RECORD_MORE;
	memcpy(&mark, r->mark, sizeof(mark));
	mark = GUINT32_FROM_BE(mark);
	r->last = (mark & LAST_FRAGMENT) != 0;
	r->left = mark & ~LAST_FRAGMENT;
	if (r->left > r->limit - r->record->len)
		return RECORD_TOO_LONG;
	if (r->left == 0 && !r->last && ++r->empty > RECORD_EMPTY_MAX)
		return RECORD_EMPTY;
	return RECORD_MORE;
}

static size_t
read_bytes(record_reader_t *r, const uint8_t *data, size_t len)
{
	size_t n = MIN(len, r->left);

	g_byte_array_append(r->record, data, (guint)n);
	r->left -= (uint32_t)n;
	return n;
}

record_status_t
record_reader_feed(
    record_reader_t *r, const uint8_t *data, size_t len, size_t *used)
{
	record_status_t status;

	*used = 0;
	if (r->done)
		start_record(r);
	while (*used < len) {
		if (r->mark_len < RECORD_MARK_SIZE) {
			status = read_mark(r, data[(*used)++]);
			if (status != RECORD_MORE)
				return status;
		} else {
			*used += read_bytes(r, data + *used, len - *used);
		}
		if (r->mark_len < RECORD_MARK_SIZE || r->left > 0)
			continue;
		if (r->last) {
			r->done = TRUE;
			return RECORD_DONE;
		}
		r->mark_len = 0;
	}
	return RECORD_MORE;
}

void
record_write(GByteArray *out, const uint8_t *data, uint32_t len)
{
	uint32_t mark = GUINT32_TO_BE(len | LAST_FRAGMENT);

	g_byte_array_append(out, (const guint8 *)&mark, sizeof(mark));
	g_byte_array_append(out, data, len);
}
