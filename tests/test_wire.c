#include <sys/queue.h>

#include <string.h>

#include "platform/wire_entries.h"
#include "platform/wire_http.h"
#include "platform/wire_rows.h"
#include "suite.h"
#include "table.h"

static void
describe_route(GString *out, const manifest_t *m, const manifest_route_t *r)
{
	static const char *const kinds[] = {"idempotent", "once", "upload"};
	char *regions = g_strjoinv(",", r->allowed_regions);
	guint i;

	g_string_append_printf(out,
	    "route %s %s %s %s timeout=%d objective=%d priority=%d tries=%u "
	    "open=%d by_object=%d homes=%s targets=",
	    r->name, r->host, r->prefix, kinds[r->kind], (int)r->timeout_ms,
	    (int)r->objective_ms, (int)r->priority, r->max_tries, r->open,
	    r->by_object, regions);
	for (i = 0; i < r->targets->len; i++) {
		const manifest_target_t *t =
		    &g_array_index(r->targets, manifest_target_t, i);
		const manifest_service_t *s =
		    g_ptr_array_index(m->services, t->service);

		g_string_append_printf(
		    out, "%s%s:%g", i > 0 ? "," : "", s->name, t->weight);
	}
	g_string_append_c(out, '\n');
	g_free(regions);
}

static void
describe_manifest(GString *out, const manifest_t *m)
{
	guint i;

	g_string_append_printf(out,
	    "manifest %d keyed=%d max_body=%" G_GUINT64_FORMAT "\n",
	    (int)m->version, m->keyed, m->max_body_bytes);
	for (i = 0; i < m->routes->len; i++)
		describe_route(out, m, g_ptr_array_index(m->routes, i));
	for (i = 0; i < m->services->len; i++) {
		const manifest_service_t *s = g_ptr_array_index(m->services, i);

		g_string_append_printf(out,
		    "service %s %s connections=%u warmup=%d rate=%g\n", s->name,
		    s->health_path, s->max_connections, (int)s->warmup_ms,
		    s->warmup_rate);
	}
	for (i = 0; i < m->workspaces->len; i++) {
		const manifest_workspace_t *w =
		    g_ptr_array_index(m->workspaces, i);

		g_string_append_printf(out,
		    "workspace %s priority=%d rate=%g burst=%g keys=%u\n",
		    w->name, (int)w->priority, w->rate, w->burst,
		    g_hash_table_size(m->by_key));
	}
}

static void
describe_order(GString *out, const order_t *o)
{
	const char *removed = o->removed ? " removed" : "";

	switch (o->kind) {
	case ORDER_MANIFEST:
		if (o->removed)
			g_string_append(out, "manifest removed\n");
		else
			describe_manifest(out, o->u.manifest);
		break;
	case ORDER_SHIFT:
		g_string_append_printf(out, "shift %s%s", o->name, removed);
		if (!o->removed)
			g_string_append_printf(out, " to=%s duration=%d",
			    o->u.shift.to, (int)o->u.shift.duration_ms);
		g_string_append_c(out, '\n');
		break;
	case ORDER_DRAIN:
		g_string_append_printf(out, "drain %s%s\n", o->name, removed);
		break;
	case ORDER_FOREIGN:
		g_string_append(out, "foreign\n");
		break;
	}
}

static char *
run_order(const char *input)
{
	char **lines = g_strsplit(input, "\n", 3);
	GString *out = g_string_new(NULL);
	table_row_t row = {.key = lines[0], .ver = 3};
	GError *err = NULL;
	order_t order;

	if (strcmp(lines[1], "-") != 0) {
		row.value = lines[1];
		row.len = strlen(lines[1]);
	}
	if (wire_order_decode(&row, &order, &err)) {
		describe_order(out, &order);
		order_finish(&order);
	} else {
		ck_assert(err != NULL);
		g_error_free(err);
		g_string_append(out, "refused\n");
	}
	g_strfreev(lines);
	return g_string_free(out, FALSE);
}

