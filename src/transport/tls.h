#ifndef TRANSPORT_TLS_H
#define TRANSPORT_TLS_H

#include <stdint.h>

#include <glib.h>
#include <openssl/types.h>

/**
 * tls_context_new() - Create a TLS context for servers, TLS 1.2 or later.
 * @certificate: PEM file of the certificate and its chain
 * @key: PEM file of the certificate's private key
 * @err: ERROR_INVALID, naming the file that can't be used
 *
 * Return: a context to be freed with SSL_CTX_free(), or NULL.
 */
SSL_CTX *tls_context_new(
    const char *certificate, const char *key, GError **err);

/**
 * tls_expires_at() - Time at which a context's certificate expires.
 * @tls: the context
 *
 * Return: seconds since 1970 UTC, or -1 if there is no certificate or its
 * expiry can't be read.
 */
int64_t tls_expires_at(const SSL_CTX *tls);

#endif
