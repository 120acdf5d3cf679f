#ifndef BASE_START_SIGNALS_H
#define BASE_START_SIGNALS_H

/*
 * Signals outside the time in which an event loop handles them: while the
 * process starts, and after its loop has ended. libevent puts the handlers of
 * this module back when it removes its own.
 */

/**
 * start_signals_init() - Handle signals from now on; call it first in main().
 *
 * SIGHUP, SIGUSR1, SIGPIPE and SIGXFSZ are ignored. SIGTERM and SIGINT end the
 * process with status 0: it holds nothing yet.
 */
void start_signals_init(void);

/**
 * start_signals_handled() - An event loop handles SIGTERM and SIGINT.
 *
 * Once its handlers are removed, these signals are ignored: the process ends
 * already, with a status of its own.
 */
void start_signals_handled(void);

/**
 * start_signals_again() - The process goes back to its start.
 *
 * Call it before the handlers of the loop are removed.
 */
void start_signals_again(void);

#endif
