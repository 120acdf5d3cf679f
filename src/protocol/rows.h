#ifndef PROTOCOL_ROWS_H
#define PROTOCOL_ROWS_H

#include "protocol/row_codec.h"
#include "state/digest.h"

/*
 * The rows that the system keeps in the platform's table, one struct each.
 * All but the records of idempotency keys stand below ROWS_PREFIX, so that
 * one scan a second brings every change.
 */

#define ROWS_PREFIX "g/"
#define ROWS_HOST "g/host/"
#define ROWS_INCARNATION "g/incarnation"
#define ROWS_KEY "g/key/"
#define ROWS_CONFIG "g/config"
#define ROWS_FENCE "g/fence/"
#define ROWS_RENEWAL "g/renewal/"
#define ROWS_SLOT "g/slot/"
#define ROWS_MOVE "g/move/"
#define ROWS_MOVE_CANCEL "g/move-cancel/"
#define ROWS_MOVES_ADMIT "g/moves-admit"
#define ROWS_MARKS "g/marks"
#define ROWS_ONCE "once/"
/* One for each version that was accepted, kept. */
#define ROWS_CONFIG_VERSION "config/"
/* Objects that hold configuration texts, by digest. */
#define OBJECTS_CONFIG "config-"

/* g/host/ID: an entry host that may write. */
typedef struct {
	uint64_t incarnation;
	uint64_t state; /* host_state_t */
	uint64_t token; /* of the write that made it */
	char *rpc;
	char *callers;
	char *region;
	char *domain;
} host_row_t;

/* g/incarnation: the largest incarnation given out. */
typedef struct {
	uint64_t last;
} incarnation_row_t;

/* g/key/DIGEST */
typedef struct {
	char *workspace;
	gboolean withdrawn;
	uint64_t token;
} key_store_row_t;

/* g/config: the accepted configuration. */
typedef struct {
	uint64_t version;
	digest_t digest;
	uint64_t token;
} config_row_t;

/* g/fence/DUTY */
typedef struct {
	char *holder;
	uint64_t incarnation;
	uint64_t epoch;
	gboolean released;
} fence_row_t;

/* g/renewal/DUTY */
typedef struct {
	uint64_t token;
} renewal_row_t;

/* g/slot/N: who holds a fixed part of every limit. */
typedef struct {
	char *host;
	uint64_t incarnation;
} slot_row_t;

/* g/marks: versions of the store by which rows are aged, oldest first. */
typedef struct {
	char *versions;
} marks_row_t;

/* once/DIGEST: what became of the request with an idempotency key. */
typedef struct {
	uint64_t token; /* of the claim */
	digest_t request;
	uint64_t state; /* once_row_state_t */
	uint64_t status;
} once_store_row_t;

typedef struct {
	const row_field_t *fields;
	size_t n;
} row_type_t;

extern const row_type_t row_host, row_incarnation, row_key, row_config,
    row_fence, row_renewal, row_slot, row_marks, row_once;

/* Encoding and decoding by type; see row_codec.h. */
char *rows_encode(const row_type_t *type, const void *row);
gboolean rows_decode(
    const row_type_t *type, const char *text, void *row, GError **err);
void rows_clear(const row_type_t *type, void *row);

#endif
