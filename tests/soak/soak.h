#ifndef TESTS_SOAK_H
#define TESTS_SOAK_H

#include <sys/types.h>

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

#include "base/clock.h"
#include "transport/http_client.h"

/*
 * Randomized soak test. One process, the world, plays the platform's store, the
 * backend servers and the callers on the loopback interface. Each entry host is
 * the real program in its own process. The world injects random faults from a
 * seed: signals to hosts, a store that fails for some hosts, and servers that
 * fail. It checks what callers and servers see against docs/PROMISES.md and
 * exits with status 1 if a promise is broken.
 */

#define HOSTS 4
#define REGIONS 2
#define SERVERS_MAX 64
#define BYTES_SERVERS 4
#define SERVICES 2
#define WORKSPACES 2

/* Ports of a run, as offsets from its first port. */
#define PORTS_OF_HOST 5
#define PORT_CALLERS 0
#define PORT_LOOKUPS 1
#define PORT_OPERATORS 2
#define PORT_PEERS 3
#define PORT_STORE 4
#define PORT_SERVERS (HOSTS * PORTS_OF_HOST)

typedef struct world world_t;

/* ---- the store ---- */

typedef enum {
	STORE_HEALTHY,
	STORE_BUSY,	     /* 503, without effect */
	STORE_SILENT,	     /* no answer, without effect */
	STORE_RESET,	     /* closes the connection, without effect */
	STORE_LOSES_ANSWERS, /* writes take effect, their answers are lost */
	STORE_SLOW,
	STORE_LATE, /* writes take effect STORE_LATE_MS later, unanswered */
} store_fault_t;

#define STORE_LATE_MS 600 /* or drawn, up to these: */
#define STORE_LATE_MIN_MS 1000
#define STORE_LATE_MAX_MS 6000

typedef struct {
	world_t *world;
	struct evhttp *http;
	GHashTable *tables;	     /* table by name */
	uint64_t ver, history_since; /* feeds may start here or later */
	uint64_t era;		     /* 0: the header is not sent */
	GHashTable *copy;	     /* the tables when they were copied */
	uint64_t copy_ver;
	GPtrArray *waiting; /* feeds without an answer yet */
	store_fault_t fault[HOSTS];
	GRand *late; /* draws the delays of late writes; NULL: STORE_LATE_MS */
} soak_store_t;

void soak_store_init(soak_store_t *s, world_t *w);
void soak_store_finish(soak_store_t *s);

/** soak_store_put() - Write a row for an operator or a server; NULL removes. */
void soak_store_put(
    soak_store_t *s, const char *table, const char *key, const char *value);

/** soak_store_get() - Return a row's value, or NULL. */
const char *soak_store_get(
    const soak_store_t *s, const char *table, const char *key);

/** soak_store_drop_history() - Drop old changes; feeds from there get 410. */
void soak_store_drop_history(soak_store_t *s);

/** soak_store_copy() - Take a copy of all tables. */
void soak_store_copy(soak_store_t *s);

/** soak_store_restore() - Return from the copy, in the next era. */
void soak_store_restore(soak_store_t *s);

/* ---- backend servers ---- */

typedef enum {
	SERVER_HEALTHY,
	SERVER_SLOW,
	SERVER_ERRORS,	      /* 500 for half of the requests */
	SERVER_SHEDS,	      /* rejects half of the requests, some twice */
	SERVER_LOSES_ANSWERS, /* runs requests, then closes without an answer */
	SERVER_TRUNCATES,     /* truncates half of the answers */
	SERVER_SILENT,	      /* accepts requests and never answers */
	SERVER_DOWN,	      /* does not listen */
} server_fault_t;

/* What a server told a host of itself. */
typedef struct {
	guint leaving_answers, pause_answers;
	msec_t leaving_at; /* 0: not told */
	msec_t asked_at;   /* its last rejection that asked for a pause */
	msec_t paused_at, paused_until;
	guint paused_requests; /* that came while it was paused */
} soak_told_t;

/* How a server that writes its own bytes answers half of its requests. */
typedef enum {
	BYTES_SOUND,
	BYTES_LARGE,   /* whole, up to 4 MB */
	BYTES_EARLY,   /* before the body was read */
	BYTES_INTERIM, /* after some answers of 1xx */
	/* From here on the answer is of no use. */
	BYTES_SPOILED, /* a byte changed, dropped, doubled or added */
	BYTES_HALF_HEAD,
	BYTES_ENDLESS_INTERIM,
	BYTES_ENDLESS_HEAD,
	BYTES_ENDLESS_SIZE, /* of a chunk */
	BYTES_ENDLESS_BODY,
	BYTES_ENDLESS_CHUNKS,
	BYTES_SHAPES,
} soak_shape_t;

