#include <time.h>

#include <openssl/err.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>

#include "base/error.h"
#include "transport/tls.h"

static gboolean
fail(GError **err, const char *step, const char *file)
{
	const char *why = ERR_reason_error_string(ERR_peek_last_error());

	error_set(err, ERROR_INVALID, step, file, "%s",
	    why != NULL ? why : "can't be used");
	ERR_clear_error();
	return FALSE;
}

static gboolean
load_files(SSL_CTX *tls, const char *certificate, const char *key, GError **err)
{
	if (SSL_CTX_use_certificate_chain_file(tls, certificate) != 1)
		return fail(err, "tls.certificate", certificate);
	if (SSL_CTX_use_PrivateKey_file(tls, key, SSL_FILETYPE_PEM) != 1 ||
	    SSL_CTX_check_private_key(tls) != 1)
		return fail(err, "tls.key", key);
	return TRUE;
}

SSL_CTX *
tls_context_new(const char *certificate, const char *key, GError **err)
{
	SSL_CTX *tls = SSL_CTX_new(TLS_server_method());

	ERR_clear_error();
	SSL_CTX_set_min_proto_version(tls, TLS1_2_VERSION);
	SSL_CTX_set_options(tls, SSL_OP_NO_RENEGOTIATION);
	/* Idle connections keep no buffers, and ended ones no session: clients
	 * can resume by tickets. */
	SSL_CTX_set_mode(tls, SSL_MODE_RELEASE_BUFFERS);
	SSL_CTX_set_session_cache_mode(tls, SSL_SESS_CACHE_OFF);
	if (load_files(tls, certificate, key, err))
		return tls;
	SSL_CTX_free(tls);
	return NULL;
}

int64_t
tls_expires_at(const SSL_CTX *tls)
{
	const X509 *certificate = SSL_CTX_get0_certificate(tls);
	struct tm tm;

	if (certificate == NULL ||
	    ASN1_TIME_to_tm(X509_get0_notAfter(certificate), &tm) != 1)
		return -1;
	return timegm(&tm);
}
