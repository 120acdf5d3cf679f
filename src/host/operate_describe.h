#ifndef HOST_OPERATE_DESCRIBE_H
#define HOST_OPERATE_DESCRIBE_H

#include "coordination/apply.h"
#include "coordination/issue.h"
#include "coordination/withdrawal.h"
#include "protocol/rpc_body.h"

/* Describes the state of operations in answers to operators. */

/**
 * operate_describe_apply() - Describe the progress of a change of the
 * configuration.
 * @a: the change
 * @r: filled in; its text is to be freed with g_free()
 */
void operate_describe_apply(const apply_t *a, operate_result_t *r);

/**
 * operate_describe_issue() - Describe the progress of the issue of a key.
 * @i: the issue
 * @r: filled in; its text is to be freed with g_free()
 */
void operate_describe_issue(const issue_t *i, operate_result_t *r);

/**
 * operate_describe_withdrawal() - Describe the progress of the withdrawal of a
 * key.
 * @w: the withdrawal
 * @r: filled in; its text is to be freed with g_free()
 */
void operate_describe_withdrawal(const withdrawal_t *w, operate_result_t *r);

#endif
