#include <sys/socket.h>

#include <errno.h>
#include <unistd.h>

#include <event2/util.h>

#include "base/error.h"
#include "base/log.h"
#include "transport/ports_wait.h"

#define RETRY_MS 50

/* A listening socket is in the way also with SO_REUSEADDR; connections that
 * have ended are not. */
static gboolean
is_held(const port_t *p)
{
	struct sockaddr_storage at;
	int len = sizeof(at);
	int fd;
	gboolean held;

	if (evutil_parse_sockaddr_port(
		p->address, (struct sockaddr *)&at, &len) != 0)
		return FALSE;
	fd = socket(at.ss_family,
	    (p->udp ? SOCK_DGRAM : SOCK_STREAM) | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return FALSE;
	if (!p->udp)
		(void)evutil_make_listen_socket_reuseable(fd);
	held = bind(fd, (struct sockaddr *)&at, (socklen_t)len) != 0 &&
	    errno == EADDRINUSE;
	close(fd);
	return held;
}

static const port_t *
first_held(const port_t *ports, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (is_held(&ports[i]))
			return &ports[i];
	}
	return NULL;
}

gboolean
ports_wait(const port_t *ports, size_t n, msec_t drain_ms, GError **err)
{
	msec_t wait_ms = drain_ms + PORTS_WAIT_MARGIN_MS;
	msec_t until = clock_now() + wait_ms;
	const port_t *held = first_held(ports, n);

	if (held != NULL)
		log_event(LOG_WARN, "host.start.waits", "held", held->address,
		    "wait_ms", log_num(wait_ms), NULL);
	while (held != NULL && clock_now() < until) {
		g_usleep(RETRY_MS * 1000);
		held = first_held(ports, n);
	}
	if (held == NULL)
		return TRUE;
	error_set(err, ERROR_UNAVAILABLE, "listen", held->address,
	    "another process holds the port, for %" G_GINT64_FORMAT " ms",
	    wait_ms);
	return FALSE;
}
