#include <inttypes.h>
#include <string.h>

#include <jansson.h>

#include "cmd/cli_print.h"

#define PATH_CHARS 256

static void
dump_json(FILE *out, json_t *j)
{
	json_dumpf(j, out, JSON_COMPACT);
	fputc('\n', out);
	json_decref(j);
}

/* A host's text is JSON or a message; a message becomes a JSON string. */
static json_t *
json_of_text(const char *text)
{
	json_t *j = json_loads(text, 0, NULL);

	return j != NULL ? j : json_string(text);
}

static void
print_answer_json(FILE *out, const cli_answer_t *a, const cli_key_text_t *key)
{
	json_t *j = json_object();

	json_object_set_new(
	    j, "outcome", json_string(cli_tally_word(&a->tally)));
	if (a->tally.state == CLI_STATE_ANSWERED) {
		json_object_set_new(
		    j, "version", json_integer((json_int_t)a->version));
		json_object_set_new(
		    j, "hosts_confirmed", json_integer(a->hosts_confirmed));
		json_object_set_new(
		    j, "hosts_total", json_integer(a->hosts_total));
		json_object_set_new(j, "host", json_string(a->host));
	}
	if (a->text != NULL && *a->text != '\0')
		json_object_set_new(j, "text", json_of_text(a->text));
	if (key->key != NULL)
		json_object_set_new(j, "key", json_string(key->key));
	if (key->digest != NULL)
		json_object_set_new(j, "digest", json_string(key->digest));
	dump_json(out, j);
}

void
cli_print_answer(
    FILE *out, gboolean json, const cli_answer_t *a, const cli_key_text_t *key)
{
	if (json) {
		print_answer_json(out, a, key);
		return;
	}
	fputs(cli_tally_word(&a->tally), out);
	if (a->tally.state == CLI_STATE_ANSWERED) {
		if (a->version != 0)
			fprintf(out, ": version %" PRIu64, a->version);
		if (a->hosts_total != 0)
			fprintf(out, ": on %u of %u hosts", a->hosts_confirmed,
			    a->hosts_total);
	}
	if (a->text != NULL && *a->text != '\0')
		fprintf(out, ": %s", a->text);
	if (key->digest != NULL)
		fprintf(out, ": digest %s", key->digest);
	fputc('\n', out);
}

static void
print_leaf(FILE *out, const char *path, json_t *j)
{
	char *text;

	if (json_is_string(j)) {
		fprintf(out, "%s %s\n", path, json_string_value(j));
		return;
	}
	text = json_dumps(j, JSON_ENCODE_ANY | JSON_COMPACT);
	fprintf(out, "%s %s\n", path, text);
	free(text);
}

static void
print_leaves(FILE *out, const char *path, json_t *j)
{
	const char *dot = *path != '\0' ? "." : "";
	char child_path[PATH_CHARS];
	const char *key;
	json_t *member;
	size_t i;

	if (json_is_object(j)) {
		json_object_foreach(j, key, member)
		{
			g_snprintf(child_path, sizeof(child_path), "%s%s%s",
			    path, dot, key);
			print_leaves(out, child_path, member);
		}
	} else if (json_is_array(j)) {
		json_array_foreach(j, i, member)
		{
			g_snprintf(child_path, sizeof(child_path), "%s%s%zu",
			    path, dot, i);
			print_leaves(out, child_path, member);
		}
	} else {
		print_leaf(out, path, j);
	}
}

void
cli_print_state(FILE *out, gboolean json, const char *text)
{
	json_t *j = json ? NULL : json_loads(text, 0, NULL);

	if (j != NULL)
		print_leaves(out, "", j);
	else
		fprintf(out, "%s\n", text);
	json_decref(j);
}

static json_t *
json_of_strings(const GPtrArray *lines)
{
	json_t *list = json_array();
	guint i;

	for (i = 0; i < lines->len; i++)
		json_array_append_new(list, json_string(lines->pdata[i]));
	return list;
}

void
cli_print_check(FILE *out, gboolean json, const char *name,
    const GPtrArray *errors, const GPtrArray *warnings)
{
	guint i;

	if (json) {
		dump_json(out,
		    json_pack("{s:o, s:o}", "errors", json_of_strings(errors),
			"warnings", json_of_strings(warnings)));
		return;
	}
	for (i = 0; i < errors->len; i++)
		fprintf(out, "%s\n", (const char *)errors->pdata[i]);
	for (i = 0; i < warnings->len; i++)
		fprintf(out, "warning: %s\n", (const char *)warnings->pdata[i]);
	if (errors->len == 0)
		fprintf(out, "%s: ok\n", name);
}
