#include <sys/epoll.h>

#include <errno.h>
#include <unistd.h>

#include "base/error.h"
#include "transport/hangup_watch.h"

/* Hang-ups that are reported in one turn of the loop. */
#define REPORTS_MAX 64

static void
on_ready(evutil_socket_t fd, short what, void *arg)
{
	hangup_watch_t *w = arg;
	struct epoll_event e;
	int i;

	(void)fd;
	(void)what;
	/* One at a time: a callback may remove others that hung up too. */
	for (i = 0; i < REPORTS_MAX; i++) {
		if (epoll_wait(w->epoll, &e, 1, 0) != 1)
			return;
		w->gone(e.data.ptr);
	}
}

gboolean
hangup_watch_init(hangup_watch_t *w, struct event_base *base,
    void (*gone)(void *arg), GError **err)
{
	w->gone = gone;
	w->ready = NULL;
	w->epoll = epoll_create1(EPOLL_CLOEXEC);
	if (w->epoll >= 0)
		w->ready = event_new(
		    base, w->epoll, EV_READ | EV_PERSIST, on_ready, w);
	if (w->ready != NULL && event_add(w->ready, NULL) == 0)
		return TRUE;
	error_set(
	    err, ERROR_LIMIT, "hangup-watch", "-", "%s", g_strerror(errno));
	return FALSE;
}

void
hangup_watch_finish(hangup_watch_t *w)
{
	if (w->ready != NULL)
		event_free(w->ready);
	if (w->epoll >= 0)
		close(w->epoll);
	w->ready = NULL;
	w->epoll = -1;
}

gboolean
hangup_watch_add(hangup_watch_t *w, int fd, void *arg)
{
	/* Errors and hang-ups in both directions are always reported. */
	struct epoll_event e = {
	    .events = EPOLLRDHUP | EPOLLET,
	    .data.ptr = arg,
	};

	return epoll_ctl(w->epoll, EPOLL_CTL_ADD, fd, &e) == 0;
}

void
hangup_watch_remove(hangup_watch_t *w, int fd)
{
	/* Fails only if the socket is closed, which removed it. */
	(void)epoll_ctl(w->epoll, EPOLL_CTL_DEL, fd, NULL);
}
