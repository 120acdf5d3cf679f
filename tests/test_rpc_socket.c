#include <signal.h>
#include <string.h>

#include <event2/bufferevent.h>

#include "base/error.h"
#include "base/log.h"
#include "rpc_samples.h"
#include "suite.h"
#include "transport/rpc_client.h"
#include "transport/rpc_server.h"
#include "transport/rpc_stream.h"

/* A server and a client on one loop, joined by a loopback socket. */

#define GUARD_SEC 20 /* a hung test ends in failure */

typedef enum {
	ANSWER_NOW,
	ANSWER_HELD, /* kept in held[] for the test */
	ANSWER_REFUSED,
} policy_t;

static struct event_base *base;
static struct event *guard;
static rpc_server_t server;
static rpc_client_t client;
static rpc_peer_id_t peer;
static rpc_key_t key, other_key;
static metrics_t metrics;
static char address[32];
static policy_t policy;
static int handled;
static GArray *held;	/* rpc_call_id_t */
static GArray *epochs;	/* epoch known of each held call */
static int answered;	/* answers and failures, by call */
static int failures[8]; /* by error_code_t */

static void
answer(rpc_call_id_t id, uint64_t epoch)
{
	rpc_result_t r;

	sample_result(RPC_PROC_BORROW, &r);
	r.u.borrow.epoch = epoch;
	rpc_server_answer(&server, id, &r);
}

static void
handle(void *arg, rpc_call_id_t id, const char *caller, const rpc_args_t *args)
{
	ck_assert_ptr_null(arg);
	ck_assert_str_eq(caller, "host-b");
	ck_assert_int_eq(args->proc, RPC_PROC_BORROW);
	handled++;
	if (policy == ANSWER_NOW)
		answer(id, args->u.borrow.epoch);
	else if (policy == ANSWER_REFUSED)
		rpc_server_refuse(&server, id);
	g_array_append_val(held, id);
	g_array_append_val(epochs, args->u.borrow.epoch);
}

static void
on_answer(void *arg, const rpc_result_t *result, const GError *err)
{
	ck_assert((result == NULL) == (err != NULL));
	answered++;
	if (err != NULL)
		failures[err->code]++;
	else
		ck_assert_uint_eq(
		    result->u.borrow.epoch, GPOINTER_TO_UINT(arg));
}

static gboolean
call(unsigned int epoch, msec_t timeout_ms, GError **err)
{
	rpc_args_t args;

	sample_args(RPC_PROC_BORROW, &args);
	args.u.borrow.epoch = epoch;
	return rpc_client_call(&client, peer, &args, timeout_ms, on_answer,
	    GUINT_TO_POINTER(epoch), err);
}

static void
run_until(const int *count, int n)
{
	while (*count < n)
		ck_assert_int_eq(event_base_loop(base, EVLOOP_ONCE), 0);
}

static void
hung(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	(void)arg;
	ck_abort_msg("the loop waits for what does not come");
}

static void
server_start(const char *listen)
{
	rpc_server_config_t config = {
	    base, &key, {"host-a", address}, &metrics, handle, NULL, 1};

	ck_assert(rpc_server_init(&server, &config, listen, NULL));
	g_snprintf(address, sizeof(address), "127.0.0.1:%u",
	    (unsigned int)rpc_server_port(&server));
}

static void
client_start(const rpc_key_t *with, uint32_t version)
{
	rpc_client_config_t config = {base, with, "host-b", &metrics, version};

	rpc_client_init(&client, &config);
	ck_assert(rpc_client_peer(&client, address, &peer, NULL));
}

static void
start(policy_t with)
{
	struct timeval tv = {GUARD_SEC, 0};

	policy = with;
	handled = 0;
	answered = 0;
	memset(failures, 0, sizeof(failures));
	base = event_base_new();
	guard = evtimer_new(base, hung, NULL);
	evtimer_add(guard, &tv);
	metrics_init(&metrics);
	held = g_array_new(FALSE, FALSE, sizeof(rpc_call_id_t));
	epochs = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	server_start("127.0.0.1:0");
	client_start(&key, HOST_VERSION);
}

