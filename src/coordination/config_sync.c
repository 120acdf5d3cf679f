#include <string.h>

#include "coordination/config_sync.h"

void
config_sync_init(config_sync_t *s)
{
	memset(s, 0, sizeof(*s));
	progress_init(&s->peers);
}

void
config_sync_finish(config_sync_t *s)
{
	progress_finish(&s->peers);
}

void
config_sync_peer_version(config_sync_t *s, replica_t peer, uint64_t version)
{
	progress_report(&s->peers, peer, version);
}

static gboolean
behind(const config_sync_t *s)
{
	return s->wanted.version > s->in_force.version &&
	    s->wanted.version != s->unusable;
}

/* A peer that has the wanted version in force; another one at each attempt. */
static const progress_row_t *
choose_peer(const config_sync_t *s)
{
	const GArray *rows = s->peers.rows;
	const progress_row_t *row;
	guint i;

	for (i = 0; i < rows->len; i++) {
		row = &g_array_index(
		    rows, progress_row_t, (i + s->attempt) % rows->len);
		if (row->version == s->wanted.version)
			return row;
	}
	return NULL;
}

/*
 * Starts a fetch. The first attempt goes to a peer, to spare the store, which
 * is a single one; then store and peers alternate.
 */
static void
fetch(config_sync_t *s, msec_t now, GArray *out)
{
	config_sync_action_t a = {.kind = CONFIG_SYNC_FETCH_STORE};
	const progress_row_t *row =
	    s->failures % 2 == 0 ? choose_peer(s) : NULL;

	s->fetching = TRUE;
	s->fetch_deadline = now + CONFIG_SYNC_FETCH_TIMEOUT_MS;
	a.attempt = ++s->attempt;
	a.ref = s->wanted;
	if (row != NULL) {
		a.kind = CONFIG_SYNC_FETCH_PEER;
		a.peer = row->replica;
	}
	g_array_append_val(out, a);
}

static gboolean
contradicts(const config_ref_t *a, const config_ref_t *b)
{
	return a->version == b->version &&
	    !digest_equal(&a->digest, &b->digest);
}

gboolean
config_sync_learn(
    config_sync_t *s, const config_ref_t *ref, msec_t now, GArray *out)
{
	if (ref->version == 0)
		return TRUE;
	if (contradicts(ref, &s->wanted) || contradicts(ref, &s->in_force))
		return FALSE;
	if (ref->version <= s->wanted.version)
		return TRUE;
	s->wanted = *ref;
	s->failures = 0;
	fetch(s, now, out);
	return TRUE;
}

static void
failed(config_sync_t *s, msec_t now)
{
	msec_t backoff = CONFIG_SYNC_BACKOFF_MIN_MS;
	uint32_t i;

	for (i = 0; i < s->failures && backoff < CONFIG_SYNC_BACKOFF_MAX_MS;
	     i++)
		backoff *= 2;
	s->failures++;
	s->fetching = FALSE;
	s->retry_at = now + backoff;
}

void
config_sync_fetch_failed(config_sync_t *s, uint32_t attempt, msec_t now)
{
	if (s->fetching && attempt == s->attempt)
		failed(s, now);
}

gboolean
config_sync_fetched(config_sync_t *s, uint32_t attempt, const void *text,
    size_t len, msec_t now, config_ref_t *ref)
{
	digest_t digest;

	if (!s->fetching || attempt != s->attempt)
		return FALSE;
	digest_of(text, len, &digest);
	if (!digest_equal(&digest, &s->wanted.digest)) {
		failed(s, now);
		return FALSE;
	}
	s->fetching = FALSE;
	*ref = s->wanted;
	return TRUE;
}

gboolean
config_sync_parsed(config_sync_t *s, const config_ref_t *ref, gboolean usable)
{
	if (!usable) {
		s->unusable = MAX(s->unusable, ref->version);
		return FALSE;
	}
	if (ref->version <= s->in_force.version)
		return FALSE;
	s->in_force = *ref;
	return TRUE;
}

void
config_sync_tick(config_sync_t *s, msec_t now, GArray *out)
{
	if (s->fetching && now >= s->fetch_deadline)
		failed(s, now);
	if (!s->fetching && behind(s) && now >= s->retry_at)
		fetch(s, now, out);
}
