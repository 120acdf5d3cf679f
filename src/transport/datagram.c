#include <sys/socket.h>

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <event2/util.h>

#include "base/error.h"
#include "transport/datagram.h"

/* Limits the work of one read event, so that other events are not delayed. */
#define DATAGRAMS_PER_EVENT_MAX 64

static void
on_readable(evutil_socket_t fd, short what, void *arg)
{
	datagram_t *d = arg;
	uint8_t data[DATAGRAM_MAX_BYTES];
	ssize_t len;
	int i;

	(void)what;
	for (i = 0; i < DATAGRAMS_PER_EVENT_MAX; i++) {
		len = recv(fd, data, sizeof(data), MSG_DONTWAIT);
		if (len < 0)
			return;
		d->received++;
		d->on_datagram(d->arg, data, (size_t)len);
	}
}

static gboolean
parse_address(const char *address, struct sockaddr_in *sin)
{
	int len = sizeof(*sin);

	return evutil_parse_sockaddr_port(
		   address, (struct sockaddr *)sin, &len) == 0 &&
	    sin->sin_family == AF_INET;
}

gboolean
datagram_init(datagram_t *d, struct event_base *base, const char *address,
    datagram_fn_t on_datagram, void *arg, GError **err)
{
	struct sockaddr_in sin;

	memset(d, 0, sizeof(*d));
	d->on_datagram = on_datagram;
	d->arg = arg;
	d->fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (d->fd < 0 || !parse_address(address, &sin) ||
	    bind(d->fd, (struct sockaddr *)&sin, sizeof(sin)) != 0) {
		error_set(err, ERROR_UNAVAILABLE, "listen", address, "%s",
		    g_strerror(errno));
		return FALSE;
	}
	d->readable =
	    event_new(base, d->fd, EV_READ | EV_PERSIST, on_readable, d);
	event_add(d->readable, NULL);
	return TRUE;
}

void
datagram_finish(datagram_t *d)
{
	if (d->readable != NULL)
		event_free(d->readable);
	if (d->fd >= 0)
		close(d->fd);
}

void
datagram_send(
    datagram_t *d, const char *address, const uint8_t *data, size_t len)
{
	struct sockaddr_in sin;

	if (!parse_address(address, &sin) ||
	    sendto(d->fd, data, len, MSG_DONTWAIT | MSG_NOSIGNAL,
		(struct sockaddr *)&sin, sizeof(sin)) < 0)
		d->dropped++;
	else
		d->sent++;
}
