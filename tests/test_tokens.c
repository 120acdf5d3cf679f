#include <string.h>

#include <event2/event.h>

#include "gateway/tokens.h"
#include "suite.h"

/* Longer than a token may take. */
#define PAUSE_MS 1200
#define PORT_FIRST 21700
#define PORT_LAST 21799

typedef struct {
	gateway_settings_t settings;
	view_t view;
	struct event_base *base;
	datagram_t socket;
	peer_secret_t secret;
	tokens_t tokens;
	gboolean granted;
} fixture_t;

static void
on_datagram(void *arg, const uint8_t *data, size_t len)
{
	(void)arg;
	(void)data;
	(void)len;
}

static void
bind_socket(fixture_t *f)
{
	gboolean ok = FALSE;
	char address[32];
	guint port;

	for (port = PORT_FIRST; !ok && port <= PORT_LAST; port++) {
		g_snprintf(address, sizeof(address), "127.0.0.1:%u", port);
		ok = datagram_init(
		    &f->socket, f->base, address, on_datagram, f, NULL);
	}
	ck_assert(ok);
}

/* This host and another, which lends. */
static void
fixture_init(fixture_t *f)
{
	const fleet_row_t row = {.name = "host-1",
	    .callers = "127.0.0.1:9",
	    .peer = "127.0.0.1:9",
	    .region = "north",
	    .domain = "n1",
	    .row_ver = 1};
	fleet_host_t *h;

	memset(f, 0, sizeof(*f));
	f->settings.id = "host-0";
	f->settings.region = "north";
	f->settings.domain = "n1";
	f->settings.regions = g_hash_table_new(g_str_hash, g_str_equal);
	view_init(&f->view, &f->settings);
	fleet_put(&f->view.fleet, &row, clock_now());
	h = fleet_find(&f->view.fleet, registry_hash("host-1"));
	h->heard_at = clock_now();
	h->ready = TRUE;
	f->base = event_base_new();
	bind_socket(f);
	tokens_init(&f->tokens, &f->view, f->base, &f->socket, &f->secret);
}

static void
fixture_finish(fixture_t *f)
{
	tokens_finish(&f->tokens);
	datagram_finish(&f->socket);
	event_base_free(f->base);
	view_finish(&f->view);
	g_hash_table_destroy(f->settings.regions);
}

static void
on_done(void *arg, const server_limit_answer_t *answer)
{
	fixture_t *f = arg;

	f->granted = answer->granted;
}

/* A token that was granted before a pause of this host is not used after it. */
static void
test_token_granted_before_a_pause_is_not_used(void)
{
	static const struct {
		msec_t pause_ms;
		gboolean granted;
	} rows[] = {{0, TRUE}, {PAUSE_MS, FALSE}};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		const server_limit_t limit = {77, 10, 1, NULL};
		token_msg_t answer = {.kind = PEER_TOKEN_ANSWER,
		    .id = 1,
		    .name = limit.server,
		    .granted = 1,
		    .is_server = 1,
		    .rate = 10000};
		msec_t asked_at = clock_now();
		fixture_t f;

		fixture_init(&f);
		answer.host = f.view.fleet.self;
		ck_assert_ptr_nonnull(tokens_take_of_server(
		    &f.tokens, &limit, "north", on_done, &f));
		g_usleep((gulong)rows[i].pause_ms * 1000);
		tokens_receive(&f.tokens, &answer);
		/* The machine may have paused this test itself. */
		if (!rows[i].granted || clock_now() - asked_at < PAUSE_MS / 2)
			ck_assert_int_eq(f.granted, rows[i].granted);
		fixture_finish(&f);
	}
}

static const suite_case_t cases[] = {
    {"a token granted before a pause is not used",
	test_token_granted_before_a_pause_is_not_used},
};

int
main(void)
{
	return suite_run("tokens", cases, G_N_ELEMENTS(cases));
}
