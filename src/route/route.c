/* Public interface of the router. */
#include "route/route.h"

#include <string.h>

#include "base/hash.h"
#include "route/router.h"

/* About the tokens of a short request. */
#define FW_QUEUE_QUANTUM_TOKENS 1024

static void
free_engine(gpointer p)
{
    Fw_Engine_DropCoord(p);
    g_free(p);
}

static void
free_model_queue(gpointer p)
{
    struct fw_model_queue *mq = p;

    Fw_Queue_Clear(&mq->queue);
    g_free(mq);
}

static void
add_metrics(struct fw_route_metrics *m, struct fw_metrics *all)
{
    *m = (struct fw_route_metrics){
        .queued = {.name = "fw_route_queued",
                   .help = "Requests waiting for engines.",
                   .is_gauge = 1},
        .grants = {.name = "fw_route_grants_total",
                   .help = "Pairs of engines given."},
        .refusals = {.name = "fw_route_refusals_total",
                     .help = "Requests refused before any prefill."},
        .rounds = {.name = "fw_route_rounds_total",
                   .help = "Rounds of reservations begun."},
        .denials = {.name = "fw_route_denials_total",
                    .help = "Reservations that a coordinator refused."},
        .reply_timeouts = {.name = "fw_route_silences_total",
                           .help =
                               "Coordinators that did not answer in time."},
        .polls = {.name = "fw_route_polls_total",
                  .help = "Load and cache calls to engines."},
        .cache_gaps = {.name = "fw_route_cache_gaps_total",
                       .help = "Gaps in cache events; beliefs voided."},
        .breaker_trips = {.name = "fw_route_breaker_opened_total",
                          .help =
                              "Times an upstream was taken out of choice."},
        .retries_refused = {.name = "fw_route_retries_refused_total",
                            .help = "Retries beyond the retry budget."},
    };
    Fw_Metrics_Add(all, &m->queued);
    Fw_Metrics_Add(all, &m->grants);
    Fw_Metrics_Add(all, &m->refusals);
    Fw_Metrics_Add(all, &m->rounds);
    Fw_Metrics_Add(all, &m->denials);
    Fw_Metrics_Add(all, &m->reply_timeouts);
    Fw_Metrics_Add(all, &m->polls);
    Fw_Metrics_Add(all, &m->cache_gaps);
    Fw_Metrics_Add(all, &m->breaker_trips);
    Fw_Metrics_Add(all, &m->retries_refused);
}

struct fw_router *
Fw_Router_New(const struct fw_self *self, const struct fw_fleet *fleet,
              const struct fw_route_opts *opts, struct fw_metrics *metrics)
{
    struct fw_router *r = g_new0(struct fw_router, 1);

    r->self = *self;
    r->self_id = Fw_Hash_Str(self->name) ^ self->boot;
    r->fleet = fleet;
    r->opts = *opts;
    /* Numbers rounds from a start that depends on the boot id, so that peers
     * do not confuse them with rounds of an earlier run of this instance. */
    r->next_round_id =
        (uint32_t)Fw_Hash_Bytes(&self->boot, sizeof(self->boot), 0);
    r->rand = g_rand_new_with_seed(opts->seed);
    r->engines =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_engine);
    r->engine_list = g_ptr_array_new();
    r->jobs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    r->rounds = g_hash_table_new(g_int64_hash, g_int64_equal);
    r->ops = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    r->model_queues = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                            free_model_queue);
    Fw_List_Init(&r->reserving);
    Fw_List_Init(&r->answers);
    Fw_Retry_Init(&r->retry, opts->retry_permille);
    add_metrics(&r->m, metrics);
    return r;
}

int
Fw_Route_TakeAnswer(struct fw_router *r, struct fw_route_answer *ans)
{
    struct fw_pending_answer *pending;

    if (Fw_List_Empty(&r->answers)) {
        return 0;
    }
    pending = FW_LIST_ENTRY(r->answers.next, struct fw_pending_answer, link);
    Fw_List_Remove(&pending->link);
    *ans = pending->answer;
    g_free(pending);
    return 1;
}

void
Fw_Router_Free(struct fw_router *r)
{
    struct fw_route_answer ans;
    struct fw_actions out;
    GHashTableIter it;
    gpointer val;

    if (!r) {
        return;
    }
    Fw_Actions_Init(&out);
    for (g_hash_table_iter_init(&it, r->jobs);
         g_hash_table_iter_next(&it, NULL, &val);
         g_hash_table_iter_init(&it, r->jobs)) {
        Fw_Grant_FreeJob(r, val, 0, &out);
    }
    Fw_Actions_Clear(&out);
    while (Fw_Route_TakeAnswer(r, &ans)) {
    }
    g_hash_table_unref(r->model_queues);
    g_hash_table_unref(r->ops);
    g_hash_table_unref(r->rounds);
    g_hash_table_unref(r->jobs);
    if (r->pools) {
        g_hash_table_unref(r->pools);
    }
    g_ptr_array_unref(r->engine_list);
    g_hash_table_unref(r->engines);
    g_rand_free(r->rand);
    g_free(r);
}

