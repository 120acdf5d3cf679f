#ifndef STATE_REGISTRY_H
#define STATE_REGISTRY_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"
#include "state/server_speed.h"
#include "state/server_word.h"

/*
 * Backend servers by id, as they register themselves, and what this host knows
 * of each. The registry owns servers and services. A pointer to a server stays
 * valid until its last reference is dropped, so that a request in flight can
 * outlive the entry.
 */

/* An entry that expired while the store was unreachable is kept until this time
 * after the store's return. Live servers register again within 2 s. */
#define REGISTRY_LAPSE_MS 2100

/* One entry as read from the store. */
typedef struct {
	const char *id;
	const char *service;
	const char *address; /* "IP:PORT" */
	const char *domain;  /* failure domain */
	const char *version; /* of the server's software */
	uint32_t slots;	     /* requests it runs at once */
	gboolean draining;
	msec_t cold_ms;	  /* time for which it stays cold */
	int64_t born;	  /* time of day of its start, ms; 0: unknown */
	uint64_t row_ver; /* version of the row in the store */
} registry_row_t;

typedef struct backend backend_t;

typedef enum {
	PACE_OPEN,    /* not limited */
	PACE_HELD,    /* ejected or paused */
	PACE_COLD,    /* the cold ramp bounds its requests */
	PACE_OPENING, /* gets a growing part of its share */
} pace_state_t;

/* This host's limit of a server that is new or back; see
 * coordination/server_pace.h. All zero: not limited. */
typedef struct {
	pace_state_t state;
	gboolean warms_up; /* its service has a warm-up */
	guint good;	   /* good responses in a row, of this step */
	guint backs;	   /* steps back that were not made up for */
	guint flaps;	   /* limits in a row that followed each other soon */
	gboolean seen;	   /* requests of any host there in this step */
	double part;	   /* of its share, 0..1 */
	double own_ratio;  /* time of its responses by the usual time */
	msec_t began_at;   /* of the opening */
	msec_t stepped_at; /* when the part last changed */
} server_pace_t;

typedef struct {
	char *name;
	GPtrArray *servers; /* backend_t, in order of their ids */
	/* Part of the objects requested in this host's region that stay there,
	 * 0..1; the others run in any region. */
	double local_part;
	msec_t local_since;	 /* when @local_part was first set; 0: never */
	speed_hold_t speed_hold; /* of the speeds that its servers report */
} registry_service_t;

struct backend {
	char *id;
	char *address;
	char *domain;
	char *region; /* "" if the domain is unknown */
	char *version;
	registry_service_t *service;
	uint64_t seed; /* hash of its id, for rendezvous hashing */
	uint32_t slots;
	gboolean draining;
	gboolean listed; /* has an entry in the registry */
	int64_t born;
	uint64_t row_ver;
	/* end of its warm-up, during which it can take few requests */
	msec_t cold_until;
	/* assumed end of its warm-up after an ejection */
	msec_t cold_assumed_until;
	/* Its entry may have expired while the store was unreachable: it is
	 * used until then; 0: it has an entry. */
	msec_t lapsed_until;

	/* Load. */
	uint32_t own;	   /* requests of this host in flight to it */
	uint32_t reported; /* requests of other hosts, by its last answer */
	msec_t reported_at;
	uint32_t peers;	   /* requests of other hosts, by the summaries */
	msec_t full_until; /* gets nothing until then: it had no room */
	double service_ms; /* smoothed time of an answer; 0: none yet */
	double busy;	   /* smoothed requests for each slot */
	/* Parts of its objects that are offloaded, 0..1: of those that run in
	 * any region, and of those that stay in its own. */
	double offloaded;
	double offloaded_in_region;

	/* Limit of its rate, as it names it in its answers. */
	double limit_rate;	/* requests per second, of all hosts */
	msec_t limit_at;	/* when it was named; 0: it names none */
	msec_t limited_until;	/* no token for it before then */
	double limit_offloaded; /* part of its objects beyond the limit, 0..1 */

	server_word_t word;   /* of this start, in its answers */
	server_speed_t speed; /* of this start's machine */

	/* Failures. */
	uint32_t failures; /* in a row */
	/* end of its ejection; then it gets one request at a time; 0: none */
	msec_t ejected_until;

	msec_t sent_at; /* when this host last sent it a request */

	server_pace_t pace;

	/* Rank of this host for it while it is cold, and for which set of hosts
	 * that was computed; 0: none. */
	guint ramp_rank, ramp_generation;

	guint refs;
};

/* What a server without an entry had said. */
typedef struct {
	uint64_t seed;	  /* hash of its id */
	uint64_t address; /* hash of its address */
	int64_t born;
	server_word_t word;
	msec_t kept_at;
} registry_word_t;