typedef struct soak_bytes soak_bytes_t;

typedef struct {
	world_t *world;
	char id[16];
	int port, service, domain;
	const char *version;
	struct evhttp *http;
	struct evhttp_bound_socket *bound;
	soak_bytes_t *bytes; /* it writes its own bytes; NULL: evhttp does */
	soak_shape_t shape;
	server_fault_t fault;
	gboolean listed, draining;
	msec_t leaving_at; /* the store held that it drains or left; 0: no */
	msec_t drained_at; /* the store held its domain's drain; 0: no */
	guint running;
	int starts;
	gboolean crashed;
	/* The last rejection that is written once more. */
	const struct bufferevent *rejected_on;
	char rejected_id[64];
	guint rejections;
	soak_told_t told[HOSTS];
} soak_server_t;

void soak_server_start(
    world_t *w, int service, int domain, const char *version);

/** soak_server_start_bytes() - Start a server that writes its own bytes. */
void soak_server_start_bytes(world_t *w, int service, int domain);

soak_bytes_t *soak_bytes_new(soak_server_t *s);
void soak_bytes_free(soak_bytes_t *b);

/** soak_bytes_spoil() - Spoil a chunked answer, so that it isn't another one.
 */
void soak_bytes_spoil(GString *answer, GRand *rand);

void soak_server_write(soak_server_t *s, gboolean listed);
void soak_server_fault(soak_server_t *s, server_fault_t fault);
void soak_servers_finish(world_t *w);

/**
 * soak_word_tell() - An answer tells a host about its server.
 * @s: the server; it says that it leaves if it does
 * @host: number of the host
 * @pause: it asks for a pause
 */
void soak_word_tell(soak_server_t *s, int host, gboolean pause);

/** soak_word_check() - Check a request that a host sent to a server. */
void soak_word_check(soak_server_t *s, int host, const char *id);

#define SOAK_PAUSE_SEC "1"

/* What a server has read of a request. */
typedef struct {
	const char *workspace, *ms_left, *object, *credential;
	size_t body_len;
} soak_seen_t;

/* ---- requests, as callers and servers see them ---- */

typedef struct {
	char id[24];
	gboolean idempotent;
	gboolean crashes;  /* a server that runs it crashes */
	msec_t hung_up_at; /* when its caller hung up; 0: no */
	int service, workspace;
	gboolean second_key; /* sent with the key that is withdrawn at times */
	int host;
	guint runs;
	gboolean answered_whole; /* a server sent a complete good answer */
	gboolean broke_off;	 /* a server broke off, or answered nothing of
				  * use */
	gboolean spoiled;	 /* a server spoiled its answer */
	int status; /* status at the caller; 0: none yet, -1: cut off */
	msec_t sent_at;
} soak_request_t;

/** soak_run_check() - Check a request that a server begins to run. */
void soak_run_check(
    soak_server_t *s, soak_request_t *r, const soak_seen_t *seen);

/** soak_answer_check() - Check an answer at its caller. */
void soak_answer_check(world_t *w, const soak_request_t *r, const char *sign,
    const char *body, size_t len);

/**
 * soak_cut_check() - Check a request whose connection ended without an answer.
 *
 * Not broken: the server broke off, the route's time is over, the host was
 * killed or paused, or it may not have read the request.
 */
void soak_cut_check(world_t *w, const soak_request_t *r);

/** soak_is_quiet() - Whether callers send nothing now. */
gboolean soak_is_quiet(const world_t *w);

void soak_callers_init(world_t *w);
void soak_callers_finish(world_t *w);

/** soak_leavers_init() - Callers that write their own bytes; most leave. */
void soak_leavers_init(world_t *w);
void soak_leavers_finish(world_t *w);

/* ---- entry hosts ---- */

typedef enum {
	HOST_OFF,
	HOST_RUNS,
	HOST_PAUSED,
	HOST_STOPS, /* gracefully */
} host_state_t;

typedef struct {
	pid_t pid;
	host_state_t state;
	msec_t since;
	msec_t undisturbed_since; /* no fault of host or store; 0: has one */
	msec_t calm_since;	  /* neither killed nor paused; 0: was */
	msec_t stopped_at;	  /* its first SIGTERM; 0: none */
	gboolean killed;	  /* by SIGKILL of the world */
	msec_t quiet_since; /* measures processor time from here; 0: does not */
	double quiet_sec;   /* processor time until then */
} soak_host_t;

