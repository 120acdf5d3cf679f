#include <sys/queue.h>

#include <signal.h>
#include <string.h>

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "store_world.h"
#include "suite.h"

/*
 * CONFIG: open connections to the store fell silent while new ones worked, and
 * a key that was withdrawn stayed in force until the call for orders timed out.
 */

#define PORT 25820
#define PORT_RELAY (PORT + 50)
#define BACKLOG 32
#define QUIET_MS 1500 /* the host waits for changes of each table */
/* An order is in force at the end of the time for which a machine whose
 * connections were harmed is excused. */
#define IN_FORCE_MS 3000

/* A connection of the host, passed on to the store. */
typedef struct {
	struct bufferevent *host, *store;
} relay_t;

static world_t world;
static store_host_t host;
static struct evconnlistener *listener;
static GPtrArray *relays;

static void
pass_on(struct bufferevent *from, void *arg)
{
	relay_t *r = arg;

	bufferevent_write_buffer(
	    from == r->host ? r->store : r->host, bufferevent_get_input(from));
}

static void
on_end(struct bufferevent *bev, short what, void *arg)
{
	relay_t *r = arg;
	struct bufferevent *other = bev == r->host ? r->store : r->host;

	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		shutdown(bufferevent_getfd(other), SHUT_RDWR);
}

static void
on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *from,
    int len, void *arg)
{
	struct sockaddr_in at = {
	    .sin_family = AF_INET,
	    .sin_port = htons(PORT + PORT_STORE),
	};
	relay_t *r = g_new0(relay_t, 1);

	(void)l;
	(void)from;
	(void)len;
	(void)arg;
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	r->host = bufferevent_socket_new(world.base, fd, BEV_OPT_CLOSE_ON_FREE);
	r->store =
	    bufferevent_socket_new(world.base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_socket_connect(
	    r->store, (struct sockaddr *)&at, sizeof(at));
	bufferevent_setcb(r->host, pass_on, NULL, on_end, r);
	bufferevent_setcb(r->store, pass_on, NULL, on_end, r);
	bufferevent_enable(r->host, EV_READ | EV_WRITE);
	bufferevent_enable(r->store, EV_READ | EV_WRITE);
	g_ptr_array_add(relays, r);
}

static void
relay_free(void *p)
{
	relay_t *r = p;

	bufferevent_free(r->host);
	bufferevent_free(r->store);
	g_free(r);
}

/* Connections that are open now carry nothing more, and stay open. */
static void
silence(void)
{
	guint i;

	for (i = 0; i < relays->len; i++) {
		relay_t *r = g_ptr_array_index(relays, i);

		bufferevent_disable(r->host, EV_READ);
		bufferevent_disable(r->store, EV_READ);
	}
}

static void
begin(void)
{
	struct sockaddr_in at = {
	    .sin_family = AF_INET,
	    .sin_port = htons(PORT_RELAY),
	};

	signal(SIGPIPE, SIG_IGN);
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	relays = g_ptr_array_new_with_free_func(relay_free);
	store_world_begin(&world, PORT);
	listener = evconnlistener_new_bind(world.base, on_accept, NULL,
	    LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, BACKLOG,
	    (struct sockaddr *)&at, sizeof(at));
	ck_assert(listener != NULL);
	store_host_begin(&host, &world);
	g_free(host.sync.store.address);
	host.sync.store.address = g_strdup_printf("127.0.0.1:%d", PORT_RELAY);
}

static void
end(void)
{
	store_host_end(&host);
	evconnlistener_free(listener);
	g_ptr_array_free(relays, TRUE);
	store_world_end(&world);
}

/* Time until the host knows an order that the store has now, or -1. */
static msec_t
time_to_know(uint64_t ver, msec_t until_ms)
{
	msec_t began = clock_now();

	while (host.view.orders_ver < ver) {
		if (clock_now() - began > until_ms)
			return -1;
		store_world_run(&world, 20);
	}
	return clock_now() - began;
}

static const struct {
	const char *name;
	gboolean reads;	 /* the host reads the shared tables for its region */
	msec_t heard_ms; /* when a peer with newer orders is heard */
} cases[] = {
    {"a host that reads for its region", TRUE, 0},
    {"a host that hears of newer orders", FALSE, 1000},
};

static void
orders_are_known_when_connections_are_silent(void)
{
	uint64_t ver;
	size_t i;
	msec_t ms;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		begin();
		store_world_run(&world, QUIET_MS);
		soak_store_put(&world.store, "op", "evacuate/n2", "{}");
		ver = world.store.ver;
		ck_assert_int_ge(time_to_know(ver, 1000), 0);
		store_world_run(&world, QUIET_MS);
		silence();
		soak_store_put(&world.store, "op", "evacuate/n3", "{}");
		ver = world.store.ver;
		if (!cases[i].reads) {
			/* Another host reads the shared tables. */
			event_del(host.sync.tables[SYNCED_SERVERS].timer);
			event_del(host.sync.tables[SYNCED_FLEET].timer);
			store_world_run(&world, cases[i].heard_ms);
			store_sync_on_newer_orders(&host.sync, ver);
		}
		ms = time_to_know(ver, 2 * IN_FORCE_MS);
		ck_assert_msg(ms >= 0 && ms + cases[i].heard_ms <= IN_FORCE_MS,
		    "%s: known after %lld ms", cases[i].name, (long long)ms);
		end();
	}
}

int
main(void)
{
	static const suite_case_t suite[] = {
	    {"orders are known when connections are silent",
		orders_are_known_when_connections_are_silent},
	};

	return suite_run("silent store", suite, G_N_ELEMENTS(suite));
}
