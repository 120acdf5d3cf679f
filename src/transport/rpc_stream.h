#ifndef TRANSPORT_RPC_STREAM_H
#define TRANSPORT_RPC_STREAM_H

#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "protocol/record_mark.h"

/* Records over a bufferevent, as client and server both need them. */

typedef struct {
	struct sockaddr_storage addr;
	int len;
} rpc_addr_t;

/**
 * rpc_addr_parse() - Read "IP:PORT".
 * @addr: filled in
 * @text: IPv4 or [IPv6], by number, with a port
 * @err: ERROR_INVALID
 */
gboolean rpc_addr_parse(rpc_addr_t *addr, const char *text, GError **err);

/**
 * rpc_addr_format() - Write an address as "IP:PORT", "-" if it has no such.
 */
void rpc_addr_format(
    char *text, size_t size, const struct sockaddr *sa, int len);

/**
 * rpc_addr_port() - Port to which a socket is bound, 0 if it is not.
 * @fd: the socket
 */
uint16_t rpc_addr_port(evutil_socket_t fd);

/**
 * rpc_stream_no_delay() - Send small records at once (TCP_NODELAY).
 * @bev: a connected bufferevent
 */
void rpc_stream_no_delay(struct bufferevent *bev);

/**
 * rpc_stream_read() - Move what has come into a reader, up to a record's end.
 * @in: input of the bufferevent
 * @r: the reader
 */
record_status_t rpc_stream_read(struct evbuffer *in, record_reader_t *r);

/**
 * rpc_stream_send() - Queue a record.
 * @bev: the connection
 * @record: its bytes
 */
void rpc_stream_send(struct bufferevent *bev, const GByteArray *record);

#endif
