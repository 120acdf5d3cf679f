#ifndef HOST_JOIN_H
#define HOST_JOIN_H

#include "host/host.h"

/*
 * Puts this process into the roster: its row, and an incarnation that is one
 * larger than any given out before, in one transaction.
 */

/**
 * join_tick() - Try to join, once the mirror is filled and nothing is pending.
 * @h: the host
 */
void join_tick(host_t *h);

/**
 * join_changed() - The mirror has taken in a scan.
 * @h: the host
 *
 * Finds out whether a join without an answer took effect.
 */
void join_changed(host_t *h);

/**
 * join_row_key() - Key of a host's roster row.
 * @id: the host
 *
 * Return: text to be freed with g_free().
 */
char *join_row_key(const char *id);

/**
 * join_leave() - Write that this host is leaving, or has left.
 * @h: the host
 * @gone: delete the row instead
 * @done: called when the store has answered, whatever it said
 */
void join_leave(host_t *h, gboolean gone, void (*done)(host_t *h));

#endif
