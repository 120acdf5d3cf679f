#include <string.h>

#include "base/log.h"
#include "host/poison_sync.h"
#include "host/peers.h"
#include "host/probe.h"

#define SEND_TIMEOUT_MS 1000

void
poison_sync_fingerprint(const proxy_request_t *pr, fingerprint_t *f)
{
	const request_t *r = &pr->request;
	char hex[DIGEST_HEX_CHARS + 1];

	digest_to_hex(&r->body_digest, hex);
	poison_fingerprint(
	    pr->workspace, r->service, r->method_name, r->target, hex, f);
}

uint64_t
poison_sync_peer_id(const char *name)
{
	digest_t digest;
	uint64_t id;

	digest_of(name, strlen(name), &digest);
	memcpy(&id, digest.bytes, sizeof(id));
	return id | 1;
}

static void
on_sent(void *arg, const rpc_result_t *result, const GError *err)
{
	(void)arg;
	(void)result;
	(void)err;
}

/* Logs deaths and refusals for the operator. */
static void
log_poison_event(const poison_event_t *event)
{
	static const char *const event_names[] = {
	    [POISON_EVENT_DEATH] = "suspect.death",
	    [POISON_EVENT_DEATH_MIXED] = "suspect.death.mixed",
	    [POISON_EVENT_CLEARED] = "suspect.cleared",
	    [POISON_EVENT_REFUSED] = "suspect.refused",
	};
	const char *endpoint = event->endpoint != NULL ? event->endpoint : "-";

	if (event->kind < G_N_ELEMENTS(event_names) &&
	    event_names[event->kind] != NULL)
		log_event(LOG_WARN, event_names[event->kind], "endpoint",
		    endpoint, "run_age_ms",
		    log_num((long long)event->run_age_ms), NULL);
}

static void
append_event(GArray *out, const poison_event_t *event)
{
	rpc_suspect_t s;

	memcpy(s.fingerprint, event->fingerprint.bytes, RPC_DIGEST_SIZE);
	s.kind = (u_int)event->kind;
	s.endpoint =
	    (char *)(uintptr_t)(event->endpoint != NULL ? event->endpoint : "");
	s.age_ms = (u_int)MAX(event->age_ms, 0);
	s.run_age_ms = (u_int)MAX(event->run_age_ms, 0);
	s.left_ms = (u_int)MAX(event->left_ms, 0);
	g_array_append_val(out, s);
}

static void
send_to_peers(host_t *h, const GArray *events)
{
	rpc_args_t args = {.proc = RPC_PROC_SUSPECT};
	const roster_host_t *row;
	guint i;

	args.u.suspect.suspects.suspects_len =
	    MIN(events->len, RPC_SUSPECTS_MAX);
	args.u.suspect.suspects.suspects_val =
	    (rpc_suspect_t *)(void *)events->data;
	for (i = 0; i < h->roster.hosts->len; i++) {
		row = roster_host(&h->roster, (host_id_t)i);
		if (i != h->roster.self && row->state != HOST_GONE)
			peers_call(h, row->name, &args, SEND_TIMEOUT_MS,
			    on_sent, NULL);
	}
}

void
poison_sync_flush(host_t *h)
{
	GArray *out = g_array_new(FALSE, TRUE, sizeof(rpc_suspect_t));
	poison_event_t event;

	while (poison_next_event(&h->poison, &event)) {
		if (event.kind == POISON_EVENT_PROBE)
			probe_endpoint(h, event.endpoint);
		else
			append_event(out, &event);
		log_poison_event(&event);
	}
	if (out->len > 0 && h->incarnation != 0)
		send_to_peers(h, out);
	g_array_free(out, TRUE);
}

void
poison_sync_serve(host_t *h, rpc_call_id_t call, const char *caller,
    const suspect_args_t *args)
{
	rpc_result_t result = {.proc = RPC_PROC_SUSPECT};
	host_id_t peer = roster_find(&h->roster, caller);
	const rpc_suspect_t *in;
	poison_event_t event;
	guint i;

	for (i = 0; peer != HOST_NONE && i < args->suspects.suspects_len; i++) {
		in = &args->suspects.suspects_val[i];
		if (in->kind >= POISON_EVENT_PROBE)
			continue;
		memset(&event, 0, sizeof(event));
		event.kind = (poison_event_kind_t)in->kind;
		memcpy(event.fingerprint.bytes, in->fingerprint,
		    POISON_DIGEST_SIZE);
		event.endpoint = *in->endpoint != '\0' ? in->endpoint : NULL;
		event.age_ms = in->age_ms;
		event.run_age_ms = in->run_age_ms;
		event.left_ms = in->left_ms;
		poison_receive(&h->poison, poison_sync_peer_id(caller), &event,
		    clock_now());
	}
	rpc_server_answer(&h->rpc_server, call, &result);
	poison_sync_flush(h);
}
