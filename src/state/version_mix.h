#ifndef STATE_VERSION_MIX_H
#define STATE_VERSION_MIX_H

#include <stdint.h>

#include <glib.h>

/*
 * Divides a service's requests between its versions by counting. Of the
 * requests sent since the start of a mix, whatever their number, a capped
 * version has got at most its share.
 */

#define SHARE_WHOLE 1000000 /* parts per million */

typedef struct {
	const char *version;
	uint32_t share_ppm;
	/* never exceeds its share, even if other versions have no free slot */
	gboolean capped;
} version_share_t;

typedef struct {
	char *version;
	uint32_t share_ppm;
	gboolean capped;
	int64_t credit_ppm; /* requests due, parts per million of a request */
} version_credit_t;

typedef struct {
	GArray *rows; /* version_credit_t */
} version_mix_t;

void version_mix_init(version_mix_t *m);
void version_mix_finish(version_mix_t *m);

/**
 * version_mix_set() - Set the shares.
 * @m: the mix
 * @shares: versions and shares; none: all versions are treated alike
 * @n: number of shares
 *
 * The credit of a version is kept if its share and cap are unchanged.
 */
void version_mix_set(
    version_mix_t *m, const version_share_t *shares, unsigned int n);

/**
 * version_mix_order() - List the versions that may take the next request.
 * @m: the mix
 * @order: array of as many entries as @m has rows; set to row numbers, best
 *	choice first
 *
 * Return: number of versions.
 */
unsigned int version_mix_order(const version_mix_t *m, unsigned int *order);

/**
 * version_mix_sent() - Count a request as sent to a version.
 * @m: the mix
 * @row: row number from version_mix_order()
 */
void version_mix_sent(version_mix_t *m, unsigned int row);

#endif
