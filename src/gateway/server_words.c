#include "base/log.h"
#include "gateway/server_words.h"
#include "platform/wire_http.h"

void
server_words_init(server_words_t *w, metrics_t *m)
{
	w->metrics = m;
	w->leaving = metrics_add(m, METRIC_COUNTER, "servers_leaving_total",
	    "backend servers that said in an answer that they leave");
	w->pauses = metrics_add(m, METRIC_COUNTER, "server_pauses_total",
	    "answers in which a backend server asked for a pause");
	w->invalid =
	    metrics_add(m, METRIC_COUNTER, "server_words_invalid_total",
		"answers whose word on leaving or a pause is not valid");
}

static void
read_leaving(server_words_t *w, backend_t *server, wire_word_t leaving)
{
	switch (leaving) {
	case WIRE_WORD_SAID:
		if (!server_word_leave(&server->word))
			break;
		metrics_count(w->metrics, w->leaving, 1);
		log_event(LOG_INFO, "server.leaving", "server", server->id,
		    "draining", server->draining ? "1" : "0", NULL);
		break;
	case WIRE_WORD_INVALID:
		metrics_count(w->metrics, w->invalid, 1);
		log_event(LOG_WARN, "server.word_refused", "server", server->id,
		    "word", "leaving", NULL);
		break;
	case WIRE_WORD_NONE:
		break;
	}
}

static void
read_pause(server_words_t *w, backend_t *server, const wire_server_word_t *word)
{
	switch (word->pause) {
	case WIRE_WORD_SAID:
		metrics_count(w->metrics, w->pauses, 1);
		if (backend_pause(server, word->pause_ms, clock_now()))
			log_event(LOG_INFO, "server.paused", "server",
			    server->id, "pause_ms", log_num(word->pause_ms),
			    "in_flight", log_num(server->own), NULL);
		break;
	case WIRE_WORD_INVALID:
		metrics_count(w->metrics, w->invalid, 1);
		log_event(LOG_WARN, "server.word_refused", "server", server->id,
		    "word", "pause", NULL);
		break;
	case WIRE_WORD_NONE:
		break;
	}
}

void
server_words_read(server_words_t *w, backend_t *server, int status,
    const struct evkeyvalq *headers)
{
	wire_server_word_t word;

	wire_server_word_read(status, headers, &word);
	read_leaving(w, server, word.leaving);
	read_pause(w, server, &word);
}