static void
finish(void)
{
	rpc_client_finish(&client);
	rpc_server_finish(&server);
	g_array_free(held, TRUE);
	g_array_free(epochs, TRUE);
	metrics_finish(&metrics);
	event_free(guard);
	event_base_free(base);
}

static int64_t
counted(const char *name)
{
	return metrics_value(
	    &metrics, metrics_add(&metrics, METRIC_COUNTER, name, ""));
}

static void
answers_find_their_calls(void)
{
	unsigned int i;

	start(ANSWER_HELD);
	for (i = 0; i < 20; i++)
		ck_assert(call(i, 10000, NULL));
	run_until(&handled, 20);
	for (i = 20; i-- > 0;)
		answer(g_array_index(held, rpc_call_id_t, i),
		    g_array_index(epochs, uint64_t, i));
	answer(g_array_index(held, rpc_call_id_t, 0), 99);
	run_until(&answered, 20);
	ck_assert_int_eq(failures[ERROR_UNKNOWN], 0);
	ck_assert_int_eq(counted("rpc_connects_total"), 1);
	finish();
}

static void
late_answers_are_dropped(void)
{
	start(ANSWER_HELD);
	ck_assert(call(1, 50, NULL));
	run_until(&answered, 1);
	ck_assert_int_eq(failures[ERROR_UNKNOWN], 1);
	answer(g_array_index(held, rpc_call_id_t, 0), 1);
	policy = ANSWER_NOW;
	ck_assert(call(2, 10000, NULL));
	run_until(&answered, 2);
	ck_assert_int_eq(counted("rpc_late_answers_total"), 1);
	finish();
}

static void
failures_say_whether_it_ran(void)
{
	start(ANSWER_REFUSED);
	ck_assert(call(1, 10000, NULL));
	run_until(&answered, 1);
	ck_assert_int_eq(failures[ERROR_UNAVAILABLE], 1);
	/* The server goes with a call in its hands. */
	policy = ANSWER_HELD;
	ck_assert(call(2, 10000, NULL));
	run_until(&handled, 2);
	rpc_server_finish(&server);
	run_until(&answered, 2);
	ck_assert_int_eq(failures[ERROR_UNKNOWN], 1);
	/* Nobody listens. */
	ck_assert(call(3, 10000, NULL));
	run_until(&answered, 3);
	ck_assert_int_eq(failures[ERROR_UNAVAILABLE], 2);
	/* A new one listens at the same address. */
	policy = ANSWER_NOW;
	server_start(address);
	ck_assert(call(4, 10000, NULL));
	run_until(&answered, 4);
	ck_assert_int_eq(failures[ERROR_UNAVAILABLE], 2);
	finish();
}

static void
strangers_reach_no_handler(void)
{
	static const struct {
		const rpc_key_t *key;
		uint32_t version;
		error_code_t code;
		const char *metric;
	} rows[] = {
	    {&other_key, HOST_VERSION, ERROR_DENIED,
		"rpc_refused_verifier_total"},
	    {&key, HOST_VERSION + 1, ERROR_INVALID,
		"rpc_refused_version_total"},
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		start(ANSWER_NOW);
		rpc_client_finish(&client);
		client_start(rows[i].key, rows[i].version);
		ck_assert(call(1, 10000, NULL));
		run_until(&answered, 1);
		ck_assert_int_eq(failures[rows[i].code], 1);
		ck_assert_int_eq(handled, 0);
		ck_assert_int_eq(counted(rows[i].metric), 1);
		finish();
	}
}

static void
outstanding_calls_are_bounded(void)
{
	GError *err = NULL;
	unsigned int i;

	start(ANSWER_HELD);
	for (i = 0; i < RPC_CALLS_MAX; i++)
		ck_assert(call(i, 10000, NULL));
	ck_assert(!call(i, 10000, &err));
	ck_assert_int_eq(err->code, ERROR_LIMIT);
	g_clear_error(&err);
	run_until(&handled, RPC_CALLS_MAX);
	/* Each outstanding call is told once when the peer is forgotten. */
	rpc_client_forget(&client, peer);
	ck_assert_int_eq(answered, RPC_CALLS_MAX);
	ck_assert_int_eq(failures[ERROR_UNKNOWN], RPC_CALLS_MAX);
	ck_assert(!call(i, 10000, &err));
	g_error_free(err);
	finish();
}

