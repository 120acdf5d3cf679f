#ifndef GATEWAY_SOURCES_WRITE_H
#define GATEWAY_SOURCES_WRITE_H

#include "gateway/sources.h"

/* What this host writes: its own row, and rows of moves for the duty. */

/** sources_write_join() - Timer: write this host's row, once its table is
 * known.
 */
void sources_write_join(evutil_socket_t fd, short what, void *arg);

/** sources_write_move() - Write a move's row and the status of it. */
void sources_write_move(sources_t *s, const shift_write_t *write);

/** sources_write_finish() - Give up the writes that are under way. */
void sources_write_finish(sources_t *s);

#endif
