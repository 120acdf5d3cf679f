#include <sys/socket.h>

#include <unistd.h>

#include "protocol/record_mark.h"
#include "rpc_fixture.h"
#include "transport/rpc_stream.h"

#define ROUNDS 400
#define CONNS 24 /* open at a time */
#define BYTES_MAX 2048
#define STEP_MS 2

static GRand *dice;

static void
run_ms(int ms)
{
	struct timeval tv = {0, ms * 1000};

	event_base_loopexit(base, &tv);
	event_base_dispatch(base);
}

static int
connect_raw(void)
{
	rpc_addr_t addr;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert(rpc_addr_parse(&addr, address, NULL));
	ck_assert_int_eq(
	    connect(fd, (struct sockaddr *)&addr.addr, addr.len), 0);
	return fd;
}

static void
close_raw(int fd)
{
	struct linger reset = {.l_onoff = 1, .l_linger = 0};

	if (g_rand_boolean(dice))
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(fd);
}

static void
append_random(GByteArray *bytes, guint n)
{
	guint8 byte;

	while (n-- > 0) {
		byte = (guint8)g_rand_int_range(dice, 0, 256);
		g_byte_array_append(bytes, &byte, 1);
	}
}

/* A hello that the server accepts, as a record. */
static void
append_hello(GByteArray *bytes)
{
	rpc_cred_t cred = {"", "", "host-b", "host-a", 0};
	GByteArray *record = g_byte_array_new();
	rpc_call_t c = {0};
	guint i;

	for (i = 0; i < RPC_NONCE_SIZE; i++)
		cred.nonce[i] = (uint8_t)g_rand_int_range(dice, 0, 256);
	c.xid = g_rand_int(dice);
	c.program = HOST_PROGRAM;
	c.version = HOST_VERSION;
	c.proc = RPC_PROC_NULL;
	rpc_call_sign(&c, &cred, &key, NULL);
	rpc_call_encode(record, &c);
	record_write(bytes, record->data, record->len);
	g_byte_array_free(record, TRUE);
}

static void
spoil(GByteArray *bytes)
{
	guint at = (guint)g_rand_int_range(dice, 0, (gint)bytes->len);

	bytes->data[at] ^= (guint8)g_rand_int_range(dice, 1, 256);
}

/* Random bytes, records of any length, hellos: whole, spoiled or cut. */
static void
draw_bytes(GByteArray *bytes)
{
	guint8 mark[4] = {(guint8)g_rand_int_range(dice, 0, 256), 0, 0, 0};

	g_byte_array_set_size(bytes, 0);
	switch (g_rand_int_range(dice, 0, 5)) {
	case 0:
		append_random(
		    bytes, (guint)g_rand_int_range(dice, 1, BYTES_MAX));
		return;
	case 1:
		g_byte_array_append(bytes, mark, sizeof(mark));
		append_random(bytes, (guint)g_rand_int_range(dice, 1, 64));
		return;
	case 2:
		append_hello(bytes);
		break;
	case 3:
		append_hello(bytes);
		spoil(bytes);
		break;
	default:
		append_hello(bytes);
		append_hello(bytes);
		append_random(bytes, (guint)g_rand_int_range(dice, 1, 256));
		spoil(bytes);
		break;
	}
	if (g_rand_boolean(dice))
		g_byte_array_set_size(bytes,
		    (guint)g_rand_int_range(dice, 1, (gint)bytes->len + 1));
}

/* Writes in up to three parts; the peer may leave in the middle. */
static void
write_parts(int fd, const GByteArray *bytes)
{
	guint at = 0, n;

	while (at < bytes->len) {
		n = (guint)g_rand_int_range(
		    dice, 1, (gint)(bytes->len - at) + 1);
		if (send(fd, bytes->data + at, n, MSG_NOSIGNAL) < 0)
			return;
		at += n;
		if (g_rand_int_range(dice, 0, 3) == 0)
			run_ms(1);
	}
}

static void
random_peers_end_no_server(void)
{
	static const char *const reached[] = {
	    "rpc_refused_too_long_total",
	    "rpc_refused_undecodable_total",
	    "rpc_refused_credential_total",
	    "rpc_refused_verifier_total",
	};
	GByteArray *bytes = g_byte_array_new();
	int fds[CONNS];
	int i, k;

	start(ANSWER_NOW);
	for (k = 0; k < CONNS; k++)
		fds[k] = connect_raw();
	for (i = 0; i < ROUNDS; i++) {
		k = g_rand_int_range(dice, 0, CONNS);
		draw_bytes(bytes);
		write_parts(fds[k], bytes);
		if (g_rand_boolean(dice))
			run_ms(STEP_MS);
		if (g_rand_boolean(dice)) {
			close_raw(fds[k]);
			fds[k] = connect_raw();
		}
	}
	for (k = 0; k < CONNS; k++)
		close_raw(fds[k]);
	run_ms(10 * STEP_MS);
	ck_assert_int_eq(handled, 0);
	for (i = 0; i < (int)G_N_ELEMENTS(reached); i++)
		ck_assert_msg(counter_value(reached[i]) > 0, "%s", reached[i]);
	ck_assert(call(1, 10000, NULL));
	run_until(&answered, 1);
	ck_assert_int_eq(handled, 1);
	finish();
	g_byte_array_free(bytes, TRUE);
}

