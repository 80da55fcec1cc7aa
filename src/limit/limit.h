/*
 * Limits each team to its rate and burst, in tokens, over the instances of a
 * region. See docs/design/budgets.md for the design.
 */
#ifndef FW_LIMIT_LIMIT_H
#define FW_LIMIT_LIMIT_H

#include "base/metrics.h"
#include "config/config.h"
#include "core/action.h"
#include "core/types.h"
#include "fleet/fleet.h"
#include "fleet/role.h"

/**
 * struct fw_limit_answer - outcome of a request for tokens.
 * @ticket: as passed to Fw_Limit_Request
 * @retry_after_us: of a refusal, time in which the region refills the missing
 *                  tokens; 0 when the request exceeds the burst and can never
 *                  be granted
 */
struct fw_limit_answer {
    uint64_t ticket;
    int granted;
    int64_t retry_after_us;
};

/** struct fw_limit - rate limiter of one instance. */
struct fw_limit;

/* Leases last as long as @roles makes a new leader wait, see
 * Fw_Roles_TakeoverWaitUs. @fleet and @roles must outlive the limiter. */
struct fw_limit *
Fw_Limit_New(const struct fw_self *self, const struct fw_fleet *fleet,
             const struct fw_roles *roles, uint32_t seed,
             struct fw_metrics *metrics);
void
Fw_Limit_Free(struct fw_limit *l);

/**
 * Fw_Limit_Request - requests @tokens for @team.
 * @ticket: identifies the request in its answer, unique on this instance
 *
 * The answer is available from Fw_Limit_TakeAnswer: at once if local tokens
 * suffice, else after peers were asked in turn, within a bounded time. It may
 * become available in any call that takes @now_us, so take the answers after
 * each.
 */
void
Fw_Limit_Request(struct fw_limit *l, const struct fw_team *team,
                 uint64_t ticket, int64_t tokens, int64_t now_us,
                 struct fw_actions *out);
/* Copies the next answer to @ans, which needs no freeing.
 * Return: nonzero when an answer was stored, 0 when none is available. */
int
Fw_Limit_TakeAnswer(struct fw_limit *l, struct fw_limit_answer *ans);
/* Cancels a request without an answer; tokens collected for it, or granted
 * later, are returned. */
void
Fw_Limit_Cancel(struct fw_limit *l, uint64_t ticket);
/* Returns @tokens that a finished request was granted but did not use. */
void
Fw_Limit_Refund(struct fw_limit *l, const struct fw_team *team, int64_t tokens,
                int64_t now_us, struct fw_actions *out);

/* @cfg is the configuration in force; may differ from the last call's. */
void
Fw_Limit_Tick(struct fw_limit *l, const struct fw_config *cfg, int64_t now_us,
              struct fw_actions *out);
void
Fw_Limit_OnMsg(struct fw_limit *l, const struct fw_config *cfg,
               const char *from, const struct fw_limit_msg *msg,
               int64_t now_us, struct fw_actions *out);
/* Releases all leases and hands the ledgers over to the next leaders. */
void
Fw_Limit_Drain(struct fw_limit *l, int64_t now_us, struct fw_actions *out);

#endif
