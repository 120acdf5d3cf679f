#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <sys/types.h>

#include <stdint.h>
#include <stdio.h>

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

/*
 * Stand-ins for the cases of the second review: the platform's table store,
 * backend servers and callers, all in the process of a case, on 127.0.0.1 and
 * ports that the system names. The entry hosts are the program of the deploy
 * file, each in a process of its own. Times are milliseconds since the start.
 */

#define WORLD_HOSTS_MAX 8
#define WORLD_PAGE_ROWS 500 /* most rows of one answer of the store */
#define WORLD_PAGE_BYTES (1024 * 1024)

typedef int64_t ms_t;
typedef struct world world_t;

/* ---- the store ---- */

typedef struct {
	world_t *world;
	struct evhttp *http;
	GHashTable *tables; /* name to GTree of rows */
	uint64_t ver;
	uint64_t history_since; /* changes before it are forgotten */
	GPtrArray *feeds;	/* that wait for changes */
	int ports[WORLD_HOSTS_MAX];
	gboolean refuses[WORLD_HOSTS_MAX]; /* 503 to this host */
	gboolean cut[WORLD_HOSTS_MAX];	   /* its calls get no answer */
	ms_t disturbed_at;		   /* end of its last disturbance */
} store_t;

void store_init(store_t *s, world_t *w, int hosts);
void store_finish(store_t *s);

/** store_put() - Write a row for an operator or a server; NULL removes it. */
void store_put(
    store_t *s, const char *table, const char *key, const char *value);

/** store_get() - Value of a row, or NULL. */
const char *store_get(const store_t *s, const char *table, const char *key);

/**
 * store_cut() - Cut a host off from the store, or end that.
 *
 * Calls that are sent while it lasts, and those that wait, are never answered.
 */
void store_cut(store_t *s, int host, gboolean cut);

/** store_drop_history() - Forget all changes up to now. */
void store_drop_history(store_t *s);

/* ---- backend servers ---- */

typedef struct {
	world_t *world;
	char *id, *service, *zone, *version;
	struct evhttp *http; /* NULL: it has ended */
	int port;
	int slots, queue;
	ms_t work_ms;
	int64_t born;
	guint running;
	GPtrArray *runs; /* run_t */
	ms_t left_at;	 /* the store held that it drains or left; 0: no */
	gboolean drains;
	const char *limit; /* Server-Limit in its answers, or NULL */
	gboolean leaving;  /* Server-Leaving in its answers */
} server_t;

server_t *server_start(world_t *w, const char *id, const char *service,
    const char *zone, const char *version);

/** server_report() - Write its entry, or remove it. */
void server_report(server_t *s, gboolean listed);

/** server_end() - The process ends; what it runs is lost. */
void server_end(server_t *s);

/* ---- callers ---- */

typedef struct {
	world_t *world;
	char id[24];
	char *key; /* that it was sent with */
	int host;
	gboolean idempotent;
	ms_t sent_at, ended_at;
	int status; /* at the caller; 0: none yet, -1: no answer */
	guint arrivals, runs, answers, cut;
	gboolean told; /* its answer names a limit */
	gboolean told_leaving;
	ms_t work_ms; /* that it takes at a server; 0: the server's usual */
	struct evhttp_connection *evcon;
	gboolean shares_evcon; /* the connection belongs to another request */
	ms_t budget_ms;
} request_t;

/**
 * caller_send() - Send a request on a connection of its own.
 * @w: the world
 * @host: number of the entry host
 * @method: GET to a route for idempotent requests, else POST
 * @path: its path
 * @key: of a tenant
 */
request_t *caller_send(world_t *w, int host, enum evhttp_cmd_type method,
    const char *path, const char *key);

/** caller_send_kept() - Send one more request on the connection of another one,
 * which was answered.
 */
request_t *caller_send_kept(request_t *before, enum evhttp_cmd_type method,
    const char *path, ms_t budget_ms, ms_t work_ms);

/* ---- the hosts and the whole ---- */

typedef struct {
	pid_t pid; /* 0: does not run */
	int ports[4];
	int held[8]; /* sockets that hold the ports; 0: none */
	char *zone, *region, *settings;
} host_t;

struct world {
	struct event_base *base;
	char *dir; /* for settings and logs */
	const char *program;
	FILE *record;
	ms_t began;
	store_t store;
	GPtrArray *servers; /* server_t */
	GHashTable *requests;
	host_t hosts[WORLD_HOSTS_MAX];
	int nhosts;
	guint sent;
	/* A server gets a request that it does not answer with 421. */
	void (*on_arrival)(server_t *s, request_t *r);
	/* A caller has got an answer. */
	void (*on_answer)(request_t *r, struct evhttp_request *req);
};

/* A place of a host. */
typedef struct {
	const char *zone, *region;
} place_t;

/**
 * world_init() - Start the store; the hosts' ports are reserved.
 * @w: set up here
 * @argv: of the case: program, folder for settings and logs, record
 */
void world_init(world_t *w, char **argv, const place_t *places, int hosts);

/** world_finish() - End all hosts and free everything. */
void world_finish(world_t *w);

void world_start_host(world_t *w, int host);
void world_signal(world_t *w, int host, int sig);

/** world_wait_ready() - Return: whether all hosts are ready within @ms. */
gboolean world_wait_ready(world_t *w, ms_t ms);

/** world_run() - Let time pass. */
void world_run(world_t *w, ms_t ms);

/** world_at() - Call a function once after a time. */
void world_at(world_t *w, ms_t ms, void (*fn)(void *arg), void *arg);

ms_t world_now(const world_t *w);

/** world_note() - Write a line into the record. */
void world_note(world_t *w, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

#endif
