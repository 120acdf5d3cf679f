#ifndef PROTOCOL_MOVE_JSON_H
#define PROTOCOL_MOVE_JSON_H

#include "coordination/lease.h"
#include "coordination/move.h"

/* Values of the store's rows move/<id>, lease/<duty>, lease/<duty>/renewal. */

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
 * @err: ERROR_INVALID, with the field that is wrong
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
 * @row: all but the versions is set on success
 * @err: ERROR_INVALID, with the field that is wrong
 */
gboolean lease_json_decode(
    const char *fence, const char *renewal, lease_row_t *row, GError **err);

#endif
