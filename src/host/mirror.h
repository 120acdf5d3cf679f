#ifndef HOST_MIRROR_H
#define HOST_MIRROR_H

#include "transport/store.h"

/*
 * A local copy of the control rows of the store, kept by one scan for changes
 * each MIRROR_PERIOD_MS. Everything that this host knows from the store comes
 * through here, so control costs one read a second whatever is kept.
 */

#define MIRROR_PERIOD_MS 1000

typedef struct {
	char *value; /* never NULL */
	uint64_t version;
} mirror_row_t;

/**
 * typedef mirror_changed_t - A scan has been taken in.
 * @arg: as given
 * @rows: store_row_t that changed; value NULL: deleted
 * @since: version after which changes were asked for
 * @sent_at: when the scan was sent
 */
typedef void (*mirror_changed_t)(
    void *arg, const GArray *rows, uint64_t since, msec_t sent_at);

typedef struct {
	store_t *store;
	GTree *rows;	  /* key to mirror_row_t */
	uint64_t version; /* up to which it is complete */
	msec_t sent_at;	  /* of the last answered scan; 0: none yet */
	gboolean busy;
	gboolean again; /* scan once more as soon as the present one is done */
	mirror_changed_t changed;
	void *arg;
} mirror_t;

void mirror_init(
    mirror_t *m, store_t *store, mirror_changed_t changed, void *arg);
void mirror_finish(mirror_t *m);

/**
 * mirror_scan() - Ask the store for changes, if that is not under way.
 * @m: the mirror
 *
 * One that is asked for while another is under way follows it, so that its
 * send time is later than the call.
 */
void mirror_scan(mirror_t *m);

/**
 * mirror_get() - Look a row up.
 * @m: the mirror
 * @key: its key
 *
 * Return: the row, good until the next scan, or NULL where there is none.
 */
const mirror_row_t *mirror_get(const mirror_t *m, const char *key);

/**
 * mirror_each() - Call for each row below a prefix, in order of keys.
 * @m: the mirror
 * @prefix: of the keys
 * @fn: gets the rest of the key behind the prefix
 * @arg: for @fn
 */
void mirror_each(const mirror_t *m, const char *prefix,
    void (*fn)(void *arg, const char *name, const mirror_row_t *row),
    void *arg);

#endif