typedef struct {
	GHashTable *servers;  /* id to backend_t */
	GHashTable *services; /* name to registry_service_t */
	GHashTable *regions;  /* domain to region, owned by the settings */
	GHashTable *removed;  /* id to the version of its removal, uint64_t */
	/* Words of servers whose entries were removed; they may be back. */
	GArray *words; /* registry_word_t */
	/* Rows up to this version may be older copies: the store was restored.
	 * 0: it was not. */
	uint64_t copy_end;
} registry_t;

/* What a row changed. */
typedef enum {
	REGISTRY_SAME,
	REGISTRY_NEW,	  /* an unknown server was added */
	REGISTRY_RESTART, /* the server was restarted under the same id */
	REGISTRY_CHANGED, /* draining or cold began or ended */
	REGISTRY_STALE,	  /* the row is older than what is known */
} registry_change_t;

/**
 * registry_init() - Set up a registry without servers.
 * @r: memory of the caller
 * @regions: failure domain to region; must outlive @r
 */
void registry_init(registry_t *r, GHashTable *regions);
void registry_finish(registry_t *r);

/**
 * registry_put() - Add or update an entry.
 * @r: the registry
 * @row: the entry; copied
 * @now: when the store was asked
 */
registry_change_t registry_put(
    registry_t *r, const registry_row_t *row, msec_t now);

/**
 * registry_remove() - Handle the removal of an entry from the store.
 * @r: the registry
 * @id: id of the server
 * @row_ver: version of the removal
 * @lapse_until: the store was unreachable a moment ago, and until then the
 *	entry may only have expired; a time that has passed: it was removed
 * @now: time
 *
 * Return: whether the server was known and the removal is not an old one.
 */
gboolean registry_remove(registry_t *r, const char *id, uint64_t row_ver,
    msec_t lapse_until, msec_t now);

/**
 * registry_expire() - Drop entries that expired and were not renewed.
 * @r: the registry
 * @now: time
 */
void registry_expire(registry_t *r, msec_t now);

/**
 * registry_service() - Find a service with its servers.
 *
 * Return: the service, or NULL if no server ever registered for it.
 */
registry_service_t *registry_service(const registry_t *r, const char *name);

backend_t *backend_ref(backend_t *b);
void backend_unref(backend_t *b);

/**
 * backend_load() - Estimate the requests of all hosts at a server.
 * @b: the server
 * @now: time; the last report counts less the older it is
 */
double backend_load(const backend_t *b, msec_t now);

/**
 * backend_report() - Record the load that a server reported with an answer.
 * @b: the server
 * @running: requests that it runs or queues, those of this host included
 * @now: time
 */
void backend_report(backend_t *b, uint32_t running, msec_t now);

/**
 * backend_limit() - Take over the limit that a server names.
 * @b: the server
 * @rate: requests per second of all hosts together
 * @at: when it named the limit
 *
 * Return: whether the limit is new or has changed. An older one than is known
 * changes nothing.
 */
gboolean backend_limit(backend_t *b, double rate, msec_t at);

/**
 * backend_unlimit() - Drop the limit of a server that names none any more.
 *
 * Return: whether there was one.
 */
gboolean backend_unlimit(backend_t *b);

/** backend_limit_id() - Identifies the limits of this start of the server. */
uint64_t backend_limit_id(const backend_t *b);

/**
 * backend_pause() - The server asks for a pause; see server_word_pause().
 *
 * After it, the server counts as cold for a while.
 */
gboolean backend_pause(backend_t *b, msec_t ms, msec_t now);

/** backend_failed() - Count a request without a complete answer; may eject. */
void backend_failed(backend_t *b, gboolean unreachable, msec_t now);

/**
 * backend_run_ms() - Estimate how long a request ran.
 * @b: the server
 * @took_ms: time since the request was sent
 * @load: requests at the server when the request was sent
 */
double backend_run_ms(const backend_t *b, msec_t took_ms, double load);

/**
 * backend_answered() - Count an answer.
 * @b: the server
 * @took_ms: time since the request was sent
 * @load: requests at the server when the request was sent
 */
void backend_answered(backend_t *b, msec_t took_ms, double load);

/**
 * backend_usable() - Whether the server is known as able to take requests.
 *
 * Does not check for free slots. After its ejection a server gets one request
 * at a time until one is answered.
 */
gboolean backend_usable(const backend_t *b, msec_t now);

/** backend_is_cold() - Whether the server is still warming up. */
gboolean backend_is_cold(const backend_t *b, msec_t now);

/** registry_hash() - FNV-1a with a final mix; the same on every host. */
uint64_t registry_hash(const char *text);

#endif
