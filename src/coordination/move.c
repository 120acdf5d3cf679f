#include <string.h>

#include "coordination/move.h"

static const char *const kinds[] = {"shift", "drain", "rollout"};
static const char *const scopes[] = {
    "region", "domain", "endpoint", "host", "version"};
static const char *const states[] = {
    "running", "backing-out", "done", "taken-back"};
static const char *const reasons[] = {"none", "bad", "cancelled", "late"};

gboolean
move_is_final(const move_row_t *row)
{
	return row->state == MOVE_DONE || row->state == MOVE_TAKEN_BACK;
}

share_t
move_share(const move_row_t *row)
{
	return row->state == MOVE_TAKEN_BACK ? 0 : row->share;
}

const char *
move_kind_name(move_kind_t kind)
{
	return kinds[kind];
}

const char *
move_scope_name(move_scope_t scope)
{
	return scopes[scope];
}

const char *
move_state_name(move_state_t state)
{
	return states[state];
}

const char *
move_reason_name(move_reason_t reason)
{
	return reasons[reason];
}

static int
find(const char *const *words, size_t n, const char *word)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (strcmp(words[i], word) == 0)
			return (int)i;
	}
	return -1;
}

int
move_kind_parse(const char *word)
{
	return find(kinds, G_N_ELEMENTS(kinds), word);
}

int
move_scope_parse(const char *word)
{
	return find(scopes, G_N_ELEMENTS(scopes), word);
}

int
move_state_parse(const char *word)
{
	return find(states, G_N_ELEMENTS(states), word);
}

int
move_reason_parse(const char *word)
{
	return find(reasons, G_N_ELEMENTS(reasons), word);
}
