#include <event2/bufferevent.h>

#include "rpc_fixture.h"
#include "transport/rpc_stream.h"

/*
 * A relay between client and server alters one byte, or cuts the connection,
 * at each position in turn. In each case the call runs at most once, only a
 * correct answer is accepted, and an error that says that the call had no
 * effect is true.
 */

#define DEADLINE_MS 100
#define HELLO_REPLY_BYTES 76
#define POSITIONS_MAX 2000 /* more than the bytes sent in either direction */

typedef enum {
	FLIP,
	CUT,
	FORGE, /* a denial instead of the bytes received */
} fault_t;

typedef struct {
	struct bufferevent *in, *out;
	size_t passed;
	size_t position; /* of the byte where the fault is injected */
} side_t;

static struct evconnlistener *listener;
static side_t to_server, to_client;
static fault_t fault;
static int injected;

static void
close_both(void)
{
	if (to_server.in == NULL)
		return;
	bufferevent_free(to_server.in);
	bufferevent_free(to_server.out);
	to_server.in = NULL;
}

/* Denies the first call after the hello. */
static void
forge_denial(struct bufferevent *out)
{
	GByteArray *record = g_byte_array_new();
	rpc_reply_t reply = {0};

	reply.xid = 2;
	reply.status = RPC_STATUS_VERIFIER;
	rpc_reply_encode(record, &reply);
	rpc_stream_send(out, record);
	g_byte_array_free(record, TRUE);
}

static void
forward_bytes(struct bufferevent *bev, void *arg)
{
	side_t *side = arg;
	uint8_t buf[4096];
	size_t n = bufferevent_read(bev, buf, sizeof(buf));
	size_t at = side->position - side->passed;

	side->passed += n;
	if (at >= n) {
		bufferevent_write(side->out, buf, n);
		return;
	}
	injected = 1;
	if (fault == FLIP) {
		buf[at] ^= 1;
		bufferevent_write(side->out, buf, n);
	} else if (fault == FORGE) {
		forge_denial(side->out);
	} else {
		close_both();
	}
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	(void)arg;
	if ((what & BEV_EVENT_CONNECTED) == 0)
		close_both();
}

static void
relay_accept(struct evconnlistener *l, evutil_socket_t fd,
    struct sockaddr *from, int len, void *arg)
{
	struct bufferevent *a, *b;
	rpc_addr_t addr;

	(void)l;
	(void)from;
	(void)len;
	(void)arg;
	close_both();
	ck_assert(rpc_addr_parse(&addr, address, NULL));
	a = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
	b = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
	to_server.in = to_client.out = a;
	to_server.out = to_client.in = b;
	bufferevent_setcb(a, forward_bytes, NULL, on_event, &to_server);
	bufferevent_setcb(b, forward_bytes, NULL, on_event, &to_client);
	bufferevent_enable(a, EV_READ | EV_WRITE);
	bufferevent_enable(b, EV_READ | EV_WRITE);
	bufferevent_socket_connect(b, (struct sockaddr *)&addr.addr, addr.len);
}

static void
relay_listen(void)
{
	char relay_address[32];
	rpc_addr_t addr;

	ck_assert(rpc_addr_parse(&addr, "127.0.0.1:0", NULL));
	listener = evconnlistener_new_bind(base, relay_accept, NULL,
	    LEV_OPT_CLOSE_ON_FREE, -1, (struct sockaddr *)&addr.addr, addr.len);
	g_snprintf(relay_address, sizeof(relay_address), "127.0.0.1:%u",
	    (unsigned int)rpc_addr_port(evconnlistener_get_fd(listener)));
	/* The server must know the address at which clients call it. */
	server.config.self.id = g_strdup(relay_address);
	ck_assert(rpc_client_peer(&client, relay_address, &peer, NULL));
}

static void
set_fault(fault_t what, side_t *side, size_t position)
{
	fault = what;
	injected = 0;
	to_server.position = to_client.position = SIZE_MAX;
	to_server.passed = to_client.passed = 0;
	side->position = position;
}

static void
call_with_fault(fault_t what, side_t *side, size_t position)
{
	int no_effect;

	start(ANSWER_NOW);
	relay_listen();
	set_fault(what, side, position);
	ck_assert(call(7, DEADLINE_MS, NULL));
	run_until(&answered, 1);
	no_effect = failures[ERROR_UNAVAILABLE] + failures[ERROR_DENIED] +
	    failures[ERROR_INVALID];
	/* Deliver what is still under way. */
	event_base_loop(base, EVLOOP_NONBLOCK);
	event_base_loop(base, EVLOOP_NONBLOCK);
	ck_assert_int_eq(answered, 1);
	ck_assert_int_le(handled, 1);
	ck_assert_msg(no_effect == 0 || handled == 0,
	    "fault %d at %zu: reported as not run, but ran", (int)what,
	    position);
	g_free((char *)server.config.self.id);
	close_both();
	evconnlistener_free(listener);
	finish();
}

static void
inject_at_every_position(fault_t what, side_t *side)
{
	size_t position = 0, timed_out = 0;

	for (;;) {
		call_with_fault(what, side, position);
		if (injected)
			position++;
		else if (handled == 1 && failures[ERROR_UNKNOWN] == 0)
			break;
		else
			timed_out++; /* slow machine: deadline passed */
		ck_assert_uint_lt(position + timed_out, POSITIONS_MAX);
	}
	/* Past the last byte the call is answered. */
	ck_assert_uint_gt(position, 100);
}

static void
calls_altered_at_any_byte(void)
{
	inject_at_every_position(FLIP, &to_server);
}

static void
replies_altered_at_any_byte(void)
{
	inject_at_every_position(FLIP, &to_client);
}

static void
calls_cut_at_any_byte(void)
{
	inject_at_every_position(CUT, &to_server);
}

static void
replies_cut_at_any_byte(void)
{
	inject_at_every_position(CUT, &to_client);
}

static void
forged_denial_leaves_the_outcome_unknown(void)
{
	call_with_fault(FORGE, &to_client, HELLO_REPLY_BYTES);
	ck_assert_int_eq(handled, 1);
	ck_assert_int_eq(failures[ERROR_UNKNOWN], 1);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"calls altered at any byte", calls_altered_at_any_byte},
	    {"replies altered at any byte", replies_altered_at_any_byte},
	    {"calls cut at any byte", calls_cut_at_any_byte},
	    {"replies cut at any byte", replies_cut_at_any_byte},
	    {"a forged denial leaves the outcome unknown",
		forged_denial_leaves_the_outcome_unknown},
	};

	return fixture_run("rpc path", cases, sizeof(cases) / sizeof(cases[0]));
}
