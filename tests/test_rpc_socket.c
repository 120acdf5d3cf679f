#include <sys/resource.h>

#include <time.h>
#include <unistd.h>

#include "rpc_fixture.h"
#include "transport/rpc_peer.h"

#define WAIT_MS 500

static void
answers_are_matched_to_their_calls(void)
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
	ck_assert_int_eq(counter_value("rpc_connects_total"), 1);
	finish();
}

static void
old_sessions_are_renewed(void)
{
	rpc_nonce_t before;
	rpc_peer_t *p;
	unsigned int i;

	start(ANSWER_HELD);
	p = g_hash_table_lookup(client.peers, GUINT_TO_POINTER(peer));
	ck_assert(call(0, 10000, NULL));
	run_until(&handled, 1);
	memcpy(before, p->session, RPC_NONCE_SIZE);
	p->session_at -= RPC_SESSION_MS + 1;
	for (i = 1; i < 3; i++)
		ck_assert(call(i, 10000, NULL));
	run_until(&handled, 3);
	ck_assert_mem_ne(before, p->session, RPC_NONCE_SIZE);
	/* The call of the old session is also answered. */
	for (i = 0; i < 3; i++)
		answer(g_array_index(held, rpc_call_id_t, i),
		    g_array_index(epochs, uint64_t, i));
	run_until(&answered, 3);
	ck_assert_int_eq(failures[ERROR_UNKNOWN], 0);
	ck_assert_int_eq(counter_value("rpc_connects_total"), 1);
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
	ck_assert_int_eq(counter_value("rpc_late_answers_total"), 1);
	finish();
}

static void
failures_say_whether_it_ran(void)
{
	start(ANSWER_REFUSED);
	ck_assert(call(1, 10000, NULL));
	run_until(&answered, 1);
	ck_assert_int_eq(failures[ERROR_UNAVAILABLE], 1);
	/* The server stops while it holds a call. */
	policy = ANSWER_HELD;
	ck_assert(call(2, 10000, NULL));
	run_until(&handled, 2);
	rpc_server_finish(&server);
	run_until(&answered, 2);
	ck_assert_int_eq(failures[ERROR_UNKNOWN], 1);
	/* Nothing listens at the address. */
	ck_assert(call(3, 10000, NULL));
	run_until(&answered, 3);
	ck_assert_int_eq(failures[ERROR_UNAVAILABLE], 2);
	/* A new server listens at the same address. */
	policy = ANSWER_NOW;
	server_start(address);
	ck_assert(call(4, 10000, NULL));
	run_until(&answered, 4);
	ck_assert_int_eq(failures[ERROR_UNAVAILABLE], 2);
	finish();
}

static void
foreign_calls_reach_no_handler(void)
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
		ck_assert_int_eq(counter_value(rows[i].metric), 1);
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
	/* Each outstanding call fails once when the peer is removed. */
	rpc_client_remove_peer(&client, peer);
	ck_assert_int_eq(answered, RPC_CALLS_MAX);
	ck_assert_int_eq(failures[ERROR_UNKNOWN], RPC_CALLS_MAX);
	ck_assert(!call(i, 10000, &err));
	g_error_free(err);
	finish();
}

static void
remove_peer_on_answer(void *arg, const rpc_result_t *result, const GError *err)
{
	(void)arg;
	(void)result;
	(void)err;
	answered++;
	rpc_client_remove_peer(&client, peer);
}

static void
peers_may_be_removed_in_an_answers_callback(void)
{
	rpc_args_t args;
	int i;

	start(ANSWER_NOW);
	sample_args(RPC_PROC_BORROW, &args);
	for (i = 0; i < 3; i++)
		ck_assert(rpc_client_call(&client, peer, &args, 10000,
		    remove_peer_on_answer, NULL, NULL));
	run_until(&answered, 3);
	event_base_loop(base, EVLOOP_NONBLOCK);
	ck_assert_int_eq(answered, 3);
	finish();
}

static msec_t
cpu_ms(void)
{
	struct timespec ts;

	ck_assert(clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts) == 0);
	return ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* FAULT: a listener without a free descriptor used the core up. */
static void
a_listener_without_descriptors_waits(void)
{
	const struct timeval tv = {0, WAIT_MS * 1000};
	struct rlimit few, all;
	msec_t before;
	int fd;

	start(ANSWER_NOW);
	ck_assert(getrlimit(RLIMIT_NOFILE, &all) == 0);
	fd = dup(STDIN_FILENO);
	ck_assert_int_ge(fd, 0);
	close(fd);
	few = all;
	few.rlim_cur = (rlim_t)fd + 1; /* for the client's end only */
	ck_assert(setrlimit(RLIMIT_NOFILE, &few) == 0);
	ck_assert(call(1, 10000, NULL));
	before = cpu_ms();
	event_base_loopexit(base, &tv);
	event_base_dispatch(base);
	ck_assert(setrlimit(RLIMIT_NOFILE, &all) == 0);
	ck_assert_msg(cpu_ms() - before < WAIT_MS / 3,
	    "%lld ms of processor time in %d ms",
	    (long long)(cpu_ms() - before), WAIT_MS);
	run_until(&answered, 1);
	finish();
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"answers are matched to their calls",
		answers_are_matched_to_their_calls},
	    {"old sessions are renewed", old_sessions_are_renewed},
	    {"late answers are dropped", late_answers_are_dropped},
	    {"failures say whether it ran", failures_say_whether_it_ran},
	    {"foreign calls reach no handler", foreign_calls_reach_no_handler},
	    {"outstanding calls are bounded", outstanding_calls_are_bounded},
	    {"peers may be removed in an answer's callback",
		peers_may_be_removed_in_an_answers_callback},
	    {"a listener without descriptors waits",
		a_listener_without_descriptors_waits},
	};

	return fixture_run(
	    "rpc socket", cases, sizeof(cases) / sizeof(cases[0]));
}