static void
forget_on_answer(void *arg, const rpc_result_t *result, const GError *err)
{
	(void)arg;
	(void)result;
	(void)err;
	answered++;
	rpc_client_forget(&client, peer);
}

static void
peers_may_be_forgotten_by_an_answer(void)
{
	rpc_args_t args;
	int i;

	start(ANSWER_NOW);
	sample_args(RPC_PROC_BORROW, &args);
	for (i = 0; i < 3; i++)
		ck_assert(rpc_client_call(
		    &client, peer, &args, 10000, forget_on_answer, NULL, NULL));
	run_until(&answered, 3);
	event_base_loop(base, EVLOOP_NONBLOCK);
	ck_assert_int_eq(answered, 3);
	finish();
}

/* A raw connection: what came back, and whether the server closed it. */
typedef struct {
	GByteArray *in;
	int events; /* records' bytes or the end have come */
	int closed;
} raw_t;

static void
raw_read(struct bufferevent *bev, void *arg)
{
	uint8_t buf[512];
	raw_t *raw = arg;
	size_t n;

	while ((n = bufferevent_read(bev, buf, sizeof(buf))) > 0)
		g_byte_array_append(raw->in, buf, (guint)n);
	raw->events++;
}

static void
raw_event(struct bufferevent *bev, short what, void *arg)
{
	raw_t *raw = arg;

	(void)bev;
	if ((what & BEV_EVENT_CONNECTED) != 0)
		return;
	raw->closed = 1;
	raw->events++;
}

static void
raw_exchange(raw_t *raw, const GByteArray *bytes)
{
	struct bufferevent *bev =
	    bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
	rpc_addr_t addr;

	memset(raw, 0, sizeof(*raw));
	raw->in = g_byte_array_new();
	ck_assert(rpc_addr_parse(&addr, address, NULL));
	bufferevent_setcb(bev, raw_read, NULL, raw_event, raw);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
	bufferevent_socket_connect(
	    bev, (struct sockaddr *)&addr.addr, addr.len);
	bufferevent_write(bev, bytes->data, bytes->len);
	run_until(&raw->events, 1);
	bufferevent_free(bev);
}

/* Appends a marked call of BORROW as if in a session, or a hello. */
static void
append_call(GByteArray *bytes, uint32_t proc, const char *callee)
{
	static const rpc_nonce_t none;
	rpc_call_t c = {0};
	rpc_cred_t cred = {"", "nonce", "host-b", (char *)callee, 0};
	GByteArray *record = g_byte_array_new();
	GByteArray *body = g_byte_array_new();
	rpc_args_t args;

	sample_args(proc, &args);
	rpc_args_encode(body, &args, NULL);
	memcpy(cred.session, none, sizeof(none));
	c.xid = 1;
	c.program = HOST_PROGRAM;
	c.version = HOST_VERSION;
	c.proc = proc;
	c.body = body->data;
	c.body_len = body->len;
	rpc_call_sign(&c, &cred, &key, NULL);
	rpc_call_encode(record, &c);
	record_write(bytes, record->data, record->len);
	g_byte_array_free(record, TRUE);
	g_byte_array_free(body, TRUE);
}

typedef enum {
	RAW_BYTES,
	RAW_CALL_NO_SESSION,
	RAW_HELLO_OTHER_CALLEE,
	RAW_HELLO_TWICE,
} raw_kind_t;

