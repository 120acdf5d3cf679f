#include <string.h>

#include "gateway/gateway_settings.h"
#include "protocol/ini.h"
#include "protocol/config_text.h"
#include "transport/http_server.h"

#define FILE_MAX_BYTES 65536
#define NAME_CHARS 200
#define KIND_TABLE "table"

static const char *const groups[] = {
    "host", "store", "domains", "bounds", "limits", "usage", "log"};

/* Defaults for absent settings. With them a host exceeds none of the bounds. */
#define DEFAULT_DRAIN_SEC 6
#define DEFAULT_TTL_SEC 1
#define DEFAULT_WINDOW_SEC 5
#define DEFAULT_RETRY_RATIO 0.1
#define DEFAULT_COLD_OVERAGE 1.0
#define DEFAULT_MAX_CONNECTIONS 3000
#define DEFAULT_MAX_DESCRIPTORS 1000000
#define DEFAULT_BODY_MEMORY (64 * 1024 * 1024)
/* With the bodies, they fit into 260 MB: tests/test_gateway_memory.c. */
#define DEFAULT_ANSWER_MEMORY (48 * 1024 * 1024)
#define DEFAULT_REPLY_MEMORY (48 * 1024 * 1024)
#define DEFAULT_HEADER_BYTES 65536
/* A head of 16,384 bytes, the most that manifests allow, has fewer fields: the
 * shortest field takes 4 bytes, "a:" CR LF. */
#define DEFAULT_HEADER_FIELDS 4096
#define DEFAULT_LOG_LINES 200

#define DEFAULT_USAGE_WINDOW_SEC 5
#define DEFAULT_USAGE_LATE_SEC 10
#define DEFAULT_USAGE_LEASE_MS 3000
#define DEFAULT_USAGE_THAW_MS 300
#define DEFAULT_USAGE_CALLS_PER_SEC 50
#define DEFAULT_USAGE_TOLERANCE 0.05

/* Part of the tolerance of workspaces' rates that is lent. The rest covers
 * short times in which two regions compute different parts. */
#define RATES_LENT_PART 0.5
#define DEFAULT_LINK_MBPS 1000
#define DEFAULT_CPU_SHARE 1

gboolean
gateway_settings_match(const char *path)
{
	GKeyFile *file = g_key_file_new();
	char *kind = NULL;
	gboolean ok;

	if (g_key_file_load_from_file(file, path, G_KEY_FILE_NONE, NULL))
		kind = g_key_file_get_string(file, "store", "kind", NULL);
	ok = g_strcmp0(kind, KIND_TABLE) == 0;
	g_free(kind);
	g_key_file_free(file);
	return ok;
}

static void
read_host(gateway_settings_t *s, const ini_t *ini)
{
	double drain_sec = DEFAULT_DRAIN_SEC;
	const ini_field_t fields[] = {
	    {"id", INI_STRING, TRUE, 1, NAME_CHARS, &s->id},
	    {"region", INI_STRING, TRUE, 1, NAME_CHARS, &s->region},
	    {"failure_domain", INI_STRING, TRUE, 1, NAME_CHARS, &s->domain},
	    {"callers", INI_STRING, TRUE, 1, NAME_CHARS, &s->callers},
	    {"lookups", INI_STRING, TRUE, 1, NAME_CHARS, &s->lookups},
	    {"operators", INI_STRING, TRUE, 1, NAME_CHARS, &s->operators},
	    {"peers", INI_STRING, TRUE, 1, NAME_CHARS, &s->peers},
	    {"drain_sec", INI_DECIMAL, FALSE, 0.1, 3600, &drain_sec},
	};

	ini_group(ini, "host", fields, G_N_ELEMENTS(fields));
	ini_address(ini, "host", "callers", s->callers);
	ini_address(ini, "host", "lookups", s->lookups);
	ini_address(ini, "host", "operators", s->operators);
	ini_address(ini, "host", "peers", s->peers);
	s->drain_ms = (msec_t)(drain_sec * MSEC_PER_SEC);
}

static void
read_store(gateway_settings_t *s, const ini_t *ini)
{
	char *kind = NULL;
	const ini_field_t fields[] = {
	    {"kind", INI_STRING, TRUE, 1, NAME_CHARS, &kind},
	    {"address", INI_STRING, TRUE, 1, NAME_CHARS, &s->store},
	};

	ini_group(ini, "store", fields, G_N_ELEMENTS(fields));
	ini_address(ini, "store", "address", s->store);
	g_free(kind);
}