/* Exclusive requests have a queue of their own, so that they do not block the
 * others. */
static struct fw_model_queue *
get_model_queue(struct fw_router *r, const char *model, int exclusive)
{
    char *key = g_strconcat(exclusive ? "!" : "", model, NULL);
    struct fw_model_queue *mq = g_hash_table_lookup(r->model_queues, key);

    if (mq) {
        g_free(key);
        return mq;
    }
    mq = g_new0(struct fw_model_queue, 1);
    g_strlcpy(mq->model, model, sizeof(mq->model));
    Fw_Queue_Init(&mq->queue, FW_QUEUE_QUANTUM_TOKENS);
    g_hash_table_insert(r->model_queues, key, mq);
    return mq;
}

void
Fw_Route_Submit(struct fw_router *r, const struct fw_config *cfg,
                const struct fw_route_request *req, int64_t now_us,
                struct fw_actions *out)
{
    struct fw_job *job = g_hash_table_lookup(r->jobs, &req->ticket);

    Fw_Index_Sync(r, cfg);
    if (job) {
        Fw_Grant_FreeJob(r, job, now_us, out);
    }
    if (!req->avoid || !req->avoid[0]) {
        Fw_Retry_Earn(&r->retry);
    }
    job = g_new0(struct fw_job, 1);
    job->ticket = req->ticket;
    job->model_queue = get_model_queue(r, req->model, req->exclusive);
    g_strlcpy(job->queue_item.team_name, req->team,
              sizeof(job->queue_item.team_name));
    job->prompt_tokens = MAX(req->prompt_tokens, 1);
    job->max_tokens = MAX(req->max_tokens, 1);
    job->deadline_us = req->deadline_us;
    job->arrived_us = req->arrived_us;
    job->exclusive = req->exclusive;
    job->avoid = g_strdupv((char **)req->avoid);
    Fw_List_Init(&job->queue_item.link);
    Fw_List_Init(&job->reserving);
    g_hash_table_insert(r->jobs, &job->ticket, job);
    Fw_Dispatch_Enqueue(r, cfg, job, req, now_us, out);
}

static void
complete_prefill(struct fw_router *r, struct fw_job *job, int64_t now_us,
                 struct fw_actions *out)
{
    struct fw_reservation *p = &job->prefill;

    if (job->prefilled) {
        return;
    }
    job->prefilled = 1;
    p->engine->prefilling--;
    r->m.breaker_trips.value +=
        Fw_Breaker_RecordSuccess(&p->engine->breaker, now_us - job->granted_us,
                                 p->wait_us + p->service_us, now_us);
    Fw_Grant_CompletePrefill(r, job, now_us, out);
}

static void
record_failure(struct fw_router *r, const struct fw_job *job,
               const char *upstream, int64_t now_us)
{
    struct fw_engine *e = upstream ? Fw_Engine_Get(r, upstream) : NULL;

    if (e && (e == job->prefill.engine || e == job->decode.engine)) {
        r->m.breaker_trips.value +=
            Fw_Breaker_RecordFailure(&e->breaker, now_us);
    }
}

void
Fw_Route_ReportStep(struct fw_router *r, uint64_t ticket,
                    enum fw_route_step step, const char *upstream,
                    int64_t now_us, struct fw_actions *out)
{
    struct fw_job *job = g_hash_table_lookup(r->jobs, &ticket);

    if (!job) {
        return;
    }
    if (job->state != FW_JOB_RUNNING) {
        if (step == FW_STEP_CANCELLED) {
            Fw_Grant_FreeJob(r, job, now_us, out);
        }
        return;
    }
    switch (step) {
    case FW_STEP_PREFILLED:
        complete_prefill(r, job, now_us, out);
        break;
    case FW_STEP_IMPORTED:
    case FW_STEP_TOKEN:
        break;
    case FW_STEP_DONE:
        (void)Fw_Breaker_RecordSuccess(&job->decode.engine->breaker, 0, 0,
                                       now_us);
        Fw_Grant_FreeJob(r, job, now_us, out);
        break;
    case FW_STEP_FAILED:
        record_failure(r, job, upstream, now_us);
        Fw_Grant_FreeJob(r, job, now_us, out);
        break;
    case FW_STEP_REFUSED:
    case FW_STEP_CANCELLED:
        Fw_Grant_FreeJob(r, job, now_us, out);
        break;
    }
}