static char *
run_server(const char *input)
{
	char *value = g_strchomp(g_strdup(input)), *out;
	table_row_t row = {.key = (char *)"i-1", .value = value, .ver = 3};
	wire_server_t *memory;
	registry_row_t e;
	GError *err = NULL;

	row.len = strlen(value);
	if (wire_server_decode(&row, &e, &memory, &err)) {
		out =
		    g_strdup_printf("%s %s %s %s slots=%u draining=%d cold=%d "
				    "born=%" G_GINT64_FORMAT "\n",
			e.service, e.address, e.domain, e.version, e.slots,
			e.draining, (int)e.cold_ms, e.born);
		wire_server_free(memory);
	} else {
		ck_assert(err != NULL);
		g_error_free(err);
		out = g_strdup("refused\n");
	}
	g_free(value);
	return out;
}

static void
test_orders(void)
{
	table_each("wire_orders.txt", run_order);
}

static void
test_servers(void)
{
	table_each("wire_servers.txt", run_server);
}

static void
test_page(void)
{
	static const char good[] =
	    "{\"rows\":[{\"table\":\"t\",\"part\":\"\",\"key\":\"k\","
	    "\"value\":\"bm9kZS0x\",\"ver\":412},{\"key\":\"gone\","
	    "\"deleted\":true,\"ver\":413}],\"more_pages\":true,\"ver\":530,"
	    "\"now_ms\":51230}";
	static const char *const bad[] = {
	    "", "[]", "{}", "{\"rows\":[],\"ver\":\"1\"}"};
	const table_row_t *row;
	table_page_t page;
	size_t i;

	ck_assert(wire_rows_decode(good, strlen(good), &page, NULL));
	ck_assert_uint_eq(page.ver, 530);
	ck_assert_int_eq(page.store_ms, 51230);
	ck_assert(page.more);
	ck_assert_uint_eq(page.rows->len, 2);
	row = g_ptr_array_index(page.rows, 0);
	ck_assert_str_eq(row->value, "node-1");
	ck_assert_uint_eq(row->len, 6);
	row = g_ptr_array_index(page.rows, 1);
	ck_assert_ptr_null(row->value);
	table_page_finish(&page);
	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		GError *err = NULL;

		ck_assert_msg(
		    !wire_rows_decode(bad[i], strlen(bad[i]), &page, &err),
		    "%s", bad[i]);
		g_error_free(err);
	}
}

/* One unreadable row does not hide the others. */
static void
test_odd_rows(void)
{
	static const struct {
		const char *text;
		guint rows; /* the first has an empty value */
	} odd[] = {
	    {"{\"rows\":[{}],\"ver\":1}", 0},
	    {"{\"rows\":[{\"key\":\"k\",\"ver\":1}],\"ver\":1}", 1},
	    {"{\"rows\":[{\"key\":5,\"ver\":1,\"value\":\"\"}],\"ver\":1}", 0},
	};
	const table_row_t *row;
	table_page_t page;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(odd); i++) {
		ck_assert_msg(wire_rows_decode(odd[i].text, strlen(odd[i].text),
				  &page, NULL),
		    "%s", odd[i].text);
		ck_assert_uint_eq(page.rows->len, odd[i].rows);
		if (odd[i].rows > 0) {
			row = g_ptr_array_index(page.rows, 0);
			ck_assert_str_eq(row->value, "");
			ck_assert_uint_eq(row->len, 0);
		}
		table_page_finish(&page);
	}
}

static void
test_paths(void)
{
	char *text;

	text = wire_rows_read_path("servers", "a b");
	ck_assert_str_eq(text, "/rows-get?table=servers&part=&from=a%20b");
	g_free(text);
	text = wire_rows_feed_path("op", 7, 500);
	ck_assert_str_eq(text, "/rows-feed?table=op&after=7&wait_ms=500");
	g_free(text);
}