void soak_host_start(world_t *w, int host);
void soak_host_signal(world_t *w, int host, int sig);
void soak_hosts_watch(world_t *w);
void soak_hosts_finish(world_t *w);

/** soak_watch() - Check memory, descriptors and processor time of hosts. */
void soak_watch(world_t *w);

/** soak_series() - Signals in series, to some hosts at once. */
void soak_series(world_t *w);

/** soak_all_undisturbed() - Whether no host had a fault for @ms. */
gboolean soak_all_undisturbed(const world_t *w, msec_t ms);

/* Seeds from here on play the further kinds, each of them most seeds. The
 * draws of w->rand stay as they were. */
#define SOAK_FIRST_FURTHER 1000

typedef struct {
	gboolean bytes;	  /* servers that write their own bytes */
	gboolean leavers; /* callers that write their own bytes */
	gboolean late;	  /* writes of the store, late */
	gboolean series;  /* of signals, to some hosts at once */
	gboolean limits;  /* hosts under the limits of the sites */
	gboolean pause;	  /* callers send nothing for a while */
} soak_plan_t;

struct world {
	struct event_base *base;
	GRand *rand, *further;
	soak_plan_t plan;
	int memory_mb; /* a host's peak stays under it; 0: not checked */
	uint32_t seed;
	int port;
	const char *program, *dir;
	const char *settings; /* further ones of hosts, with groups; or NULL */
	msec_t began_at, ends_at, stops_at; /* faults stop, then requests end */
	msec_t quiet_at, quiet_until;	    /* callers pause; 0: never */
	double rate;			    /* requests per second */
	soak_store_t store;
	soak_server_t servers[SERVERS_MAX];
	int nservers;
	soak_server_t *bytes[BYTES_SERVERS]; /* that write their own bytes */
	soak_host_t hosts[HOSTS];
	GHashTable *requests; /* soak_request_t by id */
	GArray *quota_runs; /* msec_t: times of runs of the limited workspace */
	http_client_t *http;
	GPtrArray *addresses;  /* from the last look-up */
	uint64_t number;       /* of the last request */
	uint64_t config;       /* version of the manifest */
	gboolean withdrawn;    /* the second key of workspace 0 */
	msec_t key_changed_at; /* when it was last withdrawn or restored */
	int drained;	       /* the drained domain, or -1 */
	guint sent, answered, refused, failed, cut, unreached;
	guint late_sent, late_answered; /* after the last fault has settled */
	guint crashes, crashes_late; /* of servers, by the crashing request */
	msec_t third_crash_at;
	guint hung_up; /* requests whose callers hung up */
	int unread;    /* callers to begin that don't read for a while */
	guint raw_sent, raw_answered, raw_closed; /* of soak_leavers.c */
	guint spoiled, endless, large;		  /* answers of soak_bytes.c */
	long peak_kb;				  /* the largest of a host */
	guint broken;				  /* broken promises */
	msec_t lag; /* recent maximum delay of this process's event loop */
	msec_t ticked_at;
};

/** soak_broken() - Count and print a broken promise, and continue. */
void soak_broken(world_t *w, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

/** soak_config() - Write the next version of the manifest to the store. */
void soak_config(world_t *w);

const char *soak_region(int domain);

/* The promises that apply and their bounds follow from the hosts' settings. */
#define DRAIN_BOUND_MS 2500
#define DOMAIN_BOUND_MS 5000
#define CONFIG_BOUND_MS 2500
#define QUOTA_RATE 20
#define QUOTA_BURST 20
#define QUOTA_WINDOW_MS 5000
/* (rate * window + burst) * 1.1 + 20 */
#define QUOTA_ALLOWED 152
/* Time without faults after which the promises apply. */
#define SETTLE_MS 4000
#define BUDGET_MS 3000
#define ROUTE_MS 2500
#define DRAIN_SEC 6
/* A request that has crashed CRASHES_BEFORE_REFUSAL servers crashes at most
 * LATE_CRASHES_MAX more of them later than REFUSAL_BOUND_MS after the last of
 * these crashes. */
#define CRASHES_BEFORE_REFUSAL 3
#define LATE_CRASHES_MAX 3
#define REFUSAL_BOUND_MS 3000
/* After its caller has hung up, an idempotent request ends at its server within
 * this time. */
#define CANCEL_BOUND_MS 500
/* A request that was sent this long ago has been read. */
#define READ_MS 500

#endif
