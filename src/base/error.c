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
