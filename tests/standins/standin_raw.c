/*
 * Sends standard input unchanged to IP:PORT and prints what comes back until
 * the other side closes or sends nothing for ten seconds: standin_raw IP:PORT.
 * Prints "reset" on standard error if the connection was not closed in an
 * orderly way.
 */
#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#define WAIT_MS 10000

static int
connect_to(const char *address)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	char **parts = g_strsplit(address, ":", 2);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (g_strv_length(parts) != 2 ||
	    inet_pton(AF_INET, parts[0], &a.sin_addr) != 1)
		return -1;
	a.sin_port = htons((uint16_t)atoi(parts[1]));
	g_strfreev(parts);
	return connect(fd, (struct sockaddr *)&a, sizeof(a)) == 0 ? fd : -1;
}

int
main(int argc, char **argv)
{
	struct pollfd p = {.events = POLLIN};
	char bytes[8192];
	ssize_t n = 0;

	p.fd = argc == 2 ? connect_to(argv[1]) : -1;
	if (p.fd < 0)
		return 1;
	while ((n = read(STDIN_FILENO, bytes, sizeof(bytes))) > 0) {
		if (write(p.fd, bytes, (size_t)n) != n)
			return 1;
	}
	while (poll(&p, 1, WAIT_MS) == 1 &&
	    (n = read(p.fd, bytes, sizeof(bytes))) > 0)
		fwrite(bytes, 1, (size_t)n, stdout);
	if (n < 0)
		fprintf(stderr, "reset\n");
	close(p.fd);
	return 0;
}
