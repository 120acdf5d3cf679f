#include "routing_fuzz.h"
#include "state/fair_queue.h"

/*
 * One queue and four workspaces. The oracle keeps the set of waiting requests
 * and, for each pair of workspaces that both wait, how many requests of each
 * were served since then. Divided by their weights, the two counts never differ
 * by more than one request of each.
 */

#define WORKSPACES 4
#define REQUESTS_MAX 1024
#define LEN_MAX 12
#define WAIT_MS 100
#define SCALE 1000000

static const unsigned int weights[WORKSPACES] = {1, 2, 5, 1};

typedef struct {
	fair_queue_t queue;
	queue_row_id_t rows[WORKSPACES];
	gboolean waits[REQUESTS_MAX];
	int workspace[REQUESTS_MAX];
	queue_handle_t handles[REQUESTS_MAX];
	msec_t expires[REQUESTS_MAX];
	unsigned int n, waiting[WORKSPACES];
	uint64_t served[WORKSPACES][WORKSPACES]; /* [i][j]: of i, j waits */
	msec_t now;
} world_t;

static uint64_t
cost(int workspace)
{
	return SCALE / weights[workspace];
}

static void
forget_pairs(world_t *w, int i)
{
	int j;

	for (j = 0; j < WORKSPACES; j++)
		w->served[i][j] = w->served[j][i] = 0;
}

static void
left_queue(world_t *w, uint64_t request)
{
	int i;

	ORACLE(request < w->n && w->waits[request]);
	i = w->workspace[request];
	w->waits[request] = FALSE;
	if (--w->waiting[i] == 0)
		forget_pairs(w, i);
}

static void
check_pairs(world_t *w, int i)
{
	uint64_t a, b;
	int j;

	for (j = 0; j < WORKSPACES; j++) {
		if (j == i || w->waiting[i] == 0 || w->waiting[j] == 0)
			continue;
		a = ++w->served[i][j] * cost(i);
		b = w->served[j][i] * cost(j);
		ORACLE(a <= b + cost(i) + cost(j));
	}
}

static void
put(world_t *w, input_t *in)
{
	int i = input_below(in, WORKSPACES);
	msec_t deadline = w->now + input_byte(in);
	uint64_t dropped, request = w->n;

	if (w->n == REQUESTS_MAX)
		return;
	if (w->waiting[i] == 0)
		forget_pairs(w, i);
	w->n++;
	w->waits[request] = TRUE;
	w->waiting[i]++;
	w->workspace[request] = i;
	w->expires[request] = MIN(deadline, w->now + WAIT_MS);
	w->handles[request] = fair_queue_put(
	    &w->queue, w->rows[i], request, deadline, w->now, &dropped);
	ORACLE((w->handles[request] == QUEUE_NONE) == (dropped == request));
	if (dropped != QUEUE_NONE)
		left_queue(w, dropped);
	ORACLE(w->queue.len <= LEN_MAX);
}

static void
serve(world_t *w)
{
	queue_handle_t handle;
	uint64_t request;

	while (fair_queue_expired(&w->queue, w->now, &request)) {
		ORACLE(w->now >= w->expires[request]);
		left_queue(w, request);
	}
	handle = fair_queue_head(&w->queue, &request);
	if (handle == QUEUE_NONE) {
		ORACLE(w->queue.len == 0);
		return;
	}
	ORACLE(request < w->n && handle == w->handles[request]);
	ORACLE(w->now < w->expires[request]);
	if (broken("charge"))
		fair_queue_cancel(&w->queue, handle);
	else
		fair_queue_serve(&w->queue, handle);
	check_pairs(w, w->workspace[request]);
	left_queue(w, request);
}

static void
cancel(world_t *w, input_t *in)
{
	uint64_t request = input_byte(in);

	if (request >= w->n)
		return;
	if (!broken("cancel"))
		ORACLE(fair_queue_cancel(&w->queue, w->handles[request]) ==
		    w->waits[request]);
	if (w->waits[request])
		left_queue(w, request);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	input_t in = {data, size, 0};
	static world_t w;
	int i;

	memset(&w, 0, sizeof(w));
	fair_queue_init(&w.queue, LEN_MAX, WAIT_MS);
	for (i = 0; i < WORKSPACES; i++) {
		char name[] = {(char)('a' + i), 0};

		w.rows[i] = fair_queue_row(&w.queue, name, weights[i]);
	}
	while (input_left(&in)) {
		switch (input_below(&in, 8)) {
		case 0:
		case 1:
		case 2:
			put(&w, &in);
			break;
		case 3:
		case 4:
			serve(&w);
			break;
		case 5:
			cancel(&w, &in);
			break;
		case 6:
			w.now += input_byte(&in) / 4;
			break;
		default:
			fair_queue_charge(
			    &w.queue, w.rows[input_below(&in, WORKSPACES)]);
			/* Served outside the queue: no pair is comparable. */
			memset(w.served, 0, sizeof(w.served));
		}
	}
	while (w.queue.len > 0)
		serve(&w);
	for (i = 0; i < WORKSPACES; i++)
		ORACLE(w.waiting[i] == 0);
	fair_queue_finish(&w.queue);
	return 0;
}
