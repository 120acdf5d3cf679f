#ifndef STATE_MACHINE_SHARES_H
#define STATE_MACHINE_SHARES_H

#include <glib.h>

/*
 * How a process divides what its machine gives it. Each use of descriptors, or
 * of memory, has a share that the others can't take, so that a crowd of callers
 * leaves room for connections to servers, to the store, of operators and of
 * other hosts.
 */

typedef enum {
	DESCRIPTORS_STORE,
	DESCRIPTORS_OPERATORS,
	DESCRIPTORS_HOSTS,   /* connections of other hosts */
	DESCRIPTORS_LOOKUPS, /* on a port of their own */
	DESCRIPTORS_SERVERS,
	DESCRIPTORS_CALLERS, /* what the others leave */
	DESCRIPTORS_USES,
} descriptor_use_t;

/** descriptor_uses() - A set of uses for descriptor_shares(). */
#define DESCRIPTOR_USE(use) (1U << (use))

/**
 * descriptor_shares() - Divide the descriptors of a process.
 * @shares: set; 0 for uses that the process does not have
 * @descriptors: that the process may have
 * @uses: set of DESCRIPTOR_USE()
 */
void descriptor_shares(
    guint shares[DESCRIPTORS_USES], guint descriptors, guint uses);

typedef enum {
	MEMORY_BODIES,
	MEMORY_ANSWERS, /* of servers, while they arrive */
	MEMORY_REPLIES, /* that callers have not read */
	MEMORY_HEADS,	/* of callers' requests */
	MEMORY_STORE,	/* answers of the store */
	MEMORY_LOOKUPS, /* bodies, replies and heads at that port */
	MEMORY_OPERATORS,
	MEMORY_TLS, /* state of callers' connections */
	MEMORY_USES,
} memory_use_t;

/**
 * memory_shares() - Divide the memory of a machine.
 * @shares: set, bytes; at most what is wanted
 * @wanted: bytes
 * @memory: of the machine, bytes; 0: not known, each use gets what it wants
 *
 * A quarter stays for the process itself, its connections and the sockets; see
 * unread_share(). The rest is divided in proportion to what is wanted.
 */
void memory_shares(size_t shares[MEMORY_USES], const size_t wanted[MEMORY_USES],
    guint64 memory);

/**
 * unread_share() - Memory for bytes that clients have sent and that are not
 * read.
 * @memory: of the machine, bytes; 0: not known
 * @is_callers: whether it is for the callers' port, or for another one
 *
 * Return: bytes, for all sockets of the port.
 */
size_t unread_share(guint64 memory, gboolean is_callers);

/** tls_memory_wanted() - Memory for the TLS state of connections, bytes. */
size_t tls_memory_wanted(guint connections);

/**
 * tls_shares() - Divide the memory for TLS.
 * @memory: bytes
 * @max_connections: most connections that are wanted
 * @handshakes: set: connections that may be in a handshake at one time
 *
 * Return: connections that fit.
 */
guint tls_shares(size_t memory, guint max_connections, guint *handshakes);

/**
 * port_shares() - Divide the share of a port.
 * @descriptors: of the port
 * @max_connections: most connections that are wanted
 * @spare: set; see http_server_conf_t.spare_connections
 *
 * Return: connections that may wait or have requests.
 */
guint port_shares(guint descriptors, guint max_connections, guint *spare);

#endif
