#include <string.h>
#include <unistd.h>

#include "gateway/gateway_settings.h"
#include "suite.h"

#define HOST \
	"[host]\nid = h1\nregion = north\nfailure_domain = n1\n" \
	"callers = 10.0.0.1:80\nlookups = 10.0.0.1:81\n" \
	"operators = 10.0.0.1:82\npeers = 10.0.0.1:83\n"
#define STORE "[store]\nkind = table\naddress = 10.0.0.9:90\n"
#define DOMAINS "[domains]\nn1 = north\ns1 = south\n"

static char *
write_file(const char *text)
{
	char *path = g_strdup("/tmp/gateway-settings-XXXXXX");
	int fd = g_mkstemp(path);

	ck_assert(fd >= 0);
	close(fd);
	ck_assert(g_file_set_contents(path, text, -1, NULL));
	return path;
}

/* Return: the first error, or "" */
static char *
first_error_of(const char *text)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	char *path = write_file(text), *first;
	gateway_settings_t s;
	gboolean ok = gateway_settings_init(&s, path, errors);

	ck_assert_int_eq(ok, errors->len == 0);
	first = g_strdup(ok ? "" : g_ptr_array_index(errors, 0));
	gateway_settings_finish(&s);
	g_ptr_array_free(errors, TRUE);
	unlink(path);
	g_free(path);
	return first;
}

static void
test_errors(void)
{
	static const struct {
		const char *text, *expected;
	} rows[] = {
	    {HOST STORE DOMAINS, ""},
	    {HOST STORE DOMAINS "[log]\nlevel = debug\n", ""},
	    {HOST STORE DOMAINS "[log]\nlevel = loud\n",
		"expected debug, info, warn or error, found \"loud\""},
	    {HOST STORE DOMAINS "[planet]\n", "unknown group [planet]"},
	    {HOST STORE, "[domains] is missing"},
	    {HOST STORE "[domains]\nn1 =\n", "n1: no region"},
	    {HOST DOMAINS "[store]\nkind = table\naddress = here\n",
		"address: expected IP:PORT, found \"here\""},
	    {HOST STORE DOMAINS "[bounds]\nretry_ratio = many\n",
		"retry_ratio"},
	    {HOST STORE DOMAINS "[limits]\nmax_connections = 0\n",
		"max_connections"},
	    {HOST STORE DOMAINS "[limits]\nanswer_memory_bytes = 1\n",
		"answer_memory_bytes"},
	    {HOST STORE DOMAINS "[limits]\nreply_memory_bytes = 1\n",
		"reply_memory_bytes"},
	    /* An empty group is what the template yields without an API. */
	    {HOST STORE DOMAINS "[usage]\n", ""},
	    {HOST STORE DOMAINS "[usage]\naddress = 10.0.0.7:9\n"
				"window_sec = 5\nfencing_enforced = True\n",
		""},
	    {HOST STORE DOMAINS "[usage]\naddress = here\n",
		"address: expected IP:PORT, found \"here\""},
	    {HOST STORE DOMAINS "[usage]\nfencing_enforced = maybe\n",
		"fencing_enforced: expected true or false, found \"maybe\""},
	    {HOST STORE DOMAINS "[usage]\nlease_ms = 0\n", "lease_ms"},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *got = first_error_of(rows[i].text);

		ck_assert_msg(*rows[i].expected == '\0'
			? *got == '\0'
			: strstr(got, rows[i].expected) != NULL,
		    "row %zu: \"%s\"", i, got);
		g_free(got);
	}
}

/* FAULT: a host did not start where its time for a stop is no whole number. */
static void
test_drain_time(void)
{
	static const struct {
		const char *text;
		msec_t ms;
	} rows[] = {
	    {"6", 6000},
	    {"6.0", 6000},
	    {"6.5", 6500},
	    {"0.5", 500},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
		char *text = g_strconcat(HOST "drain_sec = ", rows[i].text,
		    "\n" STORE DOMAINS, NULL);
		char *path = write_file(text);
		gateway_settings_t s;

		ck_assert_msg(gateway_settings_init(&s, path, errors), "%s",
		    rows[i].text);
		ck_assert_int_eq(s.drain_ms, rows[i].ms);
		gateway_settings_finish(&s);
		g_ptr_array_free(errors, TRUE);
		unlink(path);
		g_free(path);
		g_free(text);
	}
}

/* A reload under load changes bounds; an invalid text changes nothing. */
static void
test_reload(void)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	char *path = write_file(HOST STORE DOMAINS);
	gateway_settings_t s;

	ck_assert(gateway_settings_init(&s, path, errors));
	ck_assert(g_file_set_contents(
	    path, HOST STORE DOMAINS "[bounds]\nretry_extra = 7\n", -1, NULL));
	ck_assert(gateway_settings_reload(&s, path, errors));
	ck_assert(s.dispatch.retry_extra > 6.9 && s.dispatch.retry_extra < 7.1);
	ck_assert(g_file_set_contents(path, "[planet]\n", -1, NULL));
	ck_assert(!gateway_settings_reload(&s, path, errors));
	ck_assert_uint_gt(errors->len, 0);
	ck_assert(s.dispatch.retry_extra > 6.9);
	ck_assert_str_eq(s.id, "h1");
	gateway_settings_finish(&s);
	g_ptr_array_free(errors, TRUE);
	unlink(path);
	g_free(path);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"errors in settings", test_errors},
	    {"the time for a stop", test_drain_time},
	    {"settings are reloaded", test_reload},
	};

	return suite_run("gateway_settings", cases, G_N_ELEMENTS(cases));
}