/* More connections than the server keeps, all with half a record. */
static void
many_connections_leave_room(void)
{
	GByteArray *bytes = g_byte_array_new();
	int fds[RPC_CONNECTIONS_MAX + CONNS];
	guint i;

	start(ANSWER_NOW);
	server.config.hello_ms = GUARD_SEC * MSEC_PER_SEC;
	append_hello(bytes);
	for (i = 0; i < G_N_ELEMENTS(fds); i++) {
		fds[i] = connect_raw();
		(void)send(fds[i], bytes->data, bytes->len / 2, MSG_NOSIGNAL);
		if (i % 16 == 0)
			run_ms(1);
	}
	run_ms(10 * STEP_MS);
	ck_assert_int_eq(counter_value("rpc_refused_connections_total"), CONNS);
	for (i = 0; i < G_N_ELEMENTS(fds); i++)
		close_raw(fds[i]);
	run_ms(10 * STEP_MS);
	ck_assert(call(1, 10000, NULL));
	run_until(&answered, 1);
	ck_assert_int_eq(handled, 1);
	finish();
	g_byte_array_free(bytes, TRUE);
}

/* ---- a server that sends anything to the client ---- */

static GPtrArray *accepted; /* bufferevent */

static void
on_call(struct bufferevent *bev, void *arg)
{
	GByteArray *bytes = g_byte_array_new();
	struct evbuffer *in = bufferevent_get_input(bev);

	(void)arg;
	evbuffer_drain(in, evbuffer_get_length(in));
	draw_bytes(bytes);
	bufferevent_write(bev, bytes->data, bytes->len);
	if (g_rand_boolean(dice))
		close_raw(dup(bufferevent_getfd(bev)));
	if (g_rand_boolean(dice))
		shutdown(bufferevent_getfd(bev), SHUT_RDWR);
	g_byte_array_free(bytes, TRUE);
}

static void
on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *from,
    int len, void *arg)
{
	struct bufferevent *bev =
	    bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);

	(void)l;
	(void)from;
	(void)len;
	(void)arg;
	bufferevent_setcb(bev, on_call, NULL, NULL, NULL);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
	g_ptr_array_add(accepted, bev);
}

static int ends;

/* Removes the peer or calls again from within the callback of a call. */
static void
on_end(void *arg, const rpc_result_t *result, const GError *err)
{
	rpc_args_t args;
	int todo = GPOINTER_TO_INT(arg);

	ck_assert(result == NULL && err != NULL);
	ends++;
	sample_args(RPC_PROC_BORROW, &args);
	if (todo == 1)
		rpc_client_remove_peer(&client, peer);
	else if (todo == 2 &&
	    rpc_client_call(&client, peer, &args, 20, on_end, NULL, NULL))
		ends--;
}

static void
unreadable_answers_end_no_client(void)
{
	struct evconnlistener *l;
	rpc_addr_t addr;
	rpc_args_t args;
	int i, k;

	start(ANSWER_NOW);
	accepted =
	    g_ptr_array_new_with_free_func((GDestroyNotify)bufferevent_free);
	ck_assert(rpc_addr_parse(&addr, "127.0.0.1:0", NULL));
	l = evconnlistener_new_bind(base, on_accept, NULL,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
	    (struct sockaddr *)&addr.addr, addr.len);
	g_snprintf(address, sizeof(address), "127.0.0.1:%u",
	    (unsigned int)rpc_addr_port(evconnlistener_get_fd(l)));
	sample_args(RPC_PROC_BORROW, &args);
	for (i = 0; i < ROUNDS / 4; i++) {
		ends = 0;
		ck_assert(rpc_client_peer(&client, address, &peer, NULL));
		for (k = 0; k < 3; k++)
			ck_assert(rpc_client_call(&client, peer, &args,
			    g_rand_int_range(dice, 1, 40), on_end,
			    GINT_TO_POINTER(g_rand_int_range(dice, 0, 3)),
			    NULL));
		run_until(&ends, 3);
		if (i % 8 == 0)
			rpc_client_remove_peer(&client, peer);
	}
	ck_assert_int_gt(counter_value("rpc_forged_answers_total"), 0);
	evconnlistener_free(l);
	g_ptr_array_free(accepted, TRUE);
	finish();
}

/* ---- peers that leave during a call, answers to calls given up ---- */

static void
answers_to_callers_that_left(void)
{
	rpc_call_id_t id;
	guint i;
	int n;

	for (n = 0; n < 20; n++) {
		start(ANSWER_HELD);
		ck_assert(call(1, 10000, NULL));
		ck_assert(call(2, 5, NULL)); /* given up */
		run_until(&handled, 2);
		run_until(&answered, 1);
		if (n % 2 == 0)
			rpc_client_remove_peer(&client, peer);
		if (n % 3 == 0)
			run_ms(STEP_MS);
		for (i = 0; i < held->len; i++) {
			id = g_array_index(held, rpc_call_id_t, i);
			answer(id, 1);
			answer(id, 1); /* again */
			rpc_server_refuse(&server, id);
		}
		run_ms(STEP_MS);
		run_until(&answered, 2);
		finish();
	}
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"random peers end no server", random_peers_end_no_server},
	    {"many connections leave room", many_connections_leave_room},
	    {"unreadable answers end no client",
		unreadable_answers_end_no_client},
	    {"answers to callers that left", answers_to_callers_that_left},
	};

	dice = g_rand_new_with_seed(20261205);
	return fixture_run(
	    "rpc faults", cases, sizeof(cases) / sizeof(cases[0]));
}
