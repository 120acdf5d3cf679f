#ifndef PROTOCOL_RECORD_MARK_H
#define PROTOCOL_RECORD_MARK_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/*
 * Record marking of RFC 5531, section 11: a record is a run of fragments,
 * each after four bytes that hold its length and whether it is the last.
 */

#define RECORD_MARK_SIZE 4

typedef enum {
	RECORD_MORE,	 /* all input taken, the record goes on */
	RECORD_DONE,	 /* reader.record holds a whole record */
	RECORD_TOO_LONG, /* over the limit; the stream is of no more use */
} record_status_t;

typedef struct {
	GByteArray *record;
	uint32_t limit; /* bytes of a record */
	uint32_t left;	/* bytes of the present fragment still to come */
	uint8_t mark[RECORD_MARK_SIZE];
	uint8_t mark_len;
	gboolean last;
	gboolean done;
} record_reader_t;

void record_reader_init(record_reader_t *r, uint32_t limit);
void record_reader_finish(record_reader_t *r);

/**
 * record_reader_feed() - Take bytes of the stream, up to a record's end.
 * @r: the reader; a finished record is dropped by the next call
 * @data: bytes
 * @len: their number
 * @used: set to how many were taken
 */
record_status_t record_reader_feed(
    record_reader_t *r, const uint8_t *data, size_t len, size_t *used);

/**
 * record_reader_idle() - Whether no record has begun.
 * @r: the reader
 */
gboolean record_reader_idle(const record_reader_t *r);

/**
 * record_write() - Append a record as one fragment.
 * @out: where to
 * @data: the record
 * @len: its length, below 2^31
 */
void record_write(GByteArray *out, const uint8_t *data, uint32_t len);

#endif
