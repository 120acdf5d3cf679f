#include <arpa/inet.h>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#include <event2/util.h>

#include "base/error.h"
#include "transport/rpc_stream.h"

static gboolean
port_parse(const char *text, in_port_t *port)
{
	guint64 n;

	if (!g_ascii_string_to_unsigned(text, 10, 0, UINT16_MAX, &n, NULL))
		return FALSE;
	*port = htons((uint16_t)n);
	return TRUE;
}

static gboolean
host_parse(rpc_addr_t *addr, const char *host, in_port_t port)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)&addr->addr;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)&addr->addr;

	memset(addr, 0, sizeof(*addr));
	if (inet_pton(AF_INET, host, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = port;
		addr->len = sizeof(*v4);
		return TRUE;
	}
	if (inet_pton(AF_INET6, host, &v6->sin6_addr) != 1)
		return FALSE;
	v6->sin6_family = AF_INET6;
	v6->sin6_port = port;
	addr->len = sizeof(*v6);
	return TRUE;
}

gboolean
rpc_addr_parse(rpc_addr_t *addr, const char *text, GError **err)
{
	const char *colon = strrchr(text, ':');
	size_t len = colon != NULL ? (size_t)(colon - text) : 0;
	gboolean ok = FALSE;
	in_port_t port;
	char *host;

	if (len > 1 && port_parse(colon + 1, &port)) {
		if (text[0] == '[' && text[len - 1] == ']')
			host = g_strndup(text + 1, len - 2);
		else
			host = g_strndup(text, len);
		ok = (strchr(host, ':') != NULL) == (text[0] == '[') &&
		    host_parse(addr, host, port);
		g_free(host);
	}
	if (!ok)
		error_set(err, ERROR_INVALID, "rpc.address", text,
		    "expected a numeric IP:PORT");
	return ok;
}

void
rpc_addr_format(char *text, size_t size, const struct sockaddr *sa, int len)
{
	char host[64], port[16];

	if (getnameinfo(sa, (socklen_t)len, host, sizeof(host), port,
		sizeof(port), NI_NUMERICHOST | NI_NUMERICSERV) != 0)
		g_strlcpy(text, "-", size);
	else
		g_snprintf(text, size,
		    sa->sa_family == AF_INET6 ? "[%s]:%s" : "%s:%s", host,
		    port);
}

uint16_t
rpc_addr_port(evutil_socket_t fd)
{
	union {
		struct sockaddr any;
		struct sockaddr_in v4;
		struct sockaddr_in6 v6;
	} name;
	socklen_t len = sizeof(name);

	memset(&name, 0, sizeof(name));
	if (getsockname(fd, &name.any, &len) != 0)
		return 0;
	if (name.any.sa_family == AF_INET6)
		return ntohs(name.v6.sin6_port);
	return ntohs(name.v4.sin_port);
}

void
rpc_stream_no_delay(struct bufferevent *bev)
{
	int on = 1;

	setsockopt(
	    bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

record_status_t
rpc_stream_read(struct evbuffer *in, record_reader_t *r)
{
	record_status_t status = RECORD_MORE;
	struct evbuffer_iovec v;
	size_t used;

	while (
	    status == RECORD_MORE && evbuffer_peek(in, -1, NULL, &v, 1) > 0) {
		status = record_reader_feed(r, v.iov_base, v.iov_len, &used);
		evbuffer_drain(in, used);
	}
	return status;
}

void
rpc_stream_send(struct bufferevent *bev, const GByteArray *record)
{
	GByteArray *marked =
	    g_byte_array_sized_new(record->len + RECORD_MARK_SIZE);

	record_write(marked, record->data, record->len);
	bufferevent_write(bev, marked->data, marked->len);
	g_byte_array_free(marked, TRUE);
}
