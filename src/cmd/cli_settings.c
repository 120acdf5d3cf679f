#include <string.h>

#include "cmd/cli_settings.h"
#include "protocol/ini.h"
#include "protocol/config_text.h"

#define FILE_MAX_BYTES 65536
#define HOSTS_CHARS 16384
#define PATH_CHARS 4096

static void
check_groups(const ini_t *ini)
{
	char **names = g_key_file_get_groups(ini->file, NULL);
	size_t i;

	for (i = 0; names[i] != NULL; i++) {
		if (strcmp(names[i], "operator") != 0)
			ini_error(ini, names[i], NULL, "unknown group [%s]",
			    names[i]);
	}
	g_strfreev(names);
}

static void
read_operator(const ini_t *ini, char **hosts, char **secret_file)
{
	const ini_field_t fields[] = {
	    {"hosts", INI_STRING, FALSE, 1, HOSTS_CHARS, hosts},
	    {"secret_file", INI_STRING, FALSE, 1, PATH_CHARS, secret_file},
	};

	check_groups(ini);
	if (g_key_file_has_group(ini->file, "operator"))
		ini_group(ini, "operator", fields, G_N_ELEMENTS(fields));
	else
		ini_error(ini, "operator", NULL, "expected [operator]");
}

static void
read_file(
    const cli_options_t *o, char **hosts, char **secret_file, GPtrArray *errors)
{
	const char *path = o->config != NULL ? o->config : CLI_CONFIG_DEFAULT;
	GError *err = NULL;
	char *text = ini_read_file(path, FILE_MAX_BYTES, &err);
	ini_t ini;

	if (text == NULL) {
		g_ptr_array_add(errors, g_strdup(err->message));
		g_error_free(err);
		return;
	}
	ini_init(&ini, path, text, errors);
	if (ini.readable)
		read_operator(&ini, hosts, secret_file);
	ini_finish(&ini);
	g_free(text);
}

static char **
split_hosts(const char *hosts)
{
	GPtrArray *list = g_ptr_array_new();
	char **words = g_strsplit_set(hosts, " ,", -1);
	size_t i;

	for (i = 0; words[i] != NULL; i++) {
		if (*words[i] != '\0')
			g_ptr_array_add(list, words[i]);
		else
			g_free(words[i]);
	}
	g_free(words);
	g_ptr_array_add(list, NULL);
	return (char **)g_ptr_array_free(list, FALSE);
}

static void
check_hosts(const cli_settings_t *s, GPtrArray *errors)
{
	size_t i;

	if (s->hosts[0] == NULL)
		g_ptr_array_add(errors,
		    g_strdup("no host: expected --host or hosts = IP:PORT ..."
			     " in [operator]"));
	for (i = 0; s->hosts[i] != NULL; i++) {
		if (!address_is_valid(s->hosts[i]))
			g_ptr_array_add(errors,
			    g_strdup_printf(
				"host \"%s\": expected IP:PORT", s->hosts[i]));
	}
	if (s->secret_file == NULL)
		g_ptr_array_add(errors,
		    g_strdup("no secret: expected --secret-file or "
			     "secret_file in [operator]"));
}

gboolean
cli_settings_init(cli_settings_t *s, const cli_options_t *o, GPtrArray *errors)
{
	const char *host = o->verb == CLI_DUMP ? o->operand : o->host;
	guint before = errors->len;
	char *hosts = NULL;

	memset(s, 0, sizeof(*s));
	if (o->config != NULL || host == NULL || o->secret_file == NULL)
		read_file(o, &hosts, &s->secret_file, errors);
	if (host != NULL) {
		g_free(hosts);
		hosts = g_strdup(host);
	}
	if (o->secret_file != NULL) {
		g_free(s->secret_file);
		s->secret_file = g_strdup(o->secret_file);
	}
	s->hosts = split_hosts(hosts != NULL ? hosts : "");
	g_free(hosts);
	if (errors->len == before)
		check_hosts(s, errors);
	return errors->len == before;
}

void
cli_settings_finish(cli_settings_t *s)
{
	g_strfreev(s->hosts);
	g_free(s->secret_file);
	memset(s, 0, sizeof(*s));
}
