#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#include <event2/util.h>

#include "base/error.h"
#include "transport/rpc_stream.h"

gboolean
rpc_addr_parse(rpc_addr_t *addr, const char *text, GError **err)
{
	struct sockaddr *sa = (struct sockaddr *)&addr->addr;
	const char *colon = strrchr(text, ':');

	addr->len = sizeof(addr->addr);
	if (colon != NULL && colon[1] != '\0' &&
	    evutil_parse_sockaddr_port(text, sa, &addr->len) == 0)
		return TRUE;
	error_set(err, ERROR_INVALID, "rpc.address", text,
	    "expected IP:PORT, by numbers");
	return FALSE;
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
