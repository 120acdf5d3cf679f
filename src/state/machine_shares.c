#include "state/machine_shares.h"

/* Files, timers, event queues and what libraries open. */
#define FILES_MIN 24
#define FILES_MAX 256
#define FILES_PART 12 /* one in so many */

/* A port with fewer connections can't serve two clients at once. */
#define SHARE_MIN 6

/* Of connections over a port's limit, and of closed ones, each. */
#define SPARE_PART 8 /* one in so many */
#define SPARE_MIN 1
#define SPARE_MAX 100

#define PROCESS_PART 4 /* one in so many bytes */

/* Of what stays for the process. */
#define UNREAD_PART 16 /* one in so many bytes of the machine */
#define UNREAD_MAX ((size_t)16 * 1024 * 1024)
#define UNREAD_OTHERS 4 /* another port's: one in so many of the callers' */

/* What OpenSSL and libevent hold for an idle connection, and for one in its
 * handshake, rounded up. */
#define TLS_CONNECTION_BYTES ((size_t)20 * 1024)
#define TLS_HANDSHAKE_BYTES ((size_t)64 * 1024)
#define HANDSHAKES_MIN 8
#define HANDSHAKES_MAX 256
#define HANDSHAKES_PART 3 /* one in so many bytes */

/* Shares as one in so many of the descriptors beside the files, and the most
 * that is of use. The callers' share is the rest. */
static const struct {
	guint part, most;
} bounds[DESCRIPTORS_USES] = {
    [DESCRIPTORS_STORE] = {16, 64},
    [DESCRIPTORS_OPERATORS] = {16, 256},
    [DESCRIPTORS_HOSTS] = {8, 256},
    [DESCRIPTORS_LOOKUPS] = {8, 400},
    [DESCRIPTORS_SERVERS] = {4, G_MAXUINT},
};

void
descriptor_shares(guint shares[DESCRIPTORS_USES], guint descriptors, guint uses)
{
	guint files = CLAMP(descriptors / FILES_PART, FILES_MIN, FILES_MAX);
	guint left = descriptors > files ? descriptors - files : 0, all = left;
	guint i;

	for (i = 0; i < DESCRIPTORS_CALLERS; i++) {
		shares[i] = 0;
		if ((uses & DESCRIPTOR_USE(i)) == 0)
			continue;
		shares[i] =
		    CLAMP(all / bounds[i].part, SHARE_MIN, bounds[i].most);
		left -= MIN(left, shares[i]);
	}
	shares[DESCRIPTORS_CALLERS] = MAX(left, SHARE_MIN);
}

void
memory_shares(size_t shares[MEMORY_USES], const size_t wanted[MEMORY_USES],
    guint64 memory)
{
	guint64 rest = memory - memory / PROCESS_PART, all = 0;
	guint i;

	for (i = 0; i < MEMORY_USES; i++)
		all += wanted[i];
	for (i = 0; i < MEMORY_USES; i++)
		shares[i] = memory == 0 || all <= rest
		    ? wanted[i]
		    : (size_t)((double)wanted[i] * (double)rest / (double)all);
}

size_t
unread_share(guint64 memory, gboolean is_callers)
{
	size_t callers = memory == 0 || memory / UNREAD_PART > UNREAD_MAX
	    ? UNREAD_MAX
	    : (size_t)(memory / UNREAD_PART);

	return is_callers ? callers : callers / UNREAD_OTHERS;
}

size_t
tls_memory_wanted(guint connections)
{
	return (size_t)connections * TLS_CONNECTION_BYTES +
	    (size_t)HANDSHAKES_MAX * TLS_HANDSHAKE_BYTES;
}

guint
tls_shares(size_t memory, guint max_connections, guint *handshakes)
{
	size_t left;

	*handshakes =
	    (guint)CLAMP(memory / HANDSHAKES_PART / TLS_HANDSHAKE_BYTES,
		HANDSHAKES_MIN, HANDSHAKES_MAX);
	left = memory - MIN(memory, *handshakes * TLS_HANDSHAKE_BYTES);
	return (guint)CLAMP(
	    left / TLS_CONNECTION_BYTES, 1, (size_t)max_connections);
}

guint
port_shares(guint descriptors, guint max_connections, guint *spare)
{
	*spare = CLAMP(descriptors / SPARE_PART, SPARE_MIN, SPARE_MAX);
	return MIN(
	    max_connections, descriptors - MIN(2 * *spare, descriptors - 1));
}
