#ifndef BASE_FATAL_SIGNAL_H
#define BASE_FATAL_SIGNAL_H

/*
 * Reports a signal that ends the process because of a fault in it, such as a
 * memory access that is not allowed: one line like those of the log, then the
 * stack. The process still ends by the signal.
 */

/**
 * fatal_signal_report() - Report such signals from now on.
 * @fd: where to write; a pipe that is full is not waited for
 *
 * Signals that have a handler already, such as a sanitizer's, keep it.
 */
void fatal_signal_report(int fd);

#endif
