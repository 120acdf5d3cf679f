#ifndef PROTOCOL_FLEET_ROWS_H
#define PROTOCOL_FLEET_ROWS_H

#include "coordination/fleet.h"
#include "coordination/shifts.h"
#include "protocol/beacon.h"
#include "protocol/table_msg.h"

/* Rows by which the hosts inform each other. All are in one table. */
#define FLEET_TABLE "fleet"
#define FLEET_KEY_SECRET "secret"
#define FLEET_KEY_HOST "host/"
#define FLEET_KEY_SHIFT "shift/"

/* Times of a host by the store's clock, ms. */
typedef struct {
	int64_t joined_ms; /* its first start */
	int64_t left_ms;   /* when it began to stop; 0: it runs */
} fleet_host_times_t;

char *fleet_rows_host(const fleet_row_t *row, const fleet_host_times_t *times);
char *fleet_rows_shift(const shift_row_t *row);
char *fleet_rows_secret(const peer_secret_t *secret);

typedef enum {
	FLEET_ROW_HOST,
	FLEET_ROW_SHIFT,
	FLEET_ROW_SECRET,
	FLEET_ROW_FOREIGN,
} fleet_row_kind_t;

/* A decoded row. For a removed row, only its kind and name are set. */
typedef struct {
	fleet_row_kind_t kind;
	gboolean removed;
	const char *name; /* of the host or service; points into the key */
	fleet_host_times_t times; /* of a host */
	union {
		fleet_row_t host; /* its strings are owned by @memory */
		shift_row_t shift;
		peer_secret_t secret;
	} u;
	void *memory;
} fleet_rows_t;

/**
 * fleet_rows_decode() - Decode a row.
 * @row: the row; must outlive @out
 * @out: set on success; to be cleared with fleet_rows_clear()
 * @err: set on failure
 */
gboolean fleet_rows_decode(
    const table_row_t *row, fleet_rows_t *out, GError **err);
void fleet_rows_clear(fleet_rows_t *out);

#endif
