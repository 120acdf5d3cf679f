#include <event2/bufferevent.h>

#include "rpc_fixture.h"
#include "transport/rpc_stream.h"

/*
 * Somebody between client and server alters one byte, or cuts the connection,
 * at every place in turn. Whatever comes of it, the call runs at most once, a
 * right answer is the only answer, and "had no effect" is true.
 */

#define DEADLINE_MS 100
#define HELLO_REPLY_BYTES 76
#define PLACES_MAX 2000 /* more than the bytes of either direction */

typedef enum {
	FLIP,
	CUT,
	FORGE, /* a denial in place of what comes */
} fault_t;

typedef struct {
	struct bufferevent *in, *out;
	size_t passed;
	size_t place; /* of the byte to spoil */
} side_t;

static struct evconnlistener *listener;
static side_t to_server, to_client;
static fault_t fault;
static int spoiled;

static void
hang_up(void)
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
pass(struct bufferevent *bev, void *arg)
{
	side_t *side = arg;
	uint8_t buf[4096];
	size_t n = bufferevent_read(bev, buf, sizeof(buf));
	size_t at = side->place - side->passed;

	side->passed += n;
	if (at >= n) {
		bufferevent_write(side->out, buf, n);
		return;
	}
	spoiled = 1;
	if (fault == FLIP) {
		buf[at] ^= 1;
		bufferevent_write(side->out, buf, n);
	} else if (fault == FORGE) {
		forge_denial(side->out);
	} else {
		hang_up();
	}
}

static void
ended(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	(void)arg;
	if ((what & BEV_EVENT_CONNECTED) == 0)
		hang_up();
}

static void
join_sides(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *from,
    int len, void *arg)
{
	struct bufferevent *a, *b;
	rpc_addr_t addr;

	(void)l;
	(void)from;
	(void)len;
	(void)arg;
	hang_up();
	ck_assert(rpc_addr_parse(&addr, address, NULL));
	a = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
	b = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
	to_server.in = to_client.out = a;
	to_server.out = to_client.in = b;
	bufferevent_setcb(a, pass, NULL, ended, &to_server);
	bufferevent_setcb(b, pass, NULL, ended, &to_client);
	bufferevent_enable(a, EV_READ | EV_WRITE);
	bufferevent_enable(b, EV_READ | EV_WRITE);
	bufferevent_socket_connect(b, (struct sockaddr *)&addr.addr, addr.len);
}

static void
listen_between(void)
{
	char between[32];
	rpc_addr_t addr;

	ck_assert(rpc_addr_parse(&addr, "127.0.0.1:0", NULL));
	listener = evconnlistener_new_bind(base, join_sides, NULL,
	    LEV_OPT_CLOSE_ON_FREE, -1, (struct sockaddr *)&addr.addr, addr.len);
	g_snprintf(between, sizeof(between), "127.0.0.1:%u",
	    (unsigned int)rpc_addr_port(evconnlistener_get_fd(listener)));
	/* The server is told the address by which it is called. */
	server.config.self.id = g_strdup(between);
	ck_assert(rpc_client_peer(&client, between, &peer, NULL));
}

static void
place_fault(fault_t what, side_t *side, size_t place)
{
	fault = what;
	spoiled = 0;
	to_server.place = to_client.place = SIZE_MAX;
	to_server.passed = to_client.passed = 0;
	side->place = place;
}

static void
call_through(fault_t what, side_t *side, size_t place)
{
	int no_effect;

	start(ANSWER_NOW);
	listen_between();
	place_fault(what, side, place);
	ck_assert(call(7, DEADLINE_MS, NULL));
	run_until(&answered, 1);
	no_effect = failures[ERROR_UNAVAILABLE] + failures[ERROR_DENIED] +
	    failures[ERROR_INVALID];
	/* Whatever was still under way arrives. */
	event_base_loop(base, EVLOOP_NONBLOCK);
	event_base_loop(base, EVLOOP_NONBLOCK);
	ck_assert_int_eq(answered, 1);
	ck_assert_int_le(handled, 1);
	ck_assert_msg(no_effect == 0 || handled == 0,
	    "fault %d at %zu: told not run, but ran", (int)what, place);
	g_free((char *)server.config.self.id);
	hang_up();
	evconnlistener_free(listener);
	finish();
}

static void
every_place(fault_t what, side_t *side)
{
	size_t place = 0, rushed = 0;

	for (;;) {
		call_through(what, side, place);
		if (spoiled)
			place++;
		else if (handled == 1 && failures[ERROR_UNKNOWN] == 0)
			break;
		else
			rushed++; /* a slow machine: the deadline came first */
		ck_assert_uint_lt(place + rushed, PLACES_MAX);
	}
	/* Past the last byte the call is answered. */
	ck_assert_uint_gt(place, 100);
}

static void
calls_may_be_altered_anywhere(void)
{
	every_place(FLIP, &to_server);
}

static void
replies_may_be_altered_anywhere(void)
{
	every_place(FLIP, &to_client);
}

static void
calls_may_be_cut_anywhere(void)
{
	every_place(CUT, &to_server);
}

static void
replies_may_be_cut_anywhere(void)
{
	every_place(CUT, &to_client);
}

static void
a_forged_denial_proves_nothing(void)
{
	call_through(FORGE, &to_client, HELLO_REPLY_BYTES);
	ck_assert_int_eq(handled, 1);
	ck_assert_int_eq(failures[ERROR_UNKNOWN], 1);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"calls may be altered anywhere", calls_may_be_altered_anywhere},
	    {"replies may be altered anywhere",
		replies_may_be_altered_anywhere},
	    {"calls may be cut anywhere", calls_may_be_cut_anywhere},
	    {"replies may be cut anywhere", replies_may_be_cut_anywhere},
	    {"a forged denial proves nothing", a_forged_denial_proves_nothing},
	};

	return fixture_run("rpc path", cases, sizeof(cases) / sizeof(cases[0]));
}
