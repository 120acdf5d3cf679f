#ifndef TRANSPORT_RPC_STREAM_H
#define TRANSPORT_RPC_STREAM_H

#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "protocol/record_mark.h"

/* Records over a bufferevent, shared by the RPC client and server. */

typedef struct {
	struct sockaddr_storage addr;
	int len;
} rpc_addr_t;

/**
 * rpc_addr_parse() - Parse "IP:PORT".
 * @addr: set to the address
 * @text: numeric IPv4 address or [IPv6] address, with a port
 * @err: ERROR_INVALID if the text can't be parsed
 */
gboolean rpc_addr_parse(rpc_addr_t *addr, const char *text, GError **err);

/**
 * rpc_addr_format() - Format an address as "IP:PORT", or "-" if that fails.
 */
void rpc_addr_format(
    char *text, size_t size, const struct sockaddr *sa, int len);

/**
 * rpc_addr_port() - Port to which a socket is bound, or 0.
 * @fd: the socket
 */
uint16_t rpc_addr_port(evutil_socket_t fd);

/**
 * rpc_stream_no_delay() - Send small records without delay (TCP_NODELAY).
 * @bev: a connected bufferevent
 */
void rpc_stream_no_delay(struct bufferevent *bev);

/**
 * rpc_stream_read() - Feed input to a reader, up to the end of a record.
 * @in: input of the bufferevent; consumed bytes are drained
 * @r: the reader
 *
 * Return: status of the reader; RECORD_MORE if the input ended first.
 */
record_status_t rpc_stream_read(struct evbuffer *in, record_reader_t *r);

/**
 * rpc_stream_send() - Queue a record for sending.
 * @bev: the connection
 * @record: bytes of the record, without the record mark
 */
void rpc_stream_send(struct bufferevent *bev, const GByteArray *record);

#endif
