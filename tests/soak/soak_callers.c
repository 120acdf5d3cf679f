#include <sys/queue.h>

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>

#include "soak.h"

#define OBJECTS 40
#define LOOKUP_EVERY_MS 500
#define TICK_MS 10
/* Interval of the request that crashes servers. */
#define CRASHER_EVERY_MS 700
/* One caller in HANG_UP_ONE_IN hangs up after HANG_UP_AFTER_MS. */
#define HANG_UP_ONE_IN 20
#define HANG_UP_AFTER_MS 100

static struct event *ticker;
static msec_t looked_up_at, called_at, crashed_at;

typedef struct {
	world_t *world;
	soak_request_t *request;
	http_call_t *call;
	struct event *hang_up; /* timer of a caller that hangs up, or NULL */
} call_t;

static void
call_free(call_t *c)
{
	if (c->hang_up != NULL)
		event_free(c->hang_up);
	g_free(c);
}

/* ---- checks of an answer ---- */

/* Body of a server: "ID from i-SERVER", or "ID from i-SERVER, N bytes\nxxx"
 * with N bytes in all. */
static gboolean
is_whole(const soak_request_t *r, const char *body, size_t len)
{
	char *start = g_strdup_printf("%s from i-", r->id);
	size_t n = strlen(start), at;
	gboolean ours = len >= n && memcmp(body, start, n) == 0;

	g_free(start);
	if (!ours)
		return FALSE;
	for (at = n;
	     at < len && (g_ascii_isxdigit(body[at]) || body[at] == '-'); at++)
		;
	if (at == len)
		return at > n;
	if (strtoul(body + at + strlen(", "), NULL, 10) != len)
		return FALSE;
	for (n = len; n > at && body[n - 1] == 'x'; n--)
		;
	return body[n - 1] == '\n';
}

void
soak_answer_check(world_t *w, const soak_request_t *r, const char *sign,
    const char *body, size_t len)
{
	if (!is_whole(r, body, len) ||
	    (!r->spoiled && g_strcmp0(sign, r->id) != 0))
		soak_broken(w,
		    "MIXED request %s got %zu bytes \"%.*s\", signature %s",
		    r->id, len, (int)MIN(len, 200), body, sign);
}

static void
check_good(world_t *w, const soak_request_t *r, const struct evkeyvalq *headers,
    struct evbuffer *body)
{
	size_t len = evbuffer_get_length(body);
	char *text = g_malloc(len + 1);

	evbuffer_copyout(body, text, len);
	text[len] = '\0';
	soak_answer_check(w, r,
	    evhttp_find_header(headers, "X-Response-Signature"), text, len);
	g_free(text);
}

static void
check_status(world_t *w, const soak_request_t *r)
{
	gboolean refused = r->status == 503 || r->status == 429;

	if (refused && r->runs > 0)
		soak_broken(w, "REFUSED request %s got %d but has run", r->id,
		    r->status);
	if (r->status == 404 || r->status == 400 || r->status == 413)
		soak_broken(w, "DENIED request %s got %d", r->id, r->status);
	/* Changes of the configuration withdraw and restore the second key. */
	if (r->status == 401 &&
	    (!r->second_key ||
		(!w->withdrawn &&
		    clock_now() > w->key_changed_at + CONFIG_BOUND_MS &&
		    soak_all_undisturbed(w, clock_now() - w->key_changed_at))))
		soak_broken(
		    w, "DENIED request %s got 401 for a valid key", r->id);
}

/* A host that runs or stops gracefully does not cut off a request for which a
 * server sent a complete answer. */
static void
check_cut(world_t *w, const soak_request_t *r)
{
	const soak_host_t *h = &w->hosts[r->host];

	if (r->answered_whole && h->state != HOST_OFF &&
	    h->state != HOST_PAUSED && h->undisturbed_since != 0 &&
	    h->undisturbed_since < r->sent_at &&
	    r->sent_at > w->began_at + SETTLE_MS)
		soak_broken(w, "LOST request %s was cut off by host %d", r->id,
		    r->host);
}

