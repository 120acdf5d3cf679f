#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "base/metrics.h"
#include "suite.h"

static void
log_escapes_values(void)
{
	static const struct {
		const char *value, *expected;
	} rows[] = {
	    {"plain", "k=plain\n"},
	    {"two words", "k=\"two words\"\n"},
	    {"a\nlevel=error event=forged",
		"k=\"a\\x0alevel=error event=forged\"\n"},
	    {"q\"b\\", "k=\"q\\\"b\\\\\"\n"},
	    {"", "k=\"\"\n"},
	    {NULL, "k=-\n"},
	};
	char *text = NULL;
	size_t i, len = 0;
	FILE *f;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		f = open_memstream(&text, &len);
		log_open(f, LOG_INFO);
		log_event(LOG_INFO, "test", "k", rows[i].value, NULL);
		log_event(LOG_DEBUG, "dropped", NULL);
		fclose(f);
		ck_assert_str_eq(strstr(text, "k="), rows[i].expected);
		free(text);
	}
	log_open(NULL, LOG_INFO);
}

static void
metrics_are_found_by_name(void)
{
	metrics_t m;
	metric_id_t a, b;
	char *text;

	metrics_init(&m);
	a = metrics_add(&m, METRIC_COUNTER, "requests_total", "Requests.");
	b = metrics_add(&m, METRIC_COUNTER, "requests_total", "Requests.");
	ck_assert_int_eq(a, b);
	metrics_count(&m, a, 3);
	text = metrics_render(&m);
	ck_assert_ptr_nonnull(strstr(text, "greengageloom_requests_total 3\n"));
	g_free(text);
	metrics_finish(&m);
}

static void
errors_contain_step_and_peer(void)
{
	GError *err = NULL;

	error_set(
	    &err, ERROR_CONFLICT, "store.txn", "127.0.0.1:9", "row %d", 7);
	ck_assert_str_eq(err->message, "store.txn: 127.0.0.1:9: row 7");
	ck_assert_int_eq(err->code, ERROR_CONFLICT);
	g_error_free(err);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"log escapes values", log_escapes_values},
	    {"metrics are found by name", metrics_are_found_by_name},
	    {"errors contain step and peer", errors_contain_step_and_peer},
	};

	return suite_run("base", cases, sizeof(cases) / sizeof(cases[0]));
}
