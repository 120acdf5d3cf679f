#ifndef PROTOCOL_RECORD_MARK_H
#define PROTOCOL_RECORD_MARK_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/*
 * Record marking of RFC 5531, section 11: a record is a sequence of fragments.
 * Each follows a mark of four bytes, which holds the fragment's length and
 * whether it is the last one.
 */

#define RECORD_MARK_SIZE 4
/* Fragments of one record that are empty, beside the last. RFC 5531 does not
 * forbid them, but they can follow each other without end. */
#define RECORD_EMPTY_MAX 4

typedef enum {
	RECORD_MORE, /* all input is used; the record is incomplete */
	RECORD_DONE, /* reader.record holds a complete record */
	/* From here, the stream is unusable: */
	RECORD_TOO_LONG, /* over the limit */
	RECORD_EMPTY,	 /* more than RECORD_EMPTY_MAX empty fragments */
} record_status_t;

typedef struct {
	GByteArray *record;
	uint32_t limit; /* maximum size of a record in bytes */
	uint32_t left;	/* bytes of the current fragment not yet received */
	uint8_t mark[RECORD_MARK_SIZE];
	uint8_t mark_len;
	uint8_t empty; /* empty fragments of the record */
	gboolean last;
	gboolean done;
} record_reader_t;

void record_reader_init(record_reader_t *r, uint32_t limit);
void record_reader_finish(record_reader_t *r);

/**
 * record_reader_feed() - Process bytes of the stream, up to the end of a
 * record.
 * @r: the reader; a complete record is discarded by the next call
 * @data: the bytes
 * @len: number of bytes
 * @used: set to the number of bytes that were processed
 */
record_status_t record_reader_feed(
    record_reader_t *r, const uint8_t *data, size_t len, size_t *used);

/**
 * record_reader_idle() - Whether the stream is between two records.
 * @r: the reader
 */
gboolean record_reader_idle(const record_reader_t *r);

/**
 * record_write() - Append a record as one fragment.
 * @out: the record is appended here
 * @data: the record
 * @len: its length in bytes, less than 2^31
 */
void record_write(GByteArray *out, const uint8_t *data, uint32_t len);

#endif
