#include <string.h>

#include "host/settings.h"
#include "protocol/ini.h"
#include "protocol/config_text.h"
#include "transport/http_server.h"

#define FILE_MAX_BYTES 65536
#define NAME_CHARS 64
#define PATH_CHARS 4096
#define DEFAULT_HEADER_BYTES 32768

static const char *const groups[] = {
    "host", "store", "fleet", "limits", "tls", "measure", "log"};

static void
read_host(settings_t *s, const ini_t *ini)
{
	gint64 drain_sec = 60;
	const ini_field_t fields[] = {
	    {"id", INI_STRING, TRUE, 1, NAME_CHARS, &s->id},
	    {"region", INI_STRING, TRUE, 1, NAME_CHARS, &s->region},
	    {"failure_domain", INI_STRING, TRUE, 1, NAME_CHARS, &s->domain},
	    {"callers", INI_STRING, TRUE, 1, NAME_CHARS, &s->callers},
	    {"rpc", INI_STRING, TRUE, 1, NAME_CHARS, &s->rpc},
	    {"operators", INI_STRING, TRUE, 1, NAME_CHARS, &s->operators},
	    {"drain_sec", INI_NUMBER, FALSE, 1, 3600, &drain_sec},
	};

	ini_group(ini, "host", fields, G_N_ELEMENTS(fields));
	ini_address(ini, "host", "callers", s->callers);
	ini_address(ini, "host", "rpc", s->rpc);
	ini_address(ini, "host", "operators", s->operators);
	s->drain_ms = drain_sec * 1000;
}

static void
read_store(settings_t *s, const ini_t *ini)
{
	char *kind = NULL;
	gint64 mark_sec = 3600;
	const ini_field_t fields[] = {
	    {"kind", INI_STRING, FALSE, 1, NAME_CHARS, &kind},
	    {"address", INI_STRING, TRUE, 1, NAME_CHARS, &s->store},
	    {"mark_sec", INI_NUMBER, FALSE, 1, 3600, &mark_sec},
	};

	ini_group(ini, "store", fields, G_N_ELEMENTS(fields));
	s->mark_ms = mark_sec * 1000;
	ini_address(ini, "store", "address", s->store);
	if (kind != NULL && strcmp(kind, "json") != 0)
		ini_error(ini, "store", "kind",
		    "kind: expected json, found \"%s\"", kind);
	g_free(kind);
}

static void
read_fleet(settings_t *s, const ini_t *ini)
{
	const ini_field_t fields[] = {
	    {"secret_file", INI_STRING, TRUE, 1, PATH_CHARS, &s->secret_file},
	};

	ini_group(ini, "fleet", fields, G_N_ELEMENTS(fields));
}

static void
read_limits(settings_t *s, const ini_t *ini)
{
	const ini_field_t fields[] = {
	    {"memory_mb", INI_NUMBER, FALSE, 32, 1e7, &s->memory_mb},
	    {"max_body_bytes", INI_NUMBER, FALSE, 0, 1e9, &s->max_body_bytes},
	    {"body_memory_bytes", INI_NUMBER, FALSE, 1e5, 1e11,
		&s->body_memory_bytes},
	    {"max_connections", INI_NUMBER, FALSE, 1, 60000,
		&s->max_connections},
	    {"request_memory_bytes", INI_NUMBER, FALSE, 1e5, 1e11,
		&s->request_memory_bytes},
	    {"max_header_bytes", INI_NUMBER, FALSE, 1024, 1e6,
		&s->max_header_bytes},
	    {"max_header_fields", INI_NUMBER, FALSE, 16, 1e5,
		&s->max_header_fields},
	    {"max_queue", INI_NUMBER, FALSE, 0, 60000, &s->max_queue},
	};

	if (g_key_file_has_group(ini->file, "limits"))
		ini_group(ini, "limits", fields, G_N_ELEMENTS(fields));
}

static void
read_tls(settings_t *s, const ini_t *ini)
{
	const ini_field_t fields[] = {
	    {"certificate", INI_STRING, TRUE, 1, PATH_CHARS, &s->certificate},
	    {"key", INI_STRING, TRUE, 1, PATH_CHARS, &s->key},
	};

	if (g_key_file_has_group(ini->file, "tls"))
		ini_group(ini, "tls", fields, G_N_ELEMENTS(fields));
}

static void
read_measure(settings_t *s, const ini_t *ini)
{
	char *policy = NULL;
	const ini_field_t fields[] = {
	    {"policy", INI_STRING, TRUE, 1, NAME_CHARS, &policy},
	};

	if (!g_key_file_has_group(ini->file, "measure"))
		return;
	ini_group(ini, "measure", fields, G_N_ELEMENTS(fields));
	s->baseline = g_strcmp0(policy, "baseline") == 0;
	if (policy != NULL && !s->baseline && strcmp(policy, "chosen") != 0)
		ini_error(ini, "measure", "policy",
		    "policy: expected chosen or baseline, found \"%s\"",
		    policy);
	g_free(policy);
}

static void
read_log(settings_t *s, const ini_t *ini)
{
	char *level = NULL;
	const ini_field_t fields[] = {
	    {"level", INI_STRING, FALSE, 1, NAME_CHARS, &level},
	};

	if (!g_key_file_has_group(ini->file, "log"))
		return;
	ini_group(ini, "log", fields, G_N_ELEMENTS(fields));
	ini_log_level(ini, "log", "level", level, &s->log_level);
	g_free(level);
}

gboolean
settings_init(settings_t *s, const char *path, GPtrArray *errors)
{
	guint before = errors->len;
	ini_t ini;

	memset(s, 0, sizeof(*s));
	s->log_level = LOG_INFO;
	s->max_body_bytes = 8 * 1024 * 1024;
	s->body_memory_bytes = 64 * 1024 * 1024;
	s->max_connections = 2000;
	s->request_memory_bytes = HTTP_SERVER_REQUEST_MEMORY_BYTES;
	s->max_header_bytes = DEFAULT_HEADER_BYTES;
	s->max_header_fields = HTTP_SERVER_HEAD_FIELDS;
	s->max_queue = 256;
	if (!ini_open(&ini, path, FILE_MAX_BYTES, errors))
		return FALSE;
	if (ini.readable) {
		ini_groups(&ini, groups, G_N_ELEMENTS(groups));
		read_host(s, &ini);
		read_store(s, &ini);
		read_fleet(s, &ini);
		read_limits(s, &ini);
		read_tls(s, &ini);
		read_measure(s, &ini);
		read_log(s, &ini);
	}
	ini_finish(&ini);
	return errors->len == before;
}

void
settings_finish(settings_t *s)
{
	g_free(s->id);
	g_free(s->region);
	g_free(s->domain);
	g_free(s->callers);
	g_free(s->rpc);
	g_free(s->operators);
	g_free(s->store);
	g_free(s->secret_file);
	g_free(s->certificate);
	g_free(s->key);
	memset(s, 0, sizeof(*s));
}
