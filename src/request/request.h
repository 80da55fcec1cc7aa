/*
 * Runs requests. A completion takes tokens from its team's budget, waits in
 * the queue for engines, and passes through prefill, KV transfer and decode; a
 * service call is forwarded to a server of the service. See
 * docs/ARCHITECTURE.md.
 */
#ifndef FW_REQUEST_REQUEST_H
#define FW_REQUEST_REQUEST_H

#include "base/metrics.h"
#include "config/replica.h"
#include "core/action.h"
#include "core/event.h"
#include "core/types.h"
#include "fleet/fleet.h"
#include "idem/idem.h"
#include "limit/limit.h"
#include "operate/explain.h"
#include "route/route.h"

/**
 * struct fw_request_deps - subsystems that requests use, and limits.
 * @prompt_tokens_max: larger prompts are refused with status 413
 * @max_tokens_default: output tokens when the caller sets no limit
 *
 * The pointers are borrowed and must outlive struct fw_requests.
 */
struct fw_request_deps {
    const struct fw_self *self;
    const struct fw_config_replica *replica;
    const struct fw_fleet *fleet;
    struct fw_limit *limit;
    struct fw_idem *idem;
    struct fw_router *router;
    struct fw_metrics *metrics;
    struct fw_explain *explain;
    int64_t prompt_tokens_max;
    int64_t max_tokens_default;
};

/** struct fw_requests - all requests of one instance; see request.c. */
struct fw_requests;

struct fw_requests *
Fw_Requests_New(const struct fw_request_deps *deps);
void
Fw_Requests_Free(struct fw_requests *rs);

/* Events. Each appends the resulting actions to @out. */
/* Answers or starts the request @call. */
void
Fw_Requests_Open(struct fw_requests *rs, const struct fw_call *call,
                 int64_t now_us, struct fw_actions *out);
/* The caller closed connection @call; ignored when the call is not open. */
void
Fw_Requests_OnCallClosed(struct fw_requests *rs, uint64_t call, int64_t now_us,
                         struct fw_actions *out);
/* Progress of an upstream call that this module started. */
void
Fw_Requests_OnUp(struct fw_requests *rs, const struct fw_up_event *ev,
                 int64_t now_us, struct fw_actions *out);
/* The limiter granted or refused a request's tokens. */
void
Fw_Requests_OnBudget(struct fw_requests *rs, const struct fw_limit_answer *ans,
                     int64_t now_us, struct fw_actions *out);
/* The router chose a pair of engines for a request, or refused it. */
void
Fw_Requests_OnPair(struct fw_requests *rs, const struct fw_route_answer *ans,
                   int64_t now_us, struct fw_actions *out);
/* The idempotency record of a service call was read or created. Takes
 * ownership of @ans->body. */
void
Fw_Requests_OnIdem(struct fw_requests *rs, struct fw_idem_answer *ans,
                   int64_t now_us, struct fw_actions *out);
void
Fw_Requests_OnMsg(struct fw_requests *rs, const char *from,
                  const struct fw_request_msg *msg, int64_t now_us,
                  struct fw_actions *out);
/* Handles due timeouts, polls engines for orphans, requests the next tick. */
void
Fw_Requests_Tick(struct fw_requests *rs, int64_t now_us,
                 struct fw_actions *out);
/* The configuration changed: fails requests whose key was withdrawn. */
void
Fw_Requests_OnConfig(struct fw_requests *rs, int64_t now_us,
                     struct fw_actions *out);

/* Queries. */

/* Number of unfinished requests. */
int
Fw_Requests_Count(const struct fw_requests *rs);
/* Nonzero while the attempt @seq of this process runs. */
int
Fw_Requests_HasAttempt(const struct fw_requests *rs, uint64_t seq);

/**
 * struct fw_request_row - a line of `show requests`.
 * @stage: static name of enum fw_stage
 * @prefill: engine of the current or last attempt, empty for none
 * @decode: engine of the current or last attempt, or server of a service call;
 *          empty for none
 */
struct fw_request_row {
    char id[FW_ID_MAX];
    char team[FW_NAME_MAX];
    const char *stage;
    char prefill[FW_NAME_MAX];
    char decode[FW_NAME_MAX];
    int64_t age_us;
    int64_t output_tokens;
};

/* Calls @row for each unfinished request; @r is valid during the call. */
void
Fw_Requests_Each(const struct fw_requests *rs, int64_t now_us,
                 void (*row)(const struct fw_request_row *r, void *ctx),
                 void *ctx);

#endif
