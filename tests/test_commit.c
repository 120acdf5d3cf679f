#include <string.h>

#include "coordination/issue.h"
#include "coordination/progress.h"
#include "suite.h"

/* Letters of events: results of a write, results of a read; others: time. */
static const char writes[] = "wcdlf"; /* in the order of write_result_t */
static const char places[] = "otpu";  /* in the order of commit_target_t */

static commit_action_t
event(commit_t *c, char letter, msec_t *now)
{
	const char *w = strchr(writes, letter), *p = strchr(places, letter);

	if (w != NULL)
		return commit_written(
		    c, c->attempt, (write_result_t)(w - writes), 7, *now);
	if (p != NULL)
		return commit_read(
		    c, c->attempt, (commit_target_t)(p - places), 7, *now);
	*now += letter == '!' ? 10000 : COMMIT_RETRY_MS;
	return commit_tick(c, *now);
}

static void
state_follows_write_and_read_results(void)
{
	static const struct {
		msec_t give_up_at;
		const char *events, *actions; /* W(rite), R(ead) or - (none) */
		commit_state_t state;
	} rows[] = {
	    {5000, "w", "-", COMMIT_ACCEPTED},
	    {5000, "lo", "R-", COMMIT_ACCEPTED},
	    {5000, "lt", "R-", COMMIT_CONFLICT},
	    {5000, "lpw", "RW-", COMMIT_ACCEPTED},
	    {5000, "lpco", "RWR-", COMMIT_ACCEPTED},
	    {5000, "lu", "R-", COMMIT_UNKNOWN},
	    {5000, "lu!", "R-R", COMMIT_UNKNOWN},
	    {5000, "lu!u!o", "R-R-R-", COMMIT_ACCEPTED},
	    {5000, "ct", "R-", COMMIT_CONFLICT},
	    {5000, "cp", "R-", COMMIT_CONFLICT},
	    {5000, "co", "R-", COMMIT_ACCEPTED},
	    {5000, "cu", "R-", COMMIT_UNKNOWN},
	    {5000, "cu!o", "R-R-", COMMIT_ACCEPTED},
	    {5000, "d", "-", COMMIT_WAITING},
	    {5000, "d.w", "-W-", COMMIT_ACCEPTED},
	    {5000, "d!", "--", COMMIT_FAILED},
	    {0, "d!d", "-W-", COMMIT_WAITING},
	    {0, "cpw", "RW-", COMMIT_ACCEPTED},
	    {5000, "fp", "R-", COMMIT_FAILED},
	    {5000, "lpfp", "RWR-", COMMIT_FAILED},
	    {5000, "lpfo", "RWR-", COMMIT_ACCEPTED},
	    {5000, "wdlt", "----", COMMIT_ACCEPTED},
	};
	const char *e;
	commit_t c;
	msec_t now;
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		now = 0;
		ck_assert_int_eq(
		    commit_begin(&c, rows[i].give_up_at), COMMIT_WRITE);
		for (e = rows[i].events; *e != '\0'; e++)
			ck_assert_msg("-WR"[event(&c, *e, &now)] ==
				rows[i].actions[e - rows[i].events],
			    "%s at %c", rows[i].events, *e);
		ck_assert_msg(c.state == rows[i].state, "%s: state %d",
		    rows[i].events, c.state);
	}
}

static void
late_answers_count_for_their_own_attempt(void)
{
	commit_t c;

	commit_begin(&c, 5000);
	commit_written(&c, 1, WRITE_LOST, 0, 0);
	commit_read(&c, 2, COMMIT_TARGET_UNCHANGED, 0, 0);
	ck_assert_int_eq(c.attempt, 3);
	commit_written(&c, 1, WRITE_UNREACHABLE, 0, 0);
	commit_read(&c, 2, COMMIT_TARGET_OTHERS, 0, 0);
	ck_assert_int_eq(c.state, COMMIT_RUNNING);
	commit_written(&c, 1, WRITE_WON, 9, 0);
	ck_assert_int_eq(c.state, COMMIT_ACCEPTED);
}

static void
key_issue_is_done_when_all_hosts_have_it(void)
{
	const replica_t live[] = {{0, 1}, {1, 1}, {2, 5}};
	digest_t digest = {{0}};
	progress_t p;
	issue_t i;

	progress_init(&p);
	issue_begin(&i, &digest, 3, 0);
	issue_written(&i, i.commit.attempt, WRITE_WON, 20, 0);
	progress_report(&p, live[0], 20);
	progress_report(&p, live[1], 21);
	progress_report(&p, live[1], 4);
	progress_report(&p, (replica_t){2, 4}, 20);
	issue_tick(&i, progress_count(&p, live, 3, 20), 3, 100);
	ck_assert_int_eq(i.state, ISSUE_ACCEPTED);
	ck_assert_uint_eq(i.hosts_reached, 2);
	progress_report(&p, live[2], 20);
	progress_report(&p, (replica_t){2, 4}, 1);
	issue_tick(&i, progress_count(&p, live, 3, 20), 3, 200);
	ck_assert_int_eq(i.state, ISSUE_DONE);
	progress_finish(&p);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"state follows write and read results",
		state_follows_write_and_read_results},
	    {"late answers count for their own attempt",
		late_answers_count_for_their_own_attempt},
	    {"key issue is done when all hosts have it",
		key_issue_is_done_when_all_hosts_have_it},
	};

	return suite_run("commit", cases, sizeof(cases) / sizeof(cases[0]));
}