void
soak_cut_check(world_t *w, const soak_request_t *r)
{
	const soak_host_t *h = &w->hosts[r->host];
	msec_t now = clock_now(), waited = now - r->sent_at;
	/* The last sixth of a stop. */
	gboolean ends = h->stopped_at != 0 &&
	    now - h->stopped_at > DRAIN_SEC * MSEC_PER_SEC * 5 / 6;

	if (r->sent_at > w->began_at + SETTLE_MS && h->calm_since != 0 &&
	    h->calm_since < r->sent_at && !r->broke_off && !ends &&
	    waited < ROUTE_MS - 200 && (r->runs > 0 || waited > READ_MS))
		soak_broken(w,
		    "LOST request %s (%u runs) ended without an answer at "
		    "host %d after %lld ms",
		    r->id, r->runs, r->host, (long long)waited);
}

gboolean
soak_is_quiet(const world_t *w)
{
	msec_t now = clock_now();

	return now > w->ends_at || (now >= w->quiet_at && now < w->quiet_until);
}

static void
count(world_t *w, const soak_request_t *r)
{
	gboolean late = r->sent_at > w->stops_at + SETTLE_MS;

	if (r->status == 200)
		w->answered++;
	else if (r->status == 503 || r->status == 429 || r->status == 401)
		w->refused++;
	else if (r->status > 0)
		w->failed++;
	else
		w->cut++;
	if (late && r->status != 429 && r->status != 401) {
		w->late_sent++;
		w->late_answered += r->status == 200;
	}
}

static void
on_done(void *arg, http_outcome_t outcome, int status,
    const struct evkeyvalq *headers, struct evbuffer *body)
{
	call_t *call = arg;
	world_t *w = call->world;
	soak_request_t *r = call->request;

	call_free(call);
	if (outcome == HTTP_NOT_SENT) {
		w->unreached++;
		r->status = -1;
		return;
	}
	r->status = outcome == HTTP_ANSWERED ? status : -1;
	if (outcome == HTTP_ANSWERED) {
		check_status(w, r);
		if (status == 200)
			check_good(w, r, headers, body);
	} else if (outcome == HTTP_BROKEN) {
		check_cut(w, r);
		soak_cut_check(w, r);
	}
	if (!r->crashes)
		count(w, r);
}

/* ---- requests ---- */

static int
host_of(const world_t *w, const char *address)
{
	return (atoi(strrchr(address, ':') + 1) - w->port) / PORTS_OF_HOST;
}

static void
add_headers(world_t *w, struct evkeyvalq *headers, const soak_request_t *r)
{
	static const char *const keys[WORKSPACES] = {"key-school", "key-shop"};
	char text[32];

	evhttp_add_header(headers, "Host", "soak.example");
	evhttp_add_header(headers, "X-Request-Id", r->id);
	g_snprintf(
	    text, sizeof(text), "%d", g_rand_int_range(w->rand, 0, OBJECTS));
	evhttp_add_header(headers, "X-Affinity-Key", text);
	g_snprintf(text, sizeof(text), "%d", BUDGET_MS);
	evhttp_add_header(headers, "X-Deadline-Ms", text);
	evhttp_add_header(headers, "X-Credential",
	    r->second_key ? "key-school-2" : keys[r->workspace]);
	evhttp_add_header(headers, "X-Tenant-Id", "forged");
}

static void
on_hang_up(evutil_socket_t fd, short what, void *arg)
{
	call_t *c = arg;

	(void)fd;
	(void)what;
	c->request->hung_up_at = clock_now();
	c->world->hung_up++;
	http_call_cancel(c->call);
	call_free(c);
}

static void
send_request(world_t *w, soak_request_t *r, const char *address)
{
	const struct timeval hang_up = {0, HANG_UP_AFTER_MS * 1000};
	struct evkeyvalq headers = TAILQ_HEAD_INITIALIZER(headers);
	struct evbuffer *body = evbuffer_new();
	call_t *c = g_new0(call_t, 1);
	const http_handler_t handler = {.on_done = on_done, .arg = c};
	http_request_t request = {.address = address,
	    .headers = &headers,
	    .body = body,
	    .timeout_ms = BUDGET_MS + 2000,
	    .connect_ms = 1000,
	    .new_connection = g_rand_boolean(w->rand)};
	char path[48];
	int i;

	c->world = w;
	c->request = r;
	add_headers(w, &headers, r);
	g_snprintf(path, sizeof(path), "/s%d/%s/%d", r->service,
	    r->idempotent ? "get" : "post", r->crashes ? 0 : (int)w->number);
	request.path = path;
	request.method = r->idempotent ? EVHTTP_REQ_GET : EVHTTP_REQ_POST;
	for (i = 0; !r->idempotent && i < 1000; i++)
		evbuffer_add(body, r->id, strlen(r->id));
	c->call = http_call(w->http, &request, &handler);
	if (!r->crashes && w->number % HANG_UP_ONE_IN == 0) {
		c->hang_up = evtimer_new(w->base, on_hang_up, c);
		event_add(c->hang_up, &hang_up);
	}
	evhttp_clear_headers(&headers);
	evbuffer_free(body);
}

