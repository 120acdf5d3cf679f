#include "coordination/answer_origin.h"
#include "suite.h"

/* An earlier refusal, written once more on a kept connection, is not taken for
 * the answer of a request that may be running. */
static void
test_repeated_refusal(void)
{
	static const struct {
		const char *name;
		answer_origin_t answer;
		const char *sent_id;
		gboolean required, optional; /* expected, by rule */
	} rows[] = {
	    {"own answer", {"b", FALSE, FALSE}, "b", TRUE, TRUE},
	    {"own refusal", {"b", TRUE, FALSE}, "b", TRUE, TRUE},
	    {"earlier answer", {"a", FALSE, FALSE}, "b", FALSE, FALSE},
	    {"earlier refusal", {"a", TRUE, FALSE}, "b", FALSE, FALSE},
	    {"refusal without id, kept connection", {NULL, TRUE, FALSE}, "b",
		FALSE, FALSE},
	    {"refusal without id, new connection", {NULL, TRUE, TRUE}, "b",
		TRUE, TRUE},
	    {"answer without id", {NULL, FALSE, TRUE}, "b", FALSE, TRUE},
	    {"id that was not sent", {"a", TRUE, TRUE}, NULL, FALSE, FALSE},
	    {"refusal of a request without id", {NULL, TRUE, TRUE}, NULL, TRUE,
		TRUE},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		ck_assert_msg(answer_is_own(&rows[i].answer, rows[i].sent_id,
				  ANSWER_ID_REQUIRED) == rows[i].required,
		    "%s, required", rows[i].name);
		ck_assert_msg(answer_is_own(&rows[i].answer, rows[i].sent_id,
				  ANSWER_ID_OPTIONAL) == rows[i].optional,
		    "%s, optional", rows[i].name);
	}
}

static const suite_case_t cases[] = {
    {"a repeated refusal is not believed", test_repeated_refusal},
};

int
main(void)
{
	return suite_run("answer_origin", cases, G_N_ELEMENTS(cases));
}
