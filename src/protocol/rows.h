#ifndef PROTOCOL_ROWS_H
#define PROTOCOL_ROWS_H

#include "protocol/row_codec.h"
#include "state/digest.h"

/*
 * The rows that the system keeps in the platform's table, with a struct for the
 * value of each kind. All rows but the records of idempotency keys have the
 * prefix ROWS_PREFIX, so that one scan per second returns every change.
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
/* One row for each configuration version that was accepted; never deleted. */
#define ROWS_CONFIG_VERSION "config/"
/* Prefix of the objects that hold configuration texts; the digest follows. */
#define OBJECTS_CONFIG "config-"

/* g/host/ID: an entry host that may write. */
typedef struct {
	uint64_t incarnation;
	uint64_t state; /* host_state_t */
	uint64_t token; /* of the write that created it */
	char *rpc;
	char *callers;
	char *region;
	char *domain;
} host_row_t;

/* g/incarnation: the largest incarnation that was assigned. */
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

/* g/slot/N: the host that holds one of the fixed parts of every rate limit. */
typedef struct {
	char *host;
	uint64_t incarnation;
} slot_row_t;

/*
 * g/marks: versions of the store, oldest first, recorded at intervals. The age
 * of rows is determined from them; see coordination/sweep.h.
 */
typedef struct {
	char *versions;
} marks_row_t;

/* once/DIGEST: state of the request with an idempotency key. */
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

/* Encode, decode and clear a row of the given type; see row_codec.h. */
char *rows_encode(const row_type_t *type, const void *row);
gboolean rows_decode(
    const row_type_t *type, const char *text, void *row, GError **err);
void rows_clear(const row_type_t *type, void *row);

#endif
