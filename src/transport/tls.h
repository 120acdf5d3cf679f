#ifndef TRANSPORT_TLS_H
#define TRANSPORT_TLS_H

#include <stdint.h>

#include <glib.h>
#include <openssl/types.h>

/**
 * tls_context_new() - Make the server side's TLS context, TLS 1.2 or later.
 * @certificate: PEM file of the certificate and its chain
 * @key: PEM file of the certificate's private key
 * @err: ERROR_INVALID with the file at fault
 *
 * Return: a context to be freed with SSL_CTX_free(), or NULL.
 */
SSL_CTX *tls_context_new(
    const char *certificate, const char *key, GError **err);

/**
 * tls_expires_at() - When a context's certificate ceases to be valid.
 * @tls: the context
 *
 * Return: seconds since 1970 UTC, or -1 if the certificate doesn't tell.
 */
int64_t tls_expires_at(const SSL_CTX *tls);

#endif
