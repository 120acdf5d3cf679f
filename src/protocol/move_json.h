#ifndef PROTOCOL_MOVE_JSON_H
#define PROTOCOL_MOVE_JSON_H

#include "coordination/lease.h"
#include "coordination/move.h"

/* Values of the rows move/<id>, lease/<duty> and lease/<duty>/renewal. */

/**
 * move_json_encode() - Encode a move.
 * @row: the move
 *
 * Return: JSON text, to be freed with free().
 */
char *move_json_encode(const move_row_t *row);

/**
 * move_json_decode() - Decode a move.
 * @text: JSON text
 * @row: set on success
 * @err: ERROR_INVALID, with the name of the invalid field
 */
gboolean move_json_decode(const char *text, move_row_t *row, GError **err);

/** lease_json_fence() - Encode the fence row; to be freed with free(). */
char *lease_json_fence(const lease_row_t *row);

/** lease_json_renewal() - Encode the renewal row; to be freed with free(). */
char *lease_json_renewal(const lease_row_t *row);

/**
 * lease_json_decode() - Decode both rows of a lease.
 * @fence: JSON text; NULL: absent
 * @renewal: JSON text; NULL: absent
 * @row: set on success, except for the versions
 * @err: ERROR_INVALID, with the name of the invalid field
 */
gboolean lease_json_decode(
    const char *fence, const char *renewal, lease_row_t *row, GError **err);

#endif
