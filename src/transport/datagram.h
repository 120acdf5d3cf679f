#ifndef TRANSPORT_DATAGRAM_H
#define TRANSPORT_DATAGRAM_H

#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>
#include <glib.h>

/* Datagrams between hosts: bound to one address, nothing is repeated. */

#define DATAGRAM_MAX_BYTES 8192

typedef void (*datagram_done_t)(void *arg, const uint8_t *data, size_t len);

typedef struct {
	int fd;
	struct event *readable;
	datagram_done_t take;
	void *arg;
	uint64_t sent, received, dropped;
} datagram_t;

/**
 * datagram_init() - Bind.
 * @d: memory of the caller
 * @base: the loop
 * @address: "IP:PORT"
 * @take: called for each datagram
 * @arg: its argument
 * @err: set on failure
 */
gboolean datagram_init(datagram_t *d, struct event_base *base,
    const char *address, datagram_done_t take, void *arg, GError **err);
void datagram_finish(datagram_t *d);

/** datagram_send() - Send one; it may be lost, here or on the way. */
void datagram_send(
    datagram_t *d, const char *address, const uint8_t *data, size_t len);

#endif
