#include <sys/socket.h>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "soak.h"

/*
 * Callers that write their own bytes. Most leave early, by close, reset or half
 * close, in some state of their request; others send slowly, read late, or keep
 * their connection until the host closes it.
 */

#define TICK_MS 50
#define NEW_PER_TICK_MAX 3
#define KEPT_MAX 12
#define LEAVE_MAX_MS 120
#define IDLE_MAX_MS 300
#define STALL_MIN_MS 1000
#define STALL_MAX_MS 5000
#define STALLED_ROOM_BYTES 16384
#define STEP_MAX_MS 4
#define BYTES_SINGLE 60 /* sent one by one, then in steps */
#define BYTES_STEP 500
#define GIVE_UP_MS 12000
#define BODY_IDS 1000 /* a body is its id so many times */

typedef enum {
	LEAVES_HEAD,	  /* half a head sent */
	LEAVES_BODY,	  /* half a body sent */
	LEAVES_RUNNING,	  /* a whole request sent, queued or running */
	LEAVES_READING,	  /* with the first bytes of the answer */
	LEAVES_PIPELINED, /* with a second request behind the first */
	STAYS_BYTES,	  /* sends byte by byte */
	STAYS_STALLED,	  /* does not read for seconds */
	STAYS_PIPELINED,  /* sends two requests at once */
	STAYS_KEPT,
} kind_t;

typedef enum {
	BY_CLOSE,
	BY_RESET,
	BY_HALF_CLOSE,
	WAYS
} way_t;

typedef struct {
	world_t *world;
	struct bufferevent *bev;
	struct event *timer;
	kind_t kind;
	way_t way;
	int host;
	GString *in, *out;
	size_t written;	 /* of @out */
	GQueue requests; /* soak_request_t, sent whole, without an answer */
	soak_request_t *sending;
	msec_t began_at;
	gboolean left; /* by half close */
	gboolean last; /* the host closes after this answer */
} caller_t;

static struct event *ticker;
static GPtrArray *callers;

static void
caller_free(void *p)
{
	caller_t *c = p;

	bufferevent_free(c->bev);
	event_free(c->timer);
	g_string_free(c->in, TRUE);
	g_string_free(c->out, TRUE);
	g_queue_clear(&c->requests);
	g_free(c);
}

static void
end(caller_t *c)
{
	g_ptr_array_remove_fast(callers, c);
}

static int
draw(const caller_t *c, int from, int to)
{
	return g_rand_int_range(c->world->further, from, to);
}

static void
after(caller_t *c, int ms)
{
	const struct timeval tv = {ms / 1000, ms % 1000 * 1000};

	event_add(c->timer, &tv);
}

/* ---- requests ---- */

static soak_request_t *
request_new(caller_t *c)
{
	world_t *w = c->world;
	soak_request_t *r = g_new0(soak_request_t, 1);

	g_snprintf(r->id, sizeof(r->id), "%08x%08x", w->seed,
	    (unsigned int)++w->number);
	r->service = draw(c, 0, SERVICES);
	r->idempotent = c->kind != LEAVES_BODY && draw(c, 0, 2) == 0;
	r->host = c->host;
	r->sent_at = clock_now();
	g_hash_table_insert(w->requests, r->id, r);
	w->raw_sent++;
	return r;
}

/* Appends a request to @c->out. Return: length of its head. */
static size_t
add_request(caller_t *c, soak_request_t *r)
{
	size_t before = c->out->len, head;
	int i;

	g_string_append_printf(c->out,
	    "%s /s%d/%s/%s HTTP/1.1\r\nHost: soak.example\r\n"
	    "X-Request-Id: %s\r\nX-Affinity-Key: %d\r\nX-Deadline-Ms: %d\r\n"
	    "X-Credential: key-school\r\n",
	    r->idempotent ? "GET" : "POST", r->service,
	    r->idempotent ? "get" : "post", r->id, r->id, draw(c, 0, 40),
	    BUDGET_MS);
	if (!r->idempotent)
		g_string_append_printf(c->out, "Content-Length: %zu\r\n",
		    strlen(r->id) * BODY_IDS);
	g_string_append(c->out, "\r\n");
	head = c->out->len - before;
	for (i = 0; !r->idempotent && i < BODY_IDS; i++)
		g_string_append(c->out, r->id);
	return head;
}

static void
write_more(caller_t *c, size_t n)
{
	n = MIN(n, c->out->len - c->written);
	bufferevent_write(c->bev, c->out->str + c->written, n);
	c->written += n;
}

static void
send_whole(caller_t *c)
{
	soak_request_t *r = request_new(c);

	g_string_truncate(c->out, 0);
	c->written = 0;
	add_request(c, r);
	write_more(c, c->out->len);
	g_queue_push_tail(&c->requests, r);
}