static void
read_domains(gateway_settings_t *s, const ini_t *ini)
{
	char **keys = g_key_file_get_keys(ini->file, "domains", NULL, NULL);
	char *region;
	size_t i;

	if (keys == NULL) {
		ini_error(ini, "domains", NULL,
		    "[domains] is missing: failure_domain = region");
		return;
	}
	for (i = 0; keys[i] != NULL; i++) {
		region =
		    g_key_file_get_string(ini->file, "domains", keys[i], NULL);
		if (region == NULL || *region == '\0') {
			ini_error(
			    ini, "domains", keys[i], "%s: no region", keys[i]);
			g_free(region);
			continue;
		}
		g_hash_table_insert(s->regions, g_strdup(keys[i]), region);
	}
	g_strfreev(keys);
}

static void
read_bounds(gateway_settings_t *s, const ini_t *ini)
{
	double ttl_sec = DEFAULT_TTL_SEC, window_sec = DEFAULT_WINDOW_SEC;
	const ini_field_t fields[] = {
	    {"rate_overage", INI_DECIMAL, FALSE, 0, 10, &s->rates.overage},
	    {"rate_slack", INI_DECIMAL, FALSE, 0, 1e6, &s->rates.slack},
	    {"rate_window_sec", INI_DECIMAL, FALSE, 0.1, 3600, &window_sec},
	    {"retry_ratio", INI_DECIMAL, FALSE, 0, 10,
		&s->dispatch.retry_ratio},
	    {"retry_extra", INI_DECIMAL, FALSE, 0, 1e6,
		&s->dispatch.retry_extra},
	    {"cold_overage", INI_DECIMAL, FALSE, 0, 100,
		&s->dispatch.cold.overage},
	    {"cold_slack", INI_DECIMAL, FALSE, 0, 1e6, &s->dispatch.cold.slack},
	    {"lookup_ttl_sec", INI_DECIMAL, FALSE, 0.1, 3600, &ttl_sec},
	};

	s->dispatch.retry_ratio = DEFAULT_RETRY_RATIO;
	s->dispatch.cold.overage = DEFAULT_COLD_OVERAGE;
	if (g_key_file_has_group(ini->file, "bounds"))
		ini_group(ini, "bounds", fields, G_N_ELEMENTS(fields));
	s->rates.window_ms = (msec_t)(window_sec * MSEC_PER_SEC);
	s->rates.lent_part = RATES_LENT_PART;
	s->lookup_ttl_ms = (msec_t)(ttl_sec * MSEC_PER_SEC);
}

static void
read_limits(gateway_settings_t *s, const ini_t *ini)
{
	const ini_field_t fields[] = {
	    {"memory_mb", INI_NUMBER, FALSE, 32, 1e7, &s->memory_mb},
	    {"max_connections", INI_NUMBER, FALSE, 1, 1e6, &s->max_connections},
	    {"max_descriptors", INI_NUMBER, FALSE, 64, 1e7,
		&s->max_descriptors},
	    {"body_memory_bytes", INI_NUMBER, FALSE, 1e5, 1e11,
		&s->body_memory_bytes},
	    {"answer_memory_bytes", INI_NUMBER, FALSE, 1e5, 1e11,
		&s->answer_memory_bytes},
	    {"reply_memory_bytes", INI_NUMBER, FALSE, 1e5, 1e11,
		&s->reply_memory_bytes},
	    {"request_memory_bytes", INI_NUMBER, FALSE, 1e5, 1e11,
		&s->request_memory_bytes},
	    {"max_header_bytes", INI_NUMBER, FALSE, 1024, 1e6,
		&s->max_header_bytes},
	    {"max_header_fields", INI_NUMBER, FALSE, 16, 1e5,
		&s->max_header_fields},
	    {"link_mbps", INI_DECIMAL, FALSE, 0.1, 1e6, &s->link_mbps},
	    {"cpu_share", INI_DECIMAL, FALSE, 0.001, 1000, &s->cpu_share},
	};

	if (g_key_file_has_group(ini->file, "limits"))
		ini_group(ini, "limits", fields, G_N_ELEMENTS(fields));
}

/* The platform fills the settings in, so a flag may be spelled in several ways.
 */
static void
read_fenced(gateway_settings_t *s, const ini_t *ini, const char *text)
{
	static const char *const yes[] = {"true", "yes", "1", NULL};
	static const char *const no[] = {"false", "no", "0", NULL};
	char *lower;

	if (text == NULL)
		return;
	lower = g_ascii_strdown(text, -1);
	s->usage.fenced = g_strv_contains(yes, lower);
	if (!s->usage.fenced && !g_strv_contains(no, lower))
		ini_error(ini, "usage", "fencing_enforced",
		    "fencing_enforced: expected true or false, found \"%s\"",
		    text);
	g_free(lower);
}

