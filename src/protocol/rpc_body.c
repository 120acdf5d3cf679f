#include <string.h>

#include "base/error.h"
#include "protocol/rpc_body.h"

typedef struct {
	const char *name;
	xdrproc_t args; /* NULL: no body */
	xdrproc_t result;
} codec_t;

static const codec_t codecs[] = {
    [RPC_PROC_NULL] = {"null", NULL, NULL},
    [RPC_PROC_EXCHANGE] = {"exchange", (xdrproc_t)xdr_exchange_args_t,
	(xdrproc_t)xdr_exchange_result_t},
    [RPC_PROC_WITHDRAW] = {"withdraw", (xdrproc_t)xdr_withdraw_args_t,
	(xdrproc_t)xdr_withdraw_result_t},
    [RPC_PROC_FETCH_KEYS] = {"fetch_keys", (xdrproc_t)xdr_fetch_keys_args_t,
	(xdrproc_t)xdr_fetch_keys_result_t},
    [RPC_PROC_FETCH_CONFIG] = {"fetch_config",
	(xdrproc_t)xdr_fetch_config_args_t,
	(xdrproc_t)xdr_fetch_config_result_t},
    [RPC_PROC_BORROW] = {"borrow", (xdrproc_t)xdr_borrow_args_t,
	(xdrproc_t)xdr_borrow_result_t},
    [RPC_PROC_SUSPECT] = {"suspect", (xdrproc_t)xdr_suspect_args_t, NULL},
    [RPC_PROC_OPERATE] = {"operate", (xdrproc_t)xdr_operate_args_t,
	(xdrproc_t)xdr_operate_result_t},
};

const char *
rpc_proc_name(uint32_t proc)
{
	return proc < G_N_ELEMENTS(codecs) ? codecs[proc].name : NULL;
}

static gboolean
encode(
    GByteArray *out, xdrproc_t proc, void *body, const char *name, GError **err)
{
	guint start = out->len;
	gulong size;
	gboolean ok = FALSE;
	XDR x;

	if (proc == NULL)
		return TRUE;
	size = xdr_sizeof(proc, body);
	if (size > 0) {
		g_byte_array_set_size(out, start + (guint)size);
		xdrmem_create(
		    &x, (char *)out->data + start, (u_int)size, XDR_ENCODE);
		ok = proc(&x, body);
		xdr_destroy(&x);
	}
	if (!ok) {
		g_byte_array_set_size(out, start);
		error_set(err, ERROR_INVALID, "rpc.encode", "-",
		    "%s has a field that is too long", name);
	}
	return ok;
}

gboolean
rpc_args_encode(GByteArray *out, const rpc_args_t *args, GError **err)
{
	const codec_t *c = &codecs[args->proc];

	return encode(out, c->args, (void *)&args->u, c->name, err);
}

gboolean
rpc_result_encode(GByteArray *out, const rpc_result_t *result, GError **err)
{
	const codec_t *c = &codecs[result->proc];

	return encode(out, c->result, (void *)&result->u, c->name, err);
}

static gboolean
decode(xdrproc_t proc, void *body, const uint8_t *data, size_t len)
{
	gboolean ok;
	XDR x;

	if (proc == NULL)
		return len == 0;
	xdrmem_create(&x, (char *)data, (u_int)len, XDR_DECODE);
	ok = proc(&x, body) && xdr_getpos(&x) == len;
	xdr_destroy(&x);
	if (!ok)
		xdr_free(proc, (char *)body);
	return ok;
}

/* The XDR decoder accepts any number for an enumeration. */
static gboolean
heartbeat_valid(const rpc_heartbeat_t *h)
{
	return (unsigned int)h->host.state <= RPC_HOST_GONE &&
	    h->store_age_ms >= -1;
}

static gboolean
args_valid(const rpc_args_t *args)
{
	const operate_args_t *o;

	switch (args->proc) {
	case RPC_PROC_EXCHANGE:
		return heartbeat_valid(&args->u.exchange.heartbeat);
	case RPC_PROC_OPERATE:
		o = &args->u.operate;
		return o->op != OPERATE_MOVE_START ||
		    (unsigned int)o->operate_args_t_u.move_start.kind <=
		    RPC_MOVE_ROLLOUT;
	default:
		return TRUE;
	}
}

static gboolean
result_valid(const rpc_result_t *result)
{
	switch (result->proc) {
	case RPC_PROC_EXCHANGE:
		return heartbeat_valid(&result->u.exchange.heartbeat);
	case RPC_PROC_OPERATE:
		return (unsigned int)result->u.operate.outcome <=
		    OPERATE_UNKNOWN;
	default:
		return TRUE;
	}
}

gboolean
rpc_args_decode(
    rpc_args_t *args, uint32_t proc, const uint8_t *data, size_t len)
{
	memset(args, 0, sizeof(*args));
	args->proc = (rpc_proc_t)proc;
	if (!decode(codecs[proc].args, &args->u, data, len))
		return FALSE;
	if (args_valid(args))
		return TRUE;
	rpc_args_clear(args);
	return FALSE;
}

gboolean
rpc_result_decode(
    rpc_result_t *result, uint32_t proc, const uint8_t *data, size_t len)
{
	memset(result, 0, sizeof(*result));
	result->proc = (rpc_proc_t)proc;
	if (!decode(codecs[proc].result, &result->u, data, len))
		return FALSE;
	if (result_valid(result))
		return TRUE;
	rpc_result_clear(result);
	return FALSE;
}

void
rpc_args_clear(rpc_args_t *args)
{
	xdrproc_t proc = codecs[args->proc].args;

	if (proc != NULL)
		xdr_free(proc, (char *)&args->u);
}

void
rpc_result_clear(rpc_result_t *result)
{
	xdrproc_t proc = codecs[result->proc].result;

	if (proc != NULL)
		xdr_free(proc, (char *)&result->u);
}
