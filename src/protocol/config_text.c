#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/ini.h"
#include "protocol/config_text.h"
#include "protocol/config_text_check.h"

/* Maximum length of the name of a row. */
#define NAME_MAX_CHARS 64
#define MAX_ROWS 60000

/* Reads a group into a row of the catalog; @name is its name after the kind. */
typedef void (*read_row_t)(
    const ini_t *ini, const char *group, const char *name, catalog_t *c);

static void
check_name(const ini_t *ini, const char *group, const char *name)
{
	size_t ok = strspn(name,
	    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
	    "._-");

	if (*name == '\0' || name[ok] != '\0' || strlen(name) > NAME_MAX_CHARS)
		ini_error(ini, group, NULL,
		    "expected a name of 1 to %d letters, digits, \".\", \"_\" "
		    "or \"-\", found \"%s\"",
		    NAME_MAX_CHARS, name);
}

/* Looks up the row that a key names; reports an error if there is none. */
static uint16_t
resolve(const ini_t *ini, const char *group, const char *key, char *name,
    uint16_t (*find)(const catalog_t *, const char *), const catalog_t *c)
{
	uint16_t id = ID_NONE;

	if (name != NULL) {
		id = find(c, name);
		if (id == ID_NONE)
			ini_error(ini, group, key,
			    "%s: no [%s %s] in this text", key, key, name);
		g_free(name);
	}
	return id;
}

static void
read_fleet(const ini_t *ini, const char *group, const char *name, catalog_t *c)
{
	int64_t hosts = 10, rollout_sec = 3600, ttl = 30;
	const ini_field_t fields[] = {
	    {"hosts", INI_NUMBER, TRUE, 1, 1000, &hosts},
	    {"shift_cap", INI_DECIMAL, FALSE, 0.001, 1, &c->caps.shift_cap},
	    {"rollout_cap", INI_DECIMAL, FALSE, 0.001, 0.5,
		&c->caps.rollout_cap},
	    {"rollout_within_sec", INI_NUMBER, FALSE, 10, 2592000,
		&rollout_sec},
	    {"lookup_ttl_sec", INI_NUMBER, FALSE, 1, 3600, &ttl},
	    {"spill_cap", INI_DECIMAL, FALSE, 0, 1, &c->caps.spill_cap},
	};

	(void)name;
	ini_group(ini, group, fields, G_N_ELEMENTS(fields));
	c->caps.hosts = (uint16_t)hosts;
	c->caps.rollout_sec = (uint32_t)rollout_sec;
	c->caps.lookup_ttl_sec = (uint32_t)ttl;
}

static void
read_region(const ini_t *ini, const char *group, const char *name, catalog_t *c)
{
	region_t row = {g_strdup(name)};

	check_name(ini, group, name);
	ini_group(ini, group, NULL, 0);
	g_array_append_val(c->regions, row);
}

static void
read_domain(const ini_t *ini, const char *group, const char *name, catalog_t *c)
{
	char *region = NULL;
	const ini_field_t fields[] = {
	    {"region", INI_STRING, TRUE, 1, NAME_MAX_CHARS, &region},
	};
	domain_t row = {g_strdup(name), ID_NONE};

	check_name(ini, group, name);
	ini_group(ini, group, fields, G_N_ELEMENTS(fields));
	row.region =
	    resolve(ini, group, "region", region, catalog_find_region, c);
	g_array_append_val(c->domains, row);
}

static void
read_link(const ini_t *ini, const char *group, const char *name, catalog_t *c)
{
	char **ends = g_strsplit(name, " ", -1);
	int64_t one_way = 0, bits = 0;
	const ini_field_t fields[] = {
	    {"one_way_ms", INI_NUMBER, TRUE, 0, 10000, &one_way},
	    {"bits_per_sec", INI_NUMBER, FALSE, 0, 1e15, &bits},
	};
	link_t row = {ID_NONE, ID_NONE, 0, 0};

	ini_group(ini, group, fields, G_N_ELEMENTS(fields));
	row.one_way_ms = (uint32_t)one_way;
	row.bits_per_sec = (uint64_t)bits;
	if (g_strv_length(ends) == 2) {
		row.from = catalog_find_region(c, ends[0]);
		row.to = catalog_find_region(c, ends[1]);
	}
	if (row.from == ID_NONE || row.to == ID_NONE || row.from == row.to)
		ini_error(ini, group, NULL,
		    "expected [link REGION REGION] with two regions of this "
		    "text");
	else
		g_array_append_val(c->links, row);
	g_strfreev(ends);
}

