#ifndef HOST_SLOTS_H
#define HOST_SLOTS_H

#include "host/host.h"

/*
 * Numbered slots, caps.hosts in number. The host that holds a slot has a fixed
 * part of the rate and burst of each workspace. A slot is a row of the store.
 */

/**
 * slots_tick() - Claim a slot if this host has none.
 * @h: the host
 * @now: present time
 */
void slots_tick(host_t *h, msec_t now);

/**
 * slots_row_key() - Key of a slot's row.
 * @slot: its number
 *
 * Return: text to be freed with g_free().
 */
char *slots_row_key(uint16_t slot);

#endif
