#ifndef FUZZ_NET_H
#define FUZZ_NET_H

#include <stdlib.h>
#include <string.h>

#include <glib.h>

/*
 * The fake network and the run of an input, for a world that has defined
 * message_t (with from, to and answer; to is -1 for the store), world_t (with
 * messages, nmessages and violation), rules_t, MESSAGES and OPS.
 */

static void world_init(world_t *w, rules_t rules);
static void world_finish(world_t *w);
static void world_step(world_t *w, uint8_t op, uint8_t arg);
static void deliver(world_t *w, message_t m);

static void
verify(world_t *w, gboolean holds, const char *what)
{
	if (!holds && w->violation == NULL)
		w->violation = what;
}

static void
post(world_t *w, const message_t *m)
{
	if (w->nmessages < MESSAGES)
		w->messages[w->nmessages++] = *m;
}

/* Keeps a message for a paused process, in at most half of the queue. */
static void
post_held(world_t *w, const message_t *m)
{
	if (w->nmessages < MESSAGES / 2)
		post(w, m);
}

static void
message_take(world_t *w, int i)
{
	w->nmessages--;
	w->messages[i] = w->messages[w->nmessages];
}

/* Delivers a message, possibly again later. A request to the store goes over
 * one TCP connection and is never duplicated. */
static void
deliver_at(world_t *w, int i, gboolean twice)
{
	message_t m = w->messages[i];

	if (!twice || (m.to < 0 && !m.answer))
		message_take(w, i);
	deliver(w, m);
}

/* Delivers all messages, their answers, and the messages that follow them. */
static void
deliver_all(world_t *w)
{
	int i, n, hops;

	for (hops = 0; hops < 4; hops++) {
		n = w->nmessages;
		for (i = 0; i < n; i++)
			deliver(w, w->messages[i]);
		w->nmessages -= n;
		memmove(w->messages, w->messages + n,
		    (size_t)w->nmessages * sizeof(message_t));
	}
}

/* Runs a complete input; returns the violation, or NULL. */
static const char *
world_run(const uint8_t *data, size_t size, rules_t rules)
{
	world_t *w = g_new(world_t, 1);
	const char *violation;
	size_t i;

	world_init(w, rules);
	for (i = 0; i + 1 < size && i < 2 * OPS && w->violation == NULL; i += 2)
		world_step(w, data[i], data[i + 1]);
	violation = w->violation;
	world_finish(w);
	g_free(w);
	return violation;
}

#endif
