#include <string.h>

#include "cmd/cli_settings.h"
#include "host/settings.h"
#include "protocol/ini.h"
#include "protocol/config_text.h"
#include "protocol/config_text_check.h"
#include "suite.h"

#define CONFIG_TEXT_MAX_BYTES (1024 * 1024)

typedef struct {
	const char *service;
	guint endpoints;
	uint32_t slots; /* of each endpoint */
} service_size_t;

/* Sizes that the example configurations must have. */
static const struct {
	const char *file;
	uint32_t one_way_ms;
	service_size_t services[3];
} texts[] = {
    {"labbra-aperte.ini", 20,
	{{"lettore", 14, 3}, {"prenota", 12, 3}, {"raccolta", 12, 3}}},
    {"altan-jar.ini", 55,
	{{"crate-view", 18, 6}, {"till", 12, 5}, {"sheet-drop", 12, 3}}},
};

static void
check_none(const GPtrArray *lines)
{
	if (lines->len > 0)
		ck_abort_msg("%s", (char *)g_ptr_array_index(lines, 0));
}

static void
check_service(const catalog_t *c, const service_size_t *size)
{
	service_id_t id = catalog_find_service(c, size->service);
	const endpoint_t *e;
	guint i, n = 0;

	ck_assert_int_ne(id, ID_NONE);
	for (i = 0; i < c->endpoints->len; i++) {
		e = catalog_endpoint(c, (endpoint_id_t)i);
		if (e->service != id)
			continue;
		ck_assert_uint_eq(e->slots, size->slots);
		n++;
	}
	ck_assert_uint_eq(n, size->endpoints);
}

static void
check_places(const catalog_t *c, uint32_t one_way_ms)
{
	guint i, k, in_region;

	ck_assert_uint_eq(c->regions->len, 3);
	for (i = 0; i < c->regions->len; i++) {
		in_region = 0;
		for (k = 0; k < c->domains->len; k++)
			in_region +=
			    catalog_domain(c, (domain_id_t)k)->region == i;
		ck_assert_uint_eq(in_region, 2);
		for (k = 0; k < i; k++)
			ck_assert_uint_eq(catalog_one_way_ms(c, (region_id_t)i,
					      (region_id_t)k),
			    one_way_ms);
	}
	for (i = 0; i < c->links->len; i++)
		ck_assert_uint_eq(
		    g_array_index(c->links, link_t, i).bits_per_sec,
		    4000000000U);
	ck_assert_uint_eq(c->links->len, 3);
	ck_assert_uint_eq(c->workspaces->len, 8);
}

static void
texts_have_expected_sizes(void)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);
	char *path, *text;
	catalog_t c;
	size_t i, k;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		path = g_build_filename(EXAMPLES, texts[i].file, NULL);
		text = ini_read_file(path, CONFIG_TEXT_MAX_BYTES, NULL);
		ck_assert_ptr_nonnull(text);
		catalog_init(&c);
		config_text_parse(&c, texts[i].file, text, lines);
		check_none(lines);
		config_text_warnings(&c, lines);
		check_none(lines);
		check_places(&c, texts[i].one_way_ms);
		for (k = 0; k < G_N_ELEMENTS(texts[i].services); k++)
			check_service(&c, &texts[i].services[k]);
		catalog_finish(&c);
		g_free(text);
		g_free(path);
	}
	g_ptr_array_free(lines, TRUE);
}

static void
host_settings_are_valid(void)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	char *path = g_build_filename(EXAMPLES, "host.ini", NULL);
	settings_t s;

	settings_init(&s, path, errors);
	check_none(errors);
	ck_assert_str_eq(s.region, "milano");
	ck_assert_ptr_nonnull(s.certificate);
	settings_finish(&s);
	g_free(path);
	g_ptr_array_free(errors, TRUE);
}

static void
operator_settings_are_valid(void)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	char *path = g_build_filename(EXAMPLES, "operator.ini", NULL);
	cli_options_t o = {.config = path};
	cli_settings_t s;

	cli_settings_init(&s, &o, errors);
	check_none(errors);
	ck_assert_uint_eq(g_strv_length(s.hosts), 3);
	cli_settings_finish(&s);
	g_free(path);
	g_ptr_array_free(errors, TRUE);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"texts have expected sizes", texts_have_expected_sizes},
	    {"host settings are valid", host_settings_are_valid},
	    {"operator settings are valid", operator_settings_are_valid},
	};

	return suite_run("examples", cases, G_N_ELEMENTS(cases));
}
