#ifndef HOST_FENCED_H
#define HOST_FENCED_H

#include "coordination/commit.h"
#include "host/host.h"

/*
 * Writes to the store that take effect only while this incarnation is in the
 * roster. Their results are those of coordination/commit.h.
 */

/* Most checks of one write, besides the check of the roster row. */
#define FENCED_CHECKS_MAX 64

/**
 * typedef fenced_done_t - Called once for each write.
 * @arg: as given
 * @result: outcome of the write
 * @version: store version for WRITE_WON
 */
typedef void (*fenced_done_t)(
    void *arg, write_result_t result, uint64_t version);

/**
 * fenced_write() - Write if our roster row is unchanged.
 * @h: the host
 * @checks: further conditions; copied
 * @nchecks: how many, FENCED_CHECKS_MAX at most
 * @writes: what to write; copied
 * @nwrites: how many
 * @done: called with the outcome
 * @arg: for @done
 */
void fenced_write(host_t *h, const store_check_t *checks, size_t nchecks,
    const store_write_t *writes, size_t nwrites, fenced_done_t done, void *arg);

#endif