void
Fw_Route_SetCachedTokens(struct fw_router *r, uint64_t ticket, int64_t tokens)
{
    struct fw_job *job = g_hash_table_lookup(r->jobs, &ticket);

    if (job) {
        job->cached_tokens = tokens;
    }
}

int
Fw_Route_SpendRetry(struct fw_router *r, int64_t now_us)
{
    int allowed = Fw_Retry_Spend(&r->retry);

    (void)now_us;
    r->m.retries_refused.value += !allowed;
    return allowed;
}

void
Fw_Router_Tick(struct fw_router *r, const struct fw_config *cfg,
               int64_t now_us, struct fw_actions *out)
{
    Fw_Index_Sync(r, cfg);
    Fw_Coord_Scan(r, cfg, now_us, out);
    Fw_Reserve_Tick(r, cfg, now_us, out);
    Fw_Dispatch_Run(r, cfg, now_us, out);
}

void
Fw_Router_OnUp(struct fw_router *r, const struct fw_config *cfg,
               const struct fw_up_event *ev, int64_t now_us,
               struct fw_actions *out)
{
    Fw_Index_Sync(r, cfg);
    Fw_Coord_OnUp(r, cfg, ev, now_us);
    Fw_Dispatch_Run(r, cfg, now_us, out);
}

void
Fw_Router_OnListed(struct fw_router *r,
                   const struct fw_registry_snapshot *listed, int64_t now_us)
{
    (void)now_us;
    for (int i = 0; !listed->err && i < listed->n; i++) {
        const struct fw_registry_entry *e = &listed->entries[i];

        if (e->kind == FW_REGISTRY_UPSTREAM) {
            Fw_Engine_Get(r, e->name)->listed_leaving = e->draining;
        }
    }
}

static void
on_reserve(struct fw_router *r, const struct fw_config *cfg, const char *from,
           const struct fw_route_reserve *req, int64_t now_us,
           struct fw_actions *out)
{
    const struct fw_member *m = Fw_Fleet_Find(r->fleet, from);
    struct fw_msg msg = {.area = FW_AREA_ROUTE};
    struct fw_route_reply *reply = &msg.u.route.u.reply;

    if (!m) {
        return;
    }
    msg.u.route.kind = FW_ROUTE_REPLY;
    reply->round_id = req->round_id;
    for (int i = 0; i < req->n; i++) {
        Fw_Coord_Reserve(r, cfg, Fw_Hash_Str(from), req->round_id,
                         &req->item[i], now_us, &reply->result[reply->n++],
                         out);
    }
    Fw_Coord_FillLoads(r, cfg, now_us, reply);
    Fw_Coord_FillLeaving(r, &reply->leaving);
    Fw_Actions_SendPeer(out, m->name, m->addr, &msg);
}

static void
on_release(struct fw_router *r, const char *from,
           const struct fw_route_release *rel, int64_t now_us)
{
    struct fw_engine *e = Fw_Engine_Find(r, rel->engine);

    if (e) {
        Fw_Coord_Release(e, Fw_Hash_Str(from), rel->round_id,
                         rel->cached_tokens, now_us);
    }
}

void
Fw_Router_OnMsg(struct fw_router *r, const struct fw_config *cfg,
                const char *from, const struct fw_route_msg *msg,
                int64_t now_us, struct fw_actions *out)
{
    Fw_Index_Sync(r, cfg);
    switch (msg->kind) {
    case FW_ROUTE_RESERVE:
        Fw_Engine_MarkLeaving(r, &msg->u.reserve.leaving, now_us);
        on_reserve(r, cfg, from, &msg->u.reserve, now_us, out);
        break;
    case FW_ROUTE_REPLY:
        Fw_Engine_MarkLeaving(r, &msg->u.reply.leaving, now_us);
        Fw_Reserve_OnReply(r, cfg, &msg->u.reply, now_us, out);
        Fw_Dispatch_Run(r, cfg, now_us, out);
        break;
    case FW_ROUTE_RELEASE:
        on_release(r, from, &msg->u.release, now_us);
        break;
    case FW_ROUTE_NONE:
        break;
    }
}

int
Fw_Route_IsLeaving(const struct fw_router *r, const char *upstream)
{
    const struct fw_engine *e = Fw_Engine_Find(r, Fw_Hash_Str(upstream));

    return e && Fw_Engine_IsConfirmedLeaving(e);
}