static void
send_part(caller_t *c)
{
	soak_request_t *r = request_new(c);
	size_t head = add_request(c, r);

	if (c->kind == LEAVES_HEAD)
		write_more(c, (size_t)draw(c, 1, (int)head));
	else
		write_more(c, head + (size_t)draw(c, 1, BODY_IDS));
	c->sending = r;
}

/* A next step of a caller that sends byte by byte. */
static void
send_step(caller_t *c)
{
	if (c->sending == NULL) {
		c->sending = request_new(c);
		add_request(c, c->sending);
	}
	write_more(c, c->written < BYTES_SINGLE ? 1 : BYTES_STEP);
	if (c->written < c->out->len) {
		after(c, draw(c, 1, STEP_MAX_MS));
		return;
	}
	c->sending->sent_at = clock_now();
	g_queue_push_tail(&c->requests, c->sending);
}

static void
leave(caller_t *c)
{
	const struct linger none = {.l_onoff = 1, .l_linger = 0};
	int fd = bufferevent_getfd(c->bev);
	msec_t now = clock_now();
	const GList *l;

	if (c->way == BY_HALF_CLOSE) {
		c->left = TRUE;
		shutdown(fd, SHUT_WR);
		after(c, STALL_MAX_MS);
		return;
	}
	for (l = c->requests.head; l != NULL; l = l->next)
		((soak_request_t *)l->data)->hung_up_at = now;
	if (c->way == BY_RESET)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
	end(c);
}

/* ---- answers ---- */

/* Value of a header in the head at the start of @text, or NULL. */
static char *
header(const char *text, const char *head_end, const char *name)
{
	char *line = g_strdup_printf("\r\n%s:", name);
	const char *at = strcasestr(text, line);
	char *value = NULL;

	if (at != NULL && at < head_end) {
		at += strlen(line);
		value = g_strstrip(g_strndup(at, strcspn(at, "\r")));
	}
	g_free(line);
	return value;
}

static void
check_answer(caller_t *c, int status, const char *head_end, size_t len)
{
	soak_request_t *r = g_queue_pop_head(&c->requests);
	char *sign = header(c->in->str, head_end, "X-Response-Signature");

	if (r == NULL && status / 100 == 2) {
		soak_broken(c->world,
		    "MIXED host %d: success without a request", c->host);
	} else if (r != NULL) {
		r->status = status;
		c->world->raw_answered += status / 100 == 2;
		if (status / 100 == 2)
			soak_answer_check(c->world, r, sign, head_end + 4, len);
		if ((status == 503 || status == 429) && r->runs > 0)
			soak_broken(c->world,
			    "REFUSED request %s got %d but has run", r->id,
			    status);
	}
	g_free(sign);
}

/* Takes an answer from @c->in. Return: whether it was whole. */
static gboolean
take_answer(caller_t *c)
{
	static const char protocol[] = "HTTP/1.1 ";
	size_t known = MIN(c->in->len, strlen(protocol)), need, len;
	const char *head_end;
	char *length, *close;
	int status;

	if (strncmp(c->in->str, protocol, known) != 0) {
		soak_broken(c->world, "MIXED host %d sent no answer: \"%.80s\"",
		    c->host, c->in->str);
		g_string_truncate(c->in, 0);
		return FALSE;
	}
	head_end = strstr(c->in->str, "\r\n\r\n");
	if (head_end == NULL)
		return FALSE;
	status = atoi(c->in->str + strlen(protocol));
	length = header(c->in->str, head_end, "Content-Length");
	close = header(c->in->str, head_end, "Connection");
	if (length == NULL && status >= 200 && status != 204)
		soak_broken(c->world, "MIXED host %d: answer %d has no length",
		    c->host, status);
	len = length != NULL ? strtoul(length, NULL, 10) : 0;
	need = (size_t)(head_end + 4 - c->in->str) + len;
	c->last |= close != NULL && g_ascii_strcasecmp(close, "close") == 0;
	g_free(length);
	g_free(close);
	if (c->in->len < need)
		return FALSE;
	if (status >= 200)
		check_answer(c, status, head_end, len);
	g_string_erase(c->in, 0, (gssize)need);
	return TRUE;
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	struct evbuffer *in = bufferevent_get_input(bev);
	size_t len = evbuffer_get_length(in);
	caller_t *c = arg;

	g_string_append_len(
	    c->in, (const char *)evbuffer_pullup(in, -1), (gssize)len);
	evbuffer_drain(in, len);
	if (c->kind == LEAVES_READING && !c->left) {
		leave(c);
		return;
	}
	while (c->in->len > 0 && take_answer(c))
		;
	if (!g_queue_is_empty(&c->requests) || c->sending != NULL)
		return;
	if (c->kind == STAYS_KEPT && !c->last)
		after(c, draw(c, 0, IDLE_MAX_MS));
}

