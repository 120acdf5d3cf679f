#ifndef STATE_VERSION_MIX_H
#define STATE_VERSION_MIX_H

#include <stdint.h>

#include <glib.h>

/*
 * Holds a service's requests to the shares of its versions by counting, so
 * that of any number of requests sent from the start of a mix, a capped
 * version has had at most its share of them.
 */

#define SHARE_WHOLE 1000000 /* parts per million */

typedef struct {
	const char *version;
	uint32_t share_ppm;
	gboolean capped; /* never above its share, even for want of room */
} version_share_t;

typedef struct {
	char *version;
	uint32_t share_ppm;
	gboolean capped;
	int64_t credit_ppm; /* requests owed, parts per million */
} version_credit_t;

typedef struct {
	GArray *rows; /* version_credit_t */
} version_mix_t;

void version_mix_init(version_mix_t *m);
void version_mix_finish(version_mix_t *m);

/**
 * version_mix_set() - Set the shares.
 * @m: the mix
 * @shares: versions and shares; none: every version alike
 * @n: how many
 *
 * Credit of a version is kept if its share and cap are unchanged.
 */
void version_mix_set(
    version_mix_t *m, const version_share_t *shares, unsigned int n);

/**
 * version_mix_order() - List the versions that may take the next request.
 * @m: the mix
 * @order: room for as many entries as @m has rows; row numbers, the one whose
 *	turn it is first
 *
 * Return: how many.
 */
unsigned int version_mix_order(const version_mix_t *m, unsigned int *order);

/**
 * version_mix_sent() - Count a request as sent to a version.
 * @m: the mix
 * @row: row number from version_mix_order()
 */
void version_mix_sent(version_mix_t *m, unsigned int row);

#endif