static const struct {
	const char *name;
	raw_kind_t kind;
	const char *bytes;
	size_t len;
	gboolean closed;
	const char *metric;
} raw_rows[] = {
    {"http", RAW_BYTES, "GET / HTTP/1.1\r\n\r\n", 18, TRUE,
	"rpc_refused_too_long_total"},
    {"over the limit before hello", RAW_BYTES, "\x80\0\x08\0", 4, TRUE,
	"rpc_refused_too_long_total"},
    {"not a call", RAW_BYTES, "\x80\0\0\x08\0\0\0\1\0\0\0\1", 12, TRUE,
	"rpc_refused_undecodable_total"},
    {"empty record", RAW_BYTES, "\x80\0\0\0", 4, TRUE,
	"rpc_refused_undecodable_total"},
    {"other rpc version", RAW_BYTES,
	"\x80\0\0\x18\0\0\0\1\0\0\0\0\0\0\0\3"
	"\0\0\0\1\0\0\0\1\0\0\0\0",
	28, FALSE, "rpc_refused_rpc_version_total"},
    {"no credential", RAW_BYTES,
	"\x80\0\0\x28\0\0\0\1\0\0\0\0\0\0\0\2\x20\x67\x6c\x6d"
	"\0\0\0\1\0\0\0\5\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0",
	44, FALSE, "rpc_refused_credential_total"},
    {"silent", RAW_BYTES, "", 0, TRUE, "rpc_refused_slow_total"},
    {"unfinished", RAW_BYTES, "\x80\0\0\x28\0\0", 6, TRUE,
	"rpc_refused_slow_total"},
    {"call with no session", RAW_CALL_NO_SESSION, "", 0, FALSE,
	"rpc_refused_credential_total"},
    {"hello to another", RAW_HELLO_OTHER_CALLEE, "", 0, FALSE,
	"rpc_refused_credential_total"},
    {"hello twice", RAW_HELLO_TWICE, "", 0, FALSE,
	"rpc_refused_replayed_total"},
};

static void
raw_bytes(size_t row, GByteArray *bytes)
{
	switch (raw_rows[row].kind) {
	case RAW_BYTES:
		g_byte_array_append(bytes, (const guint8 *)raw_rows[row].bytes,
		    (guint)raw_rows[row].len);
		break;
	case RAW_CALL_NO_SESSION:
		append_call(bytes, RPC_PROC_BORROW, "host-a");
		break;
	case RAW_HELLO_OTHER_CALLEE:
		append_call(bytes, RPC_PROC_NULL, "host-c");
		break;
	case RAW_HELLO_TWICE:
		append_call(bytes, RPC_PROC_NULL, "host-a");
		append_call(bytes, RPC_PROC_NULL, "host-a");
		break;
	}
}

static void
raw_input_does_no_harm(void)
{
	GByteArray *bytes = g_byte_array_new();
	size_t i;
	raw_t raw;

	for (i = 0; i < sizeof(raw_rows) / sizeof(raw_rows[0]); i++) {
		start(ANSWER_NOW);
		g_byte_array_set_size(bytes, 0);
		raw_bytes(i, bytes);
		raw_exchange(&raw, bytes);
		ck_assert_msg(raw.closed == raw_rows[i].closed, "%s closed",
		    raw_rows[i].name);
		ck_assert_msg(counted(raw_rows[i].metric) == 1, "%s counted",
		    raw_rows[i].name);
		ck_assert_int_eq(handled, 0);
		/* The next caller is served. */
		ck_assert(call(1, 10000, NULL));
		run_until(&answered, 1);
		ck_assert_int_eq(handled, 1);
		g_byte_array_free(raw.in, TRUE);
		finish();
	}
	g_byte_array_free(bytes, TRUE);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"answers find their calls", answers_find_their_calls},
	    {"late answers are dropped", late_answers_are_dropped},
	    {"failures say whether it ran", failures_say_whether_it_ran},
	    {"strangers reach no handler", strangers_reach_no_handler},
	    {"outstanding calls are bounded", outstanding_calls_are_bounded},
	    {"peers may be forgotten by an answer",
		peers_may_be_forgotten_by_an_answer},
	    {"raw input does no harm", raw_input_does_no_harm},
	};

	signal(SIGPIPE, SIG_IGN);
	log_open(NULL, LOG_INFO);
	rpc_key_init(&key, "the fleet's secret", 18, NULL);
	rpc_key_init(&other_key, "another fleet's secret", 22, NULL);
	return suite_run("rpc socket", cases, sizeof(cases) / sizeof(cases[0]));
}
