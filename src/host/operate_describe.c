#include "host/operate_describe.h"

static operate_outcome_t
apply_outcome(apply_state_t state)
{
	switch (state) {
	case APPLY_ACCEPTED:
		return OPERATE_ACCEPTED;
	case APPLY_IN_FORCE:
		return OPERATE_IN_FORCE;
	case APPLY_CONFLICT:
		return OPERATE_CONFLICT;
	case APPLY_FAILED:
		return OPERATE_REFUSED;
	case APPLY_WRITING:
	case APPLY_UNKNOWN:
		break;
	}
	return OPERATE_UNKNOWN;
}

static operate_outcome_t
issue_outcome(issue_state_t state)
{
	switch (state) {
	case ISSUE_ACCEPTED:
		return OPERATE_ACCEPTED;
	case ISSUE_DONE:
		return OPERATE_DONE;
	case ISSUE_CONFLICT:
		return OPERATE_CONFLICT;
	case ISSUE_FAILED:
		return OPERATE_REFUSED;
	case ISSUE_WRITING:
	case ISSUE_UNKNOWN:
		break;
	}
	return OPERATE_UNKNOWN;
}

static operate_outcome_t
withdrawal_outcome(withdrawal_state_t state)
{
	switch (state) {
	case WITHDRAWAL_ACCEPTED:
		return OPERATE_ACCEPTED;
	case WITHDRAWAL_DONE:
		return OPERATE_DONE;
	case WITHDRAWAL_UNAVAILABLE:
	case WITHDRAWAL_FENCED:
	case WITHDRAWAL_WRITING:
	case WITHDRAWAL_UNKNOWN:
		break;
	}
	/* The withdrawal is in force at the hosts that were notified, so it
	 * can't be reported as refused. */
	return OPERATE_UNKNOWN;
}

void
operate_describe_apply(const apply_t *a, operate_result_t *r)
{
	r->outcome = apply_outcome(a->state);
	r->result_version =
	    a->state == APPLY_CONFLICT ? a->head_version : a->version;
	r->hosts_confirmed = a->hosts_in_force;
	r->hosts_total = a->hosts;
	r->text = a->state == APPLY_CONFLICT
	    ? g_strdup_printf("the change is based on version "
			      "%" G_GUINT64_FORMAT
			      ", but the current version is %" G_GUINT64_FORMAT,
		  (guint64)a->base, (guint64)a->head_version)
	    : g_strdup(apply_state_name(a->state));
}

void
operate_describe_issue(const issue_t *i, operate_result_t *r)
{
	r->outcome = issue_outcome(i->state);
	r->result_version = i->commit.version;
	r->hosts_confirmed = i->hosts_reached;
	r->hosts_total = i->hosts;
	r->text = g_strdup(issue_state_name(i->state));
}

void
operate_describe_withdrawal(const withdrawal_t *w, operate_result_t *r)
{
	guint confirmed = 0;

	r->outcome = withdrawal_outcome(w->state);
	r->result_version = w->commit.version;
	r->hosts_total = withdrawal_hosts(w, &confirmed);
	r->hosts_confirmed = confirmed;
	r->text = g_strdup(withdrawal_state_name(w->state));
}
