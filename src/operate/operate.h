/*
 * The operators' HTTP API: takes parsed calls, emits responses, does no I/O.
 *
 * Queries are answered immediately from this instance's state. A command is
 * appended to the configuration log as a change record and answered when this
 * instance has read the record back and decided on it:
 *
 *   200 accepted, with the version in which the change takes effect
 *   409 conflict: an item has changed since the version the change is based on
 *   422 invalid: rejected by validation, nothing applied
 *   503 not_applied: the log rejected the append, or too many commands are
 *       pending
 *   504 unknown: the record was not read back in time and may still be
 *       applied. GET /v1/change?id=ID returns the outcome; resending the
 *       command with the same id is safe.
 *
 * Usage:
 *
 *   struct fw_operate_view view = {.self = &self, .replica = replica,
 *       .fleet = fleet, .router = router, .requests = requests,
 *       .explain = explain, .orders = orders};
 *
 *   case FW_EV_OPERATOR:
 *       Fw_Operate_HandleCall(op, &view, &ev->u.oper, now_us, out);
 *   case FW_EV_LOG_APPENDED with FW_OWNER_OPERATE:
 *       Fw_Operate_OnAppended(op, &view, &ev->u.appended, now_us, out);
 *   after every event passed to the replica, and on each tick:
 *       Fw_Operate_AnswerPending(op, &view, now_us, out);
 *
 * docs/operations/configuration.md documents the API.
 */
#ifndef FW_OPERATE_OPERATE_H
#define FW_OPERATE_OPERATE_H

#include "base/metrics.h"
#include "config/replica.h"
#include "core/action.h"
#include "core/event.h"
#include "core/types.h"
#include "fleet/fleet.h"
#include "operate/explain.h"
#include "order/order.h"
#include "request/request.h"
#include "route/route.h"

#define FW_OPERATE_PENDING_MAX 64 /* commands awaiting a verdict */
#define FW_OPERATE_VERDICT_TIMEOUT_US (8 * FW_SEC)

/**
 * struct fw_operate_view - the instance's state, read-only, for queries.
 *
 * All members but @self and @replica may be NULL; queries about a NULL member
 * return no rows.
 */
struct fw_operate_view {
    const struct fw_self *self;
    const struct fw_config_replica *replica;
    const struct fw_fleet *fleet;
    const struct fw_router *router;
    const struct fw_requests *requests;
    const struct fw_explain *explain;
    const struct fw_orders *orders;
};

/** struct fw_operate - pending commands and metrics; opaque. */
struct fw_operate;

/**
 * Fw_Operate_New
 * @self: @self->boot is the wall clock time that corresponds to @now_us
 * @seed: for generated change ids
 * @metrics: must outlive the result; may be NULL
 */
struct fw_operate *
Fw_Operate_New(const struct fw_self *self, uint32_t seed,
               struct fw_metrics *metrics, int64_t now_us);
void
Fw_Operate_Free(struct fw_operate *op);

/* Handles one call; a command's response may be emitted later. */
void
Fw_Operate_HandleCall(struct fw_operate *op,
                      const struct fw_operate_view *view,
                      const struct fw_operator_call *call, int64_t now_us,
                      struct fw_actions *out);
/* Handles the log's answer to an append made by Fw_Operate_HandleCall(). */
void
Fw_Operate_OnAppended(struct fw_operate *op,
                      const struct fw_operate_view *view,
                      const struct fw_log_appended *a, int64_t now_us,
                      struct fw_actions *out);
/* Answers pending commands that have a verdict or have timed out. */
void
Fw_Operate_AnswerPending(struct fw_operate *op,
                         const struct fw_operate_view *view, int64_t now_us,
                         struct fw_actions *out);

#endif
