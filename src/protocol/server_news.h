#ifndef PROTOCOL_SERVER_NEWS_H
#define PROTOCOL_SERVER_NEWS_H

#include "protocol/beacon.h"
#include "protocol/table_msg.h"

/*
 * Changes of the table of backend servers, as a host that read them passes
 * them on. They lead from one version of the table to another: who knows an
 * earlier one has missed something and reads for itself.
 */
typedef struct {
	uint64_t host; /* who read them */
	uint64_t from, to;
	gboolean away;	 /* entries may have gone since the store was away */
	GPtrArray *rows; /* table_row_t */
} server_news_t;

/**
 * server_news_encode() - Write as many rows as one datagram holds.
 * @news: the news; @from and @to are set to what the datagram leads
 *	through: with rows left over, up to the last row written
 * @first: index of the first row to be written
 * @secret: of the hosts
 * @out: room for BEACON_MAX_BYTES
 * @len: set to the bytes written
 *
 * Return: index of the next row to be written.
 */
guint server_news_encode(server_news_t *news, guint first,
    const beacon_secret_t *secret, uint8_t *out, size_t *len);

/**
 * server_news_decode() - Check and read a datagram.
 * @page: set on success, with its rows and @to as its version;
 *	table_page_finish() is due
 */
gboolean server_news_decode(const uint8_t *data, size_t len,
    const beacon_secret_t *secret, server_news_t *news, table_page_t *page);

#endif
