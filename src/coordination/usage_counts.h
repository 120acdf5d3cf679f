#ifndef COORDINATION_USAGE_COUNTS_H
#define COORDINATION_USAGE_COUNTS_H

#include <stdint.h>

#include <glib.h>

/*
 * Counts of the requests that began to run, by window and workspace. Each start
 * of a host counts for itself, with two numbers that only grow: requests that
 * were counted, and those that were taken back. Merging takes the greater of
 * each, so that copies may come late, twice, or in any order. No clock and no
 * I/O.
 *
 * Load: some tens of hosts of one failure domain and some hundred workspaces.
 */

/* Windows kept; the oldest are dropped. With windows of 5 s they last 2 min,
 * the outage of the store after which counts are still written. */
#define USAGE_WINDOWS_MAX 24
/* Cells of all windows together, about 100 bytes each. */
#define USAGE_CELLS_MAX 40000
/* Distinct workspaces in the life of a process, and bytes of a name. */
#define USAGE_NAMES_MAX 4096
#define USAGE_NAME_BYTES 128

/* One start of a host. */
typedef struct {
	uint64_t host; /* hash of its name */
	uint64_t start;
} usage_source_t;

typedef struct {
	usage_source_t source;
	const char *workspace;
	uint32_t counted;
	uint32_t taken_back;
} usage_cell_t;

typedef struct {
	int64_t id;
	GHashTable *cells; /* usage_cell_t by source and workspace */
	guint changes;	   /* rises with each change of a cell */
} usage_window_t;

typedef struct {
	GPtrArray *windows; /* usage_window_t, in the order of their ids */
	GHashTable *names;  /* workspaces */
	guint cells;
	guint64 dropped; /* counts for which there was no room */
} usage_counts_t;

typedef struct {
	const char *workspace;
	uint64_t count;
} usage_total_t;

void usage_counts_init(usage_counts_t *c);
void usage_counts_finish(usage_counts_t *c);

/** usage_counts_window() - A window, or NULL if it has no counts. */
const usage_window_t *usage_counts_window(const usage_counts_t *c, int64_t id);

/**
 * usage_counts_add() - Count a request of this host, or take it back.
 * @c: the counts
 * @window: the window in which it began to run
 * @source: this start of the host
 * @workspace: the caller's workspace
 * @take_back: it did not run in that window after all
 */
void usage_counts_add(usage_counts_t *c, int64_t window,
    const usage_source_t *source, const char *workspace, gboolean take_back);

/**
 * usage_counts_merge() - Take in a cell as its host or a row has it.
 *
 * Return: whether it says more than what was known.
 */
gboolean usage_counts_merge(
    usage_counts_t *c, int64_t window, const usage_cell_t *cell);

/**
 * usage_counts_cells() - The cells of a window, ordered by source and name.
 * @c: the counts
 * @window: its id
 * @source: only those of this start of a host; NULL: all
 *
 * Return: array of const usage_cell_t pointers, valid until the next change.
 */
GPtrArray *usage_counts_cells(
    const usage_counts_t *c, int64_t window, const usage_source_t *source);

/**
 * usage_counts_totals() - Sums over all sources, ordered by workspace.
 *
 * Return: array of usage_total_t without zeros; names are owned by @c.
 */
GArray *usage_counts_totals(const usage_counts_t *c, int64_t window);

/** usage_counts_forget() - Drop the windows before @window. */
void usage_counts_forget(usage_counts_t *c, int64_t window);

#endif
