#ifndef GATEWAY_STORE_SYNC_ERA_H
#define GATEWAY_STORE_SYNC_ERA_H

#include "gateway/store_sync.h"

/* What a host does when the store was restored from a copy. */

/**
 * store_sync_check_era() - Process the era of an answer of the store.
 * @s: the sync
 * @outcome: of the call; TABLE_FAILED if the answer is of an older era
 *
 * In a newer era, all tables are listed again; their calls are replaced.
 *
 * Return: whether the era is new.
 */
gboolean store_sync_check_era(store_sync_t *s, table_outcome_t *outcome);

/** store_sync_begin_page() - A page of a table is about to be applied. */
void store_sync_begin_page(synced_table_t *t, const table_page_t *page);

/** store_sync_count_rewrite() - A row that the store lost is written again. */
void store_sync_count_rewrite(store_sync_t *s, const char *key);

/** store_sync_era_listed() - Write again what the store lost of a table. */
void store_sync_era_listed(synced_table_t *t);

#endif
