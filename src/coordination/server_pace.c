#include "coordination/server_pace.h"

/* Part of its share that a server gets first, and the least. At 8 requests per
 * second, which is the share in a fleet of 85 hosts and 156 servers, the first
 * is one request per second of all hosts together. */
#define PART_FIRST 0.125
#define PART_MIN 0.0625
/* A step multiplies the part by the first factor; by the second, if the load is
 * so low that even then not all slots would be in use. */
#define STEP_FACTOR 2.0
#define STEP_FACTOR_MAX 4.0
/* Good responses of this host that show as much as the time of a step. */
#define STEP_GOOD 2
/* A step lasts the time of a response, plus the age of what this host knows of
 * the requests of others. */
#define KNOWN_AGE_MS 500
#define STEP_MIN_MS 1000
#define STEP_MAX_MS 3000
/* Of the requests that fail together, only one makes a step back. */
#define BACK_MIN_MS 500
/* A failure after this many good responses is one of a low rate of errors, for
 * which objects are not moved. */
#define GOOD_RUN 8
/* After steps back, the next step forward takes up to this many times as long
 * (as a power of two), so that a flapping server is not flooded each time. */
#define BACKS_MAX 4
/* A server that is limited again within this time counts as flapping. */
#define FLAP_MS 60000
/* A server with its whole share stays limited for this many steps more. */
#define WATCH_STEPS 4
/* The load per slot up to which a server counts as able to take more: all slots
 * are in use, or this many times the load of the others. Its objects are not
 * cached yet and take about three times as long. */
#define LOAD_FULL 1.0
#define LOAD_FACTOR 1.5
/* Up to this many times that load the part stays as it is, as the queue gets
 * shorter with the objects that become cached. */
#define LOAD_BACK 2.0
/* Without requests of any host there, the part grows as long as the load stays
 * under half of the slots even if responses take this many times as long. */
#define TIME_FACTOR 4.0
#define LOAD_SAFE 0.5
/* A response is slow if it takes more than this many times the usual time of
 * its type: one without its object takes about three times as long as one with
 * it. A server that is slower for good is compared with itself. */
#define RATIO_SLOW 4.0
#define RATIO_SLOWER 1.5
/* Part by which the server's own ratio follows slower responses. */
#define OWN_RATIO_SMOOTH 0.1
/* A cold server takes this many times as long as others, so its load shows a
 * smaller part of its share. */
#define COLD_TIME 2.0

void
server_pace_begin(server_pace_t *p, msec_t now)
{
	gboolean flaps = p->stepped_at != 0 && now - p->stepped_at < FLAP_MS;

	if (p->state != PACE_OPEN)
		return;
	*p = (server_pace_t){.state = PACE_HELD,
	    .part = PART_FIRST,
	    .flaps = flaps ? MIN(p->flaps + 1, BACKS_MAX) : 0,
	    .stepped_at = now};
}

static msec_t
step_ms(const pace_view_t *view)
{
	return (msec_t)CLAMP(
	    view->service.service_ms + KNOWN_AGE_MS, STEP_MIN_MS, STEP_MAX_MS);
}

static double
load_max(const pace_view_t *view)
{
	return MAX(LOAD_FULL, LOAD_FACTOR * view->service.busy);
}

static pace_change_t
step_back(server_pace_t *p, msec_t now)
{
	p->part = MAX(p->part / 2, PART_MIN);
	p->backs = MIN(p->backs + 1, BACKS_MAX);
	p->good = 0;
	p->seen = FALSE;
	p->stepped_at = now;
	return PACE_BACK;
}

static pace_change_t
step_forward(server_pace_t *p, double factor, msec_t now)
{
	p->part = MIN(p->part * factor, 1);
	p->backs = p->backs > 0 ? p->backs - 1 : 0;
	p->good = 0;
	p->seen = FALSE;
	p->stepped_at = now;
	return PACE_FORWARD;
}

/* Sets the part that the server's load shows it already has. */
static void
begin_opening(server_pace_t *p, const pace_view_t *view, msec_t now)
{
	double usual = view->service.busy, part = PART_FIRST;

	if (usual > 0 && p->state == PACE_COLD)
		part = CLAMP(view->busy / (COLD_TIME * usual), PART_FIRST, 1);
	p->part = p->backs > 0 ? MIN(p->part, part) : part;
	p->state = PACE_OPENING;
	p->began_at = now;
	p->stepped_at = now;
	p->seen = FALSE;
}

/* Whether other hosts or low traffic show that the part may grow. */
static gboolean
may_grow(const server_pace_t *p, const pace_view_t *view, double factor)
{
	return p->seen || p->good > 0 ||
	    factor * p->part * view->service.busy * TIME_FACTOR <= LOAD_SAFE;
}

