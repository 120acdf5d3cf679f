#include <math.h>

#include "state/server_speed.h"

/* Part by which a report changes the mean of its server: of most servers, a
 * host gets some ten reports in a minute. */
#define MEAN_SMOOTH 0.1
/* Part by which two reports change what is known of the service, whose servers
 * together send several of them per second. */
#define HOLD_SMOOTH 0.05
/* Reports further apart show nothing about a value that changes many times per
 * second. */
#define PAIR_MAX_MS 1000
/* Time for which a report holds until it is learned, and its bounds: the time
 * of a round trip between regions, below which a report is outdated when it is
 * used, and the longest interval that is "many times per second". */
#define HOLD_DEFAULT_MS 200
#define HOLD_MIN_MS 50
#define HOLD_MAX_MS 500

static void
learn(speed_hold_t *hold, double before, double after, msec_t gap)
{
	double part = hold->gap_ms > 0 ? HOLD_SMOOTH : 1;

	hold->variance +=
	    part * ((before * before + after * after) / 2 - hold->variance);
	hold->covariance += part * (before * after - hold->covariance);
	hold->gap_ms += part * ((double)MAX(gap, 1) - hold->gap_ms);
}

void
server_speed_report(
    server_speed_t *s, speed_hold_t *hold, double factor, msec_t now)
{
	if (s->reported <= 0) {
		s->mean = factor;
	} else {
		if (now - s->at <= PAIR_MAX_MS)
			learn(hold, s->reported - s->mean, factor - s->mean,
			    now - s->at);
		s->mean += MEAN_SMOOTH * (factor - s->mean);
	}
	s->reported = factor;
	s->at = now;
}

msec_t
speed_hold_ms(const speed_hold_t *hold)
{
	double common;

	if (hold->variance <= 0)
		return HOLD_DEFAULT_MS;
	/* The correlation of two values decays exponentially with the time
	 * between them, if changes come at random moments. */
	common = hold->covariance / hold->variance;
	if (common <= 0)
		return HOLD_MIN_MS;
	if (common >= 1)
		return HOLD_MAX_MS;
	return (msec_t)CLAMP(
	    -hold->gap_ms / log(common), HOLD_MIN_MS, HOLD_MAX_MS);
}

double
server_speed_factor(
    const server_speed_t *s, const speed_hold_t *hold, msec_t now)
{
	double fresh;

	if (s->reported <= 0)
		return 1;
	fresh = exp(-(double)(now - s->at) / (double)speed_hold_ms(hold));
	return 1 + (s->reported / s->mean - 1) * fresh;
}
