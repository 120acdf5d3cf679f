#include <string.h>

#include <jansson.h>

#include "base/error.h"
#include "protocol/move_json.h"

char *
move_json_encode(const move_row_t *r)
{
	json_t *j = json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:s}", "id", r->id,
	    "kind", move_kind_name(r->kind), "scope", move_scope_name(r->scope),
	    "service", r->service, "from", r->from, "to", r->to, "state",
	    move_state_name(r->state), "reason", move_reason_name(r->reason));
	json_t *n = json_pack("{s:I,s:I,s:I,s:I,s:I,s:b,s:b,s:I,s:I,s:I,s:I}",
	    "step", (json_int_t)r->step, "share", (json_int_t)r->share, "goal",
	    (json_int_t)r->goal, "cap", (json_int_t)r->cap, "step_cap",
	    (json_int_t)r->step_cap, "proven", r->proven, "late", r->late,
	    "created_ms", (json_int_t)r->created_wall, "deadline_ms",
	    (json_int_t)r->deadline_wall, "epoch", (json_int_t)r->epoch,
	    "token", (json_int_t)r->token);
	char *text;

	json_object_update(j, n);
	text = json_dumps(j, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(n);
	json_decref(j);
	return text;
}

static void
invalid(GError **err, const char *field, const char *expected)
{
	/* Only the first error is reported. */
	if (err != NULL && *err == NULL)
		error_set(err, ERROR_INVALID, "store.row", "-",
		    "field %s: expected %s", field, expected);
}

static gboolean
read_text(
    const json_t *j, const char *field, char *out, size_t max, GError **err)
{
	const char *text = json_string_value(json_object_get(j, field));

	if (text != NULL && strlen(text) < max) {
		g_strlcpy(out, text, max);
		return TRUE;
	}
	invalid(err, field, "a short string");
	return FALSE;
}

static gboolean
read_number(
    const json_t *j, const char *field, int64_t max, int64_t *out, GError **err)
{
	const json_t *n = json_object_get(j, field);

	if (json_is_integer(n) && json_integer_value(n) >= 0 &&
	    json_integer_value(n) <= max) {
		*out = json_integer_value(n);
		return TRUE;
	}
	invalid(err, field, "a number in its range");
	return FALSE;
}

static gboolean
read_bool(const json_t *j, const char *field, gboolean *out, GError **err)
{
	const json_t *b = json_object_get(j, field);

	if (json_is_boolean(b)) {
		*out = json_is_true(b);
		return TRUE;
	}
	invalid(err, field, "true or false");
	return FALSE;
}

static gboolean
read_enum(const json_t *j, const char *field, int (*parse)(const char *),
    int *out, GError **err)
{
	const char *text = json_string_value(json_object_get(j, field));

	*out = text != NULL ? parse(text) : -1;
	if (*out >= 0)
		return TRUE;
	invalid(err, field, "one of its known values");
	return FALSE;
}

static gboolean
read_enums(const json_t *j, move_row_t *row, GError **err)
{
	int kind = 0, scope = 0, state = 0, reason = 0;

	if (!read_enum(j, "kind", move_kind_parse, &kind, err) ||
	    !read_enum(j, "scope", move_scope_parse, &scope, err) ||
	    !read_enum(j, "state", move_state_parse, &state, err) ||
	    !read_enum(j, "reason", move_reason_parse, &reason, err))
		return FALSE;
	row->kind = (move_kind_t)kind;
	row->scope = (move_scope_t)scope;
	row->state = (move_state_t)state;
	row->reason = (move_reason_t)reason;
	return TRUE;
}

