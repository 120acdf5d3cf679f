#ifndef STORE_WORLD_H
#define STORE_WORLD_H

#include <string.h>

#include <event2/event.h>

#include "gateway/store_sync.h"
#include "soak.h"
#include "suite.h"

/*
 * A host that follows the soak's store over loopback, without its other ports.
 * Several starts of the host may follow each other on one store. A program
 * includes this once and is linked with soak_store.c.
 */

#define STORE_WORLD_ID "host-0"
#define STORE_WORLD_BOUND_MS 5000 /* of a wait for what must happen */

/* One start of the host. */
typedef struct {
	gateway_settings_t settings;
	view_t view;
	http_client_t *http;
	store_sync_t sync;
	char address[32];
} store_host_t;

void
soak_broken(world_t *w, const char *fmt, ...)
{
	(void)w;
	ck_abort_msg("%s", fmt);
}

static inline void
store_world_begin(world_t *w, int port)
{
	memset(w, 0, sizeof(*w));
	w->base = event_base_new();
	w->port = port;
	soak_store_init(&w->store, w);
}

static inline void
store_world_end(world_t *w)
{
	soak_store_finish(&w->store);
	event_base_free(w->base);
}

static inline void
store_world_run(world_t *w, msec_t ms)
{
	struct timeval tv = {ms / 1000, (ms % 1000) * 1000};

	event_base_loopexit(w->base, &tv);
	event_base_dispatch(w->base);
}

static inline void
store_host_begin(store_host_t *h, world_t *w)
{
	gateway_settings_t *s = &h->settings;

	memset(h, 0, sizeof(*h));
	g_snprintf(h->address, sizeof(h->address), "127.0.0.1:%d",
	    w->port + PORT_STORE);
	s->id = (char *)STORE_WORLD_ID;
	s->region = (char *)"north";
	s->domain = (char *)"n1";
	s->callers = s->peers = (char *)"127.0.0.1:9";
	s->store = h->address;
	s->link_mbps = 100;
	s->cpu_share = 1;
	s->regions = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(s->regions, (char *)"n1", (char *)"north");
	view_init(&h->view, s);
	h->http = http_client_new(w->base, 4);
	store_sync_init(&h->sync, &h->view, w->base, h->http);
}

static inline void
store_host_end(store_host_t *h)
{
	store_sync_finish(&h->sync);
	http_client_free(h->http);
	view_finish(&h->view);
	g_hash_table_destroy(h->settings.regions);
}

#endif
