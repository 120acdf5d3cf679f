#ifndef TESTS_SUITE_H
#define TESTS_SUITE_H

#include <check.h>
#include <stddef.h>

/*
 * A test program is a table of cases: each has a name and a function that
 * uses check's ck_assert_* calls. suite_run() runs them without forking.
 */
typedef struct {
	const char *name;
	void (*run)(void);
} suite_case_t;

/**
 * suite_run() - Run a table of cases.
 * @name: name of the suite
 * @cases: the table
 * @n: its length
 *
 * Return: exit status of the program: 0 if all passed.
 */
int suite_run(const char *name, const suite_case_t *cases, size_t n);

#endif