static pace_change_t
update_part(server_pace_t *p, const pace_view_t *view, msec_t now)
{
	msec_t step = step_ms(view);
	/* The load shows that twice the usual step is safe. */
	double factor = STEP_FACTOR_MAX * view->busy <= load_max(view)
	    ? STEP_FACTOR_MAX
	    : STEP_FACTOR;

	if (now - p->stepped_at < step)
		return PACE_SAME;
	if (view->busy > LOAD_BACK * load_max(view))
		return step_back(p, now);
	if (p->part >= 1 || view->busy > load_max(view))
		return PACE_SAME;
	if (now - p->stepped_at < step << MAX(p->backs, p->flaps) ||
	    !may_grow(p, view, factor))
		return PACE_SAME;
	return step_forward(p, factor, now);
}

pace_change_t
server_pace_update(server_pace_t *p, const pace_view_t *view, msec_t now)
{
	if (p->state == PACE_OPEN)
		return PACE_SAME;
	p->seen |= view->load > 0;
	if (view->trial) {
		p->state = PACE_HELD;
		return update_part(p, view, now);
	}
	if (view->cold) {
		if (p->state != PACE_COLD && p->backs == 0)
			p->part = 1;
		p->state = PACE_COLD;
		return update_part(p, view, now);
	}
	if (p->state != PACE_OPENING)
		begin_opening(p, view, now);
	if (p->part >= 1 && view->busy <= load_max(view) &&
	    now - p->stepped_at >= WATCH_STEPS * step_ms(view) << p->backs) {
		p->state = PACE_OPEN;
		p->stepped_at = now;
		return PACE_OPENED;
	}
	return update_part(p, view, now);
}

static gboolean
in_part(uint64_t seed, uint64_t object, double part)
{
	uint64_t h = (seed ^ object) * UINT64_C(0x9e3779b97f4a7c15);

	h ^= h >> 29;
	h *= UINT64_C(0xbf58476d1ce4e5b9);
	h ^= h >> 32;
	return (double)(h >> 11) < part * 9007199254740992.0;
}

/*
 * Requests without an object go to the server with the lowest load, of all
 * hosts at once. Each host sends its part of the free slots in a step, at even
 * intervals; the first ones are spread over the hosts by their rank.
 */
static gboolean
is_turn(const server_pace_t *p, const pace_view_t *view, msec_t now)
{
	double room = MAX(view->slots * load_max(view) - view->load, 1);
	double gap = (double)step_ms(view) * MAX(view->hosts, 1) /
	    MAX(room * p->part, 1);
	double first = gap * view->rank / MAX(view->hosts, 1);

	if (view->sent_at > p->began_at)
		return (double)(now - view->sent_at) >= gap;
	return (double)(now - p->began_at) >= first;
}

gboolean
server_pace_allows(const server_pace_t *p, const pace_view_t *view,
    uint64_t object, gboolean by_object, msec_t now)
{
	double gate = load_max(view);

	if (p->state == PACE_OPEN)
		return TRUE;
	/* With its whole share, a server queues some requests at times. */
	if (p->state == PACE_OPENING && p->part >= 1)
		gate *= LOAD_BACK;
	if (view->load >= gate * view->slots)
		return FALSE;
	if (!by_object && p->state == PACE_OPENING)
		return is_turn(p, view, now);
	/* A server that failed gets no more because the others are full. */
	return (view->others_full &&
		   (p->state == PACE_HELD || p->backs == 0)) ||
	    in_part(view->seed, object, p->part);
}

/* Whether a response took too long for the server to get more. */
static gboolean
is_slow(server_pace_t *p, double ratio)
{
	gboolean slow = ratio > RATIO_SLOW &&
	    (p->own_ratio <= 0 || ratio > RATIO_SLOWER * p->own_ratio);

	if (ratio <= 0)
		return FALSE;
	if (p->own_ratio <= 0 || ratio < p->own_ratio)
		p->own_ratio = ratio;
	else
		p->own_ratio += OWN_RATIO_SMOOTH * (ratio - p->own_ratio);
	return slow;
}

static pace_change_t
ended_badly(server_pace_t *p, msec_t now)
{
	gboolean is_rare = p->good >= GOOD_RUN;

	p->good = 0;
	if (is_rare || (p->backs > 0 && now - p->stepped_at < BACK_MIN_MS))
		return PACE_SAME;
	/* This host has no response that shows that the server works. */
	if (p->own_ratio <= 0 && p->state != PACE_HELD) {
		p->part = PART_MIN;
		p->backs = BACKS_MAX;
	}
	return step_back(p, now);
}

pace_change_t
server_pace_ended(server_pace_t *p, pace_end_t end, double ratio, msec_t now)
{
	if (p->state == PACE_OPEN || end == PACE_UNKNOWN)
		return PACE_SAME;
	if (end == PACE_BAD || is_slow(p, ratio))
		return ended_badly(p, now);
	p->good++;
	if (p->state != PACE_OPENING || p->part >= 1 || p->good < STEP_GOOD)
		return PACE_SAME;
	return step_forward(p, STEP_FACTOR, now);
}
