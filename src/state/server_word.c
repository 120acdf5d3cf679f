#include "state/server_word.h"

gboolean
server_word_leave(server_word_t *w)
{
	gboolean is_new = !w->leaving;

	w->leaving = TRUE;
	return is_new;
}

gboolean
server_word_pause(server_word_t *w, msec_t ms, msec_t now)
{
	gboolean is_new = server_word_pause_left(w, now) == 0;

	w->pause_until =
	    MAX(w->pause_until, now + MIN(ms, SERVER_PAUSE_MAX_MS));
	w->returning = TRUE;
	return is_new;
}

void
server_word_answered(server_word_t *w, msec_t now)
{
	/* Answers to requests that were sent before the pause don't end it. */
	if (server_word_pause_left(w, now) == 0)
		w->returning = FALSE;
}

msec_t
server_word_pause_left(const server_word_t *w, msec_t now)
{
	return MAX(w->pause_until - now, 0);
}

gboolean
server_word_allows(const server_word_t *w, guint in_flight, msec_t now)
{
	return !w->leaving && server_word_pause_left(w, now) == 0 &&
	    (!w->returning || in_flight == 0);
}
