/* Answers to requests, and release of their reservations. */
#include <string.h>

#include "base/hash.h"
#include "route/router.h"

static struct fw_route_answer *
append_answer(struct fw_router *r, const struct fw_job *job)
{
    struct fw_pending_answer *pending = g_new0(struct fw_pending_answer, 1);

    pending->answer.ticket = job->ticket;
    Fw_List_Append(&r->answers, &pending->link);
    return &pending->answer;
}

static void
update_grant_interval(struct fw_model_queue *mq, int64_t now_us)
{
    int64_t interval = MIN(now_us - mq->last_grant_us, FW_SEC);

    if (mq->backlogged) {
        mq->grant_interval_us =
            mq->grant_interval_us ? (mq->grant_interval_us * 7 + interval) / 8
                                  : interval;
    }
    mq->last_grant_us = now_us;
    mq->backlogged = mq->queue.n > 0;
    mq->backoff_us = 0;
}

void
Fw_Grant_Pair(struct fw_router *r, struct fw_job *job, int64_t now_us)
{
    struct fw_route_answer *ans = append_answer(r, job);
    struct fw_engine *p = job->prefill.engine;
    struct fw_engine *d = job->decode.engine;

    g_strlcpy(ans->prefill, p->name, sizeof(ans->prefill));
    g_strlcpy(ans->decode, d->name, sizeof(ans->decode));
    g_strlcpy(ans->explanation, job->explanation, sizeof(ans->explanation));
    job->state = FW_JOB_RUNNING;
    job->granted_us = now_us;
    p->prefilling++;
    d->decoding++;
    Fw_Engine_AddDispatched(p, d, job->prefill.service_us, now_us);
    for (int i = 0; i < job->prefixes.n; i++) {
        Fw_Prefix_Add(&r->prefixes, Fw_Engine_CacheKey(p),
                      job->prefixes.hash[i]);
    }
    Fw_Breaker_RecordRequest(&p->breaker, now_us);
    Fw_Breaker_RecordRequest(&d->breaker, now_us);
    update_grant_interval(job->model_queue, now_us);
    r->m.grants.value++;
}

void
Fw_Grant_Refuse(struct fw_router *r, struct fw_job *job, const char *code,
                int64_t retry_after_us)
{
    struct fw_route_answer *ans = append_answer(r, job);

    ans->status = 503;
    ans->retry_after_us = retry_after_us;
    g_strlcpy(ans->code, code, sizeof(ans->code));
    r->m.refusals.value++;
}

static void
release_reservation(struct fw_router *r, const struct fw_job *job,
                    const struct fw_reservation *res, int64_t cached_tokens,
                    int64_t now_us, struct fw_actions *out)
{
    const struct fw_member *m = NULL;
    struct fw_msg msg = {.area = FW_AREA_ROUTE};

    Fw_Coord_Release(res->engine, r->self_id, job->round_id, cached_tokens,
                     now_us);
    if (r->opts.policy == FW_POLICY_FULL) {
        m = Fw_Fleet_Pick(r->fleet, res->engine->id, 0);
    }
    if (!m || Fw_Fleet_IsSelf(r->fleet, m)) {
        return;
    }
    msg.u.route.kind = FW_ROUTE_RELEASE;
    msg.u.route.u.release.round_id = job->round_id;
    msg.u.route.u.release.engine = res->engine->id;
    msg.u.route.u.release.cached_tokens = cached_tokens;
    Fw_Actions_SendPeer(out, m->name, m->addr, &msg);
}

void
Fw_Grant_Release(struct fw_router *r, struct fw_job *job,
                 struct fw_reservation *res, int64_t now_us,
                 struct fw_actions *out)
{
    /* A pending one may have been granted in a reply that was lost. */
    if (res->state == FW_RESERVATION_GRANTED ||
        res->state == FW_RESERVATION_PENDING) {
        res->state = FW_RESERVATION_NONE;
        release_reservation(r, job, res, -1, now_us, out);
    }
}

void
Fw_Grant_CompletePrefill(struct fw_router *r, struct fw_job *job,
                         int64_t now_us, struct fw_actions *out)
{
    if (job->prefill.state == FW_RESERVATION_GRANTED) {
        job->prefill.state = FW_RESERVATION_NONE;
        release_reservation(r, job, &job->prefill, job->cached_tokens, now_us,
                            out);
    }
}

static void
uncount_running(struct fw_job *job)
{
    if (!job->prefilled) {
        job->prefill.engine->prefilling--;
    }
    job->decode.engine->decoding--;
}

void
Fw_Grant_FreeJob(struct fw_router *r, struct fw_job *job, int64_t now_us,
                 struct fw_actions *out)
{
    switch (job->state) {
    case FW_JOB_QUEUED:
        Fw_Queue_Remove(&job->model_queue->queue, &job->queue_item);
        break;
    case FW_JOB_RESERVING:
        Fw_List_Remove(&job->reserving);
        job->model_queue->n_rounds--;
        break;
    case FW_JOB_RUNNING:
        uncount_running(job);
        break;
    }
    if (!job->prefilled) {
        Fw_Grant_Release(r, job, &job->prefill, now_us, out);
    }
    Fw_Grant_Release(r, job, &job->decode, now_us, out);
    job->model_queue->paused_until_us = 0;
    Fw_Actions_Wake(out, now_us);
    if (job->round_id) {
        g_hash_table_remove(r->rounds, &job->round_id);
    }
    g_strfreev(job->avoid);
    g_hash_table_remove(r->jobs, &job->ticket);
}