static void
read_service(
    const ini_t *ini, const char *group, const char *name, catalog_t *c)
{
	char *depends = NULL;
	int64_t timeout = 10000, typical = 0;
	service_t row = {0};
	const ini_field_t fields[] = {
	    {"depends", INI_STRING, FALSE, 0, 4096, &depends},
	    {"timeout_ms", INI_NUMBER, FALSE, 10, 3600000, &timeout},
	    {"typical_ms", INI_NUMBER, FALSE, 1, 3600000, &typical},
	    {"version", INI_STRING, TRUE, 1, NAME_MAX_CHARS, &row.version},
	};

	check_name(ini, group, name);
	ini_group(ini, group, fields, G_N_ELEMENTS(fields));
	row.name = g_strdup(name);
	row.timeout_ms = (uint32_t)timeout;
	row.typical_ms = (uint32_t)typical;
	row.depends = g_array_new(FALSE, FALSE, sizeof(service_id_t));
	g_array_append_val(c->services, row);
	/* config_text_check() resolves it when all services are known. */
	g_free(depends);
}

gboolean
address_is_valid(const char *address)
{
	const char *colon = strrchr(address, ':');
	unsigned char addr[sizeof(struct in_addr)];
	gboolean ok;
	char *host;

	if (colon == NULL ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, NULL, NULL))
		return FALSE;
	host = g_strndup(address, (gsize)(colon - address));
	ok = inet_pton(AF_INET, host, addr) == 1;
	g_free(host);
	return ok;
}

static void
read_endpoint(
    const ini_t *ini, const char *group, const char *name, catalog_t *c)
{
	char *service = NULL, *domain = NULL;
	int64_t slots = 0, connections = 300;
	endpoint_t row = {0};
	const ini_field_t fields[] = {
	    {"service", INI_STRING, TRUE, 1, NAME_MAX_CHARS, &service},
	    {"domain", INI_STRING, TRUE, 1, NAME_MAX_CHARS, &domain},
	    {"address", INI_STRING, TRUE, 1, NAME_MAX_CHARS, &row.address},
	    {"version", INI_STRING, FALSE, 1, NAME_MAX_CHARS, &row.version},
	    {"slots", INI_NUMBER, TRUE, 1, 10000, &slots},
	    {"connections", INI_NUMBER, FALSE, 1, 60000, &connections},
	};

	check_name(ini, group, name);
	ini_group(ini, group, fields, G_N_ELEMENTS(fields));
	row.name = g_strdup(name);
	row.service =
	    resolve(ini, group, "service", service, catalog_find_service, c);
	row.domain =
	    resolve(ini, group, "domain", domain, catalog_find_domain, c);
	if (row.address != NULL && !address_is_valid(row.address))
		ini_error(ini, group, "address",
		    "address: expected IP:PORT, found \"%s\"", row.address);
	if (row.version == NULL && row.service != ID_NONE)
		row.version =
		    g_strdup(catalog_service(c, row.service)->version);
	row.slots = (uint16_t)slots;
	row.connections = (uint16_t)connections;
	g_array_append_val(c->endpoints, row);
}

static void
read_route(const ini_t *ini, const char *group, const char *name, catalog_t *c)
{
	char *service = NULL, *access = NULL;
	route_t row = {0};
	const ini_field_t fields[] = {
	    {"service", INI_STRING, TRUE, 1, NAME_MAX_CHARS, &service},
	    {"method", INI_STRING, FALSE, 1, 16, &row.method},
	    {"prefix", INI_STRING, TRUE, 1, 1024, &row.prefix},
	    {"access", INI_STRING, TRUE, 1, 16, &access},
	    {"idempotent", INI_FLAG, TRUE, 0, 0, &row.idempotent},
	};

	check_name(ini, group, name);
	ini_group(ini, group, fields, G_N_ELEMENTS(fields));
	row.service =
	    resolve(ini, group, "service", service, catalog_find_service, c);
	if (row.method == NULL)
		row.method = g_strdup("*");
	if (row.prefix != NULL && row.prefix[0] != '/')
		ini_error(ini, group, "prefix",
		    "prefix: expected a path that begins with \"/\"");
	row.open = g_strcmp0(access, "open") == 0;
	if (access != NULL && !row.open && strcmp(access, "keyed") != 0)
		ini_error(ini, group, "access",
		    "access: expected open or keyed, found \"%s\"", access);
	g_free(access);
	if (row.prefix == NULL)
		row.prefix = g_strdup("/");
	g_array_append_val(c->routes, row);
}

