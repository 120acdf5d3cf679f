#include <string.h>

#include "coordination/freshness.h"

void
freshness_init(freshness_t *f)
{
	memset(f, 0, sizeof(*f));
	f->scan_basis = FRESH_NEVER;
	f->relay_basis = FRESH_NEVER;
	f->promise_basis = FRESH_NEVER;
}

void
freshness_joined(freshness_t *f, uint64_t version)
{
	f->joined = MAX(f->joined, version);
}

void
freshness_require(freshness_t *f, uint64_t version)
{
	f->required_version = MAX(f->required_version, version);
}

gboolean
freshness_loaded(const freshness_t *f, const keys_t *keys)
{
	return !f->stopped && f->joined != 0 &&
	    keys_complete(keys) >= f->joined;
}

void
freshness_scanned(freshness_t *f, const keys_t *keys, msec_t sent)
{
	if (freshness_loaded(f, keys))
		f->scan_basis = MAX(f->scan_basis, sent);
}

void
freshness_relayed(freshness_t *f, const keys_t *keys, msec_t sent, msec_t age,
    uint64_t version)
{
	if (age < 0 || age > FRESH_MS || !freshness_loaded(f, keys))
		return;
	if (keys_complete(keys) >= version)
		f->relay_basis = MAX(f->relay_basis, sent - age);
}

void
freshness_promised(freshness_t *f, const keys_t *keys, msec_t since)
{
	if (freshness_loaded(f, keys) &&
	    keys_complete(keys) >= f->required_version)
		f->promise_basis = MAX(f->promise_basis, since);
}

void
freshness_stop(freshness_t *f)
{
	f->stopped = TRUE;
}

msec_t
freshness_until(const freshness_t *f)
{
	msec_t store = MAX(f->scan_basis, f->relay_basis);

	if (f->stopped)
		return FRESH_NEVER;
	return MAX(store, f->promise_basis) + FRESH_MS;
}

gboolean
freshness_ok(const freshness_t *f, msec_t now)
{
	return now < freshness_until(f);
}

msec_t
freshness_scan_age(const freshness_t *f, msec_t now)
{
	msec_t age = now - f->scan_basis;

	return f->stopped || age >= FRESH_MS ? -1 : age;
}

key_verdict_t
keys_check(const keys_t *keys, const freshness_t *f, const digest_t *digest,
    msec_t now)
{
	const key_entry_t *e = keys_find(keys, digest);
	key_verdict_t v = {KEY_UNKNOWN, NULL};

	if (e != NULL && e->withdrawn) {
		v.kind = KEY_WITHDRAWN;
	} else if (!freshness_ok(f, now)) {
		v.kind = KEY_NOT_FRESH;
	} else if (e != NULL && e->workspace != 0) {
		v.kind = KEY_OK;
		v.workspace = g_quark_to_string(e->workspace);
	}
	return v;
}
