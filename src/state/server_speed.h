#ifndef STATE_SERVER_SPEED_H
#define STATE_SERVER_SPEED_H

#include <glib.h>

#include "base/clock.h"

/*
 * How long work takes on a backend server's machine at this moment, relative to
 * its usual time, as the server reports it with its responses. Servers share
 * their machines with others, so the value changes many times per second.
 *
 * Load: each host gets a response of a server only every few seconds, while a
 * slow interval lasts some hundred milliseconds. A report therefore holds for a
 * limited time, which is learned from all servers of a service: from how much
 * two reports of a server that follow each other soon have in common.
 */

/* What one server reports. All zero: nothing yet. */
typedef struct {
	double reported; /* factor of the usual time */
	double mean;	 /* smoothed */
	msec_t at;	 /* time of the last report */
} server_speed_t;

/* For how long the reports of a service's servers hold. All zero: unknown. */
typedef struct {
	double variance;   /* of a report from its server's mean, smoothed */
	double covariance; /* of a report and the one before it */
	double gap_ms;	   /* between the two */
} speed_hold_t;

/**
 * server_speed_report() - Record what a response reports.
 * @s: speed of the server
 * @hold: of its service
 * @factor: time of work relative to the usual time, more than 0
 * @now: time
 */
void server_speed_report(
    server_speed_t *s, speed_hold_t *hold, double factor, msec_t now);

/** speed_hold_ms() - Time after which a report says little. */
msec_t speed_hold_ms(const speed_hold_t *hold);

/**
 * server_speed_factor() - Expected time of work relative to the server's mean.
 * @s: speed of the server
 * @hold: of its service
 * @now: time
 *
 * The mean itself shows in the times of its responses.
 *
 * Return: 1 if the server has not reported any, or not lately.
 */
double server_speed_factor(
    const server_speed_t *s, const speed_hold_t *hold, msec_t now);

#endif
