#ifndef HOST_MIRROR_H
#define HOST_MIRROR_H

#include "transport/store.h"

/*
 * A local copy of the store's control rows, updated by one scan for changes
 * every MIRROR_PERIOD_MS. All control data that this host reads from the store
 * comes from this copy, so control costs one read a second, however many rows
 * there are.
 */

#define MIRROR_PERIOD_MS 1000

typedef struct {
	char *value; /* never NULL */
	uint64_t version;
} mirror_row_t;

/**
 * typedef mirror_changed_t - Called after a scan has been applied.
 * @arg: as given to mirror_init()
 * @rows: store_row_t that changed; value NULL: deleted
 * @since: version after which changes were requested
 * @sent_at: when the scan request was sent
 */
typedef void (*mirror_changed_t)(
    void *arg, const GArray *rows, uint64_t since, msec_t sent_at);

typedef struct {
	store_t *store;
	GTree *rows;	  /* key to mirror_row_t */
	uint64_t version; /* store version up to which the copy is complete */
	msec_t sent_at;	  /* of the last answered scan; 0: none yet */
	gboolean busy;
	gboolean again; /* scan again once the present scan is done */
	mirror_changed_t changed;
	void *arg;
} mirror_t;

void mirror_init(
    mirror_t *m, store_t *store, mirror_changed_t changed, void *arg);
void mirror_finish(mirror_t *m);

/**
 * mirror_scan() - Request the changes from the store.
 * @m: the mirror
 *
 * If a scan is under way, another one follows it, so that its send time is
 * later than this call.
 */
void mirror_scan(mirror_t *m);

/**
 * mirror_get() - Look up a row.
 * @m: the mirror
 * @key: its key
 *
 * Return: the row, valid until the next scan, or NULL if there is none.
 */
const mirror_row_t *mirror_get(const mirror_t *m, const char *key);

/**
 * mirror_each() - Call a function for each row with a prefix, in the order of
 * keys.
 * @m: the mirror
 * @prefix: of the keys
 * @fn: gets the part of the key after the prefix
 * @arg: for @fn
 */
void mirror_each(const mirror_t *m, const char *prefix,
    void (*fn)(void *arg, const char *name, const mirror_row_t *row),
    void *arg);

#endif