static void
test_writes(void)
{
	table_write_t w = {.n = 0};
	char *text;

	table_write_put_if(&w, "my", "owner", "node-1", 0);
	table_write_put(&w, "my", "old", NULL);
	text = wire_rows_write_body(&w);
	ck_assert_str_eq(text,
	    "{\"expected_revision\":[{\"table\":\"my\",\"part\":\"\","
	    "\"key\":\"owner\",\"ver\":0}],\"writes\":[{\"table\":\"my\","
	    "\"part\":\"\",\"key\":\"owner\",\"value\":\"bm9kZS0x\"}],"
	    "\"remove\":[{\"table\":\"my\",\"part\":\"\",\"key\":\"old\"}]}");
	g_free(text);
	text = wire_status_encode(WIRE_SHIFT_ROLLED_BACK, "v2");
	ck_assert_str_eq(text, "{\"state\":\"rolled_back\",\"to\":\"v2\"}");
	g_free(text);
}

static void
test_status(void)
{
	static const struct {
		int status;
		wire_store_status_t expected;
	} rows[] = {
	    {200, WIRE_STORE_DONE},
	    {412, WIRE_STORE_CONFLICT},
	    {410, WIRE_STORE_HISTORY_LOST},
	    {429, WIRE_STORE_BUSY},
	    {503, WIRE_STORE_BUSY},
	    {500, WIRE_STORE_UNKNOWN},
	    {504, WIRE_STORE_UNKNOWN},
	    {400, WIRE_STORE_REFUSED},
	    {403, WIRE_STORE_REFUSED},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		ck_assert_int_eq(
		    wire_store_status(rows[i].status), rows[i].expected);
}

static int
count_of(const struct evkeyvalq *headers, const char *name)
{
	const struct evkeyval *h;
	int n = 0;

	TAILQ_FOREACH(h, headers, next)
	n += g_ascii_strcasecmp(h->key, name) == 0;
	return n;
}

/* Adds headers, given as pairs of name and value. */
static void
add_all(struct evkeyvalq *h, const char *const *pairs)
{
	for (; pairs[0] != NULL; pairs += 2)
		evhttp_add_header(h, pairs[0], pairs[1]);
}

/* Headers that a caller may not set are replaced or dropped. */
static void
test_forward(void)
{
	static const char *const caller_headers[] = {"Host", "a.example",
	    "X-Request-Id", "42", "x-credential", "secret", "X-Tenant-Id",
	    "another", "x-tenant-id", "again", "X-Expected-Instance", "i-9",
	    "X-Deadline-Ms", "4000.5", "X-Affinity-Key", "17", "Connection",
	    "close", "X-Other", "kept", NULL};
	static const struct {
		const char *name, *value; /* NULL: not passed on */
	} forwarded[] = {
	    {"X-Credential", NULL},
	    {"X-Tenant-Id", "school"},
	    {"X-Expected-Instance", "i-1"},
	    {"X-Deadline-Ms", "1500"},
	    {"X-Request-Id", "42"},
	    {"X-Affinity-Key", "17"},
	    {"Host", "a.example"},
	    {"X-Other", "kept"},
	    {"Connection", NULL},
	};
	struct evkeyvalq from = TAILQ_HEAD_INITIALIZER(from);
	struct evkeyvalq to = TAILQ_HEAD_INITIALIZER(to);
	const wire_forward_t forward = {1500, "i-1", "school"};
	size_t i;

	add_all(&from, caller_headers);
	wire_request_forward(&to, &from, &forward);
	for (i = 0; i < G_N_ELEMENTS(forwarded); i++) {
		ck_assert_msg(
		    g_strcmp0(evhttp_find_header(&to, forwarded[i].name),
			forwarded[i].value) == 0,
		    "%s", forwarded[i].name);
		ck_assert_int_eq(count_of(&to, forwarded[i].name),
		    forwarded[i].value != NULL ? 1 : 0);
	}
	evhttp_clear_headers(&from);
	evhttp_clear_headers(&to);
}

static void
test_request(void)
{
	struct evkeyvalq h = TAILQ_HEAD_INITIALIZER(h);
	wire_request_t r;

	evhttp_add_header(&h, "X-Request-Id", "42");
	evhttp_add_header(&h, "x-credential", "secret");
	evhttp_add_header(&h, "X-Deadline-Ms", "4000.5");
	evhttp_add_header(&h, "X-Affinity-Key", "17");
	wire_request_read(&h, &r);
	ck_assert_str_eq(r.id, "42");
	ck_assert_str_eq(r.key, "secret");
	ck_assert_str_eq(r.object, "17");
	ck_assert_int_eq(r.budget_ms, 4000);
	ck_assert(!r.repeated);
	evhttp_add_header(&h, "X-Credential", "second");
	wire_request_read(&h, &r);
	ck_assert(r.repeated);
	evhttp_clear_headers(&h);
}

static void
test_answers(void)
{
	static const struct {
		int status;
		const char *name, *value;
		gboolean not_run, other_server, is_signed, encoded, has_load;
	} rows[] = {
	    {200, "X-Response-Signature", "3e", 0, 0, 1, 0, 0},
	    {503, "X-Not-Executed", "1", 1, 0, 0, 0, 0},
	    {421, "X-Instance-Id", "i-2", 1, 1, 0, 0, 0},
	    {503, "X-Other", "1", 0, 0, 0, 0, 0},
	    {200, "Content-Encoding", "gzip", 0, 0, 0, 1, 0},
	    {200, "X-Server-Load", "3,1,8", 0, 0, 0, 0, 1},
	    {200, "X-Server-Load", "much", 0, 0, 0, 0, 0},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct evkeyvalq h = TAILQ_HEAD_INITIALIZER(h);
		wire_answer_t a;

		evhttp_add_header(&h, rows[i].name, rows[i].value);
		wire_answer_read(rows[i].status, &h, &a);
		ck_assert_int_eq(a.not_run, rows[i].not_run);
		ck_assert_int_eq(a.other_server, rows[i].other_server);
		ck_assert_int_eq(a.is_signed, rows[i].is_signed);
		ck_assert_int_eq(a.encoded, rows[i].encoded);
		ck_assert_int_eq(a.has_load, rows[i].has_load);
		evhttp_clear_headers(&h);
	}
}

/* Guards against a speed that is believed though it is none. */
static void
test_server_speeds(void)
{
	static const struct {
		const char *load;
		gboolean has_load;
		wire_speed_t speed;
		double factor;
	} rows[] = {
	    {"3,1,8", TRUE, WIRE_SPEED_NONE, 0},
	    {"3,1,8,100", TRUE, WIRE_SPEED_NAMED, 1},
	    {"3,1,8,250", TRUE, WIRE_SPEED_NAMED, 2.5},
	    {"3,1,8,10000", TRUE, WIRE_SPEED_NAMED, 100},
	    {"3,1,8,10001", TRUE, WIRE_SPEED_INVALID, 0},
	    {"3,1,8,99999999999999999999999", TRUE, WIRE_SPEED_INVALID, 0},
	    {"3,1,8,0", TRUE, WIRE_SPEED_INVALID, 0},
	    {"3,1,8,-100", TRUE, WIRE_SPEED_INVALID, 0},
	    {"3,1,8,+100", TRUE, WIRE_SPEED_INVALID, 0},
	    {"3,1,8,1.5", TRUE, WIRE_SPEED_INVALID, 0},
	    {"3,1,8,1e2", TRUE, WIRE_SPEED_INVALID, 0},
	    {"3,1,8,fast", TRUE, WIRE_SPEED_INVALID, 0},
	    {"3,1,8,", TRUE, WIRE_SPEED_INVALID, 0},
	    {"3,1,8, 100", TRUE, WIRE_SPEED_INVALID, 0},
	    {"3,1,8,100,1", TRUE, WIRE_SPEED_INVALID, 0},
	    {"3,1,8;100", TRUE, WIRE_SPEED_INVALID, 0},
	    {"3,1", FALSE, WIRE_SPEED_NONE, 0},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct evkeyvalq h = TAILQ_HEAD_INITIALIZER(h);
		wire_answer_t a;

		evhttp_add_header(&h, "X-Server-Load", rows[i].load);
		wire_answer_read(200, &h, &a);
		ck_assert_msg(
		    a.has_load == rows[i].has_load && a.speed == rows[i].speed,
		    "%s: read as %d", rows[i].load, (int)a.speed);
		if (a.speed == WIRE_SPEED_NAMED)
			ck_assert_double_eq(a.speed_factor, rows[i].factor);
		evhttp_clear_headers(&h);
	}
}

static void
test_server_limits(void)
{
	static const struct {
		const char *value, *second; /* NULL: not sent */
		wire_limit_t limit;
		double rate;
	} rows[] = {
	    {NULL, NULL, WIRE_LIMIT_NONE, 0},
	    {"6.3", NULL, WIRE_LIMIT_NAMED, 6.3},
	    {"12", NULL, WIRE_LIMIT_NAMED, 12},
	    {"0", NULL, WIRE_LIMIT_NAMED, 0},
	    {"1000000", NULL, WIRE_LIMIT_NAMED, 1e6},
	    {"1000001", NULL, WIRE_LIMIT_INVALID, 0},
	    {"6.3", "6.3", WIRE_LIMIT_INVALID, 0},
	    {"", NULL, WIRE_LIMIT_INVALID, 0},
	    {"-1", NULL, WIRE_LIMIT_INVALID, 0},
	    {"+1", NULL, WIRE_LIMIT_INVALID, 0},
	    {".5", NULL, WIRE_LIMIT_INVALID, 0},
	    {"1.2.3", NULL, WIRE_LIMIT_INVALID, 0},
	    {"1e3", NULL, WIRE_LIMIT_INVALID, 0},
	    {"0x10", NULL, WIRE_LIMIT_INVALID, 0},
	    {"nan", NULL, WIRE_LIMIT_INVALID, 0},
	    {"inf", NULL, WIRE_LIMIT_INVALID, 0},
	    {"6,3", NULL, WIRE_LIMIT_INVALID, 0},
	    {"6 a second", NULL, WIRE_LIMIT_INVALID, 0},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct evkeyvalq h = TAILQ_HEAD_INITIALIZER(h);
		wire_answer_t a;

		if (rows[i].value != NULL)
			evhttp_add_header(&h, "Server-Limit", rows[i].value);
		if (rows[i].second != NULL)
			evhttp_add_header(&h, "server-limit", rows[i].second);
		wire_answer_read(200, &h, &a);
		ck_assert_msg(a.limit == rows[i].limit, "%s: read as %d",
		    rows[i].value, (int)a.limit);
		if (a.limit == WIRE_LIMIT_NAMED)
			ck_assert_double_eq(a.limit_rate, rows[i].rate);
		evhttp_clear_headers(&h);
	}
}

static void
test_lookups(void)
{
	static const struct {
		const char *uri;
		gboolean is_lookup;
		const char *region;
	} rows[] = {
	    {"/resolve?name=a&region=north&zone=n1", TRUE, "north"},
	    {"/resolve", TRUE, NULL},
	    {"/resolve?", TRUE, NULL},
	    {"/resolver", FALSE, NULL},
	    {"/", FALSE, NULL},
	};
	GPtrArray *addresses = g_ptr_array_new();
	wire_lookup_t lookup;
	char *text;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		ck_assert_int_eq(
		    wire_lookup_read(rows[i].uri, &lookup), rows[i].is_lookup);
		if (!rows[i].is_lookup)
			continue;
		ck_assert(g_strcmp0(lookup.region, rows[i].region) == 0);
		wire_lookup_finish(&lookup);
	}
	g_ptr_array_add(addresses, (char *)"10.0.0.1:80");
	text = wire_lookup_answer(addresses, 1500);
	ck_assert_str_eq(
	    text, "{\"addresses\":[\"10.0.0.1:80\"],\"ttl_s\":1.5}");
	g_free(text);
	g_ptr_array_free(addresses, TRUE);
}

