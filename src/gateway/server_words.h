#ifndef GATEWAY_SERVER_WORDS_H
#define GATEWAY_SERVER_WORDS_H

#include <event2/keyvalq_struct.h>

#include "base/metrics.h"
#include "state/registry.h"

/*
 * Takes over what backend servers say of themselves in the heads of their
 * answers: that they leave, or that they want no requests for a time.
 */
typedef struct {
	metrics_t *metrics;
	metric_id_t leaving, pauses, invalid;
} server_words_t;

void server_words_init(server_words_t *w, metrics_t *m);

/**
 * server_words_read() - Take over the words in a head.
 * @w: counts them
 * @server: the server that answered
 * @status: of the answer; may be an interim one
 * @headers: of the answer, without trailers
 */
void server_words_read(server_words_t *w, backend_t *server, int status,
    const struct evkeyvalq *headers);

#endif
