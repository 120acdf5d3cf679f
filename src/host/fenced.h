#ifndef HOST_FENCED_H
#define HOST_FENCED_H

#include "coordination/commit.h"
#include "host/host.h"

/*
 * Writes to the store that take effect only while this incarnation is in the
 * roster, with the verdict that the commit machine wants.
 */

/* More checks than the roster row's that one write may have. */
#define FENCED_CHECKS_MAX 64

/**
 * typedef fenced_done_t - Told once for each write.
 * @arg: as given
 * @result: what became of it
 * @version: store version for WRITE_WON
 */
typedef void (*fenced_done_t)(
    void *arg, write_result_t result, uint64_t version);

/**
 * fenced_write() - Write on condition of our own roster row.
 * @h: the host
 * @checks: further conditions; copied
 * @nchecks: how many, FENCED_CHECKS_MAX at most
 * @writes: what to write; copied
 * @nwrites: how many
 * @done: gets the verdict
 * @arg: for @done
 */
void fenced_write(host_t *h, const store_check_t *checks, size_t nchecks,
    const store_write_t *writes, size_t nwrites, fenced_done_t done, void *arg);

#endif
