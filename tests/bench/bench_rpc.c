#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <popt.h>

#include "protocol/record_mark.h"
#include "transport/rpc_client.h"
#include "transport/rpc_server.h"

/*
 * Measures the cost of one heartbeat by the number of endpoints that it names:
 * bytes of call and reply with their record marks, and the processor time of
 * client and server together. Both run in this process over a loopback socket.
 */

#define USEC_PER_SEC 1000000

static const int sizes[] = {0, 38, 100, 1000};

static struct event_base *base;
static rpc_server_t server;
static rpc_client_t client;
static rpc_peer_id_t peer;
static rpc_load_t loads[RPC_LOADS_MAX];
static rpc_heartbeat_t heartbeat;
static char address[32];
static int calls = 20000, json, calls_left;

static void
fill_heartbeat(int n)
{
	static char names[RPC_LOADS_MAX][RPC_NAME_MAX];
	rpc_heartbeat_t h = {
	    .host = {.id = "host-a",
		.incarnation = 1,
		.region = "milano",
		.domain = "milano-a",
		.rpc_address = "192.0.2.10:7401",
		.callers_address = "192.0.2.10:8080",
		.state = RPC_HOST_LIVE,
		.build = "0.1.0"},
	    .config_version = 1,
	    .keys_version = 1,
	    .loads = {(u_int)n, loads},
	};
	int i;

	for (i = 0; i < n; i++) {
		g_snprintf(names[i], sizeof(names[i]), "lettore-%d", i);
		loads[i].endpoint = names[i];
		loads[i].in_flight = 2;
	}
	heartbeat = h;
}

static void
fill_call(rpc_args_t *args)
{
	memset(args, 0, sizeof(*args));
	args->proc = RPC_PROC_EXCHANGE;
	args->u.exchange.heartbeat = heartbeat;
}

static void
handle(void *arg, rpc_call_id_t id, const char *caller, const rpc_args_t *args)
{
	rpc_result_t result = {.proc = RPC_PROC_EXCHANGE};

	(void)arg;
	(void)caller;
	result.u.exchange.sequence = args->u.exchange.sequence;
	result.u.exchange.heartbeat = heartbeat;
	rpc_server_answer(&server, id, &result);
}

static void
next_call(void *arg, const rpc_result_t *result, const GError *err)
{
	rpc_args_t args;

	(void)arg;
	if (err != NULL) {
		fprintf(stderr, "bench_rpc: %s\n", err->message);
		exit(1);
	}
	(void)result;
	if (calls_left-- <= 0) {
		event_base_loopbreak(base);
		return;
	}
	fill_call(&args);
	rpc_client_call(&client, peer, &args, 10000, next_call, NULL, NULL);
}

static double
cpu_usec(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * USEC_PER_SEC + (double)ts.tv_nsec / 1000;
}

static guint
call_bytes(const rpc_key_t *key, const rpc_args_t *args)
{
	rpc_cred_t cred = {"", "", "host-a", address, 0};
	GByteArray *body = g_byte_array_new();
	GByteArray *record = g_byte_array_new();
	rpc_call_t call = {0};
	guint len;

	rpc_args_encode(body, args, NULL);
	call.body = body->data;
	call.body_len = body->len;
	rpc_call_sign(&call, &cred, key, NULL);
	rpc_call_encode(record, &call);
	len = record->len + RECORD_MARK_SIZE;
	g_byte_array_free(body, TRUE);
	g_byte_array_free(record, TRUE);
	return len;
}

static guint
reply_bytes(const rpc_result_t *result)
{
	GByteArray *body = g_byte_array_new();
	GByteArray *record = g_byte_array_new();
	rpc_reply_t reply = {0};
	guint len;

	rpc_result_encode(body, result, NULL);
	reply.body = body->data;
	reply.body_len = body->len;
	rpc_reply_encode(record, &reply);
	len = record->len + RECORD_MARK_SIZE;
	g_byte_array_free(body, TRUE);
	g_byte_array_free(record, TRUE);
	return len;
}

static void
measure(int n, const rpc_key_t *key)
{
	rpc_result_t result = {.proc = RPC_PROC_EXCHANGE};
	rpc_args_t args;
	double before;

	fill_heartbeat(n);
	fill_call(&args);
	result.u.exchange.heartbeat = heartbeat;
	calls_left = 1;
	next_call(NULL, NULL, NULL);
	event_base_dispatch(base);
	calls_left = calls;
	before = cpu_usec();
	next_call(NULL, NULL, NULL);
	event_base_dispatch(base);
	printf(json ? "{\"endpoints\":%d,\"call_bytes\":%u,"
		      "\"reply_bytes\":%u,\"cpu_us\":%.1f}\n"
		    : "%9d %10u %11u %8.1f\n",
	    n, call_bytes(key, &args), reply_bytes(&result),
	    (cpu_usec() - before) / calls);
}

/* Prints the sizes of a token request to a lender and of its answer. */
static void
print_borrow(const rpc_key_t *key)
{
	rpc_result_t result = {.proc = RPC_PROC_BORROW};
	rpc_args_t args = {.proc = RPC_PROC_BORROW};

	args.u.borrow.workspace = "workspace-1";
	args.u.borrow.borrower = "host-a";
	printf(json ? "{\"borrow_call_bytes\":%u,\"borrow_reply_bytes\":%u}\n"
		    : "token request to a lender: %u bytes, answer: %u bytes\n",
	    call_bytes(key, &args), reply_bytes(&result));
}

int
main(int argc, const char **argv)
{
	const struct poptOption options[] = {
	    {"json", 0, POPT_ARG_NONE, &json, 0,
		"print one JSON object per line", NULL},
	    {"calls", 0, POPT_ARG_INT, &calls, 0,
		"calls for each number of endpoints", "N"},
	    POPT_AUTOHELP POPT_TABLEEND};
	poptContext ctx = poptGetContext(NULL, argc, argv, options, 0);
	rpc_server_config_t server_config = {0};
	rpc_client_config_t client_config = {0};
	metrics_t metrics;
	rpc_key_t key;
	size_t i;

	poptGetNextOpt(ctx);
	poptFreeContext(ctx);
	signal(SIGPIPE, SIG_IGN);
	rpc_key_init(&key, "the fleet's secret", 18, NULL);
	metrics_init(&metrics);
	base = event_base_new();
	server_config.base = client_config.base = base;
	server_config.key = client_config.key = &key;
	server_config.metrics = client_config.metrics = &metrics;
	server_config.self.id = server_config.self.address = address;
	server_config.handler = handle;
	client_config.id = "host-a";
	client_config.version = HOST_VERSION;
	if (!rpc_server_init(&server, &server_config, "127.0.0.1:0", NULL))
		return 1;
	g_snprintf(address, sizeof(address), "127.0.0.1:%u",
	    (unsigned int)rpc_server_port(&server));
	rpc_client_init(&client, &client_config);
	rpc_client_peer(&client, address, &peer, NULL);
	if (!json)
		printf("endpoints call_bytes reply_bytes   cpu_us\n");
	for (i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure(sizes[i], &key);
	print_borrow(&key);
	rpc_client_finish(&client);
	rpc_server_finish(&server);
	metrics_finish(&metrics);
	event_base_free(base);
	return 0;
}
