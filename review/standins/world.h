#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <stdio.h>
#include <sys/types.h>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <jansson.h>

/*
 * What the review's cases share: one process plays the platform's table store,
 * the backend servers and the clients on the loopback interface; each entry
 * host is the real program in a process of its own. Requests and answers are
 * read and written as raw bytes, so that a case sees just what was sent.
 */

#define HOSTS_MAX 8
#define SERVERS_MAX 16
#define ZONES 4

typedef struct world world_t;

/** msec() - Monotonic time, ms. */
int64_t msec(void);

/* ---- HTTP messages ---- */

typedef struct {
	char *first;	    /* request line or status line */
	GPtrArray *headers; /* char *, "Name: value" */
	GByteArray *body;
	int status; /* of an answer; 0: a request */
	gboolean bad;
} message_t;

/**
 * message_read() - Take one message from the start of a buffer.
 * @in: bytes that have arrived; drained if the message is complete
 * @no_body: an answer that has no body, as it is for a HEAD request
 *
 * Return: the message, or NULL if more bytes are needed.
 */
message_t *message_read(struct evbuffer *in, gboolean no_body);
void message_free(message_t *m);

/** message_header() - Value of a header, or NULL. */
const char *message_header(const message_t *m, const char *name);

/* ---- the store ---- */

typedef struct {
	world_t *world;
	struct evconnlistener *listener;
	int port;
	GHashTable *tables; /* name to GTree of cells */
	uint64_t ver;
	GPtrArray *conns;
	int writes; /* calls that write */
	/*
	 * Asked for each write call. Return: -1 to perform and answer it, else
	 * the time after which it is performed; its answer is lost then.
	 */
	int (*lose)(world_t *w, const char *body);
} store_t;

/** store_put() - Write a row for the operator or a server; NULL removes it. */
void store_put(
    world_t *w, const char *table, const char *key, const char *value);

/** store_get() - Value of a row, or NULL. */
const char *store_get(world_t *w, const char *table, const char *key);

/* ---- backend servers ---- */

typedef struct server server_t;

/* One request that a server began to run. */
typedef struct {
	char *id, *line, *tenant, *credential;
	const server_t *server;
	int64_t at;
	int64_t ended_at; /* 0: still at work */
	gboolean dropped; /* its connection was closed before the end */
	gboolean failed;  /* it was answered with 500 */
	size_t body_len;
} run_t;

struct server {
	world_t *world;
	char id[24], service[24], version[8];
	int zone, port, slots, born;
	gboolean draining;
	int64_t work_ms;
	struct evconnlistener *listener;
	GPtrArray *conns;
	/* Return: TRUE if the request crashes the server. */
	gboolean (*crashes)(server_t *s, const message_t *m);
	int fail_one_in; /* answers 500 to one run in so many; 0: never */
	int runs;
	/* Writes the answer to a run. NULL: a whole answer with its length.
	 * Return: whether the connection is closed then. */
	gboolean (*write_answer)(server_t *s, struct evbuffer *out,
	    const run_t *r, const char *signature, const char *body);
	int64_t down_ms; /* after a crash */
};

server_t *server_start(
    world_t *w, const char *service, int zone, int64_t work_ms, int slots);

/** server_start_version() - Start a server of a version, "v1" is usual. */
server_t *server_start_version(world_t *w, const char *service,
    const char *version, int zone, int64_t work_ms, int slots);

/** server_drain() - Report that a server leaves; it goes on serving. */
void server_drain(server_t *s);

/** server_stop() - End a server at once; its entry is removed. */
void server_stop(server_t *s);

/* ---- entry hosts ---- */

typedef struct {
	pid_t pid; /* 0: not running */
	int zone;
	int callers, lookups, operators, peers;
	char *settings;
} host_t;

void host_add(world_t *w, int zone);
void host_start(world_t *w, int host);
void host_signal(world_t *w, int host, int sig);

/** host_wait_end() - Wait until a host's process has ended. */
gboolean host_wait_end(world_t *w, int host, int64_t timeout_ms);

/** host_wait_ready() - Wait until a host says that it is ready. */
gboolean host_wait_ready(world_t *w, int host, int64_t timeout_ms);

/** host_cpu_ms() - Processor time that a host has used, ms. */
int64_t host_cpu_ms(const world_t *w, int host);

/* ---- clients ---- */

typedef struct {
	char *id;
	char *method;
	int host;
	int64_t sent_at, answered_at;
	int64_t left_at;   /* the client closed its connection; 0: it did not */
	int status;	   /* 0: none yet; -1: closed without an answer */
	guint answers;	   /* on its connection */
	message_t *answer; /* the first one */
} request_t;

/**
 * client_send() - Send bytes on a new connection and wait for the answer.
 * @w: the world
 * @port: port of a host
 * @id: id of the request that the bytes hold
 * @bytes: the request, as it is sent
 * @len: their number
 * @leave_ms: close the connection after this time; 0: wait for the answer
 * @reset: with a reset
 */
request_t *client_send(world_t *w, int port, const char *id, const char *bytes,
    size_t len, int64_t leave_ms, gboolean reset);

/** client_request() - Write a request's head, and its body if there is one. */
char *client_request(const char *method, const char *path, const char *id,
    const char *key, int64_t deadline_ms, const char *more, const char *body);

/**
 * client_resolve() - Ask a host's directory where to connect.
 *
 * Return: number of ports written to @ports, at most @max.
 */
int client_resolve(
    world_t *w, int host, const char *region, int *ports, int max);

/* ---- the world ---- */

struct world {
	struct event_base *base;
	char *dir;
	FILE *record;
	gboolean trouble;
	int64_t began_at;
	store_t store;
	server_t *servers[SERVERS_MAX];
	int nservers;
	host_t hosts[HOSTS_MAX];
	int nhosts;
	GPtrArray *runs;     /* run_t */
	GPtrArray *requests; /* request_t */
	int version;	     /* of the manifest */
};

/**
 * world_init() - Start the store.
 * @w: the world
 * @argc: 3
 * @argv: after the program's name, a scratch folder for settings and logs, and
 *	TROUBLE: 0 leaves the disruption out. The record goes to standard
 *output.
 */
void world_init(world_t *w, int argc, char **argv);

/** world_run() - Run the event loop for a time. */
void world_run(world_t *w, int64_t ms);

/** world_start_hosts() - Start all hosts and wait until they are ready. */
void world_start_hosts(world_t *w);

/** world_end() - End all processes and exit. @broken: whether the rule broke.
 */
void world_end(world_t *w, gboolean broken) G_GNUC_NORETURN;

/** world_cant_run() - The case couldn't run: end all processes, exit with 2. */
void world_cant_run(world_t *w, const char *why) G_GNUC_NORETURN;

/** record() - Write a line to the record, with the time. */
void record(world_t *w, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

/** world_manifest() - Write the next version. @routes, @tenants: JSON lists. */
void world_manifest(world_t *w, json_t *routes, json_t *tenants);

/** route() - A route with the fields of the pages. @services: one or more. */
json_t *route(const char *name, const char *prefix, const char *kind,
    int timeout_ms, int max_attempts, const char *const *services);
json_t *tenant(const char *name, const char *key, int rate, int burst);

const char *region_of(int zone);

/** find_request() - The client's request with an id, or NULL. */
const request_t *find_request(const world_t *w, const char *id);

#endif
