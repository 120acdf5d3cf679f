#include <stdarg.h>

#include "base/error.h"

GQuark
error_domain(void)
{
	return g_quark_from_static_string("greengageloom");
}

void
error_set(GError **err, error_code_t code, const char *step, const char *peer,
    const char *fmt, ...)
{
	va_list ap;
	char *text;

	if (err == NULL)
		return;
	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_set_error(
	    err, ERROR_DOMAIN, (int)code, "%s: %s: %s", step, peer, text);
	g_free(text);
}

const char *
error_code_name(error_code_t code)
{
	switch (code) {
	case ERROR_INVALID:
		return "invalid";
	case ERROR_CONFLICT:
		return "conflict";
	case ERROR_UNAVAILABLE:
		return "unavailable";
	case ERROR_UNKNOWN:
		return "unknown";
	case ERROR_DENIED:
		return "denied";
	case ERROR_LIMIT:
		return "limit";
	}
	return "invalid";
}
