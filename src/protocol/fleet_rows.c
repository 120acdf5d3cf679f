#include <string.h>

#include <jansson.h>
#include <sodium.h>

#include "base/error.h"
#include "protocol/config_text.h"
#include "protocol/fleet_rows.h"

/* Upper bounds on what a row says. */
#define STORE_TIME_MAX_MS (INT64_C(1) << 53)
#define SHIFT_MAX_MS (INT64_C(30) * 24 * 3600 * MSEC_PER_SEC)
#define STRENGTH_MAX 64

static char *
dump(json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT), *copy = g_strdup(text);

	free(text);
	json_decref(root);
	return copy;
}

char *
fleet_rows_host(const fleet_row_t *row, const fleet_host_times_t *times)
{
	return dump(json_pack("{s:s, s:s, s:s, s:s, s:I, s:i, s:I, s:I}",
	    "callers", row->callers, "peer", row->peer, "region", row->region,
	    "domain", row->domain, "incarnation", (json_int_t)row->incarnation,
	    "strength", (int)row->strength, "joined_ms",
	    (json_int_t)times->joined_ms, "left_ms",
	    (json_int_t)times->left_ms));
}

char *
fleet_rows_shift(const shift_row_t *row)
{
	json_t *root = json_pack("{s:s, s:I, s:I, s:i}", "to", row->to, "began",
	    (json_int_t)row->began, "duration_ms", (json_int_t)row->duration_ms,
	    "state", (int)row->state);

	if (row->withdrawn != NULL)
		json_object_set_new(
		    root, "withdrawn", json_string(row->withdrawn));
	return dump(root);
}

char *
fleet_rows_secret(const peer_secret_t *secret)
{
	char hex[2 * PEER_SECRET_BYTES + 1];

	sodium_bin2hex(hex, sizeof(hex), secret->bytes, sizeof(secret->bytes));
	return dump(json_pack("{s:s}", "secret", hex));
}

static gboolean
is_store_time(json_int_t ms)
{
	return ms >= 0 && ms <= STORE_TIME_MAX_MS;
}

static gboolean
read_host(json_t *root, fleet_rows_t *out)
{
	fleet_row_t *h = &out->u.host;
	json_int_t incarnation, joined = 0, left = 0;
	int strength = 0;

	h->name = out->name;
	if (json_unpack(root, "{s:s, s:s, s:s, s:s, s:I, s?i, s?I, s?I}",
		"callers", &h->callers, "peer", &h->peer, "region", &h->region,
		"domain", &h->domain, "incarnation", &incarnation, "strength",
		&strength, "joined_ms", &joined, "left_ms", &left) != 0 ||
	    !address_is_valid(h->callers) || !address_is_valid(h->peer) ||
	    strength < 0 || strength > STRENGTH_MAX ||
	    !is_store_time(incarnation) || !is_store_time(joined) ||
	    !is_store_time(left))
		return FALSE;
	/* A host of an older build has joined at its last start. */
	out->times.joined_ms = joined > 0 ? joined : incarnation;
	out->times.left_ms = left;
	h->strength = (guint)strength;
	h->incarnation = (uint64_t)incarnation;
	return TRUE;
}

static gboolean
read_shift(json_t *root, fleet_rows_t *out)
{
	json_int_t began, duration;
	const char *to;
	int state;

	if (json_unpack(root, "{s:s, s:I, s:I, s:i}", "to", &to, "began",
		&began, "duration_ms", &duration, "state", &state) != 0 ||
	    state < SHIFT_RUNNING || state > SHIFT_ROLLED_BACK ||
	    !is_store_time(began) || duration <= 0 || duration > SHIFT_MAX_MS)
		return FALSE;
	out->u.shift = (shift_row_t){.to = (char *)to,
	    .withdrawn =
		(char *)json_string_value(json_object_get(root, "withdrawn")),
	    .began = began,
	    .duration_ms = duration,
	    .state = (shift_state_t)state};
	return TRUE;
}

static gboolean
read_secret(json_t *root, fleet_rows_t *out)
{
	const char *hex;
	size_t len;

	return json_unpack(root, "{s:s}", "secret", &hex) == 0 &&
	    sodium_hex2bin(out->u.secret.bytes, PEER_SECRET_BYTES, hex,
		strlen(hex), NULL, &len, NULL) == 0 &&
	    len == PEER_SECRET_BYTES;
}

static void
classify_row(const table_row_t *row, fleet_rows_t *out)
{
	out->kind = FLEET_ROW_FOREIGN;
	out->name = row->key;
	if (strcmp(row->key, FLEET_KEY_SECRET) == 0) {
		out->kind = FLEET_ROW_SECRET;
	} else if (g_str_has_prefix(row->key, FLEET_KEY_HOST)) {
		out->kind = FLEET_ROW_HOST;
		out->name += strlen(FLEET_KEY_HOST);
	} else if (g_str_has_prefix(row->key, FLEET_KEY_SHIFT)) {
		out->kind = FLEET_ROW_SHIFT;
		out->name += strlen(FLEET_KEY_SHIFT);
	}
}

static gboolean
read_value(json_t *root, fleet_rows_t *out)
{
	switch (out->kind) {
	case FLEET_ROW_HOST:
		return read_host(root, out);
	case FLEET_ROW_SHIFT:
		return read_shift(root, out);
	case FLEET_ROW_SECRET:
		return read_secret(root, out);
	case FLEET_ROW_FOREIGN:
		break;
	}
	return TRUE;
}

gboolean
fleet_rows_decode(const table_row_t *row, fleet_rows_t *out, GError **err)
{
	json_error_t why = {0};
	json_t *root;

	memset(out, 0, sizeof(*out));
	classify_row(row, out);
	out->removed = row->value == NULL;
	if (out->removed || out->kind == FLEET_ROW_FOREIGN)
		return TRUE;
	root = json_loadb(row->value, row->len, JSON_REJECT_DUPLICATES, &why);
	if (root == NULL || !read_value(root, out)) {
		error_set(err, ERROR_INVALID, "row.decode", row->key, "%s",
		    root == NULL ? why.text : "a member is missing or invalid");
		json_decref(root);
		return FALSE;
	}
	if (out->kind == FLEET_ROW_HOST)
		out->u.host.row_ver = row->ver;
	out->memory = root;
	return TRUE;
}

void
fleet_rows_clear(fleet_rows_t *out)
{
	json_decref(out->memory);
}
