#ifndef GATEWAY_BEACONS_H
#define GATEWAY_BEACONS_H

#include "gateway/store_sync.h"
#include "gateway/suspects.h"
#include "gateway/tokens.h"
#include "gateway/view.h"
#include "protocol/beacon.h"
#include "transport/datagram.h"

/*
 * Exchanges datagrams with the other hosts. Sends this host's status in beacons
 * (demand of workspaces, requests at servers, shifts) and receives theirs.
 * Hosts of other regions get beacons less often. Owns the socket, which also
 * carries token requests, changes of the store's tables and reports of
 * suspects.
 */
typedef struct {
	view_t *view;
	store_sync_t *store_sync;
	suspects_t *suspects;
	datagram_t socket;
	tokens_t tokens;
	struct event *timer;
	uint32_t seq;
	guint ticks;	   /* timer events so far */
	guint state;	   /* readiness flags in the last beacon */
	uint64_t rejected; /* datagrams that did not decode */
} beacons_t;

gboolean beacons_init(beacons_t *b, view_t *view, store_sync_t *store_sync,
    suspects_t *suspects, struct event_base *base, GError **err);
void beacons_finish(beacons_t *b);

/** beacons_send_all() - Send a beacon to every host now. */
void beacons_send_all(beacons_t *b);

#endif
