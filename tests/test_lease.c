#include "coordination/lease.h"
#include "suite.h"

static const lease_terms_t terms = {.lease_ms = 900,
    .promise_ms = 300,
    .margin_ms = 50,
    .renew_ms = 250,
    .poll_ms = 200,
    .retry_ms = 25};

static lease_op_t
tick(lease_t *l, msec_t now, msec_t promised_since, lease_action_t *a)
{
	lease_input_t in = {.now = now,
	    .eligible = TRUE,
	    .promised_since = promised_since,
	    .promises_end_at = LEASE_NEVER};

	*a = lease_tick(l, &in);
	return a->op;
}

/* Reads an absent row and takes it; the write is sent at time 0. */
static void
hold(lease_t *l)
{
	lease_row_t absent = {0};
	lease_action_t a;

	lease_init(l, &terms, "a", 1);
	ck_assert_int_eq(tick(l, -10, LEASE_NEVER, &a), LEASE_READ);
	lease_read(l, &absent, -5);
	ck_assert_int_eq(tick(l, 0, LEASE_NEVER, &a), LEASE_TAKE);
	ck_assert_uint_eq(a.epoch, 1);
	lease_answered(l, &a, LEASE_WON, 7, 8, 20);
}

static void
validity_counts_from_sending(void)
{
	lease_t l;

	hold(&l);
	ck_assert(lease_valid(&l, 899));
	ck_assert(!lease_valid(&l, 900));
	ck_assert_uint_eq(lease_fence(&l), 7);
}

/* The store is down for an hour; all hosts in the roster renew promises. */
static void
promises_extend_a_lease_in_an_outage(void)
{
	lease_action_t a;
	lease_t l;
	msec_t now;

	hold(&l);
	for (now = 100; now < 3600 * MSEC_PER_SEC; now += 100) {
		switch (tick(&l, now, now - 40, &a)) {
		case LEASE_READ: /* repeated, and never answered */
		case LEASE_NONE:
			break;
		default:
			lease_answered(&l, &a, LEASE_LOST, 0, 0, now);
			break;
		}
		ck_assert(lease_valid(&l, now));
	}
	now -= 100;
	tick(&l, now + 1000, now + 900, &a);
	ck_assert_msg(!lease_valid(&l, now + 1000),
	    "a promise must not revive a lease that has lapsed");
}

static void
lost_answer_is_read_back(void)
{
	lease_row_t row = {.fence_version = 7,
	    .holder = "a",
	    .incarnation = 1,
	    .epoch = 1,
	    .renewal_version = 9,
	    .token = 2};
	lease_action_t a;
	lease_t l;

	hold(&l);
	ck_assert_int_eq(tick(&l, 400, LEASE_NEVER, &a), LEASE_RENEW);
	lease_answered(&l, &a, LEASE_LOST, 0, 0, 450);
	ck_assert(!lease_valid(&l, 900));
	ck_assert_int_eq(tick(&l, 500, LEASE_NEVER, &a), LEASE_READ);
	lease_read(&l, &row, 520);
	ck_assert(lease_valid(&l, 1299));
	ck_assert(!lease_valid(&l, 1300));
}

static void
release_ends_validity_before_the_write(void)
{
	lease_input_t leaving = {.now = 300, .promised_since = 290};
	lease_row_t row = {.fence_version = 7,
	    .holder = "a",
	    .incarnation = 1,
	    .epoch = 1,
	    .renewal_version = 8,
	    .token = 1};
	lease_action_t a;
	lease_t l;

	hold(&l);
	a = lease_tick(&l, &leaving);
	ck_assert_int_eq(a.op, LEASE_RELEASE);
	ck_assert(!lease_valid(&l, 300));
	lease_answered(&l, &a, LEASE_LOST, 0, 0, 310);
	/* The write may still take effect: the lease must not be reused. */
	ck_assert_int_eq(tick(&l, 340, 330, &a), LEASE_READ);
	lease_read(&l, &row, 350);
	ck_assert(!lease_valid(&l, 350));
	ck_assert_int_eq(tick(&l, 400, 390, &a), LEASE_RELEASE);
}

static void
taker_waits_for_expiry_and_promises(void)
{
	lease_row_t row = {.fence_version = 7,
	    .holder = "b",
	    .incarnation = 4,
	    .epoch = 3,
	    .renewal_version = 8,
	    .token = 1};
	lease_input_t in = {.eligible = TRUE, .promised_since = LEASE_NEVER};
	lease_action_t a = {.op = LEASE_NONE};
	lease_t l;

	lease_init(&l, &terms, "a", 1);
	for (in.now = 0; in.now < 3000 && a.op != LEASE_TAKE; in.now += 10) {
		in.promises_end_at = 1500;
		a = lease_tick(&l, &in);
		if (a.op == LEASE_READ)
			lease_read(&l, &row, in.now);
		ck_assert(lease_withholds(&l) == NULL || in.now >= 950);
	}
	ck_assert_int_eq(a.op, LEASE_TAKE);
	ck_assert_int_eq(in.now, 1500 + 10);
	ck_assert_uint_eq(a.epoch, 4);
	ck_assert_uint_eq(a.check_fence, 7);
	ck_assert_uint_eq(a.check_renewal, 8);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"validity counts from sending", validity_counts_from_sending},
	    {"promises extend a lease in an outage",
		promises_extend_a_lease_in_an_outage},
	    {"lost answer is read back", lost_answer_is_read_back},
	    {"release ends validity before the write",
		release_ends_validity_before_the_write},
	    {"taker waits for expiry and promises",
		taker_waits_for_expiry_and_promises},
	};

	return suite_run("lease", cases, sizeof(cases) / sizeof(cases[0]));
}
