#include <sys/queue.h>

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "host/once_calls.h"

/* An answer that is kept for replays. */
typedef struct {
	int status;
	char *type; /* Content-Type; NULL: none */
	GByteArray *body;
} kept_answer_t;

/* One operation on the row of an entry. */
typedef struct {
	host_t *host;
	once_id_t id;
	char *name; /* key of the row */
	once_row_t row;
	struct event *timer;
} job_t;

static void perform_action(
    host_t *h, proxy_request_t *pr, const once_action_t *a, const char *name);

static void
kept_free(void *p)
{
	kept_answer_t *k = p;

	g_byte_array_unref(k->body);
	g_free(k->type);
	g_free(k);
}

static void
job_free(void *p)
{
	job_t *job = p;

	if (job->timer != NULL)
		event_free(job->timer);
	g_free(job->name);
	g_free(job);
}

void
once_calls_init(host_t *h)
{
	once_init(&h->once);
	h->once_jobs = g_hash_table_new_full(NULL, NULL, job_free, NULL);
	h->once_requests = g_hash_table_new(NULL, NULL);
	h->once_kept = g_hash_table_new_full(NULL, NULL, NULL, kept_free);
}

void
once_calls_finish(host_t *h)
{
	g_hash_table_destroy(h->once_jobs);
	g_hash_table_destroy(h->once_requests);
	g_hash_table_destroy(h->once_kept);
	once_finish(&h->once);
}

gboolean
once_calls_wanted(const proxy_request_t *pr)
{
	return pr->request.idempotency_key != NULL && !pr->idempotent;
}

static void
digest_text(const char *text, fingerprint_t *out)
{
	digest_t digest;

	digest_of(text, strlen(text), &digest);
	memcpy(out->bytes, digest.bytes, sizeof(out->bytes));
}

static void
key_digest(const proxy_request_t *pr, fingerprint_t *out)
{
	char *text = g_strdup_printf("%s\n%s",
	    pr->workspace != NULL ? pr->workspace : "",
	    pr->request.idempotency_key);

	digest_text(text, out);
	g_free(text);
}

static char *
row_key_of(const fingerprint_t *key)
{
	char hex[DIGEST_HEX_CHARS + 1];
	digest_t digest;

	memcpy(digest.bytes, key->bytes, DIGEST_BYTES);
	digest_to_hex(&digest, hex);
	return g_strconcat(ROWS_ONCE, hex, NULL);
}

static proxy_request_t *
proxy_request_of(const host_t *h, once_id_t id)
{
	return g_hash_table_lookup(h->once_requests, GUINT_TO_POINTER(id));
}

static void
detach(proxy_request_t *pr)
{
	if (pr->once == ONCE_NONE)
		return;
	g_hash_table_remove(
	    pr->host->once_requests, GUINT_TO_POINTER(pr->once));
	pr->once = ONCE_NONE;
}

static job_t *
job_new(host_t *h, const once_action_t *a, const char *name)
{
	job_t *job = g_new0(job_t, 1);

	job->host = h;
	job->id = a->id;
	job->row = a->row;
	job->name = g_strdup(name);
	g_hash_table_add(h->once_jobs, job);
	return job;
}

static void
job_step(job_t *job, const once_event_t *e)
{
	/* After a refusal the entry may be gone, so the request is looked up
	 * first. */
	proxy_request_t *pr = proxy_request_of(job->host, job->id);
	once_action_t a = once_step(&job->host->once, job->id, e, clock_now());

	perform_action(job->host, pr, &a, job->name);
	g_hash_table_remove(job->host->once_jobs, job);
}

static void
job_end(job_t *job, once_event_kind_t kind)
{
	once_event_t e = {.kind = kind};

	job_step(job, &e);
}

static char *
encode(const once_row_t *row)
{
	once_store_row_t value = {
	    .token = row->token,
	    .state = (uint64_t)row->state,
	    .status = (uint64_t)row->status,
	};

	memcpy(value.request.bytes, row->request.bytes, DIGEST_BYTES);
	return rows_encode(&row_once, &value);
}

static gboolean
decode(const char *text, once_row_t *row)
{
	once_store_row_t value = {0};

	if (!rows_decode(&row_once, text, &value, NULL))
		return FALSE;
	row->token = value.token;
	row->state = (once_row_state_t)MIN(value.state, ONCE_ROW_UNKNOWN);
	row->status = (int)value.status;
	memcpy(row->request.bytes, value.request.bytes, DIGEST_BYTES);
	return TRUE;
}

