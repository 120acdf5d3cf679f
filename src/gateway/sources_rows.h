#ifndef GATEWAY_SOURCES_ROWS_H
#define GATEWAY_SOURCES_ROWS_H

#include "gateway/sources.h"

/*
 * What a row that is news changes in the view. Rows that tell more than that
 * a server lives are copied to their source's list of what is passed on.
 */

/** sources_rows_order() - A row of the orders; @arg is the sources. */
void sources_rows_order(void *arg, const table_row_t *row);

/** sources_rows_server() - A backend server's entry. */
void sources_rows_server(void *arg, const table_row_t *row);

/** sources_rows_fleet() - A row of the hosts' own. */
void sources_rows_fleet(void *arg, const table_row_t *row);

#endif