/* What servers say of themselves; bad values change nothing. */
static void
test_server_words(void)
{
	static const struct {
		int status;
		const char *name, *value, *second;
		wire_word_t leaving, pause;
		msec_t pause_ms;
	} rows[] = {
	    {200, "Server-Leaving", "1", NULL, WIRE_WORD_SAID, 0, 0},
	    {200, "server-leaving", "1", NULL, WIRE_WORD_SAID, 0, 0},
	    {500, "Server-Leaving", "1", NULL, WIRE_WORD_SAID, 0, 0},
	    {503, "Server-Leaving", "1", NULL, WIRE_WORD_SAID, 0, 0},
	    {103, "Server-Leaving", "1", NULL, WIRE_WORD_SAID, 0, 0},
	    {421, "Server-Leaving", "1", NULL, 0, 0, 0},
	    {200, "Server-Leaving", "0", NULL, WIRE_WORD_INVALID, 0, 0},
	    {200, "Server-Leaving", "true", NULL, WIRE_WORD_INVALID, 0, 0},
	    {200, "Server-Leaving", "", NULL, WIRE_WORD_INVALID, 0, 0},
	    {200, "Server-Leaving", "1", "0", WIRE_WORD_INVALID, 0, 0},
	    {503, "Retry-After", "3", NULL, 0, WIRE_WORD_SAID, 3000},
	    {503, "retry-after", "0.5", NULL, 0, WIRE_WORD_SAID, 500},
	    {503, "Retry-After", "0", NULL, 0, 0, 0},
	    {503, "Retry-After", "3600", NULL, 0, WIRE_WORD_SAID, 3600000},
	    {200, "Retry-After", "3", NULL, 0, 0, 0},
	    {429, "Retry-After", "3", NULL, 0, 0, 0},
	    {421, "Retry-After", "3", NULL, 0, 0, 0},
	    {503, "Retry-After", "3601", NULL, 0, WIRE_WORD_INVALID, 0},
	    {503, "Retry-After", "99999999999999999999", NULL, 0,
		WIRE_WORD_INVALID, 0},
	    {503, "Retry-After", "-1", NULL, 0, WIRE_WORD_INVALID, 0},
	    {503, "Retry-After", "+1", NULL, 0, WIRE_WORD_INVALID, 0},
	    {503, "Retry-After", "1e3", NULL, 0, WIRE_WORD_INVALID, 0},
	    {503, "Retry-After", "1.2.3", NULL, 0, WIRE_WORD_INVALID, 0},
	    {503, "Retry-After", "soon", NULL, 0, WIRE_WORD_INVALID, 0},
	    {503, "Retry-After", "", NULL, 0, WIRE_WORD_INVALID, 0},
	    {503, "Retry-After", "Sat, 05 Dec 2026 08:00:00 GMT", NULL, 0,
		WIRE_WORD_INVALID, 0},
	    {503, "Retry-After", "3", "9", 0, WIRE_WORD_INVALID, 0},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct evkeyvalq h = TAILQ_HEAD_INITIALIZER(h);
		wire_server_word_t w;

		evhttp_add_header(&h, rows[i].name, rows[i].value);
		if (rows[i].second != NULL)
			evhttp_add_header(&h, rows[i].name, rows[i].second);
		wire_server_word_read(rows[i].status, &h, &w);
		ck_assert_msg(w.leaving == rows[i].leaving &&
			w.pause == rows[i].pause &&
			(w.pause != WIRE_WORD_SAID ||
			    w.pause_ms == rows[i].pause_ms),
		    "%d %s: %s", rows[i].status, rows[i].name, rows[i].value);
		evhttp_clear_headers(&h);
	}
}

static const suite_case_t cases[] = {
    {"speeds of servers", test_server_speeds},
    {"orders", test_orders},
    {"server rows", test_servers},
    {"pages of rows", test_page},
    {"odd rows of a page", test_odd_rows},
    {"paths of store calls", test_paths},
    {"bodies of store writes", test_writes},
    {"statuses of the store", test_status},
    {"headers of a request", test_request},
    {"headers passed on to a server", test_forward},
    {"headers of an answer", test_answers},
    {"limits of servers", test_server_limits},
    {"words of servers", test_server_words},
    {"look-ups", test_lookups},
};

int
main(void)
{
	return suite_run("wire", cases, G_N_ELEMENTS(cases));
}
