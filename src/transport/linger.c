#include <sys/ioctl.h>
#include <sys/socket.h>

#include <errno.h>
#include <linux/sockios.h>

#include "transport/linger.h"

#define DROP_BYTES 65536 /* in one turn of the loop */

static void
on_input(evutil_socket_t fd, short what, void *arg)
{
	static char dropped[DROP_BYTES];
	linger_t *l = arg;
	ssize_t len = recv(fd, dropped, sizeof(dropped), MSG_DONTWAIT);

	(void)what;
	if (len > 0 || (len < 0 && (errno == EAGAIN || errno == EINTR)))
		return;
	event_del(l->input);
	l->until = 0;
}

void
linger_begin(linger_t *l, struct event_base *base, int fd, msec_t now)
{
	(void)shutdown(fd, SHUT_WR);
	l->fd = fd;
	l->until = now + LINGER_MAX_MS;
	l->input = event_new(base, fd, EV_READ | EV_PERSIST, on_input, l);
	if (event_add(l->input, NULL) != 0)
		l->until = 0;
}

gboolean
linger_is_over(const linger_t *l, msec_t now)
{
	int unsent = 0;

	if (now < l->until)
		return FALSE;
	if (l->until == 0 || now >= l->until + LINGER_UNSENT_MS)
		return TRUE;
	return ioctl(l->fd, SIOCOUTQ, &unsent) != 0 || unsent == 0;
}

void
linger_finish(linger_t *l)
{
	if (l->input != NULL)
		event_free(l->input);
	l->input = NULL;
}