static void
read_usage(gateway_settings_t *s, const ini_t *ini)
{
	usage_settings_t *u = &s->usage;
	double window_sec = DEFAULT_USAGE_WINDOW_SEC;
	double late_sec = DEFAULT_USAGE_LATE_SEC;
	double lease_ms = DEFAULT_USAGE_LEASE_MS;
	double thaw_ms = DEFAULT_USAGE_THAW_MS;
	char *fenced = NULL;
	const ini_field_t fields[] = {
	    {"address", INI_STRING, FALSE, 1, NAME_CHARS, &u->address},
	    {"window_sec", INI_DECIMAL, FALSE, 0.5, 3600, &window_sec},
	    {"late_sec", INI_DECIMAL, FALSE, 1, 3600, &late_sec},
	    {"lease_ms", INI_DECIMAL, FALSE, 500, 60000, &lease_ms},
	    {"thaw_slack_ms", INI_DECIMAL, FALSE, 0, 60000, &thaw_ms},
	    {"calls_per_sec", INI_DECIMAL, FALSE, 0.1, 1e6, &u->calls_per_sec},
	    {"tolerance", INI_DECIMAL, FALSE, 0, 1, &u->tolerance},
	    {"fencing_enforced", INI_STRING, FALSE, 1, NAME_CHARS, &fenced},
	};

	u->calls_per_sec = DEFAULT_USAGE_CALLS_PER_SEC;
	u->tolerance = DEFAULT_USAGE_TOLERANCE;
	if (!g_key_file_has_group(ini->file, "usage"))
		return;
	ini_group(ini, "usage", fields, G_N_ELEMENTS(fields));
	if (u->address != NULL)
		ini_address(ini, "usage", "address", u->address);
	u->window_ms = (msec_t)(window_sec * MSEC_PER_SEC);
	u->late_ms = (msec_t)(late_sec * MSEC_PER_SEC);
	u->lease_ms = (msec_t)lease_ms;
	u->thaw_slack_ms = (msec_t)thaw_ms;
	read_fenced(s, ini, fenced);
	g_free(fenced);
}

static void
read_log(gateway_settings_t *s, const ini_t *ini)
{
	char *level = NULL;
	const ini_field_t fields[] = {
	    {"level", INI_STRING, FALSE, 1, NAME_CHARS, &level},
	    {"lines_per_sec", INI_NUMBER, FALSE, 1, 1e6, &s->log_lines},
	};

	if (!g_key_file_has_group(ini->file, "log"))
		return;
	ini_group(ini, "log", fields, G_N_ELEMENTS(fields));
	ini_log_level(ini, "log", "level", level, &s->log_level);
	g_free(level);
}

gboolean
gateway_settings_init(
    gateway_settings_t *s, const char *path, GPtrArray *errors)
{
	guint before = errors->len;
	ini_t ini;

	memset(s, 0, sizeof(*s));
	s->regions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->log_level = LOG_INFO;
	s->log_lines = DEFAULT_LOG_LINES;
	s->max_connections = DEFAULT_MAX_CONNECTIONS;
	s->max_descriptors = DEFAULT_MAX_DESCRIPTORS;
	s->body_memory_bytes = DEFAULT_BODY_MEMORY;
	s->answer_memory_bytes = DEFAULT_ANSWER_MEMORY;
	s->reply_memory_bytes = DEFAULT_REPLY_MEMORY;
	s->request_memory_bytes = HTTP_SERVER_REQUEST_MEMORY_BYTES;
	s->max_header_bytes = DEFAULT_HEADER_BYTES;
	s->max_header_fields = DEFAULT_HEADER_FIELDS;
	s->link_mbps = DEFAULT_LINK_MBPS;
	s->cpu_share = DEFAULT_CPU_SHARE;
	if (!ini_open(&ini, path, FILE_MAX_BYTES, errors))
		return FALSE;
	if (ini.readable) {
		ini_groups(&ini, groups, G_N_ELEMENTS(groups));
		read_host(s, &ini);
		read_store(s, &ini);
		read_domains(s, &ini);
		read_bounds(s, &ini);
		read_limits(s, &ini);
		read_usage(s, &ini);
		read_log(s, &ini);
	}
	ini_finish(&ini);
	return errors->len == before;
}

void
gateway_settings_finish(gateway_settings_t *s)
{
	g_free(s->id);
	g_free(s->region);
	g_free(s->domain);
	g_free(s->callers);
	g_free(s->lookups);
	g_free(s->operators);
	g_free(s->peers);
	g_free(s->store);
	g_free(s->usage.address);
	g_hash_table_destroy(s->regions);
	memset(s, 0, sizeof(*s));
}

gboolean
gateway_settings_reload(
    gateway_settings_t *s, const char *path, GPtrArray *errors)
{
	gateway_settings_t fresh;
	gboolean ok = gateway_settings_init(&fresh, path, errors);

	if (ok) {
		s->rates = fresh.rates;
		s->dispatch = fresh.dispatch;
		s->lookup_ttl_ms = fresh.lookup_ttl_ms;
		s->drain_ms = fresh.drain_ms;
		s->log_level = fresh.log_level;
		s->log_lines = fresh.log_lines;
	}
	gateway_settings_finish(&fresh);
	return ok;
}
