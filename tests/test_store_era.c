#include <signal.h>
#include <string.h>

#include "platform/wire_entries.h"
#include "protocol/fleet_rows.h"
#include "store_world.h"
#include "suite.h"

/*
 * The store returns from a copy: what the host knows must not go back, and what
 * the hosts wrote must be in the store again.
 */

#define PORT 25900
#define MANIFEST(version) \
	"{\"version\":" version ",\"routes\":[],\"services\":[{\"name\":" \
	"\"clips\",\"health_path\":\"/h\"}]}"
#define SERVER(state, born) \
	"{\"service\":\"clips\",\"address\":\"10.0.0.1:80\",\"zone\":\"n1\"," \
	"\"version\":\"v1\",\"slots\":3,\"state\":\"" state \
	"\",\"warmup_left_ms\":0,\"sequence\":4,\"born\":" born "}"
#define SHIFT(state) \
	"{\"to\":\"v2\",\"began\":5,\"duration_ms\":9000,\"state\":" state "}"
#define KEY_HOST FLEET_KEY_HOST STORE_WORLD_ID
#define KEY_SHIFT FLEET_KEY_SHIFT "clips"

static world_t world;
static store_host_t host;

static gboolean
is_in_force(uint64_t version)
{
	const manifest_t *m = host.view.admission.manifest;

	return m != NULL && m->version == version;
}

static const backend_t *
server(const char *id)
{
	return g_hash_table_lookup(host.view.registry.servers, id);
}

static void
put(const char *table, const char *key, const char *value)
{
	soak_store_put(&world.store, table, key, value);
}

/* Runs until the host has read what the store holds. */
static void
begin(void)
{
	msec_t until = clock_now() + STORE_WORLD_BOUND_MS;

	signal(SIGPIPE, SIG_IGN);
	store_world_begin(&world, PORT);
	put(WIRE_TABLE_ORDERS, "config", MANIFEST("7"));
	put(WIRE_TABLE_SERVERS, "s-1", SERVER("ready", "1000"));
	put(WIRE_TABLE_SERVERS, "s-2", SERVER("ready", "1000"));
	put(FLEET_TABLE, KEY_SHIFT, SHIFT("0"));
	store_host_begin(&host, &world);
	while (!(view_is_ready(&host.view) && server("s-2") != NULL &&
		   host.sync.has_secret) &&
	    clock_now() < until)
		store_world_run(&world, 20);
	ck_assert(view_is_ready(&host.view));
	/* The row that this host wrote itself has been read, too. */
	store_world_run(&world, 500);
}

static void
end(void)
{
	store_host_end(&host);
	store_world_end(&world);
}

/* Returns the store from its copy and runs until the host has dealt with it. */
static void
restore(void)
{
	soak_store_restore(&world.store);
	store_world_run(&world, 2500);
	ck_assert_uint_eq(host.sync.counts.era_changes, 1);
	ck_assert_uint_eq(host.sync.era.era, 1);
	ck_assert(store_sync_is_reachable(&host.sync));
}

static void
known_states_do_not_go_back(void)
{
	uint64_t ver;

	begin();
	soak_store_copy(&world.store);
	put(WIRE_TABLE_ORDERS, "config", MANIFEST("8"));
	put(WIRE_TABLE_ORDERS, "evacuate/n1", "{}");
	put(WIRE_TABLE_SERVERS, "s-1", SERVER("draining", "1000"));
	put(WIRE_TABLE_SERVERS, "s-2", NULL);
	store_world_run(&world, 1500);
	ck_assert(is_in_force(8) && server("s-1")->draining);
	ck_assert(server("s-2") == NULL);
	ver = host.view.orders_ver;
	restore();
	ck_assert(is_in_force(8));
	ck_assert(server("s-1")->draining);
	ck_assert(server("s-2") == NULL);
	ck_assert_uint_ge(host.view.orders_ver, ver);
	/* The operator and the servers write their rows anew. */
	put(WIRE_TABLE_ORDERS, "config", MANIFEST("9"));
	put(WIRE_TABLE_SERVERS, "s-1", SERVER("ready", "1000"));
	put(WIRE_TABLE_SERVERS, "s-2", SERVER("ready", "1000"));
	store_world_run(&world, 1500);
	ck_assert(is_in_force(9));
	ck_assert(!server("s-1")->draining);
	ck_assert(server("s-2") != NULL);
	end();
}

static void
rows_of_hosts_are_written_again(void)
{
	const char *row;
	peer_secret_t secret;

	begin();
	put(FLEET_TABLE, KEY_SHIFT, SHIFT("2"));
	store_world_run(&world, 6500); /* longer than a call waits */
	secret = host.sync.secret;
	/* The copy is older than the host's start. */
	g_assert(world.store.copy == NULL);
	soak_store_copy(&world.store);
	g_hash_table_remove(world.store.copy, FLEET_TABLE);
	restore();
	store_world_run(&world, 1500);
	row = soak_store_get(&world.store, FLEET_TABLE, KEY_HOST);
	ck_assert(row != NULL);
	row = soak_store_get(&world.store, FLEET_TABLE, KEY_SHIFT);
	ck_assert_msg(row != NULL && strstr(row, "\"state\":2") != NULL,
	    "the shift's row is %s", row);
	row = soak_store_get(&world.store, FLEET_TABLE, FLEET_KEY_SECRET);
	ck_assert(row != NULL);
	ck_assert_mem_eq(secret.bytes, host.sync.secret.bytes, sizeof(secret));
	ck_assert_uint_ge(host.sync.counts.rows_rewritten, 2);
	end();
}

/* A roll-back that the copy does not have is not undone. */
static void
older_shift_is_replaced(void)
{
	const char *row;

	begin();
	soak_store_copy(&world.store);
	put(FLEET_TABLE, KEY_SHIFT, SHIFT("2"));
	store_world_run(&world, 6500);
	restore();
	store_world_run(&world, 1500);
	row = soak_store_get(&world.store, FLEET_TABLE, KEY_SHIFT);
	ck_assert_msg(row != NULL && strstr(row, "\"state\":2") != NULL,
	    "the shift's row is %s", row);
	end();
}

/* Without the header nothing is read twice. */
static void
store_without_eras(void)
{
	begin();
	store_world_run(&world, 1000);
	ck_assert_uint_eq(host.sync.counts.era_changes, 0);
	ck_assert_uint_eq(host.view.orders_ver >> STORE_ERA_SHIFT, 0);
	end();
}

static const suite_case_t cases[] = {
    {"known states do not go back", known_states_do_not_go_back},
    {"rows of hosts are written again", rows_of_hosts_are_written_again},
    {"an older shift is replaced", older_shift_is_replaced},
    {"a store without eras", store_without_eras},
};

int
main(void)
{
	return suite_run("store_era", cases, G_N_ELEMENTS(cases));
}
