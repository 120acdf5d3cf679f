#ifndef TRANSPORT_STORE_H
#define TRANSPORT_STORE_H

#include "protocol/store_msg.h"
#include "transport/http_client.h"

/*
 * Client of the platform's table service and object store. No function blocks
 * the event loop. Each call has a time limit, and the number of calls in
 * progress is limited. The answer to a write may be lost after the write took
 * effect. The call then ends with ERROR_UNKNOWN, and the writer reads the row
 * back and looks for the token it wrote.
 */

/* Time limit of one call. */
#define STORE_TIMEOUT_MS 1500
/* Limit of calls in progress at once. */
#define STORE_MAX_CALLS 128

typedef enum {
	STORE_KIND_JSON, /* JSON over HTTP, see docs/PLATFORM.md */
} store_kind_t;

typedef struct {
	store_kind_t kind;
	http_client_t *http;
	struct event_base *base;
	char *address;		/* "IP:PORT" */
	unsigned int calls;	/* in progress */
	uint64_t reads, writes; /* calls started since store_init() */
	msec_t answered_at;	/* when the last answer came; 0: never */
} store_t;

typedef enum {
	STORE_ROW,
	STORE_TXN,
	STORE_SCAN,
	STORE_OBJECT,
	STORE_PUT,
	STORE_HOSTS,
} store_op_t;

/* Result of a call; valid only during the callback. */
typedef struct {
	store_op_t op;
	msec_t sent_at; /* when the request was sent */
	union {
		store_row_t row;
		uint64_t version; /* of a transaction */
		store_scan_t scan;
		struct {
			const char *bytes; /* NULL: no such object */
			size_t len;
		} object;
		GArray *hosts; /* listed_host_t */
	} u;
} store_result_t;

/**
 * typedef store_done_t - Called once for each call, never from within it.
 * @arg: as passed with the call
 * @result: the result; on error, only op and sent_at are set
 * @err: NULL on success. ERROR_CONFLICT: a check failed, nothing was written.
 *	ERROR_UNAVAILABLE: certainly no effect. ERROR_UNKNOWN: a write that may
 *	have taken effect.
 */
typedef void (*store_done_t)(
    void *arg, const store_result_t *result, const GError *err);

void store_init(store_t *store, store_kind_t kind, struct event_base *base,
    http_client_t *http, const char *address);
void store_finish(store_t *store);

void store_get(store_t *store, const char *key, store_done_t done, void *arg);
void store_scan(store_t *store, const char *prefix, uint64_t since,
    store_done_t done, void *arg);
void store_txn(
    store_t *store, const store_txn_t *txn, store_done_t done, void *arg);
void store_put_object(store_t *store, const char *name, const char *bytes,
    size_t len, store_done_t done, void *arg);
void store_get_object(
    store_t *store, const char *name, store_done_t done, void *arg);
void store_hosts(store_t *store, store_done_t done, void *arg);

#endif
