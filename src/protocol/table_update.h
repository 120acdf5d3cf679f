#ifndef PROTOCOL_TABLE_UPDATE_H
#define PROTOCOL_TABLE_UPDATE_H

#include "base/clock.h"
#include "protocol/peer_msg.h"
#include "protocol/table_msg.h"

/*
 * Changes of a table of the store, sent by the host that read them to its
 * peers. They lead from one version of the table to a later one. A host that
 * has an earlier version than @from has missed changes and reads the table
 * itself.
 */
typedef struct {
	uint32_t table; /* number of the table, assigned by the hosts */
	uint64_t from, to;
	/* For this time, entries may be missing as they lapsed while the store
	 * was unreachable; at most TABLE_LAPSE_MAX_MS. */
	msec_t lapse_left_ms;
	gboolean
	    relay; /* a collector passes it on to the hosts of its domain */
	/* table_row_t: removed rows first, since a listing does not tell when
	 * they were removed; then the others in the order of their versions. */
	GPtrArray *rows;
} table_update_t;

#define TABLE_LAPSE_MAX_MS 60000

/**
 * table_update_encode() - Encode as many rows as fit in one datagram.
 * @update: the changes; its @from is set to the version to which this
 *	datagram leads: all rows up to it are in this or an earlier datagram
 * @first: index of the first row to encode
 * @secret: secret shared by the hosts
 * @out: buffer of PEER_MSG_MAX_BYTES
 * @len: set to the number of bytes written
 *
 * In place of a row that is too big for a datagram, or of rows of one version
 * that together are, the datagram says that a change is missing. Removed rows
 * that don't fit in one datagram are not sent, nor are those after them.
 *
 * Return: index of the next row to encode.
 */
guint table_update_encode(table_update_t *update, guint first,
    const peer_secret_t *secret, uint8_t *out, size_t *len);

/**
 * table_update_decode() - Authenticate and decode a datagram.
 * @page: on success set to the rows, with the update's @to as its
 *	version; to be freed with table_page_finish()
 */
gboolean table_update_decode(const uint8_t *data, size_t len,
    const peer_secret_t *secret, table_update_t *update, table_page_t *page);

typedef enum {
	TABLE_UPDATE_JOINS, /* to be applied; then its @to is known */
	TABLE_UPDATE_GAP,   /* changes before it are missing */
	TABLE_UPDATE_OLD,   /* of an older era of the store */
} table_update_verdict_t;

/**
 * table_update_judge() - Whether an update joins what a host has.
 * @update: the update
 * @ver: version up to which the host has all changes
 */
table_update_verdict_t table_update_judge(
    const table_update_t *update, uint64_t ver);

#endif
