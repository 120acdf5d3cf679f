#include <stdio.h>

#include "suite.h"

static const suite_case_t *table;

START_TEST(run_row)
{
	table[_i].run();
}
END_TEST

int
suite_run(const char *name, const suite_case_t *cases, size_t n)
{
	Suite *s = suite_create(name);
	SRunner *runner = srunner_create(s);
	size_t i;
	int failed;

	table = cases;
	for (i = 0; i < n; i++) {
		TCase *tc = tcase_create(cases[i].name);

		tcase_add_loop_test(tc, run_row, (int)i, (int)i + 1);
		suite_add_tcase(s, tc);
	}
	srunner_set_fork_status(runner, CK_NOFORK);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
