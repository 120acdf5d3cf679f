#ifndef TESTS_TABLE_H
#define TESTS_TABLE_H

/*
 * Plain-text tables of cases. A case begins with a line "%% name"; its input
 * follows, then a line "--", then the expected outcome. Lines that begin with
 * "#%" are comments.
 */

/**
 * table_each() - Run every case of a table.
 * @file: name below tests/tables
 * @run: gets the input and returns the outcome, which is freed with g_free()
 *
 * Fails the running check test at the first case whose outcome differs.
 */
void table_each(const char *file, char *(*run)(const char *input));

#endif
