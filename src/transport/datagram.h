#ifndef TRANSPORT_DATAGRAM_H
#define TRANSPORT_DATAGRAM_H

#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>
#include <glib.h>

/* UDP datagrams between hosts. A lost datagram is not sent again. */

#define DATAGRAM_MAX_BYTES 8192

typedef void (*datagram_fn_t)(void *arg, const uint8_t *data, size_t len);

typedef struct {
	int fd;
	struct event *readable;
	datagram_fn_t on_datagram;
	void *arg;
	uint64_t sent, received, dropped;
} datagram_t;

/**
 * datagram_init() - Bind a socket and receive datagrams.
 * @d: memory of the caller
 * @base: the event loop
 * @address: "IP:PORT" to bind, IPv4
 * @on_datagram: called for each datagram received
 * @arg: argument of @on_datagram
 * @err: set on failure
 */
gboolean datagram_init(datagram_t *d, struct event_base *base,
    const char *address, datagram_fn_t on_datagram, void *arg, GError **err);
void datagram_finish(datagram_t *d);

/**
 * datagram_send() - Send a datagram, which may get lost.
 * @d: the socket
 * @address: "IP:PORT" of the receiver, IPv4
 * @data: the datagram
 * @len: its length in bytes
 *
 * A datagram that can't be sent without blocking is dropped and counted.
 */
void datagram_send(
    datagram_t *d, const char *address, const uint8_t *data, size_t len);

#endif