static void
on_claimed(void *arg, const store_result_t *result, const GError *err)
{
	(void)result;
	if (err == NULL)
		job_end(arg, ONCE_CLAIM_DONE);
	else if (err->code == ERROR_CONFLICT)
		job_end(arg, ONCE_CLAIM_TAKEN);
	else if (err->code == ERROR_UNKNOWN)
		job_end(arg, ONCE_CLAIM_UNKNOWN);
	else
		job_end(arg, ONCE_CLAIM_FAILED);
}

static void
claim(job_t *job)
{
	char *text = encode(&job->row);
	const store_check_t check = {job->name, 0};
	const store_write_t write = {job->name, text};
	const store_txn_t txn = {&check, 1, &write, 1};

	store_txn(&job->host->store, &txn, on_claimed, job);
	free(text);
}

static void
on_read_back(void *arg, const store_result_t *result, const GError *err)
{
	once_event_t e = {.kind = ONCE_READ_FAILED};

	if (err == NULL && result->u.row.value == NULL)
		e.kind = ONCE_READ_ABSENT;
	else if (err == NULL && decode(result->u.row.value, &e.u.row))
		e.kind = ONCE_READ_ROW;
	job_step(arg, &e);
}

static void
on_written(void *arg, const store_result_t *result, const GError *err)
{
	(void)result;
	job_end(arg, err == NULL ? ONCE_WRITE_DONE : ONCE_WRITE_FAILED);
}

/* Writes or removes the row, if the stored row has this operation's token. */
static void
on_own_row(void *arg, const store_result_t *result, const GError *err)
{
	job_t *job = arg;
	once_row_t stored;
	store_check_t check = {job->name, 0};
	store_write_t write = {job->name, NULL};
	const store_txn_t txn = {&check, 1, &write, 1};
	char *text = NULL;

	if (err != NULL) {
		job_end(job, ONCE_WRITE_FAILED);
		return;
	}
	if (result->u.row.value == NULL ||
	    !decode(result->u.row.value, &stored) ||
	    stored.token != job->row.token) {
		job_end(job, ONCE_WRITE_DONE);
		return;
	}
	check.version = result->u.row.version;
	if (once_entry(&job->host->once, job->id)->phase == ONCE_RECORDING)
		text = encode(&job->row);
	write.value = text;
	store_txn(&job->host->store, &txn, on_written, job);
	free(text);
}

static void
on_retry(evutil_socket_t fd, short what, void *arg)
{
	job_t *job = arg;

	(void)fd;
	(void)what;
	store_get(&job->host->store, job->name, on_own_row, job);
}

static void
write_later(job_t *job, msec_t after_ms)
{
	struct timeval tv = {
	    after_ms / MSEC_PER_SEC, (after_ms % MSEC_PER_SEC) * 1000};

	job->timer = evtimer_new(job->host->base, on_retry, job);
	event_add(job->timer, &tv);
}

static void
replay(proxy_request_t *pr, once_id_t id)
{
	const kept_answer_t *k =
	    g_hash_table_lookup(pr->host->once_kept, GUINT_TO_POINTER(id));
	struct evkeyvalq headers;
	struct evbuffer *body;

	if (k == NULL) {
		proxy_refuse(pr, REFUSAL_ONCE_DONE, RUN_DONE, 0);
		return;
	}
	body = evbuffer_new();
	TAILQ_INIT(&headers);
	if (k->type != NULL)
		evhttp_add_header(&headers, "Content-Type", k->type);
	evhttp_add_header(&headers, "Greengageloom-Replayed", "yes");
	evbuffer_add(body, k->body->data, k->body->len);
	http_reply(pr->x, k->status, &headers, body);
	evhttp_clear_headers(&headers);
	evbuffer_free(body);
	proxy_free(pr);
}

static refusal_t
refusal_of(once_reason_t reason)
{
	switch (reason) {
	case ONCE_STORE_DOWN:
	case ONCE_BUSY:
		return REFUSAL_ONCE_UNAVAILABLE;
	case ONCE_KEY_REUSED:
		return REFUSAL_ONCE_REUSED;
	case ONCE_ALREADY_RUNNING:
		return REFUSAL_ONCE_RUNNING;
	case ONCE_ALREADY_RAN:
		return REFUSAL_ONCE_DONE;
	case ONCE_ALREADY_SENT:
		break;
	}
	return REFUSAL_ONCE_SENT;
}

