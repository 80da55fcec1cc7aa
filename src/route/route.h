/*
 * Chooses the prefill and decode engine of each request: queueing, pairing
 * and reservations. See docs/design/routing.md.
 */
#ifndef FW_ROUTE_ROUTE_H
#define FW_ROUTE_ROUTE_H

#include <glib.h>

#include "base/metrics.h"
#include "config/config.h"
#include "core/action.h"
#include "core/types.h"
#include "fleet/fleet.h"

/** enum fw_policy - routing policy, selected in the settings. */
enum fw_policy {
    FW_POLICY_RANDOM,
    FW_POLICY_LEAST_LOADED,
    FW_POLICY_FULL, /* queues, and the cheapest pair that can be reserved */
};

/**
 * struct fw_route_opts - settings of the router.
 * @ttft_us: target for the time to first token
 * @itl_us: target for the time between tokens
 * @queue_max_us: longest wait in the queue of requests without a deadline
 * @retry_permille: retries allowed per thousand requests
 * @seed: of the random choices
 */
struct fw_route_opts {
    enum fw_policy policy;
    int64_t ttft_us;
    int64_t itl_us;
    int64_t queue_max_us;
    int retry_permille;
    uint32_t seed;
};

/**
 * struct fw_route_request - a request to be routed.
 * @ticket: identifies the request in later calls
 * @prompt: for the prefix cache, may be NULL
 * @max_tokens: output tokens at most
 * @deadline_us: when the last token is due; 0 for none, the targets of struct
 *               fw_route_opts apply then
 * @arrived_us: when the attempt began; the targets count from it
 * @avoid: upstreams that failed this request before; NULL-terminated, or NULL
 * @exclusive: use only engines that run nothing else, for a request that may
 *         crash its engine
 */
struct fw_route_request {
    uint64_t ticket;
    char team[FW_NAME_MAX];
    char model[FW_NAME_MAX];
    GBytes *prompt;
    int64_t prompt_tokens;
    int64_t max_tokens;
    int64_t deadline_us;
    int64_t arrived_us;
    const char *const *avoid;
    int exclusive;
};

/**
 * struct fw_route_answer - a pair of engines or a refusal.
 * @status: 0 for a pair, else the HTTP status of the refusal
 * @code: machine-readable reason of the refusal
 * @retry_after_us: for a refusal, when the caller should try again
 * @prefill, @decode: names of the engines
 * @explanation: cost of the pair and of the next best, for traces
 */
struct fw_route_answer {
    uint64_t ticket;
    int status;
    char code[32];
    int64_t retry_after_us;
    char prefill[FW_NAME_MAX];
    char decode[FW_NAME_MAX];
    char explanation[160];
};

/** enum fw_route_step - progress of a routed request. */
enum fw_route_step {
    FW_STEP_PREFILLED, /* KV computed, the prefill engine is free */
    FW_STEP_IMPORTED,  /* the decode engine has the KV */
    FW_STEP_TOKEN,     /* output received */
    FW_STEP_DONE,      /* completed, the decode slot is free */
    FW_STEP_FAILED,    /* an engine failed or timed out */
    FW_STEP_REFUSED,   /* an engine rejected it before starting */
    FW_STEP_CANCELLED, /* the caller left or the request was abandoned */
};

/** struct fw_router - routing state of one instance; see router.h. */
struct fw_router;

/* Adds its metrics to @metrics; @fleet must outlive the router. */
struct fw_router *
Fw_Router_New(const struct fw_self *self, const struct fw_fleet *fleet,
              const struct fw_route_opts *opts, struct fw_metrics *metrics);
void
Fw_Router_Free(struct fw_router *r);

/* Queues a request, or answers it at once; a request with the same ticket is
 * dropped first. See Fw_Route_TakeAnswer(). */
void
Fw_Route_Submit(struct fw_router *r, const struct fw_config *cfg,
                const struct fw_route_request *req, int64_t now_us,
                struct fw_actions *out);
/* Copies the next available answer to @ans, which needs no freeing. Answers
 * may become available in any call that takes @now_us. Return: nonzero when an
 * answer was stored, 0 when none is available. */
int
Fw_Route_TakeAnswer(struct fw_router *r, struct fw_route_answer *ans);
/**
 * Fw_Route_ReportStep - reports progress of the request @ticket. DONE and the
 * later steps release its engines and end it; unknown tickets are ignored.
 * @upstream: for FW_STEP_FAILED, the engine that failed; NULL otherwise
 */
void
Fw_Route_ReportStep(struct fw_router *r, uint64_t ticket,
                    enum fw_route_step step, const char *upstream,
                    int64_t now_us, struct fw_actions *out);
/* Sets how many prompt tokens the prefill engine found in its cache, before
 * FW_STEP_PREFILLED is reported. */
void
Fw_Route_SetCachedTokens(struct fw_router *r, uint64_t ticket, int64_t tokens);
/* Takes one retry from the budget. Return: nonzero if one was available. */
int
Fw_Route_SpendRetry(struct fw_router *r, int64_t now_us);
/* Picks a server of a plain service; @avoid as in struct fw_route_request.
 * Return: owned by @cfg; NULL if there is none. */
const struct fw_upstream *
Fw_Route_PickServer(struct fw_router *r, const struct fw_config *cfg,
                    const char *service, const char *const *avoid,
                    int64_t now_us);
/* Reports the outcome of a call to a plain service, for the circuit breaker;
 * @took_us is read only if @ok. */
void
Fw_Route_ReportServerResult(struct fw_router *r, const char *upstream, int ok,
                            int64_t took_us, int64_t now_us);

void
Fw_Router_Tick(struct fw_router *r, const struct fw_config *cfg,
               int64_t now_us, struct fw_actions *out);
/* Receives an event of one of the router's own calls, which fetch load
 * reports and cache events; other events are ignored. */
void
Fw_Router_OnUp(struct fw_router *r, const struct fw_config *cfg,
               const struct fw_up_event *ev, int64_t now_us,
               struct fw_actions *out);
/* Receives the platform's list of upstreams, which says who is leaving. */
void
Fw_Router_OnListed(struct fw_router *r,
                   const struct fw_registry_snapshot *listed, int64_t now_us);
void
Fw_Router_OnMsg(struct fw_router *r, const struct fw_config *cfg,
                const char *from, const struct fw_route_msg *msg,
                int64_t now_us, struct fw_actions *out);
/* Nonzero while there are engines and every one that this instance
 * coordinates has a load report. */
int
Fw_Router_IsReady(const struct fw_router *r);
/* Nonzero if @upstream is leaving by the platform's list or by its own load
 * report. */
int
Fw_Route_IsLeaving(const struct fw_router *r, const char *upstream);

#endif