static void
read_workspace(
    const ini_t *ini, const char *group, const char *name, catalog_t *c)
{
	workspace_t row = {g_strdup(name), 0, 0};
	const ini_field_t fields[] = {
	    {"rate", INI_DECIMAL, TRUE, 0.001, 1e7, &row.rate},
	    {"burst", INI_DECIMAL, TRUE, 1, 1e7, &row.burst},
	};

	check_name(ini, group, name);
	ini_group(ini, group, fields, G_N_ELEMENTS(fields));
	g_array_append_val(c->workspaces, row);
}

/* Kinds of groups, in the order in which they are read. */
static const struct {
	const char *kind;
	read_row_t read;
} kinds[] = {
    {"fleet", read_fleet},
    {"region", read_region},
    {"domain", read_domain},
    {"link", read_link},
    {"service", read_service},
    {"endpoint", read_endpoint},
    {"route", read_route},
    {"workspace", read_workspace},
};

static int
kind_of(const char *group)
{
	size_t len = strcspn(group, " ");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (strlen(kinds[i].kind) == len &&
		    strncmp(kinds[i].kind, group, len) == 0)
			return (int)i;
	}
	return -1;
}

static void
read_kind(const ini_t *ini, char **groups, int kind, catalog_t *c)
{
	const char *name;
	size_t i;

	for (i = 0; groups[i] != NULL; i++) {
		if (kind_of(groups[i]) != kind)
			continue;
		name = groups[i] + strlen(kinds[kind].kind);
		kinds[kind].read(
		    ini, groups[i], *name == ' ' ? name + 1 : "", c);
	}
}

static int
longest_prefix_first(const void *a, const void *b)
{
	const route_t *x = a, *y = b;
	size_t nx = strlen(x->prefix), ny = strlen(y->prefix);

	if (nx != ny)
		return nx < ny ? 1 : -1;
	/* A named method precedes "*". */
	return strcmp(y->method, x->method);
}

static void
read_groups(const ini_t *ini, catalog_t *c)
{
	char **groups = g_key_file_get_groups(ini->file, NULL);
	size_t i;

	for (i = 0; groups[i] != NULL; i++) {
		if (i > MAX_ROWS) {
			ini_error(ini, groups[i], NULL, "more than %d groups",
			    MAX_ROWS);
			break;
		}
		if (kind_of(groups[i]) < 0)
			ini_error(ini, groups[i], NULL, "unknown group [%s]",
			    groups[i]);
	}
	for (i = 0; i < G_N_ELEMENTS(kinds); i++)
		read_kind(ini, groups, (int)i, c);
	if (!g_key_file_has_group(ini->file, "fleet"))
		ini_error(ini, "fleet", NULL, "expected a group [fleet]");
	g_strfreev(groups);
}

int
config_text_parse(
    catalog_t *c, const char *name, const char *text, GPtrArray *errors)
{
	guint before = errors->len;
	ini_t ini;

	c->caps = (caps_t){
	    .hosts = 10,
	    .shift_cap = 0.3,
	    .rollout_cap = 0.05,
	    .rollout_sec = 3600,
	    .lookup_ttl_sec = 30,
	    .spill_cap = 0.3,
	};
	ini_init(&ini, name, text, errors);
	if (ini.readable) {
		read_groups(&ini, c);
		config_text_check(&ini, c);
	}
	g_array_sort(c->routes, longest_prefix_first);
	ini_finish(&ini);
	return errors->len == before ? 0 : -1;
}
