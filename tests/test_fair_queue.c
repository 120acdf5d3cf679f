#include "state/fair_queue.h"
#include "suite.h"

#define N_OF(a) (sizeof(a) / sizeof((a)[0]))

/* Requests of the first workspace have numbers from 100, of the second 200. */
static void
put(fair_queue_t *q, queue_row_id_t row, int n)
{
	uint64_t dropped;
	int i;

	for (i = 0; i < n; i++)
		fair_queue_put(q, row, 100 * (row + 1) + i, 1000, 0, &dropped);
}

static void
slots_are_shared_by_weight(void)
{
	static const struct {
		const char *name;
		double weights[3];
		int waiting[3], slots, served[3];
	} rows[] = {
	    {"even", {1, 1, 1}, {9, 9, 9}, 9, {3, 3, 3}},
	    {"one floods", {1, 1, 1}, {40, 2, 2}, 9, {5, 2, 2}},
	    {"by weight", {4, 1, 1}, {20, 20, 20}, 12, {8, 2, 2}},
	    {"unused slots go to those that wait", {1, 1, 8}, {9, 0, 0}, 9,
		{9, 0, 0}},
	};
	int i, served[3];
	queue_handle_t h;
	uint64_t request;
	fair_queue_t q;
	size_t k;

	for (k = 0; k < N_OF(rows); k++) {
		fair_queue_init(&q, 100, 1000);
		for (i = 0; i < 3; i++) {
			char name[] = {(char)('a' + i), 0};

			put(&q, fair_queue_row(&q, name, rows[k].weights[i]),
			    rows[k].waiting[i]);
			served[i] = 0;
		}
		for (i = 0; i < rows[k].slots; i++) {
			h = fair_queue_head(&q, &request);
			served[request / 100 - 1]++;
			fair_queue_serve(&q, h);
		}
		for (i = 0; i < 3; i++)
			ck_assert_msg(served[i] == rows[k].served[i],
			    "%s: %d has %d", rows[k].name, i, served[i]);
		fair_queue_finish(&q);
	}
}

static void
full_queue_drops_from_longest_row(void)
{
	queue_row_id_t a, b;
	uint64_t dropped;
	fair_queue_t q;

	fair_queue_init(&q, 4, 1000);
	a = fair_queue_row(&q, "a", 1);
	b = fair_queue_row(&q, "b", 1);
	put(&q, a, 4);
	ck_assert(fair_queue_put(&q, b, 200, 1000, 0, &dropped) != QUEUE_NONE);
	ck_assert_uint_eq(dropped, 103);
	ck_assert(fair_queue_put(&q, a, 104, 1000, 0, &dropped) == QUEUE_NONE);
	ck_assert_uint_eq(dropped, 104);
	fair_queue_finish(&q);
}

static void
wait_is_bounded_and_cancelled_by_handle(void)
{
	queue_handle_t first, second;
	uint64_t dropped, request;
	queue_row_id_t a;
	fair_queue_t q;

	fair_queue_init(&q, 4, 100);
	a = fair_queue_row(&q, "a", 1);
	first = fair_queue_put(&q, a, 1, 50, 0, &dropped);
	second = fair_queue_put(&q, a, 2, 5000, 0, &dropped);
	ck_assert(!fair_queue_expired(&q, 49, &request));
	ck_assert(fair_queue_expired(&q, 50, &request));
	ck_assert_uint_eq(request, 1);
	ck_assert(!fair_queue_cancel(&q, first));
	fair_queue_put(&q, a, 3, 5000, 60, &dropped);
	ck_assert(!fair_queue_cancel(&q, first));
	ck_assert(fair_queue_expired(&q, 100, &request));
	ck_assert_uint_eq(request, 2);
	ck_assert(!fair_queue_cancel(&q, second));
	ck_assert(fair_queue_head(&q, &request) != QUEUE_NONE);
	ck_assert_uint_eq(request, 3);
	fair_queue_finish(&q);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"slots are shared by weight", slots_are_shared_by_weight},
	    {"full queue drops from longest row",
		full_queue_drops_from_longest_row},
	    {"wait is bounded and cancelled by handle",
		wait_is_bounded_and_cancelled_by_handle},
	};

	return suite_run("fair_queue", cases, N_OF(cases));
}