static gboolean
read_numbers(const json_t *j, move_row_t *row, GError **err)
{
	int64_t step = 0, share = 0, goal = 0, cap = 0, step_cap = 0;
	int64_t epoch = 0, token = 0;

	if (!read_number(j, "step", UINT32_MAX, &step, err) ||
	    !read_number(j, "share", SHARE_ONE, &share, err) ||
	    !read_number(j, "goal", SHARE_ONE, &goal, err) ||
	    !read_number(j, "cap", SHARE_ONE, &cap, err) ||
	    !read_number(j, "step_cap", SHARE_ONE, &step_cap, err) ||
	    !read_number(j, "created_ms", INT64_MAX, &row->created_wall, err) ||
	    !read_number(
		j, "deadline_ms", INT64_MAX, &row->deadline_wall, err) ||
	    !read_number(j, "epoch", INT64_MAX, &epoch, err) ||
	    !read_number(j, "token", INT64_MAX, &token, err))
		return FALSE;
	row->step = (uint32_t)step;
	row->share = (share_t)share;
	row->goal = (share_t)goal;
	row->cap = (share_t)cap;
	row->step_cap = (share_t)step_cap;
	row->epoch = (uint64_t)epoch;
	row->token = (uint64_t)token;
	return TRUE;
}

static json_t *
parse(const char *text, GError **err)
{
	json_error_t why;
	json_t *j = json_loads(text, JSON_REJECT_DUPLICATES, &why);

	if (json_is_object(j))
		return j;
	json_decref(j);
	error_set(err, ERROR_INVALID, "store.row", "-", "not a JSON object");
	return NULL;
}

gboolean
move_json_decode(const char *text, move_row_t *row, GError **err)
{
	move_row_t r = {0};
	gboolean ok;
	json_t *j = parse(text, err);

	if (j == NULL)
		return FALSE;
	ok = read_text(j, "id", r.id, sizeof(r.id), err) &&
	    read_text(j, "service", r.service, sizeof(r.service), err) &&
	    read_text(j, "from", r.from, sizeof(r.from), err) &&
	    read_text(j, "to", r.to, sizeof(r.to), err) &&
	    read_enums(j, &r, err) && read_numbers(j, &r, err) &&
	    read_bool(j, "proven", &r.proven, err) &&
	    read_bool(j, "late", &r.late, err);
	json_decref(j);
	if (ok)
		*row = r;
	return ok;
}

static char *
dump_and_free(json_t *j)
{
	char *text = json_dumps(j, JSON_COMPACT | JSON_SORT_KEYS);

	json_decref(j);
	return text;
}

char *
lease_json_fence(const lease_row_t *row)
{
	return dump_and_free(json_pack("{s:s,s:I,s:I,s:b}", "holder",
	    row->holder, "incarnation", (json_int_t)row->incarnation, "epoch",
	    (json_int_t)row->epoch, "released", row->released));
}

char *
lease_json_renewal(const lease_row_t *row)
{
	return dump_and_free(json_pack("{s:I,s:I}", "epoch",
	    (json_int_t)row->epoch, "token", (json_int_t)row->token));
}

static gboolean
read_fence(const char *text, lease_row_t *row, GError **err)
{
	int64_t incarnation = 0, epoch = 0;
	json_t *j = parse(text, err);
	gboolean ok;

	if (j == NULL)
		return FALSE;
	ok = read_text(j, "holder", row->holder, sizeof(row->holder), err) &&
	    read_number(j, "incarnation", INT64_MAX, &incarnation, err) &&
	    read_number(j, "epoch", INT64_MAX, &epoch, err) &&
	    read_bool(j, "released", &row->released, err);
	json_decref(j);
	row->incarnation = (uint64_t)incarnation;
	row->epoch = (uint64_t)epoch;
	return ok;
}

static gboolean
read_renewal(const char *text, lease_row_t *row, GError **err)
{
	json_t *j = parse(text, err);
	int64_t epoch = 0, token = 0;
	gboolean ok;

	if (j == NULL)
		return FALSE;
	ok = read_number(j, "epoch", INT64_MAX, &epoch, err) &&
	    read_number(j, "token", INT64_MAX, &token, err);
	json_decref(j);
	/* A token of another epoch is not valid in this one. */
	row->token = (uint64_t)epoch == row->epoch ? (uint64_t)token : 0;
	return ok;
}

gboolean
lease_json_decode(
    const char *fence, const char *renewal, lease_row_t *row, GError **err)
{
	memset(row, 0, sizeof(*row));
	if (fence != NULL && !read_fence(fence, row, err))
		return FALSE;
	return renewal == NULL || read_renewal(renewal, row, err);
}
