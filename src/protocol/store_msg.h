#ifndef PROTOCOL_STORE_MSG_H
#define PROTOCOL_STORE_MSG_H

#include <stdint.h>

#include <glib.h>

/*
 * Messages of the platform's table service in its JSON format; see
 * docs/PLATFORM.md. The caller owns what a decoder returns.
 */

/* Larger answers are refused. */
#define STORE_ANSWER_MAX_BYTES (16 * 1024 * 1024)

typedef struct {
	char *key;
	char *value;	  /* NULL: absent or deleted */
	uint64_t version; /* of the store at the last write; 0: never written */
} store_row_t;

/* A transaction takes effect only if the row has this version. */
typedef struct {
	const char *key;
	uint64_t version; /* 0: the row must be absent */
} store_check_t;

typedef struct {
	const char *key;
	const char *value; /* NULL: delete the row */
} store_write_t;

typedef struct {
	const store_check_t *checks;
	size_t nchecks;
	const store_write_t *writes;
	size_t nwrites;
} store_txn_t;

/*
 * Rows changed since a version, and the store version up to which all changes
 * are included.
 */
typedef struct {
	uint64_t version;
	GArray *rows; /* store_row_t */
} store_scan_t;

typedef struct {
	char *id;
	gboolean leaving;
} listed_host_t;

/**
 * store_msg_txn() - Encode a transaction.
 * @txn: the transaction
 *
 * Return: JSON text, to be freed with free().
 */
char *store_msg_txn(const store_txn_t *txn);

/**
 * store_msg_txn_answer() - Decode the answer to a successful transaction.
 * @text: JSON text
 * @len: its length in bytes
 * @version: set to the version that the transaction created
 * @err: set to ERROR_INVALID on failure
 */
gboolean store_msg_txn_answer(
    const char *text, size_t len, uint64_t *version, GError **err);

/**
 * store_msg_row() - Decode one row.
 * @text: JSON text
 * @len: its length in bytes
 * @row: set on success; clear with store_row_clear()
 * @err: set to ERROR_INVALID on failure
 */
gboolean store_msg_row(
    const char *text, size_t len, store_row_t *row, GError **err);

/**
 * store_msg_scan() - Decode the answer to a scan.
 * @text: JSON text
 * @len: its length in bytes
 * @scan: set on success; clear with store_scan_clear()
 * @err: set to ERROR_INVALID on failure
 */
gboolean store_msg_scan(
    const char *text, size_t len, store_scan_t *scan, GError **err);

/**
 * store_msg_hosts() - Decode the platform's list of hosts.
 * @text: JSON text
 * @len: its length in bytes
 * @err: set to ERROR_INVALID on failure
 *
 * Return: array of listed_host_t, whose elements are cleared when it is freed;
 * NULL on failure.
 */
GArray *store_msg_hosts(const char *text, size_t len, GError **err);

void store_row_clear(void *row);
void store_scan_clear(store_scan_t *scan);

#endif
