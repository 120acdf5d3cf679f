#include <signal.h>

#include <openssl/ssl.h>

#include "base/log.h"
#include "host/tls_reload.h"
#include "transport/tls.h"

/* Open connections keep the certificate that they started with. */
static void
on_reload(evutil_socket_t sig, short what, void *arg)
{
	host_t *h = arg;
	GError *err = NULL;
	SSL_CTX *tls;

	(void)sig;
	(void)what;
	if (h->tls == NULL)
		return;
	tls = tls_context_new(h->settings.certificate, h->settings.key, &err);
	if (tls == NULL) {
		log_event(LOG_ERROR, "tls.reload.failed", "error", err->message,
		    NULL);
		g_error_free(err);
		return;
	}
	SSL_CTX_free(h->tls);
	h->tls = tls;
	http_server_set_tls(h->callers, tls);
	log_event(LOG_INFO, "tls.reloaded", "certificate",
	    h->settings.certificate, "expires_at", log_num(tls_expires_at(tls)),
	    NULL);
}

gboolean
tls_reload_init(host_t *h, GError **err)
{
	h->reload = evsignal_new(h->base, SIGHUP, on_reload, h);
	event_add(h->reload, NULL);
	if (h->settings.certificate == NULL)
		return TRUE;
	h->tls = tls_context_new(h->settings.certificate, h->settings.key, err);
	return h->tls != NULL;
}

void
tls_reload_finish(host_t *h)
{
	if (h->reload != NULL)
		event_free(h->reload);
	SSL_CTX_free(h->tls);
}