static void
call(world_t *w, gboolean crashes)
{
	const char *address = g_ptr_array_index(w->addresses,
	    g_rand_int_range(w->rand, 0, (gint32)w->addresses->len));
	soak_request_t *r = g_new0(soak_request_t, 1);

	g_snprintf(r->id, sizeof(r->id), "%08x%08x", w->seed,
	    (unsigned int)++w->number);
	r->crashes = crashes;
	if (crashes) {
		r->idempotent = TRUE;
	} else {
		r->service = g_rand_int_range(w->rand, 0, SERVICES);
		r->idempotent = g_rand_boolean(w->rand);
		r->workspace = g_rand_int_range(w->rand, 0, WORKSPACES);
		r->second_key = r->workspace == 0 && g_rand_boolean(w->rand);
		w->sent++;
	}
	r->host = host_of(w, address);
	r->sent_at = clock_now();
	g_hash_table_insert(w->requests, r->id, r);
	send_request(w, r, address);
}

static void
on_lookup(void *arg, http_outcome_t outcome, int status,
    const struct evkeyvalq *headers, struct evbuffer *body)
{
	world_t *w = arg;
	const json_t *list, *v;
	json_t *root;
	size_t i;

	(void)headers;
	if (outcome != HTTP_ANSWERED || status != 200)
		return;
	root = json_loadb((const char *)evbuffer_pullup(body, -1),
	    evbuffer_get_length(body), 0, NULL);
	list = json_object_get(root, "addresses");
	if (json_array_size(list) > 0)
		g_ptr_array_set_size(w->addresses, 0);
	json_array_foreach(list, i, v)
	    g_ptr_array_add(w->addresses, g_strdup(json_string_value(v)));
	json_decref(root);
}

static void
look_up(world_t *w)
{
	const http_handler_t handler = {.on_done = on_lookup, .arg = w};
	int host = g_rand_int_range(w->rand, 0, HOSTS);
	char *address = g_strdup_printf(
	    "127.0.0.1:%d", w->port + host * PORTS_OF_HOST + PORT_LOOKUPS);
	char *path = g_strdup_printf("/resolve?name=soak.example&region=%s",
	    soak_region(g_rand_int_range(w->rand, 0, 2 * REGIONS)));
	const http_request_t request = {.address = address,
	    .method = EVHTTP_REQ_GET,
	    .path = path,
	    .timeout_ms = 1000};

	if (w->hosts[host].state == HOST_RUNS)
		http_call(w->http, &request, &handler);
	g_free(address);
	g_free(path);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	world_t *w = arg;
	msec_t now = clock_now();
	double due;
	int i, n;

	(void)fd;
	(void)what;
	w->lag = MAX(w->lag - 1, now - w->ticked_at - TICK_MS);
	w->ticked_at = now;
	if (now - looked_up_at >= LOOKUP_EVERY_MS) {
		looked_up_at = now;
		look_up(w);
	}
	if (soak_is_quiet(w) || w->addresses->len == 0)
		return;
	due = w->rate * (double)MIN(now - called_at, 100) / MSEC_PER_SEC;
	called_at = now;
	n = (int)due + (g_rand_double(w->rand) < due - (int)due);
	for (i = 0; i < n; i++)
		call(w, FALSE);
	if (now - crashed_at >= CRASHER_EVERY_MS) {
		crashed_at = now;
		call(w, TRUE);
	}
}

void
soak_callers_init(world_t *w)
{
	const struct timeval tick = {0, TICK_MS * 1000};

	w->http = http_client_new(w->base, 8);
	w->addresses = g_ptr_array_new_with_free_func(g_free);
	w->ticked_at = called_at = clock_now();
	ticker = event_new(w->base, -1, EV_PERSIST, on_tick, w);
	event_add(ticker, &tick);
}

void
soak_callers_finish(world_t *w)
{
	event_free(ticker);
	http_client_free(w->http);
	g_ptr_array_free(w->addresses, TRUE);
}
