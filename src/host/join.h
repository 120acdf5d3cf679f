#ifndef HOST_JOIN_H
#define HOST_JOIN_H

#include "host/host.h"

/*
 * Adds this process to the roster. One transaction writes its row and gives it
 * an incarnation that is one larger than any before.
 */

/**
 * join_tick() - Try to join, once the mirror is filled and no join is pending.
 * @h: the host
 */
void join_tick(host_t *h);

/**
 * join_scanned() - Process a scan that the mirror has taken in.
 * @h: the host
 *
 * Finds out whether a join that had no answer has taken effect.
 */
void join_scanned(host_t *h);

/**
 * join_row_key() - Key of a host's roster row.
 * @id: the host
 *
 * Return: text to be freed with g_free().
 */
char *join_row_key(const char *id);

/**
 * join_leave() - Write to the roster row that this host leaves, or delete it.
 * @h: the host
 * @gone: whether to delete the row
 * @done: called after the answer of the store, also after an error; or NULL
 */
void join_leave(host_t *h, gboolean gone, void (*done)(host_t *h));

#endif