/* The host has closed: what it had read whole must have been answered. Behind
 * an answer that says "close", a pipelined request is not read. */
static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	caller_t *c = arg;
	soak_request_t *r;

	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	on_read(bev, c);
	if (!g_ptr_array_find(callers, c, NULL))
		return;
	r = g_queue_peek_head(&c->requests);
	if (r != NULL && !c->left && !c->last)
		soak_cut_check(c->world, r);
	c->world->raw_closed += r != NULL && !c->left;
	end(c);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	caller_t *c = arg;

	(void)fd;
	(void)what;
	switch (c->kind) {
	case STAYS_BYTES:
		send_step(c);
		break;
	case STAYS_STALLED:
		bufferevent_enable(c->bev, EV_READ);
		break;
	case STAYS_KEPT:
		if (soak_is_quiet(c->world))
			after(c, IDLE_MAX_MS);
		else
			send_whole(c);
		break;
	default:
		if (c->left)
			end(c);
		else
			leave(c);
		break;
	}
}

/* ---- callers ---- */

static void
begin(caller_t *c)
{
	const int room = STALLED_ROOM_BYTES;

	switch (c->kind) {
	case LEAVES_HEAD:
	case LEAVES_BODY:
		send_part(c);
		after(c, draw(c, 0, 20 * LEAVE_MAX_MS));
		break;
	case LEAVES_PIPELINED:
		send_whole(c);
		/* fall through */
	case LEAVES_RUNNING:
		send_whole(c);
		after(c, draw(c, 0, LEAVE_MAX_MS));
		break;
	case STAYS_BYTES:
		send_step(c);
		break;
	case STAYS_STALLED:
		setsockopt(bufferevent_getfd(c->bev), SOL_SOCKET, SO_RCVBUF,
		    &room, sizeof(room));
		bufferevent_disable(c->bev, EV_READ);
		after(c, draw(c, STALL_MIN_MS, STALL_MAX_MS));
		send_whole(c);
		break;
	case STAYS_PIPELINED:
		send_whole(c);
		/* fall through */
	default:
		send_whole(c);
		break;
	}
}

static const char *
pick_address(world_t *w)
{
	return g_ptr_array_index(w->addresses,
	    g_rand_int_range(w->further, 0, (gint32)w->addresses->len));
}

static void
caller_new(world_t *w, const char *address, kind_t kind)
{
	int port = atoi(strrchr(address, ':') + 1);
	struct sockaddr_in at = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	caller_t *c = g_new0(caller_t, 1);

	c->world = w;
	c->kind = kind;
	c->way = (way_t)draw(c, 0, WAYS);
	c->host = (port - w->port) / PORTS_OF_HOST;
	c->began_at = clock_now();
	c->in = g_string_new(NULL);
	c->out = g_string_new(NULL);
	c->timer = evtimer_new(w->base, on_timer, c);
	c->bev = bufferevent_socket_new(w->base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(c->bev, on_read, NULL, on_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	g_ptr_array_add(callers, c);
	if (bufferevent_socket_connect(
		c->bev, (struct sockaddr *)&at, sizeof(at)) == 0)
		begin(c);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	world_t *w = arg;
	msec_t now = clock_now();
	const char *address;
	int n, kept = 0;
	guint i;

	(void)fd;
	(void)what;
	for (i = callers->len; i > 0; i--) {
		caller_t *c = g_ptr_array_index(callers, i - 1);

		kept += c->kind == STAYS_KEPT;
		if (c->kind != STAYS_KEPT && now - c->began_at > GIVE_UP_MS)
			end(c);
	}
	if (soak_is_quiet(w) || w->addresses->len == 0)
		return;
	for (n = g_rand_int_range(w->further, 0, NEW_PER_TICK_MAX); n > 0; n--)
		caller_new(w, pick_address(w),
		    (kind_t)g_rand_int_range(w->further, 0, STAYS_KEPT));
	address = pick_address(w);
	for (; w->unread > 0; w->unread--)
		caller_new(w, address, STAYS_STALLED);
	for (; kept < KEPT_MAX; kept++)
		caller_new(w, pick_address(w), STAYS_KEPT);
}

void
soak_leavers_init(world_t *w)
{
	const struct timeval tick = {0, TICK_MS * 1000};

	callers = g_ptr_array_new_with_free_func(caller_free);
	ticker = event_new(w->base, -1, EV_PERSIST, on_tick, w);
	event_add(ticker, &tick);
}

void
soak_leavers_finish(world_t *w)
{
	(void)w;
	event_free(ticker);
	g_ptr_array_free(callers, TRUE);
}
