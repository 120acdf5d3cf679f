#ifndef HOST_OPERATE_DESCRIBE_H
#define HOST_OPERATE_DESCRIBE_H

#include "coordination/apply.h"
#include "coordination/issue.h"
#include "coordination/withdrawal.h"
#include "protocol/rpc_body.h"

/* Answers to operators, by the state of what they asked for. */

/**
 * operate_describe_apply() - Say how far a configuration has come.
 * @a: the change
 * @r: filled in; its text is to be freed with g_free()
 */
void operate_describe_apply(const apply_t *a, operate_result_t *r);

/**
 * operate_describe_issue() - Say how far a new key has come.
 * @i: the issue
 * @r: filled in; its text is to be freed with g_free()
 */
void operate_describe_issue(const issue_t *i, operate_result_t *r);

/**
 * operate_describe_withdrawal() - Say how far a withdrawal has come.
 * @w: the withdrawal
 * @r: filled in; its text is to be freed with g_free()
 */
void operate_describe_withdrawal(const withdrawal_t *w, operate_result_t *r);

#endif
