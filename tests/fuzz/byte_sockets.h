#ifndef FUZZ_BYTE_SOCKETS_H
#define FUZZ_BYTE_SOCKETS_H

#include <sys/socket.h>

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <event2/event.h>
#include <glib.h>

/* Sockets on loopback that the harness reads and writes without an event loop,
 * beside the product's loop in the same thread. */

#define SOCKETS_FIRST_PORT 25600
#define SOCKETS_LAST_PORT 25699
/* Turns of the loop after which nothing that has arrived is left to do. */
#define SOCKETS_QUIET_TURNS 6
/* Limit of a wait for something that must happen. */
#define SOCKETS_BOUND_TURNS 20000
#define SOCKETS_TURN_USEC 200

static inline void
sockets_turns(struct event_base *base, int n)
{
	int i;

	for (i = 0; i < n; i++)
		event_base_loop(base, EVLOOP_NONBLOCK);
}

/* Closes with a reset, so that no port waits for late segments. */
static inline void
sockets_reset(int fd)
{
	const struct linger none = {.l_onoff = 1, .l_linger = 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
	close(fd);
}

static inline struct sockaddr_in
sockets_address(int port)
{
	struct sockaddr_in at = {
	    .sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	};

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return at;
}

/* Listens on the first port that is free. */
static inline int
sockets_listen(int *port)
{
	struct sockaddr_in at;
	int fd, on = 1;

	for (*port = SOCKETS_FIRST_PORT; *port <= SOCKETS_LAST_PORT; ++*port) {
		fd = socket(
		    AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
		at = sockets_address(*port);
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		if (bind(fd, (struct sockaddr *)&at, sizeof(at)) == 0 &&
		    listen(fd, 64) == 0)
			return fd;
		close(fd);
	}
	g_error("no free port");
}

/* Sends and acknowledges at once. */
static inline void
sockets_no_delay(int fd)
{
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_QUICKACK, &on, sizeof(on));
}

/* Takes what has arrived. Return: FALSE at the end of the input. */
static inline gboolean
sockets_read(int fd, GString *in)
{
	char block[4096];
	ssize_t n;

	while ((n = recv(fd, block, sizeof(block), MSG_DONTWAIT)) > 0)
		g_string_append_len(in, block, n);
	sockets_no_delay(fd);
	return n < 0 && (errno == EAGAIN || errno == EINTR);
}

#endif