static void
refuse(proxy_request_t *pr, const once_action_t *a)
{
	run_state_t run = a->ran == RAN_NO ? RUN_NOT
	    : a->ran == RAN_YES		   ? RUN_DONE
					   : RUN_UNKNOWN;

	detach(pr);
	proxy_refuse(
	    pr, refusal_of(a->reason), run, run == RUN_NOT ? MSEC_PER_SEC : 0);
}

static void
perform_action(
    host_t *h, proxy_request_t *pr, const once_action_t *a, const char *name)
{
	switch (a->kind) {
	case ONCE_NOTHING:
		break;
	case ONCE_CLAIM:
		g_hash_table_remove(h->once_kept, GUINT_TO_POINTER(a->id));
		claim(job_new(h, a, name));
		break;
	case ONCE_READ_BACK:
		store_get(&h->store, name, on_read_back, job_new(h, a, name));
		break;
	case ONCE_RUN:
		if (pr != NULL)
			proxy_start_tries(pr);
		break;
	case ONCE_REPLAY:
		break; /* only once_begin() returns it */
	case ONCE_REFUSE:
		if (pr != NULL)
			refuse(pr, a);
		if (once_release_due(&h->once, a->id))
			write_later(job_new(h, a, name), 0);
		break;
	case ONCE_RECORD:
	case ONCE_RELEASE:
		write_later(job_new(h, a, name), a->after_ms);
		break;
	}
}

void
once_calls_begin(proxy_request_t *pr)
{
	host_t *h = pr->host;
	fingerprint_t key;
	once_action_t a;
	char *name; /* key of the row */

	key_digest(pr, &key);
	a = once_begin(&h->once, &key, &pr->fingerprint,
	    (h->token ^ (pr->number << 20)) >> 1, clock_now());
	if (a.kind == ONCE_REPLAY) {
		replay(pr, a.id);
		return;
	}
	if (a.kind == ONCE_REFUSE) {
		refuse(pr, &a);
		return;
	}
	pr->once = a.id;
	g_hash_table_insert(h->once_requests, GUINT_TO_POINTER(a.id), pr);
	name = row_key_of(&key);
	perform_action(h, pr, &a, name);
	g_free(name);
}

void
once_calls_head(
    proxy_request_t *pr, int status, const struct evkeyvalq *headers)
{
	pr->status = status;
	if (pr->once == ONCE_NONE)
		return;
	pr->kept = g_byte_array_new();
	pr->kept_type = g_strdup(evhttp_find_header(headers, "Content-Type"));
}

void
once_calls_piece(proxy_request_t *pr, struct evbuffer *piece)
{
	size_t len = evbuffer_get_length(piece);

	if (pr->kept == NULL)
		return;
	if (pr->kept->len + len > ONCE_KEPT_BODY_MAX ||
	    pr->host->once_kept_bytes + pr->kept->len + len >
		ONCE_KEPT_ALL_MAX) {
		g_byte_array_unref(pr->kept);
		pr->kept = NULL;
		return;
	}
	g_byte_array_append(pr->kept, evbuffer_pullup(piece, -1), (guint)len);
}

static void
keep_answer(proxy_request_t *pr)
{
	host_t *h = pr->host;
	kept_answer_t *k = g_new0(kept_answer_t, 1);

	k->status = pr->status;
	k->type = g_steal_pointer(&pr->kept_type);
	k->body = g_steal_pointer(&pr->kept);
	h->once_kept_bytes += k->body->len;
	g_hash_table_insert(h->once_kept, GUINT_TO_POINTER(pr->once), k);
}

void
once_calls_ended(proxy_request_t *pr, ran_t ran)
{
	host_t *h = pr->host;
	once_event_t e = {.kind = ONCE_RUN_ENDED};
	once_id_t id = pr->once;
	fingerprint_t key;
	once_action_t a;
	char *name; /* key of the row */

	if (id == ONCE_NONE)
		return;
	if (!pr->started)
		e.kind = ONCE_GIVEN_UP;
	e.u.ended.ran = ran;
	e.u.ended.status = pr->status;
	if (ran == RAN_YES && pr->kept != NULL)
		keep_answer(pr);
	detach(pr);
	key_digest(pr, &key);
	name = row_key_of(&key);
	a = once_step(&h->once, id, &e, clock_now());
	perform_action(h, NULL, &a, name);
	g_free(name);
}
